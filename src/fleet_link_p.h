/// \file
/// Sends and receives datagrams between gateway hosts. Each host tells its
/// peers which requests it has running, what it admitted and which state it
/// knows.
#pragma once

#include "fleet_codec_p.h"
#include "service_places_p.h"
#include "shallotlatch/settings.h"

#include <event2/event.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace shallotlatch {

/// State of one peer as this host knows it.
struct FleetPeer {
  FleetHost Host;
  HostId Id;
  bool SameDomain = false; ///< Whether the peer is in the own failure domain.
  Time AddedAt; ///< Time at which the entry of the peer's run was read.
  /// Time of the last state received from the peer; the epoch if there was
  /// none.
  Time LastHeard;
  uint64_t Run = 0;      ///< Process run of the last state.
  uint32_t Sequence = 0; ///< Sequence number of the last state.
  bool Leaving = false;
  /// Whether the peer places requests itself, as far as this host knows.
  bool PlacesRequests = true;
  Time Stamp; ///< Latest stamp that the peer sent.
  /// Latest stamp that had arrived when this host asked the store for the
  /// confirmation that is under way.
  Time PendingEcho;
  /// Latest stamp that had arrived when this host asked the store for the last
  /// confirmation that was given.
  Time Echo;
};

/// Counters of the datagrams between hosts.
struct FleetLinkStats {
  uint64_t Sent = 0;      ///< Datagrams sent.
  uint64_t Received = 0;  ///< Accepted states of peers.
  uint64_t BytesSent = 0; ///< Bytes of the datagrams sent.
  uint64_t Rejected = 0;  ///< Unreadable datagrams and those of unknown hosts.
};

/// Receives the messages of peers. States and books of unknown hosts are
/// rejected before.
class FleetLinkEvents {
public:
  virtual ~FleetLinkEvents() = default;
  virtual void onState(const HostState &State) = 0;
  virtual void onBook(const PlacementReport &Book) = 0;
  virtual void onReply(const PlacementReply &Reply) = 0;
  virtual void onStreamNews(const StreamNews &News) = 0;
};

/// Socket for the datagrams between this host and its peers.
class FleetLink : public PlacementTransport {
public:
  FleetLink(event_base *Base, const FleetHost &Self, FleetLinkEvents &Events);
  ~FleetLink() override;
  FleetLink(const FleetLink &) = delete;
  FleetLink &operator=(const FleetLink &) = delete;

  /// Adds or updates the peer; an entry for this host itself is ignored.
  void setPeer(const FleetHost &Host, Time Now);
  void removePeer(const std::string &Name);
  /// Marks the peers that place requests themselves.
  void markPlacingPeers(const std::set<HostId> &Placing);
  /// Called when the store is asked to confirm the configuration.
  void onConfirmationRequested();
  /// Called when the store has confirmed the configuration.
  void onConfirmationReceived();
  /// Sends the state to the peers for which \p Filter returns true.
  void send(HostState &State,
            const std::function<bool(const FleetPeer &)> &Filter);
  // Implementation of PlacementTransport.
  void post(HostId To, PlacementReport &Book) override;
  void post(HostId To, PlacementReply &Reply) override;
  /// Sends \p News, of which it sets the sender.
  void post(HostId To, StreamNews &News);
  const std::map<HostId, FleetPeer> &peers() const { return this->Peers; }
  FleetLinkStats stats() const { return this->Counts; }

private:
  static void onReadable(evutil_socket_t Fd, short, void *Self);
  void sendTo(const Address &At, const std::string &Bytes);
  void receive(const HostState &State);

  FleetHost Self;
  FleetLinkEvents &Events;
  int Fd = -1;
  event *ReadEvent = nullptr;
  std::map<HostId, FleetPeer> Peers;
  FleetLinkStats Counts;
};

} // namespace shallotlatch
