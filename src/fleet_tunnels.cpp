// Which peers are asked for tunnels.
#include "fleet_exchange_p.h"

#include <algorithm>
#include <tuple>

namespace shallotlatch {

// Peers of the own failure domain, and of others, that a host may ask: several
// of each, as some may have lost their paths or have no room.
static constexpr size_t TunnelPeersPerSide = 6;

std::vector<TunnelPeer>
tunnelPeers(const std::vector<TunnelCandidate> &Candidates, HostId Asking) {
  std::vector<TunnelCandidate> Ranked = Candidates;
  auto KeyOf = [Asking](const TunnelCandidate &C) {
    return std::make_tuple(!C.Heard, hashPair(C.Peer.Id.Value, Asking.Value));
  };
  std::sort(Ranked.begin(), Ranked.end(),
            [&KeyOf](const TunnelCandidate &A, const TunnelCandidate &B) {
              return KeyOf(A) < KeyOf(B);
            });
  std::vector<TunnelPeer> Chosen;
  size_t InDomain = 0;
  size_t Remote = 0;
  for (const TunnelCandidate &C : Ranked) {
    size_t &Count = C.Peer.SameDomain ? InDomain : Remote;
    if (Count < TunnelPeersPerSide) {
      ++Count;
      Chosen.push_back(C.Peer);
    }
  }
  return Chosen;
}

// In a large fleet a host hears few peers directly, so others are asked too: a
// peer that is gone refuses the connection or does not answer.
void FleetExchange::chooseTunnelPeers(Time Now) {
  std::vector<TunnelCandidate> Candidates;
  for (const auto &Item : this->Link.peers()) {
    const FleetPeer &P = Item.second;
    if (!P.Leaving) {
      Candidates.push_back({{P.Id, P.Host.At, P.SameDomain},
                            Now - P.LastHeard < MinPeerTimeout});
    }
  }
  this->Relay.setTunnelPeers(tunnelPeers(Candidates, this->SelfId));
}

} // namespace shallotlatch
