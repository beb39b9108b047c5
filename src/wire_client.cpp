#include "wire_client_p.h"

#include "sockets_p.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <algorithm>
#include <cerrno>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace shallotlatch {

// Heads of answers are at most this long.
static constexpr uint32_t MaxResponseHeadBytes = 64 * 1024;
// Idle connections are examined this often.
static constexpr Duration SweepInterval = seconds(1);
// A sender that names no timeout is taken to close idle connections after
// this; the shortest that servers commonly use is 5 s.
static constexpr Duration DefaultKeepAliveTime = seconds(4);
// Taken off a stated timeout, for the request's way to the other side.
static constexpr Duration KeepAliveMargin = millis(700);
// Idle connections kept for one address.
static constexpr size_t MaxIdlePerAddress = 24;
// A peer that answers no probe for about three seconds is gone: shorter than
// the pause after which callers leave a stream twice over is not possible in
// whole seconds.
static constexpr int TcpKeepAliveIdleSeconds = 1;
static constexpr int TcpKeepAliveIntervalSeconds = 1;
static constexpr int TcpKeepAliveProbeCount = 2;
static constexpr unsigned TcpUserTimeoutMs = 2500;

const char *name(OutboundCallEnd E) {
  switch (E) {
  case OutboundCallEnd::Complete:
    return "complete";
  case OutboundCallEnd::ConnectFailed:
    return "connect-failed";
  case OutboundCallEnd::Broken:
    return "broken";
  case OutboundCallEnd::Malformed:
    return "malformed";
  }
  return "unknown";
}

struct PooledHttpClient::Connection : public HttpReaderEvents {
  PooledHttpClient &Owner;
  uint64_t Id = 0;
  PoolKey Key;
  bufferevent *Socket = nullptr;
  HttpReader Reader;
  OutboundCallId Call;
  std::string Bytes;
  event *ConnectTimer = nullptr;
  Time IdleSince;
  Duration KeepAliveTime = DefaultKeepAliveTime;
  bool Connected = false;
  bool Reused = false;
  bool KeepAlive = false;
  bool SkippingResponse = false;
  bool SkippedResponse = false;
  bool Feeding = false;

  explicit Connection(PooledHttpClient &Owner)
      : Owner(Owner), Reader(HttpRole::Answers, *this, MaxResponseHeadBytes) {}
  ~Connection() override {
    if (this->ConnectTimer != nullptr) {
      event_free(this->ConnectTimer);
    }
    if (this->Socket != nullptr) {
      bufferevent_free(this->Socket);
    }
  }

  bool onHead(HttpHead &Head) override {
    this->KeepAlive = Head.KeepAlive && !Head.UntilClose;
    this->KeepAliveTime = DefaultKeepAliveTime;
    const std::string *Stated = Head.find("keep-alive");
    if (Stated != nullptr) {
      size_t At = Stated->find("timeout=");
      if (At != std::string::npos) {
        int64_t Whole = strtoll(Stated->c_str() + At + 8, nullptr, 10);
        this->KeepAliveTime = seconds(Whole) - KeepAliveMargin;
      }
    }
    switch (this->Owner.Events.onHead(this->Call, Head)) {
    case ResponseHeadAction::Take:
      this->SkippingResponse = false;
      return true;
    case ResponseHeadAction::Skip:
      this->SkippingResponse = true;
      this->SkippedResponse = true;
      return !Head.UntilClose;
    case ResponseHeadAction::Refuse:
      return false;
    }
    return false;
  }
  void onBody(std::string_view Part) override {
    if (!this->SkippingResponse && this->Call.isValid()) {
      this->Owner.Events.onBody(this->Call, Part);
    }
  }
  void onComplete() override {}

  void read() {
    evbuffer *In = bufferevent_get_input(this->Socket);
    if (!this->Call.isValid()) {
      this->Owner.discard(*this); // Bytes that no request asked for.
      return;
    }
    while (evbuffer_get_length(In) > 0) {
      evbuffer_iovec Span;
      if (evbuffer_peek(In, -1, nullptr, &Span, 1) < 1) {
        return;
      }
      size_t Used = 0;
      OutboundCallId Current = this->Call;
      this->Feeding = true;
      FeedResult Result = this->Reader.feed(
          std::string_view(static_cast<char *>(Span.iov_base), Span.iov_len),
          Used);
      this->Feeding = false;
      if (this->Call != Current) {
        return; // Aborted while its answer was read.
      }
      evbuffer_drain(In, Used);
      if (Result == FeedResult::NeedMore) {
        continue;
      }
      if (Result == FeedResult::Complete && this->SkippingResponse) {
        this->Reader.reset();
        this->SkippingResponse = false;
        continue;
      }
      this->Owner.finish(*this, Result == FeedResult::Complete
                                    ? OutboundCallEnd::Complete
                                    : OutboundCallEnd::Malformed);
      return;
    }
  }

