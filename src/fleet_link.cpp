#include "fleet_link_p.h"

#include "event_log_p.h"
#include "fleet_codec_p.h"
#include "sockets_p.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <sys/socket.h>

namespace shallotlatch {

// Largest datagram in bytes. The codec limits its lists, so that no datagram is
// larger.
static constexpr size_t MaxDatagramBytes = 32 * 1024;
// Time after which no datagram of a peer's former run is still under way.
static constexpr Duration StaleRunTimeout = seconds(1);
// Maximum number of datagrams read in one pass of the event loop.
static constexpr int MaxDatagramsPerRead = 64;

FleetLink::FleetLink(event_base *Base, const FleetHost &Self,
                     FleetLinkEvents &Events)
    : Self(Self), Events(Events) {
  this->Fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in At = toSockaddr(Self.At);
  if (this->Fd < 0 ||
      bind(this->Fd, reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0) {
    throw std::runtime_error("cannot listen for peers on " + Self.At.text() +
                             ": " + std::strerror(errno));
  }
  this->ReadEvent = event_new(Base, this->Fd, EV_READ | EV_PERSIST,
                              &FleetLink::onReadable, this);
  event_add(this->ReadEvent, nullptr);
}

FleetLink::~FleetLink() {
  event_free(this->ReadEvent);
  evutil_closesocket(this->Fd);
}

void FleetLink::setPeer(const FleetHost &Host, Time Now) {
  if (Host.Name == this->Self.Name) {
    return;
  }
  HostId Id = hostId(Host.Name);
  FleetPeer &P = this->Peers[Id];
  if (P.Host.Run != Host.Run) {
    P.AddedAt = Now;
  }
  P.Host = Host;
  P.Id = Id;
  P.SameDomain = Host.Domain == this->Self.Domain;
}

void FleetLink::removePeer(const std::string &Name) {
  this->Peers.erase(hostId(Name));
}

void FleetLink::markPlacingPeers(const std::set<HostId> &Placing) {
  for (auto &Item : this->Peers) {
    Item.second.PlacesRequests = Placing.count(Item.first) != 0;
  }
}

// A confirmation could be passed on with its age, but that age would be too
// small by the time in transit and by the time that a suspended host leaves it
// unread, and hosts that cannot reach the store would pass it back and forth
// without end. So only the host that received a confirmation from the store
// passes it on, and the receiver dates it by a stamp of its own clock.
void FleetLink::onConfirmationRequested() {
  for (auto &Item : this->Peers) {
    Item.second.PendingEcho = Item.second.Stamp;
  }
}

void FleetLink::onConfirmationReceived() {
  for (auto &Item : this->Peers) {
    Item.second.Echo = Item.second.PendingEcho;
  }
}

void FleetLink::sendTo(const Address &At, const std::string &Bytes) {
  sockaddr_in To = toSockaddr(At);
  // A datagram that cannot be sent needs no handling: any datagram may be lost.
  if (sendto(this->Fd, Bytes.data(), Bytes.size(), 0,
             reinterpret_cast<sockaddr *>(&To), sizeof(To)) > 0) {
    ++this->Counts.Sent;
    this->Counts.BytesSent += Bytes.size();
  }
}

void FleetLink::send(HostState &State,
                     const std::function<bool(const FleetPeer &)> &Filter) {
  State.Stamp = bootTime();
  for (const auto &Item : this->Peers) {
    if (Filter(Item.second)) {
      State.Echo = Item.second.Echo;
      State.EchoRun = Item.second.Run;
      State.EchoSequence = Item.second.Sequence;
      this->sendTo(Item.second.Host.At, encodeHostState(State));
    }
  }
}

void FleetLink::post(HostId To, PlacementReport &Book) {
  auto It = this->Peers.find(To);
  if (It != this->Peers.end()) {
    Book.Host = hostId(this->Self.Name);
    Book.Run = this->Self.Run;
    this->sendTo(It->second.Host.At, encodePlaceBook(Book));
  }
}

void FleetLink::post(HostId To, PlacementReply &Reply) {
  auto It = this->Peers.find(To);
  if (It != this->Peers.end()) {
    Reply.Host = hostId(this->Self.Name);
    Reply.Run = this->Self.Run;
    this->sendTo(It->second.Host.At, encodePlaceReply(Reply));
  }
}

void FleetLink::post(HostId To, StreamNews &News) {
  auto It = this->Peers.find(To);
  if (It != this->Peers.end()) {
    News.Host = hostId(this->Self.Name);
    this->sendTo(It->second.Host.At, encodeStreamNews(News));
  }
}

void FleetLink::receive(const HostState &State) {
  auto It = this->Peers.find(State.Host);
  if (It == this->Peers.end()) {
    ++this->Counts.Rejected; // The entry of the host has not been read yet.
    return;
  }
  FleetPeer &P = It->second;
  // Runs are numbered by the time of day, which may have jumped back between
  // two runs. So a state of a lower-numbered run is accepted once the present
  // run has been silent for some time.
  bool Silent = ProcessClock::now() - P.LastHeard > StaleRunTimeout;
  bool Outdated = P.Run == State.Run ? State.Sequence <= P.Sequence
                                     : P.Run > State.Run && !Silent;
  if (Outdated) {
    return;
  }
  ++this->Counts.Received;
  if (P.Run != State.Run) {
    P.PendingEcho = Time();
    P.Echo = Time();
  }
  P.Stamp = State.Stamp;
  P.Run = State.Run;
  P.Sequence = State.Sequence;
  P.Leaving = State.Leaving;
  P.LastHeard = ProcessClock::now();
  this->Events.onState(State);
}

void FleetLink::onReadable(evutil_socket_t Fd, short, void *Arg) {
  FleetLink &L = *static_cast<FleetLink *>(Arg);
  char Buffer[MaxDatagramBytes];
  for (int I = 0; I < MaxDatagramsPerRead; ++I) {
    ssize_t Length = recv(Fd, Buffer, sizeof(Buffer), 0);
    if (Length <= 0) {
      return;
    }
    FleetMessage Message;
    if (!decodeFleetMessage(
            std::string_view(Buffer, static_cast<size_t>(Length)), Message)) {
      ++L.Counts.Rejected;
      logImportantEvent("peer-message-unreadable", {{"bytes", Length}});
    } else if (const HostState *State = std::get_if<HostState>(&Message)) {
      L.receive(*State);
    } else if (const PlacementReport *Book =
                   std::get_if<PlacementReport>(&Message)) {
      if (L.Peers.count(Book->Host) != 0) {
        L.Events.onBook(*Book);
      } else {
        ++L.Counts.Rejected;
      }
    } else if (const PlacementReply *Reply =
                   std::get_if<PlacementReply>(&Message)) {
      // A reply to a former run of this host does not concern the present run.
      if (Reply->HolderRun == L.Self.Run) {
        L.Events.onReply(*Reply);
      }
    } else if (const StreamNews *News = std::get_if<StreamNews>(&Message)) {
      if (L.Peers.count(News->Host) != 0) {
        L.Events.onStreamNews(*News);
      }
    }
  }
}

} // namespace shallotlatch
