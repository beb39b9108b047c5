/// \file
/// Limits one host's calls to the platform's object store to the host's share
/// of the rate, and backs off with jitter while the store fails.
#pragma once

#include "node_env_p.h"

#include <deque>

namespace shallotlatch {

/// Counters and state of the queue.
struct StoreStats {
  uint64_t Calls = 0;
  uint64_t Failures = 0;
  uint32_t Queued = 0;
  bool BackingOff = false;
};

/// Token bucket in front of the object store.
class StoreQueue {
public:
  StoreQueue(NodeEnv &Env, double CallsPerSecond);

  void push(StoreRequest Request);
  /// Records the result of a call. A failure delays the calls that follow.
  void onReply(const StoreReply &Reply);
  /// Issues the calls that the rate and the backoff allow, as commands of the
  /// node.
  void tick();
  StoreStats stats() const;

private:
  NodeEnv &Env;
  double CallsPerSecond;
  double Tokens;
  Time LastRefill;
  Time RetryAt; ///< Time before which no call is issued.
  uint32_t ConsecutiveFailures = 0;
  std::deque<StoreRequest> Queue;
  StoreStats Counts;
};

} // namespace shallotlatch
