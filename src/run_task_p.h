/// \file
/// Dispatches: sends one request to one target and watches its answer.
#pragma once

#include "entry_p.h"
#include "http_client_p.h"
#include "pool_host_p.h"

#include <functional>
#include <map>
#include <string>

namespace shallotlatch {

/// What is sent to a target.
struct DispatchRequest {
  RequestHandle Request;
  const TargetSpec *Target = nullptr;
  std::string Path;
  std::string Body;
  std::string Key; ///< Idempotency key to pass on; may be empty.
  std::string RequestId;
  Duration Timeout{0};
  bool Idempotent = true;
};

/// What the task tells its owner.
struct DispatcherEvents {
  /// Bytes are about to leave.
  std::function<void(RequestHandle)> Sending;
  /// No byte left.
  std::function<void(RequestHandle)> Unsent;
  /// One event's text of an engine's stream.
  std::function<void(RequestHandle, const std::string &)> Token;
  std::function<void(RequestHandle, const DispatchEnd &)> Ended;
  std::function<void(TargetId, const TargetReport &)> Report;
};

/// What is known of an answer beyond its HTTP form.
struct ResponseContext {
  bool Engine = false;
  bool RefusalProvesNotRun = false;
  bool EndMarkerReceived = false; ///< The stream's end marker came.
  bool StreamMalformed = false;   ///< The stream was not of the agreed form.
};

/// Turns an answer, or the lack of one, into a verdict. The request was sent.
DispatchEnd classifyResponse(const ResponseContext &Context,
                             const HttpResult &Result);

class TargetDispatcher {
public:
  TargetDispatcher(HttpClient &Client, DispatcherEvents Events);
  void start(const DispatchRequest &Order);
  /// Nobody waits for the answer: the connection is closed, which cancels the
  /// request at an engine.
  void abort(RequestHandle Request);
  void pollLoad(const TargetSpec &Target);

private:
  struct ActiveDispatch {
    HttpCallHandle Call;
    ResponseContext Context;
    std::string PartialEvent; ///< Of the next stream event.
  };

  void onChunk(RequestHandle Request, const std::string &Part);
  void onEvent(RequestHandle Request, ActiveDispatch &R,
               const std::string &Line);
  void onDone(RequestHandle Request, const HttpResult &Result);

  HttpClient &Client;
  DispatcherEvents Events;
  std::map<uint32_t, ActiveDispatch> ActiveDispatches;
};

} // namespace shallotlatch
