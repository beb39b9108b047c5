// Defines the scenarios and the policy names of the policy bench.
#include "policy_bench.h"

#include <algorithm>

namespace shallotlatch {

const std::vector<Scenario> &scenarios() {
  static const std::vector<Scenario> All = [] {
    std::vector<Scenario> List(8);
    List[0].Name = "steady";
    List[1].Name = "overload";
    List[1].LoadFactor = 1.3;
    List[2].Name = "burst";
    List[2].BurstFactor = 5;
    List[3].Name = "month-end";
    List[3].LongPromptSurge = true;
    List[4].Name = "slow-engine";
    List[4].SlowEngine = true;
    List[5].Name = "stale-reports";
    List[5].ReportLag = seconds(5);
    List[6].Name = "engine-deaths";
    List[6].EngineCrashes = 6;
    List[7].Name = "owner-death";
    List[7].LoadFactor = 1.0;
    List[7].ReplaceOwner = true;
    return List;
  }();
  return All;
}

const std::vector<std::string> &policyNames() {
  static const std::vector<std::string> All = {
      "round-robin", "least-reported", "power-of-two", "escrow", "ours"};
  return All;
}

double computeQuantile(std::vector<double> Values, double Share) {
  if (Values.empty()) {
    return 0;
  }
  std::sort(Values.begin(), Values.end());
  size_t I = static_cast<size_t>(Share * static_cast<double>(Values.size()));
  return Values[std::min(I, Values.size() - 1)];
}

} // namespace shallotlatch
