#include "target_paths_p.h"

#include <algorithm>

namespace shallotlatch {

// Peers that one request asks for a tunnel to one target. Hosts of one failure
// domain lose their paths together, so it takes one more than the failure
// domains that a deployment may lose at a time.
static constexpr size_t MaxPeersAsked = 3;
// Peers of the own failure domain that are believed to say that a target is
// down. Of two hosts that lose their paths together, one has noticed it by
// then.
static constexpr uint32_t WordsOfOwnDomain = 2;
// Lost paths from which on the fault is taken to lie with this host, if no own
// connection has shown a sign of life for `IsolationSilence`. One alone may be
// the fault of the target's link.
static constexpr uint32_t MinLostForIsolation = 2;
static constexpr Duration IsolationSilence = seconds(1);
// Time without a byte from any target after which paths are probed while
// answers are awaited from several targets. A single target may fall silent for
// a second and go on.
static constexpr Duration SilenceBeforeProbe = seconds(1);
static constexpr size_t MinSilentTargets = 2;
static constexpr Duration SilenceProbeInterval = millis(500);
// Time for which an own connection shows that this host reaches targets. Hosts
// with little to do seldom connect anew.
static constexpr Duration ConnectMemory = seconds(2);
// Time until a lost path is probed; it doubles with each failure.
static constexpr Duration MinProbeDelay = millis(500);
static constexpr Duration MaxProbeDelay = seconds(4);
// Probes of one call of `takeProbes`, as connections to targets have a price.
static constexpr size_t MaxProbesAtOnce = 2;
// Time for which a peer that gave no tunnel is asked after the others, and the
// same if it does not answer: an earlier release has no tunnels.
static constexpr Duration RefusingPeerDelay = seconds(1);
static constexpr Duration SilentPeerDelay = seconds(5);

// The hosts of a failure domain lose their paths together, and one that has
// just lost them does not know it. So the word of a peer of the own domain
// needs that of another host.
void RouteAttempts::noteRefusal(const TunnelPeer &Peer,
                                std::optional<TunnelRefusal> Why) {
  this->Peers.push_back(Peer.Id);
  this->TargetBarred = Why == TunnelRefusal::TargetBarred;
  if (Why == TunnelRefusal::Unreachable) {
    ++this->SaidDown;
    this->TargetDown = !Peer.SameDomain || this->SaidDown >= WordsOfOwnDomain;
  }
}

void TargetPaths::addTarget(TargetRunId Target) { this->Paths[Target]; }

void TargetPaths::removeTarget(TargetRunId Target) {
  auto It = this->Paths.find(Target);
  if (It != this->Paths.end()) {
    this->setLost(It->second, false);
    this->Paths.erase(It);
  }
}

void TargetPaths::setPeers(std::vector<TunnelPeer> Next) {
  std::map<HostId, PeerState> Kept;
  for (TunnelPeer &Peer : Next) {
    auto It = this->Peers.find(Peer.Id);
    PeerState &State = Kept[Peer.Id];
    if (It != this->Peers.end()) {
      State = It->second;
    }
    State.Peer = std::move(Peer);
  }
  this->Peers.swap(Kept);
}

TargetPaths::Path *TargetPaths::find(TargetRunId Target) {
  auto It = this->Paths.find(Target);
  return It == this->Paths.end() ? nullptr : &It->second;
}

void TargetPaths::setLost(Path &P, bool Lost) {
  if (P.Lost != Lost) {
    P.Lost = Lost;
    this->LostCount += Lost ? 1 : -1;
  }
}

bool TargetPaths::isLost(TargetRunId Target) const {
  auto It = this->Paths.find(Target);
  return It != this->Paths.end() && It->second.Lost;
}

bool TargetPaths::isIsolated(Time Now) const {
  return this->LostCount >= MinLostForIsolation &&
         (!this->LastSign || Now - *this->LastSign > IsolationSilence);
}

bool TargetPaths::reachesTargets(Time Now) const {
  return this->LastConnect && Now - *this->LastConnect < ConnectMemory &&
         !this->isIsolated(Now);
}

TargetPathStats TargetPaths::stats(Time Now) const {
  return {this->LostCount, this->isIsolated(Now)};
}

// Peers that gave a tunnel or were not asked lately come first, those of the
// own failure domain before the others; among equals the load is spread. Hosts
// of one failure domain lose their paths together, so once a peer has refused,
// the others come first.
std::optional<TunnelPeer>
TargetPaths::choosePeer(const std::vector<HostId> &Asked, Time Now) {
  std::vector<const PeerState *> Best;
  bool PreferOwn = Asked.empty();
  auto RankOf = [Now, PreferOwn](const PeerState &State) {
    return (Now < State.RefusesUntil ? 2 : 0) +
           (State.Peer.SameDomain == PreferOwn ? 0 : 1);
  };
  for (const auto &Item : this->Peers) {
    if (std::find(Asked.begin(), Asked.end(), Item.first) != Asked.end()) {
      continue;
    }
    const PeerState &State = Item.second;
    if (!Best.empty() && RankOf(State) > RankOf(*Best.front())) {
      continue;
    }
    if (!Best.empty() && RankOf(State) < RankOf(*Best.front())) {
      Best.clear();
    }
    Best.push_back(&State);
  }
  if (Best.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<size_t> Draw(0, Best.size() - 1);
  return Best[Draw(this->Random)]->Peer;
}

std::optional<TargetRoute>
TargetPaths::choose(TargetRunId Target, const RouteAttempts &Tried, Time Now) {
  if (Tried.TargetDown || Tried.TargetBarred) {
    return std::nullopt;
  }
  const Path *P = this->find(Target);
  bool PeersFirst = P != nullptr && (P->Lost || this->isIsolated(Now));
  if ((PeersFirst || Tried.Direct) && Tried.Peers.size() < MaxPeersAsked) {
    std::optional<TunnelPeer> Peer = this->choosePeer(Tried.Peers, Now);
    if (Peer) {
      return TargetRoute{Peer};
    }
  }
  if (Tried.Direct) {
    return std::nullopt;
  }
  return TargetRoute{};
}

void TargetPaths::sent(TargetRunId Target, Time Now) {
  Path *P = this->find(Target);
  if (P != nullptr && P->Awaited++ == 0) {
    P->AwaitedSince = Now;
  }
}

void TargetPaths::ended(TargetRunId Target) {
  Path *P = this->find(Target);
  if (P != nullptr && P->Awaited > 0) {
    --P->Awaited;
  }
}

void TargetPaths::heard(TargetRunId Target, Time Now) {
  Path *P = this->find(Target);
  if (P != nullptr) {
    P->AwaitedSince = Now;
    this->WasIsolated = this->WasIsolated || this->isIsolated(Now);
    this->LastSign = Now;
  }
}

// An open connection may live on while new ones fail, so only a new one shows
// that the path is back.
void TargetPaths::connected(TargetRunId Target, Time Now) {
  Path *P = this->find(Target);
  if (P != nullptr) {
    // The paths of an isolated host were lost together and come back together.
    if (this->WasIsolated || this->isIsolated(Now)) {
      for (auto &Item : this->Paths) {
        this->setLost(Item.second, false);
        Item.second.FailedAt.reset();
      }
    }
    this->WasIsolated = false;
    this->LastSign = Now;
    this->LastConnect = Now;
    this->setLost(*P, false);
    P->FailedAt.reset();
    P->ProbeDelay = Duration(0);
  }
}

void TargetPaths::scheduleProbe(Path &P, Time Now) {
  P.ProbeDelay = std::clamp(P.ProbeDelay * 2, MinProbeDelay, MaxProbeDelay);
  P.NextProbeAt = Now + P.ProbeDelay;
}

void TargetPaths::failed(TargetRunId Target, PathFailure How, Time Now) {
  Path *P = this->find(Target);
  if (P == nullptr) {
    return;
  }
  P->FailedAt = Now;
  if (How == PathFailure::Silent) {
    // A second silent connection would take as long; a peer tells sooner.
    this->setLost(*P, true);
    this->scheduleProbe(*P, Now);
  }
}

bool TargetPaths::tunnelOpened(TargetRunId Target, HostId Peer, Time Now) {
  auto State = this->Peers.find(Peer);
  if (State != this->Peers.end()) {
    State->second.RefusesUntil = Time();
  }
  Path *P = this->find(Target);
  if (P == nullptr || P->Lost || !P->FailedAt) {
    return false;
  }
  this->setLost(*P, true);
  this->scheduleProbe(*P, Now);
  return true;
}

void TargetPaths::tunnelRefused(TargetRunId Target, HostId Peer,
                                std::optional<TunnelRefusal> Why, Time Now) {
  auto State = this->Peers.find(Peer);
  bool OfTarget =
      Why == TunnelRefusal::Unreachable || Why == TunnelRefusal::TargetBarred;
  if (State != this->Peers.end() && !OfTarget) {
    State->second.RefusesUntil =
        Now + (Why ? RefusingPeerDelay : SilentPeerDelay);
  }
}

void TargetPaths::targetDown(TargetRunId Target) {
  Path *P = this->find(Target);
  if (P != nullptr) {
    this->setLost(*P, false);
    P->FailedAt.reset();
  }
}

std::vector<TargetRunId> TargetPaths::takeProbes(Time Now) {
  std::vector<TargetRunId> Probes;
  bool Quiet = !this->LastSign || Now - *this->LastSign >= SilenceBeforeProbe;
  std::vector<TargetRunId> Silent;
  for (auto &Item : this->Paths) {
    Path &P = Item.second;
    if (P.Lost) {
      if (Now >= P.NextProbeAt && Probes.size() < MaxProbesAtOnce) {
        this->scheduleProbe(P, Now);
        Probes.push_back(Item.first);
      }
    } else if (Quiet && P.Awaited > 0 &&
               Now - P.AwaitedSince >= SilenceBeforeProbe) {
      Silent.push_back(Item.first);
    }
  }
  if (Silent.size() >= MinSilentTargets && Now >= this->NextSilenceProbeAt) {
    this->NextSilenceProbeAt = Now + SilenceProbeInterval;
    Silent.resize(std::min(Silent.size(), MaxProbesAtOnce));
    Probes.insert(Probes.end(), Silent.begin(), Silent.end());
  }
  return Probes;
}

void TargetPaths::probeFailed(TargetRunId Target, Time Now) {
  Path *P = this->find(Target);
  if (P != nullptr && !P->Lost) {
    P->FailedAt = Now;
    this->setLost(*P, true);
    this->scheduleProbe(*P, Now);
  }
}

} // namespace shallotlatch
