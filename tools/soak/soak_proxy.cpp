#include "soak_proxy.h"

#include "sockets_p.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace shallotlatch::soak {

static constexpr Duration DelayTime = millis(250);

const char *linkModeName(LinkMode Mode) {
  switch (Mode) {
  case LinkMode::Pass:
    return "pass";
  case LinkMode::Delay:
    return "delay";
  case LinkMode::Silent:
    return "silent";
  case LinkMode::OneWay:
    return "one-way";
  case LinkMode::ResetAll:
    return "reset";
  }
  return "unknown";
}

/// A client's connection and the connection to the upstream that belongs to it.
struct SoakProxy::Connection {
  SoakProxy &Proxy;
  bufferevent *Client = nullptr;
  bufferevent *Server = nullptr;
  event *DelayTimer = nullptr;

  explicit Connection(SoakProxy &Proxy) : Proxy(Proxy) {}
  ~Connection() {
    event_free(this->DelayTimer);
    bufferevent_free(this->Client);
    bufferevent_free(this->Server);
  }
  void moveBytes(bufferevent *From, bufferevent *To) {
    evbuffer_add_buffer(bufferevent_get_output(To),
                        bufferevent_get_input(From));
  }
  void forward() {
    LinkMode Mode = this->Proxy.Mode;
    if (Mode == LinkMode::Silent) {
      return;
    }
    this->moveBytes(this->Client, this->Server);
    if (Mode != LinkMode::OneWay) {
      this->moveBytes(this->Server, this->Client);
    }
  }
  static void onRead(bufferevent *, void *Arg) {
    Connection *P = static_cast<Connection *>(Arg);
    if (P->Proxy.Mode == LinkMode::Delay) {
      timeval After = toTimeval(DelayTime);
      if (!event_pending(P->DelayTimer, EV_TIMEOUT, nullptr)) {
        event_add(P->DelayTimer, &After);
      }
      return;
    }
    P->forward();
  }
  static void onDelayElapsed(evutil_socket_t, short, void *Arg) {
    static_cast<Connection *>(Arg)->forward();
  }
  static void onEvent(bufferevent *Source, short Events, void *Arg) {
    Connection *P = static_cast<Connection *>(Arg);
    bool Ended = (Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
    bool EndHidden = P->Proxy.Mode == LinkMode::Silent ||
                     (P->Proxy.Mode == LinkMode::OneWay && Source == P->Server);
    if (!Ended || EndHidden) {
      return;
    }
    P->forward();
    bufferevent *Other = Source == P->Server ? P->Client : P->Server;
    if ((Events & BEV_EVENT_ERROR) == 0 &&
        evbuffer_get_length(bufferevent_get_output(Other)) > 0) {
      // The other side is closed only after the last bytes were written to it.
      bufferevent_setcb(Other, nullptr, &Connection::onFlushed,
                        &Connection::onEvent, P);
      return;
    }
    P->Proxy.closeConnection(*P, (Events & BEV_EVENT_ERROR) != 0);
  }
  static void onFlushed(bufferevent *, void *Arg) {
    Connection *P = static_cast<Connection *>(Arg);
    P->Proxy.closeConnection(*P, false);
  }
};

SoakProxy::SoakProxy(event_base *Base, const Address &At,
                     const Address &Upstream)
    : Base(Base), At(At), Upstream(Upstream) {
  this->listen();
}

SoakProxy::~SoakProxy() { this->setNewLinks(NewLinks::Refused); }

void SoakProxy::listen() {
  sockaddr_in Addr = toSockaddr(this->At);
  this->Listener = evconnlistener_new_bind(
      this->Base, &SoakProxy::onAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 512,
      reinterpret_cast<sockaddr *>(&Addr), sizeof(Addr));
  if (this->Listener == nullptr) {
    throw std::runtime_error("soak proxy cannot listen on " + this->At.text());
  }
}

void SoakProxy::setNewLinks(NewLinks Next) {
  if (this->Listener != nullptr) {
    evconnlistener_free(this->Listener);
    this->Listener = nullptr;
  }
  if (this->QueueFiller >= 0) {
    close(this->QueueFiller);
    this->QueueFiller = -1;
  }
  if (Next != NewLinks::Refused) {
    this->listen();
  }
  if (Next == NewLinks::Unanswered) {
    this->fillQueue();
  }
}

void SoakProxy::fillQueue() {
  evconnlistener_disable(this->Listener);
  ::listen(evconnlistener_get_fd(this->Listener), 0);
  this->QueueFiller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Addr = toSockaddr(this->At);
  if (connect(this->QueueFiller, reinterpret_cast<sockaddr *>(&Addr),
              sizeof(Addr)) != 0) {
    throw std::runtime_error("soak proxy cannot fill the queue of " +
                             this->At.text());
  }
}

void SoakProxy::setMode(LinkMode Next) {
  LinkMode Before = this->Mode;
  this->Mode = Next;
  std::vector<Connection *> All;
  for (const auto &Item : this->Connections) {
    All.push_back(Item.first);
  }
  for (Connection *P : All) {
    if (Next == LinkMode::ResetAll) {
      this->closeConnection(*P, true);
    } else if (Before == LinkMode::Silent || Before == LinkMode::OneWay) {
      // Bytes that were held back arrive late, as after a network partition.
      P->forward();
    }
  }
}

void SoakProxy::closeConnection(Connection &P, bool Reset) {
  if (Reset) {
    linger Now{1, 0};
    for (bufferevent *Side : {P.Client, P.Server}) {
      setsockopt(bufferevent_getfd(Side), SOL_SOCKET, SO_LINGER, &Now,
                 sizeof(Now));
    }
  }
  this->Connections.erase(&P);
}

void SoakProxy::onAccept(evconnlistener *, evutil_socket_t Fd, sockaddr *, int,
                         void *Self) {
  SoakProxy &Proxy = *static_cast<SoakProxy *>(Self);
  if (Proxy.Mode == LinkMode::ResetAll) {
    linger Now{1, 0};
    setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
    evutil_closesocket(Fd);
    return;
  }
  std::unique_ptr<Connection> NewConnection =
      std::make_unique<Connection>(Proxy);
  Connection *P = NewConnection.get();
  P->Client = bufferevent_socket_new(Proxy.Base, Fd, BEV_OPT_CLOSE_ON_FREE);
  P->Server = bufferevent_socket_new(Proxy.Base, -1, BEV_OPT_CLOSE_ON_FREE);
  P->DelayTimer = event_new(Proxy.Base, -1, 0, &Connection::onDelayElapsed, P);
  for (bufferevent *Side : {P->Client, P->Server}) {
    bufferevent_setcb(Side, &Connection::onRead, nullptr, &Connection::onEvent,
                      P);
    bufferevent_enable(Side, EV_READ | EV_WRITE);
  }
  sockaddr_in To = toSockaddr(Proxy.Upstream);
  Proxy.Connections[P] = std::move(NewConnection);
  if (bufferevent_socket_connect(P->Server, reinterpret_cast<sockaddr *>(&To),
                                 sizeof(To)) != 0) {
    Proxy.closeConnection(*P, true);
  }
}

} // namespace shallotlatch::soak
