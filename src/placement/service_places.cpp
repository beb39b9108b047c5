#include "service_places_p.h"

#include "event_log_p.h"

#include <algorithm>

namespace shallotlatch {

// Shortest interval between two reports with the paces of targets. The owner
// follows a change within a second, and a host with 40 streams sends about
// 1.6 KB/s for it.
static constexpr Duration PaceReportInterval = millis(250);

// Upper bound of the time in which the owner answers a request that it can
// place at once. A request that waits longer found no free slot.
static constexpr Duration OwnerRoundTrip = millis(20);

void ServicePlacement::setOwner(HostId Host) {
  if (!this->Engine || Host == this->Holder.owner()) {
    return;
  }
  logImportantEvent("place-owner", {{"service", this->Service.Value},
                                    {"owner", toHex(Host.Value)}});
  this->Holder.setOwner(Host);
}

void ServicePlacement::enqueue(const PlacementRequest &Request, Time Now) {
  if (this->Holder.isOwnerResponsive(Now)) {
    this->Holder.askOwner(Request, Now);
  } else {
    this->Scheduler.enqueue(Request);
  }
}

void ServicePlacement::withdraw(PlacementId Id) {
  this->Holder.withdraw(Id);
  this->Scheduler.withdraw(Id);
  // A grant that this host has not acted on is returned to the owner.
  auto HasId = [Id](const auto &Item) { return Item.first.Id == Id; };
  auto It = std::find_if(this->Granted.begin(), this->Granted.end(), HasId);
  if (It != this->Granted.end()) {
    this->Granted.erase(It);
    this->Holder.ended(Id, AttemptResult::Unknown);
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
    const TargetEntry *Target =
        this->Scheduler.mayUseGrant(Grant.Target, Request, Now)
            ? this->Scheduler.adopt(Request.Id, Grant.Target,
                                    Request.PromptTokens, Now, Request.Software,
                                    Request.OutputHint)
            : nullptr;
    if (Target == nullptr) {
      // The owner granted a target that this host does not know, one of another
      // version than the request needs, or one that told this host that it
      // pauses or leaves, of which the owner has not learned yet.
      this->Holder.ended(Request.Id, AttemptResult::Unknown);
      this->Scheduler.enqueue(Request);
      continue;
    }
    Placed.push_back({Request.Id, *Target, Request.PromptTokens,
                      Grant.Predicted, Now - Request.Arrived, Grant.Running,
                      true});
  }
  this->Granted.clear();
  Refused.insert(Refused.end(), this->RefusedByOwner.begin(),
                 this->RefusedByOwner.end());
  this->RefusedByOwner.clear();
  std::vector<PlacedRequest> PlacedHere;
  std::vector<PlacementRefusal> RefusedHere;
  this->Scheduler.decide(Now, PlacedHere, RefusedHere);
  for (const PlacedRequest &Request : PlacedHere) {
    if (!this->Owner.takePlacement(Request)) {
      this->Holder.placed(Request.Id, instanceHash(Request.Target.Instance),
                          Request.PromptTokens);
      Placed.push_back(Request);
    }
  }
  for (const PlacementRefusal &Refusal : RefusedHere) {
    if (!this->Owner.takeRefusal(Refusal)) {
      Refused.push_back(Refusal);
    }
  }
}

void ServicePlacement::started(PlacementId Id, Time Now) {
  this->Scheduler.started(Id, Now);
  this->Holder.started(Id);
}

void ServicePlacement::ended(PlacementId Id, AttemptResult Result, Time Now,
                             uint32_t Events) {
  this->Scheduler.completed(Id, Events);
  this->Scheduler.ended(Id, Result, Now);
  this->Holder.ended(Id, Result, Events);
}

void ServicePlacement::receive(const PlacementReport &Report, Time Now) {
  this->Owner.receive(Report, Now);
}

void ServicePlacement::receive(const PlacementReply &Reply, Time Now) {
  this->Holder.receive(Reply, Now, this->Granted, this->RefusedByOwner);
}

void ServicePlacement::post(PlacementTransport &Transport, Time Now) {
  if (this->Holder.isReportDue(Now)) {
    PlacementReport Report = this->Holder.makeReport(Now);
    Report.Service = this->Service;
    Report.Loads = this->Scheduler.takeLoads(Now);
    if (Now >= this->NextPacesAt) {
      this->NextPacesAt = Now + PaceReportInterval;
      Report.Paces = this->Scheduler.takePaces();
    }
    Report.Notices = this->Scheduler.takeNotices(Now);
    Transport.post(this->Holder.owner(), Report);
  }
  for (const LimitChange &Change : this->Scheduler.takeLimitChanges()) {
    logEvent("target-speed-limit", {{"service", this->Service.Value},
                                    {"target", Change.Instance},
                                    {"limit", Change.Limit},
                                    {"slots", Change.Slots},
                                    {"event-ms", Change.EventMs}});
  }
  std::vector<std::pair<HostId, PlacementReply>> Replies;
  this->Owner.collectReplies(Now, Replies);
  for (auto &Item : Replies) {
    Item.second.Service = this->Service;
    Transport.post(Item.first, Item.second);
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
