#include "soak_proxy.h"

#include "sockets_p.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <stdexcept>
#include <sys/socket.h>
#include <vector>

namespace shallotlatch::soak {

static constexpr Duration DelayedBy = millis(250);

const char *name(LinkMode Mode) {
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

/// One connection and its other half.
struct SoakProxy::Pair {
  SoakProxy &Owner;
  bufferevent *Down = nullptr; ///< Whoever connected.
  bufferevent *Up = nullptr;
  event *Later = nullptr;

  explicit Pair(SoakProxy &Owner) : Owner(Owner) {}
  ~Pair() {
    event_free(this->Later);
    bufferevent_free(this->Down);
    bufferevent_free(this->Up);
  }
  void move(bufferevent *From, bufferevent *To) {
    evbuffer_add_buffer(bufferevent_get_output(To),
                        bufferevent_get_input(From));
  }
  void pass() {
    LinkMode Mode = this->Owner.Mode;
    if (Mode == LinkMode::Silent) {
      return;
    }
    this->move(this->Down, this->Up);
    if (Mode != LinkMode::OneWay) {
      this->move(this->Up, this->Down);
    }
  }
  static void onRead(bufferevent *, void *Arg) {
    Pair *P = static_cast<Pair *>(Arg);
    if (P->Owner.Mode == LinkMode::Delay) {
      timeval After = toTimeval(DelayedBy);
      if (!event_pending(P->Later, EV_TIMEOUT, nullptr)) {
        event_add(P->Later, &After);
      }
      return;
    }
    P->pass();
  }
  static void onLater(evutil_socket_t, short, void *Arg) {
    static_cast<Pair *>(Arg)->pass();
  }
  static void onEvent(bufferevent *Of, short What, void *Arg) {
    Pair *P = static_cast<Pair *>(Arg);
    bool Ended = (What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
    bool Muted = P->Owner.Mode == LinkMode::Silent ||
                 (P->Owner.Mode == LinkMode::OneWay && Of == P->Up);
    if (!Ended || Muted) {
      return;
    }
    P->pass();
    bufferevent *Other = Of == P->Up ? P->Down : P->Up;
    if ((What & BEV_EVENT_ERROR) == 0 &&
        evbuffer_get_length(bufferevent_get_output(Other)) > 0) {
      // The last bytes go out first.
      bufferevent_setcb(Other, nullptr, &Pair::onDrained, &Pair::onEvent, P);
      return;
    }
    P->Owner.forget(*P, (What & BEV_EVENT_ERROR) != 0);
  }
  static void onDrained(bufferevent *, void *Arg) {
    Pair *P = static_cast<Pair *>(Arg);
    P->Owner.forget(*P, false);
  }
};

SoakProxy::SoakProxy(event_base *Base, const Address &At,
                     const Address &Upstream)
    : Base(Base), Upstream(Upstream) {
  sockaddr_in Addr = toSockaddr(At);
  this->Listener = evconnlistener_new_bind(
      Base, &SoakProxy::onAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 512,
      reinterpret_cast<sockaddr *>(&Addr), sizeof(Addr));
  if (this->Listener == nullptr) {
    throw std::runtime_error("cannot listen on " + At.text());
  }
}

SoakProxy::~SoakProxy() { evconnlistener_free(this->Listener); }

void SoakProxy::setMode(LinkMode Next) {
  LinkMode Before = this->Mode;
  this->Mode = Next;
  std::vector<Pair *> All;
  for (const auto &Item : this->Pairs) {
    All.push_back(Item.first);
  }
  for (Pair *P : All) {
    if (Next == LinkMode::ResetAll) {
      this->forget(*P, true);
    } else if (Before == LinkMode::Silent || Before == LinkMode::OneWay) {
      // What was held up is late now, as after a partition.
      P->pass();
    }
  }
}

void SoakProxy::forget(Pair &P, bool Reset) {
  if (Reset) {
    linger Now{1, 0};
    for (bufferevent *Half : {P.Down, P.Up}) {
      setsockopt(bufferevent_getfd(Half), SOL_SOCKET, SO_LINGER, &Now,
                 sizeof(Now));
    }
  }
  this->Pairs.erase(&P);
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
  std::unique_ptr<Pair> Made = std::make_unique<Pair>(Proxy);
  Pair *P = Made.get();
  P->Down = bufferevent_socket_new(Proxy.Base, Fd, BEV_OPT_CLOSE_ON_FREE);
  P->Up = bufferevent_socket_new(Proxy.Base, -1, BEV_OPT_CLOSE_ON_FREE);
  P->Later = event_new(Proxy.Base, -1, 0, &Pair::onLater, P);
  for (bufferevent *Half : {P->Down, P->Up}) {
    bufferevent_setcb(Half, &Pair::onRead, nullptr, &Pair::onEvent, P);
    bufferevent_enable(Half, EV_READ | EV_WRITE);
  }
  sockaddr_in To = toSockaddr(Proxy.Upstream);
  Proxy.Pairs[P] = std::move(Made);
  if (bufferevent_socket_connect(P->Up, reinterpret_cast<sockaddr *>(&To),
                                 sizeof(To)) != 0) {
    Proxy.forget(*P, true);
  }
}

} // namespace shallotlatch::soak
