#include "entry_p.h"

#include <algorithm>

namespace shallotlatch {

static constexpr uint32_t MaxUnsents = 3;
// How long the news of a first token may wait for a frame to share.
static constexpr Duration StartedWait = millis(50);
static constexpr uint32_t RegionPrefixEntries = 4096;

const char *name(RequestState S) {
  static const char *const Names[] = {"free",    "admitting", "claiming",
                                      "joining", "waiting",   "dispatching",
                                      "sent"};
  return Names[static_cast<int>(S)];
}

Entry::Entry(NodeEnv &Env, Membership &Members, CrashCounts &Shared)
    : Env(Env), Members(Members), Shared(Shared), Limits(Env, Members),
      Table(SHALLOTLATCH_CONFIG_MAX_REQUESTS),
      ByDeadline(SHALLOTLATCH_CONFIG_MAX_REQUESTS),
      RegionPrefixes(RegionPrefixEntries, 64) {
  for (uint32_t I = SHALLOTLATCH_CONFIG_MAX_REQUESTS; I > 0; --I) {
    this->Free.push_back(I - 1);
  }
}

RequestHandle Entry::byAsk(AskId Id) const {
  auto It = this->ByAsk.find(Id);
  return It == this->ByAsk.end() ? RequestHandle() : It->second;
}

Claimant Entry::claimantOf(const Request &R) const {
  return Claimant{this->Env.Self, this->Env.Run, R.First};
}

// Every ask gets its own number, so that late messages about an earlier ask
// of the same request match nothing.
void Entry::rename(RequestHandle H) {
  Request &R = this->row(H);
  if (R.Current.isValid() && R.Current != R.First) {
    this->ByAsk.erase(R.Current);
  }
  R.Current = AskId{this->NextAsk++};
  this->ByAsk[R.Current] = H;
  if (!R.First.isValid()) {
    R.First = R.Current;
  }
}

RequestHandle Entry::submit(const Submission &S) {
  const KindSpec *Kind =
      this->Env.ActiveConfig ? this->Env.ActiveConfig->kind(S.Kind) : nullptr;
  if (this->Free.empty() || Kind == nullptr) {
    return RequestHandle();
  }
  RequestHandle H{this->Free.back()};
  this->Free.pop_back();
  ++this->Counts.Submitted;
  Request &R = this->row(H);
  R = Request();
  R.ActivePlace = static_cast<uint32_t>(this->Active.size());
  this->Active.push_back(H.Index);
  R.Sub = S;
  R.Sub.HasKey = S.HasKey && !Kind->Idempotent;
  R.Tier = this->Env.ActiveConfig->rank(*Kind);
  R.CrossRegion = Kind->CrossRegion;
  R.Since = this->Env.Now;
  R.Deadline = this->Env.Now + S.Deadline;
  R.State = RequestState::Admitting;
  this->rename(H);
  this->ByDeadline.set(H.Index, R.Deadline.time_since_epoch().count());
  if (this->Draining) {
    this->refuse(H, Reason::ShuttingDown, seconds(1));
  } else if (this->Shared.quarantined(S.Print)) {
    this->refuse(H, Reason::Quarantined,
                 this->Env.ActiveConfig->Policy.QuarantineTime);
  } else if (this->Limits.admit(S.Customer, H)) {
    this->proceed(H);
  }
  return H;
}

// Admission is passed: non-idempotent work with a key is claimed first, so
// that no place is held while the claim is written.
void Entry::proceed(RequestHandle H) {
  Request &R = this->row(H);
  R.Admitted = true;
  if (R.Sub.HasKey) {
    this->claim(H);
  } else {
    this->ask(H);
  }
}

void Entry::onLimitGrant(HostId From, const LimitGrant &G) {
  std::vector<RequestHandle> Admitted;
  std::vector<RequestHandle> Refused;
  this->Limits.onGrant(From, G, Admitted, Refused);
  for (RequestHandle H : Admitted) {
    this->proceed(H);
  }
  for (RequestHandle H : Refused) {
    this->refuse(H, Reason::RateLimit, seconds(1));
  }
}

void Entry::refuse(RequestHandle H, Reason Why, Duration RetryAfter) {
  this->finish(H, Verdict{Outcome::NotRun, Why, RetryAfter}, "");
}

// The one way out. What is still open elsewhere is closed by messages; each
// of them may be lost, and the hold lists make up for that.
void Entry::finish(RequestHandle H, Verdict V, std::string Answer) {
  Request &R = this->row(H);
  RequestState Last = R.State;
  R.State = RequestState::Free;
  if (Last == RequestState::Waiting || Last == RequestState::Dispatching) {
    this->leaveQueue(R);
  }
  if (Last == RequestState::Dispatching || Last == RequestState::Sent) {
    this->Env.Commands.emplace_back(AbortCommand{H});
  }
  if (Last == RequestState::Sent) {
    this->sendRelease(R, DispatchResult::Stopped);
  }
  if (R.Admitted) {
    this->Limits.release(R.Sub.Customer);
  } else {
    this->Limits.forget(R.Sub.Customer, H);
  }
  if (R.Sub.HasKey && Last != RequestState::Joining) {
    this->settle(R, V.Result);
    this->Outcomes.add(R.First, V, Answer);
  }
  for (const Claimant &Joiner : R.Joiners) {
    this->Env.outboxFor(Joiner.Host)
        .OutcomeReplies.push_back(
            OutcomeReply{Joiner.Submission, Joiner.Run, true, V, Answer});
  }
  ++this->Counts.Ended[static_cast<int>(V.Result)];
  this->ByDeadline.remove(H.Index);
  this->ByAsk.erase(R.Current);
  this->ByAsk.erase(R.First);
  uint32_t Moved = this->Active.back();
  this->Active[R.ActivePlace] = Moved;
  this->Table[Moved].ActivePlace = R.ActivePlace;
  this->Active.pop_back();
  this->Free.push_back(H.Index);
  this->Env.Commands.emplace_back(AnswerCommand{H, V, std::move(Answer)});
}

void Entry::cancel(RequestHandle H) {
  Request &R = this->row(H);
  if (R.State == RequestState::Free) {
    return;
  }
  bool Sent = R.State == RequestState::Sent;
  if (R.Sub.HasKey && (Sent || !R.Joiners.empty())) {
    // Its caller may come back for the outcome under the same key.
    R.CallerGone = true;
    return;
  }
  bool Unsure = Sent || R.State == RequestState::Joining;
  Outcome O = Unsure ? Outcome::MayHaveRun : Outcome::NotRun;
  this->finish(H, Verdict{O, Reason::Cancelled, Duration(0)}, "");
}

void Entry::onGrant(HostId From, const Grant &G) {
  RequestHandle H = this->byAsk(G.Id);
  bool Expected = H.isValid() && this->row(H).Current == G.Id &&
                  this->row(H).State == RequestState::Waiting;
  if (!Expected) {
    bool Repeated = H.isValid() && this->row(H).Owner == From &&
                    this->row(H).Current == G.Id &&
                    this->row(H).Target == G.Target;
    if (!Repeated) {
      this->Env.outboxFor(From).Withdrawals.push_back(Withdrawal{G.Id});
    }
    return;
  }
  Request &R = this->row(H);
  R.Owner = From;
  R.Target = G.Target;
  R.State = RequestState::Dispatching;
  if (this->Shared.quarantined(R.Sub.Print)) {
    this->refuse(H, Reason::Quarantined,
                 this->Env.ActiveConfig->Policy.QuarantineTime);
    return;
  }
  if (this->Env.ActiveConfig->target(G.Target) == nullptr) {
    this->unsent(H);
    return;
  }
  this->Env.Commands.emplace_back(DispatchCommand{H, G.Target});
}

void Entry::unsent(RequestHandle H) {
  Request &R = this->row(H);
  if (R.State != RequestState::Dispatching) {
    return;
  }
  this->sendRelease(R, DispatchResult::Unsent);
  R.State = RequestState::Waiting;
  R.Target = TargetId();
  if (++R.Unsents >= MaxUnsents) {
    this->refuse(H, Reason::ConnectFailed, seconds(1));
    return;
  }
  this->ask(H);
}

bool Entry::sending(RequestHandle H) {
  Request &R = this->row(H);
  if (R.State != RequestState::Dispatching) {
    return false;
  }
  R.State = RequestState::Sent;
  R.SentAt = this->Env.Now;
  return true;
}

void Entry::tokens(RequestHandle H, uint32_t Count) {
  Request &R = this->row(H);
  if (R.State != RequestState::Sent || Count == 0) {
    return;
  }
  if (R.Tokens == 0) {
    R.FirstTokenAt = this->Env.Now;
    this->Env.delayedBatchFor(R.Owner, StartedWait)
        .FirstTokenNotices.push_back(FirstTokenNotice{R.Current});
  }
  R.LastTokenAt = this->Env.Now;
  R.Tokens += Count;
  R.WindowTokens += Count;
}

void Entry::ended(RequestHandle H, const RunEnd &E) {
  Request &R = this->row(H);
  if (R.State != RequestState::Sent) {
    return;
  }
  this->sendRelease(R, E.Result);
  R.State = RequestState::Free;
  if (E.Result == DispatchResult::Lost) {
    this->Shared.recordCrash(R.Sub.Print, R.Tokens > 0);
  } else if (E.Result == DispatchResult::Done) {
    this->Shared.recordCompletion(R.Sub.Print);
  }
  this->finish(H, E.End, E.Answer);
}

void Entry::expire(RequestHandle H) {
  Request &R = this->row(H);
  bool Unsure =
      R.State == RequestState::Sent || R.State == RequestState::Joining;
  Verdict V;
  V.Result = Unsure ? Outcome::MayHaveRun : Outcome::NotRun;
  V.Why =
      R.State == RequestState::Claiming ? Reason::StoreOut : Reason::Deadline;
  this->finish(H, V, "");
}

void Entry::tick() {
  int64_t Now = this->Env.Now.time_since_epoch().count();
  while (!this->ByDeadline.empty() && this->ByDeadline.topKey() <= Now) {
    this->expire(RequestHandle{this->ByDeadline.top()});
  }
  this->Limits.tick();
  if (this->SeenEpoch != this->Members.epoch()) {
    this->SeenEpoch = this->Members.epoch();
    this->moveOwners();
  }
  this->sendHoldLists();
  if (this->Env.Now >= this->NextProgress) {
    this->sendProgress();
  }
  this->retryClaims();
}

EntryStats Entry::stats() const {
  EntryStats S = this->Counts;
  for (uint32_t I : this->Active) {
    const Request &R = this->Table[I];
    ++S.Held;
    S.Waiting += R.State == RequestState::Waiting ? 1 : 0;
    S.InFlight += R.State == RequestState::Sent ? 1 : 0;
  }
  return S;
}

std::vector<RequestStats> Entry::requests() const {
  std::vector<RequestStats> All;
  for (uint32_t I : this->Active) {
    const Request &R = this->Table[I];
    All.push_back(RequestStats{R.First, R.State, R.Sub.Kind, R.Target,
                               this->Env.Now - R.Since});
  }
  return All;
}

} // namespace shallotlatch
