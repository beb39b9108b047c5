#include "pool_p.h"

#include <algorithm>

namespace shallotlatch {

// A grant that its host does not list this long after it was made is lost.
static constexpr Duration GrantGrace = seconds(3);
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
  double Seconds = this->Queue.size() / std::max(this->RecentPerSecond, 0.1);
  Duration Wait(static_cast<int64_t>(Seconds * 1e6));
  return std::min(std::max(Wait, MinRetryAfter), MaxRetryAfter);
}

void Pool::refuse(HostId Host, AskId Id, Reason Why, PoolReplies &Out) {
  Out.Refusals.emplace_back(Host, Refusal{Id, Why, this->retryAfter()});
}

void Pool::add(const WaitingAsk &W, double Weight) {
  HostSum &Sum = this->HostSums[W.Host];
  ++Sum.Waiting;
  Sum.Digest += waitingDigestTerm(W.Request.Id);
  this->Queue.push(W, this->Targets.nominalCost(W.Request), Weight);
}

void Pool::subtract(const WaitingAsk &W) {
  HostSum &Sum = this->HostSums[W.Host];
  --Sum.Waiting;
  Sum.Digest -= waitingDigestTerm(W.Request.Id);
}

void Pool::discard(AskHandle H) {
  this->subtract(this->Queue.get(H));
  this->Queue.remove(H);
}

void Pool::countHeld(HostId Host, AskId Id) {
  HostSum &Sum = this->HostSums[Host];
  ++Sum.InFlight;
  Sum.Digest += grantedDigestTerm(Id);
}

Pool::GrantTable::iterator Pool::forget(GrantTable::iterator It) {
  HostSum &Sum = this->HostSums[HostId{It->first.first}];
  --Sum.InFlight;
  Sum.Digest -= grantedDigestTerm(AskId{It->first.second});
  return this->Grants.erase(It);
}

bool Pool::same(HostId Host, const EntryStateReport &List) const {
  auto It = this->HostSums.find(Host);
  HostSum Sum = It == this->HostSums.end() ? HostSum() : It->second;
  return Sum.Waiting == List.Waiting && Sum.InFlight == List.InFlight &&
         Sum.Digest == List.Digest;
}

// Sheds the newest ask of the lowest waiting tier, if that tier ranks below
// the newcomer's. An equal tier keeps what it has: the newcomer is newer.
bool Pool::makeRoom(const SlotRequest &A, PoolReplies &Out) {
  if (!this->Queue.full()) {
    return true;
  }
  int Lowest = this->Queue.lowestWaiting();
  if (Lowest <= static_cast<int>(A.Tier)) {
    return false;
  }
  AskHandle Victim = this->Queue.newest(static_cast<TierRank>(Lowest));
  const WaitingAsk &W = this->Queue.get(Victim);
  this->refuse(W.Host, W.Request.Id, Reason::Overload, Out);
  this->discard(Victim);
  ++this->ShedCount;
  return true;
}

