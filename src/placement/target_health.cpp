// Placed requests, and what their attempts show of a target's speed and health.
#include "place_pool_p.h"

#include <algorithm>
#include <cmath>

namespace shallotlatch {

// Weight of a new observation in the moving average of a target's slowness.
static constexpr double SlownessWeight = 0.2;
static constexpr double MinSlowness = 0.2;
static constexpr double MaxSlowness = 20;
// Time constant with which the failure score of a target decays.
static constexpr double FailureDecaySeconds = 3;
// Failure score from which on a target is suspect.
static constexpr double SuspectThreshold = 2;
// Time until a suspect target gets a probe request. It starts at the minimum
// and doubles with each failed probe up to the maximum.
static constexpr Duration MinProbeDelay = millis(250);
static constexpr Duration MaxProbeDelay = seconds(2);
// Share of suspect targets above which the fault is taken to lie elsewhere, so
// that suspect targets are used like the others.
static constexpr double MaxSuspectShare = 0.5;

void ServiceScheduler::occupy(Target &T, PlacementId Id, double PromptTokens,
                              Time Now) {
  ++T.OwnRunning;
  T.OwnPromptTokens += PromptTokens;
  this->Limits.take(T.Entry.shortIdentity(), Now);
  InFlightRequest R;
  R.Instance = T.Entry.Instance;
  R.PromptTokens = PromptTokens;
  R.PendingTokens = T.OwnPromptTokens + T.PeerPromptTokens;
  R.Sent = Now;
  if (this->Features.LearnSpeed) {
    R.SaidFactor = T.Speed.saidFactor(Now);
    R.MomentFactor = T.Speed.momentFactor(Now);
    T.Speed.countUse(1);
  }
  this->InFlight[Id] = R;
}

const TargetEntry *ServiceScheduler::adopt(PlacementId Id, uint32_t Target,
                                           double PromptTokens, Time Now,
                                           SoftwareId Software,
                                           double OutputHint) {
  auto It = this->ByHash.find(Target);
  if (It == this->ByHash.end() || !hasSoftware(It->second->Entry, Software)) {
    return nullptr;
  }
  this->occupy(*It->second, Id, PromptTokens, Now);
  this->InFlight[Id].OutputHint = OutputHint;
  return &It->second->Entry;
}

void ServiceScheduler::started(PlacementId Id, Time Now) {
  auto It = this->InFlight.find(Id);
  if (It == this->InFlight.end() || It->second.Started) {
    return;
  }
  InFlightRequest &R = It->second;
  R.Started = true;
  R.Events = 1;
  R.LastEventAt = Now;
  auto TargetIt = this->Targets.find(R.Instance);
  if (TargetIt == this->Targets.end()) {
    return;
  }
  Target &T = TargetIt->second;
  T.OwnPromptTokens = std::max(0.0, T.OwnPromptTokens - R.PromptTokens);
  double ObservedMs = toSeconds(Now - R.Sent) * 1000 -
                      this->Latency.roundTripMs(T.Entry.Domain);
  if (this->Features.LearnSpeed) {
    T.Speed.observeFirst(
        ObservedMs / (this->FirstEvent.predictMs(R.PendingTokens) * T.Slowness),
        R.SaidFactor);
    // A spell in which the machine is busy must not count as the target's own
    // slowness.
    ObservedMs /= R.MomentFactor;
  }
  double Observed =
      std::clamp(ObservedMs / this->FirstEvent.predictMs(R.PendingTokens),
                 MinSlowness, MaxSlowness);
  T.SlownessAt = Now;
  T.Slowness += SlownessWeight * (Observed - T.Slowness);
  this->FirstEvent.observe(R.PendingTokens, ObservedMs);
}

void ServiceScheduler::connected(PlacementId Id, Duration Elapsed) {
  auto It = this->InFlight.find(Id);
  if (It == this->InFlight.end()) {
    return;
  }
  auto TargetIt = this->Targets.find(It->second.Instance);
  if (TargetIt != this->Targets.end()) {
    this->Latency.observe(TargetIt->second.Entry.Domain,
                          toSeconds(Elapsed) * 1000);
  }
}

void ServiceScheduler::markSuspect(Target &T, Time Now) {
  if (!T.Suspect) {
    T.SuspectStreak = 0;
  }
  T.Suspect = true;
  Duration Avoid = MinProbeDelay * (1 << std::min(T.SuspectStreak, 4U));
  T.NextProbeAt = Now + std::min(Avoid, MaxProbeDelay);
  ++T.SuspectStreak;
  this->countSuspects();
}

void ServiceScheduler::countSuspects() {
  size_t Suspects = 0;
  for (const auto &Item : this->Targets) {
    Suspects += Item.second.Suspect ? 1 : 0;
  }
  this->TooManySuspects =
      static_cast<double>(Suspects) >
      MaxSuspectShare * static_cast<double>(this->Targets.size());
}

void ServiceScheduler::recordResult(Target &T, AttemptResult Result, Time Now) {
  double Elapsed = toSeconds(Now - T.FailureScoreAt);
  T.FailureScore *= std::exp(-std::max(0.0, Elapsed) / FailureDecaySeconds);
  T.FailureScoreAt = Now;
  switch (Result) {
  case AttemptResult::Unreachable:
    T.FailureScore = std::max(T.FailureScore, SuspectThreshold);
    break;
  case AttemptResult::Failed:
  case AttemptResult::Lost:
    T.FailureScore += 1;
    break;
  case AttemptResult::Full:
    T.FailureScore += 0.5;
    break;
  case AttemptResult::Served:
    T.FailureScore *= 0.8;
    if (T.Suspect) {
      T.Suspect = false;
      T.FailureScore = std::min(T.FailureScore, SuspectThreshold / 2);
      this->countSuspects();
    }
    return;
  case AttemptResult::Unknown:
    return;
  }
  if (T.FailureScore >= SuspectThreshold) {
    this->markSuspect(T, Now);
  }
}

void ServiceScheduler::ended(PlacementId Id, AttemptResult Result, Time Now) {
  auto It = this->InFlight.find(Id);
  if (It == this->InFlight.end()) {
    return;
  }
  if (Result == AttemptResult::Served) {
    this->started(Id, Now);
    if (this->Versions != nullptr && It->second.Rank) {
      this->Versions->served(*It->second.Rank, Now - It->second.Sent);
    }
  }
  InFlightRequest R = It->second;
  this->InFlight.erase(It);
  this->Flow.recordRelease(Now);
  auto TargetIt = this->Targets.find(R.Instance);
  if (TargetIt == this->Targets.end()) {
    return;
  }
  Target &T = TargetIt->second;
  T.OwnRunning -= T.OwnRunning > 0 ? 1 : 0;
  T.Speed.countUse(-1);
  if (!R.Started) {
    T.OwnPromptTokens = std::max(0.0, T.OwnPromptTokens - R.PromptTokens);
  }
  this->recordResult(T, Result, Now);
}

} // namespace shallotlatch
