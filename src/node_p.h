/// \file
/// Scheduling core of one host, which joins all roles of the host. It turns
/// events into messages and commands, and has no socket, clock or thread of its
/// own.
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

/// Parameters of a node. The defaults are safe.
struct NodeInit {
  std::string Name;
  std::string Region;
  Incarnation Run{1};              ///< Process run of this host.
  uint64_t Seed = 1;               ///< Seed of the random number generator.
  double StoreCallsPerSecond = 20; ///< Limit of the rate of store calls.
  Time Start;                      ///< Time at which the node starts.
};

/// Scheduling core of one host. Every event method delivers all messages that
/// the node sends to itself before it returns; `takeOutbox` and `takeCommands`
/// then return the messages to other hosts and the commands.
class Node {
public:
  explicit Node(const NodeInit &Init);

  /// Sets the time at which the following events happen.
  void setTime(Time Now, WallMillis WallTime);
  /// Accepts a request; an invalid handle means that the request table is full.
  RequestHandle submit(const Submission &S);
  /// The caller of the request went away.
  void cancel(RequestHandle H);
  /// No connection to the target could be made, so no byte was sent.
  void onConnectFailed(RequestHandle H);
  /// Called before the first byte is sent to the target. Returns false if the
  /// request has ended; then nothing may be sent.
  bool beginSend(RequestHandle H);
  /// \p Count more tokens were received for the request.
  void onTokens(RequestHandle H, uint32_t Count);
  /// The dispatch of the request ended as \p E says.
  void onDispatchEnded(RequestHandle H, const DispatchEnd &E);
  /// A batch of messages from another host arrived.
  void receive(HostId From, const PeerBatch &Batch);
  /// A link to \p Host came up. The node requests the documents from it that it
  /// lacks itself.
  void onLinkUp(HostId Host);
  /// This host could not connect to \p Host.
  void markUnreachable(HostId Host);
  void storeReply(const StoreReply &Reply);
  void report(TargetId Target, const TargetReport &R);
  void tick();
  /// Stops accepting requests; `idle` returns true once all have ended.
  void drain();

  std::map<HostId, PeerBatch> takeOutbox();
  std::vector<Command> takeCommands();

  /// Returns whether the node has a configuration and is not draining.
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

  /// Parts of the node, for the admin listener to read their state and to pass
  /// on operators' commands.
  const EntryHost &entry() const { return this->Requests; }
  const PoolOwner &pools() const { return this->Pools; }
  const Membership &membership() const { return this->Members; }
  const ReplicatedDocuments &documents() const { return this->DocumentCopies; }
  CrashCounts &crashCounts() { return this->SharedCrashCounts; }
  ClaimWriterStats keyStats() const { return this->Keys.stats(); }
  StoreStats storeStats() const { return this->Queue.stats(); }

private:
  /// Delivers the messages that the node has sent to itself.
  void deliverLocalMessages();
  void deliver(HostId From, const PeerBatch &Batch);
  void deliverPool(HostId From, const PeerBatch &Batch);
  void deliverEntry(HostId From, const PeerBatch &Batch);
  void deliverShared(HostId From, const PeerBatch &Batch);
  /// Passes changed documents and departed hosts on to the parts.
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
