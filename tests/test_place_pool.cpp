// Who waits, who is refused and who goes where, each under the load pattern
// that it answers.
#include "place_pool_p.h"

#include <CppUTest/TestHarness.h>

using namespace shallotlatch;

TEST_GROUP(Placing) {
  Time Now{seconds(100)};
  std::unique_ptr<ServiceScheduler> Pool =
      std::make_unique<ServiceScheduler>(true, "north", 1);
  uint64_t NextRun = 1;
  std::vector<PlacedRequest> Placed;
  std::vector<PlacementRefusal> Refused;

  void target(const std::string &Name, uint32_t Slots,
              const std::string &Domain = "north", bool Leaving = false) {
    TargetEntry T;
    T.Instance = Name;
    T.Slots = Slots;
    T.Domain = Domain;
    T.Leaving = Leaving;
    Pool->setTarget(T, Now);
  }
  PlacementRequest ask(uint32_t Rank, Duration Objective = millis(500),
                       Duration Deadline = seconds(10)) {
    PlacementRequest A;
    A.Id = PlacementId{NextRun++};
    A.Rank = Rank;
    A.PromptTokens = 550;
    A.Objective = Objective;
    A.Arrived = Now;
    A.FirstAttempt = Now;
    A.Deadline = Now + Deadline;
    return A;
  }
  void decide() {
    Placed.clear();
    Refused.clear();
    Pool->decide(Now, Placed, Refused);
  }
};

TEST(Placing, nothingGoesToALeavingTargetOrBeyondTheSlots) {
  target("leaving", 8, "north", true);
  target("open", 2);
  for (int I = 0; I < 4; ++I) {
    Pool->enqueue(ask(0));
  }
  decide();
  CHECK_EQUAL(2, Placed.size());
  STRCMP_EQUAL("open", Placed[0].Target.Instance.c_str());
  CHECK_EQUAL(0, Refused.size());
}

TEST(Placing, whatPeersHaveRunningTakesSlots) {
  target("only", 3);
  std::vector<TargetUse> Use = {{static_cast<uint32_t>(hash64("only")), 2, 0}};
  Pool->peerUse(HostId{9}, Use, Now);
  Pool->enqueue(ask(0));
  Pool->enqueue(ask(0));
  decide();
  CHECK_EQUAL(1, Placed.size());
  Pool->forgetPeer(HostId{9});
  decide();
  CHECK_EQUAL(1, Placed.size());
}

TEST(Placing, urgentGoesFirstWhateverCameFirst) {
  target("only", 1);
  Pool->enqueue(ask(2));
  PlacementRequest Urgent = ask(0);
  Pool->enqueue(Urgent);
  decide();
  CHECK_EQUAL(1, Placed.size());
  CHECK(Placed[0].Id == Urgent.Id);
}

// A burst longer than the objective: with the earliest due first, each place
// would go to a request that is late already.
TEST(Placing, inABurstPlacesGoToWhatCanStillBeOnTime) {
  target("only", 1);
  Pool->enqueue(ask(0));
  decide();
  PlacementRequest Old = ask(0, millis(500), millis(1400));
  Pool->enqueue(Old);
  decide();
  Now += millis(600);
  PlacementRequest New = ask(0);
  Pool->enqueue(New);
  decide();
  CHECK_EQUAL(0, Placed.size());
  Pool->ended(PlacementId{1}, AttemptResult::Served, Now);
  decide();
  CHECK_EQUAL(1, Placed.size());
  CHECK(Placed[0].Id == New.Id);
}

TEST(Placing, aFirstTimerThatIsLateIsAskedBackAtOnceAndAReturnerWaits) {
  target("only", 1);
  Pool->enqueue(ask(0));
  decide();
  PlacementRequest First = ask(0);
  PlacementRequest Back = ask(0);
  Back.RefusedBefore = true;
  Pool->enqueue(First);
  Pool->enqueue(Back);
  Now += millis(600);
  decide();
  CHECK_EQUAL(1, Refused.size());
  CHECK(Refused[0].Id == First.Id);
  CHECK(Refused[0].RetryAfter.count() > 0);
  CHECK(Refused[0].RetryAfter < (First.Deadline - Now) / 3);
  Pool->ended(PlacementId{1}, AttemptResult::Served, Now);
  decide();
  CHECK_EQUAL(1, Placed.size());
  CHECK(Placed[0].Id == Back.Id);
}

