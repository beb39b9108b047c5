#include "place_pool_p.h"

#include <algorithm>
#include <cmath>

namespace shallotlatch {

// Time to the first event of an engine at speed one: base, and per prompt
// token. Published figures of the engines served today; observed slowness
// corrects them for each target.
static constexpr double EngineBaseMs = 20;
static constexpr double PromptTokensPerMs = 55;
// Expected answer time of a plain service at speed one.
static constexpr double ServiceBaseMs = 30;
// One way out and back to a target in another failure domain.
static constexpr double RemoteDomainMs = 40;
// Weight of one new observation of a target's slowness.
static constexpr double SlownessWeight = 0.2;
static constexpr double MinSlowness = 0.3;
static constexpr double MaxSlowness = 20;
// Failures of a target are forgotten with this time constant.
static constexpr double FailureDecaySeconds = 3;
// From this many recent failures on a target is suspect.
static constexpr double SuspectThreshold = 2;
// A suspect target is left alone this long, doubled with each failed probe.
static constexpr Duration MinProbeDelay = millis(250);
static constexpr Duration MaxProbeDelay = seconds(2);
// Above this share of suspects the fault is taken to lie elsewhere, and all
// targets are used.
static constexpr double MaxSuspectShare = 0.5;
// A plain service's short calls wait at most this share of their objective.
static constexpr double ServiceWaitShare = 0.6;
// A caller refused for the first time may come back; with less time left than
// this it could not, so it waits instead.
static constexpr Duration MinTimeToRetry = millis(1500);
// A late request waits this share of its objective and of the time that it
// has left before it is refused for good.
static constexpr double LateObjectiveShare = 0.5;
static constexpr double LateRemainingShare = 0.3;
// Bounds of the advice to come back. Callers keep to at most a third of the
// time that they have left.
static constexpr Duration MinRetryDelay = millis(250);
static constexpr double RetryAfterShare = 0.18;
// Up to this many hosts of other domains are heard quickly enough to share all
// targets.
static constexpr uint32_t MaxRemoteHostsForAllTargets = 8;
// Beyond it, hosts of other domains that may use one target, on average.
static constexpr uint32_t MeanRemoteHostsPerTarget = 3;
// Slots of a target that they leave to the hosts beside it.
static constexpr uint32_t RemoteReservedSlots = 1;
// Targets whose cost lies within this of the best are as good as it: the
// prediction is no better than that.
static constexpr double CostToleranceFactor = 1.3;
static constexpr double CostToleranceMs = 10;
// Requests that wait at the most, of one service.
static constexpr size_t MaxWaiting = 512;

ServiceScheduler::ServiceScheduler(bool Engine, std::string OwnDomain,
                                   uint64_t Seed)
    : Engine(Engine), OwnDomain(std::move(OwnDomain)), Seed(Seed),
      Random(Seed) {}

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
  }
  return "unknown";
}

void ServiceScheduler::setTarget(const TargetEntry &Entry, Time) {
  bool New = this->Targets.count(Entry.Instance) == 0;
  Target &T = this->Targets[Entry.Instance];
  if (T.Entry.StartedAtMs != Entry.StartedAtMs ||
      !(T.Entry.At.text() == Entry.At.text())) {
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
  if (this->Targets.erase(Instance) != 0) {
    this->rebuildPeerUse();
  }
}

Duration ServiceScheduler::nominalFirstEvent(double PromptTokens) const {
  double Ms = this->Engine ? EngineBaseMs + PromptTokens / PromptTokensPerMs
                           : ServiceBaseMs;
  return Duration(static_cast<int64_t>(Ms * 1000));
}

void ServiceScheduler::enqueue(const PlacementRequest &Request) {
  QueueKey Place{
      Request.Rank, !this->canMeetObjective(Request, Request.Arrived),
      (Request.FirstAttempt + Request.Objective).time_since_epoch().count(),
      this->NextSerial++};
  this->Queue[Place] = Request;
  this->QueueKeys[Request.Id] = Place;
}

void ServiceScheduler::withdraw(PlacementId Id) {
  auto It = this->QueueKeys.find(Id);
  if (It != this->QueueKeys.end()) {
    this->Queue.erase(It->second);
    this->QueueKeys.erase(It);
  }
}

// Calls of plain services are over before late news matters.
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
  if (T.Entry.Leaving || !T.AssignedHere ||
      T.OwnRunning + T.PeerRunning + Reserve >= T.Entry.Slots) {
    return false;
  }
  return !T.Suspect || this->TooManySuspects ||
         (T.OwnRunning == 0 && Now >= T.NextProbeAt);
}

