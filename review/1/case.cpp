// Clients take up streams that a stopping machine has cut, after the other
// machines were stopped and started in turn.
#include "../caller.h"
#include "../world.h"

#include <algorithm>
#include <atomic>
#include <csignal>

using namespace review;
using nlohmann::json;

static constexpr const char *Service = "huvo11a";
static constexpr const char *Path = "/pufi791/2f";
static constexpr uint32_t Gateways = 6;
static constexpr uint32_t Engines = 12;
static constexpr uint32_t Streams = 24;
static constexpr uint32_t Events = 64;
// Pause between two events of a stream, below the gap target of 500 ms.
static constexpr Millis EventPause(200);
static constexpr int CallerDeadlineMs = 15000;
static constexpr uint32_t MaxTries = 4;
// Time for which all machines have run when the first is stopped.
static constexpr Millis CalmTime(21000);
// Pause between two stops, and the time until the platform starts a machine
// that has ended again.
static constexpr Millis StopGap(2000);
static constexpr Millis RestartDelay(500);
static constexpr Millis GracePeriod(8000);
static constexpr Millis ConnectivityTime(4000);
// Time from the start of the streams to the stop of their machine.
static constexpr Millis StreamsBeforeStop(1500);
// Streams from which on the rule holds.
static constexpr uint32_t MinTakenUp = 12;

static json makeConfig() {
  return {{"version", 7},
          {"routes", json::array({{{"name", "r-828m82t"},
                                   {"host", HostName},
                                   {"path-prefix", "/pufi791/"},
                                   {"route-kind", "streaming"},
                                   {"timeout-ms", 15000},
                                   {"target-latency-ms", 500},
                                   {"priority", 1},
                                   {"service", Service},
                                   {"max-attempts", 2},
                                   {"anonymous-access", false},
                                   {"session-affinity", true},
                                   {"stream-resumption", true},
                                   {"gap-target-ms", 500}}})},
          {"services", json::array({engineService(Service, 8)})},
          {"limits", callerLimits()}};
}

// Sends the events after the one that the request names. Short streams have
// four events.
static bool runStream(Arrival &A) {
  bool Short = A.Request.target().find("short") != std::string::npos;
  std::string Last = A.Request.field("Last-Event-Id");
  uint32_t First = Last.empty() ? 1 : 1 + std::stoul(Last);
  std::string Head = "HTTP/1.1 200 OK\r\n";
  for (const HeaderField &F : answerFields(A)) {
    Head += F.Name + ": " + F.Value + "\r\n";
  }
  Head += "Content-Type: text/event-stream\r\nTransfer-Encoding: "
          "chunked\r\n\r\n";
  bool Usable = A.Caller.write(Head);
  for (uint32_t I = First; I <= (Short ? 4 : Events) && Usable; ++I) {
    std::this_thread::sleep_for(Last.empty() && !Short ? EventPause
                                                       : Millis(20));
    std::string Event = "id: " + std::to_string(I) + "\ndata: x\n\n";
    char Size[16];
    snprintf(Size, sizeof(Size), "%zx\r\n", Event.size());
    Usable = !A.At.ended() && A.Caller.write(Size + Event + "\r\n");
  }
  return Usable && A.Caller.write("0\r\n\r\n");
}

/// Counts of streams at machines in touch.
struct Counts {
  std::atomic<uint32_t> TakenUp{0}; ///< Streams that were taken up again.
  std::atomic<uint32_t> WentOn{0};  ///< Of these, those that went on.
  std::atomic<uint32_t> Begun{0};   ///< New streams that were asked for.
  std::atomic<uint32_t> Began{0};   ///< Of these, those that began.
};

static CallerRequest makeRequest(const std::string &Id, bool Short) {
  CallerRequest R;
  R.Method = "POST";
  R.Path = std::string(Path) + (Short ? "?short" : "");
  R.Id = Id;
  R.DeadlineMs = CallerDeadlineMs;
  R.Fields = {{"Shallotlatch-Model", "m"},
              {"Shallotlatch-Token-Count", "600,384"},
              {"Shallotlatch-Prompt-Prefix", "5c1e07a2:60,f" + Id + ":540"}};
  return R;
}

static void runCaller(World &W, uint32_t Number, Counts &C) {
  TimePoint Until = Clock::now() + Millis(CallerDeadlineMs);
  std::string FirstId = "e" + std::to_string(1000 + Number * 10);
  std::string Last;
  auto OnEvent = [&Last](const std::string &Event) {
    Last = Event.substr(4, Event.find('\n') - 4);
  };
  Gateway &Stopped = W.gateway(W.gateways() - 1);
  CallerAnswer A =
      callOnce(Stopped.caller(), makeRequest(FirstId, false), OnEvent);
  if (A.Complete || Last.empty()) {
    W.log().add("client has " + std::to_string(A.Status) + " for " + FirstId +
                ", last event '" + Last + "'");
    return;
  }
  W.log().add("stream " + FirstId + " is cut after event " + Last);
  ++C.TakenUp;
  std::string Before = Last;
  for (uint32_t Try = 1; Try < MaxTries && Last == Before; ++Try) {
    std::this_thread::sleep_for(Millis(300));
    int64_t Left =
        std::chrono::duration_cast<Millis>(Until - Clock::now()).count();
    if (Left < 500) {
      break;
    }
    // The machines that were stopped first are in touch again.
    Gateway &G = W.gateway((Number + Try) % 3);
    std::string Id = "e" + std::to_string(1000 + Number * 10 + Try);
    CallerRequest R = makeRequest(Id, false);
    R.DeadlineMs = static_cast<int>(Left);
    R.Fields.push_back({"Last-Event-Id", Last});
    R.Fields.push_back({"Resumes", FirstId});
    std::string Line = "client takes up ";
    Line += FirstId;
    Line += " with ";
    Line += Id;
    Line += " at ";
    Line += G.name();
    W.log().add(Line);
    A = callOnce(G.caller(), R, OnEvent);
    W.log().add("client has " + std::to_string(A.Status) + " for " + R.Id +
                ", last event " + Last);
  }
  C.WentOn += Last != Before ? 1 : 0;
}

