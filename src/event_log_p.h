/// \file
/// Structured log: one JSON line for each decision and each change of what
/// the process believes. Bounded, never blocks.
#pragma once

#include "shallotlatch/types.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

struct event_base;

namespace shallotlatch {

/// How long a line is kept when standard output does not take them.
enum class LogPriority : uint8_t {
  Routine,   ///< Dropped first.
  Important, ///< Changes of belief, errors, start and stop.
};

using LogFields = nlohmann::ordered_json;

/// Appends one line. Lines that do not fit into the ring are counted, and the
/// count is logged once there is room again.
void logEvent(const char *Name, const LogFields &Fields,
              LogPriority Weight = LogPriority::Routine);
/// The same for a change of belief.
void logImportantEvent(const char *Name, const LogFields &Fields);

struct LogStats {
  uint64_t Written = 0;
  uint64_t Dropped = 0;
};
LogStats logStats();

/// Starts writing to descriptor \p Fd without blocking, on \p Base; routes
/// glog's lines into the same ring. Before this, lines collect in the ring.
void startLog(event_base *Base, int Fd, const std::string &Host);
/// Writes what the descriptor takes, forgets the rest and the descriptor.
void stopLog();
/// Writes what the descriptor takes at once.
void flushLog();

} // namespace shallotlatch
