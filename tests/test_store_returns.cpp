// Tests of a host's copy of the store while the store comes back from older
// copies: what was acknowledged since is missing, and revisions are given out
// again.
#include "directory_harness.h"

using namespace shallotlatch;

TEST_GROUP_BASE(StoreReturns, DirectoryHarness){
    static DirectoryObject target(const std::string &Name, uint64_t Revision,
                                  uint64_t Sequence, bool Leaving = false){
        DirectoryObject O = targetObject(Name, Revision, Leaving);
O.Target->StartedAtMs = 1000;
O.Target->Sequence = Sequence;
return O;
}
static DirectoryObject host(const std::string &Name, uint64_t Revision,
                            uint64_t SettledEra = 0) {
  DirectoryObject O;
  O.Name = Name;
  O.Revision = Revision;
  FleetHost H;
  H.Name = Name;
  H.SettledEra = SettledEra;
  O.Host = H;
  return O;
}
static DirectoryObject gone(const std::string &Name, uint64_t Revision) {
  DirectoryObject O;
  O.Name = Name;
  O.Revision = Revision;
  O.Deleted = true;
  return O;
}
/// Replies to lists until none has been asked for in 200 ms.
void replyToLists(uint64_t Version, uint64_t ConfigRevision,
                  std::vector<DirectoryObject> Targets,
                  std::vector<DirectoryObject> Hosts, uint64_t Revision) {
  std::map<DirectoryKind, std::vector<DirectoryObject>> Objects = {
      {DirectoryKind::Config, {configObject(Version, ConfigRevision)}},
      {DirectoryKind::Targets, std::move(Targets)},
      {DirectoryKind::Hosts, std::move(Hosts)}};
  for (int Idle = 0; Idle < 10 || !Directory->reachable(); ++Idle) {
    for (const auto &Item : Objects) {
      if (hasPendingCall('l', Item.first)) {
        replyInEra('l', Item.first, Item.second, Revision);
        Idle = 0;
      }
    }
    advance(20);
  }
}
/// Version 13 is in force with revision 28.
void bringVersion13IntoForce() {
  replyToLists(13, 28, {target("t1", 11, 5), target("t2", 12, 5)},
               {host("a", 1), host("b", 2)}, 28);
  reply('a', DirectoryKind::Hosts, DirectoryReply::Status::Ok);
  advance(1100);
}
/// Fails all pending calls for as long as the store is away.
void storeIsAway(int64_t Ms) {
  for (int64_t Passed = 0; Passed < Ms; Passed += 20) {
    for (DirectoryKind Kind : {DirectoryKind::Config, DirectoryKind::Targets,
                               DirectoryKind::Hosts}) {
      for (char Operation : {'l', 'w'}) {
        while (hasPendingCall(Operation, Kind)) {
          reply(Operation, Kind, DirectoryReply::Status::Failed);
        }
      }
    }
    advance(20);
  }
}
void storeReturns() { ++this->Era; }
Duration configAge() { return Directory->age(DirectoryKind::Config, Now); }
}
;

TEST(StoreReturns, aVersionWithARevisionThatWasGivenOutBeforeIsTaken) {
  bringVersion13IntoForce();
  storeIsAway(4000);
  storeReturns();
  replyToLists(13, 27, {target("t1", 11, 5)}, {}, 27);
  replyInEra('w', DirectoryKind::Config, {configObject(16, 28)}, 28);
  CHECK_EQUAL(16, Events.Version);
}

TEST(StoreReturns, aCopyNeitherReplacesNorConfirmsWhatIsInForce) {
  bringVersion13IntoForce();
  storeIsAway(4000);
  storeReturns();
  replyToLists(8, 20, {target("t1", 11, 5)}, {}, 27);
  CHECK_EQUAL(13, Events.Version);
  answerConfirmations(3500, 27);
  CHECK(configAge() > seconds(7));
  replyInEra('w', DirectoryKind::Config, {configObject(13, 28)}, 28);
  answerConfirmations(1500, 28);
  CHECK(configAge() < seconds(2));
}