// New streams at the machines at which the others are taken up.
static void runNewStreams(World &W, size_t Number, Counts &C,
                          const std::atomic<bool> &Stop) {
  for (uint32_t I = 0; !Stop && I < 200; ++I) {
    std::string Id = "n" + std::to_string(10000 + Number * 1000 + I);
    CallerAnswer A =
        callOnce(W.gateway(Number).caller(), makeRequest(Id, true));
    ++C.Begun;
    C.Began += A.Status == 200 && !A.Body.empty() ? 1 : 0;
    std::this_thread::sleep_for(Millis(100));
  }
}

static bool restart(Gateway &G) {
  G.send(SIGTERM);
  if (!G.waitEnd(GracePeriod)) {
    G.kill();
  }
  std::this_thread::sleep_for(RestartDelay);
  return G.start();
}

int main(int, char **Argv) {
  WorldInit Init;
  Init.Gateways = Gateways;
  World W(Argv[1], Init);
  if (!W.usable()) {
    return W.end(Verdict::CouldNotRun, "no free addresses");
  }
  for (uint32_t I = 0; I < Engines; ++I) {
    ServerInit S;
    S.Id = "i-7f3a91" + std::to_string(10 + I);
    S.Service = Service;
    S.IsEngine = true;
    S.Zone = std::string("zone-") + static_cast<char>('a' + I % 3);
    S.At = W.nextServerAddress();
    S.RecordsArrivals = false;
    if (!W.addServer(S, runStream).start()) {
      return W.end(Verdict::CouldNotRun, "a server cannot listen");
    }
  }
  W.configure(makeConfig());
  if (!W.startGateways()) {
    return W.end(Verdict::CouldNotRun, "the machines are not ready");
  }
  std::this_thread::sleep_for(CalmTime);

  Counts C;
  std::atomic<bool> Failed{false};
  std::list<std::thread> Restarts;
  std::list<std::thread> Callers;
  TimePoint Begin = Clock::now();
  for (size_t I = 0; I + 1 < Gateways; ++I) {
    std::this_thread::sleep_until(Begin + StopGap * static_cast<int64_t>(I));
    if (World::hasTrouble()) {
      Restarts.emplace_back(
          [&W, I, &Failed] { Failed = !restart(W.gateway(I)) || Failed; });
    }
  }
  TimePoint LastStop = Begin + StopGap * (Gateways - 1);
  std::this_thread::sleep_until(LastStop - StreamsBeforeStop);
  for (uint32_t I = 0; I < Streams; ++I) {
    Callers.emplace_back([&W, I, &C] { runCaller(W, I, C); });
  }
  std::this_thread::sleep_until(LastStop);
  Gateway &Stopped = W.gateway(Gateways - 1);
  Stopped.send(SIGTERM);
  // The machines that were stopped first have been in touch for a while when
  // the streams are cut.
  std::this_thread::sleep_until(LastStop + ConnectivityTime);
  std::atomic<bool> Stop{false};
  std::list<std::thread> News;
  for (size_t I = 0; I < 3; ++I) {
    News.emplace_back([&W, I, &C, &Stop] { runNewStreams(W, I, C, Stop); });
  }
  if (!Stopped.waitEnd(GracePeriod)) {
    Stopped.kill();
  }
  W.log().add("the process of " + Stopped.name() + " has ended");
  for (std::thread &T : Callers) {
    T.join();
  }
  Stop = true;
  for (std::thread &T : News) {
    T.join();
  }
  for (std::thread &T : Restarts) {
    T.join();
  }
  if (Failed || C.TakenUp < MinTakenUp || C.Begun == 0) {
    return W.end(Verdict::CouldNotRun, "too few streams were taken up");
  }
  double Share = static_cast<double>(C.WentOn) / C.TakenUp;
  double NewShare = static_cast<double>(C.Began) / C.Begun;
  return W.end(Share < NewShare / 2 ? Verdict::Broken : Verdict::Held,
               std::to_string(C.WentOn.load()) + " of " +
                   std::to_string(C.TakenUp.load()) +
                   " streams that were taken up again went on; of " +
                   std::to_string(C.Begun.load()) + " new streams " +
                   std::to_string(C.Began.load()) + " began");
}
