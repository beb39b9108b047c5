/// \file
/// One HTTP exchange at a time per connection, over evhttp, that knows
/// exactly from when on bytes may have left.
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

/// One request, whole.
struct HttpRequest {
  Address To;
  std::string Method = "POST";
  std::string Path;
  HttpHeaders Headers;
  std::string Body;
  Duration ConnectTimeout = seconds(1);
  Duration Timeout = seconds(30); ///< Without any byte moving.
  bool ReuseConnection =
      false; ///< May use an idle connection and leave one behind.
};

/// How an exchange ended.
struct HttpResult {
  bool Sent = false;     ///< Bytes of the request may have left.
  bool Complete = false; ///< A complete answer, by its length or last chunk.
  int Status = 0;        ///< Zero: no answer began.
  std::string Body;      ///< Empty when chunks were passed on.
  std::map<std::string, std::string> Headers; ///< Names in lower case.
};

/// Calls of one exchange, on the loop's thread.
struct HttpEvents {
  /// Bytes are about to leave.
  std::function<void()> Sending;
  /// Part of a 200 answer's body; when absent, the body is collected.
  std::function<void(const std::string &)> Chunk;
  /// Exactly once, unless aborted.
  std::function<void(const HttpResult &)> Done;
};

using HttpCallHandle = Handle<struct HttpCallTag>;

/// Owns every connection that it opened.
class HttpClient {
public:
  explicit HttpClient(event_base *Base);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  HttpCallHandle start(HttpRequest Request, HttpEvents Events);
  /// Closes the exchange's connection; no event follows.
  void abort(HttpCallHandle H);

  struct Call;

private:
  friend struct Call;
  struct IdleConnection {
    evhttp_connection *Connection;
    Time Since;
  };

  evhttp_connection *connectionFor(const HttpRequest &Request, bool &Fresh);
  void scheduleFree(evhttp_connection *Connection);
  void completeCall(Call &C, bool Keep);
  static void runDeferredWork(evutil_socket_t, short, void *Self);

  event_base *Base;
  event *DeferredWorkEvent;
  uint32_t NextCall = 0;
  std::map<uint32_t, std::unique_ptr<Call>> Calls;
  std::map<std::string, std::vector<IdleConnection>> IdleConnections;
  std::deque<std::unique_ptr<Call>> FinishedCalls; ///< Ends to be reported.
  std::vector<evhttp_connection *> ConnectionsToFree;
};

} // namespace shallotlatch
