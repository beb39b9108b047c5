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
