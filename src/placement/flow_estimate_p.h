/// \file
/// Rates at which requests of one service arrive and leave their targets, and
/// the waiting times that follow. The code does no input or output.
#pragma once

#include "shallotlatch/types.h"

namespace shallotlatch {

/// Rate of events in events per second, as a moving average over about
/// `window`.
class EventRate {
public:
  explicit EventRate(Duration Window) : Window(Window) {}
  void record(Time Now);
  /// Returns the rate; it decays while no event is recorded.
  double perSecond(Time Now) const;

private:
  Duration Window;
  Time StartedAt; ///< Time of the first event; the epoch if there was none.
  Time UpdatedAt;
  double Level = 0; ///< Events per second as of `UpdatedAt`.
};

/// Predicts how long requests wait for a slot, for the load after a burst: more
/// requests wait than can be placed before their objectives end.
class FlowEstimate {
public:
  FlowEstimate();
  /// Records the arrival of a request that can still meet its objective.
  void recordArrival(Time Now) { this->Arrivals.record(Now); }
  /// Records that a request has left its target, which frees a slot.
  void recordRelease(Time Now) { this->Releases.record(Now); }
  /// Predicts the time until a request with \p Ahead others before it gets a
  /// slot; Duration::max() if that cannot be predicted.
  Duration waitBehind(size_t Ahead, Time Now) const;
  /// Like `waitBehind`, for a request that lets all later arrivals pass.
  Duration waitBehindArrivals(size_t Ahead, Time Now) const;

private:
  EventRate Arrivals;
  EventRate Releases;
};

} // namespace shallotlatch