ServiceScheduler::Choice
ServiceScheduler::estimate(Target &T, const PlacementRequest &Request) const {
  double Ms = T.Entry.Domain == this->OwnDomain ? 0 : RemoteDomainMs;
  if (this->Engine) {
    double Pending =
        T.OwnPromptTokens + T.PeerPromptTokens + Request.PromptTokens;
    Ms += (EngineBaseMs + Pending / PromptTokensPerMs) * T.Slowness;
  } else {
    Ms += ServiceBaseMs * T.Slowness;
  }
  double Fill =
      static_cast<double>(T.OwnRunning + T.PeerRunning) / T.Entry.Slots;
  Choice C;
  C.At = &T;
  C.Cost = Ms * (1 + Fill) + 50 * T.FailureScore;
  C.Predicted = Duration(static_cast<int64_t>(Ms * 1000));
  return C;
}

// Hosts with the same knowledge would all choose the best target before they
// hear of each other, so the choice is drawn from those that are nearly as
// good.
ServiceScheduler::Choice
ServiceScheduler::choose(const PlacementRequest &Request, Time Now) {
  this->Choices.clear();
  double Best = 0;
  for (auto &Item : this->Targets) {
    Target &T = Item.second;
    if (!this->usable(T, Now) ||
        std::find(Request.Tried.begin(), Request.Tried.end(), Item.first) !=
            Request.Tried.end()) {
      continue;
    }
    this->Choices.push_back(this->estimate(T, Request));
    double Cost = this->Choices.back().Cost;
    Best = this->Choices.size() == 1 ? Cost : std::min(Best, Cost);
  }
  if (this->Choices.empty()) {
    return Choice();
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

// Whether its first event could still come within the objective, on a target
// of ordinary speed.
bool ServiceScheduler::canMeetObjective(const PlacementRequest &Request,
                                        Time Now) const {
  return Now + this->nominalFirstEvent(Request.PromptTokens) <=
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

// Less urgent requests come back later, and none at the same moment.
Duration ServiceScheduler::retryAfter(const PlacementRequest &Request,
                                      Time Now) const {
  double Left = static_cast<double>((Request.Deadline - Now).count());
  double Point =
      static_cast<double>(hashPair(Request.Id.Value, 1) % 1000) / 1000;
  double Wait = Left * RetryAfterShare * (1 + 0.3 * Point) *
                (1 + 0.1 * std::min(Request.Rank, 3U));
  return std::max(MinRetryDelay, Duration(static_cast<int64_t>(Wait)));
}

void ServiceScheduler::decide(Time Now, std::vector<PlacedRequest> &Placed,
                              std::vector<PlacementRefusal> &Refused) {
  std::vector<QueueKey> Done;
  std::vector<QueueKey> Late;
  bool Room = true;
  for (auto &Item : this->Queue) {
    PlacementRequest &Request = Item.second;
    if (Now >= Request.Deadline) {
      Refused.push_back({Request.Id, RefusalReason::Deadline, MinRetryDelay});
      Done.push_back(Item.first);
      continue;
    }
    // Without a tried target all requests have the same choice.
    Choice Best;
    if (Room || !Request.Tried.empty()) {
      Best = this->choose(Request, Now);
      Room = Best.At != nullptr || !Request.Tried.empty();
    }
    if (Best.At != nullptr) {
      this->occupy(*Best.At, Request.Id, Request.PromptTokens, Now);
      PlacedRequest P;
      P.Id = Request.Id;
      P.Target = Best.At->Entry;
      P.PromptTokens = Request.PromptTokens;
      P.Predicted = Best.Predicted;
      P.Waited = Now - Request.Arrived;
      P.Running = Best.At->OwnRunning + Best.At->PeerRunning - 1;
      Placed.push_back(P);
      Done.push_back(Item.first);
      continue;
    }
    bool OnTime = this->canMeetObjective(Request, Now);
    bool Returns =
        !Request.RefusedBefore && Request.Deadline - Now > MinTimeToRetry;
    if (this->Targets.empty()) {
      Refused.push_back({Request.Id, RefusalReason::NoTarget, millis(500)});
      Done.push_back(Item.first);
    } else if (this->Engine && OnTime) {
      continue;
    } else if ((this->Engine && Returns) ||
               Now - Request.Arrived > this->maxWait(Request)) {
      Refused.push_back({Request.Id, RefusalReason::Overload,
                         this->retryAfter(Request, Now)});
      Done.push_back(Item.first);
    } else if (!Item.first.Late) {
      Late.push_back(Item.first);
    }
  }
  for (const QueueKey &Place : Done) {
    auto It = this->Queue.find(Place);
    this->QueueKeys.erase(It->second.Id);
    this->Queue.erase(It);
  }
  for (const QueueKey &Place : Late) {
    auto It = this->Queue.find(Place);
    QueueKey Next = Place;
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
  Running R;
  R.Instance = T.Entry.Instance;
  R.PromptTokens = PromptTokens;
  R.NominalFirstEvent = this->nominalFirstEvent(PromptTokens);
  R.Sent = Now;
  this->InFlight[Id] = R;
}

const TargetEntry *ServiceScheduler::adopt(PlacementId Id, uint32_t Target,
                                           double PromptTokens, Time Now) {
  auto It = this->ByHash.find(Target);
  if (It == this->ByHash.end()) {
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
  Running &R = It->second;
  R.Started = true;
  auto Place = this->Targets.find(R.Instance);
  if (Place == this->Targets.end()) {
    return;
  }
  Target &T = Place->second;
  T.OwnPromptTokens = std::max(0.0, T.OwnPromptTokens - R.PromptTokens);
  double Seen = toSeconds(Now - R.Sent) / toSeconds(R.NominalFirstEvent);
  Seen = std::clamp(Seen, MinSlowness, MaxSlowness);
  T.Slowness += SlownessWeight * (Seen - T.Slowness);
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

void ServiceScheduler::recordResult(Target &T, AttemptResult Sign, Time Now) {
  double Past = toSeconds(Now - T.FailureScoreAt);
  T.FailureScore *= std::exp(-std::max(0.0, Past) / FailureDecaySeconds);
  T.FailureScoreAt = Now;
  switch (Sign) {
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

void ServiceScheduler::ended(PlacementId Id, AttemptResult Sign, Time Now) {
  auto It = this->InFlight.find(Id);
  if (It == this->InFlight.end()) {
    return;
  }
  if (Sign == AttemptResult::Served) {
    this->started(Id, Now);
  }
  Running R = It->second;
  this->InFlight.erase(It);
  auto Place = this->Targets.find(R.Instance);
  if (Place == this->Targets.end()) {
    return;
  }
  Target &T = Place->second;
  T.OwnRunning -= T.OwnRunning > 0 ? 1 : 0;
  if (!R.Started) {
    T.OwnPromptTokens = std::max(0.0, T.OwnPromptTokens - R.PromptTokens);
  }
  this->recordResult(T, Sign, Now);
}

void ServiceScheduler::applyUses(const std::vector<TargetUse> &Uses, int Sign) {
  for (const TargetUse &U : Uses) {
    auto It = this->ByHash.find(U.Target);
    if (It != this->ByHash.end()) {
      Target &T = *It->second;
      T.PeerRunning += static_cast<uint32_t>(Sign) * U.Running;
      T.PeerPromptTokens += Sign * static_cast<double>(U.PromptTokens);
    }
  }
}

void ServiceScheduler::peerUse(HostId Peer, const std::vector<TargetUse> &Uses,
                               Time) {
  std::vector<TargetUse> &Known = this->PeerUses[Peer];
  this->applyUses(Known, -1);
  Known = Uses;
  this->applyUses(Known, 1);
}

void ServiceScheduler::forgetPeer(HostId Peer) {
  auto It = this->PeerUses.find(Peer);
  if (It != this->PeerUses.end()) {
    this->applyUses(It->second, -1);
    this->PeerUses.erase(It);
  }
}

// Needed only when the set of targets changes.
void ServiceScheduler::rebuildPeerUse() {
  this->ByHash.clear();
  for (auto &Item : this->Targets) {
    Item.second.PeerRunning = 0;
    Item.second.PeerPromptTokens = 0;
    this->ByHash[instanceHash(Item.first)] = &Item.second;
  }
  for (const auto &Peer : this->PeerUses) {
    this->applyUses(Peer.second, 1);
  }
}

std::vector<TargetUse> ServiceScheduler::ownUse() const {
  std::vector<TargetUse> Uses;
  for (const auto &Item : this->Targets) {
    const Target &T = Item.second;
    if (T.OwnRunning > 0) {
      Uses.push_back({instanceHash(Item.first), T.OwnRunning,
                      static_cast<uint32_t>(T.OwnPromptTokens)});
    }
  }
  return Uses;
}

std::vector<std::string>
ServiceScheduler::instances(const std::vector<uint32_t> &Hashes) const {
  std::vector<std::string> Names;
  for (uint32_t Hash : Hashes) {
    auto It = this->ByHash.find(Hash);
    if (It != this->ByHash.end()) {
      Names.push_back(It->second->Entry.Instance);
    }
  }
  return Names;
}

ServiceSchedulerStats ServiceScheduler::stats() const {
  ServiceSchedulerStats S;
  for (const auto &Item : this->Targets) {
    const Target &T = Item.second;
    ++S.Targets;
    S.Usable += T.Entry.Leaving ? 0 : 1;
    S.Slots += T.Entry.Leaving ? 0 : T.Entry.Slots;
    S.Running += T.OwnRunning + T.PeerRunning;
  }
  S.Waiting = static_cast<uint32_t>(this->Queue.size());
  return S;
}

} // namespace shallotlatch
