// How a host's copy of the configuration is confirmed and replaced.
#include "directory_p.h"

#include "event_log_p.h"

#include <algorithm>

namespace shallotlatch {

// Age of the configuration at which this host asks the store for a
// confirmation. A jitter of up to MaxConfirmJitter is added, which differs
// between hosts, so that one host asks and the others receive the result from
// it.
static constexpr Duration MinConfirmAge = millis(1100);
static constexpr Duration MaxConfirmJitter = millis(600);
// The same age for a leader that confirms for the followers of its domain.
// Their ages are larger by the intervals of the messages to the leader and
// back.
static constexpr Duration LeaderConfirmAge = millis(700);
// Additional age for a host that receives confirmations from the leader of its
// domain: it asks the store only when the leader has failed to.
static constexpr Duration FollowerConfirmDelay = millis(700);
// Time for which a follower waits for a configuration that a peer knows of. Its
// own cheaper watch shows it within this time unless the store lags.
static constexpr Duration MaxFollowerLag = millis(300);

void FleetDirectory::onPeerConfirmation(uint64_t ConfigVersion, Time SentAt) {
  Feed &F = this->feed(DirectoryKind::Config);
  if (!F.Synced || ConfigVersion == 0) {
    return;
  }
  if (this->Config && ConfigVersion == this->Config->Version) {
    F.ConfirmedAt = std::max(F.ConfirmedAt, SentAt);
  } else if (ConfigVersion > this->configVersion() &&
             ConfigVersion > this->PeerVersion) {
    this->PeerVersion = ConfigVersion;
    this->PeerVersionAt = this->Now;
  }
}

// A store that came back from a copy may show an older configuration than the
// newest, until the operator has written again what the copy lacks.
bool FleetDirectory::confirmsConfig(Time ReadAt) const {
  bool BehindPeers = this->PeerVersion > this->configVersion() &&
                     ReadAt >= this->PeerVersionAt;
  return this->Eras.settled(ReadAt) && !this->CopyBehind && !BehindPeers;
}

bool FleetDirectory::confirmDue(Time CurrentTime) const {
  const Feed &F = this->Feeds[index(DirectoryKind::Config)];
  if (!F.Synced || F.Listing || !this->Reachable ||
      !this->Eras.settled(CurrentTime)) {
    return false;
  }
  Duration Jitter(static_cast<int64_t>(
      hashPair(this->Seed, F.ConfirmedAt.time_since_epoch().count()) %
      static_cast<uint64_t>(MaxConfirmJitter.count())));
  bool Behind =
      this->PeerVersion > this->configVersion() &&
      CurrentTime - std::max(this->PeerVersionAt, F.ConfirmStartedAt) >
          MaxFollowerLag + Jitter;
  Duration Limit =
      this->HasFollowers
          ? LeaderConfirmAge
          : MinConfirmAge + Jitter +
                (this->Leader ? Duration(0) : FollowerConfirmDelay);
  Time Since = F.ConfirmedAt;
  if (Since.time_since_epoch() == Duration::min() ||
      !this->confirmsConfig(CurrentTime)) {
    Since = std::max(Since, F.ConfirmStartedAt);
  }
  return Behind || CurrentTime - Since >= Limit;
}

// A watch that waits says nothing about the present, so calls without a wait
// keep the configuration's age low. Peers pass the result on to each other.
void FleetDirectory::confirm(Time CurrentTime) {
  Feed &F = this->feed(DirectoryKind::Config);
  if (F.Confirming) {
    if (CurrentTime - F.ConfirmStartedAt > DirectoryCallTimeout) {
      F.Confirming = false;
      this->markUnreachable();
    }
    return;
  }
  if (!this->confirmDue(CurrentTime)) {
    return;
  }
  F.Confirming = true;
  F.ConfirmStartedAt = CurrentTime;
  this->Events.onConfirmStarted();
  Time CallStartedAt = CurrentTime;
  uint64_t FromRevision = F.WatchRevision;
  this->Store.watch(
      DirectoryKind::Config, FromRevision, Duration(0),
      ReadConsistency::Linearizable,
      [this, CallStartedAt, FromRevision](DirectoryReply &&Reply) {
        Feed &ConfigFeed = this->feed(DirectoryKind::Config);
        if (ConfigFeed.Confirming &&
            ConfigFeed.ConfirmStartedAt == CallStartedAt) {
          ConfigFeed.Confirming = false;
          this->onConfirmReply(FromRevision, std::move(Reply));
        }
      });
}

void FleetDirectory::onConfirmReply(uint64_t FromRevision,
                                    DirectoryReply &&Reply) {
  Feed &F = this->feed(DirectoryKind::Config);
  if (this->recordEra(Reply, ReadConsistency::Linearizable) !=
      EraChange::None) {
    return;
  }
  if (Reply.Result != DirectoryReply::Status::Ok) {
    if (Reply.Result == DirectoryReply::Status::HistoryGone) {
      this->restartList(F);
    } else {
      this->markUnreachable();
    }
    return;
  }
  for (const DirectoryObject &Object : Reply.Objects) {
    this->apply(DirectoryKind::Config, Object);
  }
  if ((FromRevision == F.WatchRevision || !Reply.Objects.empty()) &&
      this->confirmsConfig(F.ConfirmStartedAt)) {
    F.ConfirmedAt = std::max(F.ConfirmedAt, F.ConfirmStartedAt);
    this->Events.onConfirmed(this->configVersion());
  }
}

void FleetDirectory::applyConfig(const DirectoryObject &Object) {
  uint64_t Version = Object.Config->Version;
  uint64_t Era = this->Eras.current();
  if (Version < this->configVersion()) {
    logImportantEvent("config-older", {{"version", Version},
                                       {"in-force", this->configVersion()},
                                       {"era", Era}});
    return;
  }
  this->CopyBehind = false;
  bool Known = this->Config && Version == this->configVersion() &&
               this->ConfigEra != Era;
  this->ConfigEra = Era;
  if (Known) {
    return;
  }
  this->Config = Object.Config;
  logImportantEvent("config", {{"version", Version},
                               {"revision", Object.Revision},
                               {"era", Era},
                               {"routes", Object.Config->Routes.size()}});
  this->Events.onConfig(this->Config);
}

} // namespace shallotlatch
