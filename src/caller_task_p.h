/// \file
/// HTTP server for the callers of shallotlatchd. It owns the callers'
/// connections and sends the responses.
#pragma once

#include "caller_request_p.h"
#include "http_server_p.h"

#include <event2/event.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace shallotlatch {

/// Callbacks through which the server uses its owner.
struct CallerServerEvents {
  /// Returns the configuration in force; null if there is none yet.
  std::function<std::shared_ptr<const Config>()> CurrentConfig;
  /// Submits a request. The handle is invalid if the host holds too many
  /// requests.
  std::function<RequestHandle(const CallerRequest &)> Submit;
  /// Returns the id of a submitted request.
  std::function<std::string(RequestHandle)> RequestId;
  /// Cancels a request whose caller has disconnected.
  std::function<void(RequestHandle)> Cancel;
  /// Returns whether the host is ready to serve callers.
  std::function<bool()> Ready;
};

/// Receives callers' requests, submits them and sends the responses.
class CallerServer {
public:
  CallerServer(event_base *Base, const Settings &Host,
               CallerServerEvents Events);
  ~CallerServer();

  /// Returns the request of \p H, or nullptr if its exchange has ended.
  const CallerRequest *find(RequestHandle H) const;
  /// Returns the id of the request, or an empty string if its exchange has
  /// ended.
  std::string requestId(RequestHandle H) const;
  /// Sends the next token of a model's response to the caller, or collects it
  /// if the caller did not ask for a stream.
  void sendToken(RequestHandle H, const std::string &Text);
  /// Returns the text collected so far of a response that is not streamed.
  std::string collectedText(RequestHandle H) const;
  /// Returns the number of tokens received so far.
  uint32_t tokenCount(RequestHandle H) const;
  /// Sends the rest of the response and ends the exchange. \p ResponseBody is
  /// the complete body of a `Completed` response that is not streamed.
  void sendResponse(RequestHandle H, const Verdict &V,
                    const std::string &ResponseBody);
  /// Stops accepting connections. Open connections are still served.
  void stopAccepting() { this->Server.stopAccepting(); }
  /// Returns the number of requests whose response is not complete.
  size_t openExchanges() const { return this->Exchanges.size(); }
  /// Returns the JSON body of a completed response of a model.
  static std::string completionBody(const std::string &Id,
                                    const std::string &Text, uint32_t Tokens);

private:
  /// One request of a caller and its response.
  struct Exchange {
    CallerServer *Owner = nullptr;
    RequestHandle Handle;
    evhttp_request *Http = nullptr;
    event *DisconnectEvent = nullptr; ///< Fires when the caller disconnects.
    CallerRequest Request;
    std::string Id;      ///< Id of the request.
    std::string Text;    ///< Text collected for a response without a stream.
    uint32_t Tokens = 0; ///< Number of tokens received from the target.
    bool StreamStarted = false; ///< The head of an event stream was sent.
    ~Exchange();
  };

  void onRequest(evhttp_request *Http);
  void watchForDisconnect(Exchange &E);
  /// Sends \p Text as a chunk of the event stream, after the head of the
  /// response if that was not sent yet.
  void sendEvent(Exchange &E, const std::string &Text);
  void endStream(Exchange &E, const Verdict &V);
  void sendCompleteResponse(Exchange &E, const Verdict &V,
                            const std::string &ResponseBody);

  event_base *Base;
  Settings Host;
  CallerServerEvents Events;
  HttpServer Server;
  /// Open exchanges by the index of their request handle.
  std::map<uint32_t, std::unique_ptr<Exchange>> Exchanges;
};

} // namespace shallotlatch
