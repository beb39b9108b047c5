// Tests of which host knows the software version that began a stream, in fleets
// in virtual time.
#include "stream_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace shallotlatch;

TEST_GROUP(StreamFleets){static void play(size_t Domains, size_t HostsPerDomain,
                                          uint64_t Seed,
                                          Duration Length = seconds(60)){
    StreamFleet Fleet(Domains, HostsPerDomain, 9, Seed);
StreamCounts C = Fleet.run(Length, true);
std::string Run = std::to_string(Domains * HostsPerDomain) + " hosts, seed " +
                  std::to_string(Seed);
CHECK_EQUAL_TEXT(0, C.Wrong, Run.c_str());
CHECK_TEXT(C.Returned >= 12, Run.c_str());
CHECK_TEXT(2 * C.GoOn > C.Returned, Run.c_str());
}
}
;

TEST(StreamFleets, sixHostsKnowWhereStreamsBegan) {
  for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
    play(3, 2, Seed);
  }
}

TEST(StreamFleets, seventyHostsKnowWhereStreamsBegan) {
  play(6, 12, 1, seconds(40));
  play(6, 12, 2, seconds(40));
}

TEST(StreamFleets, threeHundredHostsKnowWhereStreamsBegan) {
  play(6, 49, 1, seconds(25));
}

TEST_GROUP(StreamLives){static void play(size_t Domains, size_t HostsPerDomain,
                                         uint64_t Seed){
    StreamFleet Fleet(Domains, HostsPerDomain, 2, Seed, TargetCourse::Release);
StreamCounts C = Fleet.run(seconds(45), true);
std::string Run = std::to_string(Domains * HostsPerDomain) + " hosts, seed " +
                  std::to_string(Seed);
CHECK_EQUAL_TEXT(0, C.Wrong, Run.c_str());
CHECK_TEXT(C.Returned >= 12, Run.c_str());
}
}
;

// Guards against streams that go on at another version after a configuration
// with shorter time limits, since hosts forgot the streams of the former one.
TEST(StreamLives, aShorterTimeLimitDoesNotShortenStreamsThatHaveBegun) {
  Time Start{seconds(1000)};
  SoftwareId Old = softwareId("v1");
  StreamOrigins Origins(Start);
  Origins.setStreamLife(seconds(20), Start);
  Time Begun = Start + seconds(30);
  Origins.recordServing(Engines, Old, Begun);
  Origins.recordBegun(Engines, streamId("r"), Old, Begun + seconds(20), Begun);
  StreamOrigins Peer(Start);
  Peer.setStreamLife(seconds(20), Start);
  Peer.recordServing(Engines, Old, Begun);
  for (StreamOrigins *O : {&Origins, &Peer}) {
    O->setStreamLife(seconds(8), Begun + millis(500));
    O->recordServing(Engines, softwareId("v2"), Begun + seconds(1));
    O->tick(Begun + seconds(15));
    CHECK_FALSE(O->soleVersion(Engines, Begun + seconds(15)).has_value());
  }
  CHECK(Origins.find(streamId("r")) == Old);
  Peer.tick(Begun + seconds(22));
  CHECK(Peer.soleVersion(Engines, Begun + seconds(22)) == softwareId("v2"));
}

// Guards against the same in a host that started after the change and knows the
// newest configuration only.
TEST(StreamLives, aHostLearnsTheLifeOfEarlierStreamsFromItsPeers) {
  Time Start{seconds(1000)};
  StreamOrigins Origins(Start);
  Origins.setStreamLife(seconds(8), Start);
  Origins.recordServing(Engines, softwareId("v2"), Start);
  Origins.mergeLife(seconds(19), Start + seconds(1));
  CHECK_FALSE(Origins.soleVersion(Engines, Start + seconds(19)).has_value());
  // Peers without such streams do not prolong it.
  for (int I = 2; I < 20; ++I) {
    Origins.mergeLife(Origins.longestLife(Start + seconds(I)),
                      Start + seconds(I) + millis(100));
  }
  CHECK(Origins.soleVersion(Engines, Start + millis(20100)).has_value());
}

