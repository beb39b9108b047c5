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
static constexpr uint32_t MaxAnswerHead = 64 * 1024;
// Idle connections are examined this often.
static constexpr Duration SweepInterval = seconds(1);
// A sender that names no timeout is taken to close idle connections after
// this; the shortest that servers commonly use is 5 s.
static constexpr Duration DefaultKeepAlive = seconds(4);
// Taken off a stated timeout, for the request's way to the other side.
static constexpr Duration KeepAliveMargin = millis(700);
// Idle connections kept for one address.
static constexpr size_t MaxIdlePerAddress = 24;
// A peer that answers no probe for about three seconds is gone: shorter than
// the pause after which callers leave a stream twice over is not possible in
// whole seconds.
static constexpr int ProbeIdleSeconds = 1;
static constexpr int ProbeIntervalSeconds = 1;
static constexpr int ProbeCount = 2;
static constexpr unsigned UnackedTimeoutMs = 2500;

const char *name(WireEnd E) {
  switch (E) {
  case WireEnd::Complete:
    return "complete";
  case WireEnd::ConnectFailed:
    return "connect-failed";
  case WireEnd::Broken:
    return "broken";
  case WireEnd::Malformed:
    return "malformed";
  }
  return "unknown";
}

struct WireClient::Connection : public HttpReaderEvents {
  WireClient &Owner;
  uint64_t Id = 0;
  PoolKey Key;
  bufferevent *Socket = nullptr;
  HttpReader Reader;
  WireCallId Call;
  std::string Bytes;
  event *ConnectTimer = nullptr;
  Time IdleSince;
  Duration KeepFor = DefaultKeepAlive;
  bool Connected = false;
  bool Reused = false;
  bool KeepAlive = false;
  bool Skipping = false;
  bool Skipped = false;
  bool Feeding = false;

  explicit Connection(WireClient &Owner)
      : Owner(Owner), Reader(HttpRole::Answers, *this, MaxAnswerHead) {}
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
    this->KeepFor = DefaultKeepAlive;
    const std::string *Stated = Head.find("keep-alive");
    if (Stated != nullptr) {
      size_t At = Stated->find("timeout=");
      if (At != std::string::npos) {
        int64_t Whole = strtoll(Stated->c_str() + At + 8, nullptr, 10);
        this->KeepFor = seconds(Whole) - KeepAliveMargin;
      }
    }
    switch (this->Owner.Events.onHead(this->Call, Head)) {
    case HeadAction::Take:
      this->Skipping = false;
      return true;
    case HeadAction::Skip:
      this->Skipping = true;
      this->Skipped = true;
      return !Head.UntilClose;
    case HeadAction::Refuse:
      return false;
    }
    return false;
  }
  void onBody(std::string_view Part) override {
    if (!this->Skipping && this->Call.isValid()) {
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
      WireCallId Current = this->Call;
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
      if (Result == FeedResult::Complete && this->Skipping) {
        this->Reader.reset();
        this->Skipping = false;
        continue;
      }
      this->Owner.finish(*this, Result == FeedResult::Complete
                                    ? WireEnd::Complete
                                    : WireEnd::Malformed);
      return;
    }
  }

  void ended(short What) {
    if (!this->Call.isValid()) {
      this->Owner.discard(*this);
      return;
    }
    if (!this->Connected) {
      this->Owner.finish(*this, WireEnd::ConnectFailed);
      return;
    }
    bool Closed = (What & BEV_EVENT_EOF) != 0 &&
                  (What & BEV_EVENT_ERROR) == 0 && !this->Skipping &&
                  this->Reader.headDone();
    WireCallId Current = this->Call;
    this->Feeding = true;
    FeedResult Result = Closed ? this->Reader.end() : FeedResult::Malformed;
    this->Feeding = false;
    if (this->Call != Current) {
      return;
    }
    this->KeepAlive = false;
    this->Owner.finish(*this, Result == FeedResult::Complete ? WireEnd::Complete
                                                             : WireEnd::Broken);
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
    C->ended(What);
  }
  static void onConnectTimeout(evutil_socket_t, short, void *Arg) {
    Connection *C = static_cast<Connection *>(Arg);
    C->Owner.finish(*C, WireEnd::ConnectFailed);
  }
};

WireClient::WireClient(event_base *Base, WireCallEvents &Events)
    : Base(Base), Events(Events) {
  this->Sweep = event_new(Base, -1, EV_PERSIST, &WireClient::onSweep, this);
  timeval Every = toTimeval(SweepInterval);
  event_add(this->Sweep, &Every);
}

WireClient::~WireClient() { event_free(this->Sweep); }

