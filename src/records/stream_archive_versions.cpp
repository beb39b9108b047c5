// The calls about versions: the record of those that may have begun streams,
// and the announcements of those that this process uses.
#include "stream_archive_p.h"

#include "directory_p.h"
#include "event_log_p.h"
#include "record_codec_p.h"

namespace shallotlatch {

// Name before that of the record of versions and after those of streams.
static constexpr const char *AfterStreamRecords = "streams~";
// Shortest interval between two reads of base versions.
static constexpr Duration BasesInterval = millis(1500);

static ServiceVersions decodeOrNone(const StoredRecord &Record) {
  try {
    return decodeVersions(Record.Content);
  } catch (const std::exception &E) {
    logImportantEvent("record-unreadable",
                      {{"name", Record.Name}, {"mistake", E.what()}});
    return {};
  }
}

// A process that is not among those that announced other versions has begun
// all of its streams at the base version.
SoftwareId StreamArchive::unrecordedVersion(ServiceId Service,
                                            const VersionSet &Set) const {
  SoftwareId Base = Set.baseIn(this->View.Era);
  auto It = this->Announced.find(Service);
  bool OnlyBase =
      It == this->Announced.end() || It->second == std::set<SoftwareId>{Base};
  bool IsKnown =
      this->AllHostsAnnounce && this->View.EraSettled && Base.isValid();
  return IsKnown && OnlyBase ? Base : SoftwareId();
}

// A record that the store came back with may be older than streams that go on.
void StreamArchive::reportVersions(const ServiceVersions &Versions) {
  ServiceVersions Current = Versions;
  for (auto &Item : Current) {
    Item.second.IsComplete &=
        !Item.second.Era || *Item.second.Era == this->View.Era;
  }
  this->Events.onVersionsRead(Current, this->isTrusted());
  this->reportBases(Versions);
}

void StreamArchive::reportBases(const ServiceVersions &Versions) {
  std::map<ServiceId, SoftwareId> Bases;
  for (const auto &Item : Versions) {
    SoftwareId Base = Item.second.baseIn(this->View.Era);
    if (Base.isValid() || Item.second.Versions.size() > 1) {
      Bases[Item.first] = Base;
    }
  }
  this->Events.onBasesRead(Bases);
}

void StreamArchive::readVersions() {
  ++this->Counts.Reads;
  this->Ledger.onReadStarted();
  auto Done = [this, Epoch = this->WriteEpoch](RecordReply &&Reply) {
    if (Epoch != this->WriteEpoch) {
      return;
    }
    if (Reply.Result != RecordReply::Status::Ok) {
      this->Ledger.onRefused(this->retryAt());
      return;
    }
    this->FailuresInARow = 0;
    std::optional<StoredRecord> Found;
    for (StoredRecord &Record : Reply.Records) {
      if (Record.Name == VersionRecordName) {
        Found = std::move(Record);
      }
    }
    this->Ledger.onRead(Found);
    if (Found) {
      this->reportVersions(this->Ledger.stored());
    }
  };
  this->Store.listRecords(AfterStreamRecords, ReadConsistency::Linearizable,
                          Done);
}

void StreamArchive::collectAnnouncement(const StoredRecord &Record,
                                        AnnouncedVersions &Into) const {
  if (this->Announcer.isOwn(Record.Name)) {
    return;
  }
  for (const auto &Item : decodeOrNone(Record)) {
    Into[Item.first].insert(Item.second.Versions.begin(),
                            Item.second.Versions.end());
  }
}

// Announcements come first in the order of names. A page holds those of all
// hosts of a fleet.
void StreamArchive::readAnnouncements() {
  ++this->Counts.Reads;
  this->WantsBases = false;
  this->NextBasesReadAt = this->Now + BasesInterval;
  auto Done = [this, Epoch = this->WriteEpoch](RecordReply &&Reply) {
    if (Epoch != this->WriteEpoch || Reply.Result != RecordReply::Status::Ok) {
      return;
    }
    AnnouncedVersions Versions;
    for (const StoredRecord &Record : Reply.Records) {
      if (isAnnouncement(Record.Name)) {
        this->collectAnnouncement(Record, Versions);
      }
    }
    this->Events.onAnnouncementsRead(Versions);
    this->readBases();
  };
  this->Store.listRecords("", ReadConsistency::Linearizable, Done);
}

void StreamArchive::readBases() {
  ++this->Counts.Reads;
  auto Done = [this, Epoch = this->WriteEpoch](RecordReply &&Reply) {
    if (Epoch != this->WriteEpoch || Reply.Result != RecordReply::Status::Ok) {
      return;
    }
    ServiceVersions Versions;
    for (const StoredRecord &Record : Reply.Records) {
      if (Record.Name == VersionRecordName) {
        Versions = decodeOrNone(Record);
      }
    }
    this->reportVersions(Versions);
  };
  this->Store.listRecords(AfterStreamRecords, ReadConsistency::Linearizable,
                          Done);
}

void StreamArchive::writeVersions(const StoredRecord &Record) {
  ++this->Counts.Writes;
  auto Done = [this, Epoch = this->WriteEpoch,
               Content = Record.Content](RecordReply &&Reply) {
    logImportantEvent("version-record",
                      {{"done", Reply.Result == RecordReply::Status::Ok},
                       {"content", Content}});
    if (Epoch != this->WriteEpoch) {
      return;
    }
    switch (Reply.Result) {
    case RecordReply::Status::Ok:
      this->FailuresInARow = 0;
      this->Ledger.onWritten(Reply.revision());
      this->reportBases(this->Ledger.stored());
      break;
    case RecordReply::Status::Conflict:
      this->Ledger.onUncertain(this->Now);
      break;
    case RecordReply::Status::Refused:
      this->Ledger.onRefused(this->retryAt());
      break;
    case RecordReply::Status::Failed:
      this->Ledger.onUncertain(this->retryAt());
      break;
    }
  };
  this->Store.writeRecord(Record, Done);
}

void StreamArchive::writeAnnouncement(const StoredRecord &Record) {
  ++this->Counts.Writes;
  auto Done = [this, Epoch = this->WriteEpoch,
               Content = Record.Content](RecordReply &&Reply) {
    logImportantEvent("versions-announced",
                      {{"done", Reply.Result == RecordReply::Status::Ok},
                       {"content", Content}});
    if (Epoch != this->WriteEpoch) {
      return;
    }
    switch (Reply.Result) {
    case RecordReply::Status::Ok:
      this->FailuresInARow = 0;
      this->Announcer.onWritten(Reply.revision());
      break;
    case RecordReply::Status::Conflict:
      this->Announcer.onUncertain(this->Now);
      break;
    case RecordReply::Status::Refused:
      this->Announcer.onRefused(this->retryAt());
      break;
    case RecordReply::Status::Failed:
      this->Announcer.onUncertain(this->retryAt());
      break;
    }
  };
  this->Store.writeRecord(Record, Done);
}

} // namespace shallotlatch
