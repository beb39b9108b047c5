/// \file
/// Measures one host: added latency, and calls a second.
#pragma once

#include "shallotlatch/settings.h"

#include <string>

namespace shallotlatch {

struct ProbeInit {
  Address HostAddress;
  Address TargetAddress;
  std::string Kind;
  std::string Customer;
  uint32_t Count = 2000;
  uint32_t Connections = 32;
};

/// Alternates direct calls and calls through the host, one at a time.
std::string probeLatency(const ProbeInit &Init);
/// Keeps a number of calls open until all are done.
std::string probeFlood(const ProbeInit &Init);

} // namespace shallotlatch
