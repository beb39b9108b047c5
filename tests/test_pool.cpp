// Tests of the scheduler of one pool: order of grants, load shedding, choice of
// targets and recovery. Each test checks one decision.
#include "pool_p.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace shallotlatch;

TEST_GROUP(PoolDecisions) {
  PolicySpec Policy;
  std::vector<TargetSpec> Specs;
  std::unique_ptr<Pool> P;
  PoolReplies Replies;
  Time Now{seconds(100)};
  uint32_t NextId = 1;

  void open(uint32_t Targets, uint32_t Slots) {
    Specs.clear();
    for (uint32_t I = 0; I < Targets; ++I) {
      TargetSpec T;
      T.Name = "target-" + std::to_string(I);
      T.Slots = Slots;
      Specs.push_back(T);
    }
    std::vector<const TargetSpec *> Pointers;
    for (const TargetSpec &T : Specs) {
      Pointers.push_back(&T);
    }
    P = std::make_unique<Pool>("north", "engines", Policy);
    P->configure(Pointers, Policy);
  }

  AskId requestSlot(TierRank Tier, uint32_t Prompt = 100, uint32_t Customer = 1,
                    Duration Slack = seconds(60),
                    const std::string &Text = "") {
    SlotRequest A;
    A.Id = AskId{NextId++};
    A.Tier = Tier;
    A.Customer = CustomerId{Customer};
    A.PromptTokens = Prompt;
    A.OutputTokens = 10;
    A.Slack = Slack;
    A.Prefix = hashPrefixes(Text);
    P->enqueue(Now, HostId{1}, A, 1, Replies);
    return A.Id;
  }

  void release(AskId Id, DispatchResult Result = DispatchResult::Done) {
    Release R;
    R.Id = Id;
    R.Result = Result;
    P->release(Now, HostId{1}, R, Replies);
  }

  bool granted(AskId Id) const {
    for (const auto &G : Replies.Grants) {
      if (G.second.Id == Id) {
        return true;
      }
    }
    return false;
  }
  TargetId targetOfGrant(AskId Id) const {
    for (const auto &G : Replies.Grants) {
      if (G.second.Id == Id) {
        return G.second.Target;
      }
    }
    return TargetId();
  }
  const Refusal *refusalOf(AskId Id) const {
    for (const auto &R : Replies.Refusals) {
      if (R.second.Id == Id) {
        return &R.second;
      }
    }
    return nullptr;
  }
};

TEST(PoolDecisions, higherTierOvertakesWhatWaits) {
  open(1, 1);
  AskId First = requestSlot(2);
  AskId Low = requestSlot(2);
  AskId High = requestSlot(0);
  release(First);
  CHECK(granted(High));
  CHECK(!granted(Low));
}

TEST(PoolDecisions, leastSlackGoesFirstWithinATier) {
  open(1, 1);
  AskId First = requestSlot(1);
  AskId Relaxed = requestSlot(1, 100, 2, seconds(60));
  AskId Urgent = requestSlot(1, 100, 3, seconds(5));
  release(First);
  CHECK(granted(Urgent));
  CHECK(!granted(Relaxed));
}

TEST(PoolDecisions, aLargeCustomerDoesNotStarveASmallOne) {
  open(1, 1);
  AskId Running = requestSlot(1, 4000, 1);
  for (int I = 0; I < 20; ++I) {
    requestSlot(1, 4000, 1);
  }
  AskId Small = requestSlot(1, 50, 2);
  release(Running);
  AskId Next = Replies.Grants.back().second.Id;
  release(Next);
  release(Replies.Grants.back().second.Id);
  CHECK(granted(Small));
}

TEST(PoolDecisions, shedsTheNewestOfTheLowestTier) {
  Policy.PoolCapacity = 2;
  open(1, 1);
  requestSlot(0);
  AskId OldLow = requestSlot(2);
  AskId NewLow = requestSlot(2);
  AskId High = requestSlot(0);
  POINTERS_EQUAL(nullptr, refusalOf(OldLow));
  CHECK(refusalOf(NewLow)->Why == Reason::Overload);
  CHECK(refusalOf(NewLow)->RetryAfter.count() > 0);
  POINTERS_EQUAL(nullptr, refusalOf(High));
}

TEST(PoolDecisions, equalTierKeepsWhatItHas) {
  Policy.PoolCapacity = 1;
  open(1, 1);
  requestSlot(1);
  AskId Old = requestSlot(1);
  AskId New = requestSlot(1);
  POINTERS_EQUAL(nullptr, refusalOf(Old));
  CHECK(refusalOf(New)->Why == Reason::Overload);
}

