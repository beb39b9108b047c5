#include "fleet_link_p.h"

#include "event_log_p.h"
#include "fleet.capnp.h"
#include "sockets_p.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <sys/socket.h>

namespace shallotlatch {

// A datagram never carries more than this; larger states are cut.
static constexpr size_t MaxDatagram = 8 * 1024;
static constexpr size_t MaxTargets = 400;
static constexpr size_t MaxCustomers = 64;
static constexpr size_t MaxCrashes = 16;
// A former run's datagrams are no longer under way after this.
static constexpr Duration RunSilence = seconds(1);
// Datagrams read in one turn of the loop.
static constexpr int ReadBatch = 64;

bool echoIsOwn(const FleetState &State, uint64_t OwnRun, Time Now) {
  return State.Echo != Time() && State.EchoRun == OwnRun && State.Echo <= Now;
}

std::string encodeFleetState(const FleetState &S) {
  capnp::MallocMessageBuilder Message;
  fleetwire::FleetState::Builder B = Message.initRoot<fleetwire::FleetState>();
  B.setHost(S.Host.Value);
  B.setRun(S.Run);
  B.setSequence(S.Sequence);
  B.setLeaving(S.Leaving);
  B.setConfigRevision(S.ConfigRevision);
  B.setStamp(static_cast<uint64_t>(S.Stamp.time_since_epoch().count()));
  B.setEcho(static_cast<uint64_t>(S.Echo.time_since_epoch().count()));
  B.setEchoRun(S.EchoRun);
  unsigned Targets =
      static_cast<unsigned>(std::min(S.Targets.size(), MaxTargets));
  auto TargetList = B.initTargets(Targets);
  for (unsigned I = 0; I < Targets; ++I) {
    TargetList[I].setTarget(S.Targets[I].Target);
    TargetList[I].setRunning(
        static_cast<uint8_t>(std::min(S.Targets[I].Running, 255U)));
    TargetList[I].setPromptTokens(S.Targets[I].PromptTokens);
  }
  unsigned Customers =
      static_cast<unsigned>(std::min(S.Customers.size(), MaxCustomers));
  auto CustomerList = B.initCustomers(Customers);
  for (unsigned I = 0; I < Customers; ++I) {
    CustomerList[I].setCustomer(S.Customers[I].Customer.Value);
    CustomerList[I].setAdmitted(S.Customers[I].Admitted);
  }
  unsigned Crashes =
      static_cast<unsigned>(std::min(S.Crashes.size(), MaxCrashes));
  auto CrashList = B.initCrashes(Crashes);
  for (unsigned I = 0; I < Crashes; ++I) {
    CrashList[I].setFingerprint(S.Crashes[I].Print.Value);
    CrashList[I].setCount(
        static_cast<uint8_t>(std::min(S.Crashes[I].Count, 255U)));
  }
  kj::VectorOutputStream Out;
  capnp::writePackedMessage(Out, Message);
  auto Bytes = Out.getArray();
  return std::string(reinterpret_cast<const char *>(Bytes.begin()),
                     Bytes.size());
}

bool decodeFleetState(std::string_view Bytes, FleetState &S) {
  try {
    kj::ArrayInputStream In(kj::ArrayPtr<const kj::byte>(
        reinterpret_cast<const kj::byte *>(Bytes.data()), Bytes.size()));
    capnp::ReaderOptions Options;
    Options.traversalLimitInWords = 64 * 1024;
    capnp::PackedMessageReader Message(In, Options);
    fleetwire::FleetState::Reader R = Message.getRoot<fleetwire::FleetState>();
    S.Host.Value = R.getHost();
    S.Run = R.getRun();
    S.Sequence = R.getSequence();
    S.Leaving = R.getLeaving();
    S.ConfigRevision = R.getConfigRevision();
    S.Stamp = Time(Duration(static_cast<int64_t>(R.getStamp())));
    S.Echo = Time(Duration(static_cast<int64_t>(R.getEcho())));
    S.EchoRun = R.getEchoRun();
    for (fleetwire::TargetUse::Reader T : R.getTargets()) {
      S.Targets.push_back({T.getTarget(), T.getRunning(), T.getPromptTokens()});
    }
    for (fleetwire::CustomerUse::Reader C : R.getCustomers()) {
      S.Customers.push_back({CustomerId{C.getCustomer()}, C.getAdmitted()});
    }
    for (fleetwire::CrashTally::Reader C : R.getCrashes()) {
      S.Crashes.push_back({Fingerprint{C.getFingerprint()}, C.getCount()});
    }
    return true;
  } catch (const kj::Exception &) {
    return false; // Counted and logged by the caller.
  }
}

FleetLink::FleetLink(event_base *Base, const FleetHost &Self, Receive OnState)
    : Self(Self), OnState(std::move(OnState)) {
  this->Fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in At = toSockaddr(Self.At);
  if (this->Fd < 0 ||
      bind(this->Fd, reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0) {
    throw std::runtime_error("cannot listen for peers on " + Self.At.text() +
                             ": " + std::strerror(errno));
  }
  this->Watch = event_new(Base, this->Fd, EV_READ | EV_PERSIST,
                          &FleetLink::onReadable, this);
  event_add(this->Watch, nullptr);
}

FleetLink::~FleetLink() {
  event_free(this->Watch);
  evutil_closesocket(this->Fd);
}

void FleetLink::setPeer(const FleetHost &Host, Time Now) {
  if (Host.Name == this->Self.Name) {
    return;
  }
  HostId Id = hostId(Host.Name);
  FleetPeer &P = this->Peers[Id];
  if (P.Host.Run != Host.Run) {
    P.Known = Now;
  }
  P.Host = Host;
  P.Id = Id;
  P.SameDomain = Host.Domain == this->Self.Domain;
}

void FleetLink::removePeer(const std::string &Name) {
  this->Peers.erase(hostId(Name));
}

// An age that one host tells another grows younger by the time under way, and
// by any time that a suspended host leaves it unread; between hosts that cannot
// reach the store it would echo without end. So a confirmation is passed on at
// first hand only, and dated by the receiver's own clock.
void FleetLink::confirmAsked() {
  for (auto &Item : this->Peers) {
    Item.second.AskStamp = Item.second.Stamp;
  }
}

void FleetLink::confirmed() {
  for (auto &Item : this->Peers) {
    Item.second.Echo = Item.second.AskStamp;
  }
}

void FleetLink::send(FleetState &State, bool SameDomain) {
  State.Stamp = bootTime();
  for (const auto &Item : this->Peers) {
    if (Item.second.SameDomain != SameDomain) {
      continue;
    }
    State.Echo = Item.second.Echo;
    State.EchoRun = Item.second.Run;
    std::string Bytes = encodeFleetState(State);
    sockaddr_in To = toSockaddr(Item.second.Host.At);
    // A datagram that does not leave is as good as one that is lost.
    if (sendto(this->Fd, Bytes.data(), Bytes.size(), 0,
               reinterpret_cast<sockaddr *>(&To), sizeof(To)) > 0) {
      ++this->Counts.Sent;
      this->Counts.BytesSent += Bytes.size();
    }
  }
}

void FleetLink::onReadable(evutil_socket_t Fd, short, void *Arg) {
  FleetLink &L = *static_cast<FleetLink *>(Arg);
  char Buffer[MaxDatagram];
  for (int I = 0; I < ReadBatch; ++I) {
    ssize_t Got = recv(Fd, Buffer, sizeof(Buffer), 0);
    if (Got <= 0) {
      return;
    }
    FleetState State;
    if (!decodeFleetState(std::string_view(Buffer, static_cast<size_t>(Got)),
                          State)) {
      ++L.Counts.Rejected;
      logBelief("peer-message-unreadable", {{"bytes", Got}});
      continue;
    }
    auto It = L.Peers.find(State.Host);
    if (It == L.Peers.end()) {
      ++L.Counts.Rejected; // Its entry has not been read yet.
      continue;
    }
    FleetPeer &P = It->second;
    // Runs are numbered by the time of day, which may have jumped back between
    // two of them, so a run that has fallen silent gives way to any other.
    bool Silent = ProcessClock::now() - P.Heard > RunSilence;
    bool Older = P.Run == State.Run ? State.Sequence <= P.Sequence
                                    : P.Run > State.Run && !Silent;
    if (Older) {
      continue;
    }
    ++L.Counts.Received;
    if (P.Run != State.Run) {
      P.AskStamp = Time();
      P.Echo = Time();
    }
    P.Stamp = State.Stamp;
    P.Run = State.Run;
    P.Sequence = State.Sequence;
    P.Leaving = State.Leaving;
    P.Heard = ProcessClock::now();
    L.OnState(State);
  }
}

} // namespace shallotlatch
