/// \file
/// Interface to the records that hosts keep in the platform's store so that
/// they outlive all processes.
#pragma once

#include "shallotlatch/types.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace shallotlatch {

enum class ReadConsistency : uint8_t;

/// One object of the store, with its content as JSON text.
struct StoredRecord {
  std::string Name;
  uint64_t Revision = 0; ///< 0: the object does not exist yet.
  std::string Content;
};

/// Reply of the store to one call.
struct RecordReply {
  enum class Status : uint8_t {
    Ok,
    Conflict, ///< The object has another revision, exists already or is gone.
    Refused,  ///< The store refused the call; nothing was done.
    Failed,   ///< No reply came; a write may have taken effect, or still may.
  };
  Status Result = Status::Failed;
  /// The objects of a list, or the object as a write left it.
  std::vector<StoredRecord> Records;
  bool HasMore = false; ///< The list continues after the last object.
  /// Returns the revision of the object that a write left; 0 if it names none.
  uint64_t revision() const {
    return this->Records.empty() ? 0 : this->Records.front().Revision;
  }
};

/// Backend of the records. Each function is one call of the store, which the
/// backend does not retry.
class RecordStore {
public:
  using OnReply = std::function<void(RecordReply &&)>;
  virtual ~RecordStore() = default;
  /// Lists records in the order of their names, from the first name after
  /// \p After.
  virtual void listRecords(const std::string &After, ReadConsistency Mode,
                           OnReply Done) = 0;
  /// Creates the record if its revision is 0, and replaces it if the store has
  /// that revision otherwise.
  virtual void writeRecord(const StoredRecord &Record, OnReply Done) = 0;
  /// Removes the record if the store has that revision.
  virtual void removeRecord(const std::string &Name, uint64_t Revision,
                            OnReply Done) = 0;
};

} // namespace shallotlatch
