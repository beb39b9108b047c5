/// \file
/// Sends a deployment's mix and checks every answer.
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

/// One load run. It ends by itself.
struct LoadInit {
  std::vector<Address> Hosts;
  RequestMix Requests;
  double RatePerSecond = 40;
  Duration Length = seconds(20);
  uint64_t Seed = 1;
  uint32_t MaxSubmissions =
      6; ///< Submissions of one request without an answer.
};

/// What callers learned of one request.
struct LoadRecord {
  std::string Marker;
  DrawnRequest Drawn;
  std::string Key;
  std::vector<std::string> Verdicts; ///< One a submission; empty: no answer.
  std::string Reason;                ///< Of the last verdict.
  bool Ended = false;
  bool WrongAnswer = false;
  Duration FirstTokenTime{0};
  Duration TotalTime{0};
  Duration EndedAt{0}; ///< Since the run's start.
};

class LoadRun {
public:
  LoadRun(event_base *Base, const LoadInit &Init);
  ~LoadRun();
  /// Sends, waits for all ends, and returns.
  void run();
  const std::vector<LoadRecord> &records() const { return this->Records; }

private:
  struct Submission {
    size_t Record = 0;
    Time Start;
    std::string Prompt;
    bool Stream = false;
    std::string UnparsedText;
    std::string Text;
    std::string Verdict;
    std::string Reason;
    bool SawDone = false;
    Duration FirstTokenTime{0};
  };

  void onArrival();
  void submit(size_t Record);
  void resubmitAfter(size_t Record, Duration Wait);
  void onChunk(Submission &F, const std::string &Part);
  void onDone(const std::shared_ptr<Submission> &F, const HttpResult &R);
  void checkAnswer(Submission &F, const HttpResult &R, LoadRecord &Out) const;
  void probeReadiness(size_t Host);
  const Address &nextHost();
  void runAfter(Duration Wait, std::function<void()> Function);

  event_base *Base;
  LoadInit Init;
  HttpClient Client;
  std::mt19937_64 Random;
  std::vector<LoadRecord> Records;
  std::set<size_t> ReadyHosts;
  size_t NextHostIndex = 0;
  size_t OpenRequests = 0;
  Time Start;
  bool Sending = true;
};

} // namespace shallotlatch
