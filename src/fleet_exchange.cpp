#include "fleet_exchange_p.h"

#include "domain_owner_p.h"
#include "event_log_p.h"
#include "sockets_p.h"

#include <algorithm>
#include <map>

namespace shallotlatch {

// Shortest interval at which a changed state is sent to the peers of a failure
// domain without an owner.
static constexpr Duration DomainSendInterval = millis(20);
// Interval at which a changed state is sent to the owner, which needs it to
// keep the limits of the fleet.
static constexpr Duration OwnerSendInterval = millis(60);
// Interval at which an owner tells its domain's hosts the fleet's limits.
static constexpr Duration MemberSendInterval = millis(120);
// Interval at which hosts that place requests exchange their states between
// failure domains.
static constexpr Duration PlacingSendInterval = millis(120);
// Interval at which remote hosts are sent to that are not known to place
// requests, so that none stays unknown after a lost message.
static constexpr Duration SearchInterval = millis(120);
// Number of hosts of a domain in which none is heard that are sent to as often
// as an owner: those that have the strongest claim to be it.
static constexpr size_t LikelyOwners = 3;
// Numbers of peers up to which the intervals hold. With more peers they grow in
// proportion, so that the datagrams that a host sends per second are bounded.
static constexpr uint32_t DomainPeersPerInterval = 4;
static constexpr uint32_t RemotePeersPerInterval = 8;
// Interval at which an unchanged state is sent again.
static constexpr Duration RepeatInterval = millis(400);
// Interval at which peers are checked for silence.
static constexpr Duration PeerCheckInterval = millis(200);
// A peer is silent after MinPeerTimeout without a message, or after this many
// of the intervals at which it is due, whichever is longer.
static constexpr int MissedIntervals = 3;
// Age of an owner's levels after which this host keeps the limits by itself.
static constexpr Duration LevelsTimeout = millis(600);
// Shortest interval between log lines about the size of the fleet.
static constexpr Duration SizeLogInterval = seconds(1);
// Time for which a silent peer may still serve requests while it is cut off
// from this host. After that time its copy of the callers' keys is no longer
// trusted.
static constexpr Duration SilentPeerServingTime = seconds(10);
// Time of silence after which a peer's entry is removed from the store.
static constexpr Duration PeerRemovalDelay = seconds(20);

static Duration placingInterval(uint32_t PlacingPeers) {
  return PlacingSendInterval *
         std::max(1U, PlacingPeers / RemotePeersPerInterval);
}

static Duration peerTimeout(Duration Interval) {
  return std::max(MinPeerTimeout, Interval * MissedIntervals);
}

FleetExchange::FleetExchange(event_base *Base, const FleetHost &Self,
                             RequestRelay &Relay, FleetDirectory &Directory)
    : Self(Self), SelfId(hostId(Self.Name)), Relay(Relay), Directory(Directory),
      Link(Base, Self, *this) {}

void FleetExchange::tick(Time Now, bool Leaving) {
  if (Now >= this->NextPeerCheck) {
    this->NextPeerCheck = Now + PeerCheckInterval;
    this->evaluatePeers(Now, Leaving);
  }
  this->sendStates(Now, Leaving);
  this->exchangeStreams(Now);
  this->writeRolloutStatuses(Now);
}

void FleetExchange::onConfirmed(uint64_t ConfigVersion) {
  this->ConfirmedVersion = ConfigVersion;
  this->Link.onConfirmationReceived();
}

void FleetExchange::onBook(const PlacementReport &Book) {
  this->Relay.receive(Book);
}

void FleetExchange::onReply(const PlacementReply &Reply) {
  this->Relay.receive(Reply);
}

void FleetExchange::onState(const HostState &State) {
  Time Now = ProcessClock::now();
  if (!State.LimitsOnly) {
    this->Relay.peerUse(State.Host, State.Targets);
  }
  this->Relay.quota().mergePeerUse(State.Host, State.Run, State.Customers);
  this->Relay.crashes().merge(State.Crashes, State.DeadTargets, Now);
  this->Relay.hearDeadTargets(State.Host, State.DeadTargets);
  this->Relay.mergeTargetLimits(State.Limits);
  auto It = this->Link.peers().find(State.Host);
  if (It != this->Link.peers().end() && It->second.SameDomain) {
    this->DomainCounts.record(State.Host, State.Run, State.Customers, Now);
  }
  this->Relay.receiveRollouts(State.Rollouts, State.Host == this->Owner);
  bool IsEcho = echoIsOwn(State, this->Self.Run, bootTime());
  if (State.Host == this->Owner) {
    this->Relay.setOwnerDepartingTargets(State.Departing);
    if (IsEcho && !State.Levels.empty() &&
        this->Relay.quota().syncLevels(State.Levels, State.EchoSequence, Now)) {
      this->LastLevels = Now;
      this->applyFleetSize(State.HeardHosts, State.ServingHosts);
    }
  }
  this->mergeRelayed(State, Now);
  if (IsEcho) {
    this->Directory.onPeerConfirmation(State.ConfigVersion, State.Echo);
  }
  this->Directory.onPeerEra(State.StoreEra);
}

void FleetExchange::mergeRelayed(const HostState &State, Time Now) {
  for (const HostCounts &Counts : State.Relayed) {
    if (Counts.Host == this->SelfId) {
      continue;
    }
    if (this->Relayed.accept(Counts, Now)) {
      this->Relay.quota().mergePeerUse(Counts.Host, Counts.Run,
                                       Counts.Customers);
    }
  }
}

Time FleetExchange::lastHeard(const FleetPeer &Peer) const {
  return std::max(Peer.LastHeard, this->Relayed.lastHeard(Peer.Id));
}

HostState FleetExchange::makeState(Time Now, bool Leaving) {
  HostState State;
  State.Host = this->SelfId;
  State.Run = this->Self.Run;
  State.Leaving = Leaving;
  State.ConfigVersion = this->ConfirmedVersion;
  State.StoreEra = this->Directory.storeEra();
  State.HeardHosts = this->HeardHosts;
  State.ServingHosts = this->ServingHosts;
  State.Customers = this->Relay.quota().ownUse();
  State.Crashes = this->Relay.crashes().report(Now);
  State.DeadTargets = this->Relay.crashes().deadTargets(Now);
  State.Limits = this->Relay.targetLimits(Now);
  State.NewsVersion =
      this->Relay.crashes().version() + this->Relay.targetLimitsVersion();
  State.Targets = this->Relay.ownUse();
  State.Departing = this->Relay.departingTargets(Now);
  return State;
}

static std::string describeUse(const HostState &State) {
  std::string Use;
  for (const TargetUse &U : State.Targets) {
    Use += std::to_string(U.Target) + ":" + std::to_string(U.Running) + ":" +
           std::to_string(U.PromptTokens) + " ";
  }
  for (const CustomerUse &U : State.Customers) {
    Use += std::to_string(U.Admitted) + " ";
  }
  for (uint32_t Run : State.Departing) {
    Use += "-" + std::to_string(Run);
  }
  Use += " news " + std::to_string(State.NewsVersion);
  return Use;
}

void FleetExchange::sendTo(HostState &State, const PeerFilter &Filter) {
  State.Sequence = ++this->Sequence;
  this->Relay.quota().recordReport(State.Sequence);
  this->Link.send(State, Filter);
}

// An owner that has died is noticed within `peerTimeout`. Its hosts go on by
// what they heard last, and tell the next owner as soon as they choose it.
void FleetExchange::sendStates(Time Now, bool Leaving) {
  Time NextOfOwner =
      this->ownsDomain() ? this->NextMemberSend : this->NextOwnerSend;
  Time NextRemote = std::min(this->NextPlacingSend, this->NextSearchSend);
  if (Now < this->NextRepeat && Now < this->NextDomainSend &&
      (!this->Owner.isValid() || Now < NextOfOwner) &&
      (this->followsOwner() || Now < NextRemote)) {
    return;
  }
  HostState State = this->makeState(Now, Leaving);
  std::string Use = describeUse(State);
  bool Changed = Use != this->LastSentUse;
  bool RepeatDue = Now >= this->NextRepeat;
  if (RepeatDue ||
      (Changed && !this->Owner.isValid() && Now >= this->NextDomainSend)) {
    this->LastSentUse = Use;
    State.Rollouts = this->rolloutNews(
        this->ownsDomain() ? RolloutScope::Verdict : RolloutScope::Own,
        this->NextDomainRollouts, Now);
    if (this->followsOwner() && !State.Rollouts.empty()) {
      this->sendTo(State,
                   [this](const FleetPeer &P) { return P.Id == this->Owner; });
      State.Rollouts.clear();
      this->sendTo(State, [this](const FleetPeer &P) {
        return P.SameDomain && P.Id != this->Owner;
      });
    } else {
      this->sendTo(State, [](const FleetPeer &P) { return P.SameDomain; });
    }
    this->NextDomainSend =
        Now + DomainSendInterval * (this->DomainPeers / DomainPeersPerInterval);
    this->NextRepeat = Now + RepeatInterval;
  } else if (Changed && this->followsOwner() && Now >= this->NextOwnerSend) {
    this->LastSentUse = Use;
    this->NextOwnerSend = Now + OwnerSendInterval;
    State.Rollouts =
        this->rolloutNews(RolloutScope::Own, this->NextDomainRollouts, Now);
    this->sendTo(State,
                 [this](const FleetPeer &P) { return P.Id == this->Owner; });
  }
  State.Rollouts.clear();
  if (this->ownsDomain() && Now >= this->NextMemberSend) {
    this->NextMemberSend = Now + MemberSendInterval;
    HostState Limits = State;
    Limits.Targets.clear();
    Limits.LimitsOnly = true;
    Limits.Levels = this->Relay.quota().levels(Now);
    this->sendTo(Limits, [](const FleetPeer &P) { return P.SameDomain; });
  }
  if (this->followsOwner()) {
    return;
  }
  // Departing targets are sent to hosts of the own failure domain only.
  State.Departing.clear();
  if (Now >= this->NextPlacingSend) {
    this->NextPlacingSend = Now + placingInterval(this->PlacingPeers);
    if (this->ownsDomain()) {
      State.Relayed = this->DomainCounts.collect(Now, MinPeerTimeout);
    }
    State.Rollouts = this->rolloutNews(this->ownsDomain() ? RolloutScope::Domain
                                                          : RolloutScope::Own,
                                       this->NextPlacingRollouts, Now);
    this->sendTo(State, [this](const FleetPeer &P) {
      return !P.SameDomain && P.PlacesRequests;
    });
  }
  if (Now >= this->NextSearchSend) {
    this->NextSearchSend =
        Now + SearchInterval *
                  std::max(1U, this->RemotePeers / RemotePeersPerInterval);
    State.Relayed.clear();
    State.Rollouts.clear();
    State.Targets.clear();
    State.LimitsOnly = true;
    this->sendTo(State, [](const FleetPeer &P) {
      return !P.SameDomain && !P.PlacesRequests;
    });
  }
}

// A silent peer may still serve requests, so its share of the rate is left to
// it until it must have stopped.
void FleetExchange::evaluatePeers(Time Now, bool Leaving) {
  this->DomainPeers = 0;
  this->RemotePeers = 0;
  uint32_t DomainHeard = 1;
  uint32_t Heard = 1;
  uint32_t Serving = 1;
  Duration RemoteTimeout = peerTimeout(placingInterval(this->PlacingPeers));
  for (const auto &Item : this->Link.peers()) {
    const FleetPeer &P = Item.second;
    this->DomainPeers += P.SameDomain ? 1 : 0;
    this->RemotePeers += P.SameDomain ? 0 : 1;
    Duration Timeout = P.SameDomain ? MinPeerTimeout : RemoteTimeout;
    Time Last = this->lastHeard(P);
    if (Now - P.LastHeard >= Timeout) {
      this->Relay.forgetPeer(P.Id);
    }
    if (Now - Last < Timeout) {
      ++Serving;
      ++Heard;
      DomainHeard += P.SameDomain ? 1 : 0;
    } else if (Now - std::max(Last, P.AddedAt) < SilentPeerServingTime) {
      ++Serving;
    }
  }
  bool LevelsArrive =
      this->followsOwner() && Now - this->LastLevels < LevelsTimeout;
  if (this->followsOwner() && !LevelsArrive) {
    // Hosts of other domains are not heard directly. All of them that were
    // known to serve may still do so.
    this->applyFleetSize(DomainHeard, std::max(Serving, this->ServingHosts));
  } else if (!this->followsOwner()) {
    this->applyFleetSize(Heard, Serving);
  }
  this->Relay.quota().setFollowsOwner(LevelsArrive);
  this->chooseOwners(Now, Leaving);
  this->updateRolloutTouch(Now);
  this->removeSilentPeers(Now);
  this->chooseTunnelPeers(Now);
}

void FleetExchange::applyFleetSize(uint32_t Heard, uint32_t Serving) {
  if (Heard < this->HeardHosts) {
    this->Relay.recordHostsLost();
  }
  this->HeardHosts = std::max(1U, Heard);
  this->ServingHosts = std::max(this->HeardHosts, Serving);
  Time Now = ProcessClock::now();
  std::pair<uint32_t, uint32_t> Size{this->HeardHosts, this->ServingHosts};
  if (Size != this->LoggedSize && Now - this->SizeLoggedAt >= SizeLogInterval) {
    this->LoggedSize = Size;
    this->SizeLoggedAt = Now;
    logImportantEvent("fleet", {{"heard", this->HeardHosts},
                                {"serving", this->ServingHosts},
                                {"owner", toHex(this->Owner.Value)},
                                {"placing-peers", this->PlacingPeers}});
  }
  double Share = this->HeardHosts == 1 ? 1.0 / this->ServingHosts
                                       : static_cast<double>(this->HeardHosts) /
                                             this->ServingHosts;
  this->Directory.setPeerCount(this->HeardHosts - 1);
  this->Relay.quota().setRateShare(Share);
  this->Relay.quota().setHosts(this->ServingHosts, this->SelfId.Value);
  this->Relay.setHosts(this->ServingHosts);
}

// The owner of the own domain follows from the hosts heard there. Of another
// domain, only hosts that place requests send anything. In a domain too small
// for an owner, all hosts do.
void FleetExchange::chooseOwners(Time Now, bool Leaving) {
  std::vector<OwnerCandidate> Candidates;
  if (!Leaving) {
    Candidates.push_back({this->SelfId, this->Self.Cores});
  }
  Duration RemoteTimeout = peerTimeout(placingInterval(this->PlacingPeers));
  std::map<std::string, std::vector<OwnerCandidate>> RemoteDomains;
  std::set<std::string> HeardDomains;
  this->PlacingPeers = 0;
  std::set<HostId> Placing;
  for (const auto &Item : this->Link.peers()) {
    const FleetPeer &P = Item.second;
    if (P.SameDomain) {
      if (Now - P.LastHeard < MinPeerTimeout && !P.Leaving) {
        Candidates.push_back({P.Id, P.Host.Cores});
      }
      continue;
    }
    RemoteDomains[P.Host.Domain].push_back({P.Id, P.Host.Cores});
    if (Now - P.LastHeard < RemoteTimeout) {
      ++this->PlacingPeers;
      HeardDomains.insert(P.Host.Domain);
      Placing.insert(P.Id);
    }
  }
  for (auto &Item : RemoteDomains) {
    size_t Count = Item.second.size();
    if (hasOwner(Count)) {
      bool Heard = HeardDomains.count(Item.first) != 0;
      Count = Heard ? 0 : std::min(LikelyOwners, Count);
    }
    rankCandidates(Item.second);
    for (size_t I = 0; I < Count; ++I) {
      Placing.insert(Item.second[I].Host);
    }
  }
  if (!std::includes(this->Placing.begin(), this->Placing.end(),
                     Placing.begin(), Placing.end())) {
    this->DomainCounts.restart();
  }
  this->Link.markPlacingPeers(Placing);
  this->Placing = std::move(Placing);
  this->Owner = chooseOwner(Candidates);
  bool Follows = this->followsOwner();
  this->Relay.setRemoteHosts(Follows ? this->RemotePeers : this->PlacingPeers);
  this->Relay.setOwner(Follows ? this->Owner : HostId());
  if (!Follows) {
    this->Relay.setOwnerDepartingTargets({});
  }
  this->Directory.setLeader(!Follows, this->ownsDomain(), bootTime());
  this->Relay.setArchiveRole(
      archiveRole(this->SelfId, this->ownsDomain(), this->streamPeers(Now)));
  this->shareLimits();
}

// Every host has the same entries of hosts from the store, so all choose nearly
// the same sharers.
void FleetExchange::shareLimits() {
  std::vector<HostId> All{this->SelfId};
  std::vector<HostId> Placing{this->Owner.isValid() ? this->Owner
                                                    : this->SelfId};
  for (const auto &Item : this->Link.peers()) {
    const FleetPeer &P = Item.second;
    All.push_back(P.Id);
    if (P.SameDomain ? !this->Owner.isValid()
                     : this->Placing.count(P.Id) != 0) {
      Placing.push_back(P.Id);
    }
  }
  this->Relay.setLimitHosts(this->SelfId, Placing, All);
}

// Only hosts of the same domain remove an entry, and of these only the owner,
// since each call to the store has a price.
void FleetExchange::removeSilentPeers(Time Now) {
  if (this->followsOwner()) {
    return;
  }
  std::vector<std::string> Silent;
  for (const auto &Item : this->Link.peers()) {
    const FleetPeer &P = Item.second;
    if (P.SameDomain &&
        Now - std::max(P.LastHeard, P.AddedAt) > PeerRemovalDelay) {
      Silent.push_back(P.Host.Name);
    }
  }
  for (const std::string &Name : Silent) {
    this->Link.removePeer(Name);
    this->Relayed.forget(hostId(Name));
    this->Directory.removeHost(Name);
  }
}

} // namespace shallotlatch
