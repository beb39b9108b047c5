// A burst of large requests, each within the limit of the configuration, at a
// machine with the memory of the deployment.
#include "caller.h"
#include "world.h"

#include <algorithm>
#include <atomic>
#include <mutex>

using namespace review;
using nlohmann::json;

static constexpr const char *Service = "huvo11a";
static constexpr const char *Path = "/lohu930/2f";
static constexpr uint32_t Engines = 12;
// The configuration allows 4,194,304 bytes.
static constexpr size_t BodyBytes = 4000000;
// Time in which an engine reads the prompt of such a request, at 55 tokens in a
// millisecond, and the events that follow.
static constexpr Millis PrefillTime(1100);
static constexpr uint32_t Events = 48;
static constexpr Millis EventPause(60);
static constexpr int CallerDeadlineMs = 15000;
// Usual pause between two requests to the machine, and the factor by which a
// burst raises the traffic.
static constexpr Millis UsualPause(95);
static constexpr double BurstFactor = 1.8;
static constexpr Millis UsualTime(7000);
static constexpr Millis BurstTime(5000);
static constexpr uint32_t MemoryMb = 260;
static constexpr Millis MemoryCheckInterval(20);
static constexpr uint32_t Connections = 180;
// Requests that may end so at any time.
static constexpr uint32_t MaxLost = 3;

