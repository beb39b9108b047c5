/// \file
/// The versions of targets' software at which a process begins streams beside
/// the base version, as it writes them into the store.
#pragma once

#include "record_store_p.h"
#include "stream_origins_p.h"

#include <map>
#include <set>

namespace shallotlatch {

/// Begins the names of the records, which come before those of streams.
constexpr const char *AnnouncementPrefix = "announced-";

/// Versions that processes announce, by service.
using AnnouncedVersions = std::map<ServiceId, std::set<SoftwareId>>;

/// Returns whether a record of this name announces versions.
inline bool isAnnouncement(const std::string &Name) {
  return Name.rfind(AnnouncementPrefix, 0) == 0;
}

/// Time for which an announcement holds, from the sending of the last write
/// that the store acknowledged. Its record has to stay for as long, and for the
/// life of the streams that began by then.
constexpr Duration AnnouncementLife = seconds(60);

/// Decides when a process writes which versions it uses. A process that has not
/// announced a version begins no stream at it, so that an unknown stream of
/// such a process is known to have begun at the base version. Its load is one
/// write for each version that enters a service, and three a minute while there
/// are several. Times are passed in; their clock has to advance while the
/// machine is suspended.
class VersionAnnouncer {
public:
  /// \p Owner: name of this process, which no other one ever has.
  explicit VersionAnnouncer(const std::string &Owner)
      : Prefix(AnnouncementPrefix + Owner + "-") {}

  /// Announces a version until `withdraw`.
  void announce(ServiceId Service, SoftwareId Software);
  /// Lets the announcements for a service run out.
  void withdraw(ServiceId Service) { this->Wanted.erase(Service); }
  /// Returns whether the store holds the announcement, and goes on to.
  bool isAnnounced(ServiceId Service, SoftwareId Software, Time Now) const;
  /// Returns the record to write, if one is due. Then no other one is until a
  /// reply was recorded.
  std::optional<StoredRecord> takeWrite(Time Now);
  void onWritten(uint64_t NewRevision);
  /// The store refused the write; it is due again at \p RetryAt.
  void onRefused(Time RetryAt);
  /// The write may have been done, or the record is not what this process left.
  /// The next one goes to another record.
  void onUncertain(Time RetryAt);
  /// The store may have lost what was written before. No reply to a call before
  /// may be reported any more.
  void onStoreReturned();
  /// Returns whether a record of this name is one of this process.
  bool isOwn(const std::string &Name) const {
    return Name.compare(0, this->Prefix.size(), this->Prefix) == 0;
  }

private:
  std::string Prefix;
  uint32_t Number = 0;   ///< Of the record.
  uint64_t Revision = 0; ///< Of the record; 0: not written yet.
  uint64_t Renewals = 0; ///< Writes so far.
  AnnouncedVersions Wanted;
  AnnouncedVersions Written; ///< The store has these.
  std::map<ServiceId, std::set<SoftwareId>>
      Writing;    ///< Of the write in flight.
  Time WrittenAt; ///< Sending of the write that `Written` is from.
  Time SentAt;    ///< Sending of the write in flight.
  bool InFlight = false;
  Time NextWriteAt;
};

} // namespace shallotlatch
