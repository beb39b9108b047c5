/// \file
/// Structured event log: one JSON line for each decision and for each change in
/// the state of the system as this process knows it. Lines wait in a bounded
/// buffer, so that logging never blocks.
#pragma once

#include "shallotlatch/types.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

struct event_base;

namespace shallotlatch {

/// Decides which lines are dropped first when the output accepts no more data.
enum class LogPriority : uint8_t {
  Routine,   ///< Lines that are dropped first.
  Important, ///< Changes of known state, errors, start and stop.
};

using LogFields = nlohmann::ordered_json;

/// Appends one line to the buffer. Lines that do not fit are dropped and
/// counted; the count is logged once there is room again.
void logEvent(const char *Name, const LogFields &Fields,
              LogPriority Priority = LogPriority::Routine);
/// Appends one line of priority `Important`.
void logImportantEvent(const char *Name, const LogFields &Fields);

struct LogStats {
  uint64_t Written = 0; ///< Number of lines appended to the buffer.
  uint64_t Dropped = 0; ///< Number of lines that did not fit.
};
LogStats logStats();

/// Starts non-blocking writes to the descriptor \p OutputFd on the loop \p Base
/// and routes glog's messages into the same buffer. Until this call, lines
/// collect in the buffer.
void startLog(event_base *Base, int OutputFd, const std::string &Host);
/// Writes the lines that the descriptor accepts at once, discards the rest and
/// stops using the descriptor.
void stopLog();
/// Writes the lines that the descriptor accepts at once.
void flushLog();

} // namespace shallotlatch
