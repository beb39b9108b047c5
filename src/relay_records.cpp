// What the store keeps of streams: the part of requests that go on with one.
#include "relay_p.h"

#include "event_log_p.h"
#include "sockets_p.h"

namespace shallotlatch {

// Time within which the store shows its records.
static constexpr Duration RecordsWait = seconds(1);
// Time that reading a trusted record of versions takes, for callers that are
// told to return then.
static constexpr Duration RecordReadTime = millis(300);

void RequestRelay::setArchiveRole(const ArchiveRole &Role) {
  if (this->Archive != nullptr) {
    this->Archive->setRole(Role);
  }
}

void RequestRelay::archiveStreams(const std::vector<StreamNote> &Streams) {
  if (this->Archive != nullptr && !Streams.empty()) {
    this->Archive->add(Streams, bootTime() + this->longestStreamLife());
  }
}

void RequestRelay::tickArchive() {
  if (this->Archive == nullptr) {
    return;
  }
  Time Now = bootTime();
  ArchiveView View;
  View.Reachable = this->StoreView.reachable();
  View.HasTargets = this->StoreView.synced(DirectoryKind::Targets);
  View.Era = this->StoreView.storeEra();
  View.EraSettled = this->StoreView.eraSettled(Now);
  View.StreamLife = this->longestStreamLife();
  if (this->LastEra != 0 && View.Era != this->LastEra) {
    this->Origins.forgetBases();
  }
  this->LastEra = View.Era;
  this->Archive->tick(
      View,
      this->Origins.knownVersions(this->StreamServices, ProcessClock::now()),
      Now);
}

void RequestRelay::onStreamsRead(const std::vector<StreamNote> &Streams) {
  this->Origins.merge(Streams, ProcessClock::now());
}

void RequestRelay::onVersionsRead(const ServiceVersions &Versions,
                                  bool IsTrusted) {
  this->Origins.mergeVersions(Versions, IsTrusted, ProcessClock::now());
}

bool RequestRelay::searchRecords(const RelayedRequest &R,
                                 StreamSearch &Search) {
  if (this->Archive == nullptr || R.Resumes.empty() || Search.triedRecords() ||
      !this->StoreView.reachable()) {
    return false;
  }
  Time Now = bootTime();
  Search.awaitRecords(Now, Now + RecordsWait);
  this->Archive->requestRead(Search.stream(), Now);
  return true;
}

void RequestRelay::onRecordsRead(Time ReadAt) {
  this->continueAfterRecords(ReadAt);
}

void RequestRelay::onRecordsUnread() {
  this->continueAfterRecords(std::nullopt);
}

// The record of versions may tell what this host had not seen for long enough
// by itself; the store's word on the targets since then is still needed.
void RequestRelay::continueAfterRecords(std::optional<Time> ReadAt) {
  std::vector<PlacementId> Ready;
  for (auto &Item : this->Searches) {
    if (Item.second.awaitsRecords() &&
        (!ReadAt || Item.second.recordsCoveredBy(*ReadAt))) {
      Item.second.endRecords();
      Ready.push_back(Item.first);
    }
  }
  for (PlacementId Id : Ready) {
    auto It = this->Searches.find(Id);
    const RelayedRequest *R = this->find(Id);
    if (It == this->Searches.end() || R == nullptr) {
      continue;
    }
    if (this->Origins.find(It->second.stream())) {
      this->continueSearch(Id);
    } else if (this->Origins.soleVersion(R->Service, ProcessClock::now())) {
      this->searchView(Id);
    } else if (ReadAt && this->concludeUnrecorded(Id)) {
      continue;
    } else {
      this->concludeSearch(Id, false);
    }
  }
}

// The records hold all streams that began at versions other than the base
// version, or nobody has begun one.
bool RequestRelay::concludeUnrecorded(PlacementId Id) {
  auto It = this->Searches.find(Id);
  RelayedRequest *R = this->find(Id);
  auto Base = this->UnrecordedVersions.find(R->Service);
  if (Base == this->UnrecordedVersions.end() ||
      !It->second.agreesOn(Base->second)) {
    return false;
  }
  this->Searches.erase(It);
  this->placeWithOrigin(*R, Base->second, "base");
  return true;
}

// A host that has just started trusts the record of versions after a while.
Duration RequestRelay::untilOriginKnown(ServiceId Service) const {
  Time Now = ProcessClock::now();
  if (this->Archive == nullptr || this->Origins.versions(Service) > 1 ||
      this->Origins.soleVersion(Service, Now)) {
    return Duration(0);
  }
  Duration Wait = this->Archive->untilTrusted(bootTime());
  return Wait.count() == 0 ? Wait : Wait + RecordReadTime;
}

} // namespace shallotlatch
