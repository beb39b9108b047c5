/// \file
/// Object store in memory, for tests and for embedding without a platform.
#pragma once

#include "store_p.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace shallotlatch {

/// Replies within the call, except that the watch of an unchanged object gets
/// its reply when the object changes.
class StoreMemory : public Store {
public:
  void call(const StoreRequest &Request, Reply Done) override;
  /// Returns the current content. For an object that does not exist, the body
  /// is empty and the version invalid.
  StoreReply peek(const std::string &Name) const;
  uint64_t writes() const { return this->Writes; }
  uint64_t reads() const { return this->Reads; }
  /// Keeps a copy of all objects.
  void copy() { this->Copied = this->Objects; }
  /// Comes back from the copy in a new era; watches that wait end.
  void restore();
  uint64_t era() const { return this->Era; }
  /// Replies to every waiting watch with \p Result.
  void endWatches(StoreReply::Status Result);

private:
  struct Object {
    Version Number;
    std::string Body;
  };
  struct Watcher {
    StoreRequest Request;
    Reply Done;
  };

  void answer(const StoreRequest &Request, const Reply &Done) const;
  void write(const StoreRequest &Request, const Reply &Done);

  std::map<std::string, Object> Objects;
  std::map<std::string, Object> Copied;
  uint64_t Era = 1;
  std::vector<Watcher> Watchers;
  uint64_t Writes = 0;
  uint64_t Reads = 0;
};

} // namespace shallotlatch