// Guards against hosts that start together and prolong each other's ignorance,
// since one of them has no configuration yet.
TEST(StreamLives, aHostWithoutAConfigurationNamesNoLife) {
  Time Start{seconds(1000)};
  StreamOrigins Unconfigured(Start);
  CHECK(Unconfigured.longestLife(Start) == Duration(0));
  StreamOrigins Origins(Start);
  Origins.setStreamLife(seconds(20), Start);
  Origins.recordServing(Engines, softwareId("v1"), Start);
  Origins.mergeLife(Unconfigured.longestLife(Start), Start);
  CHECK(Origins.soleVersion(Engines, Start + seconds(20)).has_value());
  Unconfigured.mergeLife(seconds(20), Start);
  Unconfigured.setStreamLife(seconds(8), Start + millis(100));
  CHECK(Unconfigured.longestLife(Start + millis(100)) > seconds(19));
}

TEST(StreamLives, streamsOfSixHostsOutliveAShorterTimeLimit) {
  for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
    play(3, 2, Seed);
  }
}

TEST(StreamLives, streamsOfSeventyHostsOutliveAShorterTimeLimit) {
  play(6, 12, 1);
}

TEST(StreamLives, streamsOfThreeHundredHostsOutliveAShorterTimeLimit) {
  play(6, 49, 1);
}

TEST_GROUP(StreamRestarts){static void play(size_t Domains,
                                            size_t HostsPerDomain, double Rate,
                                            TargetCourse Course, uint64_t Seed){
    StreamFleet Fleet(Domains, HostsPerDomain, Rate, Seed, Course);
StreamCounts C = Fleet.run(seconds(45), false);
std::string Run = std::to_string(Domains * HostsPerDomain) + " hosts, seed " +
                  std::to_string(Seed) + ", " + std::to_string(C.GoOn) +
                  " of " + std::to_string(C.Returned);
CHECK_EQUAL_TEXT(0, C.Wrong, Run.c_str());
CHECK_TEXT(C.Returned >= 12, Run.c_str());
CHECK_TEXT(2 * C.GoOn > C.Returned, Run.c_str());
}
}
;

// Guards against streams of the last host of a rolling restart that go on
// nowhere, since the hosts that started lately do not know that one version
// alone has served.
TEST(StreamRestarts, streamsOfTheLastOfSixHostsGoOn) {
  for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
    play(3, 2, 9, TargetCourse::OneVersion, Seed);
  }
}

TEST(StreamRestarts, streamsOfTheLastOfSeventyHostsGoOn) {
  play(6, 12, 9, TargetCourse::OneVersion, 1);
  play(6, 12, 9, TargetCourse::OneVersion, 2);
}

TEST(StreamRestarts, streamsOfTheLastOfThreeHundredHostsGoOn) {
  play(6, 49, 4, TargetCourse::OneVersion, 1);
}

// Guards against the same while two versions serve, where the hosts that were
// told of the streams are among those that were restarted since.
TEST(StreamRestarts, streamsOfTwoVersionsGoOnAfterTheirKeepersWereRestarted) {
  for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
    play(3, 2, 9, TargetCourse::TwoVersionsInTurn, Seed);
  }
  play(6, 12, 9, TargetCourse::TwoVersionsInTurn, 1);
  play(6, 49, 4, TargetCourse::TwoVersionsInTurn, 1);
}

// The rate of requests of the size in docs/CAPACITY.md, and its bound.
TEST(StreamFleets, whatAHostSendsFitsItsBytesForControl) {
  StreamFleet Fleet(18, 22, 36, 1);
  StreamCounts C = Fleet.run(seconds(10), false);
  CHECK(C.BytesPerHostAndSecond <= 4096);
}

// Guards against a stream of a run in doubt that goes on where another host
// knows of one version only.
TEST(StreamLives, aStreamOfARunInDoubtIsToldToOtherHosts) {
  Time Start{seconds(1000)};
  Time Now = Start + seconds(30);
  StreamOrigins Origins(Start);
  StreamOrigins Keeper(Start);
  for (StreamOrigins *O : {&Origins, &Keeper}) {
    O->setStreamLife(seconds(8), Start);
    O->recordServing(Engines, softwareId("v1"), Now);
  }
  Origins.recordUndecided(streamId("r"), Now + seconds(8), Now);
  Keeper.merge(Origins.takeNotes(MaxStreamNotes, Now), Now);
  StreamNote Answer = Keeper.answer({streamId("r"), Engines}, true, Now);
  CHECK_FALSE(Answer.IsGuess);
  CHECK(Answer.Software == UndecidedSoftware);
}
