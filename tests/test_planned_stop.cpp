// Tests with a real gateway process of what callers get when it is asked to
// stop.
#include "memory_world.h"

#include <CppUTest/TestHarness.h>

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
// answer: the one whose request runs, and those whose requests still wait.
TEST(PlannedStop, everyRequestThatAStopEndsIsAnswered) {
  Init.StopGraceSeconds = 2;
  Init.TargetSlots = 1;
  start();
  std::vector<std::unique_ptr<RawCaller>> Callers;
  for (int I = 0; I < 6; ++I) {
    Callers.push_back(ask("/held/x"));
  }
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
