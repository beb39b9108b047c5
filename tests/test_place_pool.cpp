// Tests of the scheduler of one service: which requests wait, which are refused
// and which target each one gets, each rule under the load pattern that it is
// made for.
#include "place_pool_p.h"

#include <CppUTest/TestHarness.h>

using namespace shallotlatch;

TEST_GROUP(Placing) {
  Time Now{seconds(100)};
  std::unique_ptr<ServiceScheduler> Scheduler =
      std::make_unique<ServiceScheduler>(true, "north", 1);
  uint64_t NextPlacementId = 1;
  std::vector<PlacedRequest> Placed;
  std::vector<PlacementRefusal> Refused;

  void addTarget(const std::string &Name, uint32_t Slots,
                 const std::string &Domain = "north", bool Leaving = false) {
    TargetEntry T;
    T.Instance = Name;
    T.Slots = Slots;
    T.Domain = Domain;
    T.Leaving = Leaving;
    Scheduler->setTarget(T, Now);
  }
  PlacementRequest makeRequest(uint32_t Rank, Duration Objective = millis(500),
                               Duration Deadline = seconds(10)) {
    PlacementRequest Request;
    Request.Id = PlacementId{NextPlacementId++};
    Request.Rank = Rank;
    Request.PromptTokens = 550;
    Request.Objective = Objective;
    Request.Arrived = Now;
    Request.FirstAttempt = Now;
    Request.Deadline = Now + Deadline;
    return Request;
  }
  void decide() {
    Placed.clear();
    Refused.clear();
    Scheduler->decide(Now, Placed, Refused);
  }
};

TEST(Placing, nothingGoesToALeavingTargetOrBeyondTheSlots) {
  addTarget("leaving", 8, "north", true);
  addTarget("open", 2);
  for (int I = 0; I < 4; ++I) {
    Scheduler->enqueue(makeRequest(0));
  }
  decide();
  CHECK_EQUAL(2, Placed.size());
  STRCMP_EQUAL("open", Placed[0].Target.Instance.c_str());
  CHECK_EQUAL(0, Refused.size());
}

// Guards against a limit of requests a second that small requests use up, while
// large ones find no place.
TEST(Placing, largeRequestsUseALimitedTargetAndSmallOnesTheOthers) {
  addTarget("limited", 8);
  addTarget("open", 8);
  auto Identity = [](const char *Name) {
    TargetEntry T;
    T.Instance = Name;
    return T.shortIdentity();
  };
  Scheduler->limits().observe(Identity("limited"), 2, Now);
  int LargeOnLimited = 0;
  int SmallOnLimited = 0;
  for (int I = 0; I < 40; ++I) {
    bool IsLarge = I % 2 == 0;
    Now += millis(250);
    PlacementRequest Request = makeRequest(0);
    Request.OutputTokens = IsLarge ? 300 : 10;
    Scheduler->enqueue(Request);
    decide();
    CHECK_EQUAL(1, Placed.size());
    bool OnLimited = Placed[0].Target.Instance == "limited";
    (IsLarge ? LargeOnLimited : SmallOnLimited) += OnLimited ? 1 : 0;
    Scheduler->ended(Placed[0].Id, AttemptResult::Served, Now);
  }
  CHECK_EQUAL(0, SmallOnLimited);
  CHECK(LargeOnLimited >= 16);
  // Once no other target is free, small ones may use it too.
  Scheduler->removeTarget("open");
  Now += seconds(1);
  PlacementRequest Request = makeRequest(0);
  Request.OutputTokens = 10;
  Scheduler->enqueue(Request);
  decide();
  CHECK_EQUAL(1, Placed.size());
}

TEST(Placing, whatPeersHaveRunningTakesSlots) {
  addTarget("only", 3);
  std::vector<TargetUse> Use = {{static_cast<uint32_t>(hash64("only")), 2, 0}};
  Scheduler->peerUse(HostId{9}, Use, Now);
  Scheduler->enqueue(makeRequest(0));
  Scheduler->enqueue(makeRequest(0));
  decide();
  CHECK_EQUAL(1, Placed.size());
  Scheduler->forgetPeer(HostId{9});
  decide();
  CHECK_EQUAL(1, Placed.size());
}

TEST(Placing, urgentGoesFirstWhateverCameFirst) {
  addTarget("only", 1);
  Scheduler->enqueue(makeRequest(2));
  PlacementRequest Urgent = makeRequest(0);
  Scheduler->enqueue(Urgent);
  decide();
  CHECK_EQUAL(1, Placed.size());
  CHECK(Placed[0].Id == Urgent.Id);
}

// Guards against slots spent on late requests. If a burst lasts longer than the
// objective and the earliest due request goes first, each slot goes to a
// request that is already late.
TEST(Placing, inABurstPlacesGoToWhatCanStillBeOnTime) {
  addTarget("only", 1);
  Scheduler->enqueue(makeRequest(0));
  decide();
  PlacementRequest Old = makeRequest(0, millis(500), millis(1400));
  Scheduler->enqueue(Old);
  decide();
  Now += millis(600);
  PlacementRequest New = makeRequest(0);
  Scheduler->enqueue(New);
  decide();
  CHECK_EQUAL(0, Placed.size());
  Scheduler->ended(PlacementId{1}, AttemptResult::Served, Now);
  decide();
  CHECK_EQUAL(1, Placed.size());
  CHECK(Placed[0].Id == New.Id);
}

