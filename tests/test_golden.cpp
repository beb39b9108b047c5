// Compares whole sessions with golden files, which hold the described messages
// and every verdict as text. To accept a change, run scripts/golden.sh and
// review the difference in git.
#include "fleet_fake.h"

#include <cstdlib>
#include <fstream>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace shallotlatch;

static FakeRequest modelRequest(const char *Kind) {
  FakeRequest R;
  R.Kind = Kind;
  R.Customer = "small";
  R.Body = "question";
  return R;
}

static FakeRequest postRequest(FleetFake &F, uint32_t Number) {
  FakeRequest R;
  R.Kind = "post";
  R.Customer = "small";
  R.Key = uuid7(F.wallMs(), Number);
  R.Body = "posting " + std::to_string(Number);
  return R;
}

static void compareWithGolden(const char *Name, const FleetFake &F) {
  std::string Text;
  for (const std::string &Line : F.transcript()) {
    Text += Line + "\n";
  }
  std::string Path = std::string(GOLDEN_FOLDER) + "/" + Name + ".txt";
  if (std::getenv("SHALLOT_ACCEPT_GOLDEN") != nullptr) {
    std::ofstream(Path) << Text;
    return;
  }
  std::ifstream In(Path);
  std::stringstream Expected;
  Expected << In.rdbuf();
  STRCMP_EQUAL(Expected.str().c_str(), Text.c_str());
}

TEST_GROUP(GoldenSessions) {
  FleetInit Init;
  void setup() override { Init.Transcript = true; }
};

TEST(GoldenSessions, quietDay) {
  FleetFake F(Init);
  F.advance(seconds(1));
  F.submit(0, modelRequest("model-urgent"));
  F.submit(1, modelRequest("model-normal"));
  F.submit(2, postRequest(F, 1));
  F.settle(seconds(5));
  F.apply(testConfig(1));
  F.advance(seconds(2));
  compareWithGolden("quiet-day", F);
}

TEST(GoldenSessions, sameKeyEverywhere) {
  FleetFake F(Init);
  F.advance(seconds(1));
  FakeRequest R = postRequest(F, 1);
  for (uint32_t Host = 0; Host < 4; ++Host) {
    F.submit(Host, R);
  }
  F.settle(seconds(5));
  R.Body = "another body";
  F.submit(0, R);
  F.settle(seconds(5));
  compareWithGolden("same-key-everywhere", F);
}

TEST(GoldenSessions, hostDiesWhileItsRequestRuns) {
  Init.RunTime = seconds(1);
  FleetFake F(Init);
  F.advance(seconds(1));
  FakeRequest R = postRequest(F, 1);
  F.submit(0, R);
  F.advance(millis(200));
  F.kill(0);
  F.submit(1, R);
  F.settle(seconds(5));
  F.start(0);
  F.advance(seconds(1));
  compareWithGolden("host-dies-while-its-request-runs", F);
}

TEST(GoldenSessions, storeOutage) {
  FleetFake F(Init);
  F.advance(seconds(1));
  F.StoreUnavailable = true;
  FakeRequest R = postRequest(F, 1);
  R.Deadline = seconds(2);
  F.submit(0, R);
  F.submit(0, modelRequest("model-normal"));
  F.advance(seconds(3));
  F.StoreUnavailable = false;
  F.advance(seconds(5));
  R.Deadline = seconds(10);
  F.submit(0, R);
  F.settle(seconds(5));
  compareWithGolden("store-outage", F);
}

TEST(GoldenSessions, overloadShedsTheLowestTier) {
  Init.Hosts = 1;
  Init.Regions = {"north"};
  Init.RunTime = seconds(1);
  FleetFake F(Init);
  F.advance(seconds(1));
  FakeRequest LowestTier = modelRequest("model-routine");
  for (int I = 0; I < 49; ++I) {
    F.submit(0, LowestTier);
  }
  F.submit(0, modelRequest("model-urgent"));
  F.advance(millis(500));
  compareWithGolden("overload-sheds-the-lowest-tier", F);
}
