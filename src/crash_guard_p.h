/// \file
/// Detection of requests whose content crashes the targets that run them. The
/// crashes are counted over the whole fleet; after a number of them, requests
/// with that content are refused.
#pragma once

#include "shallotlatch/types.h"

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallotlatch {

/// Number of runs of one request content that ended with a crash of the target.
struct CrashTally {
  Fingerprint Print;
  uint32_t Count = 0;
};

/// Settings of the crash guard.
struct CrashGuardInit {
  uint32_t Limit = 3; ///< Number of crashes from which a content is refused.
  /// Time since the last crash for which a content is refused.
  Duration Quarantine = seconds(60);
};

/// A connection that breaks during a request counts as a crash only if the
/// target is then found dead. Other requests that the target ran are counted
/// too, but only a content that is sent repeatedly reaches the limit.
class CrashGuard {
public:
  explicit CrashGuard(const CrashGuardInit &Init) : Init(Init) {}

  /// Records that the connection to \p Instance broke while it ran a request
  /// with the content \p Print.
  void onConnectionBroken(const std::string &Instance, Fingerprint Print,
                          Time Now);
  /// Counts the recorded requests of \p Instance, which was found dead or began
  /// a new run.
  void onTargetDied(const std::string &Instance, Time Now);
  /// Merges the crashes that \p Peer itself saw since its process began.
  void mergePeerCounts(HostId Peer, const std::vector<CrashTally> &Tallies,
                       Time Now);
  /// Returns whether requests with the content \p Print are refused.
  bool isQuarantined(Fingerprint Print, Time Now) const;
  /// Returns the crashes that this host itself saw, for its peers.
  std::vector<CrashTally> localTallies(Time Now) const;

private:
  struct SuspectedCrash {
    std::string Instance;
    Fingerprint Print;
    Time BrokenAt;
  };
  struct Tally {
    uint32_t Own = 0;                           ///< Crashes seen by this host.
    std::unordered_map<HostId, uint32_t> Peers; ///< Crashes seen by each peer.
    Time LastCrash;
    uint32_t total() const;
  };

  CrashGuardInit Init;
  std::deque<SuspectedCrash> SuspectedCrashes;
  std::unordered_map<Fingerprint, Tally> Tallies;
};

} // namespace shallotlatch
