/// \file
/// Measures one host: the latency that it adds to a call, and its throughput.
#pragma once

#include "shallotlatch/settings.h"

#include <string>

namespace shallotlatch {

/// Settings of a latency or flood probe.
struct ProbeInit {
  Address HostAddress; ///< Caller listener of the host.
  /// Service for direct calls; used by the latency probe.
  Address TargetAddress;
  std::string Kind; ///< An idempotent service kind.
  std::string Customer;
  /// Number of calls; in the latency probe on each path.
  uint32_t Count = 2000;
  uint32_t Connections = 32; ///< Concurrent calls of the flood probe.
};

/// Alternates direct calls and calls through the host, one at a time, and
/// returns the latency of both paths as text.
std::string probeLatency(const ProbeInit &Init);
/// Keeps `Connections` calls open until all are done and returns the throughput
/// as text.
std::string probeFlood(const ProbeInit &Init);

} // namespace shallotlatch
