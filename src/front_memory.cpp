// What FrontendServer holds for callers, and the connections that it ends: idle
// ones, those of callers that do not read, and those that a short budget names.
#include "front_connection_p.h"

#include "event_log_p.h"

namespace shallotlatch {

// Time without progress after which a stopping host closes the connection of a
// caller that does not read its answer.
static constexpr Duration StoppingStallLimit = seconds(3);
// Time for which a connection stays open after a refusal while the caller may
// still be sending. Closing a socket with unread bytes resets the connection,
// and the caller would lose the response.
static constexpr Duration LingerTime = seconds(1);

void FrontendServer::drain() {
  this->Draining = true;
  std::vector<Connection *> Idle;
  for (const auto &Item : this->Connections) {
    Connection &C = *Item.second;
    if ((C.State == ConnectionState::Idle || C.Flushing) &&
        !C.hasUnsentOutput()) {
      Idle.push_back(&C);
    }
  }
  for (Connection *C : Idle) {
    this->remove(*C);
  }
}

void FrontendServer::onSweep(evutil_socket_t, short, void *Self) {
  FrontendServer &T = *static_cast<FrontendServer *>(Self);
  Time Now = ProcessClock::now();
  std::vector<Connection *> Expired;
  std::vector<Connection *> TimedOut;
  for (const auto &Item : T.Connections) {
    Connection &C = *Item.second;
    Duration Age = Now - C.StateSince;
    bool Unsent =
        (C.State == ConnectionState::Idle || C.Flushing) && C.hasUnsentOutput();
    if (Unsent && T.isStalled(C, Now)) {
      logEvent("answer-unread", {{"queued", C.queuedBytes()},
                                 {"ms", toMillis(Now - C.LastTaken)},
                                 {"stopping", T.Draining}});
      ++T.Counts.EndedUnread;
      Expired.push_back(&C);
    } else if (!Unsent &&
               ((C.State == ConnectionState::Idle && Age > C.IdleLimit) ||
                (C.State == ConnectionState::Lingering && Age > LingerTime))) {
      Expired.push_back(&C);
    } else if (C.State == ConnectionState::Reading &&
               Age > (C.Reader.headDone() ? T.Limits.IdleTimeout
                                          : T.Limits.HeaderTimeout)) {
      TimedOut.push_back(&C);
    }
  }
  for (Connection *C : Expired) {
    T.remove(*C);
  }
  for (Connection *C : TimedOut) {
    T.refuse(*C, 408, "the request did not arrive in time");
  }
  T.relieve();
}

// Callers of responses that are not delivered yet get the idle timeout without
// progress, and less on a stopping host, which waits for them.
bool FrontendServer::isStalled(Connection &C, Time Now) const {
  Duration Limit =
      this->Draining ? StoppingStallLimit : this->Limits.IdleTimeout;
  return Now - std::max(C.LastTaken, C.StateSince) > Limit;
}

void FrontendServer::setHeldBytes(ExchangeId Exchange, uint64_t Bytes) {
  Connection *C = this->find(Exchange);
  if (C != nullptr) {
    C->HandlerBytes = Bytes;
    this->account(*C);
  }
}

// Handlers up the call stack may still use a connection, so connections are
// ended by an event of its own, in the next iteration of the event loop.
void FrontendServer::account(Connection &C) {
  this->Budget.set(MemoryHolderId{C.Id}, C.held());
  if (this->Budget.isShort()) {
    event_active(this->ReliefEvent, EV_TIMEOUT, 0);
  }
}

void FrontendServer::onRelief(evutil_socket_t, short, void *Self) {
  static_cast<FrontendServer *>(Self)->relieve();
}

void FrontendServer::relieve() {
  Time Now = ProcessClock::now();
  std::optional<MemoryHolderId> Chosen = this->Budget.chooseToEnd(Now);
  while (Chosen) {
    auto It = this->Connections.find(Chosen->Value);
    if (It == this->Connections.end()) {
      this->Budget.remove(*Chosen);
    } else {
      this->endForMemory(*It->second);
    }
    Chosen = this->Budget.chooseToEnd(Now);
  }
}

void FrontendServer::endForMemory(Connection &C) {
  ++this->Counts.EndedForMemory;
  HeldMemory Held = C.held();
  logEvent("memory-short", {{"held", this->Budget.held()},
                            {"limit", this->Budget.limit()},
                            {"bytes", Held.Bytes},
                            {"waits-for-caller", Held.WaitsForCaller},
                            {"exchange", C.Exchange.Value}});
  if (C.State == ConnectionState::Reading) {
    this->refuse(C, 503, "this host holds too many bytes");
  } else if (C.State == ConnectionState::Responding && !C.Started) {
    ExchangeId Exchange = C.Exchange;
    this->Events.onCallerOverBudget(Exchange);
    // An exchange that was not ended would be chosen again and again.
    if (Connection *Left = this->find(Exchange)) {
      this->remove(*Left);
    }
  } else {
    this->handleDisconnect(C);
  }
}

bool FrontendServer::closeIdlest() {
  Connection *Idle = nullptr;
  Connection *Reading = nullptr;
  for (const auto &Item : this->Connections) {
    Connection &C = *Item.second;
    if (C.State == ConnectionState::Idle && C.queuedBytes() == 0 &&
        (Idle == nullptr || C.StateSince < Idle->StateSince)) {
      Idle = &C;
    }
    if (C.State == ConnectionState::Reading && !C.Reader.headDone() &&
        (Reading == nullptr || C.StateSince < Reading->StateSince)) {
      Reading = &C;
    }
  }
  Connection *Chosen = Idle != nullptr ? Idle : Reading;
  if (Chosen == nullptr || Chosen->Parsing) {
    return false;
  }
  ++this->Counts.EndedForDescriptors;
  this->remove(*Chosen);
  return true;
}

} // namespace shallotlatch
