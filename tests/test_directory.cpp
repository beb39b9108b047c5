// Tests of a host's copy of the configuration, the targets and the hosts, and
// of the age of that copy, against a scripted store.
#include "directory_harness.h"

using namespace shallotlatch;

TEST_GROUP_BASE(DirectoryBeliefs, DirectoryHarness){};

TEST(DirectoryBeliefs, listsThenWatchesFromTheListsRevision) {
  replyToInitialLists();
  CHECK_EQUAL(5, Events.Version);
  CHECK_EQUAL(2, Events.Targets.size());
  CHECK_EQUAL(12, takeCall('w', DirectoryKind::Targets).Revision);
}

// Guards against changes that are never seen since they were made between two
// pages of a list. A stale read may even show a later page at an earlier
// revision.
TEST(DirectoryBeliefs, watchesFromTheEarliestRevisionOfAListsPages) {
  reply('l', DirectoryKind::Config, {configObject(5, 10)}, 12);
  replyPage({targetObject("t1", 11), targetObject("t2", 12)}, 13);
  replyPage({targetObject("t3", 9)}, 12);
  reply('l', DirectoryKind::Targets, {targetObject("t4", 20)}, 21);
  CHECK_EQUAL(4, Events.Targets.size());
  advance(100);
  ScriptedStore::Call Watch = takeCall('w', DirectoryKind::Targets);
  CHECK_EQUAL(12, Watch.Revision);
  // The list shows t4 as it was put again after its removal.
  DirectoryObject Gone;
  Gone.Name = "t4";
  Gone.Revision = 15;
  Gone.Deleted = true;
  DirectoryObject Left = Gone;
  Left.Name = "t5";
  Left.Revision = 18;
  DirectoryReply R;
  R.Result = DirectoryReply::Status::Ok;
  R.Objects = {targetObject("t1", 14, true), Gone, targetObject("t5", 16), Left,
               targetObject("t4", 20)};
  R.StoreRevision = 21;
  Events.TargetsSeen.clear();
  Watch.Done(std::move(R));
  CHECK(Events.Targets["t1"].Leaving);
  CHECK_EQUAL(1, Events.Targets.count("t4"));
  // A target that has left since is not used in between.
  CHECK_EQUAL(1, Events.TargetsSeen.size());
  CHECK_EQUAL(0, Events.Targets.count("t5"));
}

// Guards against an age that counts from the last page of a list.
TEST(DirectoryBeliefs, aListIsAsOldAsItsFirstPage) {
  reply('l', DirectoryKind::Config, {configObject(5, 10)}, 12);
  advance(300);
  replyPage({targetObject("t1", 11)}, 12);
  advance(300);
  reply('l', DirectoryKind::Targets, {targetObject("t2", 12)}, 12);
  CHECK(Directory->age(DirectoryKind::Targets, Now) >= millis(600));
}

TEST(DirectoryBeliefs, anOlderConfigurationNeverReplacesANewerOne) {
  replyToInitialLists();
  reply('w', DirectoryKind::Config, {configObject(8, 20)}, 20);
  reply('w', DirectoryKind::Config, {configObject(6, 21)}, 21);
  CHECK_EQUAL(8, Events.Version);
}

TEST(DirectoryBeliefs, lostHistoryIsListedAgainAndDropsWhatIsGone) {
  replyToInitialLists();
  reply('w', DirectoryKind::Targets, DirectoryReply::Status::HistoryGone);
  reply('l', DirectoryKind::Targets, {targetObject("t2", 12)}, 40);
  CHECK_EQUAL(1, Events.Targets.size());
  CHECK_EQUAL(1, Events.Targets.count("t2"));
}

TEST(DirectoryBeliefs, ageGrowsUntilAShortCallConfirms) {
  replyToInitialLists();
  advance(800);
  CHECK(hasPendingCall('w', DirectoryKind::Config));
  // The first pending call is the watch that waits; the test does not reply to
  // it.
  takeCall('w', DirectoryKind::Config);
  Duration Before = Directory->age(DirectoryKind::Config, Now);
  CHECK(Before > millis(1500));
  ScriptedStore::Call ShortCall = takeCall('w', DirectoryKind::Config);
  CHECK_EQUAL(0, ShortCall.Wait.count());
  DirectoryReply R;
  R.Result = DirectoryReply::Status::Ok;
  R.StoreRevision = 12;
  ShortCall.Done(std::move(R));
  CHECK(Directory->age(DirectoryKind::Config, Now) < Before);
}

