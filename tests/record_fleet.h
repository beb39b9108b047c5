/// \file
/// Hosts in virtual time that keep records of streams in one store, and are
/// killed together.
#pragma once

#include "directory_p.h"
#include "fleet_exchange_p.h"
#include "stream_archive_p.h"

#include <deque>
#include <map>
#include <memory>
#include <random>

namespace shallotlatch {

/// Store of records with faults. Replies take 4 ms.
class FakeRecordStore {
public:
  struct Faults {
    bool Refuses = false; ///< Calls are refused.
    /// Share of writes that get no reply. Half of these are carried out two
    /// seconds later, if their condition still holds.
    double LosesWrites = 0;
  };
  explicit FakeRecordStore(uint64_t Seed) : Random(Seed) {}

  Faults Now;
  std::map<std::string, StoredRecord> Records;
  uint64_t Era = 1;
  uint64_t Writes = 0;
  uint64_t Reads = 0;
  uint64_t BytesWritten = 0;
  size_t LargestRecord = 0;
  /// Most calls within one second.
  uint64_t MostWrites = 0;
  uint64_t MostReads = 0;

  void advance(Time To);
  /// Returns whether the writers have had the time to write again what a copy
  /// lacked.
  bool isSettled(Time At) const {
    return At >= this->ReturnedAt + millis(2500);
  }
  void copy() { this->Copied = this->Records; }
  /// Comes back from the copy; revisions are given out again.
  void restore() {
    this->Records = this->Copied;
    ++this->Era;
    this->ReturnedAt = this->Clock;
    this->Pending.clear();
  }
  RecordReply list(const std::string &After) const;
  RecordReply write(const StoredRecord &Record);
  RecordReply remove(const std::string &Name, uint64_t Revision);
  /// Replies by \p Done in 4 ms with what \p Call returns, as the faults are.
  void call(bool IsWrite, const std::function<RecordReply()> &Call,
            const RecordStore::OnReply &Done);

private:
  struct Due {
    Time At;
    std::function<void()> Action;
  };
  std::mt19937_64 Random;
  Time Clock;
  Time ReturnedAt; ///< From the copy.
  std::deque<Due> Pending;
  std::map<std::string, StoredRecord> Copied;
  uint64_t Revision = 0;
  Time SecondBegan;
  uint64_t WritesInSecond = 0;
  uint64_t ReadsInSecond = 0;
};

/// One process with its own connection to the store.
class RecordHost : public RecordStore, public StreamArchiveEvents {
public:
  RecordHost(std::shared_ptr<FakeRecordStore> Store, const std::string &Name,
             Time Start)
      : Store(std::move(Store)), Origins(Start), Archive(*this, *this, Name) {}

  void listRecords(const std::string &After, ReadConsistency,
                   OnReply Done) override {
    this->Store->call(
        false, [S = this->Store.get(), After] { return S->list(After); },
        this->whileAlive(std::move(Done)));
  }
  void writeRecord(const StoredRecord &Record, OnReply Done) override {
    this->Store->call(
        true, [S = this->Store.get(), Record] { return S->write(Record); },
        this->whileAlive(std::move(Done)));
  }
  void removeRecord(const std::string &Name, uint64_t Revision,
                    OnReply Done) override {
    this->Store->call(
        true,
        [S = this->Store.get(), Name, Revision] {
          return S->remove(Name, Revision);
        },
        this->whileAlive(std::move(Done)));
  }
  void onStreamsRead(const std::vector<StreamNote> &Streams) override {
    this->Origins.merge(Streams, this->Now);
  }
  void onVersionsRead(const ServiceVersions &Versions,
                      bool IsTrusted) override {
    this->Origins.mergeVersions(Versions, IsTrusted, this->Now);
  }
  void onRecordsRead(Time At) override {
    ++this->WholeReads;
    this->ReadAt = At;
  }
  void onRecordsUnread() override {}
  void onBasesRead(const std::map<ServiceId, SoftwareId> &Bases) override {
    this->Origins.setBases(Bases);
  }
  void onAnnouncementsRead(const AnnouncedVersions &Versions) override {
    this->Announced = Versions;
  }
  void onUnrecordedVersions(
      const std::map<ServiceId, SoftwareId> &Versions) override {
    this->Unrecorded = Versions;
  }

