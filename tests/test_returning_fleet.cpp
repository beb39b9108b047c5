// Fleets of directories before a store that comes back from older copies, while
// hosts die, restart, freeze and are cut off from it.
#include "event_log_p.h"
#include "returning_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace shallotlatch;

TEST_GROUP(ReturningFleets){
    static void play(size_t Domains, size_t HostsPerDomain, uint64_t Seed,
                     Duration Length){ReturningFleetInit Init;
Init.Domains = Domains;
Init.HostsPerDomain = HostsPerDomain;
Init.Targets =
    2 * Domains * HostsPerDomain > 60 ? 60 : 2 * Domains *HostsPerDomain;
Init.Seed = Seed;
ReturningFleet Fleet(Init);
ReturningFleetCounts C = Fleet.run(Length);
std::string Run = std::to_string(Domains * HostsPerDomain) + " hosts, seed " +
                  std::to_string(Seed);
CHECK_EQUAL_TEXT(0, C.Regressions, Run.c_str());
CHECK_EQUAL_TEXT(0, C.RevokedKeyUses, Run.c_str());
CHECK_EQUAL_TEXT(0, C.ReturnedTargets, Run.c_str());
CHECK_EQUAL_TEXT(0, C.StaleConfigs, Run.c_str());
CHECK_EQUAL_TEXT(0, C.MissingTargets, Run.c_str());
CHECK_EQUAL_TEXT(0, C.UntrustedChecks, Run.c_str());
CHECK_TEXT(C.TrustedChecks > 0, Run.c_str());
CHECK_TEXT(C.MaxCallsPerSecond <= 2000, Run.c_str());
CHECK_TEXT(C.MaxWritesPerSecond <= 400, Run.c_str());
}
}
;

TEST(ReturningFleets, sixHostsKeepWhatTheCopyLost) {
  for (uint64_t Seed = 1; Seed <= 20; ++Seed) {
    play(3, 2, Seed, seconds(90));
  }
}

TEST(ReturningFleets, seventyHostsKeepWhatTheCopyLost) {
  for (uint64_t Seed = 1; Seed <= 3; ++Seed) {
    play(6, 12, Seed, seconds(60));
  }
}

TEST(ReturningFleets, threeHundredHostsKeepWhatTheCopyLost) {
  play(6, 49, 1, seconds(60));
}
