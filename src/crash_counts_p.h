/// \file
/// Fleet-wide counts of crashes by request content, and notes on leaving
/// targets. Both are small and are replicated by gossip between peers.
#pragma once

#include "membership_p.h"
#include "node_env_p.h"

#include <map>
#include <set>
#include <vector>

namespace shallotlatch {

/// Crash count of one suspected or quarantined request content.
struct CrashStats {
  Fingerprint Print;
  uint32_t Halves = 0; ///< Count in half crashes.
  bool Quarantined = false;
};

/// Grow-only counters with one slot for each host, merged by maximum within an
/// epoch. Each slot has one writer, so that repeated and reordered messages
/// change nothing (Shapiro et al., "Conflict-free Replicated Data Types",
/// 2011).
class CrashCounts {
public:
  CrashCounts(NodeEnv &Env, Membership &Members);

  /// Counts the death of a target that ran the content \p Print. It counts half
  /// if \p AfterFirstToken: the target had survived the prefill, so the content
  /// is the less likely cause.
  void recordCrash(Fingerprint Print, bool AfterFirstToken);
  /// Resets the count of \p Print, which completed and therefore did not cause
  /// the crashes counted.
  void recordCompletion(Fingerprint Print);
  /// Resets the count of \p Print on an operator's order.
  void clear(Fingerprint Print);
  bool quarantined(Fingerprint Print) const;
  void onCount(const CrashCount &C);
  void tick();

  void setTargetLeaving(TargetId Target, bool Leaving);
  void onNote(const TargetStatusUpdate &N);
  bool leaving(TargetId Target) const;
  /// Returns a number that changes whenever a note changes.
  uint64_t notesEpoch() const { return this->NotesEpoch; }

  /// Returns a hash of all counts and notes, independent of their order.
  uint64_t digest() const;
  /// Sends all counts and notes to \p To.
  void sendAll(HostId To);
  std::vector<CrashStats> stats() const;

private:
  struct Entry {
    std::map<HostId, CrashCount> Slots;
    uint32_t Epoch = 0;
    Time Changed; ///< Time of the last change.
  };

  uint32_t halves(const Entry &E) const;
  void updateOwnSlot(Fingerprint Print, uint32_t Halves, bool NewEpoch);
  void gossip(const CrashCount &C);

  NodeEnv &Env;
  Membership &Members;
  std::map<Fingerprint, Entry> Entries;
  std::map<TargetId, TargetStatusUpdate> Notes;
  uint64_t NotesEpoch = 0;
};

} // namespace shallotlatch
