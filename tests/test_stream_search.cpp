// Tests of what a host concludes of a stream that it does not know, and of the
// store's word on which targets there were.
#include "directory_harness.h"
#include "stream_search_p.h"

using namespace shallotlatch;

static const StreamId Stream = streamId("r");
static const SoftwareId V1 = softwareId("v1");
static const SoftwareId V2 = softwareId("v2");
static const Time Start{seconds(100)};

static StreamNote guess(SoftwareId Software) {
  return {Stream, Software, true};
}

TEST_GROUP(StreamSearches) {
  StreamSearch Search{Stream, Start + millis(150)};
  VersionView Own{V1, V1, 1};
};

TEST(StreamSearches, silenceIsNoAgreement) {
  Search.recordAsked(3);
  CHECK_FALSE(Search.peersDone(Start));
  CHECK(Search.peersDone(Start + millis(150)));
  CHECK_FALSE(Search.conclude(Own, false).has_value());
}

TEST(StreamSearches, oneOfThreePeersIsTooFew) {
  Search.recordAsked(3);
  Search.recordGuess(HostId{1}, guess(V1));
  Search.recordGuess(HostId{1}, guess(V1)); // Answered twice.
  CHECK_FALSE(Search.conclude(Own, false).has_value());
  Search.recordGuess(HostId{2}, guess(V1));
  CHECK(Search.conclude(Own, false) == V1);
}

TEST(StreamSearches, theStoresWordNeedsNoPeer) {
  Search.recordAsked(3);
  CHECK(Search.conclude(Own, true) == V1);
}

TEST(StreamSearches, aVersionThatAPeerHasSeenBarsAllOthers) {
  Search.recordAsked(3);
  Search.recordGuess(HostId{1}, guess(V2));
  CHECK_FALSE(Search.conclude(Own, true).has_value());
  Search.recordGuess(HostId{2}, guess(SoftwareId()));
  CHECK(Search.isUndecidable(Own));
}

TEST(StreamSearches, aHostThatStartedLatelyNeedsItsPeersToo) {
  VersionView Fresh{std::nullopt, V1, 1};
  Search.recordAsked(2);
  CHECK_FALSE(Search.conclude(Fresh, true).has_value());
  Search.recordGuess(HostId{1}, guess(V1));
  Search.recordGuess(HostId{2}, guess(V1));
  CHECK(Search.conclude(Fresh, true) == V1);
}

TEST(StreamSearches, aViewFromBeforeTheQuestionDoesNotCount) {
  Search.awaitView(Start, Start + seconds(1));
  CHECK_FALSE(Search.isCoveredBy(Start - millis(1)));
  CHECK(Search.isCoveredBy(Start));
}

TEST_GROUP_BASE(TargetHistories, DirectoryHarness){
    static DirectoryObject target(const std::string &Software,
                                  uint64_t Revision, bool Deleted = false){
        DirectoryObject O = targetObject("t9", Revision);
O.Target->Software = Software;
O.Deleted = Deleted;
return O;
}
/// Lets time pass while the store confirms the configuration.
void pass(int64_t Ms) {
  for (int64_t Passed = 0; Passed < Ms; Passed += 20) {
    advance(20);
    for (size_t I = 0; I < Store.Calls.size(); ++I) {
      ScriptedStore::Call &C = Store.Calls[I];
      if (C.Kind == DirectoryKind::Config && C.Operation == 'w' &&
          C.Wait.count() == 0) {
        ScriptedStore::Call Confirmation = std::move(C);
        Store.Calls.erase(Store.Calls.begin() + static_cast<long>(I));
        DirectoryReply R;
        R.Result = DirectoryReply::Status::Ok;
        R.StoreRevision = 12;
        Confirmation.Done(std::move(R));
        break;
      }
    }
  }
}
/// Replies to the directory's question for the changes up to now.
void replyToHistory(DirectoryReply::Status Result,
                    std::vector<DirectoryObject> Changes, uint64_t At) {
  for (auto It = Store.Calls.begin(); It != Store.Calls.end(); ++It) {
    if (It->Kind == DirectoryKind::Targets && It->Operation == 'w' &&
        It->Wait.count() == 0) {
      ScriptedStore::Call Found = std::move(*It);
      Store.Calls.erase(It);
      CHECK(Found.Mode == ReadConsistency::Linearizable);
      DirectoryReply R;
      R.Result = Result;
      R.Objects = std::move(Changes);
      R.StoreRevision = At;
      Found.Done(std::move(R));
      return;
    }
  }
  FAIL("the store was not asked");
}
}
;

TEST(TargetHistories, aVersionThatCameAndWentIsReported) {
  replyToInitialLists();
  Time AskedAt = Now + millis(7);
  Directory->confirmTargets(AskedAt);
  replyToHistory(DirectoryReply::Status::Ok,
                 {target("v2", 20), target("v2", 21, true)}, 22);
  CHECK_EQUAL(1, Events.SoftwareSeen.count("v2"));
  CHECK(Events.TargetsConfirmedAt >= AskedAt);
  CHECK_EQUAL(0, Events.Targets.count("t9"));
}

TEST(TargetHistories, aListIsFollowedByTheChangesBeforeIt) {
  replyToInitialLists();
  pass(100);
  DirectoryReply Gone;
  Gone.Result = DirectoryReply::Status::HistoryGone;
  takeCall('w', DirectoryKind::Targets).Done(std::move(Gone));
  reply('l', DirectoryKind::Targets, {targetObject("t1", 11)}, 40);
  pass(5100);
  replyToHistory(DirectoryReply::Status::Ok,
                 {target("v2", 20), target("v2", 21, true)}, 42);
  CHECK_EQUAL(1, Events.SoftwareSeen.count("v2"));
  CHECK_EQUAL(0, Events.ChangesMissed);
}

// The entry of a target stays for three heartbeats of 1.2 s after its end.
TEST(TargetHistories, onlyALongGapHidesATarget) {
  for (Duration Stopped : {seconds(3), seconds(4)}) {
    startDirectory();
    replyToInitialLists();
    Now += Stopped;
    Directory->tick(Now);
    Directory->confirmTargets(Now);
    replyToHistory(DirectoryReply::Status::HistoryGone, {}, 0);
    CHECK_EQUAL(Stopped > millis(3600) ? 1 : 0, Events.ChangesMissed);
    pass(20);
    reply('l', DirectoryKind::Targets, {targetObject("t1", 11)}, 40);
    pass(40);
    replyToHistory(DirectoryReply::Status::Ok, {}, 41);
  }
}

// A store may keep its history for less time than a quiet watch waits.
TEST(TargetHistories, aWatchThatWaitedMissesNothing) {
  replyToInitialLists();
  pass(10000);
  Directory->confirmTargets(Now);
  replyToHistory(DirectoryReply::Status::HistoryGone, {}, 0);
  CHECK_EQUAL(0, Events.ChangesMissed);
}

TEST(TargetHistories, aStoreThatDoesNotAnswerConfirmsNothing) {
  replyToInitialLists();
  Directory->confirmTargets(Now);
  advance(1000);
  CHECK_EQUAL(1, Events.TargetsUnconfirmed);
  CHECK(Events.TargetsConfirmedAt == Time());
}
