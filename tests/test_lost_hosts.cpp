// Tests with real gateway processes that streams go on after all hosts that
// knew them were killed.
#include "fleet_exchange_p.h"
#include "version_world.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace shallotlatch;

static constexpr size_t StreamsEach = 6;
static const std::vector<std::string> Domains = {"a", "a", "a", "b",
                                                 "b", "b", "c", "c"};
static constexpr uint32_t HostCount = 8;
// Time within which a stream is written, with some for a busy machine.
static constexpr Duration WrittenAfter = millis(1500);
// Time from a start after which the users' bounds hold.
static constexpr Duration InTouchAfter = seconds(4);

TEST_GROUP(LostHosts) {
  std::unique_ptr<VersionWorld> World;
  std::vector<std::shared_ptr<CallerStream>> Old;
  std::vector<std::shared_ptr<CallerStream>> New;

  /// Starts hosts of three failure domains and targets of \p Versions.
  void start(const std::vector<std::string> &Versions) {
    World = std::make_unique<VersionWorld>(Domains, true);
    std::set<uint32_t> Any = {0};
    for (int I = 0; I < 2; ++I) {
      for (const std::string &Version : Versions) {
        World->showTarget(World->startTarget(Version), Any);
      }
    }
    World->runForOneLife();
  }
  void teardown() override {
    // The streams own sockets of the world's event loop.
    Old.clear();
    New.clear();
    World.reset();
  }
  void begin(const std::set<uint32_t> &Hosts) {
    for (uint32_t Host : Hosts) {
      for (const auto &S : World->beginStreams(Host, StreamsEach)) {
        Old.push_back(S);
      }
    }
    CHECK_EQUAL(Hosts.size() * StreamsEach, Old.size());
    World->runFor(WrittenAfter);
  }
  /// Has the streams taken up, in turn at \p Hosts, and counts those that go on
  /// at the version that began them and at another one.
  void checkAllGoOn(const std::vector<uint32_t> &Hosts) {
    std::string Origins;
    size_t Right = 0;
    for (size_t I = 0; I < Old.size(); ++I) {
      New.push_back(World->takeUp(Hosts[I % Hosts.size()], *Old[I]));
    }
    World->awaitAnswers(New);
    for (uint32_t Host : Hosts) {
      Origins += World->originsAt(Host);
    }
    for (size_t I = 0; I < Old.size(); ++I) {
      if (!New[I]->hasEvent()) {
        continue;
      }
      bool Same = World->softwareOf(*New[I]) == World->softwareOf(*Old[I]);
      CHECK_TEXT(Same, Origins.c_str());
      ++Right;
    }
    CHECK_EQUAL_TEXT(Old.size(), Right, Origins.c_str());
  }
};

/// Returns whether \p Host tells \p Other of its streams.
static bool tells(uint32_t Host, uint32_t Other) {
  std::vector<StreamPeer> Peers;
  for (uint32_t I = 0; I < HostCount; ++I) {
    if (I != Host) {
      Peers.push_back({hostId(VersionWorld::hostName(I)),
                       Domains[I] == Domains[Host], false, true, true});
    }
  }
  std::vector<HostId> Keepers = streamKeepers(Peers);
  return std::count(Keepers.begin(), Keepers.end(),
                    hostId(VersionWorld::hostName(Other))) != 0;
}

/// Returns two hosts of one failure domain that few others tell of streams.
static std::vector<uint32_t> hostsToldLeast() {
  std::vector<uint32_t> Best;
  size_t Fewest = HostCount;
  for (uint32_t A = 0; A < HostCount; ++A) {
    for (uint32_t B = A + 1; B < HostCount; ++B) {
      size_t Telling = 0;
      for (uint32_t I = 0; I < HostCount; ++I) {
        Telling += I != A && I != B && (tells(I, A) || tells(I, B)) ? 1 : 0;
      }
      if (Domains[A] == Domains[B] && Telling < Fewest) {
        Fewest = Telling;
        Best = {A, B};
      }
    }
  }
  return Best;
}

