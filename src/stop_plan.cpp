#include "stop_plan_p.h"

#include <algorithm>

namespace shallotlatch {

// Time after a request to stop during which the load balancer may still open
// new connections. It probes readiness once a second and removes a host after
// the second failed probe.
static constexpr Duration BalancerRemovalDelay = millis(2600);
// Time reserved before the end of the grace period for sending the last
// responses and for the end of the process.
static constexpr Duration FinalResponseMargin = millis(500);
// A short grace period is divided by this to get that time instead, so that the
// requests held get nearly all of the grace period.
static constexpr int FinalResponseDivisor = 8;
// The time until the end of all requests is divided by this to get the time
// that a target has at least to answer a request with a later deadline. A
// request that is refused sooner has the more time at another host.
static constexpr int AnswerTimeDivisor = 2;

StopPlan planStop(Time RequestedAt, Duration Grace) {
  Duration Margin = std::min(FinalResponseMargin, Grace / FinalResponseDivisor);
  Duration HoldTime = Grace - Margin;
  StopPlan Plan;
  Plan.EndRequestsAt = RequestedAt + HoldTime;
  Plan.EarliestExit = RequestedAt + std::min(BalancerRemovalDelay, HoldTime);
  Plan.SendUntil = Plan.EndRequestsAt - HoldTime / AnswerTimeDivisor;
  Plan.AdmitUntil = std::min(Plan.EarliestExit, Plan.SendUntil);
  Plan.ExitAt = Plan.EndRequestsAt + Margin / 2;
  return Plan;
}

} // namespace shallotlatch
