// Servers report that they drain while machines that were killed start again
// and read the list of servers, which has several pages.
#include "../caller.h"
#include "../world.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <mutex>

using namespace review;
using nlohmann::json;

static constexpr const char *Service = "huvo11a";
static constexpr const char *Path = "/lohu930/2f";
static constexpr uint32_t Servers = 520;
// Entries in a page of a list, as the site files state it.
static constexpr size_t PageSize = 50;
static constexpr uint32_t Gateways = 6;
// Machines that are killed at the same moment, and the time until the platform
// starts them again.
static constexpr uint32_t Killed = 3;
static constexpr Millis RestartDelay(500);
// Share of the servers that drain: one in this number, spread over this time.
static constexpr uint32_t DrainingOneIn = 7;
static constexpr Millis DrainSpread(600);
// Time for which a server goes on serving after the store has accepted that it
// drains.
static constexpr Millis ServingAfterDrain(9000);
// Events of a stream and the pause before each; a stream takes 1.2 s.
static constexpr uint32_t Events = 12;
static constexpr Millis EventPause(100);
static constexpr uint32_t CallersPerGateway = 100;
static constexpr Millis CallerPause(20);
// Bounds of the rule.
static constexpr Millis DrainTimeout(2500);
static constexpr Millis ConnectivityTime(4000);

static json makeConfig() {
  return {{"version", 7},
          {"routes", json::array({{{"name", "r-nr26tta"},
                                   {"host", HostName},
                                   {"path-prefix", "/lohu930/"},
                                   {"route-kind", "streaming"},
                                   {"timeout-ms", 15000},
                                   {"target-latency-ms", 1000},
                                   {"priority", 0},
                                   {"service", Service},
                                   {"max-attempts", 1},
                                   {"anonymous-access", false},
                                   {"session-affinity", true},
                                   {"stream-resumption", false},
                                   {"gap-target-ms", 500}}})},
          {"services", json::array({engineService(Service, 8)})},
          {"limits", callerLimits()}};
}

/// Counts requests that reach a server too long after it began to drain.
struct LateArrivals {
  std::mutex Mutex;
  std::set<std::string> TakenInTouch; ///< Ids of the requests that count.
  std::set<std::string> ServersReached;
  std::atomic<uint32_t> Count{0};
  std::atomic<uint32_t> Served{0};
  std::atomic<uint32_t> Cut{0}; ///< Streams that a server cut as it exited.
};

static bool runRequest(World &W, LateArrivals &L, Arrival &A) {
  TimePoint Left = A.At.leftAt();
  TimePoint Now = Clock::now();
  if (Left != TimePoint() && Now - Left > DrainTimeout) {
    std::lock_guard<std::mutex> Lock(L.Mutex);
    bool Counts = L.TakenInTouch.count(A.Id) != 0;
    W.log().add(
        "server " + A.At.init().Id + " gets " + A.Id + " " +
        std::to_string(std::chrono::duration_cast<Millis>(Now - Left).count()) +
        " ms after the store accepted that it drains" +
        (Counts ? "" : ", from a machine that is not in touch"));
    if (Counts) {
      L.Count += 1;
      L.ServersReached.insert(A.At.init().Id);
    }
  }
  std::string Head = "HTTP/1.1 200 OK\r\n";
  for (const HeaderField &F : answerFields(A)) {
    Head += F.Name + ": " + F.Value + "\r\n";
  }
  Head += "Content-Type: text/event-stream\r\nTransfer-Encoding: "
          "chunked\r\n\r\n";
  bool Usable = A.Caller.write(Head);
  for (uint32_t I = 1; I <= Events && Usable; ++I) {
    std::this_thread::sleep_for(EventPause);
    std::string Event = "id: " + std::to_string(I) + "\ndata: x\n\n";
    char Size[16];
    snprintf(Size, sizeof(Size), "%zx\r\n", Event.size());
    Usable = !A.At.ended() && A.Caller.write(Size + Event + "\r\n");
  }
  if (Usable && A.Caller.write("0\r\n\r\n")) {
    L.Served += 1;
    return true;
  }
  if (Left != TimePoint()) {
    L.Cut += 1;
    W.log().add("server " + A.At.init().Id + " exits while it runs " + A.Id);
  }
  return false;
}