// The copy may lack a version that this host has not seen.
TEST(StoreReturns, nothingIsConfirmedBeforeWritersHadTimeToWriteAgain) {
  bringVersion13IntoForce();
  storeIsAway(4000);
  storeReturns();
  replyToLists(13, 28, {target("t1", 11, 5)}, {}, 28);
  answerConfirmations(1900, 28);
  CHECK(configAge() > seconds(6));
  CHECK_EQUAL(0, Events.ConfirmedVersion);
  answerConfirmations(700, 28);
  CHECK(configAge() < seconds(1));
  CHECK_EQUAL(13, Events.ConfirmedVersion);
}

TEST(StoreReturns, aPeersWordCountsBeforeAnEraHasSettled) {
  bringVersion13IntoForce();
  storeIsAway(4000);
  storeReturns();
  replyToLists(13, 20, {target("t1", 11, 5)}, {}, 27);
  Directory->onPeerConfirmation(13, Now - millis(300));
  CHECK(configAge() == millis(300));
}

TEST(StoreReturns, whatPeersKnowIsNewerThanTheCopy) {
  Era = 2;
  replyToLists(8, 20, {}, {}, 27);
  Directory->onPeerConfirmation(13, Now);
  advance(200);
  answerConfirmations(5000, 27);
  CHECK(configAge() > seconds(100));
}

TEST(StoreReturns, aLateReplyOfTheFormerEraIsDropped) {
  bringVersion13IntoForce();
  ScriptedStore::Call Former = takeCall('w', DirectoryKind::Config);
  storeIsAway(4000);
  storeReturns();
  replyToLists(13, 27, {target("t1", 11, 5)}, {}, 27);
  DirectoryReply Late;
  Late.Result = DirectoryReply::Status::Ok;
  Late.StoreRevision = 400;
  Late.Objects = {configObject(14, 400)};
  Late.Era = 1;
  Former.Done(std::move(Late));
  CHECK_EQUAL(13, Events.Version);
  CHECK_EQUAL(27, takeCall('w', DirectoryKind::Config).Revision);
}

// A watch from a number that the new history has reached gets no 410.
TEST(StoreReturns, aWatchThatOutlivesTheReturnIsFollowedByLists) {
  bringVersion13IntoForce();
  ++Era;
  replyInEra('w', DirectoryKind::Config, {configObject(17, 40)}, 40);
  CHECK_EQUAL(13, Events.Version);
  advance(20);
  replyToLists(17, 40, {target("t1", 11, 5)}, {}, 41);
  CHECK_EQUAL(17, Events.Version);
  CHECK_EQUAL(1, Events.Targets.count("t1"));
}

TEST(StoreReturns, aHostThatSleptListsAgainOnceAPeerNamesALaterEra) {
  bringVersion13IntoForce();
  Directory->onPeerEra(1);
  advance(20);
  CHECK_FALSE(hasPendingCall('l', DirectoryKind::Config));
  Directory->onPeerEra(3);
  advance(20);
  CHECK(hasPendingCall('l', DirectoryKind::Config));
  CHECK(hasPendingCall('l', DirectoryKind::Targets));
}

TEST(StoreReturns, targetsThatLeftOrAreLeavingStayAway) {
  bringVersion13IntoForce();
  replyInEra('w', DirectoryKind::Targets,
             {target("t1", 29, 6, true), gone("t2", 30)}, 30);
  CHECK_EQUAL(1, Events.Targets.size());
  advance(100);
  storeIsAway(4000);
  storeReturns();
  replyToLists(13, 27, {target("t1", 11, 5), target("t2", 12, 5)}, {}, 28);
  CHECK_EQUAL(1, Events.Targets.size());
  CHECK(Events.Targets.at("t1").Leaving);
  // A target that is alive writes again, with a higher number.
  advance(100);
  replyInEra('w', DirectoryKind::Targets, {target("t2", 29, 9)}, 29);
  CHECK_EQUAL(2, Events.Targets.size());
}

