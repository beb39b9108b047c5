// Tests of the search for a request's log entries by its id, and of the event
// log when nobody reads its output.
#include "event_log_p.h"
#include "explain.h"

#include <CppUTest/TestHarness.h>

#include <event2/event.h>

#include <sstream>
#include <unistd.h>

using namespace shallotlatch;

static const char *SampleLog = R"(text that is no line
12.1 a {"t":5,"host":"a","event":"config","version":3}
12.2 a {"t":6,"host":"a","event":"store-lost"}
{"t":7,"host":"b","event":"ended","id":"r2","status":200}
{"t":8,"host":"a","event":"keys","trusted":false,"limit-ms":5000}
{"t":9,"host":"a","event":"ended","id":"r1","verdict":"not-run","status":503,"why":"the key cannot be confirmed","config-age-ms":3300}
{"t":10,"host":"a","event":"config","version":4}
)";

TEST_GROUP(Explaining){};

TEST(Explaining, aRefusalForAStaleKeyShowsTheBeliefsBehindIt) {
  std::istringstream Log(SampleLog);
  std::vector<LogEntry> Entries = explainRequest(Log, "r1");
  CHECK_EQUAL(4, Entries.size());
  STRCMP_EQUAL("config", Entries[0].Event.c_str());
  STRCMP_EQUAL("keys", Entries[1].Event.c_str());
  STRCMP_EQUAL("store-lost", Entries[2].Event.c_str());
  STRCMP_EQUAL("ended", Entries[3].Event.c_str());
  std::string Text = printLogEntries(Entries);
  CHECK(Text.find("config-age-ms\":3300") != std::string::npos);
  CHECK(Text.find("\"version\":4") == std::string::npos);
}

TEST(Explaining, anUnknownIdHasNoStory) {
  std::istringstream Log(SampleLog);
  CHECK_EQUAL(0, explainRequest(Log, "r9").size());
}

// Guards against a log that blocks the process: a pipe that nobody reads fills
// up. From then on routine lines are dropped and counted, no call waits, and
// there is still room for lines of priority `Important`.
TEST(Explaining, aFullPipeStallsNothingAndBeliefsOutliveRoutineLines) {
  int PipeEnds[2];
  CHECK_EQUAL(0, pipe(PipeEnds));
  event_base *Base = event_base_new();
  startLog(Base, PipeEnds[1], "a");
  std::string Long(1000, 'x');
  uint64_t DroppedBefore = logStats().Dropped;
  for (int I = 0; I < 2000; ++I) {
    logEvent("routine", {{"text", Long}});
    flushLog();
  }
  uint64_t Dropped = logStats().Dropped - DroppedBefore;
  CHECK(Dropped > 1000);
  uint64_t Written = logStats().Written;
  logImportantEvent("belief", {{"text", Long}});
  CHECK(logStats().Written > Written);
  CHECK_EQUAL(Dropped, logStats().Dropped - DroppedBefore);
  stopLog();
  event_base_free(Base);
  close(PipeEnds[0]);
  close(PipeEnds[1]);
}
