// Tests of the state that hosts share (customer limits, crash counts,
// configuration, liveness), of prefix hints and of service-level windows.
#include "fleet_fake.h"
#include "prefix_index_p.h"
#include "slo_window_p.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace shallotlatch;

TEST_GROUP(PrefixHints){};

TEST(PrefixHints, findsTheDeepestMatchPerTarget) {
  PrefixIndex Index(1024, 8);
  std::string Long(40000, 'a');
  std::string Other = Long;
  Other.replace(20000, 100, std::string(100, 'b'));
  Time Now{seconds(5)};
  Index.add(hashPrefixes(Long), 1, Now);
  Index.add(hashPrefixes(Other), 2, Now);
  std::array<PrefixMatch, 8> Out;
  LONGS_EQUAL(2, Index.match(hashPrefixes(Long), Now, Out));
  LONGS_EQUAL(1, Out[0].Target);
  CHECK(Out[0].Tokens > Out[1].Tokens);
  Index.removeTarget(1);
  LONGS_EQUAL(1, Index.match(hashPrefixes(Long), Now, Out));
}

TEST(PrefixHints, agesOut) {
  PrefixIndex Index(1024, 8);
  PrefixHashes P = hashPrefixes(std::string(40000, 'a'));
  Index.add(P, 1, Time(seconds(5)));
  std::array<PrefixMatch, 8> Out;
  LONGS_EQUAL(0, Index.match(P, Time(seconds(700)), Out));
}

TEST_GROUP(ServiceLevels){};

TEST(ServiceLevels, burnIsBadShareOverAllowedShare) {
  SloWindow W;
  Time Now{seconds(10000)};
  for (int I = 0; I < 100; ++I) {
    W.add("tier/a", I >= 4, Now);
  }
  SloBurnRate B = W.burnRate("tier/a", 0.98, seconds(300), Now);
  DOUBLES_EQUAL(2.0, B.BurnRate, 1e-9);
  B = W.burnRate("tier/a", 0.98, seconds(300), Now + seconds(400));
  LONGS_EQUAL(0, B.Counts.Total);
  B = W.burnRate("tier/a", 0.98, seconds(3600), Now + seconds(400));
  LONGS_EQUAL(100, B.Counts.Total);
}

TEST_GROUP(FleetWide){};

// Returns the rate of admitted requests of the customer "capped", whose limit
// is 20 requests per second; 50 per second are sent, spread over the hosts. The
// tests allow the promised deviation of 10 percent.
static double admittedPerSecond(FleetFake &F, uint32_t Hosts,
                                uint32_t Seconds) {
  std::vector<size_t> Submissions;
  for (uint32_t Step = 0; Step < Seconds * 50; ++Step) {
    FakeRequest R;
    R.Kind = "model-normal";
    R.Customer = "capped";
    R.Body = "b" + std::to_string(Step);
    Submissions.push_back(F.submit(Step % Hosts, R));
    F.advance(millis(20));
  }
  F.settle(seconds(20));
  uint32_t Admitted = 0;
  for (size_t S : Submissions) {
    const Verdict *V = F.verdict(S);
    Admitted += V != nullptr && V->Why != Reason::RateLimit ? 1 : 0;
  }
  return static_cast<double>(Admitted) / Seconds;
}

TEST(FleetWide, aCustomersRateHoldsOverAllHosts) {
  FleetInit Init;
  Init.Hosts = 8;
  Init.RunTime = millis(20);
  FleetFake F(Init);
  F.advance(seconds(1));
  DOUBLES_EQUAL(20.0, admittedPerSecond(F, 8, 30), 2.0);
}

TEST(FleetWide, aCustomersRateHoldsWhileAHostDies) {
  FleetInit Init;
  Init.Hosts = 6;
  Init.RunTime = millis(20);
  FleetFake F(Init);
  F.advance(seconds(1));
  F.kill(5);
  DOUBLES_EQUAL(20.0, admittedPerSecond(F, 5, 30), 2.0);
}

TEST(FleetWide, aPoisonRequestIsRefusedAfterTwoCrashes) {
  FleetFake F{FleetInit()};
  F.advance(seconds(1));
  F.PoisonBodies.insert("poison");
  FakeRequest R;
  R.Kind = "model-normal";
  R.Customer = "small";
  R.Body = "poison";
  uint32_t RunCount = 0;
  uint32_t Quarantined = 0;
  for (uint32_t I = 0; I < 8; ++I) {
    size_t S = F.submit(I % 4, R);
    F.advance(seconds(3));
    RunCount += F.runsOf(S);
    Quarantined += F.verdict(S)->Why == Reason::Quarantined ? 1 : 0;
  }
  LONGS_EQUAL(2, RunCount);
  LONGS_EQUAL(6, Quarantined);
  F.node(1).crashCounts().clear(Fingerprint{hash64("poison") | 1});
  F.advance(seconds(3));
  F.PoisonBodies.clear();
  size_t Cleared = F.submit(3, R);
  F.advance(seconds(3));
  CHECK(F.verdict(Cleared)->Result == Outcome::Completed);
}

