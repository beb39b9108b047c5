// Ends of requests: what callers are told.
#include "relay_p.h"

#include "event_log_p.h"
#include "relay_limits_p.h"
#include "sockets_p.h"

#include <algorithm>
#include <cstdio>

namespace shallotlatch {

void RelayTable::fail(Relay &R, int Status, const char *Why) {
  if (R.Begun) {
    this->Front.breakOff(R.Ask.Exchange);
  } else {
    CallerAnswer Answer;
    Answer.Status = Status;
    Answer.Fields = {{"Content-Type", "application/problem+json"},
                     {this->Init.Headers.RequestId, R.RequestId}};
    Answer.Body = problemDocument(Status, reasonPhrase(Status), Why);
    this->Front.answer(R.Ask.Exchange, Answer);
  }
  this->finish(R, R.MayHaveRun ? Outcome::MayHaveRun : Outcome::NotRun, Status,
               Why);
}

// Only for requests of which no byte left, or of which every target said that
// it did not run.
void RelayTable::refuse(Relay &R, int Status, const char *Why,
                        Duration RetryAfter) {
  CallerAnswer Answer;
  Answer.Status = Status;
  Answer.Fields = {{"Content-Type", "application/problem+json"},
                   {this->Init.Headers.RequestId, R.RequestId}};
  if (RetryAfter.count() > 0) {
    char Seconds[32];
    snprintf(Seconds, sizeof(Seconds), "%.3f", toSeconds(RetryAfter));
    Answer.Fields.push_back({"Retry-After", Seconds});
  }
  Answer.Body = problemDocument(Status, reasonPhrase(Status), Why);
  this->Front.answer(R.Ask.Exchange, Answer);
  if (R.QuotaAmount > 0 && Status != 429) {
    this->Quota.refund(R.Customer->Id, R.QuotaAmount);
  }
  this->finish(R, Outcome::NotRun, Status, Why);
}

void RelayTable::giveUp(Relay &R, const char *Why, Duration RetryAfter) {
  if (R.MayHaveRun || R.Begun) {
    this->fail(R, 502, Why);
  } else {
    this->refuse(R, 503, Why, RetryAfter);
  }
}

void RelayTable::finish(Relay &R, Outcome Result, int Status, const char *Why) {
  Time Now = ProcessClock::now();
  LogFields Line{
      {"id", R.RequestId},
      {"verdict", name(Result)},
      {"status", Status},
      {"why", Why},
      {"ms", toMillis(Now - R.Ask.Read)},
      {"config", R.Config ? R.Config->Version : 0},
      {"config-age-ms",
       R.Config ? toMillis(this->Beliefs.age(DirectoryKind::Config, bootTime()))
                : -1}};
  if (R.Path != nullptr) {
    Line["route"] = R.Path->Name;
    Line["attempts"] = R.Attempts;
    Line["prompt-tokens"] = R.PromptTokens;
    Line["output-tokens"] = R.OutputTokens;
    Line["spent-ms"] = toMillis(R.Spent);
  }
  if (R.Customer != nullptr) {
    Line["customer"] = R.Customer->Name;
  }
  if (R.FirstEventAt != Time()) {
    Line["first-ms"] = toMillis(R.FirstEventAt - R.Ask.Read);
    Line["pause-ms"] = toMillis(R.LongestPause);
    Line["events"] = R.EventCount;
  }
  logEvent("ended", Line);
  EndedRequest Ended;
  Ended.Path = R.Path;
  Ended.Result = Result;
  Ended.Status = Status;
  Ended.Total = Now - R.Ask.Read;
  if (R.FirstEventAt != Time()) {
    Ended.First = R.FirstEventAt - R.Ask.Read;
    Ended.Pause = R.LongestPause;
  }
  this->Metrics.ended(Ended);
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
    this->ByCall.erase(R.Call);
    this->Wire.abort(R.Call);
  }
  this->leaveTarget(R, AttemptResult::Unknown);
  this->ByExchange.erase(R.Ask.Exchange);
  PlacementId Id = R.Id;
  auto It = this->Relays.find(Id);
  // Callers of this function may still read the relay: it dies next turn.
  deferDelete(this->Base, std::shared_ptr<Relay>(std::move(It->second)));
  this->Relays.erase(It);
}

void RelayTable::onGone(ExchangeId Exchange) {
  auto It = this->ByExchange.find(Exchange);
  Relay *R = It == this->ByExchange.end() ? nullptr : this->find(It->second);
  if (R == nullptr) {
    return;
  }
  ++this->Counts.Cancelled;
  ServiceId Where = R->Service;
  if (R->Path != nullptr && !R->Placed) {
    this->service(R->Service).Places->withdraw(R->Id);
  }
  if (R->QuotaAmount > 0 && !R->EverSent) {
    this->Quota.refund(R->Customer->Id, R->QuotaAmount);
  }
  R->MayHaveRun = R->MayHaveRun || R->EverSent;
  this->finish(*R, R->MayHaveRun ? Outcome::MayHaveRun : Outcome::NotRun, 499,
               "the caller left");
  this->dispatch(Where);
}