TEST(StoreReturns, anEntryThatStaysIsUsedAgain) {
  bringVersion13IntoForce();
  replyInEra('w', DirectoryKind::Targets, {gone("t2", 30)}, 30);
  advance(100);
  storeIsAway(4000);
  storeReturns();
  std::vector<DirectoryObject> Copy = {target("t1", 11, 5),
                                       target("t2", 12, 5)};
  replyToLists(13, 27, Copy, {}, 28);
  CHECK_EQUAL(1, Events.Targets.size());
  answerConfirmations(7000, 28);
  replyToLists(13, 27, Copy, {}, 28);
  CHECK_EQUAL(2, Events.Targets.size());
}

TEST(StoreReturns, targetsThatTheCopyLacksAreKeptAfterAShortOutage) {
  bringVersion13IntoForce();
  storeIsAway(300);
  storeReturns();
  replyToLists(13, 27, {target("t1", 11, 5)}, {}, 27);
  CHECK_EQUAL(2, Events.Targets.size());
  advance(2300);
  CHECK_EQUAL(1, Events.Targets.size());
}

TEST(StoreReturns, hostsThatTheCopyLacksAreKeptAndRegisterAgain) {
  bringVersion13IntoForce();
  CHECK_EQUAL(1, Events.Hosts.count("b"));
  storeIsAway(300);
  storeReturns();
  replyToLists(13, 27, {}, {}, 27);
  CHECK_EQUAL(1, Events.Hosts.count("b"));
  answerConfirmations(2100, 27);
  CHECK(hasPendingCall('a', DirectoryKind::Hosts));
  for (int I = 0; I < 30; ++I) {
    answerConfirmations(1000, 27);
    replyToLists(13, 27, {target("t1", 11, 5)}, {}, 27);
  }
  CHECK_EQUAL(0, Events.Hosts.count("b"));
}

TEST(StoreReturns, eachOfTwoReturnsWaitsForItsWriters) {
  bringVersion13IntoForce();
  storeIsAway(4000);
  storeReturns();
  replyToLists(13, 20, {}, {}, 27);
  answerConfirmations(1500, 27);
  storeIsAway(200);
  storeReturns();
  replyToLists(13, 18, {}, {}, 19);
  answerConfirmations(1900, 19);
  CHECK(configAge() > seconds(7));
  answerConfirmations(700, 19);
  CHECK(configAge() < seconds(1));
}

TEST(StoreReturns, aLaterProcessWaitsUnlessAHostSawTheEraSettle) {
  Era = 4;
  replyToLists(13, 20, {}, {host("b", 3, 3)}, 27);
  CHECK(configAge() > seconds(100));
  startDirectory();
  replyToLists(13, 20, {}, {host("b", 3, 4)}, 27);
  answerConfirmations(200, 27);
  CHECK(configAge() < seconds(1));
}

TEST(StoreReturns, aHostMarksTheEraThatItSawSettle) {
  bringVersion13IntoForce();
  storeIsAway(2000);
  storeReturns();
  replyToLists(13, 20, {}, {host("a", 1), host("b", 2)}, 27);
  CHECK_FALSE(hasPendingCall('a', DirectoryKind::Hosts));
  answerConfirmations(4300, 27);
  CHECK(hasPendingCall('a', DirectoryKind::Hosts));
  CHECK_EQUAL(2, Store.Registered.SettledEra);
}

TEST(StoreReturns, nothingIsDroppedBeforeAHostThatSleptHasReadWhatIsThere) {
  bringVersion13IntoForce();
  storeIsAway(300);
  storeReturns();
  replyToLists(13, 27, {target("t1", 11, 5)}, {}, 27);
  Now += seconds(30);
  advance(20);
  CHECK_EQUAL(2, Events.Targets.size());
  replyInEra('w', DirectoryKind::Targets, {target("t2", 28, 6)}, 28);
  answerConfirmations(3000, 28);
  CHECK_EQUAL(2, Events.Targets.size());
}

TEST(StoreReturns, departuresAreForgottenOnceNoCopyIsSoOld) {
  DepartedTargets Departed;
  for (int64_t I = 0; I < 5000; ++I) {
    Now += millis(100);
    Departed.record("t" + std::to_string(I), I, Now);
  }
  CHECK(Departed.covers("t4999", 4999));
  CHECK(Departed.covers("t4000", 4000));
  CHECK(Departed.size() < 4000);
}
