// Which targets a request may use and which of them it gets.
#include "place_pool_p.h"

#include <algorithm>
#include <functional>

namespace shallotlatch {

// Weight of an output token in the size of a request, relative to a prompt
// token.
static constexpr double OutputTokenWeight = 10;
// Largest number of hosts of other failure domains whose load is known early
// enough for all of them to share every target.
static constexpr uint32_t MaxRemoteHostsForAllTargets = 8;
// Mean number of hosts of other failure domains that may use one target, if
// there are more of them.
static constexpr uint32_t MeanRemoteHostsPerTarget = 3;
// Number of slots of a target that these hosts leave to the hosts of the
// target's own failure domain.
static constexpr uint32_t RemoteReservedSlots = 1;
// Number of slots that hosts of other failure domains leave free if waits are
// predicted. Between two reports of use, several hosts may take the slot that
// they all see free; what exceeds the slots waits at the target, where nothing
// more urgent can overtake it.
static constexpr uint32_t SharedReservedSlots = 2;
// Targets whose cost exceeds the lowest cost by no more than this factor and
// this time count as equally good, since the prediction is not more exact.
static constexpr double CostToleranceFactor = 1.3;
static constexpr double CostToleranceMs = 10;
// Part of a target's slots up to which requests are concentrated on it, so that
// a version that fails only under load shows it. Above it requests go to the
// next target, so that queueing does not make a good version look slow.
static constexpr double ConcentratedFill = 0.75;

// Share of targets with a learned limit up to which the limits hold. With more,
// the cause is not in the targets, and requests would be refused.
static constexpr double MaxLimitedShare = 0.25;

double requestSize(const PlacementRequest &Request) {
  return Request.PromptTokens + OutputTokenWeight * Request.OutputTokens;
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
  if (this->Features.PredictWaits && this->Engine && this->RemoteHosts > 0 &&
      T.Entry.Domain != this->OwnDomain) {
    Reserve = SharedReservedSlots;
  }
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
ServiceScheduler::estimate(Target &T, const PlacementRequest &Request,
                           Time Now) const {
  double Pending =
      T.OwnPromptTokens + T.PeerPromptTokens + Request.PromptTokens;
  double Ms =
      this->Latency.roundTripMs(T.Entry.Domain) +
      this->FirstEvent.predictMs(Pending) *
          (Request.OutputHint > 0 ? this->slowness(T, Now) : T.Slowness) *
          (this->Features.LearnSpeed ? T.Speed.momentFactor(Now) : 1);
  double Fill = static_cast<double>(this->requestsOn(T, Now)) / T.Entry.Slots;
  Choice C;
  C.Selected = &T;
  C.Cost = Ms * (1 + Fill) + 50 * T.FailureScore;
  C.Predicted = Duration(static_cast<int64_t>(Ms * 1000));
  return C;
}

// A limit counts requests, whatever their size. So large requests use it, as
// long as a limited target is free, and small ones only if no other is.
void ServiceScheduler::preferBySize(const PlacementRequest &Request, Time Now) {
  bool Large = requestSize(Request) >= this->MeanSize;
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

// The entry of a run in doubt does not tell the version of the process that
// answers now.
bool ServiceScheduler::mayGoOnAt(const Target &T,
                                 const PlacementRequest &Request) const {
  return !Request.Software.isValid() ||
         (hasSoftware(T.Entry, Request.Software) &&
          (this->Doubts == nullptr ||
           !this->Doubts->inDoubt(T.Entry.shortIdentity())));
}

bool ServiceScheduler::serves(SoftwareId Software) const {
  return std::any_of(this->Targets.begin(), this->Targets.end(),
                     [this, Software](const auto &Item) {
                       const TargetEntry &Entry = Item.second.Entry;
                       return !Entry.Leaving && hasSoftware(Entry, Software) &&
                              (!Software.isValid() ||
                               this->Versions == nullptr ||
                               this->Versions->allows(VersionRule::Any, Entry));
                     });
}

VersionLoad ServiceScheduler::versionLoad() const {
  VersionLoad Load;
  for (const auto &Item : this->Targets) {
    const Target &T = Item.second;
    Load.Running += T.OwnRunning + T.PeerRunning;
    if (!T.Entry.Leaving) {
      bool New = this->Versions != nullptr && this->Versions->isNew(T.Entry);
      (New ? Load.NewSlots : Load.OldSlots) += T.Entry.Slots;
    }
  }
  return Load;
}

void ServiceScheduler::preferNewVersion() {
  const Target *First = nullptr;
  for (const Choice &C : this->Choices) {
    const Target &T = *C.Selected;
    uint32_t Running = T.OwnRunning + T.PeerRunning;
    bool HasRoom =
        Running == 0 || Running + 1 <= T.Entry.Slots * ConcentratedFill;
    if (this->Versions->isNew(T.Entry) && HasRoom &&
        (First == nullptr || this->Versions->position(T.Entry) <
                                 this->Versions->position(First->Entry))) {
      First = &T;
    }
  }
  auto Drop = [this, First](const Choice &C) {
    return First != nullptr ? C.Selected != First
                            : this->Versions->isNew(C.Selected->Entry);
  };
  this->Choices.erase(
      std::remove_if(this->Choices.begin(), this->Choices.end(), Drop),
      this->Choices.end());
}

// Hosts with the same knowledge would all choose the best target before they
// learn of each other's choices, so the target is drawn at random from those
// that are nearly as good.
ServiceScheduler::Choice
ServiceScheduler::choose(const PlacementRequest &Request, Time Now) {
  this->Choices.clear();
  NoticeView View = this->noticeView(Request);
  double Best = 0;
  Overview All;
  bool Learns = this->Engine && this->Features.LearnSpeed;
  if (Learns) {
    All.Events = this->Length.expectedEvents(Request.OutputHint);
  }
  VersionRule Rule = this->Versions == nullptr ? VersionRule::Any
                                               : this->Versions->rule(Request);
  for (auto &Item : this->Targets) {
    Target &T = Item.second;
    if (this->Versions != nullptr && !this->Versions->allows(Rule, T.Entry)) {
      continue;
    }
    if (Learns) {
      this->survey(T, All);
    }
    if (!this->usable(T, Now) || !this->mayGoOnAt(T, Request) ||
        std::find(Request.Tried.begin(), Request.Tried.end(), Item.first) !=
            Request.Tried.end()) {
      continue;
    }
    if (!this->mayPlace(T, Request, View, Now)) {
      continue;
    }
    if (Learns && this->isAtLimit(T) && !this->TooManyLimited) {
      continue;
    }
    this->Choices.push_back(this->estimate(T, Request, Now));
    this->Choices.back().Crowded = Learns && this->isCrowded(T, Now);
  }
  if (Rule == VersionRule::NewFirst) {
    this->preferNewVersion();
  }
  this->TooManyLimited = All.Limited > All.Targets * MaxLimitedShare;
  if (this->Choices.empty()) {
    return Choice();
  }
  this->preferUnnoticed(Now);
  if (Learns) {
    this->avoidCrowded(Request, Now);
  }
  this->preferBySize(Request, Now);
  if (Learns) {
    this->preferByLength(Request, All, Now);
  }
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

} // namespace shallotlatch
