#include "crash_guard_p.h"

#include "event_log_p.h"

#include <algorithm>

namespace shallotlatch {

// Longest time between a broken connection and the discovery that its target is
// dead for which the request counts as a cause of the crash.
static constexpr Duration DeathWindow = seconds(3);
static constexpr size_t MaxSuspectedCrashes = 256;
static constexpr size_t MaxTallies = 1024;

void CrashGuard::onConnectionBroken(const std::string &Instance,
                                    Fingerprint Print, Time Now) {
  this->SuspectedCrashes.push_back({Instance, Print, Now});
  if (this->SuspectedCrashes.size() > MaxSuspectedCrashes) {
    this->SuspectedCrashes.pop_front();
  }
}

void CrashGuard::onTargetDied(const std::string &Instance, Time Now) {
  std::deque<SuspectedCrash> Remaining;
  for (const SuspectedCrash &S : this->SuspectedCrashes) {
    if (Now - S.BrokenAt > DeathWindow) {
      continue;
    }
    if (S.Instance != Instance) {
      Remaining.push_back(S);
      continue;
    }
    if (this->Tallies.size() >= MaxTallies) {
      // The table is bounded: once it is full, counting starts again.
      this->Tallies.clear();
    }
    Tally &T = this->Tallies[S.Print];
    ++T.Own;
    T.LastCrash = Now;
    logImportantEvent("crash-counted", {{"target", Instance},
                                        {"content", toHex(S.Print.Value)},
                                        {"crashes", T.total()},
                                        {"limit", this->Init.Limit}});
  }
  this->SuspectedCrashes.swap(Remaining);
}

// Each host reports only the crashes that it saw itself. The count kept for a
// peer only grows: a restarted peer counts from zero, but its earlier crashes
// did happen.
void CrashGuard::mergePeerCounts(HostId Peer,
                                 const std::vector<CrashTally> &Reported,
                                 Time Now) {
  for (const CrashTally &C : Reported) {
    if (this->Tallies.size() >= MaxTallies &&
        this->Tallies.count(C.Print) == 0) {
      return;
    }
    Tally &T = this->Tallies[C.Print];
    uint32_t &KnownCount = T.Peers[Peer];
    if (C.Count > KnownCount) {
      KnownCount = C.Count;
      T.LastCrash = Now;
      logImportantEvent("crash-learned", {{"peer", toHex(Peer.Value)},
                                          {"content", toHex(C.Print.Value)},
                                          {"crashes", T.total()},
                                          {"limit", this->Init.Limit}});
    }
  }
}

uint32_t CrashGuard::Tally::total() const {
  uint32_t Sum = this->Own;
  for (const auto &Item : this->Peers) {
    Sum += Item.second;
  }
  return Sum;
}

bool CrashGuard::isQuarantined(Fingerprint Print, Time Now) const {
  auto It = this->Tallies.find(Print);
  return It != this->Tallies.end() && It->second.total() >= this->Init.Limit &&
         Now - It->second.LastCrash < this->Init.Quarantine;
}

std::vector<CrashTally> CrashGuard::localTallies(Time Now) const {
  std::vector<CrashTally> Out;
  for (const auto &Item : this->Tallies) {
    if (Item.second.Own > 0 &&
        Now - Item.second.LastCrash < this->Init.Quarantine) {
      Out.push_back({Item.first, Item.second.Own});
    }
  }
  return Out;
}

} // namespace shallotlatch
