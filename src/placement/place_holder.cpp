// The holder's side: this host's requests, which the owner of its failure
// domain places.
#include "place_books_p.h"

#include <algorithm>

namespace shallotlatch {

// Time without a reply after which the owner counts as unresponsive. An owner
// within the failure domain answers in about 1 ms, but pauses for up to 100 ms
// when its processor share is used up.
static constexpr Duration OwnerReplyTimeout = millis(120);
// Interval of reports while this host has requests of the service.
static constexpr Duration ReportInterval = millis(100);
// Interval of reports while it has none.
static constexpr Duration IdleReportInterval = millis(400);
// Time that a minor change, such as a first event, waits for its report, so
// that several changes share one datagram.
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

void PlacementHolder::ended(PlacementId Id, AttemptResult Result,
                            uint32_t Events) {
  auto It = this->Held.find(Id);
  if (It != this->Held.end()) {
    this->Ended.push_back({It->second.Serial, Result, Events});
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
      // The request counts as held from here on, since the owner may repeat the
      // grant before this host acts on it.
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
  std::vector<PlacementRequest> Unanswered;
  if (this->Pending.empty() || this->isOwnerResponsive(Now)) {
    return Unanswered;
  }
  for (const auto &Item : this->Pending) {
    Unanswered.push_back(Item.second.Request);
  }
  std::sort(Unanswered.begin(), Unanswered.end(),
            [](const PlacementRequest &A, const PlacementRequest &B) {
              return A.Id < B.Id;
            });
  this->Pending.clear();
  this->UrgentChange = true;
  return Unanswered;
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
  Duration SinceReport = Now - this->LastReportAt;
  bool HasRequests = !this->Pending.empty() || !this->Held.empty();
  return this->UrgentChange ||
         (this->MinorChange && SinceReport >= MinorChangeDelay) ||
         SinceReport >= (HasRequests ? ReportInterval : IdleReportInterval);
}

PlacementReport PlacementHolder::makeReport(Time Now) {
  PlacementReport Report;
  Report.Sequence = ++this->Sequence;
  for (const auto &Item : this->Pending) {
    const PlacementRequest &Request = Item.second.Request;
    WaitingRequest W;
    W.Serial = Item.second.Serial;
    W.Customer = Request.Customer;
    W.Rank = Request.Rank;
    W.RefusedBefore = Request.RefusedBefore;
    W.Repeatable = Request.Repeatable;
    W.PromptTokens = Request.PromptTokens;
    W.OutputTokens = Request.OutputTokens;
    W.OutputHint = Request.OutputHint;
    W.Objective = Request.Objective;
    W.Waited = Now - Request.Arrived;
    W.SinceFirstAttempt = Now - Request.FirstAttempt;
    W.TimeToDeadline = std::max(Duration(0), Request.Deadline - Now);
    W.Software = Request.Software;
    for (const std::string &Instance : Request.Tried) {
      W.Tried.push_back(instanceHash(Instance));
    }
    Report.Waiting.push_back(std::move(W));
  }
  for (const auto &Item : this->Held) {
    Report.Held.push_back(Item.second);
  }
  Report.Ended = this->EndedInLastReport;
  Report.Ended.insert(Report.Ended.end(), this->Ended.begin(),
                      this->Ended.end());
  this->EndedInLastReport.swap(this->Ended);
  this->Ended.clear();
  if (this->UnansweredSince == Time()) {
    this->UnansweredSince = Now;
  }
  this->LastReportAt = Now;
  this->UrgentChange = false;
  this->MinorChange = false;
  return Report;
}

} // namespace shallotlatch
