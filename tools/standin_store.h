/// \file
/// Stand-in for the platform's object API, with its faults.
#pragma once

#include "http_server_p.h"

#include <event2/event.h>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace shallotlatch {

/// Rates and faults; the control path changes the faults while it runs.
struct StoreInit {
  Address ListenAddress;
  double WritesPerSecond = 300;
  double ReadsPerSecond = 2000;
  uint64_t Seed = 1;
};

class StandinStore {
public:
  StandinStore(event_base *Base, const StoreInit &Init);

private:
  struct Object {
    uint64_t Version = 0;
    std::string Body;
  };
  /// A request that is answered later.
  struct DelayedRequest {
    evhttp_request *Http = nullptr;
    std::string Name;
    uint64_t WatchedVersion = 0; ///< Watched version.
    Time DueAt;
    bool Watch = false;
  };

  void onRequest(evhttp_request *Http);
  void serve(evhttp_request *Http);
  void read(evhttp_request *Http, const std::string &Name);
  void write(evhttp_request *Http, const std::string &Name);
  void control(evhttp_request *Http);
  void sendObject(evhttp_request *Http, const std::string &Name);
  void answerWatches(const std::string &Name);
  bool takeToken(double &Tokens);
  void tick();
  bool inOutage() const;

  event_base *Base;
  StoreInit Init;
  HttpServer Server;
  std::map<std::string, Object> Objects;
  std::deque<DelayedRequest> DelayedRequests;
  std::mt19937_64 Random;
  double ReadTokens;
  double WriteTokens;
  Time LastRefill;
  Time OutageUntil;
  Time SlowdownUntil;
  Duration AddedDelay{0};
  double AnswerLossShare = 0;
  std::map<std::string, uint64_t> Counts;
  std::unique_ptr<event, void (*)(event *)> Ticker;
};

} // namespace shallotlatch
