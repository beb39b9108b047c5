/// \file
/// Exchange of state with the other hosts of the fleet, on two levels: the
/// hosts of a failure domain with its owner, and the owners with each other.
/// Domains too small for an owner exchange with every owner themselves.
#pragma once

#include "count_relay_p.h"
#include "directory_p.h"
#include "fleet_link_p.h"
#include "relay_p.h"

#include <deque>

namespace shallotlatch {

/// Decides when this host's state is sent and to whom, which peers are alive,
/// and which hosts own the failure domains. Applies what peers report.
/// Shortest time without a message after which a peer counts as silent.
constexpr Duration MinPeerTimeout = millis(1200);

/// A peer, as far as it matters for whom is told of streams.
struct StreamPeer {
  HostId Id;
  bool SameDomain = false;
  bool IsOwner = false; ///< Owns the failure domain.
  bool Heard = false;   ///< Was heard lately.
  bool PlacesRequests = false;
};
/// Returns the peers that are told of a host's streams.
std::vector<HostId> streamKeepers(const std::vector<StreamPeer> &Peers);
/// Returns the peers that are asked for a stream that another host began.
std::vector<HostId> streamHostsToAsk(const std::vector<StreamPeer> &Peers);
/// Returns what a host writes into the store for its failure domain: the owner
/// does, or the host with the smallest hash of those that are heard.
ArchiveRole archiveRole(HostId Self, bool OwnsDomain,
                        const std::vector<StreamPeer> &Peers);
/// Returns some of the peers that `streamHostsToAsk` returns, others in each
/// \p Turn.
std::vector<HostId> historyHostsToAsk(const std::vector<StreamPeer> &Peers,
                                      uint32_t Turn);

/// A peer, as far as it matters for whom is asked for tunnels.
struct TunnelCandidate {
  TunnelPeer Peer;
  bool Heard = false; ///< Was heard lately.
};
/// Returns some of the peers of the own failure domain and of others, those
/// that were heard first. \p Asking: the host that asks; hosts get different
/// peers, so that the load of a domain that lost its paths is spread.
std::vector<TunnelPeer>
tunnelPeers(const std::vector<TunnelCandidate> &Candidates, HostId Asking);

class FleetExchange : public FleetLinkEvents {
public:
  FleetExchange(event_base *Base, const FleetHost &Self, RequestRelay &Relay,
                FleetDirectory &Directory);

  FleetLink &link() { return this->Link; }
  /// Checks the peers and sends what is due. \p Leaving: this host is stopping.
  void tick(Time Now, bool Leaving);
  /// Records that the store confirmed \p ConfigVersion as the newest.
  void onConfirmed(uint64_t ConfigVersion);

  // Implementation of FleetLinkEvents.
  void onState(const HostState &State) override;
  void onBook(const PlacementReport &Book) override;
  void onReply(const PlacementReply &Reply) override;
  void onStreamNews(const StreamNews &News) override;

private:
  using PeerFilter = std::function<bool(const FleetPeer &)>;
  bool ownsDomain() const { return this->Owner == this->SelfId; }
  /// Whether another host is the owner of this host's failure domain.
  bool followsOwner() const {
    return this->Owner.isValid() && !this->ownsDomain();
  }
  /// Time of the last sign of life of a peer, heard directly or passed on.
  Time lastHeard(const FleetPeer &Peer) const;
  /// Builds this host's state, without what differs between receivers.
  HostState makeState(Time Now, bool Leaving);
  void sendStates(Time Now, bool Leaving);
  void sendTo(HostState &State, const PeerFilter &Filter);
  void evaluatePeers(Time Now, bool Leaving);
  /// Sets the limits that depend on the number of hosts of the fleet.
  void applyFleetSize(uint32_t Heard, uint32_t Serving);
  void chooseOwners(Time Now, bool Leaving);
  /// Sets the hosts that share the limits which targets name.
  void shareLimits();
  void removeSilentPeers(Time Now);
  /// Names the peers that may pass requests on to targets.
  void chooseTunnelPeers(Time Now);
  std::vector<StreamPeer> streamPeers(Time Now) const;
  /// Sends \p Asks to each of \p Hosts.
  void askStreams(const std::vector<StreamAsk> &Asks,
                  const std::vector<HostId> &Hosts);
  /// Tells and asks peers for versions that began streams.
  void exchangeStreams(Time Now);
  /// Tells the roll-outs how well this host hears the fleet.
  void updateRolloutTouch(Time Now);
  /// What is sent of roll-outs: counts if they are due, otherwise the verdict
  /// alone.
  std::vector<RolloutNews> rolloutNews(RolloutScope Scope, Time &NextReport,
                                       Time Now);
  void writeRolloutStatuses(Time Now);
  /// Merges the counts that another owner passed on.
  void mergeRelayed(const HostState &State, Time Now);

  FleetHost Self;
  HostId SelfId;
  RequestRelay &Relay;
  FleetDirectory &Directory;
  FleetLink Link;
  CountRelay DomainCounts; ///< Counts of the hosts of the own domain.
  RelayedHosts Relayed;    ///< Hosts of other domains.
  /// Host that places requests for the own failure domain; invalid: none.
  HostId Owner;
  uint32_t Sequence = 0; ///< Sequence of the last state sent.
  /// Configuration version that the store itself confirmed last.
  uint64_t ConfirmedVersion = 0;
  uint32_t DomainPeers = 0; ///< Peers in the own failure domain.
  uint32_t RemotePeers = 0; ///< All other peers.
  /// Remote peers that place requests, and those that may do so in domains of
  /// which no host is heard.
  std::set<HostId> Placing;
  uint32_t PlacingPeers = 0; ///< Remote peers heard that place requests.
  uint32_t HeardHosts = 1;   ///< Hosts heard, this one included.
  uint32_t ServingHosts = 1; ///< These and the silent ones that may serve.
  std::pair<uint32_t, uint32_t> LoggedSize; ///< Heard and serving hosts.
  Time SizeLoggedAt;
  Time LastLevels; ///< Time of the owner's last levels taken over.
  Time NextPeerCheck;
  Time NextDomainSend;
  Time NextOwnerSend;
  Time NextMemberSend;
  Time NextPlacingSend;
  Time NextSearchSend;
  Time NextRepeat;
  Time NextStreamNotes;
  Time NextDomainRollouts;  ///< Next counts to the own failure domain.
  Time NextPlacingRollouts; ///< Next counts to others.
  uint32_t HistoryAsks = 0; ///< Times that peers were asked for histories.
  std::string LastSentUse;  ///< Content of the last state sent, to compare.
};

} // namespace shallotlatch
