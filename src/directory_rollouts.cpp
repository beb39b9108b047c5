// Status writes of roll-outs. Orders are listed and watched as the other kinds.
#include "directory_p.h"

#include "event_log_p.h"

namespace shallotlatch {

// Delay before the next write after one that the store did not do, so that a
// store in trouble gets few calls.
static constexpr Duration StatusRetryDelay = millis(400);

void FleetDirectory::writeRolloutStatus(const RolloutStatusWrite &Write,
                                        Time CurrentTime) {
  const Feed &F = this->feed(DirectoryKind::Rollouts);
  if (this->StatusWriteInFlight || !this->Reachable || F.Listing ||
      CurrentTime < this->NextStatusWriteAt) {
    return;
  }
  this->StatusWriteInFlight = true;
  logImportantEvent("rollout-status-write", {{"name", Write.Name},
                                             {"to", Write.To},
                                             {"state", name(Write.State)},
                                             {"revision", Write.Revision}});
  this->Store.writeRolloutStatus(Write, [this](DirectoryReply &&Reply) {
    this->onStatusReply(std::move(Reply));
  });
}

// A write whose reply is lost may have been done, so the object is read again
// before another one. After a conflict the object in the reply is taken over.
void FleetDirectory::onStatusReply(DirectoryReply &&Reply) {
  this->StatusWriteInFlight = false;
  this->NextStatusWriteAt = this->Now + StatusRetryDelay;
  bool Shown = Reply.Result == DirectoryReply::Status::Ok ||
               Reply.Result == DirectoryReply::Status::Conflict;
  logImportantEvent("rollout-status-reply",
                    {{"done", Reply.Result == DirectoryReply::Status::Ok},
                     {"shown", Shown && !Reply.Objects.empty()}});
  EraChange Change = this->recordEra(Reply, ReadConsistency::Linearizable);
  if (Change != EraChange::None) {
    return;
  }
  if (Shown && !Reply.Objects.empty()) {
    this->applyChanges(DirectoryKind::Rollouts, Reply.Objects);
  } else if (Reply.Result != DirectoryReply::Status::Refused) {
    this->restartList(this->feed(DirectoryKind::Rollouts));
  }
}

} // namespace shallotlatch
