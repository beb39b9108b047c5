/// \file
/// One host's decisions, all roles joined: events in, messages and commands
/// out. No socket, no clock, no thread.
#pragma once

#include "crash_counts_p.h"
#include "documents_p.h"
#include "entry_p.h"
#include "key_home_p.h"
#include "limits_p.h"
#include "membership_p.h"
#include "pool_host_p.h"
#include "store_queue_p.h"

#include <string>
#include <vector>

namespace shallotlatch {

/// Safe defaults for a node.
struct NodeInit {
  std::string Name;
  std::string Region;
  Incarnation Run{1};
  uint64_t Seed = 1;
  double StoreCallsPerSecond = 20;
  Time Start;
};

/// Decisions of one host. Every event method ends with all of the node's
/// messages to itself delivered; `takeOutbox` and `takeCommands` then give
/// what is for others.
class Node {
public:
  explicit Node(const NodeInit &Init);

  /// Moves time on. Events that follow happen at this time.
  void setTime(Time Now, WallMillis WallTime);
  RequestHandle submit(const Submission &S);
  void cancel(RequestHandle H);
  void onConnectFailed(RequestHandle H);
  bool beginSend(RequestHandle H);
  void onTokens(RequestHandle H, uint32_t Count);
  void onDispatchEnded(RequestHandle H, const DispatchEnd &E);
  void receive(HostId From, const PeerBatch &Batch);
  /// A link to \p Host came up: ask it for documents this node lacks.
  void onLinkUp(HostId Host);
  void markUnreachable(HostId Host);
  void storeReply(const StoreReply &Reply);
  void report(TargetId Target, const TargetReport &R);
  void tick();
  /// Stops taking requests; `idle` tells when all have ended.
  void drain();

  std::map<HostId, PeerBatch> takeOutbox();
  std::vector<Command> takeCommands();

  bool ready() const;
  bool draining() const { return this->Draining; }
  bool idle() const { return this->Requests.idle(); }
  HostId self() const { return this->Env.Self; }
  const std::shared_ptr<const Config> &config() const {
    return this->Env.ActiveConfig;
  }
  AskId submissionOf(RequestHandle H) const {
    return this->Requests.submissionOf(H);
  }

  /// Readable state and the parts that operators' orders go to.
  const EntryHost &entry() const { return this->Requests; }
  const PoolOwner &pools() const { return this->Pools; }
  const Membership &membership() const { return this->Members; }
  const ReplicatedDocuments &documents() const { return this->DocumentCopies; }
  CrashCounts &crashCounts() { return this->SharedCrashCounts; }
  ClaimWriterStats keyStats() const { return this->Keys.stats(); }
  StoreStats storeStats() const { return this->Queue.stats(); }

private:
  void deliverLocalMessages();
  void deliver(HostId From, const PeerBatch &Batch);
  void deliverPool(HostId From, const PeerBatch &Batch);
  void deliverEntry(HostId From, const PeerBatch &Batch);
  void deliverShared(HostId From, const PeerBatch &Batch);
  void applyChanges();

  NodeEnv Env;
  Membership Members;
  StoreQueue Queue;
  ReplicatedDocuments DocumentCopies;
  CrashCounts SharedCrashCounts;
  ClaimWriter Keys;
  LimitOwner Limits;
  PoolOwner Pools;
  EntryHost Requests;
  bool Draining = false;
};

} // namespace shallotlatch
