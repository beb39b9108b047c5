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
struct Ledger {
  std::map<std::string, uint32_t> Markers;
  std::map<std::string, uint32_t> RequestIds;
  void add(const std::string &Text, const std::string &RequestId);
};

/// Marker `#req:ID#` inside a prompt or body; empty: none.
std::string markerOf(const std::string &Text);
/// Token \p Index of the answer to \p Prompt.
std::string tokenText(const std::string &Prompt, uint32_t Index);
/// Whole answer of a plain service to \p Body.
std::string serviceAnswer(const std::string &Body);

/// One engine on one port.
class StandinEngine {
public:
  StandinEngine(event_base *Base, Address At, const EngineInit &Init);
  ~StandinEngine();

private:
  struct Stream {
    evhttp_request *Http = nullptr;
    StandinEngine *Owner = nullptr;
    uint64_t Number = 0;
    std::string Prompt;
    bool Started = false;
    event *CloseWatch = nullptr;
  };

  void open();
  void onRequest(evhttp_request *Http);
  void complete(evhttp_request *Http);
  void control(evhttp_request *Http);
  void step();
  void schedule();
  void emit(const EngineEvent &E);
  void drop(uint64_t Number);
  void crash();

  event_base *Base;
  Address At;
  EngineModel Model;
  std::unique_ptr<HttpServer> Server;
  std::map<uint64_t, Stream> Streams;
  Ledger Ran;
  uint64_t NextNumber = 1;
  double Slowdown = 1;
  bool Leaving = false;
  bool Scheduled = false;
  bool CrashWanted = false;
  bool Down = false;
  event *Stepper;
};

/// One plain service on one port.
class StandinService {
public:
  StandinService(event_base *Base, Address At, Duration Work);
  ~StandinService();

private:
  struct Job {
    evhttp_request *Http = nullptr;
    std::string Body;
    Time Until;
  };
  void onRequest(evhttp_request *Http);
  void tick();

  event_base *Base;
  Duration Work;
  HttpServer Server;
  std::vector<Job> Jobs;
  Ledger Ran;
  event *Ticker;
};

} // namespace shallotlatch