TEST(Placing, aFirstTimerThatIsLateIsAskedBackAtOnceAndAReturnerWaits) {
  addTarget("only", 1);
  Scheduler->enqueue(makeRequest(0));
  decide();
  PlacementRequest First = makeRequest(0);
  PlacementRequest Returning = makeRequest(0);
  Returning.RefusedBefore = true;
  Scheduler->enqueue(First);
  Scheduler->enqueue(Returning);
  Now += millis(600);
  decide();
  CHECK_EQUAL(1, Refused.size());
  CHECK(Refused[0].Id == First.Id);
  CHECK(Refused[0].RetryAfter.count() > 0);
  CHECK(Refused[0].RetryAfter < (First.Deadline - Now) / 3);
  Scheduler->ended(PlacementId{1}, AttemptResult::Served, Now);
  decide();
  CHECK_EQUAL(1, Placed.size());
  CHECK(Placed[0].Id == Returning.Id);
}

// Guards against a crashed target that attracts every request. Such a target
// looks idle, so it is chosen first unless it is marked suspect.
TEST(Placing, aTargetThatCannotBeReachedGetsOneProbeAtATime) {
  addTarget("dead", 8);
  addTarget("b", 8);
  addTarget("c", 8);
  PlacementRequest First = makeRequest(0);
  // The other targets get some load, so that the dead one has the lowest cost.
  std::vector<TargetUse> Use = {{static_cast<uint32_t>(hash64("b")), 4, 9000},
                                {static_cast<uint32_t>(hash64("c")), 4, 9000}};
  Scheduler->peerUse(HostId{9}, Use, Now);
  Scheduler->enqueue(First);
  decide();
  STRCMP_EQUAL("dead", Placed[0].Target.Instance.c_str());
  Scheduler->ended(First.Id, AttemptResult::Unreachable, Now);
  for (int I = 0; I < 5; ++I) {
    Scheduler->enqueue(makeRequest(0));
  }
  decide();
  CHECK_EQUAL(5, Placed.size());
  for (const PlacedRequest &P : Placed) {
    CHECK(P.Target.Instance != "dead");
  }
  Now += millis(300);
  for (int I = 0; I < 3; ++I) {
    Scheduler->enqueue(makeRequest(0));
  }
  decide();
  PlacementId Probe;
  for (const PlacedRequest &P : Placed) {
    if (P.Target.Instance == "dead") {
      CHECK_FALSE(Probe.isValid());
      Probe = P.Id;
    }
  }
  CHECK(Probe.isValid());
  Scheduler->ended(Probe, AttemptResult::Served, Now);
  for (int I = 0; I < 3; ++I) {
    Scheduler->enqueue(makeRequest(0));
  }
  decide();
  uint32_t PlacedOnRecovered = 0;
  for (const PlacedRequest &P : Placed) {
    PlacedOnRecovered += P.Target.Instance == "dead" ? 1 : 0;
  }
  CHECK(PlacedOnRecovered > 1);
}

TEST(Placing, aFaultOfAllTargetsDoesNotEmptyThePool) {
  for (const char *Name : {"a", "b", "c"}) {
    addTarget(Name, 8);
  }
  for (int Round = 0; Round < 12; ++Round) {
    PlacementRequest Request = makeRequest(0);
    Scheduler->enqueue(Request);
    decide();
    CHECK_EQUAL(1, Placed.size());
    Scheduler->ended(Request.Id, AttemptResult::Failed, Now);
  }
}

TEST(Placing, theOwnDomainIsPreferredWhileItIsQuick) {
  addTarget("far", 8, "south");
  addTarget("near", 8);
  Scheduler->enqueue(makeRequest(0));
  decide();
  STRCMP_EQUAL("near", Placed[0].Target.Instance.c_str());
}

// Guards against hosts with the same knowledge that all choose the same best
// target: its queue would grow before they learn of each other's choices.
TEST(Placing, hostsWithTheSameKnowledgeSpreadOverEqualTargets) {
  std::map<std::string, int> Chosen;
  for (uint64_t Host = 1; Host <= 60; ++Host) {
    Scheduler = std::make_unique<ServiceScheduler>(true, "north", Host);
    for (int I = 0; I < 6; ++I) {
      addTarget("t" + std::to_string(I), 5);
    }
    Scheduler->enqueue(makeRequest(0));
    decide();
    ++Chosen[Placed.at(0).Target.Instance];
  }
  CHECK_EQUAL(6, Chosen.size());
  for (const auto &Item : Chosen) {
    CHECK(Item.second < 30);
  }
}

TEST(Placing, aRemoteTargetsLastSlotIsLeftToItsOwnHosts) {
  // A few of the 30 remote hosts may use the target, but none its last slot.
  int UsingHosts = 0;
  for (uint64_t Host = 1; Host <= 30; ++Host) {
    Scheduler = std::make_unique<ServiceScheduler>(true, "north", Host);
    Scheduler->setRemoteHosts(30);
    addTarget("far", 3, "south");
    for (int I = 0; I < 3; ++I) {
      Scheduler->enqueue(makeRequest(0));
    }
    decide();
    CHECK(Placed.size() <= 2);
    UsingHosts += Placed.empty() ? 0 : 1;
  }
  CHECK(UsingHosts >= 1);
  CHECK(UsingHosts <= 8);
}
