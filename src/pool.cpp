#include "pool_p.h"

#include <algorithm>

namespace shallotlatch {

// A grant that is older than this and missing from its host's hold list is
// dropped. A younger one may still be on its way to the host.
static constexpr Duration UnlistedGrantTimeout = seconds(3);
// Period over which the release rate is measured.
static constexpr Duration RateWindow = millis(500);
static constexpr Duration MinRetryAfter = millis(500);
static constexpr Duration MaxRetryAfter = seconds(60);

Pool::Pool(std::string Region, std::string Group, const PolicySpec &Policy)
    : Region(std::move(Region)), Group(std::move(Group)), Policy(Policy),
      Queue(Policy.PoolCapacity), Targets(Policy) {}

void Pool::configure(const std::vector<const TargetSpec *> &Specs,
                     const PolicySpec &NewPolicy) {
  this->Policy = NewPolicy;
  this->Targets.configure(Specs, NewPolicy);
}

Duration Pool::retryAfter() const {
  double Seconds = this->Queue.size() / std::max(this->ReleaseRate, 0.1);
  Duration Delay(static_cast<int64_t>(Seconds * 1e6));
  return std::min(std::max(Delay, MinRetryAfter), MaxRetryAfter);
}

void Pool::refuse(HostId Host, AskId Id, Reason Why, PoolReplies &Out) {
  Out.Refusals.emplace_back(Host, Refusal{Id, Why, this->retryAfter()});
}

void Pool::addWaiting(const QueuedAsk &W, double Weight) {
  HostTotals &Totals = this->TotalsByHost[W.Host];
  ++Totals.Waiting;
  Totals.Digest += waitingDigestTerm(W.Request.Id);
  this->Queue.push(W, this->Targets.nominalCost(W.Request), Weight);
}

void Pool::subtractWaiting(const QueuedAsk &W) {
  HostTotals &Totals = this->TotalsByHost[W.Host];
  --Totals.Waiting;
  Totals.Digest -= waitingDigestTerm(W.Request.Id);
}

void Pool::removeWaiting(AskHandle H) {
  this->subtractWaiting(this->Queue.get(H));
  this->Queue.remove(H);
}

void Pool::countInFlight(HostId Host, AskId Id) {
  HostTotals &Totals = this->TotalsByHost[Host];
  ++Totals.InFlight;
  Totals.Digest += grantedDigestTerm(Id);
}

Pool::GrantTable::iterator Pool::eraseGrant(GrantTable::iterator It) {
  HostTotals &Totals = this->TotalsByHost[HostId{It->first.first}];
  --Totals.InFlight;
  Totals.Digest -= grantedDigestTerm(AskId{It->first.second});
  return this->Grants.erase(It);
}

bool Pool::matchesDigest(HostId Host, const EntryStateReport &List) const {
  auto It = this->TotalsByHost.find(Host);
  HostTotals Totals =
      It == this->TotalsByHost.end() ? HostTotals() : It->second;
  return Totals.Waiting == List.Waiting && Totals.InFlight == List.InFlight &&
         Totals.Digest == List.Digest;
}

// Sheds the newest ask of the lowest waiting tier if that tier ranks below the
// tier of the new ask. Within an equal tier the new ask is the newest, so it is
// the one to refuse.
bool Pool::makeRoom(const SlotRequest &A, PoolReplies &Out) {
  if (!this->Queue.full()) {
    return true;
  }
  int Lowest = this->Queue.lowestWaiting();
  if (Lowest <= static_cast<int>(A.Tier)) {
    return false;
  }
  AskHandle Victim = this->Queue.newest(static_cast<TierRank>(Lowest));
  const QueuedAsk &W = this->Queue.get(Victim);
  this->refuse(W.Host, W.Request.Id, Reason::Overload, Out);
  this->removeWaiting(Victim);
  ++this->ShedCount;
  return true;
}

void Pool::enqueue(Time Now, HostId Host, const SlotRequest &A, double Weight,
                   PoolReplies &Out) {
  auto Known = this->Grants.find({Host.Value, A.Id.Value});
  if (Known != this->Grants.end()) {
    // The grant message was lost, or the ask was repeated in the meantime.
    Known->second.GrantedAt = Now;
    TargetId Target = this->Targets.id(Known->second.Place.Target);
    Out.Grants.emplace_back(Host, Grant{A.Id, Target});
    return;
  }
  if (this->Queue.find(Host, A.Id).isValid()) {
    return;
  }
  if (this->Targets.empty()) {
    this->refuse(Host, A.Id, Reason::NoTarget, Out);
    return;
  }
  QueuedAsk W;
  W.Request = A;
  W.Host = Host;
  W.Arrived = Now;
  W.LatestStart = Now + A.Slack - this->Targets.minServiceTime(A);
  W.Long = A.PromptTokens >= this->Policy.LongPromptTokens;
  if (W.LatestStart < Now) {
    ++this->ExpiredCount;
    this->refuse(Host, A.Id, Reason::Deadline, Out);
    return;
  }
  if (!this->makeRoom(A, Out)) {
    ++this->ShedCount;
    this->refuse(Host, A.Id, Reason::Overload, Out);
    return;
  }
  this->addWaiting(W, Weight);
  this->dispatch(Now, Out);
}

bool Pool::tryGrant(AskHandle H, bool SpareLane, Time Now, PoolReplies &Out) {
  const QueuedAsk &W = this->Queue.get(H);
  Placement P = this->Targets.choose(W.Request, W.Long, SpareLane, Now);
  if (!P.Target.isValid()) {
    return false;
  }
  this->Targets.recordGrant(P, W.Request.Prefix, Now);
  ActiveGrant &G = this->Grants[{W.Host.Value, W.Request.Id.Value}];
  G = ActiveGrant{P, false, Now, Now};
  this->countInFlight(W.Host, W.Request.Id);
  Out.Grants.emplace_back(W.Host,
                          Grant{W.Request.Id, this->Targets.id(P.Target)});
  ++this->GrantedCount;
  this->subtractWaiting(W);
  this->Queue.removeForDispatch(H);
  return true;
}

// Visits the tiers from the highest to the lowest. When a long ask has to wait
// for a target of the lane for long prompts, the asks after it are kept off the
// lane, so that they do not overtake it there.
bool Pool::grantNext(Time Now, PoolReplies &Out) {
  bool LongWaits = false;
  int Lowest = this->Queue.lowestWaiting();
  for (int Rank = 0; Rank <= Lowest; ++Rank) {
    AskHandle Short =
        this->Queue.head(static_cast<TierRank>(Rank), PromptLength::Short);
    AskHandle Long =
        this->Queue.head(static_cast<TierRank>(Rank), PromptLength::Long);
    bool LongFirst =
        Long.isValid() && !LongWaits &&
        (!Short.isValid() || this->Queue.dispatchesBefore(Long, Short));
    if (LongFirst) {
      if (this->tryGrant(Long, false, Now, Out)) {
        return true;
      }
      LongWaits = true;
    }
    if (Short.isValid() && this->tryGrant(Short, LongWaits, Now, Out)) {
      return true;
    }
    if (Long.isValid() && !LongWaits) {
      if (this->tryGrant(Long, false, Now, Out)) {
        return true;
      }
      LongWaits = true;
    }
    if (Short.isValid() && !LongWaits) {
      return false;
    }
  }
  return false;
}

void Pool::dispatch(Time Now, PoolReplies &Out) {
  while (this->grantNext(Now, Out)) {
  }
}

void Pool::withdraw(Time Now, HostId Host, AskId Id, PoolReplies &Out) {
  AskHandle H = this->Queue.find(Host, Id);
  if (H.isValid()) {
    this->removeWaiting(H);
  }
  auto It = this->Grants.find({Host.Value, Id.Value});
  if (It != this->Grants.end()) {
    this->Targets.cancel(It->second.Place, It->second.Prefilled);
    this->eraseGrant(It);
    this->dispatch(Now, Out);
  }
}

void Pool::release(Time Now, HostId Host, const Release &R, PoolReplies &Out) {
  auto It = this->Grants.find({Host.Value, R.Id.Value});
  if (It == this->Grants.end()) {
    return;
  }
  ++this->ReleasesInWindow;
  this->Targets.finish(It->second.Place, It->second.Prefilled, R, Now);
  this->eraseGrant(It);
  this->dispatch(Now, Out);
}

void Pool::recordFirstToken(Time Now, HostId Host, AskId Id, PoolReplies &Out) {
  auto It = this->Grants.find({Host.Value, Id.Value});
  if (It == this->Grants.end() || It->second.Prefilled) {
    return;
  }
  It->second.Prefilled = true;
  this->Targets.recordPrefillDone(It->second.Place);
  this->dispatch(Now, Out);
}

void Pool::recordProgress(Time, const StreamProgress &P) {
  this->Targets.observe(P);
}

void Pool::reconcile(Time Now, HostId Host, const EntryStateReport &List,
                     PoolReplies &Out) {
  if (!List.Complete) {
    return;
  }
  for (const HeldGrant &Held : List.Held) {
    TargetHandle Target = this->Targets.find(Held.Target);
    Placement Adopted;
    Adopted.Target = Target;
    auto Added = this->Grants.emplace(GrantKey{Host.Value, Held.Id.Value},
                                      ActiveGrant{Adopted, true, Now, Now});
    if (!Target.isValid() && Added.second) {
      this->Grants.erase(Added.first);
      continue;
    }
    Added.first->second.LastListed = Now;
    if (Added.second) {
      this->Targets.adopt(Target);
      this->countInFlight(Host, Held.Id);
      AskHandle Waiting = this->Queue.find(Host, Held.Id);
      if (Waiting.isValid()) {
        this->removeWaiting(Waiting);
      }
    }
  }
  for (auto It = this->Grants.begin(); It != this->Grants.end();) {
    bool Unlisted = It->first.first == Host.Value &&
                    It->second.LastListed != Now &&
                    Now - It->second.GrantedAt > UnlistedGrantTimeout;
    if (Unlisted) {
      this->Targets.cancel(It->second.Place, It->second.Prefilled);
    }
    It = Unlisted ? this->eraseGrant(It) : std::next(It);
  }
  this->dispatch(Now, Out);
}

void Pool::onHostLost(Time Now, HostId Host, PoolReplies &Out) {
  std::vector<AskHandle> Waiting;
  this->Queue.forEach([&](AskHandle H) {
    if (this->Queue.get(H).Host == Host) {
      Waiting.push_back(H);
    }
  });
  for (AskHandle H : Waiting) {
    this->removeWaiting(H);
  }
  for (auto It = this->Grants.begin(); It != this->Grants.end();) {
    bool OnLostHost = It->first.first == Host.Value;
    if (OnLostHost) {
      this->Targets.cancel(It->second.Place, It->second.Prefilled);
    }
    It = OnLostHost ? this->eraseGrant(It) : std::next(It);
  }
  this->TotalsByHost.erase(Host);
  this->dispatch(Now, Out);
}

void Pool::setLeaving(TargetId Id, bool Leaving) {
  this->Targets.setLeaving(Id, Leaving);
}

void Pool::evictPrefix(TargetId Id, uint32_t Hash) {
  this->Targets.evictPrefix(Id, Hash);
}

void Pool::tick(Time Now, PoolReplies &Out) {
  if (Now - this->WindowStart >= RateWindow) {
    double Rate = this->ReleasesInWindow / toSeconds(RateWindow);
    this->ReleaseRate += 0.2 * (Rate - this->ReleaseRate);
    this->ReleasesInWindow = 0;
    this->WindowStart = Now;
  }
  this->Targets.tick(Now);
  AskHandle Expired = this->Queue.findExpired(Now);
  while (Expired.isValid()) {
    const QueuedAsk &W = this->Queue.get(Expired);
    this->refuse(W.Host, W.Request.Id, Reason::Deadline, Out);
    this->removeWaiting(Expired);
    ++this->ExpiredCount;
    Expired = this->Queue.findExpired(Now);
  }
  this->dispatch(Now, Out);
}

PoolLoad Pool::load(PoolId Id) const {
  PoolLoad L;
  L.Pool = Id;
  L.FreeSlots = this->Targets.freeSlots();
  uint32_t Ahead = 0;
  for (uint32_t Rank = 0; Rank < L.WaitMs.size(); ++Rank) {
    Ahead += this->Queue.size(static_cast<TierRank>(Rank));
    double Ms = Ahead * 1000.0 / std::max(this->ReleaseRate, 0.1);
    L.WaitMs[Rank] = static_cast<uint32_t>(std::min(Ms, 600000.0));
  }
  return L;
}

PoolStats Pool::stats() const {
  PoolStats S;
  S.Region = this->Region;
  S.Group = this->Group;
  S.Waiting = this->Queue.size();
  S.InFlight = static_cast<uint32_t>(this->Grants.size());
  S.FreeSlots = this->Targets.freeSlots();
  for (int I = 0; I < SHALLOTLATCH_CONFIG_MAX_TIERS; ++I) {
    S.WaitingByTier[I] = this->Queue.size(static_cast<TierRank>(I));
  }
  S.Granted = this->GrantedCount;
  S.Shed = this->ShedCount;
  S.Expired = this->ExpiredCount;
  return S;
}

} // namespace shallotlatch
