// The versions at which new streams may begin: a version that has entered a
// service waits until this host has announced it.
#include "relay_p.h"

#include "event_log_p.h"
#include "relay_limits_p.h"
#include "sockets_p.h"

namespace shallotlatch {

// Time for which a stream waits that no version may begin yet.
static constexpr Duration MaxOpeningWait = millis(1500);
// Time after the start within which peers have told the history of services,
// and the record of versions has been written, so that the store is not asked
// for a base version unless streams wait for it.
static constexpr Duration HistoryTime = seconds(4);

bool RequestRelay::beginsStream(const RelayedRequest &R) {
  return R.MatchedRoute->Kind == RouteKind::Stream &&
         R.MatchedRoute->Resumable && !goesOn(R) && !R.Software.isValid();
}

// A service with one version as far as this host has seen is not held up while
// the host does not know whether there are others.
bool RequestRelay::mayBeginAt(ServiceId Service, SoftwareId Software) {
  if (this->Archive == nullptr || this->Origins.versions(Service) <= 1) {
    return true;
  }
  std::optional<SoftwareId> Base =
      this->Origins.base(Service, ProcessClock::now());
  bool IsFree = Base && (!Base->isValid() || *Base == Software);
  return IsFree ||
         this->Archive->announcer().isAnnounced(Service, Software, bootTime());
}

bool RequestRelay::bindToOpenVersion(RelayedRequest &R) {
  R.BeginsAt = SoftwareId();
  if (!beginsStream(R)) {
    return true;
  }
  ServiceScheduler &Scheduler = this->service(R.Service).Places->scheduler();
  std::vector<SoftwareId> Open;
  bool AllOpen = true;
  for (const auto &Item : this->Origins.versionsSeen(R.Service)) {
    if (!Scheduler.serves(Item.first)) {
      continue;
    }
    if (this->mayBeginAt(R.Service, Item.first)) {
      Open.push_back(Item.first);
    } else {
      AllOpen = false;
    }
  }
  if (AllOpen) {
    return true;
  }
  if (!Open.empty()) {
    R.BeginsAt = Open[R.Id.Value % Open.size()];
  }
  return !Open.empty();
}

void RequestRelay::awaitOpening(const RelayedRequest &R) {
  this->AwaitingOpening.try_emplace(R.Id, ProcessClock::now());
}

void RequestRelay::tickOpenings(Time Now) {
  if (this->Archive == nullptr) {
    return;
  }
  VersionAnnouncer &Announcer = this->Archive->announcer();
  for (ServiceId Service : this->StreamServices) {
    ServiceVersionsView View;
    View.SeenAt = this->Origins.versionsSeen(Service);
    View.Base = this->Origins.base(Service, Now);
    View.IsIndefinite = this->Origins.isBaseIndefinite(Service);
    View.OldestUntold = this->Origins.oldestUntold(Service);
    View.BaseServes =
        View.Base && View.Base->isValid() &&
        this->service(Service).Places->scheduler().serves(*View.Base);
    View.IsCrowded = this->service(Service).Places->hasBacklog(Now);
    View.Announced = this->AnnouncedElsewhere[Service];
    for (SoftwareId Software : this->Openings.takeDue(Service, View, Now)) {
      logImportantEvent("version-due",
                        {{"service", toHex(Service.Value)},
                         {"software", Software.Value},
                         {"base", View.Base ? View.Base->Value : 0},
                         {"base-serves", View.BaseServes},
                         {"seen-ms", toMillis(Now - View.SeenAt[Software])}});
      Announcer.announce(Service, Software);
    }
    if (this->Openings.isOver(Service, View, Now)) {
      Announcer.withdraw(Service);
      this->AnnouncedElsewhere.erase(Service);
    }
  }
  bool IsDue =
      !this->AwaitingOpening.empty() || Now - this->StartedAt > HistoryTime;
  if (IsDue && this->Origins.needsBases(this->StreamServices, Now)) {
    this->Archive->requestBases();
  }
}

void RequestRelay::retryAwaitingOpening(Time Now) {
  std::map<PlacementId, Time> Waiting;
  Waiting.swap(this->AwaitingOpening);
  for (const auto &Item : Waiting) {
    RelayedRequest *R = this->find(Item.first);
    if (R == nullptr) {
      continue;
    }
    if (this->bindToOpenVersion(*R)) {
      this->place(*R);
    } else if (Now - Item.second < MaxOpeningWait) {
      this->AwaitingOpening.insert(Item);
    } else {
      this->refuseOrFail(*R, "no version of the targets begins streams yet",
                         RetryAfterNotReady);
    }
  }
}

void RequestRelay::recordHostsLost() {
  this->Openings.recordHostsLost(ProcessClock::now());
}

void RequestRelay::onBasesRead(const std::map<ServiceId, SoftwareId> &Bases) {
  this->Origins.setBases(Bases);
}

void RequestRelay::onAnnouncementsRead(const AnnouncedVersions &Versions) {
  this->AnnouncedElsewhere = Versions;
}

void RequestRelay::onUnrecordedVersions(
    const std::map<ServiceId, SoftwareId> &Versions) {
  this->UnrecordedVersions = Versions;
}

} // namespace shallotlatch
