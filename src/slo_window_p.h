/// \file
/// Burn rates of service-level objectives: how fast each series consumes its
/// error budget.
#pragma once

#include "shallotlatch/types.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace shallotlatch {

/// Request counts of one window or bucket.
struct SloCounts {
  uint64_t Good = 0;
  uint64_t Total = 0;
};

/// Burn rate of one series over one window: the share of bad requests divided
/// by the share that the objective allows. Above 1 the objective is missed.
struct SloBurnRate {
  std::string Series;
  Duration Window{0};
  SloCounts Counts;
  double Objective = 0;
  double BurnRate = 0;
};

/// Good and total request counts per series, in a ring of short buckets that
/// is read over several windows. A series is a tier or a customer.
class SloWindow {
public:
  /// Counts one request of \p Series.
  void add(const std::string &Series, bool Good, Time Now);
  /// Returns the burn rate of \p Series over the last \p Window. \p Objective
  /// is the required share of good requests, below 1.
  SloBurnRate burnRate(const std::string &Series, double Objective,
                       Duration Window, Time Now) const;
  /// Windows that reports show: five minutes and one hour.
  static const std::vector<Duration> &windows();

private:
  /// 360 buckets of ten seconds cover the longest window, one hour.
  static constexpr size_t BucketCount = 360;
  struct Bucket {
    int64_t Number = -1; ///< Time divided by the bucket width; -1: empty.
    SloCounts Counts;
  };
  std::map<std::string, std::array<Bucket, BucketCount>> Series;
};

} // namespace shallotlatch
