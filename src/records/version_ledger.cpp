#include "version_ledger_p.h"

#include "event_log_p.h"
#include "record_codec_p.h"

namespace shallotlatch {

bool VersionLedger::needsRead(Time Now) const {
  return !this->IsRead && !this->InFlight && Now >= this->NextCallAt;
}

void VersionLedger::onRead(const std::optional<StoredRecord> &Record) {
  this->InFlight = false;
  this->IsRead = true;
  this->Revision = Record ? Record->Revision : 0;
  this->Stored.clear();
  if (!Record) {
    return;
  }
  try {
    this->Stored = decodeVersions(Record->Content);
  } catch (const std::exception &E) {
    logImportantEvent("record-unreadable",
                      {{"name", Record->Name}, {"mistake", E.what()}});
  }
}

// A version is left out only by a host that has seen all versions for as long
// as streams last. Others add what they see, and leave the rest to those.
ServiceVersions VersionLedger::target(const KnownVersions &Known) const {
  ServiceVersions Target = Known.Services;
  for (auto &Item : Target) {
    if (Item.second.IsComplete) {
      Item.second.Era = Known.Era;
    }
  }
  for (const auto &Item : this->Stored) {
    auto Own = Target.find(Item.first);
    if (Own == Target.end()) {
      if (!Known.CoversAllServices) {
        Target.insert(Item);
      }
    } else if (!Own->second.IsComplete) {
      Own->second.Versions.insert(Item.second.Versions.begin(),
                                  Item.second.Versions.end());
      Own->second.IsComplete = Item.second.IsComplete && Known.TrustsRecord;
      Own->second.Era = Item.second.Era;
    }
    // The record alone says which version was the only one before the others
    // entered, since it is written conditionally.
    if (Own != Target.end() && Own->second.Versions.size() > 1) {
      SoftwareId Base = Item.second.baseIn(Known.Era);
      bool Serves = Own->second.Versions.count(Base) != 0;
      Own->second.Base = Serves ? Base : SoftwareId();
    }
  }
  return Target;
}

std::optional<StoredRecord> VersionLedger::takeWrite(const KnownVersions &Known,
                                                     Time Now) {
  if (!this->IsRead || this->InFlight || Now < this->NextCallAt) {
    return std::nullopt;
  }
  ServiceVersions Target = this->target(Known);
  if (Target == this->Stored) {
    return std::nullopt;
  }
  this->InFlight = true;
  this->Writing = std::move(Target);
  return StoredRecord{VersionRecordName, this->Revision,
                      encodeVersions(this->Writing)};
}

void VersionLedger::onWritten(uint64_t NewRevision) {
  this->InFlight = false;
  this->Revision = NewRevision;
  this->Stored = std::move(this->Writing);
}

void VersionLedger::onRefused(Time RetryAt) {
  this->InFlight = false;
  this->NextCallAt = RetryAt;
}

void VersionLedger::onUncertain(Time RetryAt) {
  this->onRefused(RetryAt);
  this->IsRead = false;
}

void VersionLedger::onStoreReturned() {
  this->IsRead = false;
  this->InFlight = false;
}

} // namespace shallotlatch
