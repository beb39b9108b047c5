#include "place_pool_p.h"

#include <algorithm>
#include <cmath>
#include <functional>

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
// Longest wait of a request to a service that is no engine, as a share of its
// objective.
static constexpr double ServiceWaitShare = 0.6;
// Time before the deadline that a caller needs to try again after its first
// refusal. A request with less time left waits instead of being refused.
static constexpr Duration MinTimeToRetry = millis(1500);
// A late request to an engine waits for these shares of its objective and of
// the time from its arrival to its deadline, whichever is longer, before it is
// refused for good.
static constexpr double LateObjectiveShare = 0.5;
static constexpr double LateRemainingShare = 0.3;
// Shortest time after which a refused caller is told to try again.
static constexpr Duration MinRetryDelay = millis(250);
// Share of the time left to the deadline after which a refused caller is told
// to try again. Callers obey a time of at most a third of the time that they
// have left.
static constexpr double RetryAfterShare = 0.18;
// Largest number of hosts of other failure domains whose load is known early
// enough for all of them to share every target.
static constexpr uint32_t MaxRemoteHostsForAllTargets = 8;
// Mean number of hosts of other failure domains that may use one target, if
// there are more of them.
static constexpr uint32_t MeanRemoteHostsPerTarget = 3;
// Number of slots of a target that these hosts leave to the hosts of the
// target's own failure domain.
static constexpr uint32_t RemoteReservedSlots = 1;
// Targets whose cost exceeds the lowest cost by no more than this factor and
// this time count as equally good, since the prediction is not more exact.
static constexpr double CostToleranceFactor = 1.3;
static constexpr double CostToleranceMs = 10;
// Weight of an output token in the size of a request, relative to a prompt
// token.
static constexpr double OutputTokenWeight = 10;
static constexpr double MeanSizeWeight = 0.02;
// Largest number of waiting requests of one service.
static constexpr size_t MaxWaiting = 512;

ServiceScheduler::ServiceScheduler(bool Engine, std::string OwnDomain,
                                   uint64_t Seed)
    : Engine(Engine), OwnDomain(OwnDomain), FirstEvent(Engine),
      Latency(std::move(OwnDomain)), Seed(Seed), Random(Seed) {}

uint32_t instanceHash(const std::string &Instance) {
  return static_cast<uint32_t>(hash64(Instance));
}

const char *name(RefusalReason Why) {
  switch (Why) {
  case RefusalReason::Deadline:
    return "deadline";
  case RefusalReason::NoTarget:
    return "no-target";
  case RefusalReason::Overload:
    return "overload";
  case RefusalReason::QueueFull:
    return "queue-full";
  case RefusalReason::NoVersion:
    return "no-version";
  }
  return "unknown";
}

void ServiceScheduler::setTarget(const TargetEntry &Entry, Time) {
  bool New = this->Targets.count(Entry.Instance) == 0;
  Target &T = this->Targets[Entry.Instance];
  if (T.Entry.StartedAtMs != Entry.StartedAtMs ||
      !(T.Entry.At.text() == Entry.At.text())) {
    this->Limits.forget(T.Entry.shortIdentity());
    Target Fresh;
    Fresh.OwnRunning = T.OwnRunning;
    Fresh.OwnPromptTokens = T.OwnPromptTokens;
    Fresh.PeerRunning = T.PeerRunning;
    Fresh.PeerPromptTokens = T.PeerPromptTokens;
    T = Fresh;
  }
  T.Entry = Entry;
  T.AssignedHere = this->isAssignedHere(Entry);
  if (New) {
    this->rebuildPeerUse();
  }
}

void ServiceScheduler::removeTarget(const std::string &Instance) {
  auto It = this->Targets.find(Instance);
  if (It != this->Targets.end()) {
    this->Limits.forget(It->second.Entry.shortIdentity());
  }
  if (this->Targets.erase(Instance) != 0) {
    this->rebuildPeerUse();
  }
}

static double sizeOf(const PlacementRequest &Request) {
  return Request.PromptTokens + OutputTokenWeight * Request.OutputTokens;
}