  void handleDisconnect(short What) {
    if (!this->Call.isValid()) {
      this->Owner.discard(*this);
      return;
    }
    if (!this->Connected) {
      this->Owner.finish(*this, OutboundCallEnd::ConnectFailed);
      return;
    }
    bool Closed = (What & BEV_EVENT_EOF) != 0 &&
                  (What & BEV_EVENT_ERROR) == 0 && !this->SkippingResponse &&
                  this->Reader.headDone();
    OutboundCallId Current = this->Call;
    this->Feeding = true;
    FeedResult Result = Closed ? this->Reader.end() : FeedResult::Malformed;
    this->Feeding = false;
    if (this->Call != Current) {
      return;
    }
    this->KeepAlive = false;
    this->Owner.finish(*this, Result == FeedResult::Complete
                                  ? OutboundCallEnd::Complete
                                  : OutboundCallEnd::Broken);
  }

  static void onRead(bufferevent *, void *Arg) {
    static_cast<Connection *>(Arg)->read();
  }
  static void onEvent(bufferevent *, short What, void *Arg) {
    Connection *C = static_cast<Connection *>(Arg);
    if ((What & BEV_EVENT_CONNECTED) != 0) {
      C->Connected = true;
      event_del(C->ConnectTimer);
      C->Owner.send(*C);
      return;
    }
    C->handleDisconnect(What);
  }
  static void onConnectTimeout(evutil_socket_t, short, void *Arg) {
    Connection *C = static_cast<Connection *>(Arg);
    C->Owner.finish(*C, OutboundCallEnd::ConnectFailed);
  }
};

PooledHttpClient::PooledHttpClient(event_base *Base, OutboundCallEvents &Events)
    : Base(Base), Events(Events) {
  this->SweepTimer =
      event_new(Base, -1, EV_PERSIST, &PooledHttpClient::onSweep, this);
  timeval Every = toTimeval(SweepInterval);
  event_add(this->SweepTimer, &Every);
}

PooledHttpClient::~PooledHttpClient() { event_free(this->SweepTimer); }