static void runCaller(World &W, LateArrivals &L, uint32_t Number,
                      const std::atomic<int64_t> &InTouchFrom,
                      const std::atomic<bool> &Stop) {
  Gateway &G = W.gateway(Number % Killed);
  std::unique_ptr<Link> Connection;
  for (uint32_t I = 0; !Stop && I < 5000; ++I) {
    CallerRequest R;
    R.Method = "POST";
    R.Path = Path;
    R.Id = "a" + std::to_string(10000000 + Number * 10000 + I);
    R.Fields = {{"Shallotlatch-Model", "m"},
                {"Shallotlatch-Token-Count", "60,12"},
                {"Shallotlatch-Prompt-Prefix", "5c1e07a2:30,f" + R.Id + ":30"}};
    R.DeadlineMs = 5000;
    if (W.log().now() >= InTouchFrom) {
      std::lock_guard<std::mutex> Lock(L.Mutex);
      L.TakenInTouch.insert(R.Id);
    }
    if (!Connection || Connection->hasInput()) {
      int Fd = connectTo(G.caller());
      Connection = Fd < 0 ? nullptr : std::make_unique<Link>(Fd);
    }
    if (!Connection || !call(*Connection, R).Complete) {
      Connection.reset();
      std::this_thread::sleep_for(Millis(100));
    }
    std::this_thread::sleep_for(CallerPause);
  }
}

int main(int, char **Argv) {
  WorldInit Init;
  Init.Gateways = Gateways;
  Init.PageSize = PageSize;
  World W(Argv[1], Init);
  if (!W.usable()) {
    return W.end(Verdict::CouldNotRun, "no free addresses");
  }
  LateArrivals L;
  for (uint32_t I = 0; I < Servers; ++I) {
    ServerInit S;
    S.Id = "i-" + std::to_string(1000 + (I * 389) % Servers);
    S.Service = Service;
    S.IsEngine = true;
    S.RecordsArrivals = false;
    S.Zone = std::string("zone-") + static_cast<char>('a' + I % 3);
    S.At = W.nextServerAddress();
    if (!W.addServer(S, [&W, &L](Arrival &A) {
            return runRequest(W, L, A);
          }).start()) {
      return W.end(Verdict::CouldNotRun, "a server cannot listen");
    }
  }
  W.configure(makeConfig());
  if (!W.startGateways()) {
    return W.end(Verdict::CouldNotRun, "the machines are not ready");
  }
  std::atomic<bool> Stop{false};
  std::atomic<int64_t> InTouchFrom{W.log().now() + ConnectivityTime.count()};
  std::list<std::thread> Callers;
  for (uint32_t I = 0; I < Killed * CallersPerGateway; ++I) {
    Callers.emplace_back([&W, &L, I, &InTouchFrom, &Stop] {
      runCaller(W, L, I, InTouchFrom, Stop);
    });
  }
  std::this_thread::sleep_for(ConnectivityTime + Millis(1000));

  if (World::hasTrouble()) {
    InTouchFrom = INT64_MAX;
    for (uint32_t I = 0; I < Killed; ++I) {
      W.gateway(I).kill();
    }
    std::this_thread::sleep_for(RestartDelay);
    for (uint32_t I = 0; I < Killed; ++I) {
      if (!W.gateway(I).start()) {
        return W.end(Verdict::CouldNotRun, "a machine cannot start");
      }
    }
    // With half a second to spare.
    InTouchFrom = W.log().now() + ConnectivityTime.count() + 500;
  }
  std::vector<Server *> Draining;
  for (uint32_t I = 0; I < Servers; I += DrainingOneIn) {
    Draining.push_back(W.servers()[I].get());
  }
  TimePoint Begin = Clock::now();
  for (size_t I = 0; I < Draining.size(); ++I) {
    std::this_thread::sleep_until(Begin +
                                  DrainSpread * static_cast<int64_t>(I) /
                                      static_cast<int64_t>(Draining.size()));
    Draining[I]->reportDraining();
    W.log().add("the store accepts that " + Draining[I]->init().Id + " drains");
  }
  for (size_t I = 0; I < Draining.size(); ++I) {
    std::this_thread::sleep_until(Draining[I]->leftAt() + ServingAfterDrain);
    Draining[I]->end();
    Draining[I]->removeEntry();
  }
  Stop = true;
  for (std::thread &T : Callers) {
    T.join();
  }
  return W.end(
      L.Count > 0 ? Verdict::Broken : Verdict::Held,
      std::to_string(L.Count.load()) + " requests reached " +
          std::to_string(L.ServersReached.size()) + " of " +
          std::to_string(Draining.size()) + " draining servers too late; " +
          std::to_string(L.Cut.load()) + " were cut as these exited, and " +
          std::to_string(L.Served.load()) + " were served");
}
