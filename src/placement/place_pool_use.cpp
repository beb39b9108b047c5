// Use of the targets: what peers report, what this host reports, and sums.
#include "place_pool_p.h"

namespace shallotlatch {

void ServiceScheduler::applyUses(const std::vector<TargetUse> &Uses, int Sign) {
  for (const TargetUse &U : Uses) {
    auto It = this->ByHash.find(U.Target);
    if (It != this->ByHash.end()) {
      Target &T = *It->second;
      T.PeerRunning += static_cast<uint32_t>(Sign) * U.Running;
      T.PeerPromptTokens += Sign * static_cast<double>(U.PromptTokens);
    }
  }
}

void ServiceScheduler::peerUse(HostId Peer, const std::vector<TargetUse> &Uses,
                               Time) {
  std::vector<TargetUse> &Known = this->PeerUses[Peer];
  this->applyUses(Known, -1);
  Known = Uses;
  this->applyUses(Known, 1);
}

void ServiceScheduler::forgetPeer(HostId Peer) {
  auto It = this->PeerUses.find(Peer);
  if (It != this->PeerUses.end()) {
    this->applyUses(It->second, -1);
    this->PeerUses.erase(It);
  }
}

// Reports of peers change the sums directly, so this is needed only when the
// set of targets changes.
void ServiceScheduler::rebuildPeerUse() {
  this->ByHash.clear();
  for (auto &Item : this->Targets) {
    Item.second.PeerRunning = 0;
    Item.second.PeerPromptTokens = 0;
    this->ByHash[instanceHash(Item.first)] = &Item.second;
  }
  for (const auto &Peer : this->PeerUses) {
    this->applyUses(Peer.second, 1);
  }
}

std::vector<TargetUse> ServiceScheduler::ownUse() const {
  std::vector<TargetUse> Uses;
  for (const auto &Item : this->Targets) {
    const Target &T = Item.second;
    if (T.OwnRunning > 0) {
      Uses.push_back({instanceHash(Item.first), T.OwnRunning,
                      static_cast<uint32_t>(T.OwnPromptTokens)});
    }
  }
  return Uses;
}

std::vector<std::string>
ServiceScheduler::instances(const std::vector<uint32_t> &Hashes) const {
  std::vector<std::string> Names;
  for (uint32_t Hash : Hashes) {
    auto It = this->ByHash.find(Hash);
    if (It != this->ByHash.end()) {
      Names.push_back(It->second->Entry.Instance);
    }
  }
  return Names;
}

ServiceSchedulerStats ServiceScheduler::stats() const {
  ServiceSchedulerStats S;
  for (const auto &Item : this->Targets) {
    const Target &T = Item.second;
    ++S.Targets;
    S.Usable += T.Entry.Leaving ? 0 : 1;
    S.Slots += T.Entry.Leaving ? 0 : T.Entry.Slots;
    S.SpeedLimited += T.Limit.isLimited() ? 1 : 0;
    S.Running += T.OwnRunning + T.PeerRunning;
  }
  S.Waiting = static_cast<uint32_t>(this->Queue.size());
  if (this->Features.PredictWaits && this->Engine && S.Waiting > 0) {
    S.PredictedWait = this->Flow.waitBehind(S.Waiting, this->DecidedAt);
  }
  return S;
}

} // namespace shallotlatch
