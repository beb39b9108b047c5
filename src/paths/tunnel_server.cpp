#include "tunnel_server_p.h"

#include "event_log_p.h"
#include "sockets_p.h"
#include "tcp_options_p.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>
#include <sys/socket.h>

namespace shallotlatch {

// Time for the request of a peer, which it sends as it connects.
static constexpr Duration RequestTimeout = seconds(1);
// Time for the connection to the target. The peer gives up a little later, so
// that it learns which of the two could not be reached.
static constexpr Duration TargetConnectTimeout = millis(500);
// Time within which a peer closes a tunnel that has ended.
static constexpr Duration CloseTimeout = seconds(1);
// Longest head of an answer that is read; the same as that of own calls.
static constexpr uint32_t MaxAnswerHeadBytes = 64 * 1024;
// Bytes that wait in one direction of a tunnel, above which nothing more is
// read for it.
static constexpr size_t TunnelHighMark = 64 * 1024;
// Memory of a tunnel: two connections with a buffer of the kernel each, and
// what waits in both directions.
static constexpr int64_t TunnelBytes = 4 * 64 * 1024;

struct TunnelServer::Tunnel : public HttpReaderEvents {
  TunnelServer &Owner;
  uint64_t Id = 0;
  bufferevent *Peer = nullptr;
  bufferevent *Target = nullptr;
  event *Timer = nullptr;
  TunnelRequest Request;
  bool Open = false;
  /// Nothing more comes from the target; the tunnel ends once all is written.
  bool Flushing = false;

  HttpReader AnswerHead;
  bool ReadsHead = true; ///< The head of the answer has not been read whole.

  explicit Tunnel(TunnelServer &Owner)
      : Owner(Owner),
        AnswerHead(HttpRole::Responses, *this, MaxAnswerHeadBytes) {}
  ~Tunnel() override {
    for (bufferevent *Side : {this->Peer, this->Target}) {
      if (Side != nullptr) {
        bufferevent_setcb(Side, nullptr, nullptr, nullptr, nullptr);
        bufferevent_free(Side);
      }
    }
    if (this->Timer != nullptr) {
      event_free(this->Timer);
    }
  }

  bool onHead(HttpHead &Head) override {
    this->ReadsHead = false;
    this->Owner.Events.onTunnelHead(this->Request, Head);
    return false;
  }
  void onBody(std::string_view) override {}
  void onComplete() override {}

  // Bytes that are no answer are passed on all the same.
  void readHead(evbuffer *Input) {
    std::string Bytes(evbuffer_get_length(Input), '\0');
    evbuffer_copyout(Input, Bytes.data(), Bytes.size());
    size_t Consumed = 0;
    if (this->AnswerHead.feed(Bytes, Consumed) != FeedResult::NeedMore) {
      this->ReadsHead = false;
    }
  }

  void setTimer(Duration After) const {
    timeval T = toTimeval(After);
    event_add(this->Timer, &T);
  }

  void refuse(TunnelRefusal Why) {
    ++this->Owner.Counts.Refused;
    logEvent("tunnel-refused", {{"from", toHex(this->Request.From.Value)},
                                {"target", this->Request.Instance},
                                {"why", name(Why)}});
    std::string Answer = encodeTunnelAnswer(Why);
    bufferevent_write(this->Peer, Answer.data(), Answer.size());
    this->Flushing = true;
  }

  // Reads the request; later, passes bytes on to the target.
  void readPeer() {
    evbuffer *Input = bufferevent_get_input(this->Peer);
    if (this->Flushing) {
      evbuffer_drain(Input, evbuffer_get_length(Input));
      return;
    }
    if (this->Open) {
      evbuffer *Output = bufferevent_get_output(this->Target);
      evbuffer_add_buffer(Output, Input);
      if (evbuffer_get_length(Output) > TunnelHighMark) {
        bufferevent_disable(this->Peer, EV_READ);
      }
      return;
    }
    if (this->Target != nullptr) {
      return; // The request's bytes wait until the tunnel is open.
    }
    char Head[FrameHeadBytes];
    if (evbuffer_copyout(Input, Head, sizeof(Head)) <
        static_cast<ev_ssize_t>(sizeof(Head))) {
      return;
    }
    std::optional<FrameHead> Decoded =
        decodeFrameHead(std::string_view(Head, sizeof(Head)));
    const size_t *Length = Decoded ? std::get_if<size_t>(&*Decoded) : nullptr;
    if (Length == nullptr) {
      this->Owner.remove(*this);
      return;
    }
    if (evbuffer_get_length(Input) < sizeof(Head) + *Length) {
      return;
    }
    evbuffer_drain(Input, sizeof(Head));
    std::string Frame(*Length, '\0');
    evbuffer_remove(Input, Frame.data(), Frame.size());
    std::optional<TunnelRequest> Asked = decodeTunnelRequest(Frame);
    if (!Asked) {
      this->Owner.remove(*this);
      return;
    }
    this->Request = std::move(*Asked);
    this->connect();
  }

