// What a host believes and how old it is, against a scripted store.
#include "directory_p.h"

#include <CppUTest/TestHarness.h>

#include <deque>

using namespace shallotlatch;

namespace {
/// Keeps calls until the test answers them.
struct ScriptedStore : public DirectoryStore {
  struct Call {
    char What;
    DirectoryKind Kind;
    uint64_t Revision;
    Duration Wait;
    Reply Done;
    ReadConsistency Mode = ReadConsistency::Linearizable;
  };
  std::deque<Call> Calls;
  void list(DirectoryKind Kind, const std::string &, Reply Done) override {
    this->Calls.push_back({'l', Kind, 0, Duration(0), std::move(Done)});
  }
  void watch(DirectoryKind Kind, uint64_t Revision, Duration Wait,
             ReadConsistency Mode, Reply Done) override {
    this->Calls.push_back({'w', Kind, Revision, Wait, std::move(Done), Mode});
  }
  void registerHost(const FleetHost &, Reply Done) override {
    this->Calls.push_back(
        {'a', DirectoryKind::Hosts, 0, Duration(0), std::move(Done)});
  }
  void removeHost(const std::string &, Reply Done) override {
    this->Calls.push_back(
        {'f', DirectoryKind::Hosts, 0, Duration(0), std::move(Done)});
  }
};

struct Beliefs : public DirectoryEvents {
  uint64_t Version = 0;
  std::map<std::string, TargetEntry> Targets;
  std::vector<bool> Store;
  void onConfig(std::shared_ptr<const RoutingConfig> C) override {
    this->Version = C->Version;
  }
  void onTarget(const TargetEntry &T) override {
    this->Targets[T.Instance] = T;
  }
  void onTargetGone(const std::string &Instance) override {
    this->Targets.erase(Instance);
  }
  void onHost(const FleetHost &) override {}
  void onHostGone(const std::string &) override {}
  void onStoreReachable(bool Reachable) override {
    this->Store.push_back(Reachable);
  }
  void onConfirmStarted() override { ++this->Asked; }
  void onConfirmed(uint64_t Revision) override { this->Confirmed = Revision; }
  int Asked = 0;
  uint64_t Confirmed = 0;
};
} // namespace

TEST_GROUP(DirectoryBeliefs) {
  ScriptedStore Store;
  Beliefs Seen;
  Time Now{seconds(1000)};
  std::unique_ptr<FleetDirectory> D;

  void setup() override {
    D = std::make_unique<FleetDirectory>(Store, Seen, 7);
    FleetHost Self;
    Self.Name = "a";
    D->start(Self, Now);
  }
  void advance(int64_t Ms) {
    for (int64_t Passed = 0; Passed < Ms; Passed += 20) {
      Now += millis(20);
      D->tick(Now);
    }
  }
  static DirectoryObject config(uint64_t Version, uint64_t Revision) {
    DirectoryObject O;
    O.Name = "main";
    O.Revision = Revision;
    std::shared_ptr<RoutingConfig> C = std::make_shared<RoutingConfig>();
    C->Version = Version;
    O.Config = C;
    return O;
  }
  static DirectoryObject target(const std::string &Name, uint64_t Revision,
                                bool Leaving = false) {
    DirectoryObject O;
    O.Name = Name;
    O.Revision = Revision;
    TargetEntry T;
    T.Instance = Name;
    T.Leaving = Leaving;
    O.Target = T;
    return O;
  }
  /// Takes the oldest call of \p Kind; fails the test where there is none.
  ScriptedStore::Call take(char What, DirectoryKind Kind) {
    for (auto It = Store.Calls.begin(); It != Store.Calls.end(); ++It) {
      if (It->What == What && It->Kind == Kind) {
        ScriptedStore::Call Found = std::move(*It);
        Store.Calls.erase(It);
        return Found;
      }
    }
    FAIL("the expected call was not made");
    return {};
  }
  bool called(char What, DirectoryKind Kind) {
    for (const ScriptedStore::Call &C : Store.Calls) {
      if (C.What == What && C.Kind == Kind) {
        return true;
      }
    }
    return false;
  }
  void reply(char What, DirectoryKind Kind, std::vector<DirectoryObject> List,
             uint64_t At) {
    DirectoryReply R;
    R.Result = DirectoryReply::Status::Ok;
    R.Objects = std::move(List);
    R.At = At;
    take(What, Kind).Done(std::move(R));
  }
  void reply(char What, DirectoryKind Kind, DirectoryReply::Status Status) {
    DirectoryReply R;
    R.Result = Status;
    take(What, Kind).Done(std::move(R));
  }
  void listAll() {
    reply('l', DirectoryKind::Config, {config(5, 10)}, 12);
    reply('l', DirectoryKind::Targets, {target("t1", 11), target("t2", 12)},
          12);
    reply('l', DirectoryKind::Hosts, {}, 12);
    advance(1100);
  }
};

