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
// Delay before the next watch, by kind, so that changes in quick succession
// arrive together. The configuration has no delay, because its age limits are
// the tightest.
static constexpr Duration WatchDelay[DirectoryKinds] = {
    millis(0), millis(60), millis(1000), millis(60)};
// Number of peers up to which WatchDelay applies as it is; with more peers it
// grows in proportion.
static constexpr uint32_t PeersAtBaseDelay = 10;
// Backoff after the first failed call; it doubles up to MaxBackoff.
static constexpr Duration InitialBackoff = millis(100);
static constexpr Duration MaxBackoff = millis(800);
// Targets whose entries lapsed while the store was unreachable have renewed
// them within two seconds of its return; until then the old entries are used.
static constexpr Duration LapseGrace = millis(2200);
// Time after the store's return from a copy for which missing hosts are kept.
// A host may notice late that its entry is missing, and while it is kept, its
// peers exchange states with it and count it.
static constexpr Duration HostReturnGrace = seconds(30);
// Range of the delay before a host registers again after the store's return.
static constexpr Duration MaxRegisterJitter = seconds(2);
// Longest outage of the store in which no entry lapses.
static constexpr Duration MaxOutageWithoutLapse = millis(1000);
// Longest time between two ticks of a host that was not suspended, and time
// within which a host that was learns what the store shows now.
static constexpr Duration MaxTickGap = millis(500);
static constexpr Duration WakeTime = millis(1500);
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
  case DirectoryKind::Rollouts:
    return "rollouts";
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
    return this->Feeds[index(Kind)].IsReturnList ? ReadConsistency::Linearizable
                                                 : ReadConsistency::MayBeStale;
  case DirectoryKind::Rollouts:
    // Others learn of orders from the messages of their owner.
    return this->Leader ? ReadConsistency::Linearizable
                        : ReadConsistency::MayBeStale;
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
  for (DirectoryKind Kind : {DirectoryKind::Config, DirectoryKind::Targets,
                             DirectoryKind::Rollouts}) {
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
  F.CallMode = F.Listing ? this->listMode(Kind) : this->mode(Kind);
  uint32_t CallNumber = ++F.CallNumber;
  auto Done = [this, Kind, CallNumber](DirectoryReply &&Reply) {
    this->onReply(Kind, CallNumber, std::move(Reply));
  };
  if (F.Listing) {
    this->Store.list(Kind, F.List.After, F.CallMode, Done);
  } else {
    this->Store.watch(Kind, F.WatchRevision, WatchWait, F.CallMode, Done);
  }
}

void FleetDirectory::tick(Time CurrentTime) {
  if (CurrentTime - this->Now > MaxTickGap) {
    this->interruptTargetHistory(this->Now, CurrentTime);
    this->postponeRemovals(CurrentTime + WakeTime);
  }
  this->Now = CurrentTime;
  for (size_t I = 0; I < DirectoryKinds; ++I) {
    DirectoryKind Kind = static_cast<DirectoryKind>(I);
    Feed &F = this->Feeds[I];
    Duration CallTimeout =
        (F.Listing ? Duration(0) : WatchWait) + DirectoryCallTimeout;
    if (F.CallInFlight && CurrentTime - F.CallStartedAt > CallTimeout) {
      DirectoryReply TimedOut;
      this->onReply(Kind, F.CallNumber, std::move(TimedOut));
    }
    // While the store is unreachable, a kind whose last call failed waits until
    // a call for the configuration succeeds, since failed calls have a price
    // too.
    bool MayCall =
        this->isRead(Kind) &&
        (this->Reachable || Kind == DirectoryKind::Config || F.Failures == 0);
    if (!F.CallInFlight && CurrentTime >= F.NextCallAt && MayCall) {
      this->call(Kind, CurrentTime);
    }
    std::vector<std::string> Lapsed;
    for (const auto &Item : F.PendingRemovals) {
      // Missing objects cannot come back while the store is away, and a list
      // that is under way shows whether they have.
      if (this->Reachable && !F.Listing && CurrentTime >= Item.second) {
        Lapsed.push_back(Item.first);
      }
    }
    for (const std::string &Name : Lapsed) {
      F.PendingRemovals.erase(Name);
      this->remove(Kind, Name);
    }
  }
  if (this->ReadAgain && CurrentTime >= this->CopyGraceEnd) {
    this->ReadAgain = false;
    this->restartList(this->feed(DirectoryKind::Targets));
  }
  this->confirm(CurrentTime);
  this->tickTargetHistory();
  this->markSettledEra();
  // The list shows the eras that hosts saw settle before this host replaces the
  // entry of its earlier run.
  if (!this->Registered && !this->Registering &&
      this->feed(DirectoryKind::Hosts).Synced &&
      CurrentTime >= this->RegisterAt) {
    this->registerHost(CurrentTime);
  }
}

