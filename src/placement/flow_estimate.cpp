#include "flow_estimate_p.h"

#include <algorithm>
#include <cmath>

namespace shallotlatch {

// Time over which the rates are averaged: as long as most requests run, so that
// the rate of releases follows a change of the load within one of them.
static constexpr Duration RateWindow = seconds(1);
// Longest wait that is predicted.
static constexpr double MaxWaitSeconds = 60;

void EventRate::record(Time Now) {
  if (this->StartedAt == Time()) {
    this->StartedAt = Now;
    this->UpdatedAt = Now;
  }
  this->Level = this->perSecond(Now) + 1 / toSeconds(this->Window);
  this->UpdatedAt = Now;
}

double EventRate::perSecond(Time Now) const {
  double Elapsed = toSeconds(Now - this->UpdatedAt);
  return this->Level *
         std::exp(-std::max(0.0, Elapsed) / toSeconds(this->Window));
}

FlowEstimate::FlowEstimate() : Arrivals(RateWindow), Releases(RateWindow) {}

static Duration waitFor(double Requests, double PerSecond) {
  double Seconds = Requests / std::max(PerSecond, 1e-6);
  return Duration(
      static_cast<int64_t>(std::min(Seconds, MaxWaitSeconds) * 1e6));
}

Duration FlowEstimate::waitBehind(size_t Ahead, Time Now) const {
  return waitFor(static_cast<double>(Ahead) + 1, this->Releases.perSecond(Now));
}

Duration FlowEstimate::waitBehindArrivals(size_t Ahead, Time Now) const {
  return waitFor(static_cast<double>(Ahead) + 1,
                 this->Releases.perSecond(Now) - this->Arrivals.perSecond(Now));
}

} // namespace shallotlatch