// Guards against a beginning of prompts that crashes engine after engine, in
// prompts that all end differently.
TEST(FleetWide, aPromptBeginningThatCrashesItsTargetsIsRefused) {
  FleetFake F{FleetInit()};
  F.advance(seconds(1));
  FakeRequest R;
  R.Kind = "model-normal";
  R.Customer = "small";
  uint32_t RunCount = 0;
  for (uint32_t I = 0; I < 12; ++I) {
    R.Body = std::string(2048, 'p') + std::to_string(I);
    F.PoisonBodies.insert(R.Body);
    size_t S = F.submit(I % 4, R);
    F.advance(seconds(3));
    RunCount += F.runsOf(S);
  }
  // Five crashes may pass before the beginning is known to cause them.
  CHECK(RunCount <= 5);
}

// Guards against the quarantine of an innocent request: target crashes are
// counted against every request that ran there, and a completed run must clear
// the count.
TEST(FleetWide, innocentRequestsAreNotQuarantinedForEver) {
  FleetInit Init;
  Init.RunTime = millis(50);
  FleetFake F(Init);
  F.advance(seconds(1));
  FakeRequest R;
  R.Kind = "model-normal";
  R.Customer = "small";
  R.Body = "innocent";
  for (uint32_t Round = 0; Round < 4; ++Round) {
    F.submit(0, R);
    F.advance(millis(20));
    F.crashTarget("north-0");
    F.crashTarget("north-1");
    F.advance(seconds(3));
    size_t Again = F.submit(0, R);
    F.advance(seconds(3));
    CHECK(F.verdict(Again)->Result == Outcome::Completed);
  }
}

TEST(FleetWide, aConfigurationIsInForceEverywhereWithinFiveSeconds) {
  FleetInit Init;
  Init.Hosts = 24;
  Init.LinkDelay = millis(30);
  FleetFake F(Init);
  F.advance(seconds(5));
  for (uint32_t Change = 1; Change <= 5; ++Change) {
    F.apply(testConfig(Change));
    uint64_t Expected = F.store().peek("config").Number.Value;
    F.advance(seconds(5));
    for (uint32_t I = 0; I < Init.Hosts; ++I) {
      Version InForce =
          F.node(I).documents().stats(DocumentKind::Config).Number;
      LONGLONGS_EQUAL(Expected, InForce.Value);
    }
  }
}

TEST(FleetWide, aDeadHostIsNoticedByAllWithinThreeSeconds) {
  FleetInit Init;
  Init.Hosts = 24;
  FleetFake F(Init);
  F.advance(seconds(5));
  F.pause(7);
  F.advance(seconds(3));
  for (uint32_t I = 0; I < Init.Hosts; ++I) {
    if (I != 7) {
      CHECK(!F.node(I).membership().live(hostId("host-7")));
    }
  }
  F.resume(7);
  F.advance(seconds(3));
  for (uint32_t I = 0; I < Init.Hosts; ++I) {
    CHECK(F.node(I).membership().live(hostId("host-7")));
  }
}

TEST(FleetWide, oneBadLinkDoesNotFlapTheFleet) {
  FleetInit Init;
  Init.Hosts = 8;
  FleetFake F(Init);
  F.advance(seconds(5));
  F.cutLink(2, 3, true);
  F.advance(seconds(10));
  for (uint32_t I = 0; I < Init.Hosts; ++I) {
    for (uint32_t J = 0; J < Init.Hosts; ++J) {
      bool BothAtBadLink = (I == 2 || I == 3) && (J == 2 || J == 3);
      if (!BothAtBadLink) {
        CHECK(F.node(I).membership().live(hostId("host-" + std::to_string(J))));
      }
    }
  }
}

TEST(FleetWide, aLeavingTargetGetsNothingNewAfterThreeSeconds) {
  FleetFake F{FleetInit()};
  F.advance(seconds(3));
  FakeRequest R;
  R.Kind = "model-normal";
  R.Customer = "small";
  auto SendFor = [&](int Steps) {
    for (int I = 0; I < Steps; ++I) {
      R.Body = "b" + std::to_string(I);
      F.submit(static_cast<uint32_t>(I) % 4, R);
      F.advance(millis(100));
    }
  };
  SendFor(20);
  F.LeavingTargets.insert("north-0");
  Time LeavingReportedAt = F.now();
  SendFor(80);
  // The owner of the target's pool dies. The next owner must also know that the
  // target is leaving.
  F.kill(2);
  SendFor(40);
  uint32_t RunsBeforeLeaving = 0;
  uint32_t RunsAfterLimit = 0;
  for (const FleetFake::TargetRunRecord &Run : F.runs()) {
    bool Leaving = Run.Target == "north-0";
    RunsBeforeLeaving += Leaving && Run.At <= LeavingReportedAt ? 1 : 0;
    RunsAfterLimit +=
        Leaving && Run.At > LeavingReportedAt + seconds(3) ? 1 : 0;
  }
  CHECK(RunsBeforeLeaving > 0);
  LONGS_EQUAL(0, RunsAfterLimit);
}
