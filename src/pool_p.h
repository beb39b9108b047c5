/// \file
/// Scheduler of one pool of targets: queues asks, grants slots, sheds load. It
/// does no I/O: events go in, replies come out.
#pragma once

#include "pool_queue_p.h"
#include "target_table_p.h"

#include <unordered_map>
#include <vector>

namespace shallotlatch {

/// Replies to entry hosts that one event caused, in order.
struct PoolReplies {
  std::vector<std::pair<HostId, Grant>> Grants;
  std::vector<std::pair<HostId, Refusal>> Refusals;
};

/// Statistics of one pool for status pages and metrics.
struct PoolStats {
  std::string Region;
  std::string Group;
  uint32_t Waiting = 0;   ///< Asks in the queue.
  uint32_t InFlight = 0;  ///< Asks granted and not released.
  uint32_t FreeSlots = 0; ///< Requests that the targets could take now.
  uint32_t WaitingByTier[SHALLOTLATCH_CONFIG_MAX_TIERS] = {};
  uint64_t Granted = 0; ///< Grants since the pool was created.
  uint64_t Shed = 0;    ///< Asks refused because the queue was full.
  uint64_t Expired = 0; ///< Asks refused because of their deadline.
};

/// Interface of a scheduler for one pool. The policy bench compares several
/// implementations.
class PoolPolicy {
public:
  virtual ~PoolPolicy() = default;
  /// Handles an ask of \p Host; \p Weight is its customer's fair-share weight.
  virtual void enqueue(Time Now, HostId Host, const SlotRequest &A,
                       double Weight, PoolReplies &Out) = 0;
  /// Removes an ask that \p Host does not need any more, waiting or granted.
  virtual void withdraw(Time Now, HostId Host, AskId Id, PoolReplies &Out) = 0;
  /// Frees the slot of a granted ask that ended.
  virtual void release(Time Now, HostId Host, const Release &R,
                       PoolReplies &Out) = 0;
  /// Records that a granted request has finished its prefill.
  virtual void recordFirstToken(Time Now, HostId Host, AskId Id,
                                PoolReplies &Out) = 0;
  /// Records token rates that an entry host measured at a target.
  virtual void recordProgress(Time Now, const StreamProgress &P) = 0;
  /// Does periodic work: refuses expired asks and grants free slots.
  virtual void tick(Time Now, PoolReplies &Out) = 0;
};

/// Scheduler of the product: a tiered fair queue and a table of targets.
class Pool : public PoolPolicy {
public:
  Pool(std::string Region, std::string Group, const PolicySpec &Policy);

  /// Sets the pool's targets and policy; known targets keep their state.
  void configure(const std::vector<const TargetSpec *> &Specs,
                 const PolicySpec &Policy);
  void enqueue(Time Now, HostId Host, const SlotRequest &A, double Weight,
               PoolReplies &Out) override;
  void withdraw(Time Now, HostId Host, AskId Id, PoolReplies &Out) override;
  void release(Time Now, HostId Host, const Release &R,
               PoolReplies &Out) override;
  void recordFirstToken(Time Now, HostId Host, AskId Id,
                        PoolReplies &Out) override;
  void recordProgress(Time Now, const StreamProgress &P) override;
  void tick(Time Now, PoolReplies &Out) override;

  /// Adopts the requests that \p Host has in flight in this pool according to a
  /// complete hold list, and drops older grants that the list does not contain.
  void reconcile(Time Now, HostId Host, const EntryStateReport &List,
                 PoolReplies &Out);
  /// Returns whether this pool has the same asks of \p Host as its hold list.
  bool matchesDigest(HostId Host, const EntryStateReport &List) const;
  /// Removes the waiting asks of a lost host and frees its granted slots.
  void onHostLost(Time Now, HostId Host, PoolReplies &Out);
  void setLeaving(TargetId Id, bool Leaving);
  void evictPrefix(TargetId Id, uint32_t Hash);

  PoolLoad load(PoolId Id) const;
  PoolStats stats() const;
  std::vector<TargetStats> targets() const { return this->Targets.stats(); }

private:
  struct ActiveGrant {
    Placement Place;
    bool Prefilled = false; ///< The first token arrived; the prefill is done.
    Time GrantedAt;         ///< Time of the grant or of its last repetition.
    Time LastListed;        ///< Time of the last hold list that contained it.
  };
  using GrantKey = std::pair<uint64_t, uint32_t>; ///< Host and ask id.
  struct GrantKeyHash {
    size_t operator()(const GrantKey &K) const {
      return hashPair(K.first, K.second);
    }
  };

  /// Queues an ask and adds it to its host's totals.
  void addWaiting(const QueuedAsk &W, double Weight);
  /// Removes an ask from the queue and from its host's totals.
  void removeWaiting(AskHandle H);
  /// Subtracts a waiting ask from its host's totals.
  void subtractWaiting(const QueuedAsk &W);
  using GrantTable = std::unordered_map<GrantKey, ActiveGrant, GrantKeyHash>;
  /// Erases a grant and subtracts it from its host's totals.
  GrantTable::iterator eraseGrant(GrantTable::iterator It);
  /// Adds a granted ask to its host's totals.
  void countInFlight(HostId Host, AskId Id);
  /// Returns whether the queue has room for \p A, after shedding if necessary.
  bool makeRoom(const SlotRequest &A, PoolReplies &Out);
  /// Grants the next ask in dispatch order; false if none can be granted.
  bool grantNext(Time Now, PoolReplies &Out);
  /// Grants one ask if a target has room. \p SpareLane keeps a short ask off
  /// the targets that serve long prompts.
  bool tryGrant(AskHandle H, bool SpareLane, Time Now, PoolReplies &Out);
  /// Grants asks until none can be granted.
  void dispatch(Time Now, PoolReplies &Out);
  void refuse(HostId Host, AskId Id, Reason Why, PoolReplies &Out);
  /// Returns the time in which the queue probably empties, within bounds.
  Duration retryAfter() const;

  std::string Region;
  std::string Group;
  PolicySpec Policy;
  PoolQueue Queue;
  TargetTable Targets;
  GrantTable Grants;
  /// Counts and digest of one entry host's asks in this pool.
  struct HostTotals {
    uint32_t Waiting = 0;
    uint32_t InFlight = 0;
    uint64_t Digest = 0; ///< Sum of the digest terms of all its asks.
  };
  std::unordered_map<HostId, HostTotals> TotalsByHost;
  uint64_t GrantedCount = 0;
  uint64_t ShedCount = 0;
  uint64_t ExpiredCount = 0;
  double ReleaseRate = 1; ///< Smoothed releases per second.
  uint32_t ReleasesInWindow = 0;
  Time WindowStart;
};

} // namespace shallotlatch
