/// \file
/// Bounds how often requests are sent to a second target, over the whole
/// fleet: each host keeps to its own requests' ratio and its share of the rest.
#pragma once

#include "shallotlatch/types.h"

#include <array>

namespace shallotlatch {

struct RetryBudgetInit {
  double Ratio = 0.1; ///< Repeats allowed for each request.
  double Extra = 10;  ///< Repeats allowed besides, in a window, fleet-wide.
  Duration Window = seconds(10);
};

/// Counts of one service on this host.
class RetryBudget {
public:
  explicit RetryBudget(const RetryBudgetInit &Init) : Init(Init) {}

  void recordRequest(Time Now);
  /// Takes one repeat if the budget has it. \p Hosts shares the extra part.
  bool take(Time Now, uint32_t Hosts);
  double available(Time Now, uint32_t Hosts);

private:
  static constexpr size_t Buckets = 20;
  struct Count {
    uint32_t Requests = 0;
    uint32_t Repeats = 0;
  };
  void advance(Time Now);

  RetryBudgetInit Init;
  std::array<Count, Buckets> Ring{};
  int64_t CurrentBucket = 0;
  Count Sum;
};

} // namespace shallotlatch
