/// \file
/// Gathers one request's story from the logs of several hosts.
#pragma once

#include <istream>
#include <string>
#include <vector>

namespace shallotlatch {

/// One log line, read.
struct LogEntry {
  std::string Host;
  int64_t AtMs = 0; ///< By the host's own steady clock.
  std::string Event;
  std::string Fields;       ///< The rest, as JSON.
  bool IsHostState = false; ///< A change of belief in force when it ended.
};

/// Lines of \p RequestId in \p Log, after the last change of each belief on
/// their host before them. Lines that are not JSON are passed over; text before
/// the first brace of a line is too.
std::vector<LogEntry> explainRequest(std::istream &Log,
                                     const std::string &RequestId);
/// One line a row, for people.
std::string printLogEntries(const std::vector<LogEntry> &Entries);

} // namespace shallotlatch
