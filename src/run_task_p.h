/// \file
/// Dispatcher of shallotlatchd: sends granted requests to targets, reads their
/// responses and polls targets for their load.
#pragma once

#include "entry_p.h"
#include "http_client_p.h"
#include "pool_host_p.h"

#include <functional>
#include <map>
#include <string>

namespace shallotlatch {

/// A request to be sent to a target.
struct DispatchRequest {
  RequestHandle Request;
  const TargetSpec *Target = nullptr;
  std::string Path;
  std::string Body;
  std::string Key; ///< Idempotency key sent to the target; may be empty.
  std::string RequestId;
  Duration Timeout{0};    ///< Longest time without any byte sent or received.
  bool Idempotent = true; ///< The request may be executed more than once.
};

/// Callbacks through which the dispatcher reports to its owner.
struct DispatcherEvents {
  /// The first bytes of the request are about to be sent.
  std::function<void(RequestHandle)> Sending;
  /// The dispatch ended and no byte of the request was sent.
  std::function<void(RequestHandle)> Unsent;
  /// An event of an engine's stream was received, with this text.
  std::function<void(RequestHandle, const std::string &)> Token;
  /// The dispatch of a request that was sent has ended.
  std::function<void(RequestHandle, const DispatchEnd &)> Ended;
  /// A poll of a target has ended.
  std::function<void(TargetId, const TargetReport &)> Report;
};

/// What classifyResponse needs besides the HTTP result: properties of the
/// target and the state of its event stream.
struct ResponseContext {
  bool Engine = false; ///< The target is an engine and sends an event stream.
  /// Whether a refusal by the target (429 or 503) proves that the request did
  /// not run.
  bool RefusalProvesNotRun = false;
  /// Whether the end marker of the stream was received.
  bool EndMarkerReceived = false;
  /// Whether an event of the stream was neither a JSON object with a `text` nor
  /// the end marker, or an event followed the end marker.
  bool StreamMalformed = false;
};

/// Returns the verdict on a request that was sent, from its response or the
/// lack of one.
DispatchEnd classifyResponse(const ResponseContext &Context,
                             const HttpResult &Result);

/// Sends requests to targets. It holds the state of each active dispatch.
class TargetDispatcher {
public:
  TargetDispatcher(HttpClient &Client, DispatcherEvents Events);
  /// Sends a request to its target.
  void start(const DispatchRequest &Dispatch);
  /// Ends a dispatch whose response nobody waits for. The connection is closed,
  /// which cancels the request at an engine.
  void abort(RequestHandle Request);
  /// Requests the load report of a target; `Report` receives it.
  void pollLoad(const TargetSpec &Target);

private:
  /// State of a request that was passed to the HTTP client and has no result
  /// yet.
  struct ActiveDispatch {
    HttpCallHandle Call;
    ResponseContext Context;
    std::string PartialEvent; ///< Beginning of the next event of the stream.
  };

  void onChunk(RequestHandle Request, const std::string &Part);
  /// Handles one event of an engine's stream, without the blank line at its
  /// end.
  void onEvent(RequestHandle Request, ActiveDispatch &R,
               const std::string &EventText);
  void onDone(RequestHandle Request, const HttpResult &Result);

  HttpClient &Client;
  DispatcherEvents Events;
  /// Active dispatches by the index of their request handle.
  std::map<uint32_t, ActiveDispatch> ActiveDispatches;
};

} // namespace shallotlatch
