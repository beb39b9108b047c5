/// \file
/// State of a node as JSON, in the form that the admin API returns.
#pragma once

#include "node_p.h"
#include "peer_task_p.h"
#include "slo_window_p.h"

#include <nlohmann/json.hpp>

namespace shallotlatch {

nlohmann::json statusJson(const Node &N, const PeerStats &Peers);
nlohmann::json hostsJson(const Node &N);
nlohmann::json poolsJson(const Node &N);
nlohmann::json targetsJson(const Node &N);
nlohmann::json requestsJson(const Node &N);
nlohmann::json quarantineJson(Node &N);
nlohmann::json burnJson(const std::vector<SloBurnRate> &Burns);

/// Returns the operator who applied the configuration, from its "meta" member.
/// Returns "unknown" if the member does not name one.
std::string appliedBy(const nlohmann::json &ConfigBody);
/// Returns whether claims that were stored under the key layout of \p Old are
/// found under that of \p New.
bool sameKeyLayout(const Config &Old, const Config &New);

} // namespace shallotlatch
