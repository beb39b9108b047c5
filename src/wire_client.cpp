#include "wire_connection_p.h"

#include "sockets_p.h"
#include "tcp_options_p.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>
#include <vector>

namespace shallotlatch {

// Interval at which idle connections are checked for expiry.
static constexpr Duration SweepInterval = seconds(1);
// Limit on idle connections to one server process.
static constexpr size_t MaxIdlePerAddress = 24;
// A connection that carried more errors than this is closed.
static constexpr size_t MaxErrorsPerConnection = 32;
// Receive buffer of the kernel for a connection; it doubles the value. Over the
// 40 ms that a round trip to another region takes, it carries 6 MB/s.
static constexpr int SocketReceiveBytes = 256 * 1024;
static constexpr int SocketSendBytes = 128 * 1024;
// Memory of a connection: this class, libevent with one read, and the kernel.
static constexpr int64_t ConnectionBytes = 24 * 1024;

const char *name(OutboundCallEnd E) {
  switch (E) {
  case OutboundCallEnd::Complete:
    return "complete";
  case OutboundCallEnd::ConnectFailed:
    return "connect-failed";
  case OutboundCallEnd::ConnectTimedOut:
    return "connect-timed-out";
  case OutboundCallEnd::Broken:
    return "broken";
  case OutboundCallEnd::TimedOut:
    return "timed-out";
  case OutboundCallEnd::Malformed:
    return "malformed";
  case OutboundCallEnd::TunnelRefused:
    return "tunnel-refused";
  case OutboundCallEnd::TunnelLost:
    return "tunnel-lost";
  }
  return "unknown";
}

PooledHttpClient::PooledHttpClient(event_base *Base, OutboundCallEvents &Events,
                                   MemoryBudget *Budget)
    : Base(Base), Events(Events), Budget(Budget) {
  this->SweepTimer =
      event_new(Base, -1, EV_PERSIST, &PooledHttpClient::onSweep, this);
  timeval Interval = toTimeval(SweepInterval);
  event_add(this->SweepTimer, &Interval);
}

PooledHttpClient::~PooledHttpClient() { event_free(this->SweepTimer); }

// Returns whether an idle connection can still be used. A connection that
// received bytes or a close while idle cannot, and the event loop may not have
// processed that yet.
static bool looksOpen(evutil_socket_t Fd) {
  char Probe;
  ssize_t Length = recv(Fd, &Probe, 1, MSG_PEEK | MSG_DONTWAIT);
  return Length < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

PooledHttpClient::Connection *
PooledHttpClient::takeIdle(const PoolKey &Key, const OutboundCall &Call) {
  auto It = this->Idle.find(Key);
  if (It == this->Idle.end()) {
    return nullptr;
  }
  Time Now = ProcessClock::now();
  // Discarding a connection changes the pool's list and may erase it, so the
  // loop goes over a copy, the most recently used connection first.
  std::vector<Connection *> List(It->second.rbegin(), It->second.rend());
  for (Connection *C : List) {
    Duration Age = Now - C->IdleSince;
    if (Age > Call.MaxIdleTime) {
      return nullptr; // All other connections have been idle for longer.
    }
    if (std::find(C->ErrorTags.begin(), C->ErrorTags.end(), Call.Tag) !=
        C->ErrorTags.end()) {
      continue;
    }
    if (Age <= C->KeepAliveTime && looksOpen(bufferevent_getfd(C->Socket))) {
      this->removeIdle(*C);
      return C;
    }
    this->discard(*C);
  }
  return nullptr;
}

OutboundCallId PooledHttpClient::start(OutboundCall Call) {
  OutboundCallId Id{this->NextId++};
  PoolKey Key{Call.To.text(), Call.ServerIdentity};
  bool MayReuse = Call.MaxIdleTime.count() > 0 && !Call.Through;
  Connection *C = MayReuse ? this->takeIdle(Key, Call) : nullptr;
  if (C != nullptr) {
    ++this->Counts.Reused;
    C->Reused = true;
    C->Call = Id;
    C->Tag = Call.Tag;
    C->Bytes = std::move(Call.Bytes);
    C->Body = std::move(Call.Body);
    this->Active[Id] = C;
    this->send(*C);
    return Id;
  }
  ++this->Counts.Opened;
  std::unique_ptr<Connection> Created = std::make_unique<Connection>(*this);
  C = Created.get();
  C->Id = this->NextId++;
  C->Key = std::move(Key);
  C->Call = Id;
  C->Tag = Call.Tag;
  C->Bytes = std::move(Call.Bytes);
  C->Body = std::move(Call.Body);
  if (Call.Through) {
    C->State = Connection::TunnelState::Opening;
    C->TunnelRequestBytes = encodeTunnelRequest(Call.Through->Request);
  }
  if (this->Budget != nullptr) {
    this->Budget->addConnection();
    this->Budget->addShared(ConnectionBytes);
  }
  // The receive buffer is set before the connection is made, since its window
  // is negotiated then.
  evutil_socket_t Fd =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &SocketReceiveBytes,
             sizeof(SocketReceiveBytes));
  setsockopt(Fd, SOL_SOCKET, SO_SNDBUF, &SocketSendBytes,
             sizeof(SocketSendBytes));
  C->Socket = bufferevent_socket_new(
      this->Base, Fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb(C->Socket, &Connection::onRead, nullptr,
                    &Connection::onEvent, C);
  C->ConnectStartedAt = ProcessClock::now();
  C->ConnectTimer =
      event_new(this->Base, -1, 0, &Connection::onConnectTimeout, C);
  timeval Limit = toTimeval(Call.ConnectTimeout);
  event_add(C->ConnectTimer, &Limit);
  this->Active[Id] = C;
  this->Connections[C->Id] = std::move(Created);
  connectSocket(C->Socket, Call.Through ? Call.Through->Peer : Call.To);
  Fd = bufferevent_getfd(C->Socket);
  setTcpOptions(Fd);
  return Id;
}

void PooledHttpClient::send(Connection &C) {
  C.SkippedResponses = 0;
  C.SkippingResponse = false;
  C.IsError = false;
  C.Reader.reset();
  if (!this->Events.onSending(C.Call)) {
    // Nothing was sent, so a reused connection can go back to the pool.
    this->Active.erase(C.Call);
    C.Call = OutboundCallId();
    this->returnToPool(C);
    return;
  }
  bufferevent_write(C.Socket, C.Bytes.data(), C.Bytes.size());
  C.Bytes.clear();
  C.Bytes.shrink_to_fit();
  if (C.Body != nullptr && !C.Body->empty()) {
    // The buffer refers to the body instead of copying it.
    auto *Shared = new std::shared_ptr<const std::string>(std::move(C.Body));
    auto Release = [](const void *, size_t, void *Body) {
      delete static_cast<std::shared_ptr<const std::string> *>(Body);
    };
    evbuffer_add_reference(bufferevent_get_output(C.Socket), (*Shared)->data(),
                           (*Shared)->size(), Release, Shared);
  }
  C.Body.reset();
  bufferevent_enable(C.Socket, EV_READ | EV_WRITE);
}

PooledHttpClient::Connection *
PooledHttpClient::find(OutboundCallId Call) const {
  auto It = this->Active.find(Call);
  return It == this->Active.end() ? nullptr : It->second;
}

bool PooledHttpClient::reused(OutboundCallId Call) const {
  Connection *C = this->find(Call);
  return C != nullptr && C->Reused;
}

std::unordered_map<uint64_t, Time> PooledHttpClient::oldestConnections() const {
  std::unordered_map<uint64_t, Time> Oldest;
  for (const auto &Item : this->Connections) {
    const Connection &C = *Item.second;
    // A tunnel is older than the peer's connection to the server.
    bool IsOwn = C.State == Connection::TunnelState::None;
    if (C.Connected && IsOwn) {
      Time &At =
          Oldest.emplace(C.Key.ServerIdentity, C.ConnectedAt).first->second;
      At = std::min(At, C.ConnectedAt);
    }
  }
  return Oldest;
}

void PooledHttpClient::finish(Connection &C, OutboundCallEnd End) {
  OutboundCallId Call = C.Call;
  this->Active.erase(Call);
  C.Call = OutboundCallId();
  this->setPaused(C, false);
  bool HasUnsentOutput =
      evbuffer_get_length(bufferevent_get_output(C.Socket)) > 0;
  bool HasUnreadInput =
      evbuffer_get_length(bufferevent_get_input(C.Socket)) > 0;
  if (C.IsError && C.Tag != 0) {
    C.ErrorTags.push_back(C.Tag);
  }
  // A connection that carried a response to another request may carry more of
  // them, so it is not reused.
  if (End == OutboundCallEnd::Complete && C.KeepAlive && !HasUnsentOutput &&
      !HasUnreadInput && C.SkippedResponses == 0 &&
      C.ErrorTags.size() <= MaxErrorsPerConnection) {
    this->returnToPool(C);
  } else {
    this->discard(C);
  }
  this->Events.onEnd(Call, End);
}

void PooledHttpClient::returnToPool(Connection &C) {
  std::deque<Connection *> &List = this->Idle[C.Key];
  // What a peer knows of the target may change between two requests.
  bool IsTunnel = C.State != Connection::TunnelState::None;
  if (List.size() >= MaxIdlePerAddress || !C.Connected || IsTunnel) {
    this->discard(C);
    return;
  }
  C.IdleSince = ProcessClock::now();
  bufferevent_enable(C.Socket, EV_READ);
  List.push_back(&C);
  ++this->IdleCount;
}

void PooledHttpClient::removeIdle(Connection &C) {
  auto Pool = this->Idle.find(C.Key);
  if (Pool == this->Idle.end()) {
    return;
  }
  auto Position = std::find(Pool->second.begin(), Pool->second.end(), &C);
  if (Position != Pool->second.end()) {
    Pool->second.erase(Position);
    --this->IdleCount;
  }
  if (Pool->second.empty()) {
    this->Idle.erase(Pool);
  }
}

void PooledHttpClient::discard(Connection &C) {
  this->removeIdle(C);
  auto It = this->Connections.find(C.Id);
  if (It == this->Connections.end()) {
    return;
  }
  this->setPaused(C, false);
  if (this->Budget != nullptr) {
    this->Budget->removeConnection();
    this->Budget->addShared(-ConnectionBytes);
  }
  std::unique_ptr<Connection> Removed = std::move(It->second);
  this->Connections.erase(It);
  if (Removed->ConnectTimer != nullptr) {
    event_del(Removed->ConnectTimer);
  }
  bufferevent_disable(Removed->Socket, EV_READ | EV_WRITE);
  bufferevent_setcb(Removed->Socket, nullptr, nullptr, nullptr, nullptr);
  if (Removed->Feeding) {
    // The reader of this connection is on the call stack, so only the socket is
    // closed now; the object is destroyed later.
    bufferevent_free(Removed->Socket);
    Removed->Socket = nullptr;
    deferDelete(this->Base, std::shared_ptr<Connection>(std::move(Removed)));
  }
}

void PooledHttpClient::abort(OutboundCallId Call) {
  Connection *C = this->find(Call);
  if (C == nullptr) {
    return;
  }
  this->Active.erase(Call);
  C->Call = OutboundCallId();
  this->discard(*C);
}

void PooledHttpClient::pauseReading(OutboundCallId Call, bool Paused) {
  Connection *C = this->find(Call);
  if (C == nullptr) {
    return;
  }
  this->setPaused(*C, Paused);
  if (Paused) {
    bufferevent_disable(C->Socket, EV_READ);
  } else {
    bufferevent_enable(C->Socket, EV_READ);
  }
}

void PooledHttpClient::setPaused(Connection &C, bool Paused) {
  if (C.Paused != Paused && this->Budget != nullptr) {
    this->Budget->addShared(Paused ? 2 * SocketReceiveBytes
                                   : -2 * SocketReceiveBytes);
  }
  C.Paused = Paused;
}

bool PooledHttpClient::dropOldestIdle() {
  Connection *Oldest = nullptr;
  for (const auto &Item : this->Idle) {
    Connection *C = Item.second.empty() ? nullptr : Item.second.front();
    if (C != nullptr &&
        (Oldest == nullptr || C->IdleSince < Oldest->IdleSince)) {
      Oldest = C;
    }
  }
  if (Oldest == nullptr) {
    return false;
  }
  this->discard(*Oldest);
  return true;
}

void PooledHttpClient::dropIdle(const Address &To, uint64_t ServerIdentity) {
  auto It = this->Idle.find(PoolKey{To.text(), ServerIdentity});
  if (It == this->Idle.end()) {
    return;
  }
  std::deque<Connection *> List = It->second;
  for (Connection *C : List) {
    this->discard(*C);
  }
}

void PooledHttpClient::onSweep(evutil_socket_t, short, void *Self) {
  PooledHttpClient &W = *static_cast<PooledHttpClient *>(Self);
  Time Now = ProcessClock::now();
  std::vector<Connection *> Expired;
  for (const auto &Item : W.Idle) {
    for (Connection *C : Item.second) {
      if (Now - C->IdleSince > C->KeepAliveTime) {
        Expired.push_back(C);
      }
    }
  }
  for (Connection *C : Expired) {
    W.discard(*C);
  }
}

PooledHttpClientStats PooledHttpClient::stats() const {
  PooledHttpClientStats S = this->Counts;
  S.Idle = this->IdleCount;
  S.Active = static_cast<uint32_t>(this->Active.size());
  return S;
}

} // namespace shallotlatch
