// Claims and joins: the part of the entry role that keeps a non-idempotent
// request to at most one run.
#include "entry_p.h"

#include <algorithm>

namespace shallotlatch {

static constexpr Duration ClaimRetry = millis(1000);

void Entry::claim(RequestHandle H) {
  Request &R = this->row(H);
  R.State = RequestState::Claiming;
  R.ClaimedAt = this->Env.Now;
  ClaimLocation Place =
      claimLocation(R.Sub.Key, this->Env.ActiveConfig->Policy);
  R.KeyHome = this->Members.ownerOf(hash64(Place.ObjectName), "");
  this->Env.outboxFor(R.KeyHome).Claims.push_back(
      Claim{R.Sub.Key, R.Sub.BodyHash, this->claimantOf(R)});
}

void Entry::settle(const Request &R, Outcome O) {
  if (R.KeyHome.isValid()) {
    this->Env.outboxFor(R.KeyHome).ClaimCompletions.push_back(
        ClaimCompletion{R.Sub.Key, this->claimantOf(R), O});
  }
}

void Entry::askJoin(Request &R) {
  R.ClaimedAt = this->Env.Now;
  this->Env.outboxFor(R.Holder.Host)
      .OutcomeRequests.push_back(
          OutcomeRequest{R.First, this->Env.Run, R.Holder});
}

void Entry::onClaimReply(const ClaimReply &C) {
  // A reply to an earlier run of this host would fit a number of this one.
  RequestHandle H =
      C.Run == this->Env.Run ? this->byAsk(C.Submission) : RequestHandle();
  if (!H.isValid() || this->row(H).State != RequestState::Claiming) {
    return;
  }
  Request &R = this->row(H);
  switch (C.Result) {
  case ClaimResult::Granted:
    this->ask(H);
    return;
  case ClaimResult::Taken:
    R.State = RequestState::Joining;
    R.Holder = C.Holder;
    R.HolderEnded = C.Ended;
    R.HolderEndedAs = C.EndedAs;
    this->askJoin(R);
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

// This submission never got a claim, so there is nothing to settle.
void Entry::refuseKey(RequestHandle H, Reason Why) {
  this->row(H).KeyHome = HostId();
  this->refuse(H, Why, Duration(0));
}

// The end that is known without the holder's own word.
void Entry::endUnjoined(RequestHandle H) {
  const Request &R = this->row(H);
  Outcome O = R.HolderEnded ? R.HolderEndedAs : Outcome::MayHaveRun;
  this->finish(H, Verdict{O, Reason::KeyDuplicate, Duration(0)}, "");
}

void Entry::onJoin(HostId From, const OutcomeRequest &J) {
  OutcomeReply Reply;
  Reply.Submission = J.Submission;
  Reply.Run = J.Run;
  bool Mine = J.Holder.Host == this->Env.Self && J.Holder.Run == this->Env.Run;
  RequestHandle H = Mine ? this->byAsk(J.Holder.Submission) : RequestHandle();
  if (H.isValid() && this->row(H).First == J.Holder.Submission) {
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
    Reply.End = Known->End;
    Reply.Answer = Known->Answer;
  }
  this->Env.outboxFor(From).OutcomeReplies.push_back(Reply);
}

void Entry::onJoinReply(const OutcomeReply &J) {
  RequestHandle H =
      J.Run == this->Env.Run ? this->byAsk(J.Submission) : RequestHandle();
  if (!H.isValid() || this->row(H).State != RequestState::Joining) {
    return;
  }
  Request &R = this->row(H);
  if (!J.Known) {
    this->endUnjoined(H);
    return;
  }
  if (J.End.Result != Outcome::NotRun) {
    this->finish(H, J.End, J.Answer);
    return;
  }
  // The holder itself says that it never ran: its claim may go, and this
  // submission claims the key anew.
  ClaimLocation Place =
      claimLocation(R.Sub.Key, this->Env.ActiveConfig->Policy);
  HostId Home = this->Members.ownerOf(hash64(Place.ObjectName), "");
  this->Env.outboxFor(Home).ClaimCompletions.push_back(
      ClaimCompletion{R.Sub.Key, R.Holder, Outcome::NotRun});
  R.State = RequestState::Claiming;
  R.ClaimedAt = this->Env.Now;
}

void Entry::retryClaims() {
  if (this->Env.Now < this->NextClaimRetry) {
    return;
  }
  this->NextClaimRetry = this->Env.Now + ClaimRetry / 4;
  // A copy: rows leave the list when they end.
  std::vector<uint32_t> Rows = this->Active;
  for (uint32_t I : Rows) {
    Request &R = this->Table[I];
    bool Due = this->Env.Now - R.ClaimedAt >= ClaimRetry;
    if (R.State == RequestState::Claiming && Due) {
      this->claim(RequestHandle{I});
    } else if (R.State == RequestState::Joining && Due) {
      if (this->Members.live(R.Holder.Host)) {
        this->askJoin(R);
      } else {
        this->endUnjoined(RequestHandle{I});
      }
    }
  }
}

void Entry::hostGone(HostId Host) {
  std::vector<uint32_t> Rows = this->Active;
  for (uint32_t I : Rows) {
    const Request &R = this->Table[I];
    if (R.State == RequestState::Joining && R.Holder.Host == Host) {
      this->endUnjoined(RequestHandle{I});
    }
  }
}

} // namespace shallotlatch