TEST(DirectoryBeliefs, listsThenWatchesFromTheListsRevision) {
  listAll();
  CHECK_EQUAL(5, Seen.Version);
  CHECK_EQUAL(2, Seen.Targets.size());
  CHECK_EQUAL(12, take('w', DirectoryKind::Targets).Revision);
}

TEST(DirectoryBeliefs, anOlderConfigurationNeverReplacesANewerOne) {
  listAll();
  reply('w', DirectoryKind::Config, {config(8, 20)}, 20);
  reply('w', DirectoryKind::Config, {config(6, 21)}, 21);
  CHECK_EQUAL(8, Seen.Version);
}

TEST(DirectoryBeliefs, lostHistoryIsListedAgainAndDropsWhatIsGone) {
  listAll();
  reply('w', DirectoryKind::Targets, DirectoryReply::Status::HistoryGone);
  reply('l', DirectoryKind::Targets, {target("t2", 12)}, 40);
  CHECK_EQUAL(1, Seen.Targets.size());
  CHECK_EQUAL(1, Seen.Targets.count("t2"));
}

TEST(DirectoryBeliefs, ageGrowsUntilAShortCallConfirms) {
  listAll();
  advance(800);
  CHECK(called('w', DirectoryKind::Config));
  take('w', DirectoryKind::Config); // The long one, which stays silent.
  Duration Before = D->age(DirectoryKind::Config, Now);
  CHECK(Before > millis(1500));
  ScriptedStore::Call Short = take('w', DirectoryKind::Config);
  CHECK_EQUAL(0, Short.Wait.count());
  DirectoryReply R;
  R.Result = DirectoryReply::Status::Ok;
  R.At = 12;
  Short.Done(std::move(R));
  CHECK(D->age(DirectoryKind::Config, Now) < Before);
}

TEST(DirectoryBeliefs, aPeersConfirmationCountsOnlyForTheSameRevision) {
  listAll();
  Duration Before = D->age(DirectoryKind::Config, Now);
  D->onPeerConfirmation(11, Now - millis(100));
  CHECK(D->age(DirectoryKind::Config, Now) == Before);
  D->onPeerConfirmation(10, Now - millis(100));
  CHECK(D->age(DirectoryKind::Config, Now) == millis(100));
}

// Two hosts that the store turned away told each other their ages, and each
// round made them younger: a key was used 5.1 s after its removal.
TEST(DirectoryBeliefs, whatPeersRepeatNeverMakesABeliefYounger) {
  listAll();
  Time Heard = Now - millis(100);
  for (int I = 0; I < 200; ++I) {
    D->onPeerConfirmation(10, Heard);
    Now += millis(20);
  }
  CHECK(D->age(DirectoryKind::Config, Now) == Now - Heard);
}

TEST(DirectoryBeliefs, onlyTheStoresOwnWordIsPassedOn) {
  listAll();
  D->onPeerConfirmation(10, Now - millis(100));
  CHECK_EQUAL(0, Seen.Confirmed);
  advance(1800);
  take('w', DirectoryKind::Config);
  CHECK_EQUAL(1, Seen.Asked);
  CHECK_EQUAL(0, Seen.Confirmed);
  reply('w', DirectoryKind::Config, {}, 12);
  CHECK_EQUAL(10, Seen.Confirmed);
}

TEST(DirectoryBeliefs, aSilentStoreIsNoticedAndAllIsListedAfterIt) {
  listAll();
  advance(3000);
  CHECK_EQUAL(2, Seen.Store.size());
  CHECK_FALSE(Seen.Store.back());
  CHECK_FALSE(D->reachable());
  Store.Calls.clear();
  advance(3000);
  // One kind asks for all; once it is answered the others follow.
  CHECK(called('l', DirectoryKind::Config));
  CHECK_FALSE(called('l', DirectoryKind::Targets));
  for (int I = 0; I < 100 && !D->reachable(); ++I) {
    advance(20);
    while (called('l', DirectoryKind::Config)) {
      reply('l', DirectoryKind::Config, {config(5, 10)}, 12);
    }
  }
  CHECK(D->reachable());
  advance(20);
  CHECK(called('l', DirectoryKind::Targets));
  CHECK(called('l', DirectoryKind::Hosts));
}

