// Tests with real gateway processes that a host which has missed a software
// version goes on with no stream of that version at another one.
#include "version_world.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <iostream>

using namespace shallotlatch;

// Streams begun at a time, of which a part gets to the new version.
static constexpr size_t StreamCount = 24;
static constexpr size_t LeastBegun = 6;
// Longer than any test, so that the store counts as silent.
static constexpr Duration StoreSilence = seconds(60);
static constexpr uint32_t Beginner = 0;
static constexpr uint32_t Stale = 3;
static const std::set<uint32_t> AllHosts = {0, 1, 2, 3};
static const std::set<uint32_t> OtherHosts = {0, 1, 2};

TEST_GROUP(HostOutOfStep) {
  std::unique_ptr<VersionWorld> World = std::make_unique<VersionWorld>();
  std::vector<std::shared_ptr<CallerStream>> Begun;
  std::vector<std::shared_ptr<CallerStream>> TakenUp;

  void setup() override {
    for (int I = 0; I < 2; ++I) {
      World->showTarget(World->startTarget("v1"), AllHosts);
    }
    World->runForOneLife();
    CHECK(World->beginStreams(Stale, 2, "v1").size() == 2);
  }
  void teardown() override {
    // The test's cases own sockets of the world's event loop.
    Begun.clear();
    TakenUp.clear();
    World.reset();
  }
  /// Starts a target of v2 that \p Hosts see, and begins streams at it.
  uint32_t beginAtNewVersion(const std::set<uint32_t> &Hosts) {
    uint32_t Target = World->startTarget("v2");
    World->showTarget(Target, Hosts);
    CHECK(World->runUntil(
        [this] { return !World->beginStreams(Beginner, 2, "v2").empty(); }));
    Begun = World->beginStreams(Beginner, StreamCount, "v2");
    CHECK(Begun.size() >= LeastBegun);
    return Target;
  }
  void takeUpAll() {
    for (const std::shared_ptr<CallerStream> &S : Begun) {
      TakenUp.push_back(World->takeUp(Stale, *S));
    }
  }
  void checkNoneAtOldVersion(const char *Name) {
    size_t Wrong = World->countGoneOn(TakenUp, "v1");
    size_t Right = World->countGoneOn(TakenUp, "v2");
    std::cout << "\n"
              << Name << ": of " << TakenUp.size()
              << " streams of v2 that were taken up, " << Wrong
              << " went on at v1, " << Right << " at v2" << std::endl;
    std::string Origins = World->originsAt(Stale);
    CHECK_EQUAL_TEXT(0U, Wrong, Origins.c_str());
  }
};

// The host does not know yet that its store is silent.
TEST(HostOutOfStep, aHostCutOffGoesOnWithNoStreamOfAVersionItHasNotSeen) {
  World->cutLinks({Stale}, true);
  World->storeFaults(Stale).ReplyDelay = StoreSilence;
  beginAtNewVersion(OtherHosts);
  World->killHost(Beginner);
  takeUpAll();
  checkNoneAtOldVersion("cut off");
}

// Hosts of one failure domain that are cut off together agree with each other.
TEST(HostOutOfStep, aDomainCutOffGoesOnWithNoStreamOfAVersionItHasNotSeen) {
  World->cutLinks({2, Stale}, true);
  for (uint32_t Host : {2U, Stale}) {
    World->storeFaults(Host).ReplyDelay = StoreSilence;
  }
  beginAtNewVersion({0, 1});
  takeUpAll();
  checkNoneAtOldVersion("domain cut off");
}

TEST(HostOutOfStep, aStoppedHostGoesOnWithNoStreamOfAVersionItHasNotSeen) {
  World->signalHost(Stale, SIGSTOP);
  beginAtNewVersion(AllHosts);
  World->killHost(Beginner);
  takeUpAll();
  World->runFor(millis(500));
  // Stopped again while it waits for answers.
  World->signalHost(Stale, SIGCONT);
  World->runFor(millis(1));
  World->signalHost(Stale, SIGSTOP);
  World->runFor(millis(500));
  World->signalHost(Stale, SIGCONT);
  checkNoneAtOldVersion("stopped");
}

// The store shows the host that the target came and went, in one answer.
TEST(HostOutOfStep, aStoppedHostKnowsOfAVersionThatCameAndWent) {
  World->signalHost(Stale, SIGSTOP);
  uint32_t Target = beginAtNewVersion(AllHosts);
  World->crashTarget(Target);
  World->hideTarget(Target, AllHosts);
  World->cutLinks({Stale}, true);
  World->signalHost(Stale, SIGCONT);
  World->runFor(millis(300));
  takeUpAll();
  checkNoneAtOldVersion("came and went");
}

// The connection of the watch lives on without an answer.
TEST(HostOutOfStep, aHostWhoseStoreIsSilentKnowsOfAVersionThatCameAndWent) {
  World->cutLinks({Stale}, true);
  World->storeFaults(Stale).Unavailable = true;
  uint32_t Target = beginAtNewVersion(AllHosts);
  World->runFor(seconds(1));
  World->crashTarget(Target);
  World->hideTarget(Target, AllHosts);
  World->storeFaults(Stale).Unavailable = false;
  World->runFor(millis(1500));
  takeUpAll();
  checkNoneAtOldVersion("store away");
}

// Guards against refusing what the store or most of the peers vouch for.
TEST(HostOutOfStep, streamsOfADeadHostGoOnWhileOneVersionServes) {
  Begun = World->beginStreams(Beginner, StreamCount, "v1");
  World->killHost(Beginner);
  takeUpAll();
  CHECK_EQUAL_TEXT(StreamCount, World->countGoneOn(TakenUp, "v1"),
                   World->originsAt(Stale).c_str());
}

TEST(HostOutOfStep, streamsOfADeadHostGoOnWhileTheStoreIsAway) {
  Begun = World->beginStreams(Beginner, StreamCount, "v1");
  for (uint32_t Host : AllHosts) {
    World->storeFaults(Host).Unavailable = true;
  }
  World->killHost(Beginner);
  takeUpAll();
  CHECK_EQUAL_TEXT(StreamCount, World->countGoneOn(TakenUp, "v1"),
                   World->originsAt(Stale).c_str());
}
