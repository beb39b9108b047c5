/// \file
/// Finds out which prints, that is which contents or prompt parts of requests,
/// crash the targets that answer them. The code does no input or output: it
/// takes crashes and completed answers, and tells which requests to refuse.
#pragma once

#include "shallotlatch/types.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace shallotlatch {

/// One target process that died while it was to begin an answer.
struct CrashRecord {
  uint32_t Target = 0; ///< Short identity of the target's process.
  Time SentAt;         ///< Time at which the request was sent to it.
  Time BrokenAt;       ///< Time at which the connection broke.
  /// Requests without the print lived through the same moment, so the print
  /// tells the dead targets from the others.
  bool Contrasted = false;
};

/// A crash as it is sent to peers, whose clocks differ from this host's.
struct ReportedCrash {
  uint32_t Target = 0;
  Duration SinceSent{0};
  Duration SinceBroken{0};
  bool Contrasted = false;
};

/// What a host knows of one print, from its own requests and from its peers.
struct CrashReport {
  Fingerprint Print;
  std::vector<ReportedCrash> Crashes;
  bool Survived = false;     ///< A target completed an answer on it.
  Duration SinceSurvived{0}; ///< Valid if `Survived`.
};

/// Settings of the crash guard.
struct CrashGuardInit {
  /// Number of separate crashes from which a print is refused.
  uint32_t Limit = 3;
  /// Time since the last crash for which a print with that number of crashes
  /// is refused. Each further crash makes it four times as long.
  Duration Quarantine = seconds(60);
  /// Longest time from a broken connection to the discovery that its target is
  /// dead: until the store removes the target's entry.
  Duration DeathWindow = millis(5600);
  /// Seed of this host. Hosts end a quarantine at different times, so that not
  /// all of them try the print again at once.
  uint64_t Seed = 1;
};

/// Prints of one request: its content and the prompt parts that it shares.
using CrashPrints = std::vector<Fingerprint>;

/// The crashes under each print, as a set that grows by union: reports may be
/// repeated, overtaken and passed on by any host. Briefed for 1 to 1,000 bad
/// requests a second, 20 bad prints at once and 392 hosts.
///
/// A target also dies under requests that did not cause it. A print is cleared
/// by every answer that a target completed on it. Crashes of requests that ran
/// at the same time are one moment, which counts one crash; its further targets
/// count half each if the print tells them from the targets that lived. Crashes
/// under a refused print count for no other print. Of prints that always occur
/// together, only requests that hold all of them are refused.
class CrashEvidence {
public:
  explicit CrashEvidence(const CrashGuardInit &Init) : Init(Init) {}

