#include "entry_p.h"

#include <algorithm>

namespace shallotlatch {

// Failed connections to targets after which a request is refused.
static constexpr uint32_t MaxConnectFailures = 3;
// Time that a first-token message may wait for other messages to share a frame.
static constexpr Duration MaxStartedDelay = millis(50);
static constexpr uint32_t RegionPrefixEntries = 4096;

const char *name(RequestState S) {
  static const char *const Names[] = {"free",    "admitting", "claiming",
                                      "joining", "waiting",   "dispatching",
                                      "sent"};
  return Names[static_cast<int>(S)];
}

EntryHost::EntryHost(NodeEnv &Env, Membership &Members,
                     CrashCounts &SharedState)
    : Env(Env), Members(Members), SharedState(SharedState),
      Limits(Env, Members), Table(SHALLOTLATCH_CONFIG_MAX_REQUESTS),
      ByDeadline(SHALLOTLATCH_CONFIG_MAX_REQUESTS),
      LocalRegionPrefixes(RegionPrefixEntries, 64) {
  for (uint32_t I = SHALLOTLATCH_CONFIG_MAX_REQUESTS; I > 0; --I) {
    this->Free.push_back(I - 1);
  }
}

RequestHandle EntryHost::findByAsk(AskId Id) const {
  auto It = this->ByAsk.find(Id);
  return It == this->ByAsk.end() ? RequestHandle() : It->second;
}

Claimant EntryHost::claimantOf(const Request &R) const {
  return Claimant{this->Env.Self, this->Env.Run, R.SubmissionId};
}

// Every ask gets its own id, so that late messages about an earlier ask of the
// same request match no request.
void EntryHost::assignAskId(RequestHandle H) {
  Request &R = this->row(H);
  if (R.CurrentAsk.isValid() && R.CurrentAsk != R.SubmissionId) {
    this->ByAsk.erase(R.CurrentAsk);
  }
  R.CurrentAsk = AskId{this->NextAskId++};
  this->ByAsk[R.CurrentAsk] = H;
  if (!R.SubmissionId.isValid()) {
    R.SubmissionId = R.CurrentAsk;
  }
}

RequestHandle EntryHost::submit(const Submission &S) {
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
  R.ActiveIndex = static_cast<uint32_t>(this->Active.size());
  this->Active.push_back(H.Index);
  R.Details = S;
  R.Details.HasKey = S.HasKey && !Kind->Idempotent;
  R.Tier = this->Env.ActiveConfig->rank(*Kind);
  R.CrossRegion = Kind->CrossRegion;
  R.SubmittedAt = this->Env.Now;
  R.Deadline = this->Env.Now + S.Deadline;
  R.State = RequestState::Admitting;
  this->assignAskId(H);
  this->ByDeadline.set(H.Index, R.Deadline.time_since_epoch().count());
  if (this->Draining) {
    this->refuse(H, Reason::ShuttingDown, seconds(1));
  } else if (this->SharedState.quarantined(S.ContentFingerprint)) {
    this->refuse(H, Reason::Quarantined,
                 this->Env.ActiveConfig->Policy.QuarantineTime);
  } else if (this->Limits.admit(S.Customer, H)) {
    this->onAdmitted(H);
  }
  return H;
}

// A non-idempotent request with a key claims the key before it asks for a slot,
// so that no slot is held while the claim is stored.
void EntryHost::onAdmitted(RequestHandle H) {
  Request &R = this->row(H);
  R.Admitted = true;
  if (R.Details.HasKey) {
    this->sendClaim(H);
  } else {
    this->askPool(H);
  }
}

void EntryHost::onLimitGrant(HostId From, const LimitGrant &G) {
  std::vector<RequestHandle> Admitted;
  std::vector<RequestHandle> Refused;
  this->Limits.onGrant(From, G, Admitted, Refused);
  for (RequestHandle H : Admitted) {
    this->onAdmitted(H);
  }
  for (RequestHandle H : Refused) {
    this->refuse(H, Reason::RateLimit, seconds(1));
  }
}

void EntryHost::refuse(RequestHandle H, Reason Why, Duration RetryAfter) {
  this->finish(H, Verdict{Outcome::NotRun, Why, RetryAfter}, "");
}

// Every request ends here. Messages release what the request holds at other
// hosts; if a message is lost, the next hold list corrects the pool owner.
void EntryHost::finish(RequestHandle H, Verdict V, std::string Answer) {
  Request &R = this->row(H);
  RequestState LastState = R.State;
  R.State = RequestState::Free;
  if (LastState == RequestState::Waiting ||
      LastState == RequestState::Dispatching) {
    this->sendWithdraw(R);
  }
  if (LastState == RequestState::Dispatching ||
      LastState == RequestState::Sent) {
    this->Env.Commands.emplace_back(AbortCommand{H});
  }
  if (LastState == RequestState::Sent) {
    this->sendRelease(R, DispatchResult::Stopped);
  }
  if (R.Admitted) {
    this->Limits.release(R.Details.Customer);
  } else {
    this->Limits.removeQueued(R.Details.Customer, H);
  }
  if (R.Details.HasKey && LastState != RequestState::Joining) {
    this->sendSettle(R, V.Result);
    this->Outcomes.add(R.SubmissionId, V, Answer);
  }
  for (const Claimant &Joiner : R.Joiners) {
    this->Env.outboxFor(Joiner.Host)
        .OutcomeReplies.push_back(
            OutcomeReply{Joiner.Submission, Joiner.Run, true, V, Answer});
  }
  ++this->Counts.Ended[static_cast<int>(V.Result)];
  this->ByDeadline.remove(H.Index);
  this->ByAsk.erase(R.CurrentAsk);
  this->ByAsk.erase(R.SubmissionId);
  uint32_t Moved = this->Active.back();
  this->Active[R.ActiveIndex] = Moved;
  this->Table[Moved].ActiveIndex = R.ActiveIndex;
  this->Active.pop_back();
  this->Free.push_back(H.Index);
  this->Env.Commands.emplace_back(AnswerCommand{H, V, std::move(Answer)});
}

void EntryHost::cancel(RequestHandle H) {
  Request &R = this->row(H);
  if (R.State == RequestState::Free) {
    return;
  }
  bool Sent = R.State == RequestState::Sent;
  if (R.Details.HasKey && (Sent || !R.Joiners.empty())) {
    // The caller may resend the request with the same key to get the outcome.
    R.CallerGone = true;
    return;
  }
  bool MayHaveRun = Sent || R.State == RequestState::Joining;
  Outcome O = MayHaveRun ? Outcome::MayHaveRun : Outcome::NotRun;
  this->finish(H, Verdict{O, Reason::Cancelled, Duration(0)}, "");
}

void EntryHost::onGrant(HostId From, const Grant &G) {
  RequestHandle H = this->findByAsk(G.Id);
  bool Expected = H.isValid() && this->row(H).CurrentAsk == G.Id &&
                  this->row(H).State == RequestState::Waiting;
  if (!Expected) {
    bool Repeated = H.isValid() && this->row(H).Owner == From &&
                    this->row(H).CurrentAsk == G.Id &&
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
  if (this->SharedState.quarantined(R.Details.ContentFingerprint)) {
    this->refuse(H, Reason::Quarantined,
                 this->Env.ActiveConfig->Policy.QuarantineTime);
    return;
  }
  if (this->Env.ActiveConfig->target(G.Target) == nullptr) {
    this->onConnectFailed(H);
    return;
  }
  this->Env.Commands.emplace_back(DispatchCommand{H, G.Target});
}

void EntryHost::onConnectFailed(RequestHandle H) {
  Request &R = this->row(H);
  if (R.State != RequestState::Dispatching) {
    return;
  }
  this->sendRelease(R, DispatchResult::Unsent);
  R.State = RequestState::Waiting;
  R.Target = TargetId();
  if (++R.ConnectFailures >= MaxConnectFailures) {
    this->refuse(H, Reason::ConnectFailed, seconds(1));
    return;
  }
  this->askPool(H);
}

bool EntryHost::beginSend(RequestHandle H) {
  Request &R = this->row(H);
  if (R.State != RequestState::Dispatching) {
    return false;
  }
  R.State = RequestState::Sent;
  R.SentAt = this->Env.Now;
  return true;
}

void EntryHost::onTokens(RequestHandle H, uint32_t Count) {
  Request &R = this->row(H);
  if (R.State != RequestState::Sent || Count == 0) {
    return;
  }
  if (R.Tokens == 0) {
    R.FirstTokenAt = this->Env.Now;
    this->Env.delayedBatchFor(R.Owner, MaxStartedDelay)
        .FirstTokenNotices.push_back(FirstTokenNotice{R.CurrentAsk});
  }
  R.LastTokenAt = this->Env.Now;
  R.Tokens += Count;
  R.TokensSinceReport += Count;
}

void EntryHost::onDispatchEnded(RequestHandle H, const DispatchEnd &E) {
  Request &R = this->row(H);
  if (R.State != RequestState::Sent) {
    return;
  }
  this->sendRelease(R, E.Result);
  R.State = RequestState::Free;
  if (E.Result == DispatchResult::Lost) {
    this->SharedState.recordCrash(R.Details.ContentFingerprint, R.Tokens > 0);
  } else if (E.Result == DispatchResult::Done) {
    this->SharedState.recordCompletion(R.Details.ContentFingerprint);
  }
  this->finish(H, E.FinalVerdict, E.Answer);
}

void EntryHost::expire(RequestHandle H) {
  Request &R = this->row(H);
  bool MayHaveRun =
      R.State == RequestState::Sent || R.State == RequestState::Joining;
  Verdict V;
  V.Result = MayHaveRun ? Outcome::MayHaveRun : Outcome::NotRun;
  V.Why = R.State == RequestState::Claiming ? Reason::StoreUnavailable
                                            : Reason::Deadline;
  this->finish(H, V, "");
}

void EntryHost::tick() {
  int64_t Now = this->Env.Now.time_since_epoch().count();
  while (!this->ByDeadline.empty() && this->ByDeadline.topKey() <= Now) {
    this->expire(RequestHandle{this->ByDeadline.top()});
  }
  this->Limits.tick();
  if (this->SeenMembershipEpoch != this->Members.epoch()) {
    this->SeenMembershipEpoch = this->Members.epoch();
    this->updateOwners();
  }
  this->sendHoldLists();
  if (this->Env.Now >= this->NextProgress) {
    this->sendProgress();
  }
  this->retryClaims();
}

EntryStats EntryHost::stats() const {
  EntryStats S = this->Counts;
  for (uint32_t I : this->Active) {
    const Request &R = this->Table[I];
    ++S.Held;
    S.Waiting += R.State == RequestState::Waiting ? 1 : 0;
    S.InFlight += R.State == RequestState::Sent ? 1 : 0;
  }
  return S;
}

std::vector<RequestStats> EntryHost::requests() const {
  std::vector<RequestStats> All;
  for (uint32_t I : this->Active) {
    const Request &R = this->Table[I];
    All.push_back(RequestStats{R.SubmissionId, R.State, R.Details.Kind,
                               R.Target, this->Env.Now - R.SubmittedAt});
  }
  return All;
}

} // namespace shallotlatch
