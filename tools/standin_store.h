/// \file
/// Stand-in for the object store of the platform, with injected faults:
/// outages, slow answers, lost answers and rate limits.
#pragma once

#include "http_server_p.h"

#include <event2/event.h>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace shallotlatch {

/// Address, rate limits and random seed of the store. Faults are set at run
/// time by requests to `/control`.
struct StoreInit {
  Address ListenAddress;
  double WritesPerSecond = 300;
  double ReadsPerSecond = 2000;
  uint64_t Seed = 1; ///< Seed of the draw that decides which answers are lost.
};

/// Versioned objects in memory with conditional writes and watches.
class StandinStore {
public:
  StandinStore(event_base *Base, const StoreInit &Init);

private:
  struct Object {
    uint64_t Version = 0; ///< 0 if the object does not exist.
    std::string Body;
  };
  /// A request that is answered later: a watch, a request delayed by a
  /// slowdown, or a write whose answer is lost.
  struct DelayedRequest {
    evhttp_request *Http = nullptr;
    std::string Name;
    uint64_t WatchedVersion = 0;
    Time DueAt; ///< Time at which the request is answered or expires.
    /// The request waits for a change of the object. A write whose answer is
    /// lost sets this too: it is answered with 304, with 503 in an outage, or
    /// with the object at its next change.
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
  std::map<std::string, Object> Copied; ///< Copy that `/control` asked for.
  uint64_t Era = 1; ///< Rises each time the objects come back from the copy.
  std::deque<DelayedRequest> DelayedRequests;
  std::mt19937_64 Random;
  double ReadTokens;  ///< Level of the token bucket of reads.
  double WriteTokens; ///< Level of the token bucket of writes.
  Time LastRefill;    ///< Time of the last refill of both token buckets.
  Time OutageUntil;   ///< Until then every object request is refused.
  /// Until then object requests are delayed by `AddedDelay`.
  Time SlowdownUntil;
  Duration AddedDelay{0};
  /// Probability that the answer to a write is lost.
  double AnswerLossShare = 0;
  std::map<std::string, uint64_t> Counts; ///< Counters returned by `/control`.
  std::unique_ptr<event, void (*)(event *)> Ticker;
};

} // namespace shallotlatch
