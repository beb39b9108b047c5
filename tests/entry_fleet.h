/// \file
/// A fleet in virtual time in which a second software version enters while
/// hosts are killed. What a killed host knew is left in the store's records
/// only.
#pragma once

#include "record_fleet.h"
#include "version_openings_p.h"

namespace shallotlatch {

/// What happens, in times from the kill.
struct EntryPlan {
  size_t Domains = 3;
  size_t HostsPerDomain = 2;
  double StreamsPerHost = 9; ///< A second.
  size_t Killed = 3;         ///< Hosts, from the first domain on.
  Duration EntryAfter = millis(200);
  Duration ReturnAfter = seconds(1); ///< Callers return from then on.
  /// Hosts that are killed once streams have begun at the new version.
  size_t KilledLater = 0;
  Duration KilledLaterAfter = millis(300); ///< Their first stream there.
  bool StartsAgain = false; ///< Killed hosts start again a second later.
  /// Instead of all above: versions come and go, hosts are killed and start
  /// again, and the store fails in all its ways for so long.
  Duration RandomFor{0};
  uint64_t Seed = 1;
};

/// What becomes of the streams of killed hosts.
struct EntryCounts {
  int Returned = 0;
  int GoOn = 0;
  int Wrong = 0; ///< Streams that would go on at another version.
  /// Streams by their age at the kill in steps of 250 ms, and those of them
  /// that go on.
  std::map<int, std::pair<int, int>> ByAge;
  int BegunAtNew = 0;     ///< Streams that began at the version that entered.
  Duration FirstAtNew{0}; ///< Time from the entry to the first of them.
  uint64_t WritesAtEntry = 0; ///< Writes in the five seconds after it.
  uint64_t MostWrites = 0;    ///< In the worst second.
  uint64_t MostReads = 0;
};

class EntryFleet {
public:
  explicit EntryFleet(const EntryPlan &Plan);
  /// Runs the plan after a calm time at one version.
  EntryCounts run();

private:
  /// A version of the targets and the time in which it serves.
  struct ServingVersion {
    SoftwareId Software;
    Time From;
    Time Until = Time::max();
  };
  struct Host {
    std::unique_ptr<RecordHost> Process; ///< Empty while it is killed.
    std::unique_ptr<VersionOpenings> Openings;
    Duration Lag{0}; ///< After which it sees a change of the targets.
    uint64_t Era = 0;
    int Starts = 0;
  };
  struct Stream {
    StreamId Id;
    SoftwareId Software;
    size_t Host = 0;
    Time Began;
    Time Ends;
  };
  /// A stream that a caller takes up at a host that lives.
  struct Return {
    Stream Taken;
    Time At;
    int Age = 0; ///< At the kill, in steps of 250 ms.
    int Tries = 0;
    size_t Host = 0;
    bool Reads = false; ///< It waits for the records.
    Time AskedAt;
  };
  size_t draw(size_t Count) {
    return std::uniform_int_distribution<size_t>(0, Count - 1)(this->Random);
  }
  void start(size_t Index);
  void setRoles();
  void kill(size_t Index, EntryCounts &Counts);
  void step(EntryCounts &Counts);
  void beginStream(Host &H, size_t Index, EntryCounts &Counts);
  void tell(size_t Index);
  void announce(Host &H);
  bool mayBegin(Host &H, SoftwareId Software);
  /// Returns the versions that the host sees serving.
  std::vector<SoftwareId> seenBy(const Host &H) const;
  bool serves(SoftwareId Software) const;
  EntryCounts runRandomly();
  void changeVersions();
  void failStore();
  void continueReturns(EntryCounts &Counts);
  /// Returns whether the attempt has ended.
  bool tryReturn(Return &R, EntryCounts &Counts);
  size_t livingHost();

  EntryPlan Plan;
  std::mt19937_64 Random;
  std::shared_ptr<FakeRecordStore> Store;
  std::vector<Host> Hosts;
  std::vector<Stream> Streams;
  std::vector<Return> Returns;
  Time Now{seconds(1000)};
  std::vector<ServingVersion> Versions;
  Time EntersAt = Time::max();
  Time FirstAtNew = Time::max();
  Time LossNoticedAt = Time::max();
  uint64_t Steps = 0;
  uint64_t Number = 0;
};

} // namespace shallotlatch
