/// \file
/// The service-level report, as text and as one self-contained HTML page.
#pragma once

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace shallotlatch {

/// Admin answers of one host by part: status, burn, targets, pools.
struct HostReport {
  std::string AdminAddress;
  std::map<std::string, nlohmann::json> Parts;
};

std::string reportText(const std::vector<HostReport> &Hosts);
std::string reportHtml(const std::vector<HostReport> &Hosts);

} // namespace shallotlatch