TEST(DirectoryBeliefs, targetsThatLapsedInAnOutageHaveTwoSecondsToReturn) {
  listAll();
  advance(5000);
  Store.Calls.clear(); // Given up by now.
  advance(2000);
  while (!D->reachable()) {
    reply('l', DirectoryKind::Config, {config(5, 10)}, 50);
  }
  advance(20);
  reply('l', DirectoryKind::Targets, {target("t1", 11)}, 50);
  CHECK(D->reachable());
  CHECK_EQUAL(2, Seen.Targets.size());
  advance(1500);
  CHECK_EQUAL(2, Seen.Targets.size());
  advance(1000);
  CHECK_EQUAL(1, Seen.Targets.size());
}

TEST(DirectoryBeliefs, aTargetGoneWhileTheStoreIsSoundGoesAtOnce) {
  listAll();
  DirectoryObject Gone;
  Gone.Name = "t1";
  Gone.Revision = 30;
  Gone.Deleted = true;
  reply('w', DirectoryKind::Targets, {Gone}, 30);
  CHECK_EQUAL(0, Seen.Targets.count("t1"));
}

TEST(DirectoryBeliefs, anEntryThatCannotBeReadNamesNoTarget) {
  listAll();
  DirectoryObject Bad;
  Bad.Name = "t1";
  Bad.Revision = 31;
  Bad.ParseError = "address is missing";
  reply('w', DirectoryKind::Targets, {Bad}, 31);
  CHECK_EQUAL(0, Seen.Targets.count("t1"));
  CHECK_EQUAL(1, Seen.Targets.count("t2"));
}

TEST(DirectoryBeliefs, aLostAnnouncementIsRepeated) {
  reply('a', DirectoryKind::Hosts, DirectoryReply::Status::Failed);
  advance(600);
  CHECK(called('a', DirectoryKind::Hosts));
  reply('a', DirectoryKind::Hosts, DirectoryReply::Status::Ok);
  advance(3000);
  CHECK_FALSE(called('a', DirectoryKind::Hosts));
}

// Every call has a price, also those that a store turns away.
TEST(DirectoryBeliefs, whileTheStoreIsAwayOneKindAsksForAll) {
  listAll();
  reply('w', DirectoryKind::Config, DirectoryReply::Status::Failed);
  advance(200);
  reply('w', DirectoryKind::Config, DirectoryReply::Status::Failed);
  advance(200);
  reply('l', DirectoryKind::Config, DirectoryReply::Status::Refused);
  CHECK_FALSE(D->reachable());
  for (DirectoryKind Kind : {DirectoryKind::Targets, DirectoryKind::Hosts}) {
    while (called('l', Kind)) {
      reply('l', Kind, DirectoryReply::Status::Refused);
    }
  }
  for (int I = 0; I < 10; ++I) {
    advance(1000);
    CHECK_FALSE(called('l', DirectoryKind::Targets));
    CHECK_FALSE(called('l', DirectoryKind::Hosts));
    reply('l', DirectoryKind::Config, DirectoryReply::Status::Refused);
  }
  advance(1000);
  reply('l', DirectoryKind::Config, {config(5, 10)}, 12);
  advance(40);
  CHECK(called('l', DirectoryKind::Targets));
  CHECK(called('l', DirectoryKind::Hosts));
}

// A host that another one leads may read late; one that leads, or that has to
// tell what came back after an outage, may not.
TEST(DirectoryBeliefs, onlyALedHostReadsLateTargets) {
  listAll();
  CHECK(take('w', DirectoryKind::Targets).Mode ==
        ReadConsistency::Linearizable);
  D->setLeader(false, Now);
  D->setLeader(true, Now);
  D->setLeader(false, Now);
  advance(100);
  CHECK(take('w', DirectoryKind::Targets).Mode == ReadConsistency::MayBeStale);
  D->setLeader(true, Now);
  advance(100);
  CHECK(take('w', DirectoryKind::Targets).Mode ==
        ReadConsistency::Linearizable);
  CHECK(take('w', DirectoryKind::Config).Mode == ReadConsistency::Linearizable);
}

TEST(DirectoryBeliefs, aLedHostAsksForAConfirmationOnlyWhenItsLeadDoesNot) {
  listAll();
  D->setLeader(false, Now);
  for (int I = 0; I < 10; ++I) {
    D->onPeerConfirmation(10, Now);
    advance(1500);
    CHECK_EQUAL(0, Seen.Asked);
  }
  advance(1000);
  CHECK_EQUAL(1, Seen.Asked);
}
