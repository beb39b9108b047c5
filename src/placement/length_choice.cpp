// What the events of running streams show of a target's speed, and the choice
// of a target by the expected length of an answer.
#include "place_pool_p.h"

#include <algorithm>
#include <functional>

namespace shallotlatch {

// Factor by which an answer may be longer than expected and still end in time.
// Estimates are often wrong by a factor of two; a larger margin would keep
// answers of middle length from targets on which most of them end in time.
static constexpr double LengthMargin = 1.5;
// Factor between the times per event from which on a target counts as slow.
// Spells in which the machine is busy move the mean by a factor of 1.2.
static constexpr double SlowFactor = 1.5;
// Factor above the earliest predicted end that counts as equally early.
static constexpr double EndTolerance = 1.2;
// Shares of the time left to the objective and to the deadline that a short
// answer may need on a slow target.
static constexpr double FillObjectiveShare = 0.5;
static constexpr double FillDeadlineShare = 0.4;
// Share of all slots in use from which on short answers go to slow targets, and
// at which all of them do. Below, fast targets have slots to spare.
static constexpr double FillStart = 0.4;
static constexpr double FillFull = 0.8;
// Longest wait for a faster target, also as a share of the objective. Fast
// targets of one failure domain end some 40 streams a second.
static constexpr Duration MaxAwaitFaster = millis(400);
static constexpr double AwaitObjectiveShare = 0.4;
// Largest number of targets with unreported observations. A host without an
// owner never reports them; each incarnation of a target adds one.
static constexpr size_t MaxUnreportedPaces = 4096;
// Largest number of heads that wait for a report, and the age from which on
// they say nothing of the moment any more. Reports follow a first event within
// 20 ms.
static constexpr size_t MaxUnreportedLoads = 64;
static constexpr Duration MaxUnreportedLoadAge = millis(500);
// Time after which half of what a target was slower than others is left. One
// that is 4.4 times slower is tried again after 15 to 40 s in which nothing ran
// there.
static constexpr double SlownessHalfLifeSeconds = 5;
// Largest number of changed limits that wait to be logged.
static constexpr size_t MaxLimitChanges = 64;
// Weight of one event in the mean over all targets.
static constexpr double MeanEventWeight = 0.002;

double ServiceScheduler::eventMs(const Target &T) const {
  double Ms = T.Speed.eventMs();
  return Ms > 0 ? Ms : this->MeanEventMs;
}

void ServiceScheduler::survey(const Target &T, Overview &All) const {
  if (T.Entry.Leaving || !T.AssignedHere) {
    return;
  }
  ++All.Targets;
  All.Limited += T.Limit.isLimited() ? 1 : 0;
  All.Running += T.OwnRunning + T.PeerRunning;
  All.Slots += T.Entry.Slots;
  double Ms = T.Suspect ? 0 : T.Speed.eventMs();
  if (Ms > 0 && (All.FastestEventMs == 0 || Ms < All.FastestEventMs)) {
    All.FastestEventMs = Ms;
  }
}

bool ServiceScheduler::mayAwaitFaster(const PlacementRequest &Request,
                                      Time Now) const {
  Duration Limit(static_cast<int64_t>(
      static_cast<double>(Request.Objective.count()) * AwaitObjectiveShare));
  return Now - Request.Arrived < std::min(Limit, MaxAwaitFaster);
}

uint32_t ServiceScheduler::requestsOn(const Target &T, Time Now) const {
  uint32_t Known = T.OwnRunning + T.PeerRunning;
  return this->Features.LearnSpeed
             ? std::max(Known, std::min(T.Speed.saidUse(Now), T.Entry.Slots))
             : Known;
}

bool ServiceScheduler::isAtLimit(const Target &T) const {
  return T.Limit.isLimited() &&
         T.OwnRunning + T.PeerRunning >= T.Limit.limit(T.Entry.Slots);
}

// Otherwise a target that was slow once is never chosen while others are free,
// so that nothing shows its recovery. Only requests of known length try it, as
// a long one would be cut there.
double ServiceScheduler::slowness(const Target &T, Time Now) const {
  if (!this->Features.LearnSpeed || T.SlownessAt == Time()) {
    return T.Slowness;
  }
  double Age = std::max(0.0, toSeconds(Now - T.SlownessAt));
  return 1 + (T.Slowness - 1) / (1 + Age / SlownessHalfLifeSeconds);
}

bool ServiceScheduler::isCrowded(const Target &T, Time Now) const {
  uint32_t Said = T.Speed.saidSlots(Now);
  uint32_t Slots = Said == 0 ? T.Entry.Slots : std::min(Said, T.Entry.Slots);
  return this->requestsOn(T, Now) >= Slots;
}

// What a target says may be false, so it puts a request off for a moment and
// refuses none.
void ServiceScheduler::avoidCrowded(const PlacementRequest &Request, Time Now) {
  auto IsCrowded = [](const Choice &C) { return C.Crowded; };
  if (!std::all_of(this->Choices.begin(), this->Choices.end(), IsCrowded)) {
    this->Choices.erase(
        std::remove_if(this->Choices.begin(), this->Choices.end(), IsCrowded),
        this->Choices.end());
  } else if (this->mayAwaitFaster(Request, Now)) {
    for (Choice &C : this->Choices) {
      C.WaitForFaster = true;
    }
  }
}

void ServiceScheduler::preferByLength(const PlacementRequest &Request,
                                      const Overview &All, Time Now) {
  if (All.Events <= 0 || All.FastestEventMs <= 0) {
    return;
  }
  auto Keep = [this](auto Suits) {
    if (std::any_of(this->Choices.begin(), this->Choices.end(), Suits)) {
      this->Choices.erase(std::remove_if(this->Choices.begin(),
                                         this->Choices.end(),
                                         std::not_fn(Suits)),
                          this->Choices.end());
      return true;
    }
    return false;
  };
  double LeftMs = toSeconds(Request.Deadline - Now) * 1000;
  double ObjectiveMs =
      toSeconds(Request.FirstAttempt + Request.Objective - Now) * 1000;
  double FirstEnd = 0;
  for (Choice &C : this->Choices) {
    C.EndMs = toSeconds(C.Predicted) * 1000 +
              All.Events * LengthMargin * this->eventMs(*C.Selected);
    FirstEnd = FirstEnd == 0 ? C.EndMs : std::min(FirstEnd, C.EndMs);
  }
  if (!Keep([LeftMs](const Choice &C) { return C.EndMs <= LeftMs; })) {
    bool CanAwait = this->mayAwaitFaster(Request, Now);
    Keep([FirstEnd](const Choice &C) {
      return C.EndMs <= FirstEnd * EndTolerance;
    });
    for (Choice &C : this->Choices) {
      C.WaitForFaster =
          C.WaitForFaster || (CanAwait && this->eventMs(*C.Selected) >
                                              All.FastestEventMs * SlowFactor);
    }
    return;
  }
  double Use = static_cast<double>(All.Running) / std::max(All.Slots, 1U);
  double Share = (Use - FillStart) / (FillFull - FillStart);
  // A share of the requests, so that the change from one kind of target to the
  // other is gradual.
  if (std::uniform_real_distribution<double>(0, 1)(this->Random) < Share) {
    Keep([&](const Choice &C) {
      return this->eventMs(*C.Selected) > this->MeanEventMs * SlowFactor &&
             C.EndMs <= LeftMs * FillDeadlineShare &&
             toSeconds(C.Predicted) * 1000 <= ObjectiveMs * FillObjectiveShare;
    });
  }
}

void ServiceScheduler::progressed(PlacementId Id, uint32_t Events, Time Now) {
  if (!this->Engine || !this->Features.LearnSpeed) {
    return;
  }
  auto It = this->InFlight.find(Id);
  if (It == this->InFlight.end() || !It->second.Started) {
    return;
  }
  InFlightRequest &R = It->second;
  Duration Span = Now - R.LastEventAt;
  R.LastEventAt = Now;
  R.Events += Events;
  auto TargetIt = this->Targets.find(R.Instance);
  if (Events == 0 || TargetIt == this->Targets.end()) {
    return;
  }
  uint32_t Hash = instanceHash(R.Instance);
  if (TargetIt->second.Speed.countForReport(Events, Span, Now) &&
      this->UnreportedPaces.size() < MaxUnreportedPaces) {
    this->UnreportedPaces.push_back(Hash);
  }
  this->observePace({Hash, Events, Span}, Now);
}

void ServiceScheduler::completed(PlacementId Id, uint32_t Events) {
  auto It = this->InFlight.find(Id);
  if (It != this->InFlight.end() && this->Features.LearnSpeed) {
    this->Length.observe(It->second.OutputHint, Events);
  }
}

void ServiceScheduler::observePaces(const std::vector<TargetPace> &Paces,
                                    Time Now) {
  for (const TargetPace &Pace : Paces) {
    this->observePace(Pace, Now);
  }
}

void ServiceScheduler::observePace(const TargetPace &Pace, Time Now) {
  auto It = this->ByHash.find(Pace.Target);
  if (!this->Engine || !this->Features.LearnSpeed || It == this->ByHash.end() ||
      Pace.Events == 0) {
    return;
  }
  It->second->Speed.observeEvents(Pace.Events, Pace.Span, Now);
  Target &T = *It->second;
  double Ms = toSeconds(Pace.Span) * 1000 / Pace.Events;
  uint32_t Limit = T.Limit.limit(T.Entry.Slots);
  T.Limit.observe(T.OwnRunning + T.PeerRunning, T.Entry.Slots, Pace.Events,
                  Ms * Pace.Events / T.Speed.trustedFactor(Now), Now);
  uint32_t Next = T.Limit.limit(T.Entry.Slots);
  if (Next != Limit && this->LimitChanges.size() < MaxLimitChanges) {
    this->LimitChanges.push_back(
        {T.Entry.Instance, Next, T.Entry.Slots, T.Speed.eventMs()});
  }
  double Weight =
      this->MeanEventMs == 0 ? 1 : std::min(0.1, MeanEventWeight * Pace.Events);
  this->MeanEventMs += Weight * (Ms - this->MeanEventMs);
}

void ServiceScheduler::observeLoad(const std::string &Instance,
                                   uint32_t Identity, TargetLoad Load,
                                   Time Now) {
  auto It = this->Targets.find(Instance);
  if (!this->Engine || !this->Features.LearnSpeed ||
      It == this->Targets.end() ||
      It->second.Entry.shortIdentity() != Identity) {
    return;
  }
  Load.Target = instanceHash(Instance);
  It->second.Speed.observeLoad(Load, Now - Load.Age);
  if (this->UnreportedLoads.size() < MaxUnreportedLoads) {
    this->UnreportedLoads.emplace_back(Now - Load.Age, Load);
  }
}

void ServiceScheduler::observeLoads(const std::vector<TargetLoad> &Loads,
                                    Time Now) {
  for (const TargetLoad &Load : Loads) {
    auto It = this->ByHash.find(Load.Target);
    if (this->Features.LearnSpeed && It != this->ByHash.end()) {
      It->second->Speed.observeLoad(Load, Now - Load.Age);
    }
  }
}

std::vector<TargetLoad> ServiceScheduler::takeLoads(Time Now) {
  std::vector<TargetLoad> Loads;
  for (auto &Item : this->UnreportedLoads) {
    Item.second.Age = Now - Item.first;
    if (Item.second.Age < MaxUnreportedLoadAge) {
      Loads.push_back(Item.second);
    }
  }
  this->UnreportedLoads.clear();
  return Loads;
}

std::vector<LimitChange> ServiceScheduler::takeLimitChanges() {
  std::vector<LimitChange> Changes;
  Changes.swap(this->LimitChanges);
  return Changes;
}

std::vector<TargetPace> ServiceScheduler::takePaces() {
  std::vector<TargetPace> Paces;
  for (uint32_t Hash : this->UnreportedPaces) {
    auto It = this->ByHash.find(Hash);
    if (It == this->ByHash.end()) {
      continue;
    }
    TargetPace Pace = It->second->Speed.takePace();
    Pace.Target = Hash;
    if (Pace.Events > 0) {
      Paces.push_back(Pace);
    }
  }
  this->UnreportedPaces.clear();
  return Paces;
}

} // namespace shallotlatch
