/// \file
/// A target of the soak: runs what arrives and tells the judge.
#pragma once

#include "http_server_p.h"
#include "relay_p.h"
#include "soak_judge.h"

#include <functional>
#include <memory>
#include <vector>

namespace shallotlatch::soak {

struct TargetInit {
  std::string Instance;
  ServiceId Service;
  Address At;
  uint32_t Slots = 4;
  Duration WorkTime = millis(30);      ///< Of a plain answer.
  Duration EventInterval = millis(40); ///< Between a stream's events.
};

class SoakTarget {
public:
  SoakTarget(event_base *Base, const TargetInit &Init,
             const RelayHeaders &Headers, SoakJudge &Judge);
  ~SoakTarget();
  SoakTarget(const SoakTarget &) = delete;
  SoakTarget &operator=(const SoakTarget &) = delete;
  const TargetInit &init() const { return this->Init; }
  /// Share of requests that run and whose connection then breaks.
  double LoseAnswers = 0;

private:
  struct Run;
  void onRequest(evhttp_request *Http);
  void advance(Run &R);
  void removeRun(Run &R);
  static void onClosed(evhttp_connection *Connection, void *Self);

  event_base *Base;
  TargetInit Init;
  RelayHeaders Headers;
  SoakJudge &Judge;
  std::vector<std::unique_ptr<Run>> Runs;
  uint32_t StepCount = 0;
  std::unique_ptr<HttpServer> Server;
};

} // namespace shallotlatch::soak