// Bytes or a close that came while the connection was idle make it useless;
// the loop may not have seen them yet.
static bool looksOpen(evutil_socket_t Fd) {
  char Probe;
  ssize_t Got = recv(Fd, &Probe, 1, MSG_PEEK | MSG_DONTWAIT);
  return Got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

WireClient::Connection *WireClient::takeIdle(const PoolKey &Key,
                                             Duration MaxIdle) {
  auto It = this->Idle.find(Key);
  if (It == this->Idle.end()) {
    return nullptr;
  }
  Time Now = ProcessClock::now();
  while (!It->second.empty()) {
    Connection *C = It->second.back(); // The most recently used one.
    Duration Age = Now - C->IdleSince;
    if (Age > MaxIdle) {
      return nullptr; // All others have been idle for longer.
    }
    It->second.pop_back();
    --this->IdleCount;
    if (Age <= C->KeepFor && looksOpen(bufferevent_getfd(C->Socket))) {
      return C;
    }
    this->discard(*C);
  }
  return nullptr;
}

WireCallId WireClient::start(WireCall Call) {
  WireCallId Id{this->NextId++};
  PoolKey Key{Call.To.text(), Call.Identity};
  Connection *C =
      Call.MaxIdle.count() > 0 ? this->takeIdle(Key, Call.MaxIdle) : nullptr;
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
  this->All[C->Id] = std::move(Made);
  sockaddr_in To = toSockaddr(Call.To);
  // A failure is reported as an event in the loop's next turn.
  bufferevent_socket_connect(C->Socket, reinterpret_cast<sockaddr *>(&To),
                             sizeof(To));
  evutil_socket_t Fd = bufferevent_getfd(C->Socket);
  int One = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  setsockopt(Fd, SOL_SOCKET, SO_KEEPALIVE, &One, sizeof(One));
  setsockopt(Fd, IPPROTO_TCP, TCP_KEEPIDLE, &ProbeIdleSeconds, sizeof(int));
  setsockopt(Fd, IPPROTO_TCP, TCP_KEEPINTVL, &ProbeIntervalSeconds,
             sizeof(int));
  setsockopt(Fd, IPPROTO_TCP, TCP_KEEPCNT, &ProbeCount, sizeof(int));
  setsockopt(Fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &UnackedTimeoutMs,
             sizeof(UnackedTimeoutMs));
  return Id;
}

void WireClient::send(Connection &C) {
  C.Skipped = false;
  C.Skipping = false;
  C.Reader.reset();
  if (!this->Events.onSending(C.Call)) {
    // Nothing was sent, so a kept connection stays as it was.
    this->Active.erase(C.Call);
    C.Call = WireCallId();
    this->keep(C);
    return;
  }
  bufferevent_write(C.Socket, C.Bytes.data(), C.Bytes.size());
  C.Bytes.clear();
  C.Bytes.shrink_to_fit();
  bufferevent_enable(C.Socket, EV_READ | EV_WRITE);
}

WireClient::Connection *WireClient::find(WireCallId Call) const {
  auto It = this->Active.find(Call);
  return It == this->Active.end() ? nullptr : It->second;
}

bool WireClient::reused(WireCallId Call) const {
  Connection *C = this->find(Call);
  return C != nullptr && C->Reused;
}

void WireClient::finish(Connection &C, WireEnd How) {
  WireCallId Call = C.Call;
  this->Active.erase(Call);
  C.Call = WireCallId();
  bool Unsent = evbuffer_get_length(bufferevent_get_output(C.Socket)) > 0;
  bool Extra = evbuffer_get_length(bufferevent_get_input(C.Socket)) > 0;
  // A connection that carried an answer to another request may carry more.
  if (How == WireEnd::Complete && C.KeepAlive && !Unsent && !Extra &&
      !C.Skipped) {
    this->keep(C);
  } else {
    this->discard(C);
  }
  this->Events.onEnd(Call, How);
}

void WireClient::keep(Connection &C) {
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

void WireClient::discard(Connection &C) {
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
  auto It = this->All.find(C.Id);
  if (It == this->All.end()) {
    return;
  }
  std::unique_ptr<Connection> Removed = std::move(It->second);
  this->All.erase(It);
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

void WireClient::abort(WireCallId Call) {
  Connection *C = this->find(Call);
  if (C == nullptr) {
    return;
  }
  this->Active.erase(Call);
  C->Call = WireCallId();
  this->discard(*C);
}

void WireClient::pauseReading(WireCallId Call, bool Paused) {
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

void WireClient::dropIdle(const Address &To, uint64_t Identity) {
  auto It = this->Idle.find(PoolKey{To.text(), Identity});
  if (It == this->Idle.end()) {
    return;
  }
  std::deque<Connection *> List = It->second;
  for (Connection *C : List) {
    this->discard(*C);
  }
}

void WireClient::onSweep(evutil_socket_t, short, void *Self) {
  WireClient &W = *static_cast<WireClient *>(Self);
  Time Now = ProcessClock::now();
  std::vector<Connection *> Old;
  for (const auto &Item : W.Idle) {
    for (Connection *C : Item.second) {
      if (Now - C->IdleSince > C->KeepFor) {
        Old.push_back(C);
      }
    }
  }
  for (Connection *C : Old) {
    W.discard(*C);
  }
}

WireStats WireClient::stats() const {
  WireStats S = this->Counts;
  S.Idle = this->IdleCount;
  S.Active = static_cast<uint32_t>(this->Active.size());
  return S;
}

} // namespace shallotlatch
