// Tests with a real gateway process of what callers get when it is asked to
// stop.
#include "memory_world.h"
#include "stop_plan_p.h"

#include <CppUTest/TestHarness.h>

#include <csignal>

using namespace shallotlatch;

// Limit of waits. It ends a test that hangs; no check depends on it.
static constexpr Duration WaitLimit = seconds(20);

TEST_GROUP(PlannedStop) {
  std::unique_ptr<MemoryWorld> World;
  MemoryWorldInit Init;

  void start() {
    World = std::make_unique<MemoryWorld>(Init);
    CHECK_TRUE(World->waitReady());
  }
  std::unique_ptr<RawCaller> ask(const std::string &Path) {
    std::unique_ptr<RawCaller> C =
        std::make_unique<RawCaller>(World->caller(), 65536);
    size_t Sent = 0;
    CHECK_TRUE(C->writeSome(World->request(Path), Sent));
    return C;
  }
  static bool contains(const std::string &Text, const std::string &Part) {
    return Text.find(Part) != std::string::npos;
  }
  void teardown() override { World.reset(); }
};

// Guards against an end of the grace at which callers are cut without an
// answer: those whose requests run and those whose requests still wait. Further
// signals change nothing.
TEST(PlannedStop, everyRequestThatAStopEndsIsAnswered) {
  Init.StopGraceSeconds = 2;
  Init.TargetSlots = 1;
  start();
  std::vector<std::unique_ptr<RawCaller>> Callers;
  for (int I = 0; I < 6; ++I) {
    Callers.push_back(ask("/held/x"));
  }
  World->signal(SIGTERM);
  World->signal(SIGHUP);
  CHECK_EQUAL(0, World->stop(WaitLimit));
  size_t NotRun = 0;
  size_t MayHaveRun = 0;
  for (const std::unique_ptr<RawCaller> &C : Callers) {
    std::string Answer = C->readUntil("this host", WaitLimit);
    NotRun += contains(Answer, " 503 ") ? 1 : 0;
    MayHaveRun += contains(Answer, " 502 ") ? 1 : 0;
  }
  CHECK_EQUAL(2, MayHaveRun);
  CHECK_EQUAL(4, NotRun);
}

// Guards against requests that a host with a short grace takes until its end
// and passes on without the time to answer them.
TEST(PlannedStop, aShortGraceAlsoRefusesNewRequestsBeforeItEnds) {
  Init.StopGraceSeconds = 2;
  start();
  World->signal(SIGTERM);
  std::string Last;
  std::string Answer = "first";
  while (!Answer.empty()) {
    Last = Answer;
    RawCaller C(World->caller(), 65536);
    size_t Sent = 0;
    C.writeSome(World->request("/plain/x", "Connection: close\r\n"), Sent);
    Answer = C.readUntil("\r\n\r\n", WaitLimit);
  }
  CHECK_TRUE(contains(Last, " 503 "));
  CHECK_TRUE(contains(Last, "Retry-After: 0.050"));
  CHECK_EQUAL(0, World->stop(WaitLimit));
}

// Guards against steps of a stop that are out of order, or that end requests
// before the last sixth of the grace.
TEST(PlannedStop, theStepsOfAStopAreInOrderForAnyGrace) {
  for (int64_t Ms : {100, 1000, 2600, 3000, 8000, 3600000}) {
    Time Begin = ProcessClock::now();
    StopPlan Plan = planStop(Begin, millis(Ms));
    CHECK_TRUE(Begin < Plan.AdmitUntil);
    CHECK_TRUE(Plan.AdmitUntil < Plan.EndRequestsAt);
    CHECK_TRUE(Plan.EarliestExit <= Plan.EndRequestsAt);
    CHECK_TRUE(Plan.EndRequestsAt >= Begin + millis(Ms) * 5 / 6);
    CHECK_TRUE(Plan.EndRequestsAt < Plan.ExitAt);
    CHECK_TRUE(Plan.ExitAt < Begin + millis(Ms));
  }
}
