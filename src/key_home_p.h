/// \file
/// Claims on keys of non-idempotent requests, written in batches as conditional
/// updates of the bucket objects.
#pragma once

#include "key_bucket_p.h"
#include "lost_claims_p.h"
#include "membership_p.h"
#include "store_queue_p.h"

#include <map>
#include <string>
#include <vector>

namespace shallotlatch {

/// Counters of the claim writer.
struct ClaimWriterStats {
  uint64_t Claims = 0;    ///< Claims received.
  uint64_t Granted = 0;   ///< Claims granted.
  uint64_t Commits = 0;   ///< Writes that took effect.
  uint64_t Conflicts = 0; ///< Writes refused because the version differed.
  uint32_t Pending = 0;   ///< Claims that wait for a write.
};

/// Gathers claims for some milliseconds and has at most one call in flight for
/// each bucket object. Several hosts may act as the writer of the same key at
/// once: only a conditional write makes a claim, and a claim is granted only
/// once it stands in the store.
class ClaimWriter {
public:
  ClaimWriter(NodeEnv &Env, StoreQueue &Queue);

  void onClaim(HostId From, const Claim &C);
  void onSettle(const ClaimCompletion &S);
  /// Records the era that a reply of the store named.
  void recordEra(uint64_t Era);
  /// Handles the reply to a call of this writer; returns false if the token is
  /// not one of this writer's.
  bool onStoreReply(const StoreReply &Reply);
  void tick();
  ClaimWriterStats stats() const;

private:
  struct PendingClaim {
    HostId From;
    Claim Wanted;
    Time ReceivedAt;
  };
  struct Object {
    std::string Name;
    uint32_t Token = 0;
    bool Loaded = false; ///< `Content` and `Number` are as stored.
    bool CallInFlight = false;
    bool Writing = false; ///< The call in flight is a write.
    Version Number;       ///< Version of the object with `Content`.
    KeyBucket Content;
    KeyBucket Next; ///< Content that the write in flight stores.
    std::vector<PendingClaim> Claims;
    /// Claims on keys that another claim of the same write takes; they wait for
    /// the write to end.
    std::vector<PendingClaim> Deferred;
    std::vector<ClaimCompletion> Settles;
    /// Claims that are granted if the write in flight succeeds.
    std::vector<PendingClaim> ClaimsInWrite;
    size_t SettlesInWrite = 0; ///< Leading `Settles` that the write stores.
    Time FlushAt;              ///< Time at which the next batch is written.
    Time LastUsed;
  };

  Object &bucketObject(const ClaimLocation &Location);
  void flush(Object &O);
  void load(Object &O);
  void reply(HostId From, const Claim &C, ClaimResult Result,
             const StoredClaim *Stored);
  bool stageClaim(Object &O, const PendingClaim &P, KeyBucket &Next);
  bool stageExistingClaim(Object &O, const PendingClaim &P,
                          const KeyBucket &Next, const StoredClaim &Stored);
  void stageSettles(const Object &O, KeyBucket &Next) const;
  void onLoaded(Object &O, const StoreReply &Reply);
  void onWritten(Object &O, const StoreReply &Reply);
  int64_t currentSlot() const;
  bool tooNew(int64_t Slot) const;

  NodeEnv &Env;
  StoreQueue &Queue;
  LostClaims Lost;
  std::map<std::string, Object> Objects;
  std::map<uint32_t, std::string> NameByToken;
  uint32_t NextToken;
  ClaimWriterStats Counts;
};

} // namespace shallotlatch