TEST(DirectoryBeliefs, aPeersConfirmationCountsOnlyForTheSameVersion) {
  replyToInitialLists();
  Duration Before = Directory->age(DirectoryKind::Config, Now);
  Directory->onPeerConfirmation(6, Now - millis(100));
  CHECK(Directory->age(DirectoryKind::Config, Now) == Before);
  Directory->onPeerConfirmation(5, Now - millis(100));
  CHECK(Directory->age(DirectoryKind::Config, Now) == millis(100));
}

// Guards against a copy whose recorded age drops without a new reply of the
// store. Two hosts that the store refused sent each other the ages of their
// copies, and each exchange lowered both ages, so that a key was accepted 5.1 s
// after its removal.
TEST(DirectoryBeliefs, whatPeersRepeatNeverMakesABeliefYounger) {
  replyToInitialLists();
  Time ConfirmedAt = Now - millis(100);
  for (int I = 0; I < 200; ++I) {
    Directory->onPeerConfirmation(5, ConfirmedAt);
    Now += millis(20);
  }
  CHECK(Directory->age(DirectoryKind::Config, Now) == Now - ConfirmedAt);
}

TEST(DirectoryBeliefs, onlyTheStoresOwnWordIsPassedOn) {
  replyToInitialLists();
  Directory->onPeerConfirmation(5, Now - millis(100));
  CHECK_EQUAL(0, Events.ConfirmedVersion);
  advance(1800);
  takeCall('w', DirectoryKind::Config);
  CHECK_EQUAL(1, Events.ConfirmsStarted);
  CHECK_EQUAL(0, Events.ConfirmedVersion);
  reply('w', DirectoryKind::Config, {}, 12);
  CHECK_EQUAL(5, Events.ConfirmedVersion);
}

TEST(DirectoryBeliefs, aSilentStoreIsNoticedAndAllIsListedAfterIt) {
  replyToInitialLists();
  advance(3000);
  CHECK_EQUAL(2, Events.ReachabilityChanges.size());
  CHECK_FALSE(Events.ReachabilityChanges.back());
  CHECK_FALSE(Directory->reachable());
  Store.Calls.clear();
  advance(3000);
  // Only the configuration is listed while the store is unreachable; the other
  // kinds follow once that call succeeds.
  CHECK(hasPendingCall('l', DirectoryKind::Config));
  CHECK_FALSE(hasPendingCall('l', DirectoryKind::Targets));
  for (int I = 0; I < 100 && !Directory->reachable(); ++I) {
    advance(20);
    while (hasPendingCall('l', DirectoryKind::Config)) {
      reply('l', DirectoryKind::Config, {configObject(5, 10)}, 12);
    }
  }
  CHECK(Directory->reachable());
  advance(20);
  CHECK(hasPendingCall('l', DirectoryKind::Targets));
  CHECK(hasPendingCall('l', DirectoryKind::Hosts));
}

TEST(DirectoryBeliefs, targetsThatLapsedInAnOutageHaveTwoSecondsToReturn) {
  replyToInitialLists();
  advance(5000);
  Store.Calls.clear(); // The directory has given up these calls by now.
  advance(2000);
  while (!Directory->reachable()) {
    reply('l', DirectoryKind::Config, {configObject(5, 10)}, 50);
  }
  advance(20);
  reply('l', DirectoryKind::Targets, {targetObject("t1", 11)}, 50);
  reply('l', DirectoryKind::Hosts, {}, 50);
  CHECK(Directory->reachable());
  CHECK_EQUAL(2, Events.Targets.size());
  answerConfirmations(1500, 50);
  CHECK_EQUAL(2, Events.Targets.size());
  answerConfirmations(1000, 50);
  CHECK_EQUAL(1, Events.Targets.size());
}

TEST(DirectoryBeliefs, aTargetGoneWhileTheStoreIsSoundGoesAtOnce) {
  replyToInitialLists();
  DirectoryObject Gone;
  Gone.Name = "t1";
  Gone.Revision = 30;
  Gone.Deleted = true;
  reply('w', DirectoryKind::Targets, {Gone}, 30);
  CHECK_EQUAL(0, Events.Targets.count("t1"));
}

TEST(DirectoryBeliefs, anEntryThatCannotBeReadNamesNoTarget) {
  replyToInitialLists();
  DirectoryObject Unreadable;
  Unreadable.Name = "t1";
  Unreadable.Revision = 31;
  Unreadable.ParseError = "address is missing";
  reply('w', DirectoryKind::Targets, {Unreadable}, 31);
  CHECK_EQUAL(0, Events.Targets.count("t1"));
  CHECK_EQUAL(1, Events.Targets.count("t2"));
}

