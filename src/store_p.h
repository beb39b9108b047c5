/// \file
/// Interface to the platform's object store.
#pragma once

#include "shallotlatch/types.h"

#include <functional>
#include <string>

namespace shallotlatch {

/// Call to the object store.
struct StoreRequest {
  enum class Op : uint8_t {
    Read,
    Write, ///< Takes effect only if the object's version is `Expected`.
    Watch, ///< Gets its reply once the version differs from `Expected`.
  };
  Op Kind = Op::Read;
  uint32_t Token = 0; ///< Identifier of the call; the reply returns it.
  std::string Name;
  Version Expected; ///< Version that the caller knows; invalid if none.
  std::string Body;
};

/// Reply to a call.
struct StoreReply {
  enum class Status : uint8_t {
    Ok,
    NotFound,
    Conflict,    ///< The version differed, so nothing was written.
    Unchanged,   ///< The watch ended without a change.
    Unavailable, ///< The store refused the call; nothing was written.
    Unknown,     ///< No reply came, so a write may have taken effect.
  };
  Status Result = Status::Unknown;
  uint32_t Token = 0;
  Version Number; ///< Current version of the object; set if `Ok`.
  /// Era of the store, from 1; it rises each time the store comes back from an
  /// older copy, after which versions are given out again. 0 if not named.
  uint64_t Era = 0;
  std::string Body;
};

/// Backend of the object store. Replies are delivered on the caller's event
/// loop.
class Store {
public:
  using Reply = std::function<void(const StoreReply &)>;
  virtual ~Store() = default;
  virtual void call(const StoreRequest &Request, Reply Done) = 0;
};

} // namespace shallotlatch