static json makeConfig() {
  return {{"version", 7},
          {"routes", json::array({{{"name", "r-nr26tta"},
                                   {"host", HostName},
                                   {"path-prefix", "/lohu930/"},
                                   {"route-kind", "streaming"},
                                   {"timeout-ms", 15000},
                                   {"target-latency-ms", 1500},
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

/// Ids of the requests that servers run.
struct PassedOn {
  std::mutex Mutex;
  std::set<std::string> Ids;
};

static bool runStream(PassedOn &P, Arrival &A) {
  bool Large = A.Request.Body.size() == BodyBytes;
  {
    std::lock_guard<std::mutex> Lock(P.Mutex);
    P.Ids.insert(A.Id);
  }
  std::this_thread::sleep_for(Large ? PrefillTime : Millis(20));
  std::string Head = "HTTP/1.1 200 OK\r\n";
  for (const HeaderField &F : answerFields(A)) {
    Head += F.Name + ": " + F.Value + "\r\n";
  }
  Head += "Content-Type: text/event-stream\r\nTransfer-Encoding: "
          "chunked\r\n\r\n";
  bool Usable = A.Caller.write(Head);
  for (uint32_t I = 1; I <= (Large ? Events : 2) && Usable; ++I) {
    std::string Event = "id: " + std::to_string(I) + "\ndata: x\n\n";
    char Size[16];
    snprintf(Size, sizeof(Size), "%zx\r\n", Event.size());
    Usable = !A.At.ended() && A.Caller.write(Size + Event + "\r\n");
    std::this_thread::sleep_for(Large ? EventPause : Millis(5));
  }
  return Usable && A.Caller.write("0\r\n\r\n");
}

static CallerRequest makeRequest(uint32_t Number, bool Large) {
  CallerRequest R;
  R.Method = "POST";
  R.Path = Path;
  R.Id = (Large ? "c" : "d") + std::to_string(100000 + Number);
  R.DeadlineMs = CallerDeadlineMs;
  R.Body = std::string(Large ? BodyBytes : 800, 'x');
  R.Fields = {{"Shallotlatch-Model", "m"},
              {"Shallotlatch-Token-Count", Large ? "60000,288" : "200,12"},
              {"Shallotlatch-Prompt-Prefix",
               "5c1e07a2:60,f" + std::to_string(Number) + ":140"}};
  return R;
}

int main(int, char **Argv) {
  WorldInit Init;
  Init.Gateways = 3;
  World W(Argv[1], Init);
  if (!W.usable()) {
    return W.end(Verdict::CouldNotRun, "no free addresses");
  }
  PassedOn Passed;
  for (uint32_t I = 0; I < Engines; ++I) {
    ServerInit S;
    S.Id = "i-7f3a91" + std::to_string(10 + I);
    S.Service = Service;
    S.IsEngine = true;
    S.Zone = std::string("zone-") + static_cast<char>('a' + I % 3);
    S.At = W.nextServerAddress();
    if (!W.addServer(S, [&Passed](Arrival &A) {
            return runStream(Passed, A);
          }).start()) {
      return W.end(Verdict::CouldNotRun, "a server cannot listen");
    }
  }
  W.configure(makeConfig());
  if (!W.startGateways()) {
    return W.end(Verdict::CouldNotRun, "the machines are not ready");
  }
  // The machine is in touch when the requests begin.
  std::this_thread::sleep_for(Millis(5000));

  // The platform kills a process that exceeds its memory.
  Gateway &G = W.gateway(0);
  std::atomic<bool> Stop{false};
  std::atomic<bool> Killed{false};
  std::atomic<uint32_t> Peak{0};
  std::thread Platform([&] {
    while (!Stop) {
      uint32_t Now = G.residentMb();
      Peak = std::max(Peak.load(), Now);
      if (Now > MemoryMb && !Killed) {
        W.log().add("the machine's process holds " + std::to_string(Now) +
                    " MB, over its limit of " + std::to_string(MemoryMb));
        G.kill();
        Killed = true;
      }
      std::this_thread::sleep_for(MemoryCheckInterval);
    }
  });

  std::vector<std::unique_ptr<Link>> Links;
  for (uint32_t I = 0; I < Connections; ++I) {
    int Fd = connectTo(G.caller());
    Links.push_back(Fd < 0 ? nullptr : std::make_unique<Link>(Fd));
    if (Fd < 0 || !call(*Links.back(), makeRequest(I, false)).Complete) {
      Stop = true;
      Platform.join();
      return W.end(Verdict::CouldNotRun, "a first request failed");
    }
  }
  std::atomic<uint32_t> Lost{0};
  std::atomic<uint32_t> Cut{0};
  std::atomic<uint32_t> Served{0};
  std::atomic<uint32_t> Refused{0};
  std::list<std::thread> Threads;
  TimePoint Begin = Clock::now();
  TimePoint Next = Begin;
  uint32_t Sent = 0;
  while (Clock::now() < Begin + UsualTime + BurstTime && !Killed &&
         Sent < Connections) {
    uint32_t I = Sent++;
    Threads.emplace_back([&, I] {
      CallerRequest R = makeRequest(I, true);
      W.log().add("client sends " + R.Id + " on a kept connection");
      CallerAnswer A = call(*Links[I], R);
      bool WasPassedOn = false;
      {
        std::lock_guard<std::mutex> Lock(Passed.Mutex);
        WasPassedOn = Passed.Ids.count(R.Id) != 0;
      }
      W.log().add("client has " + std::to_string(A.Status) + " for " + R.Id +
                  (A.Complete ? "" : ", the connection is closed") +
                  (WasPassedOn ? ", a server ran it" : ""));
      Served += A.Status == 200 && A.Complete ? 1 : 0;
      Refused += A.Status == 503 ? 1 : 0;
      Lost += A.Status == 0 && WasPassedOn ? 1 : 0;
      Cut += A.Status == 200 && !A.Complete ? 1 : 0;
    });
    bool Burst = World::hasTrouble() && Clock::now() > Begin + UsualTime;
    Next += std::chrono::duration_cast<Clock::duration>(
        Burst ? UsualPause / BurstFactor : UsualPause);
    std::this_thread::sleep_until(Next);
  }
  for (std::thread &T : Threads) {
    T.join();
  }
  Stop = true;
  Platform.join();
  return W.end(Lost > MaxLost ? Verdict::Broken : Verdict::Held,
               std::to_string(Lost.load()) +
                   " requests that servers ran had no answer, and " +
                   std::to_string(Cut.load()) + " streams were cut; of " +
                   std::to_string(Sent) + " requests " +
                   std::to_string(Served.load()) + " were served and " +
                   std::to_string(Refused.load()) + " refused; the machine's " +
                   "process held " + std::to_string(Peak.load()) +
                   " MB at its peak");
}
