/// \file
/// Datagrams between hosts: each tells its peers what it has running, what it
/// admitted and what it believes.
#pragma once

#include "fleet_codec_p.h"
#include "service_places_p.h"
#include "shallotlatch/settings.h"

#include <event2/event.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace shallotlatch {

struct FleetPeer {
  FleetHost Host;
  HostId Id;
  bool SameDomain = false;
  Time AddedAt;   ///< When its entry was read.
  Time LastHeard; ///< Last datagram; the epoch: never.
  uint64_t Run = 0;
  uint32_t Sequence = 0;
  bool Leaving = false;
  bool PlacesRequests = true; ///< Places requests itself, as far as known here.
  Time Stamp;                 ///< Latest that it sent.
  Time PendingEcho; ///< Latest before the confirmation under way was asked.
  Time Echo;        ///< Latest before the last confirmation was asked.
};

struct FleetLinkStats {
  uint64_t Sent = 0;
  uint64_t Received = 0;
  uint64_t BytesSent = 0;
  uint64_t Rejected = 0;
};

/// Receives what peers tell. Messages of unknown hosts do not arrive here.
class FleetLinkEvents {
public:
  virtual ~FleetLinkEvents() = default;
  virtual void onState(const HostState &State) = 0;
  virtual void onBook(const PlacementReport &Book) = 0;
  virtual void onReply(const PlacementReply &Reply) = 0;
};

class FleetLink : public PlacementTransport {
public:
  FleetLink(event_base *Base, const FleetHost &Self, FleetLinkEvents &Events);
  ~FleetLink() override;
  FleetLink(const FleetLink &) = delete;
  FleetLink &operator=(const FleetLink &) = delete;

  void setPeer(const FleetHost &Host, Time Now);
  void removePeer(const std::string &Name);
  /// Marks which peers place requests, from the owner of each domain.
  void markPlacingPeers(const std::map<std::string, HostId> &Owners);
  /// The store is asked for a confirmation.
  void onConfirmationRequested();
  /// It confirmed.
  void onConfirmationReceived();
  /// Sends to the peers that \p Which chooses.
  void send(HostState &State,
            const std::function<bool(const FleetPeer &)> &Which);
  // PlacementTransport
  void post(HostId To, PlacementReport &Book) override;
  void post(HostId To, PlacementReply &Reply) override;
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
