/// \file
/// The caller listener: owns callers' connections and their answers.
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

/// What the task asks of its owner.
struct CallerServerEvents {
  std::function<std::shared_ptr<const Config>()> CurrentConfig;
  /// Hands a request over; invalid: the host is full.
  std::function<RequestHandle(const CallerRequest &)> Submit;
  std::function<std::string(RequestHandle)> RequestId;
  std::function<void(RequestHandle)> Cancel;
  std::function<bool()> Ready;
};

class CallerServer {
public:
  CallerServer(event_base *Base, const Settings &Host,
               CallerServerEvents Events);
  ~CallerServer();

  /// The request that \p H names, while it is open.
  const CallerRequest *find(RequestHandle H) const;
  std::string requestId(RequestHandle H) const;
  /// One more piece of a model's answer.
  void sendToken(RequestHandle H, const std::string &Text);
  /// Text of a model's answer so far.
  std::string collectedText(RequestHandle H) const;
  /// Pieces passed on so far.
  uint32_t tokenCount(RequestHandle H) const;
  /// Ends an exchange. \p Answer is the whole body with `Completed`.
  void sendResponse(RequestHandle H, const Verdict &V,
                    const std::string &Answer);
  void stopAccepting() { this->Server.stopAccepting(); }
  size_t openExchanges() const { return this->Exchanges.size(); }
  /// Renders a completed model answer.
  static std::string completionBody(const std::string &Id,
                                    const std::string &Text, uint32_t Tokens);

private:
  struct Exchange {
    CallerServer *Owner = nullptr;
    RequestHandle Handle;
    evhttp_request *Http = nullptr;
    event *DisconnectEvent = nullptr;
    CallerRequest Request;
    std::string Id;
    std::string Text;
    uint32_t Tokens = 0;
    bool StreamStarted = false;
    ~Exchange();
  };

  void onRequest(evhttp_request *Http);
  void watchForDisconnect(Exchange &E);
  void sendEvent(Exchange &E, const std::string &Text);
  void endStream(Exchange &E, const Verdict &V);
  void sendCompleteResponse(Exchange &E, const Verdict &V,
                            const std::string &Answer);

  event_base *Base;
  Settings Host;
  CallerServerEvents Events;
  HttpServer Server;
  std::map<uint32_t, std::unique_ptr<Exchange>> Exchanges;
};

} // namespace shallotlatch
