// The owner's side: other hosts' requests in this host's pool.
#include "place_books_p.h"

#include <set>

namespace shallotlatch {

// Holders repeat their book every 100 ms while they hold anything, so this is
// five losses in a row; what they hold is then counted no longer.
static constexpr Duration HolderTimeout = millis(600);

void PlacementOwner::release(RequestEntry &E, AttemptResult Result, Time Now) {
  switch (E.Current) {
  case RequestEntry::State::Waiting:
    this->Scheduler.withdraw(E.Run);
    break;
  case RequestEntry::State::Granted:
  case RequestEntry::State::Held:
    this->Scheduler.ended(E.Run, Result, Now);
    break;
  case RequestEntry::State::Refused:
    break;
  }
  this->ById.erase(E.Run);
}

void PlacementOwner::applyHeld(HostId Host, HolderState &H,
                               const HeldRequest &Run, Time Now) {
  auto It = H.Entries.find(Run.Serial);
  if (It == H.Entries.end()) {
    // Granted by a former owner, or placed by the holder itself.
    RequestEntry E;
    E.Current = RequestEntry::State::Held;
    E.Run = this->NextId();
    if (!this->Scheduler.adopt(E.Run, Run.Target, Run.PromptTokens, Now)) {
      return;
    }
    this->ById[E.Run] = {Host, Run.Serial};
    It = H.Entries.emplace(Run.Serial, E).first;
  }
  RequestEntry &E = It->second;
  if (E.Current == RequestEntry::State::Waiting) {
    // The holder placed it by itself.
    this->Scheduler.withdraw(E.Run);
    if (!this->Scheduler.adopt(E.Run, Run.Target, Run.PromptTokens, Now)) {
      E.Current = RequestEntry::State::Refused;
      return;
    }
  } else if (E.Current == RequestEntry::State::Refused) {
    return;
  }
  E.Current = RequestEntry::State::Held;
  if (Run.Started) {
    this->Scheduler.started(E.Run, Now);
  }
}

void PlacementOwner::applyWaiting(HostId Host, HolderState &H,
                                  const WaitingRequest &Request, Time Now) {
  if (H.Entries.count(Request.Serial) != 0) {
    return; // Its decision is repeated by the reply.
  }
  PlacementRequest A;
  A.Run = this->NextId();
  A.Rank = Request.Rank;
  A.PromptTokens = Request.PromptTokens;
  A.OutputTokens = Request.OutputTokens;
  A.Objective = Request.Objective;
  A.Arrived = Now - Request.Waited;
  A.FirstAttempt = Now - Request.SinceFirstAttempt;
  A.RefusedBefore = Request.RefusedBefore;
  A.Deadline = Now + Request.TimeToDeadline;
  A.Repeatable = Request.Repeatable;
  A.Tried = this->Scheduler.instances(Request.Tried);
  RequestEntry E;
  E.Run = A.Run;
  H.Entries.emplace(Request.Serial, E);
  this->ById[A.Run] = {Host, Request.Serial};
  this->Scheduler.enqueue(A);
}

void PlacementOwner::receive(const PlacementReport &Book, Time Now) {
  HolderState &H = this->Holders[Book.Host];
  if (H.Run != Book.Run) {
    for (auto &Item : H.Entries) {
      this->release(Item.second, AttemptResult::Unknown, Now);
    }
    H.Entries.clear();
    H.Run = Book.Run;
    H.Sequence = 0;
  }
  if (Book.Sequence <= H.Sequence) {
    return;
  }
  H.Sequence = Book.Sequence;
  H.LastReportAt = Now;
  H.ReplyDue = true;
  for (const FinishedRequest &Run : Book.Ended) {
    auto It = H.Entries.find(Run.Serial);
    if (It != H.Entries.end()) {
      this->release(It->second, Run.Result, Now);
      H.Entries.erase(It);
    }
  }
  std::set<RequestSerial> Named;
  for (const HeldRequest &Run : Book.Held) {
    Named.insert(Run.Serial);
    this->applyHeld(Book.Host, H, Run, Now);
  }
  for (const WaitingRequest &Request : Book.Waiting) {
    Named.insert(Request.Serial);
    this->applyWaiting(Book.Host, H, Request, Now);
  }
  // A grant that is still under way stands among the waiting asks of the
  // holder's book, so what is not named is over.
  for (auto It = H.Entries.begin(); It != H.Entries.end();) {
    if (Named.count(It->first) != 0) {
      ++It;
      continue;
    }
    this->release(It->second, AttemptResult::Unknown, Now);
    It = H.Entries.erase(It);
  }
}

PlacementOwner::RequestEntry *PlacementOwner::find(PlacementId Run,
                                                   HostId *Host) {
  auto It = this->ById.find(Run);
  if (It == this->ById.end()) {
    return nullptr;
  }
  *Host = It->second.Host;
  return &this->Holders[*Host].Entries[It->second.Serial];
}

bool PlacementOwner::takePlacement(const PlacedRequest &Run) {
  HostId Host;
  RequestEntry *E = this->find(Run.Run, &Host);
  if (E == nullptr) {
    return false;
  }
  E->Current = RequestEntry::State::Granted;
  E->Grant.Serial = this->ById[Run.Run].Serial;
  E->Grant.Target = instanceHash(Run.Target.Instance);
  E->Grant.Predicted = Run.Predicted;
  E->Grant.Running = Run.Running;
  this->Holders[Host].ReplyDue = true;
  return true;
}

bool PlacementOwner::takeRefusal(const PlacementRefusal &Refusal) {
  HostId Host;
  RequestEntry *E = this->find(Refusal.Run, &Host);
  if (E == nullptr) {
    return false;
  }
  E->Current = RequestEntry::State::Refused;
  E->Refusal = {this->ById[Refusal.Run].Serial, Refusal.Why,
                Refusal.RetryAfter};
  this->Holders[Host].ReplyDue = true;
  return true;
}

void PlacementOwner::collectReplies(
    Time Now, std::vector<std::pair<HostId, PlacementReply>> &Replies) {
  for (auto It = this->Holders.begin(); It != this->Holders.end();) {
    HolderState &H = It->second;
    if (Now - H.LastReportAt > HolderTimeout) {
      for (auto &Item : H.Entries) {
        this->release(Item.second, AttemptResult::Unknown, Now);
      }
      It = this->Holders.erase(It);
      continue;
    }
    if (H.ReplyDue) {
      H.ReplyDue = false;
      PlacementReply Reply;
      Reply.HolderRun = H.Run;
      Reply.Sequence = H.Sequence;
      for (const auto &Item : H.Entries) {
        if (Item.second.Current == RequestEntry::State::Granted) {
          Reply.Grants.push_back(Item.second.Grant);
        } else if (Item.second.Current == RequestEntry::State::Refused) {
          Reply.Refusals.push_back(Item.second.Refusal);
        }
      }
      Replies.emplace_back(It->first, std::move(Reply));
    }
    ++It;
  }
}

} // namespace shallotlatch
