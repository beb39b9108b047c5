#include "stream_journal_p.h"

#include "record_codec_p.h"

#include <algorithm>

namespace shallotlatch {

// Largest number of streams that are kept. Beyond it the new ones are dropped,
// and are known to hosts only.
static constexpr size_t MaxStreams = 100000;
// Number of streams from which a record is not added to any more: a rewrite
// sends all of it again.
static constexpr size_t MaxOpenStreams = 700;
// Largest number of streams that one write adds. Together with the open ones
// they are some 15 KB; the store takes values of 1 MB.
static constexpr size_t MaxStreamsPerWrite = 2000;

void StreamJournal::add(const std::vector<StreamNote> &Streams, Time Until) {
  for (const StreamNote &Note : Streams) {
    if (this->size() < MaxStreams) {
      this->Unwritten.push_back({Note, Until});
    }
  }
}

std::optional<StoredRecord> StreamJournal::takeWrite(Duration Interval,
                                                     Time Now) {
  bool HasWork = !this->Unwritten.empty() || !this->IsWritten;
  if (this->InFlight || !HasWork || Now < this->NextWriteAt) {
    return std::nullopt;
  }
  this->expire(Now);
  size_t Count = std::min(this->Unwritten.size(), MaxStreamsPerWrite);
  for (size_t I = 0; I < Count; ++I) {
    this->Open.push_back(this->Unwritten.front());
    this->Unwritten.pop_front();
  }
  if (this->Open.empty()) {
    this->IsWritten = true;
    return std::nullopt;
  }
  this->IsWritten = false;
  this->InFlight = true;
  this->NextWriteAt = Now + Interval;
  std::vector<StreamNote> Notes;
  for (const Entry &E : this->Open) {
    Notes.push_back(E.Note);
  }
  return StoredRecord{this->Prefix + std::to_string(this->Number),
                      this->Revision, encodeStreamRecord(Notes)};
}

void StreamJournal::onWritten(uint64_t NewRevision) {
  this->InFlight = false;
  this->IsWritten = true;
  this->Revision = NewRevision;
  if (this->Open.size() >= MaxOpenStreams) {
    this->Closed.insert(this->Closed.end(), this->Open.begin(),
                        this->Open.end());
    this->Open.clear();
    this->startRecord();
  }
}

void StreamJournal::onRefused(Time RetryAt) {
  this->InFlight = false;
  this->NextWriteAt = RetryAt;
}

// An older write that is carried out late must not replace a newer one, so the
// name is not used again.
void StreamJournal::onUncertain(Time RetryAt) {
  this->onRefused(RetryAt);
  this->startRecord();
}

void StreamJournal::onStoreReturned() {
  this->Unwritten.insert(this->Unwritten.begin(), this->Open.begin(),
                         this->Open.end());
  this->Unwritten.insert(this->Unwritten.begin(), this->Closed.begin(),
                         this->Closed.end());
  this->Open.clear();
  this->Closed.clear();
  this->IsWritten = true;
  this->InFlight = false;
  this->startRecord();
}

void StreamJournal::startRecord() {
  ++this->Number;
  this->Revision = 0;
}

void StreamJournal::expire(Time Now) {
  for (std::deque<Entry> *Entries :
       {&this->Open, &this->Closed, &this->Unwritten}) {
    Entries->erase(
        std::remove_if(Entries->begin(), Entries->end(),
                       [Now](const Entry &E) { return Now > E.Until; }),
        Entries->end());
  }
}

} // namespace shallotlatch
