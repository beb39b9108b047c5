/// \file
/// Small helpers over evhttp's server side.
#pragma once

#include "caller_request_p.h"
#include "shallotlatch/settings.h"

#include <event2/http.h>

#include <functional>
#include <string>

namespace shallotlatch {

/// Limits of one listener.
struct HttpServerInit {
  Address ListenAddress;
  uint32_t MaxHeaderBytes = 16 * 1024;
  uint32_t MaxBodyBytes = 4 * 1024 * 1024;
  Duration IdleTimeout = seconds(120);
};

using HttpHandler = std::function<void(evhttp_request *)>;

/// One evhttp listener; throws std::runtime_error when it cannot bind.
class HttpServer {
public:
  HttpServer(event_base *Base, const HttpServerInit &Init, HttpHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  /// Stops accepting connections; open ones go on.
  void stopAccepting();

private:
  void onRequest(evhttp_request *Request);

  evhttp *Http;
  evhttp_bound_socket *Socket;
  HttpServerInit Init;
  HttpHandler Handler;
};

/// Copies path, headers and body out of \p Request.
RawRequest readRequest(evhttp_request *Request);
std::string methodOf(evhttp_request *Request);
/// Value of query parameter \p Name; empty: absent.
std::string queryParameter(evhttp_request *Request, const char *Name);
void addHeader(evhttp_request *Request, const char *Name,
               const std::string &Value);
void sendText(evhttp_request *Request, int Status, const std::string &Type,
              const std::string &Body);
/// Answers with a problem document (RFC 9457).
void sendProblem(evhttp_request *Request, int Status, const std::string &Title,
                 const std::string &Detail, const std::string &Field);

} // namespace shallotlatch
