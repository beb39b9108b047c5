/// \file
/// Process runs of targets that may have ended although their entries are
/// still there. A target may start again under its name and address with
/// another software version, and until the store shows the new entry this host
/// takes the new process for the former one. The code does no input or output.
#pragma once

#include "shallotlatch/types.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace shallotlatch {

/// Doubts about process runs, by their short identities. A run whose connection
/// was refused or broken is in doubt until one of these shows which process
/// answers: the entry names another run, the store still has the entry after
/// the time within which it removes that of a dead process, or a connection
/// that is older than the doubt outlives it, since a process takes its
/// connections along.
///
/// Load: a cut of this host or of a peer from all targets, which brings each of
/// them in doubt at once; and single targets that break answers all the time.
class RunDoubts {
public:
  /// \p EntryLife: time after the end of a process within which the store
  /// removes its entry.
  explicit RunDoubts(Duration EntryLife) : EntryLife(EntryLife) {}

  /// Sets the number of runs to which this host has an established connection.
  void setConnected(size_t Count) { this->Connected = Count; }
  /// Records that this host's connection to a run was refused or broke. Returns
  /// whether the run was not in doubt.
  bool suspect(uint32_t Run, Time Now);
  /// Records that a peer could not connect to the run. Returns whether the run
  /// was not in doubt.
  bool hear(uint32_t Run, Time Now);
  /// Forgets a run whose entry has been replaced or removed.
  void forget(uint32_t Run);
  /// Records that this host has had a connection to the run since \p Connected.
  /// Returns whether that ends a doubt.
  bool confirm(uint32_t Run, Time Connected, Time Now);
  /// Ends the doubts that the store answers. \p ViewAge: time since the store
  /// last confirmed this host's copy of the entries.
  void tick(Time Now, Duration ViewAge, bool StoreReachable);
  /// Whether another process may answer in place of the run.
  bool inDoubt(uint32_t Run) const;
  /// Whether there is evidence against the run, of whatever cause.
  bool isOpen(uint32_t Run) const;
  /// Number of runs with such evidence.
  size_t size() const { return this->Open; }
  /// Whether doubts about \p Count runs outnumber the connected runs, so that
  /// the cause lies in the links of the host that found them so.
  bool isGeneral(size_t Count) const;

private:
  struct Doubt {
    Time Since;
    /// Time from which the life of the entry is counted: the store has been
    /// reachable since then.
    Time CountedFrom;
    Time ConfirmedAt; ///< The epoch while the doubt is open.
    bool open() const { return this->ConfirmedAt == Time(); }
  };
  bool begin(uint32_t Run, Time Now);

  Duration EntryLife;
  size_t Connected = 0;
  size_t Open = 0;
  std::unordered_map<uint32_t, Doubt> Doubts;
};

} // namespace shallotlatch
