/// \file
/// Keeps one host's calls to the platform's service under its share of the
/// rate, and backs off with jitter while the service fails.
#pragma once

#include "node_env_p.h"

#include <deque>

namespace shallotlatch {

/// Readable figures of the queue.
struct StoreStats {
  uint64_t Calls = 0;
  uint64_t Failures = 0;
  uint32_t Queued = 0;
  bool BackingOff = false;
};

/// Token bucket in front of the object API.
class StoreQueue {
public:
  StoreQueue(NodeEnv &Env, double CallsPerSecond);

  void push(StoreRequest Request);
  /// Notes how a call went; failures delay the next ones.
  void onReply(const StoreReply &Reply);
  /// Issues what the rate and the backoff allow, as commands.
  void tick();
  StoreStats stats() const;

private:
  NodeEnv &Env;
  double CallsPerSecond;
  double Tokens;
  Time LastRefill;
  Time RetryAt;
  uint32_t ConsecutiveFailures = 0;
  std::deque<StoreRequest> Queue;
  StoreStats Counts;
};

} // namespace shallotlatch