// Guards against streams that nobody can take up once their host and the hosts
// that were told of them are killed together, while two versions serve.
TEST(LostHosts, streamsOfTwoVersionsGoOnAtTheHostsThatAreLeft) {
  start({"v1", "v2"});
  std::vector<uint32_t> Left = hostsToldLeast();
  std::set<uint32_t> Killed;
  for (uint32_t Host = 0; Host < HostCount; ++Host) {
    if (Host != Left[0] && Host != Left[1]) {
      Killed.insert(Host);
    }
  }
  begin(Killed);
  for (uint32_t Host : Killed) {
    World->killHost(Host);
  }
  checkAllGoOn(Left);
}

static void killAll(VersionWorld &World) {
  for (uint32_t Host = 0; Host < HostCount; ++Host) {
    World.killHost(Host);
  }
  for (uint32_t Host = 0; Host < HostCount; ++Host) {
    World.startHost(Host);
  }
  World.runFor(InTouchAfter);
}

TEST(LostHosts, streamsOfTwoVersionsGoOnAfterAllHostsWereKilled) {
  start({"v1", "v2"});
  begin({0, 3, 6});
  killAll(*World);
  checkAllGoOn({0, 1, 2, 3, 4, 5, 6, 7});
}

// Guards against the same while one version serves, of which hosts write no
// streams.
TEST(LostHosts, streamsOfOneVersionGoOnAfterAllHostsWereKilled) {
  start({"v1"});
  begin({0, 3, 6});
  killAll(*World);
  checkAllGoOn({0, 1, 2, 3, 4, 5, 6, 7});
}

// Guards against streams that nobody can take up once a version enters that
// did not serve before.
TEST(LostHosts, streamsGoOnThoughAnotherVersionEntersAfterTheKill) {
  start({"v1"});
  begin({0, 3, 6});
  for (uint32_t Host : {0U, 3U, 6U}) {
    World->killHost(Host);
  }
  World->runFor(millis(200));
  World->showTarget(World->startTarget("v2"), {0});
  World->runFor(millis(800));
  checkAllGoOn({1, 2, 4, 5, 7});
}

// Guards against the same where the new version is seen by nobody who knew the
// time before.
TEST(LostHosts, streamsGoOnThoughAnotherVersionEntersBeforeAllStartAgain) {
  start({"v1"});
  begin({0, 3, 6});
  for (uint32_t Host = 0; Host < HostCount; ++Host) {
    World->killHost(Host);
  }
  World->showTarget(World->startTarget("v2"), {0});
  for (uint32_t Host = 0; Host < HostCount; ++Host) {
    World->startHost(Host);
  }
  World->runFor(InTouchAfter);
  checkAllGoOn({0, 1, 2, 3, 4, 5, 6, 7});
}

// Guards against streams of the new version that go on at the old one: they
// begin as soon as it is used, at hosts that are killed at once.
TEST(LostHosts, streamsOfAVersionThatHasEnteredNeverGoOnAtTheOldOne) {
  start({"v1"});
  uint32_t Newer = World->startTarget("v2");
  World->showTarget(Newer, {0});
  size_t AtNewer = 0;
  for (int I = 0; I < 100 && AtNewer < 3; ++I) {
    for (uint32_t Host : {0U, 3U, 6U}) {
      for (const auto &S : World->beginStreams(Host, 2)) {
        AtNewer += World->softwareOf(*S) == "v2" ? 1 : 0;
        Old.push_back(S);
      }
    }
  }
  CHECK(AtNewer >= 3);
  for (uint32_t Host : {0U, 3U, 6U}) {
    World->killHost(Host);
  }
  World->runFor(seconds(1));
  for (size_t I = 0; I < Old.size(); ++I) {
    New.push_back(World->takeUp(I % 2 == 0 ? 1 : 4, *Old[I]));
  }
  World->awaitAnswers(New);
  for (size_t I = 0; I < Old.size(); ++I) {
    bool Joins = New[I]->hasEvent() &&
                 World->softwareOf(*New[I]) != World->softwareOf(*Old[I]);
    CHECK_FALSE(Joins);
  }
}
