/// \file
/// Reads a caller's HTTP request into a submission. Pure.
#pragma once

#include "entry_p.h"

#include <map>
#include <stdexcept>
#include <string>

namespace shallotlatch {

/// A caller's request, checked.
struct CallerRequest {
  Submission Sub;
  std::string KindName;
  std::string CustomerName;
  std::string KeyText; ///< As the caller sent it.
  std::string TargetPath;
  std::string TargetBody;
  bool Service = false;
  bool Stream = false;
  bool Idempotent = true;
};

/// A request that is refused before it becomes a submission. Nothing ran.
class CallerError : public std::runtime_error {
public:
  CallerError(int Status, std::string Field, const std::string &What)
      : std::runtime_error(What), Status(Status), Field(std::move(Field)) {}
  int Status;
  std::string Field; ///< Header or JSON field at fault; may be empty.
};

/// HTTP request as received. Header names are in lower case.
struct RawRequest {
  std::string Path;
  std::map<std::string, std::string> Headers;
  std::string Body;
};

/// Throws CallerError.
CallerRequest parseCallerRequest(const Config &C, const RawRequest &Raw);

} // namespace shallotlatch
