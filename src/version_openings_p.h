/// \file
/// When a host begins streams at a software version that has entered a service.
#pragma once

#include "stream_origins_p.h"

#include <map>
#include <set>

namespace shallotlatch {

/// What a host knows of one service as it decides on its versions.
struct ServiceVersionsView {
  /// See `StreamOrigins::base`.
  std::optional<SoftwareId> Base;
  /// See `StreamOrigins::isBaseIndefinite`.
  bool IsIndefinite = false;
  /// All versions, each with the time at which it was first seen.
  std::map<SoftwareId, Time> SeenAt;
  /// Beginning of the oldest own stream that peers were not told of.
  Time OldestUntold = Time::max();
  /// A target of the base version takes new requests.
  bool BaseServes = false;
  /// Requests wait for a target, of whatever version.
  bool IsCrowded = false;
  /// Versions that other processes have announced. A wait would not help those
  /// who ask for unknown streams any more.
  std::set<SoftwareId> Announced;
};

/// Decides which versions a host announces, and so begins streams at. Until the
/// first host has announced a version, whoever is asked for a stream that no
/// host knows can tell that it began at the base version. So a version that has
/// entered waits until the streams of before were told, and until callers of
/// hosts that were lost meanwhile have returned, unless streams would have
/// nowhere else to begin or another process has announced it. Its load is a few
/// steps for each version and tick. Times are passed in.
class VersionOpenings {
public:
  explicit VersionOpenings(Time Start) : LastLoss(Start) {}

  /// Records that hosts of the fleet fell silent.
  void recordHostsLost(Time Now) { this->LastLoss = Now; }
  /// Returns the versions of \p Service to announce now, beside those that were
  /// returned before.
  std::vector<SoftwareId> takeDue(ServiceId Service,
                                  const ServiceVersionsView &View, Time Now);
  /// Returns whether the announcements for \p Service are not needed any more:
  /// it has had one version for so long that all hosts know.
  bool isOver(ServiceId Service, const ServiceVersionsView &View, Time Now);

private:
  struct Opening {
    std::optional<Time> ToldAt; ///< When the streams of before had been told.
    bool Taken = false;
  };
  bool isDue(const Opening &O, Time SeenAt, bool IsCrowded, Time Now) const;

  Time LastLoss; ///< Of hosts, or the start of this process.
  std::map<ServiceId, std::map<SoftwareId, Opening>> Openings;
  std::map<ServiceId, Time> SingleSince;
};

} // namespace shallotlatch
