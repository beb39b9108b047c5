/// \file
/// The platform's object API as the node sees it.
#pragma once

#include "shallotlatch/types.h"

#include <functional>
#include <string>

namespace shallotlatch {

/// One call to the object API.
struct StoreRequest {
  enum class Op : uint8_t {
    Read,
    Write, ///< Takes effect only if the object's version is `Expected`.
    Watch, ///< Answers once the version differs from `Expected`.
  };
  Op Kind = Op::Read;
  uint32_t Token = 0; ///< Returned with the reply.
  std::string Name;
  Version Expected; ///< Invalid: the object does not exist.
  std::string Body;
};

/// Answer to one call.
struct StoreReply {
  enum class Status : uint8_t {
    Ok,
    NotFound,
    Conflict,    ///< The version differed: nothing was written.
    Unchanged,   ///< A watch ended without a change.
    Unavailable, ///< Refused: nothing was written.
    Unknown,     ///< No answer: a write may have taken effect.
  };
  Status Result = Status::Unknown;
  uint32_t Token = 0;
  Version Number; ///< Current version, with Ok.
  std::string Body;
};

/// A backend of the object API. Replies come later, on the caller's loop.
class Store {
public:
  using Reply = std::function<void(const StoreReply &)>;
  virtual ~Store() = default;
  virtual void call(const StoreRequest &Request, Reply Done) = 0;
};

} // namespace shallotlatch
