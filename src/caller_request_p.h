/// \file
/// Parses a caller's HTTP request into a submission. The functions have no side
/// effects.
#pragma once

#include "entry_p.h"

#include <map>
#include <stdexcept>
#include <string>

namespace shallotlatch {

/// A caller's request after parsing and validation.
struct CallerRequest {
  Submission Sub; ///< The part of the request that scheduling uses.
  std::string KindName;
  std::string CustomerName;
  std::string KeyText; ///< Idempotency key as the caller sent it; may be empty.
  std::string TargetPath; ///< Path of the request to the target.
  std::string TargetBody; ///< Body of the request to the target.
  bool Service = false;   ///< The request is for a service, not for an engine.
  bool Stream = false;    ///< The caller asked for the response as events.
  bool Idempotent = true; ///< The kind allows a repeated execution.
};

/// Refusal of a request before it becomes a submission. The request did not
/// run.
class CallerError : public std::runtime_error {
public:
  CallerError(int Status, std::string Field, const std::string &What)
      : std::runtime_error(What), Status(Status), Field(std::move(Field)) {}
  int Status;        ///< HTTP status of the response.
  std::string Field; ///< Header or JSON field at fault; may be empty.
};

/// HTTP request as received, with header names in lower case.
struct RawRequest {
  std::string Path;
  std::map<std::string, std::string> Headers;
  std::string Body;
};

/// Authenticates the customer and parses the request. Throws CallerError if the
/// request is refused.
CallerRequest parseCallerRequest(const Config &C, const RawRequest &Raw);

} // namespace shallotlatch
