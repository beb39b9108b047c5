#include "version_announcer_p.h"

#include "record_codec_p.h"

namespace shallotlatch {

// Interval at which an announcement is written again. Two writes may fail
// before it runs out.
static constexpr Duration RenewalInterval = AnnouncementLife / 3;

void VersionAnnouncer::announce(ServiceId Service, SoftwareId Software) {
  this->Wanted[Service].insert(Software);
}

bool VersionAnnouncer::isAnnounced(ServiceId Service, SoftwareId Software,
                                   Time Now) const {
  auto It = this->Written.find(Service);
  return It != this->Written.end() && It->second.count(Software) != 0 &&
         Now < this->WrittenAt + AnnouncementLife;
}

std::optional<StoredRecord> VersionAnnouncer::takeWrite(Time Now) {
  bool IsDue =
      this->Wanted != this->Written || Now >= this->WrittenAt + RenewalInterval;
  if (this->InFlight || this->Wanted.empty() || !IsDue ||
      Now < this->NextWriteAt) {
    return std::nullopt;
  }
  this->InFlight = true;
  this->SentAt = Now;
  this->Writing = this->Wanted;
  ServiceVersions Content;
  for (const auto &Item : this->Writing) {
    Content[Item.first].Versions = Item.second;
  }
  return StoredRecord{this->Prefix + std::to_string(this->Number),
                      this->Revision,
                      encodeAnnouncement(Content, ++this->Renewals)};
}

void VersionAnnouncer::onWritten(uint64_t NewRevision) {
  this->InFlight = false;
  this->Revision = NewRevision;
  this->Written = std::move(this->Writing);
  this->WrittenAt = this->SentAt;
}

void VersionAnnouncer::onRefused(Time RetryAt) {
  this->InFlight = false;
  this->NextWriteAt = RetryAt;
}

// What the store has of this process stays until it is cleaned, so it still
// says all that is used.
void VersionAnnouncer::onUncertain(Time RetryAt) {
  this->onRefused(RetryAt);
  ++this->Number;
  this->Revision = 0;
}

void VersionAnnouncer::onStoreReturned() {
  this->onUncertain(Time());
  this->Written.clear();
}

} // namespace shallotlatch
