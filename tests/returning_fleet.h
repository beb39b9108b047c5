/// \file
/// A fleet of directories in virtual time before a store that goes away and
/// comes back from older copies, with an operator and targets that write again
/// what the copy lacks.
#pragma once

#include "directory_p.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace shallotlatch {

/// Store with copies of its past. All hosts of a fleet call it.
class ReturningStore {
public:
  struct Object {
    uint64_t Revision = 0;
    DirectoryObject Content;
  };
  struct Change {
    DirectoryKind Kind;
    DirectoryObject Object;
  };
  struct State {
    std::map<std::string, Object> Objects[DirectoryKinds];
    std::deque<Change> History;
    uint64_t Revision = 0;
    Time TakenAt;
  };

  void put(DirectoryKind Kind, DirectoryObject Object);
  void erase(DirectoryKind Kind, const std::string &Name);
  /// Keeps a copy of the current state.
  void copy(Time Now);
  /// Comes back with the newest copy that is at least \p Age old.
  void restore(Duration Age, Time Now);
  /// Lists \p PageSize objects after the name \p After; all if it is 0.
  DirectoryReply list(DirectoryKind Kind, const std::string &After,
                      size_t PageSize) const;
  /// Returns whether there are changes after \p Since or \p Final is set.
  bool watch(DirectoryKind Kind, uint64_t Since, bool Final,
             DirectoryReply &Reply) const;
  bool holds(DirectoryKind Kind, const std::string &Name) const;
  uint64_t Era = 1;
  bool Away = false;

private:
  State Current;
  std::deque<State> Copies;
};

/// What a run of the fleet counted.
struct ReturningFleetCounts {
  int Regressions = 0;      ///< A host put an older version into force.
  int RevokedKeyUses = 0;   ///< A host trusted keys that had been revoked.
  int ReturnedTargets = 0;  ///< A host used a target that it knew as leaving.
  int StaleConfigs = 0;     ///< A host in touch lacked an acknowledged version.
  int MissingTargets = 0;   ///< A host in touch lacked a live target.
  int UnseenDepartures = 0; ///< A host in touch used a target that left.
  int UntrustedChecks = 0;  ///< A host in touch trusted no key.
  int TrustedChecks = 0;    ///< A host in touch trusted its keys.
  int MaxCallsPerSecond = 0;
  int MaxWritesPerSecond = 0;
};

struct ReturningFleetInit {
  size_t Domains = 3;
  size_t HostsPerDomain = 2;
  size_t Targets = 12;
  uint64_t Seed = 1;
  size_t PageSize = 0; ///< Objects in one page of a list; 0: all.
};

class ReturningHost;

class ReturningFleet {
public:
  explicit ReturningFleet(const ReturningFleetInit &Init);
  ~ReturningFleet();
  /// Runs with returns, kills, freezes and cuts drawn from the seed.
  ReturningFleetCounts run(Duration Length);

  // Used by the hosts.
  struct Call {
    Time At; ///< Time at which the store serves it or the reply arrives.
    Time Until;
    bool IsReply = false;
    bool IsWatch = false;
    size_t Host = 0;
    uint64_t Run = 0;
    DirectoryKind Kind = DirectoryKind::Config;
    uint64_t Since = 0;
    std::string After; ///< Name after which a list continues.
    DirectoryReply Reply;
    DirectoryStore::Reply Done;
  };
  void send(Call C);
  void countCall(bool IsWrite, ReadConsistency Mode);
  Time now() const { return this->Now; }
  ReturningStore &store() { return this->Store; }
  bool reaches(size_t Host) const;
  /// Returns whether the target runs and takes new requests.
  bool serves(const std::string &Instance) const;
  ReturningFleetCounts Counts;

private:
  struct Target {
    TargetEntry Entry;
    bool Listed = true; ///< Its entry should be in the store.
    Time LeavesAt;
    Time RegisteredAt; ///< Last time at which its entry was acknowledged.
  };
  struct Message {
    Time At;
    size_t From = 0, To = 0;
    uint64_t FromRun = 0, ToRun = 0;
    uint64_t Version = 0, Era = 0;
    Time Stamp, Echo;
  };
  void step();
  void operate();
  void disturb();
  void serveCalls();
  void exchange();
  void check();
  void writeConfig();
  void writeTargets(bool All);
  bool chance(double PerSecond);
  int64_t draw(int64_t From, int64_t To);

  ReturningFleetInit Init;
  std::mt19937_64 Random;
  ReturningStore Store;
  std::vector<std::unique_ptr<ReturningHost>> Hosts;
  std::vector<Target> Targets;
  std::deque<Call> Calls;
  std::deque<Message> Messages;
  std::vector<std::pair<uint64_t, Time>> Acknowledged; ///< Versions, when.
  Time Now;
  Time Start;
  uint64_t Steps = 0;
  uint64_t Version = 10;
  uint64_t TargetNumber = 0;
  Time ReturnsAt, RewriteAt, NextConfig, NextTarget, StableSince;
  bool Rewriting = false;
  bool TargetsRewriting = false;
  int CallsThisSecond = 0, WritesThisSecond = 0;
};

} // namespace shallotlatch
