// Ends of requests and the responses that callers receive.
#include "relay_p.h"

#include "event_log_p.h"
#include "relay_limits_p.h"
#include "sockets_p.h"

#include <algorithm>
#include <cstdio>

namespace shallotlatch {

void RequestRelay::fail(RelayedRequest &R, int Status, const char *Detail) {
  if (R.ResponseBegun) {
    this->Frontend.abortResponse(R.Request.Exchange);
  } else {
    FrontendResponse Response;
    Response.Status = Status;
    Response.Fields = {{"Content-Type", "application/problem+json"},
                       {this->Init.Headers.RequestId, R.RequestId}};
    Response.Body = problemDocument(Status, reasonPhrase(Status), Detail);
    this->Frontend.respond(R.Request.Exchange, Response);
  }
  this->finish(R, R.MayHaveRun ? Outcome::MayHaveRun : Outcome::NotRun, Status,
               Detail);
}

// Used only for a request of which no byte was sent, or which every target that
// received it reported as not run.
void RequestRelay::refuse(RelayedRequest &R, int Status, const char *Detail,
                          Duration RetryAfter) {
  FrontendResponse Response;
  Response.Status = Status;
  Response.Fields = {{"Content-Type", "application/problem+json"},
                     {this->Init.Headers.RequestId, R.RequestId}};
  if (RetryAfter.count() > 0) {
    char Seconds[32];
    snprintf(Seconds, sizeof(Seconds), "%.3f", toSeconds(RetryAfter));
    Response.Fields.push_back({"Retry-After", Seconds});
  }
  Response.Body = problemDocument(Status, reasonPhrase(Status), Detail);
  Response.Close = this->isClosed(ProcessClock::now());
  this->Frontend.respond(R.Request.Exchange, Response);
  if (R.QuotaAmount > 0 && Status != 429) {
    this->Quota.refund(R.Customer->Id, R.QuotaAmount);
  }
  this->finish(R, Outcome::NotRun, Status, Detail);
}

void RequestRelay::refuseOrFail(RelayedRequest &R, const char *Detail,
                                Duration RetryAfter) {
  if (R.MayHaveRun || R.ResponseBegun) {
    this->fail(R, 502, Detail);
  } else {
    this->refuse(R, 503, Detail, RetryAfter);
  }
}

void RequestRelay::finish(RelayedRequest &R, Outcome Result, int Status,
                          const char *Detail) {
  Time Now = ProcessClock::now();
  LogFields Line{{"id", R.RequestId},
                 {"verdict", name(Result)},
                 {"status", Status},
                 {"why", Detail},
                 {"ms", toMillis(Now - R.Request.ReceivedAt)},
                 {"config", R.Config ? R.Config->Version : 0},
                 {"config-age-ms",
                  R.Config ? toMillis(this->StoreView.age(DirectoryKind::Config,
                                                          bootTime()))
                           : -1}};
  if (R.MatchedRoute != nullptr) {
    Line["route"] = R.MatchedRoute->Name;
    Line["attempts"] = R.Attempts;
    Line["prompt-tokens"] = R.PromptTokens;
    Line["output-tokens"] = R.OutputTokens;
    Line["spent-ms"] = toMillis(R.PriorAttemptTime);
  }
  if (R.Customer != nullptr) {
    Line["customer"] = R.Customer->Name;
  }
  if (R.FirstEventAt != Time()) {
    Line["first-ms"] = toMillis(R.FirstEventAt - R.Request.ReceivedAt);
    Line["pause-ms"] = toMillis(R.LongestPause);
    Line["events"] = R.EventCount;
  }
  logEvent("ended", Line);
  EndedRequest Ended;
  Ended.MatchedRoute = R.MatchedRoute;
  Ended.Result = Result;
  Ended.Status = Status;
  Ended.Total = Now - R.Request.ReceivedAt;
  if (R.FirstEventAt != Time()) {
    Ended.TimeToFirstEvent = R.FirstEventAt - R.Request.ReceivedAt;
    Ended.LongestPause = R.LongestPause;
  }
  this->Metrics.recordRequestEnd(Ended);
  switch (Result) {
  case Outcome::Completed:
    ++this->Counts.Completed;
    break;
  case Outcome::NotRun:
    ++this->Counts.Refused;
    break;
  default:
    ++this->Counts.Failed;
  }
  if (R.Call.isValid()) {
    if (answerWellBegun(R)) {
      this->Crashes.onSurvived(R.Prints, Now);
    }
    this->RunByCall.erase(R.Call);
    this->TargetClient.abort(R.Call);
  }
  this->releasePlace(R, AttemptResult::Unknown);
  this->RunByExchange.erase(R.Request.Exchange);
  PlacementId Id = R.Id;
  auto It = this->Requests.find(Id);
  // Functions up the call stack may still read the request, so it is destroyed
  // in the next iteration of the event loop.
  deferDelete(this->Base,
              std::shared_ptr<RelayedRequest>(std::move(It->second)));
  this->Requests.erase(It);
}

void RequestRelay::onCallerDisconnected(ExchangeId Exchange) {
  auto It = this->RunByExchange.find(Exchange);
  RelayedRequest *R =
      It == this->RunByExchange.end() ? nullptr : this->find(It->second);
  if (R == nullptr) {
    return;
  }
  ++this->Counts.Cancelled;
  if (R->Placed) {
    this->recordRolloutEnd(*R, RolloutEnd::Abandoned);
  }
  ServiceId Service = R->Service;
  if (R->MatchedRoute != nullptr && !R->Placed) {
    this->service(R->Service).Places->withdraw(R->Id);
  }
  if (R->QuotaAmount > 0 && !R->EverSent) {
    this->Quota.refund(R->Customer->Id, R->QuotaAmount);
  }
  R->MayHaveRun = R->MayHaveRun || R->EverSent;
  this->finish(*R, R->MayHaveRun ? Outcome::MayHaveRun : Outcome::NotRun, 499,
               "the caller left");
  this->dispatch(Service);
}

void RequestRelay::tick() {
  Time Now = ProcessClock::now();
  this->tickStreams(Now);
  this->tickPaths(Now);
  this->tickRuns(Now);
  this->tickRollouts(Now);
  std::vector<PlacementId> Expired;
  for (const auto &Item : this->Requests) {
    if (Now >= Item.second->Deadline && Item.second->Placed) {
      Expired.push_back(Item.first);
    }
  }
  for (PlacementId Id : Expired) {
    RelayedRequest *R = this->find(Id);
    if (R != nullptr) {
      bool EverSent = R->EverSent;
      this->recordRolloutEnd(*R, RolloutEnd::TimedOut);
      R->MayHaveRun = R->MayHaveRun || R->AttemptSent;
      if (EverSent) {
        this->fail(*R, 504, "the deadline has passed");
      } else {
        this->refuse(*R, 503, "the deadline has passed",
                     RetryAfterTargetFailure);
      }
    }
  }
  this->refuseUnsendable(Now);
  bool Crowded = false;
  for (const auto &Item : this->Services) {
    if (Item.second->Places->hasWaiting()) {
      this->dispatch(Item.first);
      Crowded = Crowded || Item.second->Places->hasBacklog(Now);
    }
  }
  this->Quota.setSpareCapacity(!Crowded);
  this->sendPlacementMessages();
}

void RequestRelay::drain(const StopPlan &Plan) { this->Stop = Plan; }

bool RequestRelay::isClosed(Time Now) const {
  return this->Stop && Now > this->Stop->AdmitUntil;
}

bool RequestRelay::canAwaitAnswer(const RelayedRequest &R, Time Now) const {
  return !this->Stop || Now <= this->Stop->SendUntil ||
         R.Deadline <= this->Stop->EndRequestsAt;
}

void RequestRelay::refuseUnsendable(Time Now) {
  std::vector<PlacementId> Unsendable;
  for (const auto &Item : this->Requests) {
    if (!Item.second->Placed && !this->canAwaitAnswer(*Item.second, Now)) {
      Unsendable.push_back(Item.first);
    }
  }
  for (PlacementId Id : Unsendable) {
    RelayedRequest *R = this->find(Id);
    if (R != nullptr) {
      this->service(R->Service).Places->withdraw(Id);
      this->refuseOrFail(*R, "this host stops", RetryAfterShutdown);
    }
  }
}

void RequestRelay::endAllRequests() {
  std::vector<PlacementId> Remaining;
  for (const auto &Item : this->Requests) {
    Remaining.push_back(Item.first);
  }
  for (PlacementId Id : Remaining) {
    RelayedRequest *R = this->find(Id);
    if (R == nullptr) {
      continue;
    }
    R->MayHaveRun = R->MayHaveRun || R->AttemptSent;
    if (R->EverSent) {
      this->fail(*R, 502, "this host stops");
    } else {
      this->service(R->Service).Places->withdraw(R->Id);
      this->refuse(*R, 503, "this host stops", RetryAfterShutdown);
    }
  }
}

void RequestRelay::peerUse(HostId Peer, const std::vector<TargetUse> &Uses) {
  Time Now = ProcessClock::now();
  for (const auto &Item : this->Services) {
    Item.second->Places->scheduler().peerUse(Peer, Uses, Now);
    if (Item.second->Places->hasWaiting()) {
      this->dispatch(Item.first);
    }
  }
}

void RequestRelay::setRemoteHosts(uint32_t Remote) {
  this->RemoteHosts = Remote;
  for (const auto &Item : this->Services) {
    Item.second->Places->scheduler().setRemoteHosts(Remote);
  }
}

void RequestRelay::setOwner(HostId Host) {
  this->Owner = Host;
  for (const auto &Item : this->Services) {
    Item.second->Places->setOwner(Host);
  }
}

void RequestRelay::receive(const PlacementReport &Book) {
  if (this->Config && this->Config->service(Book.Service) != nullptr) {
    this->service(Book.Service).Places->receive(Book, ProcessClock::now());
    this->dispatch(Book.Service);
  }
}

void RequestRelay::receive(const PlacementReply &Reply) {
  auto It = this->Services.find(Reply.Service);
  if (It != this->Services.end()) {
    It->second->Places->receive(Reply, ProcessClock::now());
    this->dispatch(Reply.Service);
  }
}

void RequestRelay::schedulePlacementMessages() {
  if (this->PlacementChannel != nullptr) {
    event_active(this->PlacementSendEvent, EV_TIMEOUT, 0);
  }
}

void RequestRelay::sendPlacementMessages() {
  if (this->PlacementChannel == nullptr) {
    return;
  }
  Time Now = ProcessClock::now();
  for (const auto &Item : this->Services) {
    Item.second->Places->post(*this->PlacementChannel, Now);
  }
}

void RequestRelay::forgetPeer(HostId Peer) {
  for (const auto &Item : this->Services) {
    Item.second->Places->scheduler().forgetPeer(Peer);
  }
}

std::vector<TargetUse> RequestRelay::ownUse() const {
  std::vector<TargetUse> Uses;
  for (const auto &Item : this->Services) {
    std::vector<TargetUse> Part =
        Item.second->Places->ownUse(ProcessClock::now());
    Uses.insert(Uses.end(), Part.begin(), Part.end());
  }
  return Uses;
}

ServiceSchedulerStats RequestRelay::poolStats() const {
  ServiceSchedulerStats Sum;
  for (const auto &Item : this->Services) {
    ServiceSchedulerStats S = Item.second->Places->scheduler().stats();
    Sum.Targets += S.Targets;
    Sum.Usable += S.Usable;
    Sum.Slots += S.Slots;
    Sum.Running += S.Running;
    Sum.Waiting += S.Waiting;
    Sum.PredictedWait = std::max(Sum.PredictedWait, S.PredictedWait);
    Sum.SpeedLimited += S.SpeedLimited;
  }
  return Sum;
}

RelayStats RequestRelay::stats() const {
  RelayStats S = this->Counts;
  S.HeldRequests = static_cast<uint32_t>(this->Requests.size());
  return S;
}

} // namespace shallotlatch
