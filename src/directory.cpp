#include "directory_p.h"

#include "event_log_p.h"

#include <algorithm>
#include <vector>

namespace shallotlatch {

// Time for which a watch waits at the store. It is below the 20 s of history
// that the stores in use keep, since a longer wait without an event ends in a
// new list. Each wait is a call with a price, so shorter ones cost more;
// unresponsive connections are found by keep-alive probes.
static constexpr Duration WatchWait = seconds(15);
// Time after the end of the wait at which a call without a reply is given up,
// together with its connection.
static constexpr Duration CallTimeoutMargin = millis(900);
// Delay before the next watch, by kind, so that changes in quick succession
// arrive together. The configuration has no delay, because its age limits are
// the tightest.
static constexpr Duration WatchDelay[DirectoryKinds] = {millis(0), millis(60),
                                                        millis(1000)};
// Number of peers up to which WatchDelay applies as it is; with more peers it
// grows in proportion.
static constexpr uint32_t PeersAtBaseDelay = 10;
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
// Backoff after the first failed call; it doubles up to MaxBackoff.
static constexpr Duration InitialBackoff = millis(100);
static constexpr Duration MaxBackoff = millis(800);
// Time for which a follower waits for a configuration that a peer knows of. Its
// own cheaper watch shows it within this time unless the store lags.
static constexpr Duration MaxFollowerLag = millis(300);
// Targets whose entries lapsed while the store was unreachable have renewed
// them within two seconds of its return; until then the old entries are used.
static constexpr Duration LapseGrace = millis(2200);
// Longest outage of the store in which no entry lapses.
static constexpr Duration MaxOutageWithoutLapse = millis(1000);
// Delay before this host's entry is written again.
static constexpr Duration RegisterRetryDelay = millis(500);

const char *name(DirectoryKind K) {
  switch (K) {
  case DirectoryKind::Config:
    return "config";
  case DirectoryKind::Targets:
    return "targets";
  case DirectoryKind::Hosts:
    return "hosts";
  }
  return "unknown";
}

FleetDirectory::FleetDirectory(DirectoryStore &Store, DirectoryEvents &Events,
                               uint64_t Seed)
    : Store(Store), Events(Events), Seed(Seed) {}

void FleetDirectory::start(const FleetHost &Host, Time CurrentTime) {
  this->Self = Host;
  this->Now = CurrentTime;
  this->UnreachableSince = CurrentTime;
  for (Feed &F : this->Feeds) {
    F.Listing = true;
    F.NextCallAt = CurrentTime;
  }
  this->RegisterAt = CurrentTime;
  this->tick(CurrentTime);
}

Duration FleetDirectory::age(DirectoryKind Kind, Time CurrentTime) const {
  const Feed &F = this->Feeds[index(Kind)];
  return F.ConfirmedAt.time_since_epoch() == Duration::min()
             ? Duration::max()
             : CurrentTime - F.ConfirmedAt;
}

void FleetDirectory::onPeerConfirmation(uint64_t ConfigRevision, Time SentAt) {
  Feed &F = this->feed(DirectoryKind::Config);
  if (F.Synced && ConfigRevision == F.Revision) {
    F.ConfirmedAt = std::max(F.ConfirmedAt, SentAt);
  } else if (F.Synced && ConfigRevision > F.Revision &&
             ConfigRevision > this->PeerRevision) {
    this->PeerRevision = ConfigRevision;
    this->PeerRevisionAt = this->Now;
  }
}

// Peers are found by their datagrams, so a stale list of hosts does no harm.
// The leader reads configurations and departures of targets itself. It passes
// the departures on to its followers, and the revision of the configuration
// that the store confirmed: a follower whose stale read has not shown that
// revision trusts no key and asks the store itself. After an outage, every host
// needs the newest list to see which targets have not come back.
ReadConsistency FleetDirectory::mode(DirectoryKind Kind) const {
  switch (Kind) {
  case DirectoryKind::Config:
  case DirectoryKind::Targets:
    return this->Leader || this->Now < this->LapseGraceEnd
               ? ReadConsistency::Linearizable
               : ReadConsistency::MayBeStale;
  case DirectoryKind::Hosts:
    return ReadConsistency::MayBeStale;
  }
  return ReadConsistency::Linearizable;
}

// A follower's first list of the configuration must not be older than what its
// leader knows already, since the list starts the revisions that it watches.
ReadConsistency FleetDirectory::listMode(DirectoryKind Kind) const {
  return Kind == DirectoryKind::Config ? ReadConsistency::Linearizable
                                       : this->mode(Kind);
}

void FleetDirectory::setLeader(bool IsLeader, bool Followers,
                               Time CurrentTime) {
  this->HasFollowers = Followers;
  if (IsLeader == this->Leader) {
    return;
  }
  this->Leader = IsLeader;
  logImportantEvent("store-lead", {{"lead", IsLeader}});
  for (DirectoryKind Kind : {DirectoryKind::Config, DirectoryKind::Targets}) {
    Feed &F = this->feed(Kind);
    if (IsLeader && F.Synced && !F.Listing) {
      // The watch in flight may return stale objects, so its reply is dropped.
      F.CallInFlight = false;
      ++F.CallNumber;
      F.NextCallAt = CurrentTime;
    }
  }
}

void FleetDirectory::call(DirectoryKind Kind, Time CurrentTime) {
  Feed &F = this->feed(Kind);
  F.CallInFlight = true;
  F.CallStartedAt = CurrentTime;
  uint32_t CallNumber = ++F.CallNumber;
  auto Done = [this, Kind, CallNumber](DirectoryReply &&Reply) {
    this->onReply(Kind, CallNumber, std::move(Reply));
  };
  if (F.Listing) {
    this->Store.list(Kind, F.ListAfter, this->listMode(Kind), Done);
  } else {
    this->Store.watch(Kind, F.WatchRevision, WatchWait, this->mode(Kind), Done);
  }
}

void FleetDirectory::tick(Time CurrentTime) {
  this->Now = CurrentTime;
  for (size_t I = 0; I < DirectoryKinds; ++I) {
    DirectoryKind Kind = static_cast<DirectoryKind>(I);
    Feed &F = this->Feeds[I];
    Duration CallTimeout =
        (F.Listing ? Duration(0) : WatchWait) + CallTimeoutMargin;
    if (F.CallInFlight && CurrentTime - F.CallStartedAt > CallTimeout) {
      DirectoryReply TimedOut;
      this->onReply(Kind, F.CallNumber, std::move(TimedOut));
    }
    // While the store is unreachable, a kind whose last call failed waits until
    // a call for the configuration succeeds, since failed calls have a price
    // too.
    bool MayCall =
        this->Reachable || Kind == DirectoryKind::Config || F.Failures == 0;
    if (!F.CallInFlight && CurrentTime >= F.NextCallAt && MayCall) {
      this->call(Kind, CurrentTime);
    }
    std::vector<std::string> Lapsed;
    for (const auto &Item : F.PendingRemovals) {
      if (CurrentTime >= Item.second) {
        Lapsed.push_back(Item.first);
      }
    }
    for (const std::string &Name : Lapsed) {
      F.PendingRemovals.erase(Name);
      this->remove(Kind, Name);
    }
  }
  this->confirm(CurrentTime);
  if (!this->Registered && !this->Registering &&
      CurrentTime >= this->RegisterAt) {
    this->registerHost(CurrentTime);
  }
}

// A watch that waits says nothing about the present, so calls without a wait
// keep the configuration's age low. Peers pass the result on to each other.
void FleetDirectory::confirm(Time CurrentTime) {
  Feed &F = this->feed(DirectoryKind::Config);
  if (F.Confirming) {
    if (CurrentTime - F.ConfirmStartedAt > CallTimeoutMargin) {
      F.Confirming = false;
      this->markUnreachable();
    }
    return;
  }
  // Before the first list there is no time of confirmation to compare with.
  if (!F.Synced || F.Listing || !this->Reachable) {
    return;
  }
  Duration Jitter(static_cast<int64_t>(
      hashPair(this->Seed, F.ConfirmedAt.time_since_epoch().count()) %
      static_cast<uint64_t>(MaxConfirmJitter.count())));
  bool Behind = this->PeerRevision > F.Revision &&
                CurrentTime - this->PeerRevisionAt > MaxFollowerLag + Jitter;
  Duration Limit =
      this->HasFollowers
          ? LeaderConfirmAge
          : MinConfirmAge + Jitter +
                (this->Leader ? Duration(0) : FollowerConfirmDelay);
  if (!Behind && CurrentTime - F.ConfirmedAt < Limit) {
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
  if (FromRevision == F.WatchRevision || !Reply.Objects.empty()) {
    F.ConfirmedAt = std::max(F.ConfirmedAt, F.ConfirmStartedAt);
    this->Events.onConfirmed(F.Revision);
  }
}

// Starts again with a list; the reply to the call in flight is dropped.
void FleetDirectory::restartList(Feed &F) {
  F.CallInFlight = false;
  ++F.CallNumber;
  F.Listing = true;
  F.ListAfter.clear();
  F.ListedNames.clear();
  F.NextCallAt = this->Now;
}

// Calls that wait at an unresponsive store may never get a reply, so all kinds
// are listed again once the store replies.
void FleetDirectory::markUnreachable() {
  if (!this->Reachable) {
    return;
  }
  this->Reachable = false;
  this->UnreachableSince = this->Now;
  this->Events.onStoreReachable(false);
  for (Feed &F : this->Feeds) {
    if (!F.CallInFlight || !F.Listing) {
      this->restartList(F);
    }
  }
}

void FleetDirectory::registerHost(Time) {
  this->Registering = true;
  this->Store.registerHost(this->Self, [this](DirectoryReply &&Reply) {
    this->Registering = false;
    this->Registered = Reply.Result == DirectoryReply::Status::Ok;
    this->RegisterAt = this->Now + RegisterRetryDelay;
  });
}

void FleetDirectory::removeHost(const std::string &Name) {
  this->Store.removeHost(Name, [Name](DirectoryReply &&Reply) {
    logImportantEvent(
        "host-entry-removed",
        {{"name", Name}, {"done", Reply.Result == DirectoryReply::Status::Ok}});
  });
}

void FleetDirectory::recordEra(DirectoryKind Kind,
                               const DirectoryReply &Reply) {
  if (Reply.Era && *Reply.Era != this->StoreEra) {
    logImportantEvent("store-era", {{"kind", name(Kind)},
                                    {"era", *Reply.Era},
                                    {"before", this->StoreEra},
                                    {"revision", Reply.StoreRevision}});
    this->StoreEra = *Reply.Era;
  }
}

void FleetDirectory::onReply(DirectoryKind Kind, uint32_t CallNumber,
                             DirectoryReply &&Reply) {
  Feed &F = this->feed(Kind);
  if (CallNumber != F.CallNumber || !F.CallInFlight) {
    return;
  }
  F.CallInFlight = false;
  if (Reply.Result == DirectoryReply::Status::HistoryGone) {
    logImportantEvent("watch-history-gone",
                      {{"kind", name(Kind)}, {"from", F.WatchRevision}});
    this->restartList(F);
    this->call(Kind, this->Now);
    return;
  }
  if (Reply.Result != DirectoryReply::Status::Ok) {
    // A watch may have been cut off while it waited. Only a failed list or a
    // repeated failure shows that the store is unreachable.
    if (F.Listing || F.Failures > 0) {
      this->markUnreachable();
    }
    // The jitter differs between hosts, so that they do not all call at once
    // when an outage ends.
    Duration Backoff =
        std::min(MaxBackoff, InitialBackoff * (1 << std::min(F.Failures, 6U)));
    uint64_t Jitter = hashPair(this->Seed, F.CallNumber) %
                      static_cast<uint64_t>(Backoff.count());
    F.NextCallAt = this->Now + Backoff / 2 + Duration(Jitter / 2);
    // The history of the changes during an outage may be gone, so a list
    // follows.
    if (++F.Failures == 2 && F.Synced) {
      F.Listing = true;
      F.ListAfter.clear();
      F.ListedNames.clear();
    }
    return;
  }
  if (!this->Reachable) {
    this->markReachable();
  }
  this->recordEra(Kind, Reply);
  for (const DirectoryObject &Object : Reply.Objects) {
    if (F.Listing) {
      F.ListedNames.insert(Object.Name);
    }
    this->apply(Kind, Object);
  }
  if (F.Listing && Reply.HasMore && !Reply.Objects.empty()) {
    F.ListAfter = Reply.Objects.back().Name;
    this->call(Kind, this->Now);
    return;
  }
  F.WatchRevision = Reply.StoreRevision;
  if (F.Listing) {
    this->finishList(Kind);
  }
  F.ConfirmedAt = std::max(F.ConfirmedAt, F.CallStartedAt);
  F.Failures = 0;
  F.NextCallAt = this->Now + WatchDelay[index(Kind)] *
                                 (1 + this->PeerCount / PeersAtBaseDelay);
  if (F.NextCallAt <= this->Now) {
    this->call(Kind, this->Now);
  }
}

void FleetDirectory::markReachable() {
  this->Reachable = true;
  for (Feed &F : this->Feeds) {
    F.NextCallAt = this->Now;
  }
  if (this->Now - this->UnreachableSince > MaxOutageWithoutLapse) {
    this->LapseGraceEnd = this->Now + LapseGrace;
  }
  this->Events.onStoreReachable(true);
}

// After an outage, entries of live targets that could not renew them are
// missing for a while. These targets are kept until LapseGraceEnd.
void FleetDirectory::removeUnlisted(DirectoryKind Kind,
                                    const std::string &Name) {
  Feed &F = this->feed(Kind);
  if (Kind != DirectoryKind::Targets || this->Now >= this->LapseGraceEnd) {
    F.PendingRemovals.erase(Name);
    this->remove(Kind, Name);
  } else if (F.Objects.count(Name) != 0) {
    F.PendingRemovals[Name] = this->LapseGraceEnd;
  }
}

void FleetDirectory::finishList(DirectoryKind Kind) {
  Feed &F = this->feed(Kind);
  std::vector<std::string> Unlisted;
  for (const auto &Item : F.Objects) {
    if (F.ListedNames.count(Item.first) == 0) {
      Unlisted.push_back(Item.first);
    }
  }
  for (const std::string &Name : Unlisted) {
    this->removeUnlisted(Kind, Name);
  }
  if (!F.Synced) {
    logImportantEvent("listed", {{"kind", name(Kind)},
                                 {"objects", F.Objects.size()},
                                 {"revision", F.WatchRevision}});
  }
  F.Synced = true;
  F.Listing = false;
  F.ListAfter.clear();
  F.ListedNames.clear();
}

void FleetDirectory::remove(DirectoryKind Kind, const std::string &Name) {
  Feed &F = this->feed(Kind);
  if (F.Objects.erase(Name) == 0) {
    return;
  }
  if (Kind == DirectoryKind::Targets) {
    this->Events.onTargetGone(Name);
  } else if (Kind == DirectoryKind::Hosts) {
    this->Events.onHostGone(Name);
    if (Name == this->Self.Name) {
      this->Registered = false;
    }
  }
}

void FleetDirectory::apply(DirectoryKind Kind, const DirectoryObject &Object) {
  Feed &F = this->feed(Kind);
  if (Object.Deleted) {
    this->removeUnlisted(Kind, Object.Name);
    return;
  }
  auto Existing = F.Objects.find(Object.Name);
  if (Existing != F.Objects.end() && Existing->second >= Object.Revision) {
    F.PendingRemovals.erase(Object.Name);
    if (Existing->second > Object.Revision) {
      logEvent("object-older",
               {{"kind", name(Kind)},
                {"name", Object.Name},
                {"revision", Object.Revision},
                {"known", Existing->second},
                {"version", Object.Config ? Object.Config->Version : 0}});
    }
    // A list repeats known objects, and may be older than a watch.
    return;
  }
  if (!Object.ParseError.empty()) {
    logImportantEvent("object-unreadable", {{"kind", name(Kind)},
                                            {"name", Object.Name},
                                            {"revision", Object.Revision},
                                            {"mistake", Object.ParseError}});
    this->remove(Kind, Object.Name);
    return;
  }
  F.PendingRemovals.erase(Object.Name);
  F.Objects[Object.Name] = Object.Revision;
  F.Revision = std::max(F.Revision, Object.Revision);
  if (Object.Config) {
    if (this->Config && Object.Config->Version < this->Config->Version) {
      logImportantEvent("config-older", {{"version", Object.Config->Version},
                                         {"in-force", this->Config->Version}});
      return;
    }
    this->Config = Object.Config;
    logImportantEvent("config", {{"version", Object.Config->Version},
                                 {"revision", Object.Revision},
                                 {"routes", Object.Config->Routes.size()}});
    this->Events.onConfig(this->Config);
  } else if (Object.Target) {
    this->Events.onTarget(*Object.Target);
  } else if (Object.Host) {
    if (Object.Name == this->Self.Name && Object.Host->Run != this->Self.Run) {
      // The entry is that of an earlier run of this host and is replaced.
      this->Registered = false;
    }
    this->Events.onHost(*Object.Host);
  }
}

} // namespace shallotlatch
