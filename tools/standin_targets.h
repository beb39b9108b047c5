/// \file
/// Stand-ins for model engines and plain services, with their faults and a
/// ledger of everything that ran.
#pragma once

#include "engine_model.h"
#include "http_server_p.h"

#include <event2/event.h>

#include <map>
#include <memory>
#include <string>

namespace shallotlatch {

/// Counts, by the caller's marker and by request id, what really ran.
struct ExecutionLedger {
  std::map<std::string, uint32_t> Markers;
  std::map<std::string, uint32_t> RequestIds;
  void add(const std::string &Text, const std::string &RequestId);
};

/// Marker `#req:ID#` inside a prompt or body; empty: none.
std::string findMarker(const std::string &Text);
/// Token \p Index of the answer to \p Prompt.
std::string tokenText(const std::string &Prompt, uint32_t Index);
/// Whole answer of a plain service to \p Body.
std::string serviceAnswer(const std::string &Body);

/// One engine on one port.
class StandinEngine {
public:
  StandinEngine(event_base *Base, Address ListenAddress,
                const EngineInit &Init);
  ~StandinEngine();

private:
  struct Stream {
    evhttp_request *Http = nullptr;
    StandinEngine *Owner = nullptr;
    uint64_t Number = 0;
    std::string Prompt;
    bool Started = false;
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
  double Slowdown = 1;
  bool Leaving = false;
  bool Scheduled = false;
  bool CrashRequested = false;
  bool Restarting = false;
  event *Stepper;
};

/// One plain service on one port.
class StandinService {
public:
  StandinService(event_base *Base, Address ListenAddress, Duration WorkTime);
  ~StandinService();

private:
  struct Job {
    evhttp_request *Http = nullptr;
    std::string Body;
    Time DueAt;
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
