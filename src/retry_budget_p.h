/// \file
/// Limit on how often requests are sent to a second target. It holds for the
/// whole fleet: each host may repeat a fixed ratio of its own requests, and has
/// a share of a fixed number of extra repeats.
#pragma once

#include "shallotlatch/types.h"

#include <array>

namespace shallotlatch {

/// Limits of a retry budget.
struct RetryBudgetInit {
  double Ratio = 0.1; ///< Number of repeats allowed per request.
  /// Number of further repeats that the whole fleet may make in one window.
  double Extra = 10;
  /// Length of the sliding window over which requests and repeats are counted.
  Duration Window = seconds(10);
};

/// Retry budget of one service on this host.
class RetryBudget {
public:
  explicit RetryBudget(const RetryBudgetInit &Init) : Init(Init) {}

  /// Counts one new request, which raises the number of repeats allowed.
  void recordRequest(Time Now);
  /// Takes one repeat from the budget; returns false if the budget is
  /// exhausted. \p Hosts is the number of hosts that share the extra repeats.
  bool take(Time Now, uint32_t Hosts);
  /// Number of repeats that the budget still allows.
  double available(Time Now, uint32_t Hosts);

private:
  /// Number of buckets of the window.
  static constexpr size_t Buckets = 20;
  /// Counts of one bucket of the window, or of the whole window.
  struct Count {
    uint32_t Requests = 0;
    uint32_t Repeats = 0;
  };
  /// Discards the buckets that have left the window.
  void advance(Time Now);

  RetryBudgetInit Init;
  /// Bucket N is kept at index N modulo `Buckets`.
  std::array<Count, Buckets> Ring{};
  /// Number of the newest bucket, counted from the epoch.
  int64_t CurrentBucket = 0;
  Count Sum; ///< Sum over all buckets of the window.
};

} // namespace shallotlatch
