/// \file
/// HTTP client over evhttp with one exchange at a time per connection. It
/// detects the moment from which bytes of a request may have been sent.
#pragma once

#include "shallotlatch/settings.h"

#include <event2/event.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

struct evhttp_connection;

namespace shallotlatch {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// One outgoing request with its complete body.
struct HttpRequest {
  Address To; ///< Address of the server.
  std::string Method = "POST";
  std::string Path;
  HttpHeaders Headers;
  std::string Body;
  Duration ConnectTimeout = seconds(1);
  /// Longest time without any byte being sent or received.
  Duration Timeout = seconds(30);
  /// Whether the exchange may use an idle connection and, after its end, leave
  /// its connection open for another exchange.
  bool ReuseConnection = false;
};

/// Result of an exchange.
struct HttpResult {
  bool Sent = false; ///< Bytes of the request may have been sent.
  /// Whether a complete response was received, as its length or its last chunk
  /// shows.
  bool Complete = false;
  int Status = 0; ///< Status code; 0 if no response was received.
  /// Body of the response; empty if it was passed to HttpEvents::Chunk.
  std::string Body;
  /// Header fields of the response; the names are in lower case.
  std::map<std::string, std::string> Headers;
};

/// Callbacks of one exchange. They run on the thread of the event loop.
struct HttpEvents {
  /// The first bytes of the request are about to be sent.
  std::function<void()> Sending;
  /// Receives a part of the body of a response with status 200. If this
  /// callback is empty or the status is another one, the body is collected in
  /// HttpResult::Body.
  std::function<void(const std::string &)> Chunk;
  /// Called exactly once at the end of the exchange, unless it was aborted.
  std::function<void(const HttpResult &)> Done;
};

/// Identifies one exchange of an HttpClient.
using HttpCallHandle = Handle<struct HttpCallTag>;

/// Runs exchanges on an event loop. The client owns every connection that it
/// opened.
class HttpClient {
public:
  explicit HttpClient(event_base *Base);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts an exchange. `Done` is called from the event loop, never from
  /// within this function.
  HttpCallHandle start(HttpRequest Request, HttpEvents Events);
  /// Cancels an exchange and closes its connection. None of its callbacks is
  /// called afterwards. A handle whose result was reported is ignored.
  void abort(HttpCallHandle H);

  struct Call;

private:
  friend struct Call;
  struct IdleConnection {
    evhttp_connection *Connection;
    Time Since; ///< Time at which the connection became idle.
  };

  /// Returns an idle connection or a new one; \p IsNew tells which.
  evhttp_connection *connectionFor(const HttpRequest &Request, bool &IsNew);
  void scheduleFree(evhttp_connection *Connection);
  /// Schedules the report of the call's result. The connection becomes idle if
  /// \p KeepConnection is set, reuse is allowed and the address has fewer idle
  /// connections than the limit; otherwise it is freed.
  void completeCall(Call &C, bool KeepConnection);
  /// Reports finished calls and frees connections.
  static void runDeferredWork(evutil_socket_t, short, void *Self);

  event_base *Base;
  event *DeferredWorkEvent;
  uint32_t NextCall = 0;
  std::map<uint32_t, std::unique_ptr<Call>> Calls;
  /// Idle connections by the text of the server's address.
  std::map<std::string, std::vector<IdleConnection>> IdleConnections;
  /// Calls whose result has not been reported yet.
  std::deque<std::unique_ptr<Call>> FinishedCalls;
  std::vector<evhttp_connection *> ConnectionsToFree;
};

} // namespace shallotlatch
