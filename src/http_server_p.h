/// \file
/// HTTP server over evhttp, and functions that read its requests and send
/// responses.
#pragma once

#include "caller_request_p.h"
#include "shallotlatch/settings.h"

#include <event2/http.h>

#include <functional>
#include <string>

namespace shallotlatch {

/// Listen address and limits of one HTTP server.
struct HttpServerInit {
  Address ListenAddress;
  uint32_t MaxHeaderBytes = 16 * 1024;
  uint32_t MaxBodyBytes = 4 * 1024 * 1024;
  Duration IdleTimeout = seconds(120);
};

/// Handles one request, whose size is within the limits of the server.
using HttpHandler = std::function<void(evhttp_request *)>;

/// Accepts connections on one address and passes their requests to a handler.
class HttpServer {
public:
  /// Throws std::runtime_error if the listen address cannot be bound.
  HttpServer(event_base *Base, const HttpServerInit &Init, HttpHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  /// Stops accepting connections. Open connections are still served.
  void stopAccepting();

private:
  /// Refuses a request that exceeds a limit and passes any other one to the
  /// handler.
  void onRequest(evhttp_request *Request);

  evhttp *Http;
  evhttp_bound_socket *Socket;
  HttpServerInit Init;
  HttpHandler Handler;
};

/// Copies path, header fields and body out of \p Request.
RawRequest readRequest(evhttp_request *Request);
/// Returns GET, PUT or DELETE, and POST for any other method.
std::string methodOf(evhttp_request *Request);
/// Returns the value of the query parameter \p Name, or an empty string if it
/// is absent.
std::string queryParameter(evhttp_request *Request, const char *Name);
/// Adds a header field to the response to \p Request.
void addHeader(evhttp_request *Request, const char *Name,
               const std::string &Value);
/// Sends a response with the content type \p Type and the content \p Body.
void sendText(evhttp_request *Request, int Status, const std::string &Type,
              const std::string &Body);
/// Sends a problem document (RFC 9457) with the verdict that the request did
/// not run. \p Field names the header or JSON field at fault; it may be empty.
void sendProblem(evhttp_request *Request, int Status, const std::string &Title,
                 const std::string &Detail, const std::string &Field);

} // namespace shallotlatch
