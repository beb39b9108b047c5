/// \file
/// Service-level report of all hosts, as text and as one self-contained HTML
/// page.
#pragma once

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace shallotlatch {

/// Responses of the administration API of one host, by part: status, burn,
/// targets, pools. A part that could not be read is null.
struct HostReport {
  std::string AdminAddress;
  std::map<std::string, nlohmann::json> Parts;
};

/// Returns the error budget burn of each series and the counters of each host.
std::string reportText(const std::vector<HostReport> &Hosts);
/// Returns the text report with plots of the burn and a table of the targets.
std::string reportHtml(const std::vector<HostReport> &Hosts);

} // namespace shallotlatch