void ServiceScheduler::enqueue(const PlacementRequest &Request) {
  double Weight = this->MeanSize == 0 ? 1 : MeanSizeWeight;
  this->MeanSize += Weight * (sizeOf(Request) - this->MeanSize);
  QueueKey Key{
      Request.Rank, !this->canMeetObjective(Request, Request.Arrived),
      (Request.FirstAttempt + Request.Objective).time_since_epoch().count(),
      this->NextSerial++};
  this->Queue[Key] = Request;
  this->QueueKeys[Request.Id] = Key;
}

void ServiceScheduler::withdraw(PlacementId Id) {
  auto It = this->QueueKeys.find(Id);
  if (It != this->QueueKeys.end()) {
    this->Queue.erase(It->second);
    this->QueueKeys.erase(It);
  }
}

// Calls to services that are no engines end before late knowledge matters.
bool ServiceScheduler::isPeerLoadDelayed(const TargetEntry &Entry) const {
  return this->Engine && Entry.Domain != this->OwnDomain &&
         this->RemoteHosts > MaxRemoteHostsForAllTargets;
}

bool ServiceScheduler::isAssignedHere(const TargetEntry &Entry) const {
  if (!this->isPeerLoadDelayed(Entry)) {
    return true;
  }
  return hashPair(this->Seed, hash64(Entry.Instance)) % this->RemoteHosts <
         MeanRemoteHostsPerTarget;
}

void ServiceScheduler::setRemoteHosts(uint32_t Hosts) {
  if (Hosts == this->RemoteHosts) {
    return;
  }
  this->RemoteHosts = Hosts;
  for (auto &Item : this->Targets) {
    Item.second.AssignedHere = this->isAssignedHere(Item.second.Entry);
  }
}

bool ServiceScheduler::usable(const Target &T, Time Now) const {
  uint32_t Reserve = this->isPeerLoadDelayed(T.Entry) ? RemoteReservedSlots : 0;
  uint32_t Identity = T.Entry.shortIdentity();
  // Of a limited target, the hosts that share its limit may use it.
  bool Assigned = T.AssignedHere || this->Limits.isLimited(Identity);
  if (T.Entry.Leaving || !Assigned || !this->Limits.allows(Identity, Now) ||
      T.OwnRunning + T.PeerRunning + Reserve >= T.Entry.Slots) {
    return false;
  }
  return !T.Suspect || this->TooManySuspects ||
         (T.OwnRunning == 0 && Now >= T.NextProbeAt);
}

ServiceScheduler::Choice
ServiceScheduler::estimate(Target &T, const PlacementRequest &Request) const {
  double Pending =
      T.OwnPromptTokens + T.PeerPromptTokens + Request.PromptTokens;
  double Ms = this->Latency.roundTripMs(T.Entry.Domain) +
              this->FirstEvent.predictMs(Pending) * T.Slowness;
  double Fill =
      static_cast<double>(T.OwnRunning + T.PeerRunning) / T.Entry.Slots;
  Choice C;
  C.Selected = &T;
  C.Cost = Ms * (1 + Fill) + 50 * T.FailureScore;
  C.Predicted = Duration(static_cast<int64_t>(Ms * 1000));
  return C;
}

// A limit counts requests, whatever their size. So large requests use it, as
// long as a limited target is free, and small ones only if no other is.
void ServiceScheduler::preferBySize(const PlacementRequest &Request, Time Now) {
  bool Large = sizeOf(Request) >= this->MeanSize;
  Time Due = Request.FirstAttempt + Request.Objective;
  auto Suits = [&](const Choice &C) {
    bool Limited = this->Limits.isLimited(C.Selected->Entry.shortIdentity());
    return Large ? Limited && Now + C.Predicted <= Due : !Limited;
  };
  if (this->Engine && this->Limits.count() > 0 &&
      std::any_of(this->Choices.begin(), this->Choices.end(), Suits)) {
    this->Choices.erase(std::remove_if(this->Choices.begin(),
                                       this->Choices.end(), std::not_fn(Suits)),
                        this->Choices.end());
  }
}

bool hasSoftware(const TargetEntry &Target, SoftwareId Software) {
  return !Software.isValid() || softwareId(Target.Software) == Software;
}

