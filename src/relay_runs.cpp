// Process runs of targets that may have been replaced under their entries.
#include "relay_p.h"

#include "event_log_p.h"
#include "sockets_p.h"

namespace shallotlatch {

// Interval at which open connections are compared with the runs in doubt.
static constexpr Duration RunCheckInterval = millis(50);

void RequestRelay::suspectRun(uint32_t Run, const char *Why) {
  if (this->ServiceOfTarget.count(Run) == 0) {
    return;
  }
  Time Now = ProcessClock::now();
  if (this->Doubts.size() == 0) {
    this->compareConnections(Now);
  }
  if (this->Doubts.suspect(Run, Now)) {
    logEvent("run-in-doubt", {{"run", Run}, {"why", Why}});
  }
}

// A peer that is cut off finds all targets dead.
void RequestRelay::hearDeadTargets(HostId Peer,
                                   const std::vector<uint32_t> &Dead) {
  std::vector<uint32_t> Known;
  for (uint32_t Run : Dead) {
    if (this->ServiceOfTarget.count(Run) != 0) {
      Known.push_back(Run);
    }
  }
  if (Known.empty()) {
    return;
  }
  Time Now = ProcessClock::now();
  if (this->Doubts.size() == 0) {
    this->compareConnections(Now);
  }
  if (this->Doubts.isGeneral(Known.size())) {
    return;
  }
  for (uint32_t Run : Known) {
    if (this->Doubts.hear(Run, Now)) {
      logEvent("run-in-doubt",
               {{"run", Run}, {"why", "peer"}, {"peer", toHex(Peer.Value)}});
    }
  }
}

void RequestRelay::compareConnections(Time Now) {
  size_t Connected = 0;
  for (const auto &Item : this->TargetClient.oldestConnections()) {
    uint32_t Run = static_cast<uint32_t>(Item.first);
    if (this->Doubts.confirm(Run, Item.second, Now)) {
      logEvent("run-confirmed", {{"run", Run}});
    }
    Connected += this->Doubts.isOpen(Run) ? 0 : 1;
  }
  this->Doubts.setConnected(Connected);
}

void RequestRelay::tickRuns(Time Now) {
  if (Now < this->NextRunCheck) {
    return;
  }
  this->NextRunCheck = Now + RunCheckInterval;
  this->Doubts.tick(Now,
                    this->StoreView.age(DirectoryKind::Targets, bootTime()),
                    this->StoreView.reachable());
  if (this->Doubts.size() > 0) {
    this->compareConnections(Now);
  }
}

void RequestRelay::onIdleLost(uint64_t ServerIdentity) {
  this->suspectRun(static_cast<uint32_t>(ServerIdentity), "idle-closed");
}

} // namespace shallotlatch
