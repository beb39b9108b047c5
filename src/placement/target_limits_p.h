/// \file
/// Keeps the whole fleet to the rates that targets name for themselves. The
/// code does no input or output.
#pragma once

#include "shallotlatch/types.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace shallotlatch {

/// What a host knows of one target's limit, as it is sent to peers.
struct TargetLimitReport {
  uint32_t Target = 0;  ///< Short identity of the target's process.
  bool Limited = false; ///< False: the target named none in its last answer.
  double PerSecond = 0; ///< Requests per second from the whole fleet.
  Duration SinceObserved{0};
};

/// Parses a limit as a target names it, in requests per second. Returns false
/// if \p Text is not a decimal number that is zero or more.
bool parseTargetLimit(const std::string &Text, double &PerSecond);

/// Limits of the targets of one service, and this host's share of each.
///
/// Only a few hosts, chosen by a hash of host and target, may send to a limited
/// target, each at an equal part of the rate. So the sum holds without an
/// exchange of counts, in fleets of any size, and a host that dies or is cut
/// off costs only its part.
class TargetLimits {
public:
  /// Records that an answer of \p Target named a limit.
  void observe(uint32_t Target, double PerSecond, Time Now);
  /// Records that an answer of \p Target named none.
  void observeNone(uint32_t Target, Time Now);
  /// Merges what a peer knows. Reports of targets that are not limited matter
  /// only where this host takes them to be.
  void merge(const std::vector<TargetLimitReport> &Reports, Time Now);
  /// Sets this host and the hosts among which limits are shared. Before, this
  /// host takes itself to be alone.
  void setHosts(HostId Self, const std::vector<HostId> &Hosts, Time Now);
  void forget(uint32_t Target) { this->Entries.erase(Target); }

  bool isLimited(uint32_t Target) const;
  /// Whether this host may send a request to \p Target now.
  bool allows(uint32_t Target, Time Now) const;
  /// Records that this host sends a request to \p Target.
  void take(uint32_t Target, Time Now);
  /// Returns what peers need to know, and drops what is out of date.
  std::vector<TargetLimitReport> report(Time Now);
  /// Changes whenever there is something new to report.
  uint64_t version() const { return this->Version; }
  /// Number of limited targets.
  size_t count() const;

private:
  struct Entry {
    bool Limited = false;
    double PerSecond = 0;
    Time ObservedAt;
    Time ChangedAt;  ///< Time at which this host learned of the present limit.
    double Rate = 0; ///< This host's part in requests per second.
    /// Requests that this host may send, at most one, as of `LevelAt`.
    double Level = 0;
    Time LevelAt;
  };

  void set(uint32_t Target, bool Limited, double PerSecond, Time ObservedAt,
           Time Now);
  double shareOf(uint32_t Target, const Entry &E) const;
  static double level(const Entry &E, Time Now);

  HostId Self;
  std::vector<HostId> Hosts;
  std::unordered_map<uint32_t, Entry> Entries;
  uint64_t Version = 0;
};

} // namespace shallotlatch
