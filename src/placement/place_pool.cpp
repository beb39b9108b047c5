#include "place_pool_p.h"

#include <algorithm>
#include <limits>

namespace shallotlatch {

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
// The same if waits are predicted. Objectives end before such a caller returns
// in any case, so it comes back late enough to find the burst over.
static constexpr double PredictedRetryAfterShare = 0.26;
// Work of a request besides its prompt, in prompt tokens: about the time that
// the output of a short answer takes.
static constexpr double MinRequestWork = 1000;
// Weight of a new request in the moving average of the size.
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
  case RefusalReason::Paused:
    return "targets-paused";
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
  T.Incarnation = incarnationKey(Entry);
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

// A request takes a slot even if its prompt is short.
static double workOf(const PlacementRequest &Request) {
  return MinRequestWork + Request.PromptTokens;
}

void ServiceScheduler::enqueue(const PlacementRequest &Request) {
  double Weight = this->MeanSize == 0 ? 1 : MeanSizeWeight;
  this->MeanSize += Weight * (requestSize(Request) - this->MeanSize);
  bool Late = !this->canMeetObjective(Request, Request.Arrived);
  QueueKey Key;
  Key.Last = this->Features.PredictWaits && Late;
  Key.Rank = Request.Rank;
  Key.OverShare = this->Features.FairShares &&
                  this->Shares.isOverShare(Request.Customer, Request.Arrived);
  Key.Late = Late;
  Key.Due =
      (Request.FirstAttempt + Request.Objective).time_since_epoch().count();
  Key.Serial = this->NextSerial++;
  this->Queue[Key] = Request;
  this->QueueKeys[Request.Id] = Key;
  if (!Key.Late) {
    this->Flow.recordArrival(Request.Arrived);
  }
  if (this->Features.FairShares) {
    this->Shares.recordDemand(Request.Customer, workOf(Request),
                              Request.Arrived);
  }
}

void ServiceScheduler::withdraw(PlacementId Id) {
  auto It = this->QueueKeys.find(Id);
  if (It != this->QueueKeys.end()) {
    this->Queue.erase(It->second);
    this->QueueKeys.erase(It);
  }
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

Duration ServiceScheduler::predictWait(const QueueKey &Key, size_t Ahead,
                                       Time Now) const {
  if (!this->Engine || !this->Features.PredictWaits) {
    return Duration(0);
  }
  return Key.Late ? this->Flow.waitBehindArrivals(Ahead, Now)
                  : this->Flow.waitBehind(Ahead, Now);
}

// Callers of less urgent requests are told to try again later, and the hash of
// the request spreads the callers of one moment over time.
Duration ServiceScheduler::retryAfter(const PlacementRequest &Request,
                                      Time Now) const {
  ServiceOpening Open = this->opening(Request, Now);
  if (Open.Blocked) {
    return retryAtOpening(Request, Open);
  }
  double Left = static_cast<double>((Request.Deadline - Now).count());
  double Jitter =
      static_cast<double>(hashPair(Request.Id.Value, 1) % 1000) / 1000;
  double Delay = this->Features.PredictWaits
                     ? Left * PredictedRetryAfterShare * (1 + 0.25 * Jitter)
                     : Left * RetryAfterShare * (1 + 0.3 * Jitter) *
                           (1 + 0.1 * std::min(Request.Rank, 3U));
  return std::max(MinRetryDelay, Duration(static_cast<int64_t>(Delay)));
}

void ServiceScheduler::decide(Time Now, std::vector<PlacedRequest> &Placed,
                              std::vector<PlacementRefusal> &Refused) {
  this->DecidedAt = Now;
  std::vector<QueueKey> Removed;
  std::vector<QueueKey> NewlyLate;
  // Smallest estimate of the requests that wait for a faster target.
  double AwaitingHint = std::numeric_limits<double>::infinity();
  // By the holder whose notices apply to a request, if there are any.
  std::map<HostId, bool> FitsNowhere;
  std::map<HostId, ServiceOpening> Openings;
  size_t Ahead = 0; // Requests that stay in the queue before this one.
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
    bool IsBound = !Request.Tried.empty() || Request.Software.isValid() ||
                   (this->Versions != nullptr &&
                    this->Versions->rule(Request) == VersionRule::NewOnly);
    HostId Told =
        this->holderNotices(Request) != nullptr ? Request.Holder : HostId();
    bool &Nowhere = FitsNowhere[Told];
    if ((!Nowhere || IsBound) && Request.OutputHint >= AwaitingHint &&
        this->mayAwaitFaster(Request, Now)) {
      ++Ahead;
      continue;
    }
    if (!Nowhere || IsBound) {
      Best = this->choose(Request, Now);
      if (Best.WaitForFaster) {
        // The slot that is free goes to a shorter request, if one waits.
        AwaitingHint = Request.OutputHint;
        ++Ahead;
        continue;
      }
      Nowhere = Best.Selected == nullptr && (!IsBound || Nowhere);
    }
    if (Best.Selected != nullptr) {
      this->occupy(*Best.Selected, Request.Id, Request.PromptTokens, Now);
      if (this->Features.FairShares) {
        this->Shares.recordPlaced(Request.Customer, workOf(Request), Now);
      }
      this->InFlight[Request.Id].OutputHint = Request.OutputHint;
      if (this->Versions != nullptr) {
        this->Versions->placed(Best.Selected->Entry);
        this->InFlight[Request.Id].Rank = Request.Rank;
      }
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
    Duration Wait = this->predictWait(Item.first, Ahead, Now);
    ServiceOpening Open;
    if (IsBound) {
      Open = this->opening(Request, Now);
    } else {
      auto Known = Openings.find(Told);
      if (Known == Openings.end()) {
        Known = Openings.emplace(Told, this->opening(Request, Now)).first;
      }
      Open = Known->second;
    }
    Duration UntilOpen = Open.Until.value_or(Duration(0));
    Wait = std::max(Wait, UntilOpen);
    bool OnTime = this->canMeetObjective(Request, Now + Wait);
    bool Hopeless =
        Wait > this->maxWait(Request) ||
        (UntilOpen.count() > 0 &&
         Now - Request.Arrived + UntilOpen > this->maxWait(Request));
    bool Returns =
        !Request.RefusedBefore && Request.Deadline - Now > MinTimeToRetry;
    if (this->Targets.empty()) {
      Refused.push_back({Request.Id, RefusalReason::NoTarget, millis(500)});
      Removed.push_back(Item.first);
    } else if (Request.Software.isValid() && !this->serves(Request.Software)) {
      Refused.push_back({Request.Id, RefusalReason::NoVersion, Duration(0)});
      Removed.push_back(Item.first);
    } else if (this->Engine && OnTime) {
      ++Ahead;
      continue;
    } else if ((this->Engine && Returns) || Hopeless ||
               Now - Request.Arrived > this->maxWait(Request)) {
      Refused.push_back(
          {Request.Id,
           Open.Blocked ? RefusalReason::Paused : RefusalReason::Overload,
           this->retryAfter(Request, Now)});
      Removed.push_back(Item.first);
    } else {
      ++Ahead;
      if (!Item.first.Late) {
        NewlyLate.push_back(Item.first);
      }
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
    Next.Last = this->Features.PredictWaits;
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

} // namespace shallotlatch