bool ServiceScheduler::serves(SoftwareId Software) const {
  return std::any_of(this->Targets.begin(), this->Targets.end(),
                     [Software](const auto &Item) {
                       return !Item.second.Entry.Leaving &&
                              hasSoftware(Item.second.Entry, Software);
                     });
}

// Hosts with the same knowledge would all choose the best target before they
// learn of each other's choices, so the target is drawn at random from those
// that are nearly as good.
ServiceScheduler::Choice
ServiceScheduler::choose(const PlacementRequest &Request, Time Now) {
  this->Choices.clear();
  double Best = 0;
  for (auto &Item : this->Targets) {
    Target &T = Item.second;
    if (!this->usable(T, Now) || !hasSoftware(T.Entry, Request.Software) ||
        std::find(Request.Tried.begin(), Request.Tried.end(), Item.first) !=
            Request.Tried.end()) {
      continue;
    }
    this->Choices.push_back(this->estimate(T, Request));
  }
  if (this->Choices.empty()) {
    return Choice();
  }
  this->preferBySize(Request, Now);
  Best = this->Choices.front().Cost;
  for (const Choice &C : this->Choices) {
    Best = std::min(Best, C.Cost);
  }
  auto Worse = [Best](const Choice &C) {
    return C.Cost > Best * CostToleranceFactor + CostToleranceMs;
  };
  this->Choices.erase(
      std::remove_if(this->Choices.begin(), this->Choices.end(), Worse),
      this->Choices.end());
  std::uniform_int_distribution<size_t> Draw(0, this->Choices.size() - 1);
  return this->Choices[Draw(this->Random)];
}

bool ServiceScheduler::canMeetObjective(const PlacementRequest &Request,
                                        Time Now) const {
  double Ms = this->FirstEvent.predictMs(Request.PromptTokens);
  return Now + Duration(static_cast<int64_t>(Ms * 1000)) <=
         Request.FirstAttempt + Request.Objective;
}

Duration ServiceScheduler::maxWait(const PlacementRequest &Request) const {
  double Left =
      static_cast<double>((Request.Deadline - Request.Arrived).count());
  double Objective = static_cast<double>(Request.Objective.count());
  double Limit = this->Engine ? std::max(Objective * LateObjectiveShare,
                                         Left * LateRemainingShare)
                              : Objective * ServiceWaitShare;
  return Duration(static_cast<int64_t>(Limit));
}

// Callers of less urgent requests are told to try again later, and the hash of
// the request spreads the callers of one moment over time.
Duration ServiceScheduler::retryAfter(const PlacementRequest &Request,
                                      Time Now) const {
  double Left = static_cast<double>((Request.Deadline - Now).count());
  double Jitter =
      static_cast<double>(hashPair(Request.Id.Value, 1) % 1000) / 1000;
  double Delay = Left * RetryAfterShare * (1 + 0.3 * Jitter) *
                 (1 + 0.1 * std::min(Request.Rank, 3U));
  return std::max(MinRetryDelay, Duration(static_cast<int64_t>(Delay)));
}

