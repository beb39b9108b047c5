#include "connect_probe_p.h"

#include "sockets_p.h"

#include <event2/bufferevent.h>

namespace shallotlatch {

// Time for the connection; the same as that of a request's.
static constexpr Duration ProbeTimeout = millis(600);

struct ConnectProbes::Probe {
  ConnectProbes &Owner;
  TargetRunId Target;
  bufferevent *Socket = nullptr;

  Probe(ConnectProbes &Owner, TargetRunId Target)
      : Owner(Owner), Target(Target) {}
  ~Probe() { bufferevent_free(this->Socket); }

  static void onEvent(bufferevent *, short What, void *Arg) {
    Probe *P = static_cast<Probe *>(Arg);
    P->Owner.end(*P, (What & BEV_EVENT_CONNECTED) != 0);
  }
};

ConnectProbes::ConnectProbes(event_base *Base, ConnectProbeEvents &Events)
    : Base(Base), Events(Events) {}

ConnectProbes::~ConnectProbes() = default;

void ConnectProbes::start(TargetRunId Target, const Address &At) {
  if (this->Running.count(Target) != 0) {
    return;
  }
  std::unique_ptr<Probe> P = std::make_unique<Probe>(*this, Target);
  P->Socket = bufferevent_socket_new(
      this->Base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb(P->Socket, nullptr, nullptr, &Probe::onEvent, P.get());
  // libevent applies the write timeout to the connection being made.
  timeval Limit = toTimeval(ProbeTimeout);
  bufferevent_set_timeouts(P->Socket, nullptr, &Limit);
  bufferevent *Socket = P->Socket;
  this->Running[Target] = std::move(P);
  connectSocket(Socket, At);
}

void ConnectProbes::end(Probe &P, bool Connected) {
  TargetRunId Target = P.Target;
  auto It = this->Running.find(Target);
  std::unique_ptr<Probe> Ended = std::move(It->second);
  this->Running.erase(It);
  bufferevent_setcb(Ended->Socket, nullptr, nullptr, nullptr, nullptr);
  deferDelete(this->Base, std::shared_ptr<Probe>(std::move(Ended)));
  this->Events.onProbeEnd(Target, Connected);
}

} // namespace shallotlatch
