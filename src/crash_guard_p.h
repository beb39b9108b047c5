/// \file
/// Detection of requests that crash the targets that run them. Which targets
/// crashed is known over the whole fleet; from a number of crashes on, requests
/// that hold the content or the prompt part in question are refused.
#pragma once

#include "crash_evidence_p.h"

#include <deque>
#include <map>
#include <string>

namespace shallotlatch {

/// How an attempt at a target ended, as far as it tells of a crash.
struct CrashAttempt {
  std::string Instance;
  uint32_t Target = 0; ///< Short identity of the target's process.
  CrashPrints Prints;
  Time SentAt;
};

/// A connection that breaks before an answer has well begun counts as a crash
/// only if the target is then found dead, by this host or by a peer.
class CrashGuard {
public:
  explicit CrashGuard(const CrashGuardInit &Init)
      : Init(Init), Evidence(Init) {}

  /// Records that the connection to a target broke before it had well begun to
  /// answer.
  void onConnectionBroken(const CrashAttempt &Attempt, Time Now);
  /// Records that a target completed an answer, or the better part of one.
  void onSurvived(const CrashPrints &Prints, Time Now) {
    this->Evidence.addSurvival(Prints, Now, Now);
  }
  /// Counts the recorded attempts at the process \p Target, which was found
  /// dead.
  void onTargetDied(uint32_t Target, Time Now);
  /// Merges what a peer knows: crashes, and targets that it found dead.
  void merge(const std::vector<CrashReport> &Reports,
             const std::vector<uint32_t> &DeadTargets, Time Now);
  /// Whether requests with these prints are refused.
  bool isQuarantined(const CrashPrints &Prints, Time Now) {
    return this->Evidence.isQuarantined(Prints, Now);
  }
  /// Returns what peers need to know.
  std::vector<CrashReport> report(Time Now) {
    return this->Evidence.report(Now);
  }
  /// Targets that this host found dead within the last seconds.
  std::vector<uint32_t> deadTargets(Time Now);
  /// Changes whenever there is something new for the peers.
  uint64_t version() const { return this->Version + this->Evidence.version(); }
  size_t suspectCount() const { return this->Evidence.suspectCount(); }
  size_t quarantineCount(Time Now) {
    return this->Evidence.quarantineCount(Now);
  }

private:
  struct SuspectedCrash {
    CrashAttempt Attempt;
    Time BrokenAt;
  };
  void confirmCrashes(uint32_t Target, Time Now);

  CrashGuardInit Init;
  CrashEvidence Evidence;
  std::deque<SuspectedCrash> SuspectedCrashes;
  std::map<uint32_t, Time> DeadTargets; ///< With the times of their discovery.
  uint64_t Version = 0;
};

} // namespace shallotlatch