  /// Records a crash under \p Print. Returns whether it was not known.
  bool addCrash(Fingerprint Print, const CrashRecord &Crash, Time Now);
  /// Records that a target completed an answer, or the better part of one, on
  /// each of \p Prints at the time \p At.
  void addSurvival(const CrashPrints &Prints, Time At, Time Now);
  /// Merges a peer's report. Adds the targets of crashes that were not known
  /// to \p NewTargets.
  void merge(const CrashReport &Report, Time Now,
             std::set<uint32_t> &NewTargets);
  /// Whether a request with these prints is refused. After the end of a
  /// quarantine one request at a time is let through to try the print.
  bool isQuarantined(const CrashPrints &Prints, Time Now);
  /// Returns what peers need to know now, and drops what is out of date.
  std::vector<CrashReport> report(Time Now);
  /// Changes whenever there is something new to report.
  uint64_t version() const { return this->Version; }
  /// Number of crashes that count against \p Print.
  uint32_t crashCount(Fingerprint Print, Time Now) const;
  size_t suspectCount() const { return this->Entries.size(); }
  /// Number of prints, or groups of prints, that are refused now.
  size_t quarantineCount(Time Now);

private:
  /// `Crashes` holds two memories: of each moment its first crash and as many
  /// others as there is room for, and the newest crash.
  struct Entry {
    std::vector<CrashRecord> Crashes; ///< In the order of `BrokenAt`.
    Time SurvivedAt;                  ///< The epoch if it never did.
    Time Changed;                     ///< Time of the last news about it.
    Time SeenHere; ///< Time of the last crash of a request of this host.
    uint64_t LastReport = 0; ///< Number of the last report with it.
    bool Convicted = false;
    bool Explained = false; ///< Other prints account for its crashes.
    bool survived() const { return this->SurvivedAt != Time(); }
    Time lastCrash() const {
      return this->Crashes.empty() ? Time() : this->Crashes.back().BrokenAt;
    }
    bool cleared() const { return this->SurvivedAt >= this->lastCrash(); }
  };
  /// A target that died, with all prints that it is known to have run.
  struct Death {
    Time BrokenAt;
    CrashPrints Prints;
  };
  /// What counts against a print.
  struct Tally {
    uint32_t Moments = 0;
    uint32_t Further = 0;              ///< Contrasted targets beside the first.
    uint32_t Targets = 0;              ///< All dead targets, counted or not.
    uint32_t Own = 0;                  ///< Not under another refused print.
    uint64_t Signature = 0;            ///< Equal for equal sets of targets.
    Time SettlesAt = Time::max();      ///< When more of it will count.
    std::vector<size_t> MomentOfCrash; ///< Start index; SIZE_MAX: not counted.
    uint32_t halves() const { return 2 * this->Moments + this->Further; }
  };
  /// Prints that crashed the same targets. Requests with all of them are
  /// refused.
  struct Conviction {
    CrashPrints Prints;
    Time Until;
  };
  /// The request that was let through after the end of a quarantine.
  struct Trial {
    uint64_t Request = 0;
    Time At;
  };

  Entry &entry(Fingerprint Print, Time Now);
  bool insertCrash(Fingerprint Print, const CrashRecord &Crash, Time Now);
  void evictEntry();
  static void thin(std::vector<CrashRecord> &Crashes);
  bool recordDeath(Fingerprint Print, const CrashRecord &Crash);
  void setSurvived(Entry &E, Time At, Time Now);
  void changed(Entry &E, Time Now);
  bool explained(Fingerprint Print, uint32_t Target) const;
  Tally tally(Fingerprint Print, const Entry &E, Time Now) const;
  void markContrast(Fingerprint Print, Entry &E, Time Now);
  bool contrasted(Fingerprint Print, Time First, Time Last, Time Now) const;
  uint32_t limitHalves(const Entry &E) const;
  Time quarantineEnd(Fingerprint Print, const Entry &E, Time Now) const;
  void refresh(Time Now);
  void convict(Time Now);
  void expire(Time Now);
  bool isTrial(const Conviction &C, const CrashPrints &Prints, Time Now);
  std::vector<Fingerprint> chooseReported(Time Now);
  CrashReport makeReport(Fingerprint Print, const Entry &E, Time Now) const;

  CrashGuardInit Init;
  std::map<Fingerprint, Entry> Entries;
  std::map<uint32_t, Death> Deaths;
  std::vector<Conviction> Convictions;
  std::set<Fingerprint> Convicted; ///< All prints of `Convictions`.
  /// Prints that no target survived, with as many crashes as the limit.
  std::set<Fingerprint> Suspected;
  std::map<Fingerprint, Trial> Trials;
  bool Stale = false;           ///< `Convictions` does not reflect the entries.
  Time SettlesAt = Time::max(); ///< When it will not for the passing of time.
  Time ConvictedAt;
  /// Last survivals of prints without an entry, of the present period and of
  /// the one before it.
  std::unordered_map<Fingerprint, Time> Survivals;
  std::unordered_map<Fingerprint, Time> OlderSurvivals;
  Time SurvivalsSince;
  std::deque<Time> RecentSurvivals; ///< Of any request, in order.
  Fingerprint NextRepeated; ///< Entry from which on reports are repeated.
  uint64_t Reports = 0;
  uint64_t Version = 0;
};

} // namespace shallotlatch
