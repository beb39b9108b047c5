/// \file
/// The record of the software versions at which streams may have begun that
/// can still go on. All hosts share it.
#pragma once

#include "record_store_p.h"
#include "stream_origins_p.h"

namespace shallotlatch {

constexpr const char *VersionRecordName = "versions";

/// Decides when the record is read and what is written. Its load is one write
/// for each version that comes or goes. Times are passed in.
class VersionLedger {
public:
  /// Returns whether the record has to be read before anything is written.
  bool needsRead(Time Now) const;
  void onReadStarted() { this->InFlight = true; }
  /// \p Record: as the store shows it; none if there is none.
  void onRead(const std::optional<StoredRecord> &Record);
  /// Returns the record to write if the store's does not say what this host
  /// knows. Then no other one is due until a reply was recorded.
  std::optional<StoredRecord> takeWrite(const KnownVersions &Known, Time Now);
  void onWritten(uint64_t Revision);
  /// The store refused a call; the next one is due at \p RetryAt.
  void onRefused(Time RetryAt);
  /// The store has another record than the one that was read, or may have.
  void onUncertain(Time RetryAt);
  /// The store may have lost what was written before. No reply to a call before
  /// may be reported any more.
  void onStoreReturned();
  /// Returns what the store's record says, as far as this host has read it.
  const ServiceVersions &stored() const { return this->Stored; }

private:
  /// Returns what the record has to say.
  ServiceVersions target(const KnownVersions &Known) const;

  bool IsRead = false;
  uint64_t Revision = 0;
  ServiceVersions Stored;
  ServiceVersions Writing; ///< Content of the write that is under way.
  bool InFlight = false;
  Time NextCallAt;
};

} // namespace shallotlatch
