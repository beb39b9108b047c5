/// \file
/// The streams of a failure domain as one host writes them into the store.
#pragma once

#include "record_store_p.h"
#include "stream_origins_p.h"

#include <deque>

namespace shallotlatch {

/// Decides which streams are written and when. What a record says stays true
/// whatever becomes of the host, so records are only added to, and two
/// processes never share one. Its load is that of a failure domain of 22 hosts
/// that begin 36 streams a second each. Times are passed in.
class StreamJournal {
public:
  /// \p Prefix: begins the names of all records; differs between processes.
  explicit StreamJournal(std::string Prefix) : Prefix(std::move(Prefix)) {}

  /// Adds streams that may go on until \p Until.
  void add(const std::vector<StreamNote> &Streams, Time Until);
  /// Returns the next record to write, if one is due. Then no other one is
  /// until `onWritten`, `onRefused` or `onUncertain`. \p Interval: shortest
  /// time between two writes.
  std::optional<StoredRecord> takeWrite(Duration Interval, Time Now);
  void onWritten(uint64_t Revision);
  /// The store refused the write; it is due again at \p RetryAt.
  void onRefused(Time RetryAt);
  /// The write may have been done, or the record is not what this process left.
  /// What it held is written to another record.
  void onUncertain(Time RetryAt);
  /// The store may have lost what was written before. No reply to a call before
  /// may be reported any more.
  void onStoreReturned();
  /// Drops the streams that cannot go on any more.
  void expire(Time Now);
  size_t unwritten() const { return this->Unwritten.size(); }
  size_t size() const {
    return this->Unwritten.size() + this->Open.size() + this->Closed.size();
  }

private:
  struct Entry {
    StreamNote Note;
    Time Until;
  };
  void startRecord();

  std::string Prefix;
  uint32_t Number = 0;         ///< Of the open record.
  uint64_t Revision = 0;       ///< Of the open record; 0: not written yet.
  std::deque<Entry> Open;      ///< Streams of the open record.
  std::deque<Entry> Closed;    ///< Streams of earlier records.
  std::deque<Entry> Unwritten; ///< The oldest first.
  bool IsWritten = true;       ///< The store has all of `Open`.
  bool InFlight = false;
  Time NextWriteAt;
};

} // namespace shallotlatch
