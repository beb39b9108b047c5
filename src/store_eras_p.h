/// \file
/// Eras of the platform's store. An era begins each time the store comes back
/// from an older copy: what was written since that copy is missing until its
/// writers write it again, and revisions are given out a second time.
#pragma once

#include "routing_p.h"

#include <map>
#include <optional>
#include <string>

namespace shallotlatch {

/// What the era named by a reply says about the copy that a host keeps.
enum class EraChange : uint8_t {
  None,     ///< The reply belongs to the era of the copy.
  Returned, ///< The store came back: revisions of the copy mean nothing now.
  Outdated, ///< The reply shows a former era and must not be used.
};

/// Tracks the era of the store. Times are passed in.
class StoreEras {
public:
  /// Records the era that a reply named, if any. A reply that may be stale may
  /// also name a former era. The others must have been asked for after the
  /// current era was first seen, so that a lower number is a new era as well.
  EraChange record(std::optional<uint64_t> Era, bool MayBeStale, Time Now);
  /// Returns the era that was named last; 0 if none was.
  uint64_t current() const { return this->Current; }
  /// Returns whether the writers have had the time to write again what the copy
  /// lacks, so that a read at \p At shows all that was ever acknowledged.
  bool settled(Time At) const;
  /// Records that another host saw \p Era settle.
  void recordSettled(uint64_t Era);
  /// Returns whether \p Era is one that other hosts have to be told of once it
  /// has settled.
  static bool needsMark(uint64_t Era);

private:
  uint64_t Current = 0;
  Time SettledAt; ///< Time from which reads in this era are complete.
};

/// Position of an entry among all that its target wrote.
struct TargetStamp {
  int64_t StartedAtMs = 0; ///< Start of the run that wrote it.
  uint64_t Sequence = 0;   ///< Number of the entry within the run.
  bool operator<(const TargetStamp &Other) const {
    return this->StartedAtMs != Other.StartedAtMs
               ? this->StartedAtMs < Other.StartedAtMs
               : this->Sequence < Other.Sequence;
  }
};
TargetStamp stampOf(const TargetEntry &Target);

/// Remembers which runs of targets left, so that an older copy of the store
/// does not bring them back.
class DepartedTargets {
public:
  /// \p StartedAtMs: start of the run that left.
  void record(const std::string &Instance, int64_t StartedAtMs, Time Now);
  /// Returns whether the run that started at \p StartedAtMs has left.
  bool covers(const std::string &Instance, int64_t StartedAtMs) const;
  /// Drops what left longer ago than a copy may be old.
  void prune(Time Now);
  size_t size() const { return this->Departures.size(); }

private:
  struct Departure {
    int64_t StartedAtMs = 0;
    Time At;
  };
  std::map<std::string, Departure> Departures;
  size_t PruneAt = 0; ///< Number of departures at which old ones are dropped.
};

} // namespace shallotlatch
