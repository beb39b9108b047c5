// Which targets were ever in the store, those that came and went unseen too.
#include "directory_p.h"

#include "event_log_p.h"

#include <algorithm>

namespace shallotlatch {

// Range of the time after a list at which the changes before it are read, so
// that not all hosts read them at once when the store returns. The stores in
// use keep their history for longer.
static constexpr Duration MaxHistoryFillDelay = seconds(5);

Duration FleetDirectory::historyFillDelay() const {
  return Duration(
      static_cast<int64_t>(hashPair(this->Seed, this->History.Revision) %
                           static_cast<uint64_t>(MaxHistoryFillDelay.count())));
}

void FleetDirectory::confirmTargets(Time CurrentTime) {
  this->History.Wanted = true;
  this->History.WantedAt = CurrentTime;
  this->tickTargetHistory();
}

void FleetDirectory::tickTargetHistory() {
  TargetHistory &H = this->History;
  if (H.CallInFlight && this->Now - H.CallStartedAt > DirectoryCallTimeout) {
    this->endTargetHistoryCall();
    this->Events.onTargetsUnconfirmed();
  }
  if (H.FillAt && this->Now >= *H.FillAt) {
    H.FillAt.reset();
    H.Wanted = true;
    H.WantedAt = std::max(H.WantedAt, this->Now);
  }
  const Feed &F = this->feed(DirectoryKind::Targets);
  if (H.Wanted && !H.CallInFlight && this->Reachable && F.Synced &&
      !F.Listing && H.Revision != 0) {
    this->callTargetHistory();
  }
}

// The watch that is under way cannot tell what happened up to now, since it
// waits for a change, and may be stale or silent.
void FleetDirectory::callTargetHistory() {
  TargetHistory &H = this->History;
  H.Wanted = false;
  H.CallInFlight = true;
  H.CallStartedAt = std::max(this->Now, H.WantedAt);
  uint32_t CallNumber = ++H.CallNumber;
  this->Store.watch(DirectoryKind::Targets, H.Revision, Duration(0),
                    ReadConsistency::Linearizable,
                    [this, CallNumber](DirectoryReply &&Reply) {
                      if (this->History.CallInFlight &&
                          this->History.CallNumber == CallNumber) {
                        this->onTargetHistory(std::move(Reply));
                      }
                    });
}

void FleetDirectory::endTargetHistoryCall() {
  this->History.CallInFlight = false;
  ++this->History.CallNumber;
}

void FleetDirectory::onTargetHistory(DirectoryReply &&Reply) {
  TargetHistory &H = this->History;
  uint64_t From = H.Revision;
  Time ReadAt = H.CallStartedAt;
  this->endTargetHistoryCall();
  if (this->recordEra(Reply, ReadConsistency::Linearizable) !=
      EraChange::None) {
    this->Events.onTargetsUnconfirmed();
    return;
  }
  if (Reply.Result == DirectoryReply::Status::HistoryGone) {
    // A watch that waited all the while would have shown what happened. The
    // entry of a target that is lost stays for some heartbeats, so a shorter
    // gap hides none.
    Duration Gap = H.InterruptedAt ? ReadAt - *H.InterruptedAt : Duration(0);
    logImportantEvent("target-history-gone",
                      {{"from", From}, {"gap-ms", toMillis(Gap)}});
    H.Revision = 0;
    H.InterruptedAt.reset();
    H.Wanted = true;
    this->restartList(this->feed(DirectoryKind::Targets));
    if (Gap >= this->Heartbeat * HeartbeatsUntilRemoval) {
      this->Events.onTargetChangesMissed();
    }
    return;
  }
  if (Reply.Result != DirectoryReply::Status::Ok) {
    this->Events.onTargetsUnconfirmed();
    return;
  }
  this->recordTargetChanges(Reply.Objects, From, Reply.StoreRevision, ReadAt);
  this->Events.onTargetsConfirmed(ReadAt);
}

void FleetDirectory::recordTargetChanges(
    const std::vector<DirectoryObject> &Changes, uint64_t From, uint64_t To,
    Time ReadAt) {
  for (const DirectoryObject &Object : Changes) {
    if (Object.Target && !Object.Deleted) {
      this->Events.onTargetSeen(*Object.Target);
    }
  }
  TargetHistory &H = this->History;
  if (From > H.Revision) {
    return;
  }
  H.Revision = std::max(H.Revision, To);
  if (H.InterruptedAt && ReadAt >= H.NoticedAt) {
    H.InterruptedAt.reset();
  }
}

void FleetDirectory::interruptTargetHistory(Time Since, Time NoticedAt) {
  TargetHistory &H = this->History;
  H.InterruptedAt = std::min(H.InterruptedAt.value_or(Since), Since);
  H.NoticedAt = NoticedAt;
}

} // namespace shallotlatch
