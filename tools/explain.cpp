#include "explain.h"

#include <nlohmann/json.hpp>

#include <map>
#include <set>

namespace shallotlatch {

using nlohmann::ordered_json;

// Returns the events that report a state of the host instead of a request.
static const std::set<std::string> &hostStateEvents() {
  static const std::set<std::string> Names = {
      "start", "config",     "keys",           "ready",
      "stop",  "store-lost", "store-regained", "reload"};
  return Names;
}

static bool parseLogEntry(const std::string &Text, LogEntry &Entry,
                          std::string &RequestId) {
  size_t Brace = Text.find('{');
  if (Brace == std::string::npos) {
    return false;
  }
  ordered_json Json = ordered_json::parse(Text.substr(Brace), nullptr, false);
  if (!Json.is_object() || !Json.contains("event") || !Json.contains("host") ||
      !Json.contains("t")) {
    return false;
  }
  Entry.Host = Json["host"].get<std::string>();
  Entry.AtMs = Json["t"].get<int64_t>();
  Entry.Event = Json["event"].get<std::string>();
  RequestId = Json.value("id", "");
  for (const char *Known : {"host", "t", "event", "id"}) {
    Json.erase(Known);
  }
  Entry.Fields = Json.dump();
  Entry.IsHostState = hostStateEvents().count(Entry.Event) != 0;
  return true;
}

std::vector<LogEntry> explainRequest(std::istream &Log,
                                     const std::string &RequestId) {
  std::map<std::string, std::map<std::string, LogEntry>> HostStates;
  std::vector<LogEntry> Entries;
  std::string Text;
  while (std::getline(Log, Text)) {
    LogEntry Entry;
    std::string Id;
    if (!parseLogEntry(Text, Entry, Id)) {
      continue;
    }
    if (Entry.IsHostState) {
      HostStates[Entry.Host][Entry.Event] = Entry;
    } else if (Id == RequestId) {
      // The host states that were logged since this host's last entry of the
      // request come first.
      for (const auto &Item : HostStates[Entry.Host]) {
        Entries.push_back(Item.second);
      }
      HostStates[Entry.Host].clear();
      Entries.push_back(Entry);
    }
  }
  return Entries;
}

std::string printLogEntries(const std::vector<LogEntry> &Entries) {
  std::string Text;
  for (const LogEntry &L : Entries) {
    Text += (L.IsHostState ? "  believes  " : "request     ") +
            std::to_string(L.AtMs) + " ms  " + L.Host + "  " + L.Event + "  " +
            L.Fields + "\n";
  }
  return Text;
}

} // namespace shallotlatch