void ServiceScheduler::decide(Time Now, std::vector<PlacedRequest> &Placed,
                              std::vector<PlacementRefusal> &Refused) {
  std::vector<QueueKey> Removed;
  std::vector<QueueKey> NewlyLate;
  bool MayFit = true;
  for (auto &Item : this->Queue) {
    PlacementRequest &Request = Item.second;
    if (Now >= Request.Deadline) {
      Refused.push_back({Request.Id, RefusalReason::Deadline, MinRetryDelay});
      Removed.push_back(Item.first);
      continue;
    }
    // Requests that may use every target all have the same targets to
    // choose from, so once one of them finds none the others need not look.
    Choice Best;
    bool IsBound = !Request.Tried.empty() || Request.Software.isValid();
    if (MayFit || IsBound) {
      Best = this->choose(Request, Now);
      MayFit = Best.Selected != nullptr || (IsBound && MayFit);
    }
    if (Best.Selected != nullptr) {
      this->occupy(*Best.Selected, Request.Id, Request.PromptTokens, Now);
      PlacedRequest P;
      P.Id = Request.Id;
      P.Target = Best.Selected->Entry;
      P.PromptTokens = Request.PromptTokens;
      P.Predicted = Best.Predicted;
      P.Waited = Now - Request.Arrived;
      P.Running = Best.Selected->OwnRunning + Best.Selected->PeerRunning - 1;
      Placed.push_back(P);
      Removed.push_back(Item.first);
      continue;
    }
    bool OnTime = this->canMeetObjective(Request, Now);
    bool Returns =
        !Request.RefusedBefore && Request.Deadline - Now > MinTimeToRetry;
    if (this->Targets.empty()) {
      Refused.push_back({Request.Id, RefusalReason::NoTarget, millis(500)});
      Removed.push_back(Item.first);
    } else if (!this->serves(Request.Software)) {
      Refused.push_back({Request.Id, RefusalReason::NoVersion, Duration(0)});
      Removed.push_back(Item.first);
    } else if (this->Engine && OnTime) {
      continue;
    } else if ((this->Engine && Returns) ||
               Now - Request.Arrived > this->maxWait(Request)) {
      Refused.push_back({Request.Id, RefusalReason::Overload,
                         this->retryAfter(Request, Now)});
      Removed.push_back(Item.first);
    } else if (!Item.first.Late) {
      NewlyLate.push_back(Item.first);
    }
  }
  for (const QueueKey &Key : Removed) {
    auto It = this->Queue.find(Key);
    this->QueueKeys.erase(It->second.Id);
    this->Queue.erase(It);
  }
  for (const QueueKey &Key : NewlyLate) {
    auto It = this->Queue.find(Key);
    QueueKey Next = Key;
    Next.Late = true;
    PlacementRequest Request = It->second;
    this->Queue.erase(It);
    this->QueueKeys[Request.Id] = Next;
    this->Queue[Next] = Request;
  }
  while (this->Queue.size() > MaxWaiting) {
    auto Last = std::prev(this->Queue.end());
    Refused.push_back({Last->second.Id, RefusalReason::QueueFull,
                       this->retryAfter(Last->second, Now)});
    this->QueueKeys.erase(Last->second.Id);
    this->Queue.erase(Last);
  }
}

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
  this->InFlight[Id] = R;
}

const TargetEntry *ServiceScheduler::adopt(PlacementId Id, uint32_t Target,
                                           double PromptTokens, Time Now,
                                           SoftwareId Software) {
  auto It = this->ByHash.find(Target);
  if (It == this->ByHash.end() || !hasSoftware(It->second->Entry, Software)) {
    return nullptr;
  }
  this->occupy(*It->second, Id, PromptTokens, Now);
  return &It->second->Entry;
}

void ServiceScheduler::started(PlacementId Id, Time Now) {
  auto It = this->InFlight.find(Id);
  if (It == this->InFlight.end() || It->second.Started) {
    return;
  }
  InFlightRequest &R = It->second;
  R.Started = true;
  auto TargetIt = this->Targets.find(R.Instance);
  if (TargetIt == this->Targets.end()) {
    return;
  }
  Target &T = TargetIt->second;
  T.OwnPromptTokens = std::max(0.0, T.OwnPromptTokens - R.PromptTokens);
  double ObservedMs = toSeconds(Now - R.Sent) * 1000 -
                      this->Latency.roundTripMs(T.Entry.Domain);
  double Observed =
      std::clamp(ObservedMs / this->FirstEvent.predictMs(R.PendingTokens),
                 MinSlowness, MaxSlowness);
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
  }
  InFlightRequest R = It->second;
  this->InFlight.erase(It);
  auto TargetIt = this->Targets.find(R.Instance);
  if (TargetIt == this->Targets.end()) {
    return;
  }
  Target &T = TargetIt->second;
  T.OwnRunning -= T.OwnRunning > 0 ? 1 : 0;
  if (!R.Started) {
    T.OwnPromptTokens = std::max(0.0, T.OwnPromptTokens - R.PromptTokens);
  }
  this->recordResult(T, Result, Now);
}

} // namespace shallotlatch