void Pool::enqueue(Time Now, HostId Host, const SlotRequest &A, double Weight,
                   PoolReplies &Out) {
  auto Known = this->Grants.find({Host.Value, A.Id.Value});
  if (Known != this->Grants.end()) {
    // The grant was lost on the way, or the ask was repeated meanwhile.
    Known->second.At = Now;
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
  WaitingAsk W;
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
  this->add(W, Weight);
  this->dispatch(Now, Out);
}

bool Pool::tryGrant(AskHandle H, bool SpareLane, Time Now, PoolReplies &Out) {
  const WaitingAsk &W = this->Queue.get(H);
  Placement P = this->Targets.choose(W.Request, W.Long, SpareLane, Now);
  if (!P.Target.isValid()) {
    return false;
  }
  this->Targets.recordGrant(P, W.Request.Prefix, Now);
  Granted &G = this->Grants[{W.Host.Value, W.Request.Id.Value}];
  G = Granted{P, false, Now, Now};
  this->countHeld(W.Host, W.Request.Id);
  Out.Grants.emplace_back(W.Host,
                          Grant{W.Request.Id, this->Targets.id(P.Target)});
  ++this->GrantedCount;
  this->subtract(W);
  this->Queue.take(H);
  return true;
}

// Goes down the tiers. Once a long ask has to wait for the lane, everything
// behind it is kept off the lane.
bool Pool::grantNext(Time Now, PoolReplies &Out) {
  bool LongWaits = false;
  int Lowest = this->Queue.lowestWaiting();
  for (int Rank = 0; Rank <= Lowest; ++Rank) {
    AskHandle Short =
        this->Queue.head(static_cast<TierRank>(Rank), Line::Short);
    AskHandle Long = this->Queue.head(static_cast<TierRank>(Rank), Line::Long);
    bool LongFirst = Long.isValid() && !LongWaits &&
                     (!Short.isValid() || this->Queue.before(Long, Short));
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
    this->discard(H);
  }
  auto It = this->Grants.find({Host.Value, Id.Value});
  if (It != this->Grants.end()) {
    this->Targets.cancel(It->second.Place, It->second.Prefilled);
    this->forget(It);
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
  this->forget(It);
  this->dispatch(Now, Out);
}

void Pool::started(Time Now, HostId Host, AskId Id, PoolReplies &Out) {
  auto It = this->Grants.find({Host.Value, Id.Value});
  if (It == this->Grants.end() || It->second.Prefilled) {
    return;
  }
  It->second.Prefilled = true;
  this->Targets.recordPrefillDone(It->second.Place);
  this->dispatch(Now, Out);
}

void Pool::observe(Time, const StreamProgress &P) { this->Targets.observe(P); }

void Pool::hold(Time Now, HostId Host, const EntryStateReport &List,
                PoolReplies &Out) {
  if (!List.Complete) {
    return;
  }
  for (const HeldGrant &Held : List.Held) {
    TargetHandle Target = this->Targets.find(Held.Target);
    Placement Adopted;
    Adopted.Target = Target;
    auto Added = this->Grants.emplace(GrantKey{Host.Value, Held.Id.Value},
                                      Granted{Adopted, true, Now, Now});
    if (!Target.isValid() && Added.second) {
      this->Grants.erase(Added.first);
      continue;
    }
    Added.first->second.LastHeard = Now;
    if (Added.second) {
      this->Targets.adopt(Target);
      this->countHeld(Host, Held.Id);
      AskHandle Waiting = this->Queue.find(Host, Held.Id);
      if (Waiting.isValid()) {
        this->discard(Waiting);
      }
    }
  }
  for (auto It = this->Grants.begin(); It != this->Grants.end();) {
    bool Lost = It->first.first == Host.Value && It->second.LastHeard != Now &&
                Now - It->second.At > GrantGrace;
    if (Lost) {
      this->Targets.cancel(It->second.Place, It->second.Prefilled);
    }
    It = Lost ? this->forget(It) : std::next(It);
  }
  this->dispatch(Now, Out);
}

void Pool::hostGone(Time Now, HostId Host, PoolReplies &Out) {
  std::vector<AskHandle> Waiting;
  this->Queue.forEach([&](AskHandle H) {
    if (this->Queue.get(H).Host == Host) {
      Waiting.push_back(H);
    }
  });
  for (AskHandle H : Waiting) {
    this->discard(H);
  }
  for (auto It = this->Grants.begin(); It != this->Grants.end();) {
    bool Mine = It->first.first == Host.Value;
    if (Mine) {
      this->Targets.cancel(It->second.Place, It->second.Prefilled);
    }
    It = Mine ? this->forget(It) : std::next(It);
  }
  this->HostSums.erase(Host);
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
    this->RecentPerSecond += 0.2 * (Rate - this->RecentPerSecond);
    this->ReleasesInWindow = 0;
    this->WindowStart = Now;
  }
  this->Targets.tick(Now);
  AskHandle Late = this->Queue.expired(Now);
  while (Late.isValid()) {
    const WaitingAsk &W = this->Queue.get(Late);
    this->refuse(W.Host, W.Request.Id, Reason::Deadline, Out);
    this->discard(Late);
    ++this->ExpiredCount;
    Late = this->Queue.expired(Now);
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
    double Ms = Ahead * 1000.0 / std::max(this->RecentPerSecond, 0.1);
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
