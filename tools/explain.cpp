#include "explain.h"

#include <nlohmann/json.hpp>

#include <map>
#include <set>

namespace shallotlatch {

using nlohmann::ordered_json;

static const std::set<std::string> &beliefEvents() {
  static const std::set<std::string> Names = {
      "start", "config",     "keys",           "ready",
      "stop",  "store-lost", "store-regained", "reload"};
  return Names;
}

static bool readLine(const std::string &Text, LogLine &Line,
                     std::string &RequestId) {
  size_t Brace = Text.find('{');
  if (Brace == std::string::npos) {
    return false;
  }
  ordered_json Whole = ordered_json::parse(Text.substr(Brace), nullptr, false);
  if (!Whole.is_object() || !Whole.contains("event") ||
      !Whole.contains("host") || !Whole.contains("t")) {
    return false;
  }
  Line.Host = Whole["host"].get<std::string>();
  Line.AtMs = Whole["t"].get<int64_t>();
  Line.Event = Whole["event"].get<std::string>();
  RequestId = Whole.value("id", "");
  for (const char *Known : {"host", "t", "event", "id"}) {
    Whole.erase(Known);
  }
  Line.Fields = Whole.dump();
  Line.Belief = beliefEvents().count(Line.Event) != 0;
  return true;
}

std::vector<LogLine> explainRequest(std::istream &Log,
                                    const std::string &RequestId) {
  std::map<std::string, std::map<std::string, LogLine>> Beliefs;
  std::vector<LogLine> Story;
  std::string Text;
  while (std::getline(Log, Text)) {
    LogLine Line;
    std::string Id;
    if (!readLine(Text, Line, Id)) {
      continue;
    }
    if (Line.Belief) {
      Beliefs[Line.Host][Line.Event] = Line;
    } else if (Id == RequestId) {
      // The beliefs in force come before the first line of each host.
      for (const auto &Item : Beliefs[Line.Host]) {
        Story.push_back(Item.second);
      }
      Beliefs[Line.Host].clear();
      Story.push_back(Line);
    }
  }
  return Story;
}

std::string printStory(const std::vector<LogLine> &Lines) {
  std::string Text;
  for (const LogLine &L : Lines) {
    Text += (L.Belief ? "  believes  " : "request     ") +
            std::to_string(L.AtMs) + " ms  " + L.Host + "  " + L.Event + "  " +
            L.Fields + "\n";
  }
  return Text;
}

} // namespace shallotlatch
