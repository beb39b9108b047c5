// Asks, owners and reports: the part of the entry role that talks to pool
// owners.
#include "entry_p.h"

#include <algorithm>

namespace shallotlatch {

static constexpr Duration DigestPeriod = millis(500);
static constexpr Duration QuietPeriod = seconds(3);
static constexpr Duration SilenceLimit = millis(1200);
static constexpr Duration ProgressPeriod = seconds(1);
// A target this many times slower than the pool's median is reported.
static constexpr double ReportFactor = 2;
static constexpr Duration OwnerIdleTime = seconds(6);
static constexpr Duration MaxReleaseWait = millis(100);
static constexpr int ReleaseWaitShare = 50;
// Asks younger than this may still be on their way to the owner.
static constexpr Duration AskInTransit = millis(200);

void Entry::reconfigure() {
  this->Pools.clear();
  for (const TargetSpec &T : this->Env.ActiveConfig->Targets) {
    std::vector<PoolRef> &Refs = this->Pools[T.Group];
    PoolId Id = poolId(T.Region, T.Group);
    bool Known = std::any_of(Refs.begin(), Refs.end(),
                             [&](const PoolRef &P) { return P.Id == Id; });
    if (!Known) {
      Refs.push_back(PoolRef{Id, T.Region, T.PrefillTokensPerSecond});
    }
  }
}

const std::vector<Entry::PoolRef> &Entry::poolsOf(const Request &R) const {
  static const std::vector<PoolRef> None;
  const KindSpec *Kind = this->Env.ActiveConfig->kind(R.Sub.Kind);
  if (Kind == nullptr) {
    return None;
  }
  auto It = this->Pools.find(Kind->Group);
  return It == this->Pools.end() ? None : It->second;
}

// Expected wait, plus the price of crossing: delay, bytes, and the prefill of
// a prefix that the home region has cached. In milliseconds.
double Entry::poolCost(const Request &R, const PoolRef &P) const {
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
  Cost += R.Sub.Bytes / 1e6 * Policy.CrossRegionMsPerMb;
  std::array<PrefixMatch, 8> Matches;
  uint32_t Found =
      this->RegionPrefixes.match(R.Sub.Prefix, this->Env.Now, Matches);
  if (Found > 0) {
    Cost += Matches[0].Tokens * 1000.0 / P.PrefillTokensPerSecond *
            Policy.PrefillPrice;
  }
  return Cost;
}

int Entry::choosePool(const Request &R) const {
  const std::vector<PoolRef> &Refs = this->poolsOf(R);
  bool HomeServes =
      std::any_of(Refs.begin(), Refs.end(), [&](const PoolRef &P) {
        return P.Region == this->Env.Region;
      });
  int Best = -1;
  double BestCost = 0;
  for (size_t I = 0; I < Refs.size() && I < 64; ++I) {
    bool Home = Refs[I].Region == this->Env.Region;
    bool Tried = ((R.TriedPools >> I) & 1) != 0;
    if (Tried || (!Home && HomeServes && !R.CrossRegion)) {
      continue;
    }
    double Cost = this->poolCost(R, Refs[I]);
    if (Best < 0 || Cost < BestCost || (Cost == BestCost && Home)) {
      Best = static_cast<int>(I);
      BestCost = Cost;
    }
  }
  return Best;
}

void Entry::ask(RequestHandle H) {
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
    O.ListAt = this->Env.Now + DigestPeriod;
    O.QuietAt = this->Env.Now + QuietPeriod;
  }
  O.LastUsed = this->Env.Now;
  this->rename(H);
  R.State = RequestState::Waiting;
  R.Pool = P.Id;
  R.PoolIndex = static_cast<uint32_t>(Choice);
  R.Owner = O.Owner;
  this->sendAsk(R);
}

void Entry::sendAsk(Request &R) {
  R.AskedAt = this->Env.Now;
  SlotRequest A;
  A.Id = R.Current;
  A.Pool = R.Pool;
  A.Customer = R.Sub.Customer;
  A.Tier = R.Tier;
  A.PromptTokens = R.Sub.PromptTokens;
  A.OutputTokens = R.Sub.OutputTokens;
  A.Slack = R.Deadline - this->Env.Now;
  A.Prefix = R.Sub.Prefix;
  this->Env.outboxFor(R.Owner).SlotRequests.push_back(A);
}

void Entry::leaveQueue(Request &R) {
  this->Env.outboxFor(R.Owner).Withdrawals.push_back(Withdrawal{R.Current});
}

void Entry::sendRelease(Request &R, DispatchResult Result) {
  Release Out;
  Out.Id = R.Current;
  Out.Result = Result;
  Out.OutputTokens = R.Tokens;
  if (Result != DispatchResult::Unsent) {
    Out.Total = this->Env.Now - R.SentAt;
    Out.FirstToken = R.Tokens > 0 ? R.FirstTokenAt - R.SentAt : Duration(0);
  }
  // A place that was held for long may be given back a little later, in a
  // frame that leaves anyway.
  Duration Wait = std::min(Out.Total / ReleaseWaitShare, MaxReleaseWait);
  this->Env.delayedBatchFor(R.Owner, Wait).Releases.push_back(Out);
  const std::vector<PoolRef> &Refs = this->poolsOf(R);
  bool Home =
      R.PoolIndex < Refs.size() && Refs[R.PoolIndex].Region == this->Env.Region;
  if (Result == DispatchResult::Done && Home) {
    this->RegionPrefixes.add(R.Sub.Prefix, 0, this->Env.Now);
  }
}

