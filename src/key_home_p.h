/// \file
/// Claims on non-idempotent keys, written in groups as conditional updates.
#pragma once

#include "key_bucket_p.h"
#include "membership_p.h"
#include "store_queue_p.h"

#include <map>
#include <string>
#include <vector>

namespace shallotlatch {

/// Readable figures of the key home role.
struct ClaimWriterStats {
  uint64_t Claims = 0;
  uint64_t Granted = 0;
  uint64_t Commits = 0;
  uint64_t Conflicts = 0;
  uint32_t Pending = 0;
};

/// Gathers claims for some milliseconds and writes each object at most once at
/// a time. Any number of hosts may think they are a key's home: only a
/// conditional write makes a claim, and only a claim that stands in the store
/// is granted.
class ClaimWriter {
public:
  ClaimWriter(NodeEnv &Env, StoreQueue &Queue);

  void onClaim(HostId From, const Claim &C);
  void onSettle(const ClaimCompletion &S);
  /// A reply to one of this part's calls; false: not its token.
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
    bool Loaded = false;
    bool CallInFlight = false; ///< A call is in flight.
    bool Writing = false;
    Version Number;
    KeyBucket Content;
    KeyBucket Next; ///< As written by the call in flight.
    std::vector<PendingClaim> Claims;
    std::vector<PendingClaim> Deferred; ///< Wait for the write to end.
    std::vector<ClaimCompletion> Settles;
    std::vector<PendingClaim> ClaimsInWrite; ///< Granted if the write succeeds.
    size_t SettlesInWrite = 0;
    Time FlushAt;
    Time LastUsed;
  };

  Object &bucketObject(const ClaimLocation &Place);
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
  bool tooNew(int64_t Slot) const;

  NodeEnv &Env;
  StoreQueue &Queue;
  std::map<std::string, Object> Objects;
  std::map<uint32_t, std::string> NameByToken;
  uint32_t NextToken;
  ClaimWriterStats Counts;
};

} // namespace shallotlatch
