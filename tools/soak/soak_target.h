/// \file
/// A target of the soak. It answers requests and reports each arrival to the
/// judge.
#pragma once

#include "http_server_p.h"
#include "relay_p.h"
#include "soak_judge.h"

#include <functional>
#include <memory>
#include <vector>

namespace shallotlatch::soak {

/// Parameters of a target.
struct TargetInit {
  std::string Instance;
  ServiceId Service;
  Address At;
  uint32_t Slots = 4;             ///< Requests that the target runs at once.
  Duration WorkTime = millis(30); ///< Time until a request is answered.
  Duration EventInterval = millis(40); ///< Time between the events of a stream.
  std::string Software; ///< Version of the software; empty if it names none.
  /// Whether connections stay open after an answer.
  bool KeepsConnections = true;
};

/// Serves the requests of one service over HTTP.
class SoakTarget {
public:
  SoakTarget(event_base *Base, const TargetInit &Init,
             const RelayHeaders &Headers, SoakJudge &Judge);
  ~SoakTarget();
  SoakTarget(const SoakTarget &) = delete;
  SoakTarget &operator=(const SoakTarget &) = delete;
  const TargetInit &init() const { return this->Init; }
  /// Share of requests that run but whose connection is closed without an
  /// answer. For streams, the share applies to each event.
  double LoseAnswers = 0;
  bool SaysLeaving = false; ///< The target says in each answer that it leaves.
  /// Until then, requests get 503 with the rest of the time in `Retry-After`.
  Time PausedUntil;

private:
  struct Run;
  void onRequest(evhttp_request *Http);
  void advance(Run &R);
  void removeRun(Run &R);
  /// Adds what the target says of itself to the head of the answer.
  void addNotices(evhttp_request *Http, const std::string &Id);
  static void onClosed(evhttp_connection *Connection, void *Self);

  event_base *Base;
  TargetInit Init;
  RelayHeaders Headers;
  SoakJudge &Judge;
  std::vector<std::unique_ptr<Run>> Runs;
  uint32_t StepCount = 0; ///< Answers and events that were due so far.
  std::unique_ptr<HttpServer> Server;
};

} // namespace shallotlatch::soak