void RelayTable::tick() {
  Time Now = ProcessClock::now();
  std::vector<PlacementId> Late;
  for (const auto &Item : this->Relays) {
    if (Now >= Item.second->Deadline && Item.second->Placed) {
      Late.push_back(Item.first);
    }
  }
  for (PlacementId Id : Late) {
    Relay *R = this->find(Id);
    if (R != nullptr) {
      bool Sent = R->EverSent;
      R->MayHaveRun = R->MayHaveRun || R->Sent;
      if (Sent) {
        this->fail(*R, 504, "the deadline has passed");
      } else {
        this->refuse(*R, 503, "the deadline has passed", FailReturn);
      }
    }
  }
  bool Crowded = false;
  for (const auto &Item : this->Services) {
    if (Item.second->Places->hasWaiting()) {
      this->dispatch(Item.first);
      Crowded = Crowded || Item.second->Places->hasBacklog(Now);
    }
  }
  this->Quota.setFree(!Crowded);
  this->postNow();
}

void RelayTable::drain(Time Until) {
  this->Draining = true;
  this->DrainUntil = Until;
}

void RelayTable::endAll() {
  std::vector<PlacementId> Left;
  for (const auto &Item : this->Relays) {
    Left.push_back(Item.first);
  }
  for (PlacementId Id : Left) {
    Relay *R = this->find(Id);
    if (R == nullptr) {
      continue;
    }
    R->MayHaveRun = R->MayHaveRun || R->Sent;
    if (R->EverSent) {
      this->fail(*R, 502, "this host stops");
    } else {
      this->service(R->Service).Places->withdraw(R->Id);
      this->refuse(*R, 503, "this host stops", StopReturn);
    }
  }
}

void RelayTable::peerUse(HostId Peer, const std::vector<TargetUse> &Uses) {
  Time Now = ProcessClock::now();
  for (const auto &Item : this->Services) {
    Item.second->Places->scheduler().peerUse(Peer, Uses, Now);
    if (Item.second->Places->hasWaiting()) {
      this->dispatch(Item.first);
    }
  }
}

void RelayTable::setRemoteHosts(uint32_t Remote) {
  this->RemoteHosts = Remote;
  for (const auto &Item : this->Services) {
    Item.second->Places->scheduler().setRemoteHosts(Remote);
  }
}

void RelayTable::setOwner(HostId Host) {
  this->Owner = Host;
  for (const auto &Item : this->Services) {
    Item.second->Places->setOwner(Host);
  }
}

void RelayTable::receive(const PlacementReport &Book) {
  if (this->Config && this->Config->service(Book.Service) != nullptr) {
    this->service(Book.Service).Places->receive(Book, ProcessClock::now());
    this->dispatch(Book.Service);
  }
}

void RelayTable::receive(const PlacementReply &Reply) {
  auto It = this->Services.find(Reply.Service);
  if (It != this->Services.end()) {
    It->second->Places->receive(Reply, ProcessClock::now());
    this->dispatch(Reply.Service);
  }
}

void RelayTable::postSoon() {
  if (this->Post != nullptr) {
    event_active(this->PostEvent, EV_TIMEOUT, 0);
  }
}

void RelayTable::postNow() {
  if (this->Post == nullptr) {
    return;
  }
  Time Now = ProcessClock::now();
  for (const auto &Item : this->Services) {
    Item.second->Places->post(*this->Post, Now);
  }
}

void RelayTable::forgetPeer(HostId Peer) {
  for (const auto &Item : this->Services) {
    Item.second->Places->scheduler().forgetPeer(Peer);
  }
}

std::vector<TargetUse> RelayTable::ownUse() const {
  std::vector<TargetUse> Uses;
  for (const auto &Item : this->Services) {
    std::vector<TargetUse> Part =
        Item.second->Places->ownUse(ProcessClock::now());
    Uses.insert(Uses.end(), Part.begin(), Part.end());
  }
  return Uses;
}

ServiceSchedulerStats RelayTable::poolStats() const {
  ServiceSchedulerStats Sum;
  for (const auto &Item : this->Services) {
    ServiceSchedulerStats S = Item.second->Places->scheduler().stats();
    Sum.Targets += S.Targets;
    Sum.Usable += S.Usable;
    Sum.Slots += S.Slots;
    Sum.Running += S.Running;
    Sum.Waiting += S.Waiting;
  }
  return Sum;
}

RelayStats RelayTable::stats() const {
  RelayStats S = this->Counts;
  S.Held = static_cast<uint32_t>(this->Relays.size());
  return S;
}

} // namespace shallotlatch