// What came back while the host was suspended has not been read yet.
void FleetDirectory::postponeRemovals(Time Earliest) {
  for (Feed &F : this->Feeds) {
    for (auto &Item : F.PendingRemovals) {
      Item.second = std::max(Item.second, Earliest);
    }
  }
}

// Starts again with a list; the reply to the call in flight is dropped.
void FleetDirectory::restartList(Feed &F) {
  F.CallInFlight = false;
  ++F.CallNumber;
  F.Listing = true;
  F.List = ListProgress();
  F.NextCallAt = this->Now;
}

EraChange FleetDirectory::recordEra(const DirectoryReply &Reply,
                                    ReadConsistency Mode) {
  uint64_t Before = this->Eras.current();
  EraChange Change = this->Eras.record(
      Reply.Era, Mode == ReadConsistency::MayBeStale, this->Now);
  if (Change == EraChange::Returned) {
    logImportantEvent("store-era", {{"era", *Reply.Era},
                                    {"before", Before},
                                    {"revision", Reply.StoreRevision}});
    this->startEra();
  }
  return Change;
}

// Revisions and watches of the former era mean nothing in the new one, so all
// is listed again and replies to earlier calls are dropped. What this host
// believes stays until the store shows something that was written later.
void FleetDirectory::startEra() {
  for (Feed &F : this->Feeds) {
    this->restartList(F);
    F.IsReturnList = true;
    F.Confirming = false;
    F.Revision = 0;
    for (auto &Item : F.Objects) {
      Item.second.Revision = 0;
    }
  }
  this->History.Revision = 0;
  this->CopyBehind = this->Config != nullptr;
  this->LapseGraceEnd = this->Now + LapseGrace;
  this->HostGraceEnd = this->Now + HostReturnGrace;
  this->CopyGraceEnd =
      this->Now + LapseGrace + this->Heartbeat * HeartbeatsUntilRemoval;
  this->ReadAgain = true;
  this->Departed.prune(this->Now);
  // The call in flight may have written to the history that is lost.
  ++this->RegisterNumber;
  this->Registering = false;
}

void FleetDirectory::onPeerEra(uint64_t Era) {
  if (this->Eras.current() == 0 ||
      Era <= std::max(this->Eras.current(), this->PeerEra)) {
    return;
  }
  this->PeerEra = Era;
  logImportantEvent("store-era-of-peer",
                    {{"era", Era}, {"own", this->Eras.current()}});
  for (Feed &F : this->Feeds) {
    this->restartList(F);
  }
}

// Calls that wait at an unresponsive store may never get a reply, so all kinds
// are listed again once the store replies.
void FleetDirectory::markUnreachable() {
  if (!this->Reachable) {
    return;
  }
  this->Reachable = false;
  this->UnreachableSince = this->Now;
  this->interruptTargetHistory(this->Now, this->Now);
  this->Events.onStoreReachable(false);
  for (Feed &F : this->Feeds) {
    if (!F.CallInFlight || !F.Listing) {
      this->restartList(F);
    }
  }
}

void FleetDirectory::registerHost(Time) {
  this->Registering = true;
  uint32_t Number = ++this->RegisterNumber;
  this->Store.registerHost(this->Self, [this, Number](DirectoryReply &&Reply) {
    if (Number != this->RegisterNumber) {
      return;
    }
    this->Registering = false;
    this->Registered = Reply.Result == DirectoryReply::Status::Ok;
    this->RegisterAt = this->Now + RegisterRetryDelay;
  });
}

// A process that starts later reads the mark and need not wait for the era to
// settle.
void FleetDirectory::markSettledEra() {
  uint64_t Era = this->Eras.current();
  if (!StoreEras::needsMark(Era) || this->Self.SettledEra == Era ||
      !this->Leader || !this->Registered || !this->Eras.settled(this->Now)) {
    return;
  }
  this->Self.SettledEra = Era;
  this->registerLater();
}

