// Tests of a host's copy of the store while the store comes back from older
// copies: what was acknowledged since is missing, and revisions are given out
// again.
#include "directory_harness.h"

using namespace shallotlatch;

TEST_GROUP_BASE(StoreReturns, DirectoryHarness) {
  uint64_t Era = 1;
  /// Replies as the store does in the era \p Era.
  void replyInEra(char Operation, DirectoryKind Kind,
                  std::vector<DirectoryObject> List, uint64_t Revision) {
    DirectoryReply R;
    R.Result = DirectoryReply::Status::Ok;
    R.Objects = std::move(List);
    R.StoreRevision = Revision;
    R.Era = this->Era;
    takeCall(Operation, Kind).Done(std::move(R));
  }
  /// Version 13 is in force with revision 28.
  void bringVersion13IntoForce() {
    replyInEra('l', DirectoryKind::Config, {configObject(13, 28)}, 28);
    replyInEra('l', DirectoryKind::Targets, {targetObject("t1", 11)}, 28);
    replyInEra('l', DirectoryKind::Hosts, {}, 28);
    advance(1100);
  }
  /// The store is away for longer than keys are trusted.
  void storeGoesAway() {
    for (int I = 0; I < 4; ++I) {
      for (DirectoryKind Kind : {DirectoryKind::Config, DirectoryKind::Targets,
                                 DirectoryKind::Hosts}) {
        for (char Operation : {'l', 'w'}) {
          while (hasPendingCall(Operation, Kind)) {
            reply(Operation, Kind, DirectoryReply::Status::Failed);
          }
        }
      }
      advance(1000);
    }
    CHECK_FALSE(Directory->reachable());
  }
};

TEST(StoreReturns, aVersionWithARevisionThatWasGivenOutBeforeIsTaken) {
  bringVersion13IntoForce();
  storeGoesAway();
  ++Era;
  replyInEra('l', DirectoryKind::Config, {configObject(13, 27)}, 27);
  advance(20);
  while (hasPendingCall('l', DirectoryKind::Config)) {
    replyInEra('l', DirectoryKind::Config, {configObject(13, 27)}, 27);
    advance(20);
  }
  replyInEra('w', DirectoryKind::Config, {configObject(16, 28)}, 28);
  CHECK_EQUAL(16, Events.Version);
}
