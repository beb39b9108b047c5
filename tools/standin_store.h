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
  Address At;
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
  struct Pending {
    evhttp_request *Http = nullptr;
    std::string Name;
    uint64_t Since = 0; ///< Watched version.
    Time Until;
    bool Watch = false;
  };

  void onRequest(evhttp_request *Http);
  void serve(evhttp_request *Http);
  void read(evhttp_request *Http, const std::string &Name);
  void write(evhttp_request *Http, const std::string &Name);
  void control(evhttp_request *Http);
  void sendObject(evhttp_request *Http, const std::string &Name);
  void wakeWatches(const std::string &Name);
  bool take(double &Tokens);
  void tick();
  bool out() const;

  event_base *Base;
  StoreInit Init;
  HttpServer Server;
  std::map<std::string, Object> Objects;
  std::deque<Pending> Waiting;
  std::mt19937_64 Random;
  double ReadTokens;
  double WriteTokens;
  Time Refilled;
  Time OutUntil;
  Time SlowUntil;
  Duration Slowness{0};
  double LoseAnswers = 0;
  std::map<std::string, uint64_t> Counts;
  std::unique_ptr<event, void (*)(event *)> Ticker;
};

} // namespace shallotlatch
