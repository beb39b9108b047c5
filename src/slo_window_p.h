/// \file
/// Service-level burn: how fast each tier uses up its share of failures.
#pragma once

#include "shallotlatch/types.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace shallotlatch {

/// Counts of one window.
struct SloCounts {
  uint64_t Good = 0;
  uint64_t Total = 0;
};

/// Burn of one series over one window: the share of bad requests, divided by
/// the share that the objective allows. Above 1 the objective is missed.
struct SloBurnRate {
  std::string Series;
  Duration Window{0};
  SloCounts Counts;
  double Objective = 0;
  double BurnRate = 0;
};

/// Ring of short buckets per series, read over several windows.
class SloWindow {
public:
  void add(const std::string &Series, bool Good, Time Now);
  SloBurnRate burnRate(const std::string &Series, double Objective,
                       Duration Window, Time Now) const;
  /// The windows that reports show: five minutes and one hour.
  static const std::vector<Duration> &windows();

private:
  static constexpr size_t BucketCount = 360;
  struct Bucket {
    int64_t Number = -1;
    SloCounts Counts;
  };
  std::map<std::string, std::array<Bucket, BucketCount>> Series;
};

} // namespace shallotlatch
