/// \file
/// Connections to targets that are made only to learn whether a path works.
#pragma once

#include "target_paths_p.h"

#include <event2/event.h>

#include <memory>
#include <unordered_map>

namespace shallotlatch {

/// Receives the results of probes.
class ConnectProbeEvents {
public:
  virtual ~ConnectProbeEvents() = default;
  virtual void onProbeEnd(TargetRunId Target, bool Connected) = 0;
};

/// Connects to targets and closes the connections at once.
class ConnectProbes {
public:
  ConnectProbes(event_base *Base, ConnectProbeEvents &Events);
  ~ConnectProbes();
  ConnectProbes(const ConnectProbes &) = delete;
  ConnectProbes &operator=(const ConnectProbes &) = delete;

  /// Starts a probe, unless one to the target is under way.
  void start(TargetRunId Target, const Address &At);
  size_t size() const { return this->Running.size(); }

private:
  struct Probe;
  void end(Probe &P, bool Connected);

  event_base *Base;
  ConnectProbeEvents &Events;
  std::unordered_map<TargetRunId, std::unique_ptr<Probe>> Running;
};

} // namespace shallotlatch
