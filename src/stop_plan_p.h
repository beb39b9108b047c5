/// \file
/// When a host that was asked to stop does what.
#pragma once

#include "shallotlatch/types.h"

namespace shallotlatch {

/// The steps of a planned stop, in order.
struct StopPlan {
  Time AdmitUntil; ///< New requests are admitted.
  /// Until then the load balancer may open new connections, so the host stays
  /// to answer them.
  Time EarliestExit;
  /// Requests are sent to targets. Later, only those whose deadline is not
  /// after EndRequestsAt are.
  Time SendUntil;
  Time EndRequestsAt; ///< The requests that are left are ended.
  Time ExitAt; ///< The process ends, even if a caller has not read its answer.
};

/// Returns the steps of a stop that was requested at \p RequestedAt.
/// \p Grace: time from then on after which the process is killed.
StopPlan planStop(Time RequestedAt, Duration Grace);

} // namespace shallotlatch
