/// \file
/// Stand-in of a client.
#pragma once

#include "wire.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace review {

/// One client attempt.
struct CallerRequest {
  std::string Method = "GET";
  std::string Path;
  std::string Id;
  std::vector<HeaderField> Fields; ///< Beside the id and the deadline.
  std::string Body;
  int DeadlineMs = 2500;
};

/// What came of one client attempt.
struct CallerAnswer {
  int Status = 0;        ///< 0 if no answer began.
  bool Complete = false; ///< The whole answer came.
  std::string Body;      ///< Of a stream, its whole events.
  std::string Stamp;
};

/// Returns the request as it is sent.
std::string serialize(const CallerRequest &R);
/// Sends a request on a connection and reads the answer. \p OnEvent gets each
/// event of a stream as it comes.
CallerAnswer
call(Link &L, const CallerRequest &R,
     const std::function<void(const std::string &)> &OnEvent = nullptr);
/// Makes a connection of its own for the request.
CallerAnswer
callOnce(const Endpoint &To, const CallerRequest &R,
         const std::function<void(const std::string &)> &OnEvent = nullptr);
/// Name of the host that all requests are for.
extern const char *const HostName;

} // namespace review
