/// \file
/// The pool owner role: the pools that this host owns, or thinks it owns.
#pragma once

#include "crash_counts_p.h"
#include "membership_p.h"
#include "pool_p.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace shallotlatch {

/// Load report of one target, as polled.
struct TargetReport {
  bool Reached = false;
  bool Leaving = false;
  std::vector<uint32_t> Evicted; ///< Prefix hashes dropped from its cache.
};

/// Pools appear when an entry host first asks for one and go when idle.
class PoolOwner {
public:
  PoolOwner(NodeEnv &Env, Membership &Members, CrashCounts &SharedState);

  void onAsk(HostId From, const Ask &A);
  void onWithdraw(HostId From, const Withdraw &W);
  void onRelease(HostId From, const Release &R);
  void onStarted(HostId From, const Started &S);
  void onProgress(const Progress &P);
  void onHoldList(HostId From, const HoldList &L);
  void onReport(TargetId Target, const TargetReport &R);
  void onHostLost(HostId Host);
  /// A new configuration is in force.
  void reconfigure();
  void tick();
  std::vector<PoolStats> stats() const;
  std::vector<TargetStats> targets() const;

private:
  struct OwnedPool {
    std::unique_ptr<Pool> Scheduler;
    Time LastUsed;
  };

  Pool *find(PoolId Id);
  Pool *findOrCreate(PoolId Id);
  void configure(PoolId Id, Pool &P);
  void sendReplies(PoolReplies &Replies);
  void poll();
  void applyTargetNotes();

  NodeEnv &Env;
  Membership &Members;
  CrashCounts &SharedState;
  std::map<PoolId, OwnedPool> Pools;
  Time NextPoll;
  uint64_t SeenNotesEpoch = 0; ///< Epoch of the notes that the pools know.
};

} // namespace shallotlatch