  void connect() {
    if (this->Owner.Stopping) {
      this->refuse(TunnelRefusal::Stopping);
      return;
    }
    bool HasRoom = this->Owner.Tunnels.size() <= this->Owner.Init.MaxTunnels &&
                   this->Owner.Budget.hasFreeConnection() &&
                   this->Owner.Budget.admits();
    if (!HasRoom) {
      this->refuse(TunnelRefusal::NoRoom);
      return;
    }
    std::variant<Address, TunnelRefusal> Decision =
        this->Owner.Events.onTunnelRequest(this->Request);
    if (const TunnelRefusal *Why = std::get_if<TunnelRefusal>(&Decision)) {
      this->refuse(*Why);
      return;
    }
    this->Owner.Budget.addConnection();
    this->Target = bufferevent_socket_new(
        this->Owner.Base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(this->Target, &Tunnel::onTargetRead,
                      &Tunnel::onTargetWritten, &Tunnel::onTargetEvent, this);
    this->setTimer(TargetConnectTimeout);
    connectSocket(this->Target, std::get<Address>(Decision));
    if (bufferevent_getfd(this->Target) >= 0) {
      setTcpOptions(bufferevent_getfd(this->Target));
    }
  }

  void open() {
    event_del(this->Timer);
    this->Open = true;
    ++this->Owner.Counts.Opened;
    std::string Answer = encodeTunnelAnswer(TunnelAnswer());
    bufferevent_write(this->Peer, Answer.data(), Answer.size());
    bufferevent_enable(this->Target, EV_READ | EV_WRITE);
    this->readPeer();
  }

  void readTarget() {
    evbuffer *Input = bufferevent_get_input(this->Target);
    evbuffer *Output = bufferevent_get_output(this->Peer);
    if (this->ReadsHead && evbuffer_get_length(Input) > 0) {
      this->readHead(Input);
    }
    while (evbuffer_get_length(Input) > 0) {
      size_t Length = std::min(evbuffer_get_length(Input), MaxTunnelFrameBytes);
      std::string Head = frameHead(Length);
      evbuffer_add(Output, Head.data(), Head.size());
      evbuffer_remove_buffer(Input, Output, Length);
    }
    if (evbuffer_get_length(Output) > TunnelHighMark) {
      bufferevent_disable(this->Target, EV_READ);
    }
  }

  // The peer cannot tell an end by the target from the end of this host unless
  // it is named.
  void endOfTarget(bool InOrder) {
    if (this->Flushing) {
      return;
    }
    if (!this->Open) {
      event_del(this->Timer);
      this->refuse(this->Owner.Events.onTunnelConnectFailed(this->Request));
      return;
    }
    this->readTarget();
    // A target that has not taken the whole request may end its answer
    // anywhere.
    bool RequestReceived =
        evbuffer_get_length(bufferevent_get_input(this->Peer)) == 0 &&
        evbuffer_get_length(bufferevent_get_output(this->Target)) == 0 &&
        isAllReceived(bufferevent_getfd(this->Target));
    std::string End = tunnelEnd(InOrder && RequestReceived ? TunnelEnd::Closed
                                                           : TunnelEnd::Broken);
    bufferevent_write(this->Peer, End.data(), End.size());
    bufferevent_enable(this->Peer, EV_READ);
    bufferevent_disable(this->Target, EV_READ | EV_WRITE);
    this->Flushing = true;
    this->finishIfWritten();
  }

  // A socket that is closed with unread bytes resets the connection, and the
  // peer would lose the end of the answer. So the peer closes first.
  void finishIfWritten() {
    if (this->Flushing &&
        evbuffer_get_length(bufferevent_get_output(this->Peer)) == 0) {
      shutdown(bufferevent_getfd(this->Peer), SHUT_WR);
      this->setTimer(CloseTimeout);
    }
  }

  static void onPeerRead(bufferevent *, void *Arg) {
    static_cast<Tunnel *>(Arg)->readPeer();
  }
  static void onPeerWritten(bufferevent *, void *Arg) {
    Tunnel *T = static_cast<Tunnel *>(Arg);
    if (T->Flushing) {
      T->finishIfWritten();
    } else if (T->Open) {
      bufferevent_enable(T->Target, EV_READ);
    }
  }
  static void onPeerEvent(bufferevent *, short, void *Arg) {
    Tunnel *T = static_cast<Tunnel *>(Arg);
    T->Owner.remove(*T);
  }
  static void onTargetRead(bufferevent *, void *Arg) {
    static_cast<Tunnel *>(Arg)->readTarget();
  }
  static void onTargetWritten(bufferevent *, void *Arg) {
    Tunnel *T = static_cast<Tunnel *>(Arg);
    if (T->Open && !T->Flushing) {
      bufferevent_enable(T->Peer, EV_READ);
    }
  }
  static void onTargetEvent(bufferevent *, short What, void *Arg) {
    Tunnel *T = static_cast<Tunnel *>(Arg);
    bool IsError = (What & BEV_EVENT_ERROR) != 0;
    if (T->Flushing) {
      return; // It was refused or has ended already.
    }
    if ((What & BEV_EVENT_CONNECTED) != 0) {
      T->open();
    } else if (T->Open && IsError && isUnanswered(EVUTIL_SOCKET_ERROR())) {
      // The path of this host is lost, which says nothing of the target.
      T->Owner.remove(*T);
    } else {
      T->endOfTarget((What & BEV_EVENT_EOF) != 0 && !IsError);
    }
  }
  static void onTimer(evutil_socket_t, short, void *Arg) {
    Tunnel *T = static_cast<Tunnel *>(Arg);
    if (T->Target != nullptr && !T->Flushing) {
      T->endOfTarget(false);
    } else {
      T->Owner.remove(*T);
    }
  }
};

TunnelServer::TunnelServer(event_base *Base, const TunnelServerInit &Init,
                           TunnelServerEvents &Events, MemoryBudget &Budget)
    : Base(Base), Init(Init), Events(Events), Budget(Budget) {
  sockaddr_in At = toSockaddr(Init.ListenAddress);
  this->Listener = evconnlistener_new_bind(
      Base, &TunnelServer::onAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, 256,
      reinterpret_cast<sockaddr *>(&At), sizeof(At));
  if (this->Listener == nullptr) {
    throw std::runtime_error("cannot listen for tunnels on " +
                             Init.ListenAddress.text() + ": " +
                             std::strerror(errno));
  }
}

TunnelServer::~TunnelServer() {
  while (!this->Tunnels.empty()) {
    this->remove(*this->Tunnels.begin()->second);
  }
  evconnlistener_free(this->Listener);
}

Address TunnelServer::address() const {
  return boundAddress(evconnlistener_get_fd(this->Listener));
}

TunnelServerStats TunnelServer::stats() const {
  TunnelServerStats S = this->Counts;
  S.Open = static_cast<uint32_t>(this->Tunnels.size());
  return S;
}

void TunnelServer::onAccept(evconnlistener *, evutil_socket_t Fd, sockaddr *,
                            int, void *Self) {
  TunnelServer &S = *static_cast<TunnelServer *>(Self);
  // Connections above the limit are accepted to be refused, so that the peer
  // asks another host; beyond twice the limit that has a price as well.
  if (S.Tunnels.size() >= 2 * static_cast<size_t>(S.Init.MaxTunnels) ||
      !S.Budget.hasFreeConnection()) {
    ++S.Counts.Refused;
    evutil_closesocket(Fd);
    return;
  }
  setTcpOptions(Fd);
  std::unique_ptr<Tunnel> T = std::make_unique<Tunnel>(S);
  T->Id = S.NextId++;
  T->Peer = bufferevent_socket_new(
      S.Base, Fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  T->Timer = event_new(S.Base, -1, 0, &Tunnel::onTimer, T.get());
  T->setTimer(RequestTimeout);
  bufferevent_setcb(T->Peer, &Tunnel::onPeerRead, &Tunnel::onPeerWritten,
                    &Tunnel::onPeerEvent, T.get());
  bufferevent_setwatermark(T->Peer, EV_READ, 0, TunnelHighMark);
  bufferevent_enable(T->Peer, EV_READ | EV_WRITE);
  S.Budget.addConnection();
  S.Budget.addShared(TunnelBytes);
  uint64_t Id = T->Id;
  S.Tunnels[Id] = std::move(T);
}

void TunnelServer::remove(Tunnel &T) {
  auto It = this->Tunnels.find(T.Id);
  this->Budget.removeConnection();
  if (T.Target != nullptr) {
    this->Budget.removeConnection();
  }
  this->Budget.addShared(-TunnelBytes);
  // Callbacks up the call stack may still refer to the tunnel.
  bufferevent_setcb(T.Peer, nullptr, nullptr, nullptr, nullptr);
  if (T.Target != nullptr) {
    bufferevent_setcb(T.Target, nullptr, nullptr, nullptr, nullptr);
  }
  event_del(T.Timer);
  std::unique_ptr<Tunnel> Removed = std::move(It->second);
  this->Tunnels.erase(It);
  deferDelete(this->Base, std::shared_ptr<Tunnel>(std::move(Removed)));
}

} // namespace shallotlatch
