// Exchange of what hosts know of roll-outs. Hosts report their counts to the
// owner of their failure domain, owners exchange sums of their domains, and
// owners tell their hosts the verdict.
#include "fleet_exchange_p.h"

#include "sockets_p.h"

namespace shallotlatch {

// Interval at which counts are sent. With the relay over two owners and a lost
// message, evidence arrives within two seconds.
static constexpr Duration ReportInterval = millis(400);
// Part of the hosts that may serve that must be heard. The others may have
// given a version as many bad answers as their part of the work, which is less
// than the distance between the limit of 50 and the count at which a version is
// judged.
static constexpr double HeardPart = 0.9;

void FleetExchange::updateRolloutTouch(Time Now) {
  FleetRollouts *Rollouts = this->Relay.rollouts();
  if (Rollouts == nullptr) {
    return;
  }
  RolloutTouch Touch;
  Touch.FollowsOwner = this->followsOwner();
  Touch.Hosts = static_cast<uint32_t>(this->Link.peers().size()) + 1;
  // Of a fleet in two parts, the smaller one sends nothing to the new version:
  // what it saw could not be added to what the other one sees.
  Touch.HearsFleet = this->HeardHosts >= HeardPart * this->ServingHosts &&
                     this->HeardHosts * 2 > Touch.Hosts;
  Touch.Writers.push_back(this->SelfId);
  for (const auto &Item : this->Link.peers()) {
    const FleetPeer &P = Item.second;
    bool Reads =
        P.SameDomain ? !this->Owner.isValid() : this->Placing.count(P.Id) != 0;
    if (Reads && !P.Leaving && Now - P.LastHeard < MinPeerTimeout) {
      Touch.Writers.push_back(P.Id);
    }
  }
  Rollouts->setTouch(Touch, Now);
}

std::vector<RolloutNews>
FleetExchange::rolloutNews(RolloutScope Scope, Time &NextReport, Time Now) {
  const FleetRollouts *Rollouts = this->Relay.rollouts();
  if (Rollouts == nullptr || !Rollouts->hasOrders()) {
    return {};
  }
  if (Scope == RolloutScope::Verdict || Now < NextReport) {
    return Rollouts->news(RolloutScope::Verdict, Now);
  }
  NextReport = Now + ReportInterval;
  return Rollouts->news(Scope, Now);
}

void FleetExchange::writeRolloutStatuses(Time Now) {
  const FleetRollouts *Rollouts = this->Relay.rollouts();
  if (Rollouts == nullptr) {
    return;
  }
  for (const RolloutStatusWrite &Write : Rollouts->statusesDue(Now)) {
    this->Directory.writeRolloutStatus(Write, bootTime());
  }
}

} // namespace shallotlatch
