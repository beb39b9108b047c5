// Communication of the entry host with pool owners: asks, releases, hold lists
// and progress reports.
#include "entry_p.h"

#include <algorithm>

namespace shallotlatch {

// Period of hold lists to the owner of a pool in which asks wait.
static constexpr Duration HoldListPeriod = millis(500);
// Period of hold lists to the owner of a pool in which no ask waits.
static constexpr Duration IdleListPeriod = seconds(3);
// Time without an answer to hold lists after which an owner is reported as
// unreachable.
static constexpr Duration OwnerReplyTimeout = millis(1200);
static constexpr Duration ProgressPeriod = seconds(1);
// A target is reported if its time between tokens exceeds the median of the
// pool by this factor.
static constexpr double OutlierFactor = 2;
// Time without requests after which the state of a pool owner is dropped.
static constexpr Duration OwnerIdleTimeout = seconds(6);
// Bounds of the time that a release may wait for other messages to share a
// frame: a fixed maximum, and the duration of the dispatch divided by the
// divisor.
static constexpr Duration MaxReleaseDelay = millis(100);
static constexpr int ReleaseDelayDivisor = 50;
// An ask that is younger than this may still be in transit to the owner and is
// not sent again.
static constexpr Duration MaxAskTransitTime = millis(200);

void EntryHost::reconfigure() {
  this->Pools.clear();
  for (const TargetSpec &T : this->Env.ActiveConfig->Targets) {
    std::vector<PoolRef> &PoolsOfGroup = this->Pools[T.Group];
    PoolId Id = poolId(T.Region, T.Group);
    bool Known = std::any_of(PoolsOfGroup.begin(), PoolsOfGroup.end(),
                             [&](const PoolRef &P) { return P.Id == Id; });
    if (!Known) {
      PoolsOfGroup.push_back(PoolRef{Id, T.Region, T.PrefillTokensPerSecond});
    }
  }
}

const std::vector<EntryHost::PoolRef> &
EntryHost::poolsOf(const Request &R) const {
  static const std::vector<PoolRef> None;
  const KindSpec *Kind = this->Env.ActiveConfig->kind(R.Details.Kind);
  if (Kind == nullptr) {
    return None;
  }
  auto It = this->Pools.find(Kind->Group);
  return It == this->Pools.end() ? None : It->second;
}

// The cost is the expected wait plus, for a pool of another region, the cost of
// crossing: delay, transfer of the body, and prefill of a prefix that the local
// region has cached.
double EntryHost::poolCostMs(const Request &R, const PoolRef &P) const {
  const PolicySpec &Policy = this->Env.ActiveConfig->Policy;
  double Cost = 0;
  auto Load = this->Loads.find(P.Id);
  if (Load != this->Loads.end()) {
    Cost += Load->second.WaitMs[R.Tier];
  }
  if (P.Region == this->Env.Region) {
    return Cost;
  }
  Cost += static_cast<double>(toMillis(Policy.CrossRegionDelay));
  Cost += R.Details.Bytes / 1e6 * Policy.CrossRegionMsPerMb;
  std::array<PrefixMatch, 8> Matches;
  uint32_t Found =
      this->LocalRegionPrefixes.match(R.Details.Prefix, this->Env.Now, Matches);
  if (Found > 0) {
    Cost += Matches[0].Tokens * 1000.0 / P.PrefillTokensPerSecond *
            Policy.PrefillPrice;
  }
  return Cost;
}

int EntryHost::choosePool(const Request &R) const {
  const std::vector<PoolRef> &PoolsOfGroup = this->poolsOf(R);
  bool LocalPoolExists = std::any_of(
      PoolsOfGroup.begin(), PoolsOfGroup.end(),
      [&](const PoolRef &P) { return P.Region == this->Env.Region; });
  int Best = -1;
  double BestCost = 0;
  for (size_t I = 0; I < PoolsOfGroup.size() && I < 64; ++I) {
    bool Local = PoolsOfGroup[I].Region == this->Env.Region;
    bool Tried = ((R.TriedPools >> I) & 1) != 0;
    if (Tried || (!Local && LocalPoolExists && !R.CrossRegion)) {
      continue;
    }
    double Cost = this->poolCostMs(R, PoolsOfGroup[I]);
    if (Best < 0 || Cost < BestCost || (Cost == BestCost && Local)) {
      Best = static_cast<int>(I);
      BestCost = Cost;
    }
  }
  return Best;
}

void EntryHost::askPool(RequestHandle H) {
  Request &R = this->row(H);
  int Choice = this->choosePool(R);
  if (Choice < 0) {
    this->refuse(H, Reason::NoTarget, seconds(1));
    return;
  }
  const PoolRef &P = this->poolsOf(R)[Choice];
  OwnerState &O = this->Owners[P.Id];
  if (!O.Owner.isValid()) {
    O.Owner = this->Members.ownerOf(P.Id.Value, P.Region);
    O.Region = P.Region;
    O.NextListAt = this->Env.Now + HoldListPeriod;
    O.NextIdleListAt = this->Env.Now + IdleListPeriod;
  }
  O.LastUsed = this->Env.Now;
  this->assignAskId(H);
  R.State = RequestState::Waiting;
  R.Pool = P.Id;
  R.PoolIndex = static_cast<uint32_t>(Choice);
  R.Owner = O.Owner;
  this->sendAsk(R);
}

void EntryHost::sendAsk(Request &R) {
  R.AskedAt = this->Env.Now;
  SlotRequest A;
  A.Id = R.CurrentAsk;
  A.Pool = R.Pool;
  A.Customer = R.Details.Customer;
  A.Tier = R.Tier;
  A.PromptTokens = R.Details.PromptTokens;
  A.OutputTokens = R.Details.OutputTokens;
  A.Slack = R.Deadline - this->Env.Now;
  A.Prefix = R.Details.Prefix;
  this->Env.outboxFor(R.Owner).SlotRequests.push_back(A);
}

void EntryHost::sendWithdraw(Request &R) {
  this->Env.outboxFor(R.Owner).Withdrawals.push_back(Withdrawal{R.CurrentAsk});
}

void EntryHost::sendRelease(Request &R, DispatchResult Result) {
  Release Out;
  Out.Id = R.CurrentAsk;
  Out.Result = Result;
  Out.OutputTokens = R.Tokens;
  if (Result != DispatchResult::Unsent) {
    Out.Total = this->Env.Now - R.SentAt;
    Out.FirstToken = R.Tokens > 0 ? R.FirstTokenAt - R.SentAt : Duration(0);
  }
  // The release of a slot that was held for long may be delayed a little, so
  // that it shares a frame with other messages.
  Duration Delay = std::min(Out.Total / ReleaseDelayDivisor, MaxReleaseDelay);
  this->Env.delayedBatchFor(R.Owner, Delay).Releases.push_back(Out);
  const std::vector<PoolRef> &PoolsOfGroup = this->poolsOf(R);
  bool Local = R.PoolIndex < PoolsOfGroup.size() &&
               PoolsOfGroup[R.PoolIndex].Region == this->Env.Region;
  if (Result == DispatchResult::Done && Local) {
    this->LocalRegionPrefixes.add(R.Details.Prefix, 0, this->Env.Now);
  }
}

// When a pool refuses a request, the next usable pool is asked. The caller is
// refused when all usable pools have refused, or when the deadline cannot be
// met.
void EntryHost::onRefusal(HostId From, const Refusal &Refused) {
  RequestHandle H = this->findByAsk(Refused.Id);
  if (!H.isValid()) {
    return;
  }
  Request &R = this->row(H);
  bool Expected = R.CurrentAsk == Refused.Id && R.Owner == From &&
                  R.State == RequestState::Waiting;
  if (!Expected) {
    return;
  }
  R.TriedPools |= uint64_t(1) << R.PoolIndex;
  bool OtherPoolAvailable =
      Refused.Why != Reason::Deadline && this->choosePool(R) >= 0;
  if (OtherPoolAvailable) {
    this->askPool(H);
    return;
  }
  // This state prevents a withdrawal: the owner has dropped the ask already.
  R.State = RequestState::Admitting;
  this->refuse(H, Refused.Why, Refused.RetryAfter);
}

void EntryHost::onAskAgain(HostId From, const ResendRequest &A) {
  for (uint32_t I : this->Active) {
    Request &R = this->Table[I];
    bool Mine =
        R.State == RequestState::Waiting && R.Pool == A.Pool && R.Owner == From;
    if (Mine && this->Env.Now - R.AskedAt > MaxAskTransitTime) {
      this->sendAsk(R);
    }
  }
  auto It = this->Owners.find(A.Pool);
  if (It != this->Owners.end() && It->second.Owner == From) {
    // The hold list that caused this message may have crossed other messages in
    // transit, so the next list is not sent before it is due.
    It->second.CompleteListDue = true;
    It->second.NextIdleListAt = It->second.NextListAt;
  }
}

void EntryHost::onPoolLoad(HostId From, const PoolLoad &L) {
  this->Loads[L.Pool] = L;
  auto It = this->Owners.find(L.Pool);
  if (It != this->Owners.end() && It->second.Owner == From) {
    It->second.ReplyPending = false;
  }
}

// Recomputes the owner of each pool. Waiting requests are asked for again at
// the new owner, which learns of the requests in flight from a complete list.
void EntryHost::updateOwners() {
  for (auto &Item : this->Owners) {
    OwnerState &O = Item.second;
    HostId Now = this->Members.ownerOf(Item.first.Value, O.Region);
    if (Now != O.Owner) {
      O.Owner = Now;
      O.ReplyPending = false;
      O.NextListAt = this->Env.Now;
      O.CompleteListDue = true;
    }
  }
  for (uint32_t I : this->Active) {
    Request &R = this->Table[I];
    bool Asked = R.State == RequestState::Waiting ||
                 R.State == RequestState::Dispatching ||
                 R.State == RequestState::Sent;
    auto It = Asked ? this->Owners.find(R.Pool) : this->Owners.end();
    if (It == this->Owners.end() || It->second.Owner == R.Owner) {
      continue;
    }
    this->sendWithdraw(R);
    R.Owner = It->second.Owner;
    if (R.State == RequestState::Waiting) {
      this->sendAsk(R);
    }
  }
}

void EntryHost::fillHoldLists(std::map<PoolId, EntryStateReport> &Lists) const {
  for (uint32_t I : this->Active) {
    const Request &R = this->Table[I];
    auto It = Lists.end();
    if (R.State == RequestState::Waiting ||
        R.State == RequestState::Dispatching || R.State == RequestState::Sent) {
      It = Lists.find(R.Pool);
    }
    if (It == Lists.end()) {
      continue;
    }
    if (R.State == RequestState::Waiting) {
      ++It->second.Waiting;
      It->second.Digest += waitingDigestTerm(R.CurrentAsk);
    } else {
      ++It->second.InFlight;
      It->second.Digest += grantedDigestTerm(R.CurrentAsk);
      It->second.Held.push_back(HeldGrant{R.CurrentAsk, R.Target});
    }
  }
}

void EntryHost::sendHoldLists() {
  std::map<PoolId, EntryStateReport> Lists;
  for (auto It = this->Owners.begin(); It != this->Owners.end(); ++It) {
    if (this->Env.Now >= It->second.NextListAt) {
      EntryStateReport &L = Lists[It->first];
      L.Pool = It->first;
      It->second.NextListAt = this->Env.Now + HoldListPeriod;
      L.Complete = It->second.CompleteListDue;
    }
  }
  if (Lists.empty()) {
    return;
  }
  this->fillHoldLists(Lists);
  for (auto &Item : Lists) {
    this->sendHoldList(Item.first, Item.second);
  }
}

void EntryHost::sendHoldList(PoolId Id, EntryStateReport &L) {
  OwnerState &O = this->Owners[Id];
  bool Used = L.Waiting > 0 || L.InFlight > 0;
  if (Used) {
    O.LastUsed = this->Env.Now;
  } else if (this->Env.Now - O.LastUsed > OwnerIdleTimeout) {
    this->Owners.erase(Id);
    return;
  }
  // When no ask waits, hold lists are sent less often.
  bool Quiet = !L.Complete && L.Waiting == 0;
  if (Quiet && this->Env.Now < O.NextIdleListAt) {
    return;
  }
  O.NextIdleListAt = this->Env.Now + IdleListPeriod;
  O.CompleteListDue = false;
  if (!O.ReplyPending) {
    O.ReplyPending = true;
    O.UnansweredSince = this->Env.Now;
  } else if (this->Env.Now - O.UnansweredSince > OwnerReplyTimeout) {
    this->Members.markUnreachable(O.Owner);
    O.ReplyPending = false;
  }
  if (!L.Complete) {
    L.Held.clear();
  }
  this->Env.outboxFor(O.Owner).EntryStateReports.push_back(std::move(L));
}

double StreamProgress::tokenIntervalUs() const {
  return static_cast<double>(this->StreamTime.count()) /
         std::max<double>(this->Tokens, 0.5);
}

// Only outliers are reported; the owner learns the speed of all other targets
// from releases. Reports for every target in use took more than half of a
// node's control bytes. A pool with fewer than two targets in use has no
// meaningful median, so its target is always reported.
bool EntryHost::isOutlier(const StreamProgress &P,
                          std::vector<double> PoolIntervals) {
  if (P.StalledStreams > 0 || PoolIntervals.size() < 2) {
    return true;
  }
  size_t Middle = (PoolIntervals.size() - 1) / 2;
  std::nth_element(PoolIntervals.begin(), PoolIntervals.begin() + Middle,
                   PoolIntervals.end());
  return P.tokenIntervalUs() > OutlierFactor * PoolIntervals[Middle];
}

void EntryHost::sendProgress() {
  Duration Window = ProgressPeriod;
  this->NextProgress = this->Env.Now + Window;
  std::map<std::pair<PoolId, TargetId>, std::pair<HostId, StreamProgress>> Sums;
  for (uint32_t I : this->Active) {
    Request &R = this->Table[I];
    if (R.State != RequestState::Sent || R.Tokens == 0) {
      continue;
    }
    auto &Sum = Sums[{R.Pool, R.Target}];
    Sum.first = R.Owner;
    StreamProgress &P = Sum.second;
    P.Pool = R.Pool;
    P.Target = R.Target;
    P.Tokens += R.TokensSinceReport;
    P.StreamTime += std::min(Window, this->Env.Now - R.FirstTokenAt);
    P.StalledStreams += R.TokensSinceReport == 0 ? 1 : 0;
    R.TokensSinceReport = 0;
  }
  std::map<PoolId, std::vector<double>> Intervals;
  for (const auto &Item : Sums) {
    Intervals[Item.first.first].push_back(Item.second.second.tokenIntervalUs());
  }
  for (const auto &Item : Sums) {
    const StreamProgress &P = Item.second.second;
    if (isOutlier(P, Intervals[P.Pool])) {
      this->Env.delayedBatchFor(Item.second.first, MaxReleaseDelay)
          .StreamProgressReports.push_back(P);
    }
  }
}

} // namespace shallotlatch
