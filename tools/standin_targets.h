/// \file
/// Stand-ins for inference engines and plain services, with injected faults and
/// a ledger of every execution.
#pragma once

#include "engine_model.h"
#include "http_server_p.h"

#include <event2/event.h>

#include <map>
#include <memory>
#include <string>

namespace shallotlatch {

/// Number of executions by the marker of the caller and by request id.
struct ExecutionLedger {
  std::map<std::string, uint32_t> Markers;
  std::map<std::string, uint32_t> RequestIds;
  /// Counts one execution; \p Text is the prompt or body with the marker.
  void add(const std::string &Text, const std::string &RequestId);
};

/// Returns the ID in the marker `#req:ID#` inside a prompt or body; empty if
/// there is no marker.
std::string findMarker(const std::string &Text);
/// Returns the text of token \p Index of the answer to \p Prompt.
std::string tokenText(const std::string &Prompt, uint32_t Index);
/// Returns the whole answer of a plain service to \p Body.
std::string serviceAnswer(const std::string &Body);

/// An inference engine that listens on one port and streams its answers.
class StandinEngine {
public:
  StandinEngine(event_base *Base, Address ListenAddress,
                const EngineInit &Init);
  ~StandinEngine();

private:
  /// One request that has not ended.
  struct Stream {
    evhttp_request *Http = nullptr;
    StandinEngine *Owner = nullptr;
    uint64_t Number = 0;
    std::string Prompt;
    bool Started = false; ///< The header of the answer was sent.
    /// Fires when the caller closes the connection.
    event *CloseEvent = nullptr;
  };

  void startServer();
  void onRequest(evhttp_request *Http);
  void complete(evhttp_request *Http);
  void control(evhttp_request *Http);
  void step();
  void schedule();
  void sendEvent(const EngineEvent &E);
  void cancelStream(uint64_t Number);
  void crash();

  event_base *Base;
  Address ListenAddress;
  EngineModel Model;
  std::unique_ptr<HttpServer> Server;
  std::map<uint64_t, Stream> Streams;
  ExecutionLedger Executions;
  uint64_t NextNumber = 1;
  double Slowdown = 1;         ///< Factor on the duration of each step.
  bool Leaving = false;        ///< Reported in `/load`; has no other effect.
  bool Scheduled = false;      ///< `Stepper` is armed.
  bool CrashRequested = false; ///< The next timer event crashes the engine.
  bool Restarting = false;     ///< The engine has crashed and does not listen.
  event *Stepper;              ///< Timer of the next step, crash or restart.
};

/// A plain service that listens on one port and answers each call after a fixed
/// time.
class StandinService {
public:
  StandinService(event_base *Base, Address ListenAddress, Duration WorkTime);
  ~StandinService();

private:
  struct Job {
    evhttp_request *Http = nullptr;
    std::string Body;
    Time DueAt; ///< Time at which the call is answered.
  };
  void onRequest(evhttp_request *Http);
  void tick();

  event_base *Base;
  Duration WorkTime;
  HttpServer Server;
  std::vector<Job> Jobs;
  ExecutionLedger Executions;
  event *Ticker;
};

} // namespace shallotlatch
