// Tests with real gateway processes that hosts which lose their own paths to
// all targets go on serving, while peers reach the targets.
#include "cut_world.h"

#include <CppUTest/TestHarness.h>

#include <iostream>

using namespace shallotlatch;

// Length of a cut, and the time of it in which hosts may still fail.
static constexpr Duration CutTime = seconds(9);
static constexpr Duration ConnectivityTime = seconds(4);
// Time after a cut's end from which on all hosts serve alike, and the time for
// which that is watched.
static constexpr Duration HealTime = seconds(1);
static constexpr Duration HealedTime = seconds(2);
// Calm load before a cut.
static constexpr Duration CalmTime = millis(1500);
// Least part of the others' share of requests that hosts without paths serve.
static constexpr double LeastShare = 2.0 / 3;

static std::string describe(const CutCounts &Counts) {
  return std::to_string(Counts.Served) + " of " + std::to_string(Counts.Sent);
}

// Checks the shares of requests sent in [From, To).
static void checkShares(const CutWorld &World,
                        const std::vector<uint32_t> &Hosts,
                        const std::string &When, Time From, Time To) {
  CutCounts Cut = World.count(Hosts, false, From, To);
  CutCounts Others = World.count(Hosts, true, From, To);
  std::string Text = When + ": " + describe(Cut) + " served at cut hosts, " +
                     describe(Others) + " at the others";
  std::cout << "\n" << Text << std::endl;
  Text += World.failures(From, To);
  CHECK_TEXT(Others.share() >= LeastShare, Text.c_str());
  CHECK_TEXT(Cut.share() >= LeastShare * Others.share(), Text.c_str());
}

// Streams on connections that go on are not disturbed.
static void checkStreams(const CutWorld &World,
                         const std::vector<uint32_t> &Hosts, PathCut Kind,
                         Time CutAt) {
  for (uint32_t Host : Hosts) {
    CutCounts Streams = World.countStreamsAt(Host, CutAt);
    std::string Text = describe(Streams) + " streams under way came whole at " +
                       "host " + std::to_string(Host);
    std::cout << "\n" << Text << std::endl;
    CHECK_TEXT(Streams.Sent > 0, Text.c_str());
    CHECK_TEXT(Kind != PathCut::RefuseNew || Streams.Served == Streams.Sent,
               Text.c_str());
  }
}

static void play(const std::vector<uint32_t> &Hosts, PathCut Kind,
                 bool KeepConnections) {
  CutWorld World(KeepConnections);
  CHECK_TRUE(World.waitReady());
  World.run(CalmTime);
  Time CutAt = ProcessClock::now();
  for (uint32_t Host : Hosts) {
    World.setPaths(Host, Kind);
  }
  World.run(CutTime);
  Time HealedAt = ProcessClock::now();
  for (uint32_t Host : Hosts) {
    World.setPaths(Host, PathCut::None);
  }
  World.run(HealTime + HealedTime);
  World.finish();
  std::string Broken;
  for (const soak::Violation &V : World.violations()) {
    Broken += std::string("\n") + V.Promise + ": " + V.Details;
  }
  STRCMP_EQUAL("", Broken.c_str());
  CHECK_EQUAL(0, World.refusedContents());
  checkStreams(World, Hosts, Kind, CutAt);
  checkShares(World, Hosts, "after the cut", HealedAt + HealTime,
              HealedAt + HealTime + HealedTime);
  checkShares(World, Hosts, "in the cut", CutAt + ConnectivityTime, HealedAt);
}

// The parameters are the hosts, the cut, and whether targets keep connections
// open after an answer.
TEST_GROUP(CutPaths){};

TEST(CutPaths, oneHostsPathsFallSilent) { play({1}, PathCut::Silent, true); }

TEST(CutPaths, allHostsOfADomainAreReset) {
  play({0, 1}, PathCut::Reset, true);
}

TEST(CutPaths, oneHostIsRefusedNewConnections) {
  play({2}, PathCut::RefuseNew, true);
}

// All but the streams under way need new connections.
TEST(CutPaths, oneHostWithoutKeptConnectionsIsRefusedNewOnes) {
  play({2}, PathCut::RefuseNew, false);
}
