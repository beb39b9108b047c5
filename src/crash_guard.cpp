#include "crash_guard_p.h"

#include "event_log_p.h"

#include <algorithm>

namespace shallotlatch {

// A target found dead this long after a connection broke died of it.
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
  std::deque<SuspectedCrash> Left;
  for (const SuspectedCrash &S : this->SuspectedCrashes) {
    if (Now - S.BrokenAt > DeathWindow) {
      continue;
    }
    if (S.Instance != Instance) {
      Left.push_back(S);
      continue;
    }
    if (this->Tallies.size() >= MaxTallies) {
      this->Tallies.clear(); // Bounded; counting begins anew.
    }
    Tally &T = this->Tallies[S.Print];
    ++T.Own;
    T.LastCrash = Now;
    logBelief("crash-counted", {{"target", Instance},
                                {"content", toHex(S.Print.Value)},
                                {"crashes", T.total()},
                                {"limit", this->Init.Limit}});
  }
  this->SuspectedCrashes.swap(Left);
}

// Each host tells only what it saw itself, and its count may only grow here:
// after its restart it begins anew, while the crashes did happen.
void CrashGuard::mergePeerCounts(HostId Peer,
                                 const std::vector<CrashTally> &Heard,
                                 Time Now) {
  for (const CrashTally &C : Heard) {
    if (this->Tallies.size() >= MaxTallies &&
        this->Tallies.count(C.Print) == 0) {
      return;
    }
    Tally &T = this->Tallies[C.Print];
    uint32_t &Known = T.Peers[Peer];
    if (C.Count > Known) {
      Known = C.Count;
      T.LastCrash = Now;
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
