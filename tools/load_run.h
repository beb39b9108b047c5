/// \file
/// Sends the request mix of a deployment and checks every answer.
#pragma once

#include "http_client_p.h"
#include "load_mix.h"
#include "shallotlatch/model.h"

#include <event2/event.h>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace shallotlatch {

/// Settings of one load run.
struct LoadInit {
  std::vector<Address> Hosts; ///< Caller listeners of the hosts.
  RequestMix Requests;
  double RatePerSecond = 40;
  Duration Length = seconds(20); ///< Time during which new requests are sent.
  uint64_t Seed = 1;
  /// Maximum number of submissions of one request that receives no verdict;
  /// attempts of which no byte was sent do not count.
  uint32_t MaxSubmissions = 6;
};

/// Result of one request as its caller saw it.
struct LoadRecord {
  std::string Marker; ///< Identifies the request in the ledgers of the targets.
  DrawnRequest Drawn;
  std::string Key; ///< Idempotency key; empty if the request has none.
  /// Verdict of each submission; an empty string means that no verdict was
  /// received.
  std::vector<std::string> Verdicts;
  std::string Reason; ///< Reason given with the last verdict.
  bool Ended = false;
  bool WrongAnswer = false; ///< A completed answer had an unexpected content.
  /// Time to the first chunk of a streamed answer; 0 if nothing was streamed.
  Duration FirstTokenTime{0};
  Duration TotalTime{0}; ///< Duration of the last submission.
  /// Time from the start of the run to the end of the request.
  Duration EndedAt{0};
};

/// Sends requests at random intervals of an exponential distribution, submits
/// unanswered requests again, and records the results.
class LoadRun {
public:
  LoadRun(event_base *Base, const LoadInit &Init);
  ~LoadRun();
  /// Sends requests for `LoadInit::Length` and returns when all have ended.
  void run();
  const std::vector<LoadRecord> &records() const { return this->Records; }

private:
  /// One submission of a request; a request can be submitted several times.
  struct Submission {
    size_t Record = 0;
    Time Start;
    std::string Prompt;
    bool Stream = false;
    std::string UnparsedText; ///< Received bytes after the last whole event.
    std::string Text;         ///< Output text received so far.
    std::string Verdict;
    std::string Reason;
    bool SawDone = false; ///< The event `[DONE]` was received.
    Duration FirstTokenTime{0};
  };

  void onArrival();
  void submit(size_t Record);
  void resubmitAfter(size_t Record, Duration Wait);
  void onChunk(Submission &S, const std::string &Part);
  void onDone(const std::shared_ptr<Submission> &S, const HttpResult &R);
  void checkAnswer(Submission &S, const HttpResult &R, LoadRecord &Out) const;
  void probeReadiness(size_t Host);
  const Address &nextHost();
  void runAfter(Duration Wait, std::function<void()> Function);

  event_base *Base;
  LoadInit Init;
  HttpClient Client;
  std::mt19937_64 Random;
  std::vector<LoadRecord> Records;
  /// Indices of the hosts whose last readiness probe succeeded.
  std::set<size_t> ReadyHosts;
  size_t NextHostIndex = 0; ///< Round-robin position, modulo the host count.
  size_t OpenRequests = 0;  ///< Number of requests that have not ended.
  Time Start;
  bool Sending = true; ///< New requests are still sent.
};

} // namespace shallotlatch
