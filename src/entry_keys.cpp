// Claims and joins of the entry host, which ensure that a non-idempotent
// request with a key runs at most once.
#include "entry_p.h"

#include <algorithm>

namespace shallotlatch {

// Time without an answer after which a claim or a join is sent again.
static constexpr Duration ClaimRetryPeriod = millis(1000);

void EntryHost::sendClaim(RequestHandle H) {
  Request &R = this->row(H);
  R.State = RequestState::Claiming;
  R.ClaimedAt = this->Env.Now;
  ClaimLocation Place =
      claimLocation(R.Details.Key, this->Env.ActiveConfig->Policy);
  R.ClaimOwner = this->Members.ownerOf(hash64(Place.ObjectName), "");
  this->Env.outboxFor(R.ClaimOwner)
      .Claims.push_back(
          Claim{R.Details.Key, R.Details.BodyHash, this->claimantOf(R)});
}

void EntryHost::sendSettle(const Request &R, Outcome O) {
  if (R.ClaimOwner.isValid()) {
    this->Env.outboxFor(R.ClaimOwner)
        .ClaimCompletions.push_back(
            ClaimCompletion{R.Details.Key, this->claimantOf(R), O});
  }
}

void EntryHost::sendJoin(Request &R) {
  R.ClaimedAt = this->Env.Now;
  this->Env.outboxFor(R.Holder.Host)
      .OutcomeRequests.push_back(
          OutcomeRequest{R.SubmissionId, this->Env.Run, R.Holder});
}

void EntryHost::onClaimReply(const ClaimReply &C) {
  // Ask ids start again with every run of the host process, so a reply to an
  // earlier run could match a submission of this run.
  RequestHandle H =
      C.Run == this->Env.Run ? this->findByAsk(C.Submission) : RequestHandle();
  if (!H.isValid() || this->row(H).State != RequestState::Claiming) {
    return;
  }
  Request &R = this->row(H);
  switch (C.Result) {
  case ClaimResult::Granted:
    this->askPool(H);
    return;
  case ClaimResult::Taken:
    R.State = RequestState::Joining;
    R.Holder = C.Holder;
    R.HolderEnded = C.Ended;
    R.HolderOutcome = C.EndedAs;
    this->sendJoin(R);
    return;
  case ClaimResult::Conflict:
    this->refuseKey(H, Reason::KeyConflict);
    return;
  case ClaimResult::Expired:
    this->refuseKey(H, Reason::KeyExpired);
    return;
  case ClaimResult::TooNew:
    this->refuseKey(H, Reason::KeyInFuture);
    return;
  }
}

// The submission has no claim, so there is nothing to settle.
void EntryHost::refuseKey(RequestHandle H, Reason Why) {
  this->row(H).ClaimOwner = HostId();
  this->refuse(H, Why, Duration(0));
}

// Uses the outcome stored with the claim if there is one. Otherwise the holder
// may have run.
void EntryHost::finishWithoutJoin(RequestHandle H) {
  const Request &R = this->row(H);
  Outcome O = R.HolderEnded ? R.HolderOutcome : Outcome::MayHaveRun;
  this->finish(H, Verdict{O, Reason::KeyDuplicate, Duration(0)}, "");
}

void EntryHost::onJoin(HostId From, const OutcomeRequest &J) {
  OutcomeReply Reply;
  Reply.Submission = J.Submission;
  Reply.Run = J.Run;
  bool Mine = J.Holder.Host == this->Env.Self && J.Holder.Run == this->Env.Run;
  RequestHandle H =
      Mine ? this->findByAsk(J.Holder.Submission) : RequestHandle();
  if (H.isValid() && this->row(H).SubmissionId == J.Holder.Submission) {
    auto &Joiners = this->row(H).Joiners;
    Claimant Joiner{From, J.Run, J.Submission};
    if (std::find(Joiners.begin(), Joiners.end(), Joiner) == Joiners.end()) {
      Joiners.push_back(Joiner);
    }
    return;
  }
  const OutcomeLog::Record *Known =
      Mine ? this->Outcomes.find(J.Holder.Submission) : nullptr;
  if (Known != nullptr) {
    Reply.Known = true;
    Reply.End = Known->FinalVerdict;
    Reply.Answer = Known->Answer;
  }
  this->Env.outboxFor(From).OutcomeReplies.push_back(Reply);
}

void EntryHost::onJoinReply(const OutcomeReply &J) {
  RequestHandle H =
      J.Run == this->Env.Run ? this->findByAsk(J.Submission) : RequestHandle();
  if (!H.isValid() || this->row(H).State != RequestState::Joining) {
    return;
  }
  Request &R = this->row(H);
  if (!J.Known) {
    this->finishWithoutJoin(H);
    return;
  }
  if (J.End.Result != Outcome::NotRun) {
    this->finish(H, J.End, J.Answer);
    return;
  }
  // The holder itself reports that it did not run. Its claim is settled, and
  // this submission claims the key again.
  ClaimLocation Place =
      claimLocation(R.Details.Key, this->Env.ActiveConfig->Policy);
  HostId Owner = this->Members.ownerOf(hash64(Place.ObjectName), "");
  this->Env.outboxFor(Owner).ClaimCompletions.push_back(
      ClaimCompletion{R.Details.Key, R.Holder, Outcome::NotRun});
  R.State = RequestState::Claiming;
  R.ClaimedAt = this->Env.Now;
}

void EntryHost::retryClaims() {
  if (this->Env.Now < this->NextClaimRetry) {
    return;
  }
  this->NextClaimRetry = this->Env.Now + ClaimRetryPeriod / 4;
  // The loop uses a copy because ending a request removes it from `Active`.
  std::vector<uint32_t> RowsAtStart = this->Active;
  for (uint32_t I : RowsAtStart) {
    Request &R = this->Table[I];
    bool Due = this->Env.Now - R.ClaimedAt >= ClaimRetryPeriod;
    if (R.State == RequestState::Claiming && Due) {
      this->sendClaim(RequestHandle{I});
    } else if (R.State == RequestState::Joining && Due) {
      if (this->Members.live(R.Holder.Host)) {
        this->sendJoin(R);
      } else {
        this->finishWithoutJoin(RequestHandle{I});
      }
    }
  }
}

void EntryHost::onHostLost(HostId Host) {
  std::vector<uint32_t> RowsAtStart = this->Active;
  for (uint32_t I : RowsAtStart) {
    const Request &R = this->Table[I];
    if (R.State == RequestState::Joining && R.Holder.Host == Host) {
      this->finishWithoutJoin(RequestHandle{I});
    }
  }
}

} // namespace shallotlatch
