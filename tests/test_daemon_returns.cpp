// Tests of the project's own daemon while the object store comes back from an
// older copy: versions are given out again, and claims of keys are gone.
#include "fleet_fake.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace shallotlatch;

TEST_GROUP(DaemonReturns) {
  FleetInit Init;
  std::unique_ptr<FleetFake> F;

  void open() {
    F = std::make_unique<FleetFake>(Init);
    F->advance(seconds(3));
  }
  void teardown() override {
    if (F) {
      F->oracle().finish();
      for (const std::string &Line : F->oracle().violations()) {
        FAIL(Line.c_str());
      }
    }
  }
  FakeRequest keyedRequest(uint32_t Number) {
    FakeRequest R;
    R.Kind = "post";
    R.Customer = "small";
    R.Key = uuid7(F->wallMs(), Number);
    R.Body = "posting";
    return R;
  }
  /// Checks that every host has the configuration that `testConfig` gives.
  void checkInForce(uint32_t Revision) {
    nlohmann::json Expected = nlohmann::json::parse(testConfig(Revision));
    for (uint32_t I = 0; I < Init.Hosts; ++I) {
      CHECK(F->node(I).documents().body(DocumentKind::Config) == Expected);
    }
  }
  void applyAll(uint32_t First, uint32_t Last) {
    for (uint32_t Revision = First; Revision <= Last; ++Revision) {
      F->apply(testConfig(Revision));
      F->advance(seconds(5));
      checkInForce(Revision);
    }
  }
};

TEST(DaemonReturns, aConfigurationWithAVersionThatWasGivenOutBeforeIsTaken) {
  Init.Hosts = 8;
  open();
  applyAll(1, 2);
  F->copyStore();
  applyAll(3, 5);
  F->restoreStore();
  F->advance(seconds(5));
  checkInForce(5);
  applyAll(6, 9);
}

TEST(DaemonReturns, aConfigurationThatIsAppliedBeforeAnyHostAsksIsTaken) {
  Init.Hosts = 8;
  open();
  applyAll(1, 2);
  F->copyStore();
  applyAll(3, 5);
  F->StoreUnavailable = true;
  F->restoreStore();
  F->apply(testConfig(6));
  F->advance(seconds(5));
  F->StoreUnavailable = false;
  F->advance(seconds(10));
  checkInForce(6);
}

TEST(DaemonReturns, aHostThatStartsFromTheCopyLearnsTheNewestOfItsPeers) {
  Init.Hosts = 8;
  open();
  applyAll(1, 2);
  F->copyStore();
  applyAll(3, 5);
  F->kill(2);
  F->restoreStore();
  F->advance(seconds(1));
  F->start(2);
  F->advance(seconds(8));
  checkInForce(5);
  applyAll(6, 7);
}

TEST(DaemonReturns, eachOfTwoReturnsLeavesTheNewestInForce) {
  Init.Hosts = 8;
  open();
  applyAll(1, 2);
  F->copyStore();
  applyAll(3, 4);
  F->restoreStore();
  F->advance(seconds(5));
  applyAll(5, 6);
  F->restoreStore();
  F->advance(seconds(5));
  checkInForce(6);
  applyAll(7, 9);
}

// The claim was in the store when the request ran, and the copy lacks it.
TEST(DaemonReturns, aKeyWhoseClaimTheCopyLacksDoesNotRunAgain) {
  open();
  F->copyStore();
  FakeRequest R = keyedRequest(1);
  size_t First = F->submit(0, R);
  F->settle(seconds(5));
  LONGS_EQUAL(1, F->runsOf(First));
  F->kill(0);
  F->restoreStore();
  F->advance(seconds(5));
  size_t Resent = F->submit(3, R);
  F->settle(seconds(5));
  LONGS_EQUAL(0, F->runsOf(Resent));
  STRCMP_EQUAL(name(Outcome::NotRun), name(F->verdict(Resent)->Result));
}

TEST(DaemonReturns, aClaimThatTheCopyHoldsIsStillAnswered) {
  open();
  FakeRequest R = keyedRequest(1);
  size_t First = F->submit(0, R);
  F->settle(seconds(5));
  LONGS_EQUAL(1, F->runsOf(First));
  F->copyStore();
  F->restoreStore();
  F->advance(seconds(1));
  size_t Resent = F->submit(3, R);
  F->settle(seconds(5));
  LONGS_EQUAL(0, F->runsOf(Resent));
  STRCMP_EQUAL(name(Outcome::Completed), name(F->verdict(Resent)->Result));
}

// A key that is dated after all that may have been claimed before runs again.
TEST(DaemonReturns, laterKeysRunAgainAfterAReturn) {
  open();
  F->copyStore();
  F->restoreStore();
  F->advance(seconds(25));
  for (uint32_t N = 0; N < 6; ++N) {
    size_t S = F->submit(N % 4, keyedRequest(N));
    F->settle(seconds(5));
    LONGS_EQUAL(1, F->runsOf(S));
  }
  // The same holds at a host that starts later.
  F->kill(1);
  F->advance(seconds(1));
  F->start(1);
  F->advance(seconds(4));
  size_t S = F->submit(1, keyedRequest(9));
  F->settle(seconds(5));
  LONGS_EQUAL(1, F->runsOf(S));
}

// The write took effect in the history that is lost, and its reply comes late.
TEST(DaemonReturns, aLateGrantOfAFormerEraRunsAtMostOnce) {
  for (int64_t At = 0; At <= 60; At += 5) {
    open();
    F->copyStore();
    FakeRequest R = keyedRequest(1);
    std::vector<size_t> Submitted = {F->submit(0, R), F->submit(2, R)};
    F->advance(millis(At));
    F->restoreStore();
    F->advance(seconds(2));
    Submitted.push_back(F->submit(3, R));
    F->settle(seconds(8));
    uint32_t Runs = 0;
    for (size_t S : Submitted) {
      Runs += F->runsOf(S);
    }
    CHECK(Runs <= 1);
  }
}