void FleetDirectory::registerLater() {
  this->Registered = false;
  this->RegisterAt =
      this->Now + Duration(static_cast<int64_t>(
                      hashPair(this->Seed, this->Eras.current()) %
                      static_cast<uint64_t>(MaxRegisterJitter.count())));
}

void FleetDirectory::removeHost(const std::string &Name) {
  this->Store.removeHost(Name, [Name](DirectoryReply &&Reply) {
    logImportantEvent(
        "host-entry-removed",
        {{"name", Name}, {"done", Reply.Result == DirectoryReply::Status::Ok}});
  });
}

void FleetDirectory::onReply(DirectoryKind Kind, uint32_t CallNumber,
                             DirectoryReply &&Reply) {
  Feed &F = this->feed(Kind);
  if (CallNumber != F.CallNumber || !F.CallInFlight) {
    return;
  }
  F.CallInFlight = false;
  bool FirstPage = F.Listing && !F.List.begun();
  switch (this->recordEra(Reply, F.CallMode)) {
  case EraChange::None:
    break;
  case EraChange::Returned:
    if (!FirstPage || Reply.Result != DirectoryReply::Status::Ok) {
      return;
    }
    break;
  case EraChange::Outdated:
    F.NextCallAt = this->Now + InitialBackoff;
    return;
  }
  if (Reply.Result == DirectoryReply::Status::HistoryGone) {
    logImportantEvent("watch-history-gone",
                      {{"kind", name(Kind)}, {"from", F.WatchRevision}});
    this->restartList(F);
    this->call(Kind, this->Now);
    return;
  }
  if (Reply.Result != DirectoryReply::Status::Ok) {
    if (Kind == DirectoryKind::Targets) {
      this->interruptTargetHistory(this->Now, this->Now);
    }
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
      F.List = ListProgress();
    }
    return;
  }
  if (!this->Reachable) {
    this->markReachable();
  }
  Time ReadAt = F.CallStartedAt;
  if (F.Listing) {
    if (!this->applyPage(Kind, Reply)) {
      this->call(Kind, this->Now);
      return;
    }
    ReadAt = F.List.StartedAt;
    this->finishList(Kind);
  } else {
    this->applyChanges(Kind, Reply.Objects);
    if (Kind == DirectoryKind::Targets) {
      this->recordTargetChanges(Reply.Objects, F.WatchRevision,
                                Reply.StoreRevision, ReadAt);
    }
    F.WatchRevision = Reply.StoreRevision;
  }
  bool IsCurrent = F.CallMode == ReadConsistency::Linearizable &&
                   this->confirmsConfig(ReadAt);
  if (Kind != DirectoryKind::Config || IsCurrent) {
    F.ConfirmedAt = std::max(F.ConfirmedAt, ReadAt);
  }
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
  if (this->Now - this->UnreachableSince > MaxOutageWithoutLapse ||
      this->UnreachableSince < this->LapseGraceEnd) {
    this->LapseGraceEnd = this->Now + LapseGrace;
  }
  this->Events.onStoreReachable(true);
}

void FleetDirectory::finishList(DirectoryKind Kind) {
  Feed &F = this->feed(Kind);
  F.WatchRevision = F.List.Revision;
  std::vector<std::string> Unlisted;
  for (const auto &Item : F.Objects) {
    if (F.List.Names.count(Item.first) == 0) {
      Unlisted.push_back(Item.first);
    }
  }
  for (const std::string &Name : Unlisted) {
    this->removeUnlisted(Kind, Name);
  }
  if (F.IsReturnList && Kind == DirectoryKind::Hosts && this->Registered &&
      F.List.Names.count(this->Self.Name) == 0) {
    this->removeUnlisted(Kind, this->Self.Name);
  }
  if (!F.Synced) {
    logImportantEvent("listed", {{"kind", name(Kind)},
                                 {"objects", F.Objects.size()},
                                 {"revision", F.WatchRevision}});
  }
  if (Kind == DirectoryKind::Targets && this->History.Revision == 0) {
    this->History.Revision = F.WatchRevision;
  } else if (Kind == DirectoryKind::Targets) {
    this->History.FillAt = this->Now + this->historyFillDelay();
  }
  F.Synced = true;
  F.Listing = false;
  F.IsReturnList = false;
  F.List = ListProgress();
}

} // namespace shallotlatch
