// Tests of the learned time to the first event and of the learned round trips.
#include "first_event_model_p.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <random>

using namespace shallotlatch;

TEST_GROUP(FirstEvent) {
  std::mt19937_64 Random{7};

  /// Feeds requests of mixed length that take \p BaseMs and \p MsPerToken, with
  /// noise of a fifth.
  void feed(FirstEventModel & Model, double BaseMs, double MsPerToken,
            int Count) {
    std::lognormal_distribution<double> Tokens(7, 1);
    std::uniform_real_distribution<double> Noise(0.8, 1.2);
    for (int I = 0; I < Count; ++I) {
      double Prompt = Tokens(Random);
      Model.observe(Prompt, (BaseMs + MsPerToken * Prompt) * Noise(Random));
    }
  }
  void checkPredicts(const FirstEventModel &Model, double BaseMs,
                     double MsPerToken) {
    for (double Prompt : {500.0, 2000.0, 8000.0}) {
      double Expected = BaseMs + MsPerToken * Prompt;
      DOUBLES_EQUAL(Expected, Model.predictMs(Prompt), Expected * 0.2);
    }
  }
};

TEST(FirstEvent, enginesFourTimesApartAreLearned) {
  for (double Speed : {0.5, 1.0, 2.0}) {
    FirstEventModel Model(true);
    feed(Model, 24 / Speed, 0.018 / Speed, 300);
    checkPredicts(Model, 24 / Speed, 0.018 / Speed);
  }
}

TEST(FirstEvent, aChangeOfSpeedIsFollowed) {
  FirstEventModel Model(true);
  feed(Model, 20, 0.01, 500);
  feed(Model, 60, 0.04, 500);
  checkPredicts(Model, 60, 0.04);
}

TEST(FirstEvent, oneOutlierMovesThePredictionLittle) {
  FirstEventModel Model(true);
  feed(Model, 20, 0.018, 300);
  double Before = Model.predictMs(2000);
  Model.observe(2000, 3600000);
  CHECK(Model.predictMs(2000) < Before * 1.1);
  Model.observe(2000, 0.001);
  CHECK(Model.predictMs(2000) > Before * 0.9);
}

TEST(FirstEvent, invalidObservationsAreIgnored) {
  FirstEventModel Model(true);
  double Before = Model.predictMs(2000);
  Model.observe(NAN, 100);
  Model.observe(100, NAN);
  Model.observe(100, INFINITY);
  Model.observe(-1, 100);
  Model.observe(100, 0);
  Model.observe(100, -5);
  DOUBLES_EQUAL(Before, Model.predictMs(2000), 0);
}

TEST(FirstEvent, equalPromptsLeaveTheTimeForATokenPositive) {
  FirstEventModel Model(true);
  for (int I = 0; I < 2000; ++I) {
    Model.observe(1000, 40);
  }
  DOUBLES_EQUAL(40, Model.predictMs(1000), 8);
  CHECK(Model.msPerToken() > 0);
  CHECK(Model.predictMs(20000) > Model.predictMs(1000));
}

TEST(FirstEvent, aPlainServiceIsLearnedWithoutTokens) {
  FirstEventModel Model(false);
  for (int I = 0; I < 300; ++I) {
    Model.observe(0, 60);
  }
  DOUBLES_EQUAL(60, Model.predictMs(0), 6);
  DOUBLES_EQUAL(60, Model.predictMs(5000), 6);
}

TEST(FirstEvent, roundTripsAreLearnedForEachDomain) {
  DomainLatency Latency("north-a");
  CHECK(Latency.roundTripMs("north-a") < Latency.roundTripMs("south-a"));
  for (int I = 0; I < 20; ++I) {
    Latency.observe("north-b", 2);
    Latency.observe("south-a", 42);
  }
  Latency.observe("north-b", 1000); // A lost packet was sent again.
  Latency.observe("north-b", NAN);
  CHECK(Latency.roundTripMs("north-b") < 15);
  DOUBLES_EQUAL(42, Latency.roundTripMs("south-a"), 1);
}
