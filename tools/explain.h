/// \file
/// Collects the log entries of one request from the logs of several hosts.
#pragma once

#include <istream>
#include <string>
#include <vector>

namespace shallotlatch {

/// One parsed log line.
struct LogEntry {
  std::string Host;
  int64_t AtMs = 0; ///< Time on the host's own steady clock.
  std::string Event;
  std::string Fields;       ///< The remaining fields, as a JSON object.
  bool IsHostState = false; ///< The entry reports a state of the host.
};

/// Returns the entries of \p RequestId in \p Log. The entries of each host
/// follow the latest entry of each host state (configuration, keys, store
/// connection) that precedes them. Lines without a JSON object are skipped, and
/// so is the text before the first brace of a line.
std::vector<LogEntry> explainRequest(std::istream &Log,
                                     const std::string &RequestId);
/// Formats the entries as readable text, one line per entry.
std::string printLogEntries(const std::vector<LogEntry> &Entries);

} // namespace shallotlatch