TEST(DirectoryBeliefs, aLostAnnouncementIsRepeated) {
  replyToInitialLists();
  reply('a', DirectoryKind::Hosts, DirectoryReply::Status::Failed);
  advance(600);
  CHECK(hasPendingCall('a', DirectoryKind::Hosts));
  reply('a', DirectoryKind::Hosts, DirectoryReply::Status::Ok);
  advance(3000);
  CHECK_FALSE(hasPendingCall('a', DirectoryKind::Hosts));
}

// Guards against needless calls during an outage: every call to the store has
// a price, also one that the store refuses. So only the configuration is listed
// until the store replies again.
TEST(DirectoryBeliefs, whileTheStoreIsAwayOneKindAsksForAll) {
  replyToInitialLists();
  reply('w', DirectoryKind::Config, DirectoryReply::Status::Failed);
  advance(200);
  reply('w', DirectoryKind::Config, DirectoryReply::Status::Failed);
  advance(200);
  reply('l', DirectoryKind::Config, DirectoryReply::Status::Refused);
  CHECK_FALSE(Directory->reachable());
  for (DirectoryKind Kind : {DirectoryKind::Targets, DirectoryKind::Hosts}) {
    while (hasPendingCall('l', Kind)) {
      reply('l', Kind, DirectoryReply::Status::Refused);
    }
  }
  for (int I = 0; I < 10; ++I) {
    advance(1000);
    CHECK_FALSE(hasPendingCall('l', DirectoryKind::Targets));
    CHECK_FALSE(hasPendingCall('l', DirectoryKind::Hosts));
    reply('l', DirectoryKind::Config, DirectoryReply::Status::Refused);
  }
  advance(1000);
  reply('l', DirectoryKind::Config, {configObject(5, 10)}, 12);
  advance(40);
  CHECK(hasPendingCall('l', DirectoryKind::Targets));
  CHECK(hasPendingCall('l', DirectoryKind::Hosts));
}

// A follower may read stale targets. A leader may not, and neither may a host
// that has to find out which targets came back after an outage.
TEST(DirectoryBeliefs, onlyALedHostReadsLateTargets) {
  replyToInitialLists();
  CHECK(takeCall('w', DirectoryKind::Targets).Mode ==
        ReadConsistency::Linearizable);
  Directory->setLeader(false, false, Now);
  Directory->setLeader(true, false, Now);
  Directory->setLeader(false, false, Now);
  advance(100);
  CHECK(takeCall('w', DirectoryKind::Targets).Mode ==
        ReadConsistency::MayBeStale);
  Directory->setLeader(true, false, Now);
  advance(100);
  CHECK(takeCall('w', DirectoryKind::Targets).Mode ==
        ReadConsistency::Linearizable);
  CHECK(takeCall('w', DirectoryKind::Config).Mode ==
        ReadConsistency::Linearizable);
}

TEST(DirectoryBeliefs, aLedHostAsksForAConfirmationOnlyWhenItsLeadDoesNot) {
  replyToInitialLists();
  Directory->setLeader(false, false, Now);
  for (int I = 0; I < 10; ++I) {
    Directory->onPeerConfirmation(5, Now);
    advance(1500);
    CHECK_EQUAL(0, Events.ConfirmsStarted);
  }
  advance(1000);
  CHECK_EQUAL(1, Events.ConfirmsStarted);
}

// A stale reply may be seconds old, so it says nothing about the present.
TEST(DirectoryBeliefs, aStaleReadConfirmsNothing) {
  replyToInitialLists();
  Directory->setLeader(false, false, Now);
  reply('w', DirectoryKind::Config, {configObject(6, 20)}, 20);
  advance(1000);
  Duration Before = Directory->age(DirectoryKind::Config, Now);
  ScriptedStore::Call Watch = takeCall('w', DirectoryKind::Config);
  CHECK(Watch.Mode == ReadConsistency::MayBeStale);
  DirectoryReply R;
  R.Result = DirectoryReply::Status::Ok;
  R.StoreRevision = 21;
  R.Objects = {configObject(7, 21)};
  Watch.Done(std::move(R));
  CHECK_EQUAL(7, Events.Version);
  CHECK(Directory->age(DirectoryKind::Config, Now) >= Before);
}