TEST(PoolDecisions, refusesWhatCannotMeetItsDeadline) {
  open(1, 4);
  AskId Late = requestSlot(0, 80000, 1, seconds(1));
  CHECK(refusalOf(Late)->Why == Reason::Deadline);
}

TEST(PoolDecisions, refusesOnceTheDeadlineIsOutOfReach) {
  open(1, 1);
  requestSlot(0);
  AskId Waiting = requestSlot(0, 100, 1, seconds(2));
  Now += seconds(3);
  P->tick(Now, Replies);
  CHECK(refusalOf(Waiting)->Why == Reason::Deadline);
}

TEST(PoolDecisions, prefersTheTargetThatHasThePrefix) {
  open(4, 4);
  std::string Text(64 * 1024, 'x');
  AskId First = requestSlot(0, 16000, 1, seconds(60), Text);
  TargetId FirstTarget = targetOfGrant(First);
  release(First);
  Now += seconds(5);
  P->tick(Now, Replies);
  AskId Again = requestSlot(0, 16000, 1, seconds(60), Text);
  CHECK(targetOfGrant(Again) == FirstTarget);
}

TEST(PoolDecisions, longPromptsLeaveTargetsForQuickOnes) {
  Policy.LongPromptTokens = 8000;
  open(4, 4);
  std::set<uint32_t> Used;
  for (int I = 0; I < 30; ++I) {
    AskId Long = requestSlot(0, 20000);
    if (granted(Long)) {
      Used.insert(targetOfGrant(Long).Value);
    }
  }
  LONGS_EQUAL(2, Used.size());
  AskId Quick = requestSlot(2, 50);
  CHECK(granted(Quick));
  CHECK(Used.count(targetOfGrant(Quick).Value) == 0);
}

TEST(PoolDecisions, aLeavingTargetGetsNothingNew) {
  open(2, 4);
  P->setLeaving(targetId("target-0"), true);
  for (int I = 0; I < 4; ++I) {
    CHECK(targetOfGrant(requestSlot(0)) == targetId("target-1"));
  }
  CHECK(!granted(requestSlot(0)));
}

TEST(PoolDecisions, aSlowTargetLosesItsWorkAndGetsItBack) {
  open(3, 8);
  StreamProgress Slow;
  Slow.Target = targetId("target-0");
  Slow.Tokens = 10;
  Slow.StreamTime = seconds(2); // 200 ms per token; 20 ms are configured.
  Time Start = Now;
  bool Ejected = false;
  while (!Ejected && Now - Start < seconds(5)) {
    P->recordProgress(Now, Slow);
    Now += millis(1000);
    P->tick(Now, Replies);
    Ejected = P->targets()[0].Ejected;
  }
  CHECK(Ejected);
  CHECK(targetOfGrant(requestSlot(0)) != targetId("target-0"));
  Now += seconds(4);
  P->tick(Now, Replies);
  CHECK(!P->targets()[0].Ejected);
}

TEST(PoolDecisions, aDeadTargetIsTriedAgainWithBackoff) {
  open(1, 4);
  AskId First = requestSlot(0);
  release(First, DispatchResult::Unsent);
  AskId Second = requestSlot(0);
  CHECK(!granted(Second));
  Now += millis(1100);
  P->tick(Now, Replies);
  CHECK(granted(Second));
}

TEST(PoolDecisions, aNewOwnerCountsWhatIsInFlight) {
  open(1, 2);
  EntryStateReport Report;
  Report.Complete = true;
  Report.Held = {{AskId{900}, targetId("target-0")},
                 {AskId{901}, targetId("target-0")}};
  P->reconcile(Now, HostId{2}, Report, Replies);
  AskId Waiting = requestSlot(0);
  CHECK(!granted(Waiting));
  // The host that sent the list finished one request, and the release message
  // was lost.
  Now += seconds(4);
  Report.Held.pop_back();
  P->reconcile(Now, HostId{2}, Report, Replies);
  CHECK(granted(Waiting));
}

TEST(PoolDecisions, aRepeatedAskIsGrantedOnce) {
  open(1, 2);
  AskId First = requestSlot(0);
  NextId = First.Value;
  requestSlot(0);
  LONGS_EQUAL(1, P->stats().InFlight);
  LONGS_EQUAL(2, Replies.Grants.size());
}
