/// \file
/// Fleet-wide counts of crashes by request content, and notes on leaving
/// targets: small state that spreads between peers.
#pragma once

#include "membership_p.h"
#include "node_env_p.h"

#include <map>
#include <set>
#include <vector>

namespace shallotlatch {

/// One quarantined or suspected content.
struct CrashStats {
  Fingerprint Print;
  uint32_t Halves = 0;
  bool Quarantined = false;
};

/// Grow-only counters, one slot per host, merged by maximum within an epoch.
/// Slots of one writer each, so that repeated and reordered messages change
/// nothing (Shapiro et al., "Conflict-free Replicated Data Types", 2011).
class CrashCounts {
public:
  CrashCounts(NodeEnv &Env, Membership &Members);

  /// A target died while it ran \p Print. \p AfterFirstToken: it had already
  /// survived its prefill, so it is the less likely cause.
  void recordCrash(Fingerprint Print, bool AfterFirstToken);
  /// \p Print completed: what was counted against it was not its doing.
  void recordCompletion(Fingerprint Print);
  /// An operator's order.
  void clear(Fingerprint Print);
  bool quarantined(Fingerprint Print) const;
  void onCount(const CrashCount &C);
  void tick();

  void setTargetLeaving(TargetId Target, bool Leaving);
  void onNote(const TargetStatusUpdate &N);
  bool leaving(TargetId Target) const;
  /// Changes whenever a note changes.
  uint64_t notesEpoch() const { return this->NotesEpoch; }

  uint64_t digest() const;
  void sendAll(HostId To);
  std::vector<CrashStats> stats() const;

private:
  struct Entry {
    std::map<HostId, CrashCount> Slots;
    uint32_t Epoch = 0;
    Time Changed;
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
