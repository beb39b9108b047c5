#include "service_places_p.h"

#include "event_log_p.h"

#include <algorithm>

namespace shallotlatch {

// The way to the owner and back is over by then; what waits longer found no
// place at once.
static constexpr Duration OwnerRoundTrip = millis(20);

void ServicePlacement::setOwner(HostId Host) {
  if (!this->Engine || Host == this->Holder.owner()) {
    return;
  }
  logBelief("place-owner",
            {{"service", this->Service.Value}, {"owner", toHex(Host.Value)}});
  this->Holder.setOwner(Host);
}

void ServicePlacement::enqueue(const PlacementRequest &Request, Time Now) {
  if (this->Holder.isOwnerResponsive(Now)) {
    this->Holder.askOwner(Request, Now);
  } else {
    this->Scheduler.enqueue(Request);
  }
}

void ServicePlacement::withdraw(PlacementId Run) {
  this->Holder.withdraw(Run);
  this->Scheduler.withdraw(Run);
  // A grant that has not been acted on is given back.
  auto Of = [Run](const auto &Item) { return Item.first.Run == Run; };
  auto It = std::find_if(this->Granted.begin(), this->Granted.end(), Of);
  if (It != this->Granted.end()) {
    this->Granted.erase(It);
    this->Holder.ended(Run, AttemptResult::Unknown);
  }
}

void ServicePlacement::decide(Time Now, std::vector<PlacedRequest> &Placed,
                              std::vector<PlacementRefusal> &Refused) {
  for (const PlacementRequest &Request : this->Holder.takeUnanswered(Now)) {
    this->Scheduler.enqueue(Request);
  }
  for (const auto &Item : this->Granted) {
    const PlacementRequest &Request = Item.first;
    const PlacementGrant &Grant = Item.second;
    const TargetEntry *Target = this->Scheduler.adopt(
        Request.Run, Grant.Target, Request.PromptTokens, Now);
    if (Target == nullptr) {
      // The owner knows a target that is not listed here.
      this->Holder.ended(Request.Run, AttemptResult::Unknown);
      this->Scheduler.enqueue(Request);
      continue;
    }
    Placed.push_back({Request.Run, *Target, Request.PromptTokens,
                      Grant.Predicted, Now - Request.Arrived, Grant.Running});
  }
  this->Granted.clear();
  Refused.insert(Refused.end(), this->RefusedByOwner.begin(),
                 this->RefusedByOwner.end());
  this->RefusedByOwner.clear();
  std::vector<PlacedRequest> Here;
  std::vector<PlacementRefusal> Not;
  this->Scheduler.decide(Now, Here, Not);
  for (const PlacedRequest &Run : Here) {
    if (!this->Owner.placed(Run)) {
      this->Holder.placed(Run.Run, instanceHash(Run.Target.Instance),
                          Run.PromptTokens);
      Placed.push_back(Run);
    }
  }
  for (const PlacementRefusal &Refusal : Not) {
    if (!this->Owner.takeRefusal(Refusal)) {
      Refused.push_back(Refusal);
    }
  }
}

void ServicePlacement::started(PlacementId Run, Time Now) {
  this->Scheduler.started(Run, Now);
  this->Holder.started(Run);
}

void ServicePlacement::ended(PlacementId Run, AttemptResult Result, Time Now) {
  this->Scheduler.ended(Run, Result, Now);
  this->Holder.ended(Run, Result);
}

void ServicePlacement::receive(const PlacementReport &Book, Time Now) {
  this->Owner.receive(Book, Now);
}

void ServicePlacement::receive(const PlacementReply &Reply, Time Now) {
  this->Holder.receive(Reply, Now, this->Granted, this->RefusedByOwner);
}

void ServicePlacement::post(PlacementTransport &Post, Time Now) {
  if (this->Holder.isReportDue(Now)) {
    PlacementReport Book = this->Holder.makeReport(Now);
    Book.Service = this->Service;
    Post.post(this->Holder.owner(), Book);
  }
  std::vector<std::pair<HostId, PlacementReply>> Replies;
  this->Owner.collectReplies(Now, Replies);
  for (auto &Item : Replies) {
    Item.second.Service = this->Service;
    Post.post(Item.first, Item.second);
  }
}

bool ServicePlacement::hasWaiting() const {
  return this->Scheduler.hasWaiting() || this->Holder.hasWaiting();
}

bool ServicePlacement::hasBacklog(Time Now) const {
  return this->Scheduler.hasWaiting() ||
         this->Holder.waitedLongerThan(Now, OwnerRoundTrip);
}

std::vector<TargetUse> ServicePlacement::ownUse(Time Now) const {
  return this->Holder.isOwnerResponsive(Now) ? std::vector<TargetUse>()
                                             : this->Scheduler.ownUse();
}

} // namespace shallotlatch
