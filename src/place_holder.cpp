// The holder's side: requests that another host places.
#include "place_books_p.h"

#include <algorithm>

namespace shallotlatch {

// An owner within the failure domain answers in about a millisecond; one whose
// processor share is used up pauses for up to a tenth of a second.
static constexpr Duration OwnerReplyTimeout = millis(120);
// A book that holds anything is repeated this often, another one this often.
static constexpr Duration ReportInterval = millis(100);
static constexpr Duration IdleReportInterval = millis(400);
// First events are told this late, so that they share datagrams.
static constexpr Duration MinorChangeDelay = millis(20);

bool PlacementHolder::isOwnerResponsive(Time Now) const {
  return this->Owner.isValid() && this->LastReplyAt != Time() &&
         (this->UnansweredSince == Time() ||
          Now - this->UnansweredSince < OwnerReplyTimeout);
}

void PlacementHolder::setOwner(HostId Next) {
  if (Next == this->Owner) {
    return;
  }
  this->Owner = Next;
  this->LastReplyAt = Time();
  this->UnansweredSince = Time();
  this->UrgentChange = true;
}

void PlacementHolder::askOwner(const PlacementRequest &Request, Time Now) {
  this->Pending[Request.Id] = {RequestSerial{this->NextSerial++}, Request, Now};
  this->UrgentChange = true;
}

void PlacementHolder::withdraw(PlacementId Id) {
  this->UrgentChange = this->Pending.erase(Id) != 0 || this->UrgentChange;
}

void PlacementHolder::placed(PlacementId Id, uint32_t Target,
                             double PromptTokens) {
  auto It = this->Pending.find(Id);
  HeldRequest H;
  if (It != this->Pending.end()) {
    H.Serial = It->second.Serial;
    this->Pending.erase(It);
  } else {
    H.Serial = RequestSerial{this->NextSerial++};
  }
  H.Target = Target;
  H.PromptTokens = PromptTokens;
  this->Held[Id] = H;
  this->MinorChange = true;
}

void PlacementHolder::started(PlacementId Id) {
  auto It = this->Held.find(Id);
  if (It != this->Held.end() && !It->second.Started) {
    It->second.Started = true;
    this->MinorChange = true;
  }
}

void PlacementHolder::ended(PlacementId Id, AttemptResult Result) {
  auto It = this->Held.find(Id);
  if (It != this->Held.end()) {
    this->Ended.push_back({It->second.Serial, Result});
    this->Held.erase(It);
    this->UrgentChange = true;
  }
}

void PlacementHolder::receive(
    const PlacementReply &Reply, Time Now,
    std::vector<std::pair<PlacementRequest, PlacementGrant>> &Granted,
    std::vector<PlacementRefusal> &Refused) {
  if (Reply.Host != this->Owner || Reply.Sequence > this->Sequence) {
    return;
  }
  this->LastReplyAt = Now;
  if (Reply.Sequence == this->Sequence) {
    this->UnansweredSince = Time();
  } else if (Reply.Sequence > this->AnsweredSequence) {
    this->UnansweredSince = Now;
  }
  this->AnsweredSequence = std::max(this->AnsweredSequence, Reply.Sequence);
  std::unordered_map<RequestSerial, PlacementId> BySerial;
  for (const auto &Item : this->Pending) {
    BySerial[Item.second.Serial] = Item.first;
  }
  for (const PlacementGrant &G : Reply.Grants) {
    auto It = BySerial.find(G.Serial);
    if (It != BySerial.end()) {
      // Held from here on: the grant may be repeated before it is acted on.
      const PlacementRequest Request = this->Pending[It->second].Request;
      this->placed(Request.Id, G.Target, Request.PromptTokens);
      Granted.emplace_back(Request, G);
    }
  }
  for (const RefusedRequest &R : Reply.Refusals) {
    auto It = BySerial.find(R.Serial);
    if (It != BySerial.end()) {
      Refused.push_back({It->second, R.Why, R.RetryAfter});
      this->Pending.erase(It->second);
      this->MinorChange = true;
    }
  }
}

std::vector<PlacementRequest> PlacementHolder::takeUnanswered(Time Now) {
  std::vector<PlacementRequest> Back;
  if (this->Pending.empty() || this->isOwnerResponsive(Now)) {
    return Back;
  }
  for (const auto &Item : this->Pending) {
    Back.push_back(Item.second.Request);
  }
  std::sort(Back.begin(), Back.end(),
            [](const PlacementRequest &A, const PlacementRequest &B) {
              return A.Id < B.Id;
            });
  this->Pending.clear();
  this->UrgentChange = true;
  return Back;
}

bool PlacementHolder::waitedLongerThan(Time Now, Duration Limit) const {
  return std::any_of(
      this->Pending.begin(), this->Pending.end(),
      [&](const auto &Item) { return Now - Item.second.At > Limit; });
}

bool PlacementHolder::isReportDue(Time Now) const {
  if (!this->Owner.isValid()) {
    return false;
  }
  Duration Since = Now - this->LastReportAt;
  bool Anything = !this->Pending.empty() || !this->Held.empty();
  return this->UrgentChange ||
         (this->MinorChange && Since >= MinorChangeDelay) ||
         Since >= (Anything ? ReportInterval : IdleReportInterval);
}

PlacementReport PlacementHolder::makeReport(Time Now) {
  PlacementReport Book;
  Book.Sequence = ++this->Sequence;
  for (const auto &Item : this->Pending) {
    const PlacementRequest &Request = Item.second.Request;
    WaitingRequest W;
    W.Serial = Item.second.Serial;
    W.Rank = Request.Rank;
    W.RefusedBefore = Request.RefusedBefore;
    W.Repeatable = Request.Repeatable;
    W.PromptTokens = Request.PromptTokens;
    W.OutputTokens = Request.OutputTokens;
    W.Objective = Request.Objective;
    W.Waited = Now - Request.Arrived;
    W.SinceFirstAttempt = Now - Request.FirstAttempt;
    W.TimeToDeadline = std::max(Duration(0), Request.Deadline - Now);
    for (const std::string &Instance : Request.Tried) {
      W.Tried.push_back(instanceHash(Instance));
    }
    Book.Waiting.push_back(std::move(W));
  }
  for (const auto &Item : this->Held) {
    Book.Held.push_back(Item.second);
  }
  Book.Ended = this->EndedInLastReport;
  Book.Ended.insert(Book.Ended.end(), this->Ended.begin(), this->Ended.end());
  this->EndedInLastReport.swap(this->Ended);
  this->Ended.clear();
  if (this->UnansweredSince == Time()) {
    this->UnansweredSince = Now;
  }
  this->LastReportAt = Now;
  this->UrgentChange = false;
  this->MinorChange = false;
  return Book;
}

} // namespace shallotlatch
