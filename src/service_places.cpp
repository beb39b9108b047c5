#include "service_places_p.h"

#include "event_log_p.h"

#include <algorithm>

namespace shallotlatch {

// The way to the owner and back is over by then; what waits longer found no
// place at once.
static constexpr Duration AskRoundTrip = millis(20);

void ServicePlaces::setOwner(HostId Host) {
  if (!this->Engine || Host == this->Holder.owner()) {
    return;
  }
  logBelief("place-owner",
            {{"service", this->Service.Value}, {"owner", toHex(Host.Value)}});
  this->Holder.setOwner(Host);
}

void ServicePlaces::enqueue(const PlaceAsk &Ask, Time Now) {
  if (this->Holder.answering(Now)) {
    this->Holder.ask(Ask, Now);
  } else {
    this->Pool.enqueue(Ask);
  }
}

void ServicePlaces::withdraw(RunId Run) {
  this->Holder.withdraw(Run);
  this->Pool.withdraw(Run);
  // A grant that has not been acted on is given back.
  auto Of = [Run](const auto &Item) { return Item.first.Run == Run; };
  auto It = std::find_if(this->Granted.begin(), this->Granted.end(), Of);
  if (It != this->Granted.end()) {
    this->Granted.erase(It);
    this->Holder.ended(Run, RunSign::Unknown);
  }
}

void ServicePlaces::decide(Time Now, std::vector<PlacedRun> &Placed,
                           std::vector<PlaceRefusal> &Refused) {
  for (const PlaceAsk &Ask : this->Holder.takeBack(Now)) {
    this->Pool.enqueue(Ask);
  }
  for (const auto &Item : this->Granted) {
    const PlaceAsk &Ask = Item.first;
    const PlaceGrant &Grant = Item.second;
    const TargetEntry *Target =
        this->Pool.adopt(Ask.Run, Grant.Target, Ask.PromptTokens, Now);
    if (Target == nullptr) {
      // The owner knows a target that is not listed here.
      this->Holder.ended(Ask.Run, RunSign::Unknown);
      this->Pool.enqueue(Ask);
      continue;
    }
    Placed.push_back({Ask.Run, *Target, Ask.PromptTokens, Grant.Predicted,
                      Now - Ask.Arrived, Grant.Running});
  }
  this->Granted.clear();
  Refused.insert(Refused.end(), this->RefusedByOwner.begin(),
                 this->RefusedByOwner.end());
  this->RefusedByOwner.clear();
  std::vector<PlacedRun> Here;
  std::vector<PlaceRefusal> Not;
  this->Pool.decide(Now, Here, Not);
  for (const PlacedRun &Run : Here) {
    if (!this->Owner.placed(Run)) {
      this->Holder.placed(Run.Run, instanceHash(Run.Target.Instance),
                          Run.PromptTokens);
      Placed.push_back(Run);
    }
  }
  for (const PlaceRefusal &Refusal : Not) {
    if (!this->Owner.refused(Refusal)) {
      Refused.push_back(Refusal);
    }
  }
}

void ServicePlaces::started(RunId Run, Time Now) {
  this->Pool.started(Run, Now);
  this->Holder.started(Run);
}

void ServicePlaces::ended(RunId Run, RunSign Sign, Time Now) {
  this->Pool.ended(Run, Sign, Now);
  this->Holder.ended(Run, Sign);
}

void ServicePlaces::receive(const PlaceBook &Book, Time Now) {
  this->Owner.receive(Book, Now);
}

void ServicePlaces::receive(const PlaceReply &Reply, Time Now) {
  this->Holder.receive(Reply, Now, this->Granted, this->RefusedByOwner);
}

void ServicePlaces::post(PlacePost &Post, Time Now) {
  if (this->Holder.due(Now)) {
    PlaceBook Book = this->Holder.book(Now);
    Book.Service = this->Service;
    Post.post(this->Holder.owner(), Book);
  }
  std::vector<std::pair<HostId, PlaceReply>> Replies;
  this->Owner.collect(Now, Replies);
  for (auto &Item : Replies) {
    Item.second.Service = this->Service;
    Post.post(Item.first, Item.second);
  }
}

bool ServicePlaces::waiting() const {
  return this->Pool.waiting() || this->Holder.waiting();
}

bool ServicePlaces::crowded(Time Now) const {
  return this->Pool.waiting() || this->Holder.waitedSince(Now, AskRoundTrip);
}

std::vector<TargetUse> ServicePlaces::ownUse(Time Now) const {
  return this->Holder.answering(Now) ? std::vector<TargetUse>()
                                     : this->Pool.ownUse();
}

} // namespace shallotlatch
