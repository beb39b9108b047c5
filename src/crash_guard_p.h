/// \file
/// Requests whose content crashes the targets that run them: counted over the
/// whole fleet, and refused after a number of crashes.
#pragma once

#include "shallotlatch/types.h"

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallotlatch {

/// Runs of one request's content that ended with the target's crash.
struct CrashTally {
  Fingerprint Print;
  uint32_t Count = 0;
};

struct CrashGuardInit {
  uint32_t Limit = 3;                ///< Crashes before a content is refused.
  Duration Quarantine = seconds(60); ///< Since its last crash.
};

/// A connection that breaks under a request is a crash only if the target is
/// then found dead; requests beside it are blamed too, but only a content that
/// comes again collects blame.
class CrashGuard {
public:
  explicit CrashGuard(const CrashGuardInit &Init) : Init(Init) {}

  /// The connection to \p Instance broke while it ran a request.
  void onConnectionBroken(const std::string &Instance, Fingerprint Print,
                          Time Now);
  /// \p Instance turned out to be dead, or began a new run.
  void onTargetDied(const std::string &Instance, Time Now);
  /// What \p Peer saw itself since its process began.
  void mergePeerCounts(HostId Peer, const std::vector<CrashTally> &Tallies,
                       Time Now);
  bool isQuarantined(Fingerprint Print, Time Now) const;
  /// What this host saw itself, for peers.
  std::vector<CrashTally> localTallies(Time Now) const;

private:
  struct SuspectedCrash {
    std::string Instance;
    Fingerprint Print;
    Time BrokenAt;
  };
  struct Tally {
    uint32_t Own = 0; ///< Seen by this host.
    std::unordered_map<HostId, uint32_t> Peers;
    Time LastCrash;
    uint32_t total() const;
  };

  CrashGuardInit Init;
  std::deque<SuspectedCrash> SuspectedCrashes;
  std::unordered_map<Fingerprint, Tally> Tallies;
};

} // namespace shallotlatch
