#include "stream_archive_p.h"

#include "directory_p.h"
#include "event_log_p.h"
#include "record_codec_p.h"

#include <algorithm>

namespace shallotlatch {

// Interval at which a failure domain's new streams are written. A stream that
// is lost with all its hosts sooner after its beginning is not known.
static constexpr Duration WriteInterval = millis(500);
// Number of writers up to which it applies as it is; with more it grows in
// proportion, so that all hosts together stay at 40 writes a second.
static constexpr uint32_t WritersAtBaseInterval = 20;
// Shortest interval between two reads of all records.
static constexpr Duration ReadInterval = millis(250);
// Number of streams that a read reports although nobody asked for them. Their
// callers are likely to return to this host too, and need no read then.
static constexpr size_t MaxUnsought = 20000;
// Time without a reply after which a call is given up.
static constexpr Duration CallLimit = millis(1500);
// Time after the first list of targets within which those that live have
// renewed entries that lapsed while the store was away.
static constexpr Duration SettleTime = millis(2200);
// Interval at which one host looks for records that nobody needs any more.
static constexpr Duration CleaningInterval = seconds(30);
static constexpr Duration ExpiryInterval = seconds(1);
static constexpr Duration FirstBackoff = millis(250);
static constexpr uint32_t MaxBackoffDoublings = 4;

StreamArchive::StreamArchive(RecordStore &Store, StreamArchiveEvents &Events,
                             const std::string &Owner)
    : Store(Store), Events(Events), Seed(hash64(Owner)),
      Journal(StreamRecordPrefix + Owner + "-"), Announcer(Owner) {}

bool StreamArchive::isTrusted() const {
  return this->AllHostsKeepRecords && this->View.EraSettled &&
         this->SettledAt && this->Now >= *this->SettledAt;
}

Duration StreamArchive::untilTrusted(Time CurrentTime) const {
  if (!this->SettledAt) {
    return SettleTime;
  }
  return std::max(Duration(0), *this->SettledAt - CurrentTime);
}

ArchiveStats StreamArchive::stats() const {
  ArchiveStats S = this->Counts;
  S.Streams = this->Journal.size();
  S.Unwritten = this->Journal.unwritten();
  return S;
}

void StreamArchive::requestRead(StreamId Stream, Time CurrentTime) {
  this->Now = std::max(this->Now, CurrentTime);
  this->Wanted.insert(Stream);
}

void StreamArchive::tick(const ArchiveView &Next, const KnownVersions &Known,
                         Time CurrentTime) {
  bool Returned = this->View.Era != 0 && Next.Era != this->View.Era;
  this->View = Next;
  this->Now = CurrentTime;
  if (Returned) {
    this->onStoreReturned();
  }
  if (Next.HasTargets && !this->SettledAt) {
    this->SettledAt = CurrentTime + SettleTime;
  }
  if (CurrentTime >= this->NextExpiry) {
    this->NextExpiry = CurrentTime + ExpiryInterval;
    this->Journal.expire(CurrentTime);
  }
  this->tickReads();
  if (Next.Reachable) {
    if (this->Role.Writes) {
      this->tickWrites(Known);
    }
    if (this->WantsBases && Next.HasTargets &&
        CurrentTime >= this->NextBasesReadAt) {
      this->readAnnouncements();
    }
    std::optional<StoredRecord> Announcement =
        this->Announcer.takeWrite(CurrentTime);
    if (Announcement) {
      this->writeAnnouncement(*Announcement);
    }
    this->tickCleaning();
  }
}

// Revisions of before mean nothing now, and records may be missing.
void StreamArchive::onStoreReturned() {
  ++this->WriteEpoch;
  this->Journal.onStoreReturned();
  this->Ledger.onStoreReturned();
  this->Announcer.onStoreReturned();
  this->NextBasesReadAt = Time();
  this->Seen.clear();
  this->Cleaning.InFlight = false;
}

Time StreamArchive::retryAt() {
  ++this->Counts.Failures;
  Duration Backoff =
      FirstBackoff * (1 << std::min(this->FailuresInARow, MaxBackoffDoublings));
  ++this->FailuresInARow;
  uint64_t Jitter = hashPair(this->Seed, this->Counts.Failures) %
                    static_cast<uint64_t>(Backoff.count());
  return this->Now + Backoff / 2 + Duration(static_cast<int64_t>(Jitter));
}

void StreamArchive::tickReads() {
  if (this->Read.InFlight && this->Now - this->Read.PageAt > CallLimit) {
    this->endRead(false);
  }
  if (this->Wanted.empty() || this->Read.InFlight) {
    return;
  }
  if (!this->View.Reachable) {
    this->Wanted.clear();
    this->Events.onRecordsUnread();
  } else if (this->Now >= this->NextReadAt) {
    this->Sought.swap(this->Wanted);
    this->Wanted.clear();
    this->NextReadAt = this->Now + ReadInterval;
    this->Read.InFlight = true;
    this->Read.StartedAt = this->Now;
    this->Shown = 0;
    this->Found.clear();
    this->Announced.clear();
    this->Recorded.clear();
    this->readPage("");
  }
}

void StreamArchive::readPage(const std::string &After) {
  ++this->Counts.Reads;
  this->Read.PageAt = this->Now;
  uint32_t Number = ++this->Read.Number;
  this->Store.listRecords(
      After, ReadConsistency::Linearizable, [this, Number](RecordReply &&Page) {
        if (this->Read.InFlight && this->Read.Number == Number) {
          this->onPage(std::move(Page));
        }
      });
}

void StreamArchive::onPage(RecordReply &&Page) {
  if (Page.Result != RecordReply::Status::Ok) {
    this->NextReadAt = this->retryAt();
    this->endRead(false);
    return;
  }
  this->FailuresInARow = 0;
  for (const StoredRecord &Record : Page.Records) {
    this->readRecord(Record);
  }
  if (Page.HasMore && !Page.Records.empty()) {
    this->readPage(Page.Records.back().Name);
    return;
  }
  logImportantEvent("stream-records-read",
                    {{"streams", this->Shown},
                     {"sought", this->Sought.size()},
                     {"ms", toMillis(this->Now - this->Read.StartedAt)},
                     {"trusted", this->isTrusted()}});
  this->endRead(true);
}

void StreamArchive::readRecord(const StoredRecord &Record) {
  try {
    if (Record.Name == VersionRecordName) {
      this->Recorded = decodeVersions(Record.Content);
      this->reportVersions(this->Recorded);
    } else if (isAnnouncement(Record.Name)) {
      this->collectAnnouncement(Record, this->Announced);
    } else {
      for (const StreamNote &Note : decodeStreamRecord(Record.Content)) {
        this->collect(Note);
      }
    }
  } catch (const std::exception &E) {
    logImportantEvent("record-unreadable",
                      {{"name", Record.Name}, {"mistake", E.what()}});
  }
}

// A fleet of the size in docs/CAPACITY.md has some 280,000 streams in its
// records, of which a few share their 31 bits with another one.
void StreamArchive::collect(const StreamNote &Note) {
  ++this->Shown;
  auto It = this->Found.find(Note.Stream);
  if (It != this->Found.end()) {
    if (It->second != Note.Software) {
      It->second = UndecidedSoftware;
    }
  } else if (this->Sought.count(Note.Stream) != 0 ||
             this->Found.size() < MaxUnsought) {
    this->Found.emplace(Note.Stream, Note.Software);
  }
}

void StreamArchive::endRead(bool Complete) {
  this->Read.InFlight = false;
  ++this->Read.Number;
  this->Sought.clear();
  if (Complete) {
    std::vector<StreamNote> Streams;
    for (const auto &Item : this->Found) {
      Streams.push_back({Item.first, Item.second});
    }
    this->Events.onStreamsRead(Streams);
    std::map<ServiceId, SoftwareId> Unrecorded;
    for (const auto &Item : this->Recorded) {
      SoftwareId Software = this->unrecordedVersion(Item.first, Item.second);
      if (Software.isValid()) {
        Unrecorded[Item.first] = Software;
      }
    }
    this->Events.onAnnouncementsRead(this->Announced);
    this->Events.onUnrecordedVersions(Unrecorded);
    this->Events.onRecordsRead(this->Read.StartedAt);
  } else {
    this->Events.onRecordsUnread();
  }
  this->Found.clear();
}

// Until the list of targets is whole, a version may be missing that serves, and
// hosts that have run for longer may know better.
void StreamArchive::tickWrites(const KnownVersions &Known) {
  Duration Interval =
      WriteInterval * std::max(1U, this->Role.Writers / WritersAtBaseInterval);
  std::optional<StoredRecord> Streams =
      this->Journal.takeWrite(Interval, this->Now);
  if (Streams) {
    this->writeStreams(*Streams);
  }
  if (!this->SettledAt || this->Now < *this->SettledAt) {
    return;
  }
  if (this->Ledger.needsRead(this->Now)) {
    this->readVersions();
  }
  KnownVersions Trusting = Known;
  Trusting.TrustsRecord = this->isTrusted();
  Trusting.Era = this->View.Era;
  std::optional<StoredRecord> Versions =
      this->Ledger.takeWrite(Trusting, this->Now);
  if (Versions) {
    this->writeVersions(*Versions);
  }
}

void StreamArchive::writeStreams(const StoredRecord &Record) {
  ++this->Counts.Writes;
  logEvent("stream-record", {{"name", Record.Name},
                             {"bytes", Record.Content.size()},
                             {"revision", Record.Revision}});
  auto Done = [this, Epoch = this->WriteEpoch](RecordReply &&Reply) {
    if (Epoch != this->WriteEpoch) {
      return;
    }
    switch (Reply.Result) {
    case RecordReply::Status::Ok:
      this->FailuresInARow = 0;
      this->Journal.onWritten(Reply.revision());
      break;
    case RecordReply::Status::Conflict:
      this->Journal.onUncertain(this->Now);
      break;
    case RecordReply::Status::Refused:
      this->Journal.onRefused(this->retryAt());
      break;
    case RecordReply::Status::Failed:
      this->Journal.onUncertain(this->retryAt());
      break;
    }
  };
  this->Store.writeRecord(Record, Done);
}

// Nothing in the store expires by itself, and a host may never return. A record
// that has not changed for the life of a stream holds none that can go on.
void StreamArchive::tickCleaning() {
  if (this->NextCleaningAt == Time()) {
    this->NextCleaningAt = this->Now + CleaningInterval;
  }
  if (this->Cleaning.InFlight &&
      this->Now - this->Cleaning.PageAt > CallLimit) {
    this->Cleaning.InFlight = false;
  }
  if (!this->Role.Cleans || this->Cleaning.InFlight ||
      this->Now < this->NextCleaningAt || this->View.StreamLife.count() == 0) {
    return;
  }
  this->NextCleaningAt = this->Now + CleaningInterval;
  this->Cleaning.InFlight = true;
  this->Listed.clear();
  this->cleanPage("");
}

void StreamArchive::cleanPage(const std::string &After) {
  ++this->Counts.Reads;
  this->Cleaning.PageAt = this->Now;
  uint32_t Number = ++this->Cleaning.Number;
  this->Store.listRecords(
      After, ReadConsistency::MayBeStale, [this, Number](RecordReply &&Page) {
        if (this->Cleaning.InFlight && this->Cleaning.Number == Number) {
          this->onCleanPage(std::move(Page));
        }
      });
}

void StreamArchive::onCleanPage(RecordReply &&Page) {
  if (Page.Result != RecordReply::Status::Ok) {
    this->Cleaning.InFlight = false;
    return;
  }
  std::vector<StoredRecord> Ended;
  for (const StoredRecord &Record : Page.Records) {
    if (Record.Name == VersionRecordName) {
      continue;
    }
    this->Listed.insert(Record.Name);
    SeenRecord &S = this->Seen[Record.Name];
    if (S.Revision != Record.Revision) {
      S = {Record.Revision, this->Now};
    } else if (this->Now - S.At >
               this->View.StreamLife + (isAnnouncement(Record.Name)
                                            ? AnnouncementLife
                                            : Duration(0))) {
      Ended.push_back(Record);
    }
  }
  for (const StoredRecord &Record : Ended) {
    ++this->Counts.Writes;
    this->Store.removeRecord(
        Record.Name, Record.Revision,
        [Name = Record.Name](RecordReply &&Reply) {
          logImportantEvent(
              "stream-record-removed",
              {{"name", Name},
               {"done", Reply.Result == RecordReply::Status::Ok}});
        });
  }
  if (Page.HasMore && !Page.Records.empty()) {
    this->cleanPage(Page.Records.back().Name);
    return;
  }
  this->Cleaning.InFlight = false;
  for (auto It = this->Seen.begin(); It != this->Seen.end();) {
    It = this->Listed.count(It->first) == 0 ? this->Seen.erase(It)
                                            : std::next(It);
  }
}

} // namespace shallotlatch