// A pool that has no room sends the request on to the next one; only when all
// usable pools refused is the caller refused.
void Entry::onRefusal(HostId From, const Refusal &Refused) {
  RequestHandle H = this->byAsk(Refused.Id);
  if (!H.isValid()) {
    return;
  }
  Request &R = this->row(H);
  bool Expected = R.Current == Refused.Id && R.Owner == From &&
                  R.State == RequestState::Waiting;
  if (!Expected) {
    return;
  }
  R.TriedPools |= uint64_t(1) << R.PoolIndex;
  bool Elsewhere = Refused.Why != Reason::Deadline && this->choosePool(R) >= 0;
  if (Elsewhere) {
    this->ask(H);
    return;
  }
  // The owner has dropped the ask already.
  R.State = RequestState::Admitting;
  this->refuse(H, Refused.Why, Refused.RetryAfter);
}

void Entry::onAskAgain(HostId From, const ResendRequest &A) {
  for (uint32_t I : this->Active) {
    Request &R = this->Table[I];
    bool Mine =
        R.State == RequestState::Waiting && R.Pool == A.Pool && R.Owner == From;
    if (Mine && this->Env.Now - R.AskedAt > AskInTransit) {
      this->sendAsk(R);
    }
  }
  auto It = this->Owners.find(A.Pool);
  if (It != this->Owners.end() && It->second.Owner == From) {
    // The list that brought this on may have crossed other messages: the next
    // one is not sent before its time.
    It->second.SendComplete = true;
    It->second.QuietAt = It->second.ListAt;
  }
}

void Entry::onPoolLoad(HostId From, const PoolLoad &L) {
  this->Loads[L.Pool] = L;
  auto It = this->Owners.find(L.Pool);
  if (It != this->Owners.end() && It->second.Owner == From) {
    It->second.Silent = false;
  }
}

// Owners are worked out again; what waits is asked anew, and what is in
// flight is told to the new owner by a complete list.
void Entry::moveOwners() {
  for (auto &Item : this->Owners) {
    OwnerState &O = Item.second;
    HostId Now = this->Members.ownerOf(Item.first.Value, O.Region);
    if (Now != O.Owner) {
      O.Owner = Now;
      O.Silent = false;
      O.ListAt = this->Env.Now;
      O.SendComplete = true;
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
    this->leaveQueue(R);
    R.Owner = It->second.Owner;
    if (R.State == RequestState::Waiting) {
      this->sendAsk(R);
    }
  }
}

void Entry::fillHoldLists(std::map<PoolId, EntryStateReport> &Lists) const {
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
      It->second.Digest += waitingDigestTerm(R.Current);
    } else {
      ++It->second.InFlight;
      It->second.Digest += grantedDigestTerm(R.Current);
      It->second.Held.push_back(HeldGrant{R.Current, R.Target});
    }
  }
}

void Entry::sendHoldLists() {
  std::map<PoolId, EntryStateReport> Lists;
  for (auto It = this->Owners.begin(); It != this->Owners.end(); ++It) {
    if (this->Env.Now >= It->second.ListAt) {
      EntryStateReport &L = Lists[It->first];
      L.Pool = It->first;
      It->second.ListAt = this->Env.Now + DigestPeriod;
      L.Complete = It->second.SendComplete;
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

void Entry::sendHoldList(PoolId Id, EntryStateReport &L) {
  OwnerState &O = this->Owners[Id];
  bool Used = L.Waiting > 0 || L.InFlight > 0;
  if (Used) {
    O.LastUsed = this->Env.Now;
  } else if (this->Env.Now - O.LastUsed > OwnerIdleTime) {
    this->Owners.erase(Id);
    return;
  }
  // Without anything waiting, a list now and then is enough.
  bool Quiet = !L.Complete && L.Waiting == 0;
  if (Quiet && this->Env.Now < O.QuietAt) {
    return;
  }
  O.QuietAt = this->Env.Now + QuietPeriod;
  O.SendComplete = false;
  if (!O.Silent) {
    O.Silent = true;
    O.FirstSilent = this->Env.Now;
  } else if (this->Env.Now - O.FirstSilent > SilenceLimit) {
    this->Members.markUnreachable(O.Owner);
    O.Silent = false;
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

// Only what stands out is reported: releases tell the owner of all others. A
// report for every target in use took more than half of a node's control
// bytes.
bool Entry::standsOut(const StreamProgress &P,
                      std::vector<double> PoolIntervals) {
  if (P.StalledStreams > 0 || PoolIntervals.size() < 2) {
    return true;
  }
  size_t Middle = (PoolIntervals.size() - 1) / 2;
  std::nth_element(PoolIntervals.begin(), PoolIntervals.begin() + Middle,
                   PoolIntervals.end());
  return P.tokenIntervalUs() > ReportFactor * PoolIntervals[Middle];
}

void Entry::sendProgress() {
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
    P.Tokens += R.WindowTokens;
    P.StreamTime += std::min(Window, this->Env.Now - R.FirstTokenAt);
    P.StalledStreams += R.WindowTokens == 0 ? 1 : 0;
    R.WindowTokens = 0;
  }
  std::map<PoolId, std::vector<double>> Intervals;
  for (const auto &Item : Sums) {
    Intervals[Item.first.first].push_back(Item.second.second.tokenIntervalUs());
  }
  for (const auto &Item : Sums) {
    const StreamProgress &P = Item.second.second;
    if (standsOut(P, Intervals[P.Pool])) {
      this->Env.delayedBatchFor(Item.second.first, MaxReleaseWait)
          .StreamProgressReports.push_back(P);
    }
  }
}

} // namespace shallotlatch
