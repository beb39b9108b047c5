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
class PoolHost {
public:
  PoolHost(NodeEnv &Env, Membership &Members, CrashCounts &Shared);

  void onAsk(HostId From, const SlotRequest &A);
  void onWithdraw(HostId From, const Withdrawal &W);
  void onRelease(HostId From, const Release &R);
  void onStarted(HostId From, const FirstTokenNotice &S);
  void onProgress(const StreamProgress &P);
  void onHoldList(HostId From, const EntryStateReport &L);
  void onReport(TargetId Target, const TargetReport &R);
  void hostGone(HostId Host);
  /// A new configuration is in force.
  void reconfigure();
  void tick();
  std::vector<PoolStats> stats() const;
  std::vector<TargetStats> targets() const;

private:
  struct Owned {
    std::unique_ptr<Pool> Decisions;
    Time LastAsk;
  };

  Pool *find(PoolId Id);
  Pool *open(PoolId Id);
  void configure(PoolId Id, Pool &P);
  void send(PoolReplies &Replies);
  void poll();
  void applyNotes();

  NodeEnv &Env;
  Membership &Members;
  CrashCounts &Shared;
  std::map<PoolId, Owned> Pools;
  Time NextPoll;
  uint64_t SeenNotes = 0; ///< Epoch of the notes that the pools know.
};

} // namespace shallotlatch
