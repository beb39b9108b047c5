/// \file
/// What the platform's store keeps of streams, so that they can be taken up
/// after all hosts that knew them have ended: the versions that may have begun
/// streams, and the streams themselves while there are several.
#pragma once

#include "record_store_p.h"
#include "stream_journal_p.h"
#include "version_announcer_p.h"
#include "version_ledger_p.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace shallotlatch {

/// Begins the names of the records of streams, which come before that of
/// versions.
constexpr const char *StreamRecordPrefix = "streams-";

/// Receives what the records say.
class StreamArchiveEvents {
public:
  virtual ~StreamArchiveEvents() = default;
  /// \p Streams: those that were asked for, and others that callers may return
  /// for soon. `UndecidedSoftware`: records name several versions, since ids
  /// are hashes.
  virtual void onStreamsRead(const std::vector<StreamNote> &Streams) = 0;
  /// \p IsTrusted: versions that the record marks as complete are all at which
  /// a stream may have begun.
  virtual void onVersionsRead(const ServiceVersions &Versions,
                              bool IsTrusted) = 0;
  /// \p Bases: the base versions of the services as the record of versions
  /// tells them, invalid for a service that has none. Services that may get one
  /// are left out.
  virtual void onBasesRead(const std::map<ServiceId, SoftwareId> &Bases) = 0;
  /// \p Versions: those that other processes have announced.
  virtual void onAnnouncementsRead(const AnnouncedVersions &Versions) = 0;
  /// \p Versions: those at which streams began that are in no record, as far as
  /// all records together tell. Comes before \p onRecordsRead.
  virtual void
  onUnrecordedVersions(const std::map<ServiceId, SoftwareId> &Versions) = 0;
  /// All records that were in the store at \p ReadAt have been reported.
  virtual void onRecordsRead(Time ReadAt) = 0;
  /// The store did not answer the call that was asked for.
  virtual void onRecordsUnread() = 0;
};

/// Part that a host takes in keeping the records.
struct ArchiveRole {
  /// Writes the streams of its failure domain, and the record of versions.
  bool Writes = false;
  /// Removes records whose streams have ended.
  bool Cleans = false;
  uint32_t Writers = 1; ///< Hosts that write, this one included.
};

/// State of a host that decides which calls are made.
struct ArchiveView {
  bool Reachable = false;  ///< The store is.
  bool HasTargets = false; ///< All targets were listed.
  uint64_t Era = 0;        ///< See `FleetDirectory::storeEra`.
  bool EraSettled = false;
  Duration StreamLife{0}; ///< See `StreamOrigins::longestLife`.
};

/// Counters of the archive.
struct ArchiveStats {
  uint64_t Writes = 0;
  uint64_t Reads = 0; ///< Pages of lists.
  uint64_t Failures = 0;
  size_t Streams = 0;   ///< Streams that this host keeps for its records.
  size_t Unwritten = 0; ///< Of these, streams that no record has yet.
};

/// Keeps the records up to date and reads them when asked. The calls of all
/// hosts together are some 40 writes a second while several versions serve,
/// whatever the number of hosts and streams, and a read for what no host knows.
/// Times are passed in; their clock has to advance while the machine is
/// suspended.
class StreamArchive {
public:
  /// \p Owner: name of this process, which no other one ever has.
  StreamArchive(RecordStore &Store, StreamArchiveEvents &Events,
                const std::string &Owner);

  void setRole(const ArchiveRole &Next) { this->Role = Next; }
  /// Adds streams that began in this host's failure domain and may go on until
  /// \p Until.
  void add(const std::vector<StreamNote> &Streams, Time Until) {
    this->Journal.add(Streams, Until);
  }
  /// Reads all records to find \p Stream. `onRecordsRead` or `onRecordsUnread`
  /// follows.
  void requestRead(StreamId Stream, Time Now);
  /// Records that a host serves. One of a release that keeps no records, or
  /// does not announce versions, ends what the records say without them.
  void recordHost(const FleetHost &Host) {
    this->AllHostsKeepRecords &= Host.KeepsRecords;
    this->AllHostsAnnounce &= Host.AnnouncesVersions;
  }
  VersionAnnouncer &announcer() { return this->Announcer; }
  /// Has the announcements and the record of versions read.
  void requestBases() { this->WantsBases = true; }
  /// Returns the time until the record of versions can be trusted; 0 if it can.
  Duration untilTrusted(Time Now) const;
  void tick(const ArchiveView &View, const KnownVersions &Known, Time Now);
  ArchiveStats stats() const;

private:
  /// A list that is under way.
  struct ListCall {
    bool InFlight = false;
    uint32_t Number = 0; ///< Replies to other calls are dropped.
    Time StartedAt;
    Time PageAt;
  };
  /// State of a record when it was first seen so.
  struct SeenRecord {
    uint64_t Revision = 0;
    Time At;
  };

  bool isTrusted() const;
  void tickReads();
  void readPage(const std::string &After);
  void onPage(RecordReply &&Page);
  void readRecord(const StoredRecord &Record);
  void collect(const StreamNote &Note);
  void endRead(bool Complete);
  void tickWrites(const KnownVersions &Known);
  void readVersions();
  void readAnnouncements();
  void readBases();
  void reportVersions(const ServiceVersions &Versions);
  void reportBases(const ServiceVersions &Versions);
  /// Returns the version at which streams of a service began that are in no
  /// record; invalid if that is not known.
  SoftwareId unrecordedVersion(ServiceId Service, const VersionSet &Set) const;
  /// Adds what a record announces, unless it is one of this process.
  void collectAnnouncement(const StoredRecord &Record,
                           AnnouncedVersions &Into) const;
  void writeAnnouncement(const StoredRecord &Record);
  void writeVersions(const StoredRecord &Record);
  void writeStreams(const StoredRecord &Record);
  void tickCleaning();
  void cleanPage(const std::string &After);
  void onCleanPage(RecordReply &&Page);
  void onStoreReturned();
  /// Returns the time of the next call after one that failed.
  Time retryAt();

  RecordStore &Store;
  StreamArchiveEvents &Events;
  uint64_t Seed;
  ArchiveRole Role;
  ArchiveView View;
  bool AllHostsKeepRecords = true;
  bool AllHostsAnnounce = true;
  bool WantsBases = false;
  Time NextBasesReadAt;
  /// Time from which the list of targets is known to be whole, as far as those
  /// are concerned whose entries lapsed; none before all were listed.
  std::optional<Time> SettledAt;
  StreamJournal Journal;
  VersionLedger Ledger;
  VersionAnnouncer Announcer;
  ListCall Read;
  std::unordered_set<StreamId> Wanted; ///< To be found by the next read.
  std::unordered_set<StreamId> Sought; ///< By the read that is under way.
  Time NextReadAt;
  size_t Shown = 0; ///< Streams in the records read so far.
  /// Those of them that are reported at the end of the read.
  std::unordered_map<StreamId, SoftwareId> Found;
  /// Versions that other processes announced, and what the record of versions
  /// says, in the records read so far.
  AnnouncedVersions Announced;
  ServiceVersions Recorded;
  ListCall Cleaning;
  Time NextCleaningAt;
  std::map<std::string, SeenRecord> Seen;
  std::set<std::string> Listed; ///< Names in the pages so far.
  uint32_t WriteEpoch = 0; ///< Replies to writes of earlier ones are dropped.
  uint32_t FailuresInARow = 0;
  Time NextExpiry;
  Time Now;
  ArchiveStats Counts;
};

} // namespace shallotlatch