// A crashed target looks empty; without suspicion it takes every request.
TEST(Placing, aTargetThatCannotBeReachedGetsOneProbeAtATime) {
  target("dead", 8);
  target("b", 8);
  target("c", 8);
  PlacementRequest First = ask(0);
  // Fill the others a little so that the dead one looks best.
  std::vector<TargetUse> Use = {{static_cast<uint32_t>(hash64("b")), 4, 9000},
                                {static_cast<uint32_t>(hash64("c")), 4, 9000}};
  Pool->peerUse(HostId{9}, Use, Now);
  Pool->enqueue(First);
  decide();
  STRCMP_EQUAL("dead", Placed[0].Target.Instance.c_str());
  Pool->ended(First.Id, AttemptResult::Unreachable, Now);
  for (int I = 0; I < 5; ++I) {
    Pool->enqueue(ask(0));
  }
  decide();
  CHECK_EQUAL(5, Placed.size());
  for (const PlacedRequest &P : Placed) {
    CHECK(P.Target.Instance != "dead");
  }
  Now += millis(300);
  for (int I = 0; I < 3; ++I) {
    Pool->enqueue(ask(0));
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
  Pool->ended(Probe, AttemptResult::Served, Now);
  for (int I = 0; I < 3; ++I) {
    Pool->enqueue(ask(0));
  }
  decide();
  uint32_t Back = 0;
  for (const PlacedRequest &P : Placed) {
    Back += P.Target.Instance == "dead" ? 1 : 0;
  }
  CHECK(Back > 1);
}

TEST(Placing, aFaultOfAllTargetsDoesNotEmptyThePool) {
  for (const char *Name : {"a", "b", "c"}) {
    target(Name, 8);
  }
  for (int Round = 0; Round < 12; ++Round) {
    PlacementRequest A = ask(0);
    Pool->enqueue(A);
    decide();
    CHECK_EQUAL(1, Placed.size());
    Pool->ended(A.Id, AttemptResult::Failed, Now);
  }
}

TEST(Placing, theOwnDomainIsPreferredWhileItIsQuick) {
  target("far", 8, "south");
  target("near", 8);
  Pool->enqueue(ask(0));
  decide();
  STRCMP_EQUAL("near", Placed[0].Target.Instance.c_str());
}

// Many hosts that know the same: each on its own would choose the one best
// target, and its queue would grow before they hear of each other.
TEST(Placing, hostsWithTheSameKnowledgeSpreadOverEqualTargets) {
  std::map<std::string, int> Chosen;
  for (uint64_t Host = 1; Host <= 60; ++Host) {
    Pool = std::make_unique<ServiceScheduler>(true, "north", Host);
    for (int I = 0; I < 6; ++I) {
      target("t" + std::to_string(I), 5);
    }
    Pool->enqueue(ask(0));
    decide();
    ++Chosen[Placed.at(0).Target.Instance];
  }
  CHECK_EQUAL(6, Chosen.size());
  for (const auto &Item : Chosen) {
    CHECK(Item.second < 30);
  }
}

TEST(Placing, aRemoteTargetsLastSlotIsLeftToItsOwnHosts) {
  // Of 30 remote hosts a few may use the target, and none its last slot.
  int Users = 0;
  for (uint64_t Host = 1; Host <= 30; ++Host) {
    Pool = std::make_unique<ServiceScheduler>(true, "north", Host);
    Pool->setRemoteHosts(30);
    target("far", 3, "south");
    for (int I = 0; I < 3; ++I) {
      Pool->enqueue(ask(0));
    }
    decide();
    CHECK(Placed.size() <= 2);
    Users += Placed.empty() ? 0 : 1;
  }
  CHECK(Users >= 1);
  CHECK(Users <= 8);
}