// Bytes or a close that came while the connection was idle make it useless;
// the loop may not have seen them yet.
static bool looksOpen(evutil_socket_t Fd) {
  char Probe;
  ssize_t Got = recv(Fd, &Probe, 1, MSG_PEEK | MSG_DONTWAIT);
  return Got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

PooledHttpClient::Connection *PooledHttpClient::takeIdle(const PoolKey &Key,
                                                         Duration MaxIdleTime) {
  auto It = this->Idle.find(Key);
  if (It == this->Idle.end()) {
    return nullptr;
  }
  Time Now = ProcessClock::now();
  while (!It->second.empty()) {
    Connection *C = It->second.back(); // The most recently used one.
    Duration Age = Now - C->IdleSince;
    if (Age > MaxIdleTime) {
      return nullptr; // All others have been idle for longer.
    }
    It->second.pop_back();
    --this->IdleCount;
    if (Age <= C->KeepAliveTime && looksOpen(bufferevent_getfd(C->Socket))) {
      return C;
    }
    this->discard(*C);
  }
  return nullptr;
}

OutboundCallId PooledHttpClient::start(OutboundCall Call) {
  OutboundCallId Id{this->NextId++};
  PoolKey Key{Call.To.text(), Call.ServerIdentity};
  Connection *C = Call.MaxIdleTime.count() > 0
                      ? this->takeIdle(Key, Call.MaxIdleTime)
                      : nullptr;
  if (C != nullptr) {
    ++this->Counts.Reused;
    C->Reused = true;
    C->Call = Id;
    C->Bytes = std::move(Call.Bytes);
    this->Active[Id] = C;
    this->send(*C);
    return Id;
  }
  ++this->Counts.Opened;
  std::unique_ptr<Connection> Made = std::make_unique<Connection>(*this);
  C = Made.get();
  C->Id = this->NextId++;
  C->Key = std::move(Key);
  C->Call = Id;
  C->Bytes = std::move(Call.Bytes);
  C->Socket = bufferevent_socket_new(
      this->Base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb(C->Socket, &Connection::onRead, nullptr,
                    &Connection::onEvent, C);
  C->ConnectTimer =
      event_new(this->Base, -1, 0, &Connection::onConnectTimeout, C);
  timeval Limit = toTimeval(Call.ConnectTimeout);
  event_add(C->ConnectTimer, &Limit);
  this->Active[Id] = C;
  this->Connections[C->Id] = std::move(Made);
  sockaddr_in To = toSockaddr(Call.To);
  // A failure is reported as an event in the loop's next turn.
  bufferevent_socket_connect(C->Socket, reinterpret_cast<sockaddr *>(&To),
                             sizeof(To));
  evutil_socket_t Fd = bufferevent_getfd(C->Socket);
  int One = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  setsockopt(Fd, SOL_SOCKET, SO_KEEPALIVE, &One, sizeof(One));
  setsockopt(Fd, IPPROTO_TCP, TCP_KEEPIDLE, &TcpKeepAliveIdleSeconds,
             sizeof(int));
  setsockopt(Fd, IPPROTO_TCP, TCP_KEEPINTVL, &TcpKeepAliveIntervalSeconds,
             sizeof(int));
  setsockopt(Fd, IPPROTO_TCP, TCP_KEEPCNT, &TcpKeepAliveProbeCount,
             sizeof(int));
  setsockopt(Fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &TcpUserTimeoutMs,
             sizeof(TcpUserTimeoutMs));
  return Id;
}

void PooledHttpClient::send(Connection &C) {
  C.SkippedResponse = false;
  C.SkippingResponse = false;
  C.Reader.reset();
  if (!this->Events.onSending(C.Call)) {
    // Nothing was sent, so a kept connection stays as it was.
    this->Active.erase(C.Call);
    C.Call = OutboundCallId();
    this->returnToPool(C);
    return;
  }
  bufferevent_write(C.Socket, C.Bytes.data(), C.Bytes.size());
  C.Bytes.clear();
  C.Bytes.shrink_to_fit();
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

void PooledHttpClient::finish(Connection &C, OutboundCallEnd How) {
  OutboundCallId Call = C.Call;
  this->Active.erase(Call);
  C.Call = OutboundCallId();
  bool Unsent = evbuffer_get_length(bufferevent_get_output(C.Socket)) > 0;
  bool Extra = evbuffer_get_length(bufferevent_get_input(C.Socket)) > 0;
  // A connection that carried an answer to another request may carry more.
  if (How == OutboundCallEnd::Complete && C.KeepAlive && !Unsent && !Extra &&
      !C.SkippedResponse) {
    this->returnToPool(C);
  } else {
    this->discard(C);
  }
  this->Events.onEnd(Call, How);
}

void PooledHttpClient::returnToPool(Connection &C) {
  std::deque<Connection *> &List = this->Idle[C.Key];
  if (List.size() >= MaxIdlePerAddress || !C.Connected) {
    this->discard(C);
    return;
  }
  C.IdleSince = ProcessClock::now();
  bufferevent_enable(C.Socket, EV_READ);
  List.push_back(&C);
  ++this->IdleCount;
}

void PooledHttpClient::discard(Connection &C) {
  auto Pool = this->Idle.find(C.Key);
  if (Pool != this->Idle.end()) {
    auto Place = std::find(Pool->second.begin(), Pool->second.end(), &C);
    if (Place != Pool->second.end()) {
      Pool->second.erase(Place);
      --this->IdleCount;
    }
    if (Pool->second.empty()) {
      this->Idle.erase(Pool);
    }
  }
  auto It = this->Connections.find(C.Id);
  if (It == this->Connections.end()) {
    return;
  }
  std::unique_ptr<Connection> Removed = std::move(It->second);
  this->Connections.erase(It);
  if (Removed->ConnectTimer != nullptr) {
    event_del(Removed->ConnectTimer);
  }
  bufferevent_disable(Removed->Socket, EV_READ | EV_WRITE);
  bufferevent_setcb(Removed->Socket, nullptr, nullptr, nullptr, nullptr);
  if (Removed->Feeding) {
    // Its reader is on the stack; the socket closes now, the rest goes later.
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
  if (Paused) {
    bufferevent_disable(C->Socket, EV_READ);
  } else {
    bufferevent_enable(C->Socket, EV_READ);
  }
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
  std::vector<Connection *> Old;
  for (const auto &Item : W.Idle) {
    for (Connection *C : Item.second) {
      if (Now - C->IdleSince > C->KeepAliveTime) {
        Old.push_back(C);
      }
    }
  }
  for (Connection *C : Old) {
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