  void tick(Time Next, bool Reachable = true) {
    this->Now = Next;
    this->Origins.tick(Next);
    ArchiveView View;
    View.Reachable = Reachable;
    View.HasTargets = true;
    View.Era = this->Store->Era;
    View.EraSettled = this->Store->isSettled(Next);
    View.StreamLife = this->Origins.longestLife(Next);
    this->Archive.tick(View, this->Origins.knownVersions(this->Services, Next),
                       Next);
  }

  std::shared_ptr<FakeRecordStore> Store;
  /// Versions of streams that no record holds, as of the last read.
  std::map<ServiceId, SoftwareId> Unrecorded;
  AnnouncedVersions Announced; ///< By others, as last read.
  Time Now;
  StreamOrigins Origins;
  StreamArchive Archive;
  std::set<ServiceId> Services;
  int WholeReads = 0;
  Time ReadAt; ///< Beginning of the last whole read.

private:
  /// Drops replies to a process that has ended.
  OnReply whileAlive(OnReply Done) {
    return [Alive = std::weak_ptr<int>(this->Life),
            Done = std::move(Done)](RecordReply &&Reply) {
      if (!Alive.expired()) {
        Done(std::move(Reply));
      }
    };
  }
  std::shared_ptr<int> Life = std::make_shared<int>();
};

/// What a loss of all processes costs.
struct LossCounts {
  int Returned = 0; ///< Streams taken up again.
  int GoOn = 0;
  int Wrong = 0; ///< Streams that would go on at another version.
  /// Streams by their age at the loss in steps of 250 ms, and those of them
  /// that go on.
  std::map<int, std::pair<int, int>> ByAge;
  double WritesPerSecond = 0; ///< Before the loss.
  double BytesPerHostAndSecond = 0;
  uint64_t MostReads = 0; ///< In the worst second after it.
  uint64_t MostWrites = 0;
  size_t LargestRecord = 0;
  size_t RecordsLeft = 0; ///< Two minutes after the last stream.
};

/// A fleet that loses all processes at once.
class RecordFleet {
public:
  RecordFleet(size_t Domains, size_t HostsPerDomain, double StreamsPerHost,
              uint64_t Seed, size_t Versions)
      : Domains(Domains), HostsPerDomain(HostsPerDomain),
        StreamsPerHost(StreamsPerHost), Versions(Versions), Random(Seed),
        Store(std::make_shared<FakeRecordStore>(Seed)) {}

  std::shared_ptr<FakeRecordStore> store() { return this->Store; }
  /// Runs for \p Before, kills all hosts, starts them again a second later and
  /// has the streams taken up 4.5 s after that.
  LossCounts run(Duration Before);

private:
  struct BegunStream {
    StreamId Id;
    SoftwareId Software;
    Time Began;
    Time Ends;
  };
  size_t draw(size_t Count) {
    return std::uniform_int_distribution<size_t>(0, Count - 1)(this->Random);
  }
  void startAll();
  void step(bool BeginsStreams);
  void beginStreams(size_t Host);
  void takeUp(LossCounts &Counts, Time LostAt);

  size_t Domains;
  size_t HostsPerDomain;
  double StreamsPerHost;
  size_t Versions;
  std::mt19937_64 Random;
  std::shared_ptr<FakeRecordStore> Store;
  std::vector<std::unique_ptr<RecordHost>> Hosts;
  std::vector<BegunStream> Streams;
  std::map<size_t, bool> Writes; ///< Hosts that write records.
  bool IsOver = false;           ///< No stream is left.
  Time Now = Time(seconds(1000));
  uint64_t Steps = 0;
  uint64_t Number = 0;
  uint64_t Starts = 0;
};

} // namespace shallotlatch
