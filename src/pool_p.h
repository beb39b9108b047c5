/// \file
/// One pool's owner: queues asks, grants places, sheds. Pure: events in,
/// replies out.
#pragma once

#include "pool_queue_p.h"
#include "target_table_p.h"

#include <unordered_map>
#include <vector>

namespace shallotlatch {

/// Replies that one event caused, in order.
struct PoolReplies {
  std::vector<std::pair<HostId, Grant>> Grants;
  std::vector<std::pair<HostId, Refusal>> Refusals;
};

/// Readable figures of one pool.
struct PoolStats {
  std::string Region;
  std::string Group;
  uint32_t Waiting = 0;
  uint32_t InFlight = 0;
  uint32_t FreeSlots = 0;
  uint32_t WaitingByTier[SHALLOTLATCH_CONFIG_MAX_TIERS] = {};
  uint64_t Granted = 0;
  uint64_t Shed = 0;
  uint64_t Expired = 0;
};

/// What a scheduler of one pool does. The policy bench holds several.
class PoolPolicy {
public:
  virtual ~PoolPolicy() = default;
  virtual void enqueue(Time Now, HostId Host, const Ask &A, double Weight,
                       PoolReplies &Out) = 0;
  virtual void withdraw(Time Now, HostId Host, AskId Id, PoolReplies &Out) = 0;
  virtual void release(Time Now, HostId Host, const Release &R,
                       PoolReplies &Out) = 0;
  virtual void recordFirstToken(Time Now, HostId Host, AskId Id,
                                PoolReplies &Out) = 0;
  virtual void recordProgress(Time Now, const Progress &P) = 0;
  virtual void tick(Time Now, PoolReplies &Out) = 0;
};

class Pool : public PoolPolicy {
public:
  Pool(std::string Region, std::string Group, const PolicySpec &Policy);

  void configure(const std::vector<const TargetSpec *> &Specs,
                 const PolicySpec &Policy);
  void enqueue(Time Now, HostId Host, const Ask &A, double Weight,
               PoolReplies &Out) override;
  void withdraw(Time Now, HostId Host, AskId Id, PoolReplies &Out) override;
  void release(Time Now, HostId Host, const Release &R,
               PoolReplies &Out) override;
  void recordFirstToken(Time Now, HostId Host, AskId Id,
                        PoolReplies &Out) override;
  void recordProgress(Time Now, const Progress &P) override;
  void tick(Time Now, PoolReplies &Out) override;

  /// Takes over what \p Host has in flight here, and drops older grants to it
  /// that it does not have.
  void reconcile(Time Now, HostId Host, const HoldList &List, PoolReplies &Out);
  /// Whether \p Host has the same asks here as its list says.
  bool matchesDigest(HostId Host, const HoldList &List) const;
  /// Frees everything of a host that died.
  void onHostLost(Time Now, HostId Host, PoolReplies &Out);
  void setLeaving(TargetId Id, bool Leaving);
  void evictPrefix(TargetId Id, uint32_t Hash);

  PoolLoad load(PoolId Id) const;
  PoolStats stats() const;
  std::vector<TargetStats> targets() const { return this->Targets.stats(); }

private:
  struct ActiveGrant {
    Placement Place;
    bool Prefilled = false;
    Time GrantedAt;
    Time LastListed;
  };
  using GrantKey = std::pair<uint64_t, uint32_t>;
  struct GrantKeyHash {
    size_t operator()(const GrantKey &K) const {
      return hashPair(K.first, K.second);
    }
  };

  void addWaiting(const QueuedAsk &W, double Weight);
  void removeWaiting(AskHandle H);
  void subtractWaiting(const QueuedAsk &W);
  using GrantTable = std::unordered_map<GrantKey, ActiveGrant, GrantKeyHash>;
  GrantTable::iterator eraseGrant(GrantTable::iterator It);
  void countInFlight(HostId Host, AskId Id);
  bool makeRoom(const Ask &A, PoolReplies &Out);
  bool grantNext(Time Now, PoolReplies &Out);
  bool tryGrant(AskHandle H, bool SpareLane, Time Now, PoolReplies &Out);
  void dispatch(Time Now, PoolReplies &Out);
  void refuse(HostId Host, AskId Id, Reason Why, PoolReplies &Out);
  Duration retryAfter() const;

  std::string Region;
  std::string Group;
  PolicySpec Policy;
  PoolQueue Queue;
  TargetTable Targets;
  GrantTable Grants;
  /// Of one entry host: its asks here, and the sum of their terms.
  struct HostTotals {
    uint32_t Waiting = 0;
    uint32_t InFlight = 0;
    uint64_t Digest = 0;
  };
  std::unordered_map<HostId, HostTotals> TotalsByHost;
  uint64_t GrantedCount = 0;
  uint64_t ShedCount = 0;
  uint64_t ExpiredCount = 0;
  double ReleaseRate = 1; ///< Releases a second, smoothed.
  uint32_t ReleasesInWindow = 0;
  Time WindowStart;
};

} // namespace shallotlatch
