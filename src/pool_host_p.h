/// \file
/// Pool owner role: the pools that this host owns according to its own view of
/// the membership.
#pragma once

#include "crash_counts_p.h"
#include "membership_p.h"
#include "pool_p.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace shallotlatch {

/// Result of polling one target for its load report.
struct TargetReport {
  bool Reached = false;          ///< The target answered the poll.
  bool Leaving = false;          ///< The target takes no new requests.
  std::vector<uint32_t> Evicted; ///< Prefix hashes evicted from its cache.
};

/// Schedulers of the owned pools. A pool is created by the first message of an
/// entry host and destroyed when it is idle.
class PoolOwner {
public:
  PoolOwner(NodeEnv &Env, Membership &Members, CrashCounts &SharedState);

  void onAsk(HostId From, const SlotRequest &A);
  void onWithdraw(HostId From, const Withdrawal &W);
  void onRelease(HostId From, const Release &R);
  void onStarted(HostId From, const FirstTokenNotice &S);
  void onProgress(const StreamProgress &P);
  void onHoldList(HostId From, const EntryStateReport &L);
  void onReport(TargetId Target, const TargetReport &R);
  /// Drops the asks of a host that failed, left or restarted.
  void onHostLost(HostId Host);
  /// Applies a new configuration to all pools.
  void reconfigure();
  /// Polls targets, runs the schedulers and destroys idle pools.
  void tick();
  std::vector<PoolStats> stats() const;
  std::vector<TargetStats> targets() const;

private:
  struct OwnedPool {
    std::unique_ptr<Pool> Scheduler;
    Time LastUsed; ///< Time of the last ask or hold list.
  };

  /// Returns nullptr if this host has no such pool.
  Pool *find(PoolId Id);
  /// Returns nullptr if the configuration has no target in that pool.
  Pool *findOrCreate(PoolId Id);
  void configure(PoolId Id, Pool &P);
  void sendReplies(PoolReplies &Replies);
  /// Polls every target of the owned pools.
  void poll();
  /// Passes the current target notes to all pools.
  void applyTargetNotes();

  NodeEnv &Env;
  Membership &Members;
  CrashCounts &SharedState; ///< Crash counts and target notes of the fleet.
  std::map<PoolId, OwnedPool> Pools;
  Time NextPoll;
  uint64_t SeenNotesEpoch = 0; ///< Epoch of the target notes last applied.
};

} // namespace shallotlatch
