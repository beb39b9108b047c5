// The owner's side: requests of other hosts of the failure domain, placed by
// this host's scheduler.
#include "place_books_p.h"

#include <set>

namespace shallotlatch {

// Time without a report after which a holder's requests are no longer counted.
// Holders with requests send a report every 100 ms, so five reports in a row
// must have been lost.
static constexpr Duration HolderTimeout = millis(600);

void PlacementOwner::release(RequestEntry &E, AttemptResult Result, Time Now,
                             uint32_t Events) {
  switch (E.Current) {
  case RequestEntry::State::Waiting:
    this->Scheduler.withdraw(E.Id);
    break;
  case RequestEntry::State::Granted:
  case RequestEntry::State::Held:
    this->Scheduler.completed(E.Id, Events);
    this->Scheduler.ended(E.Id, Result, Now);
    break;
  case RequestEntry::State::Refused:
    break;
  }
  this->ById.erase(E.Id);
}

void PlacementOwner::applyHeld(HostId Host, HolderState &H,
                               const HeldRequest &Held, Time Now) {
  auto It = H.Entries.find(Held.Serial);
  if (It == H.Entries.end()) {
    // A former owner granted the target, or the holder chose it itself.
    RequestEntry E;
    E.Current = RequestEntry::State::Held;
    E.Id = this->NextId();
    if (!this->Scheduler.adopt(E.Id, Held.Target, Held.PromptTokens, Now)) {
      return;
    }
    this->ById[E.Id] = {Host, Held.Serial};
    It = H.Entries.emplace(Held.Serial, E).first;
  }
  RequestEntry &E = It->second;
  if (E.Current == RequestEntry::State::Waiting) {
    // The holder placed the waiting request itself.
    this->Scheduler.withdraw(E.Id);
    if (!this->Scheduler.adopt(E.Id, Held.Target, Held.PromptTokens, Now)) {
      E.Current = RequestEntry::State::Refused;
      return;
    }
  } else if (E.Current == RequestEntry::State::Refused) {
    return;
  }
  E.Current = RequestEntry::State::Held;
  if (Held.Started) {
    this->Scheduler.started(E.Id, Now);
  }
}

void PlacementOwner::applyWaiting(HostId Host, HolderState &H,
                                  const WaitingRequest &Request, Time Now) {
  if (H.Entries.count(Request.Serial) != 0) {
    return; // The reply repeats the decision about a known request.
  }
  PlacementRequest A;
  A.Id = this->NextId();
  A.Customer = Request.Customer;
  A.Rank = Request.Rank;
  A.PromptTokens = Request.PromptTokens;
  A.OutputTokens = Request.OutputTokens;
  A.OutputHint = Request.OutputHint;
  A.Objective = Request.Objective;
  A.Arrived = Now - Request.Waited;
  A.FirstAttempt = Now - Request.SinceFirstAttempt;
  A.RefusedBefore = Request.RefusedBefore;
  A.Deadline = Now + Request.TimeToDeadline;
  A.Repeatable = Request.Repeatable;
  A.Software = Request.Software;
  A.Holder = Host;
  A.Tried = this->Scheduler.instances(Request.Tried);
  RequestEntry E;
  E.Id = A.Id;
  H.Entries.emplace(Request.Serial, E);
  this->ById[A.Id] = {Host, Request.Serial};
  this->Scheduler.enqueue(A);
}

void PlacementOwner::receive(const PlacementReport &Report, Time Now) {
  HolderState &H = this->Holders[Report.Host];
  if (H.Run != Report.Run) {
    for (auto &Item : H.Entries) {
      this->release(Item.second, AttemptResult::Unknown, Now);
    }
    H.Entries.clear();
    this->Scheduler.forgetHolder(Report.Host);
    H.Run = Report.Run;
    H.Sequence = 0;
  }
  if (Report.Sequence <= H.Sequence) {
    return;
  }
  H.Sequence = Report.Sequence;
  H.LastReportAt = Now;
  H.ReplyDue = true;
  this->Scheduler.mergeHolderNotices(Report.Host, Report.Notices, Now);
  for (const FinishedRequest &Finished : Report.Ended) {
    auto It = H.Entries.find(Finished.Serial);
    if (It != H.Entries.end()) {
      this->release(It->second, Finished.Result, Now, Finished.Events);
      H.Entries.erase(It);
    }
  }
  this->Scheduler.observePaces(Report.Paces, Now);
  this->Scheduler.observeLoads(Report.Loads, Now);
  std::set<RequestSerial> Listed;
  for (const HeldRequest &Held : Report.Held) {
    Listed.insert(Held.Serial);
    this->applyHeld(Report.Host, H, Held, Now);
  }
  for (const WaitingRequest &Request : Report.Waiting) {
    Listed.insert(Request.Serial);
    this->applyWaiting(Report.Host, H, Request, Now);
  }
  // A request whose grant has not reached the holder yet is still listed as
  // waiting in the report, so a request that is not listed has ended.
  for (auto It = H.Entries.begin(); It != H.Entries.end();) {
    if (Listed.count(It->first) != 0) {
      ++It;
      continue;
    }
    this->release(It->second, AttemptResult::Unknown, Now);
    It = H.Entries.erase(It);
  }
}

PlacementOwner::RequestEntry *PlacementOwner::findEntry(PlacementId Id,
                                                        HostId *Host) {
  auto It = this->ById.find(Id);
  if (It == this->ById.end()) {
    return nullptr;
  }
  *Host = It->second.Host;
  return &this->Holders[*Host].Entries[It->second.Serial];
}

bool PlacementOwner::takePlacement(const PlacedRequest &Placed) {
  HostId Host;
  RequestEntry *E = this->findEntry(Placed.Id, &Host);
  if (E == nullptr) {
    return false;
  }
  E->Current = RequestEntry::State::Granted;
  E->Grant.Serial = this->ById[Placed.Id].Serial;
  E->Grant.Target = instanceHash(Placed.Target.Instance);
  E->Grant.Predicted = Placed.Predicted;
  E->Grant.Running = Placed.Running;
  this->Holders[Host].ReplyDue = true;
  return true;
}

bool PlacementOwner::takeRefusal(const PlacementRefusal &Refusal) {
  HostId Host;
  RequestEntry *E = this->findEntry(Refusal.Id, &Host);
  if (E == nullptr) {
    return false;
  }
  E->Current = RequestEntry::State::Refused;
  E->Refusal = {this->ById[Refusal.Id].Serial, Refusal.Why, Refusal.RetryAfter};
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
      this->Scheduler.forgetHolder(It->first);
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
