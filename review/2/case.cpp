// Streams that go on after a release of another software version, while the
// configuration shortens the timeouts of the route.
#include "../caller.h"
#include "../world.h"

#include <algorithm>
#include <mutex>
#include <set>

using namespace review;
using nlohmann::json;

static constexpr const char *Service = "huvo11a";
static constexpr const char *Path = "/pufi791/2f";
static constexpr uint32_t OldServers = 3;
static constexpr uint32_t Streams = 9;
static constexpr uint32_t Events = 64;
// Pause between two events of the streams, below the gap target of 500 ms.
static constexpr Millis EventPause(210);
// Pause between the replacements of two servers.
static constexpr Millis ReleaseGap(1000);
// Time from the start of the streams to the end of the replaced servers.
static constexpr Millis OldServersEnd(12300);
static constexpr int CallerDeadlineMs = 15000;
// Number of mixed streams that the rule allows.
static constexpr size_t MaxMixedStreams = 2;

static json makeConfig(int Version, int TimeoutMs) {
  return {{"version", Version},
          {"routes", json::array({{{"name", "r-828m82t"},
                                   {"host", HostName},
                                   {"path-prefix", "/pufi791/"},
                                   {"route-kind", "streaming"},
                                   {"timeout-ms", TimeoutMs},
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

// Sends the events after the one that the request names. A stream that goes on
// has its events at once, since the engine has only to generate what is left.
static bool runStream(Arrival &A) {
  std::string Last = A.Request.field("Last-Event-Id");
  uint32_t First = Last.empty() ? 1 : 1 + std::stoul(Last);
  std::string Head = "HTTP/1.1 200 OK\r\n";
  for (const HeaderField &F : answerFields(A)) {
    Head += F.Name + ": " + F.Value + "\r\n";
  }
  Head += "Content-Type: text/event-stream\r\nTransfer-Encoding: "
          "chunked\r\n\r\n";
  if (!A.Caller.write(Head)) {
    return false;
  }
  for (uint32_t I = First; I <= Events; ++I) {
    std::this_thread::sleep_for(Last.empty() && I > 1 ? EventPause
                                                      : Millis(20));
    std::string Event = "id: " + std::to_string(I) +
                        "\ndata: " + A.At.init().Id + " " +
                        A.At.init().Version + "\n\n";
    char Size[16];
    snprintf(Size, sizeof(Size), "%zx\r\n", Event.size());
    if (A.At.ended() || !A.Caller.write(Size + Event + "\r\n")) {
      return false;
    }
  }
  return A.Caller.write("0\r\n\r\n");
}

/// One client with its stream.
struct StreamCaller {
  std::string Last;               ///< Id of the last event.
  std::set<std::string> Versions; ///< Of the servers that made the events.
  bool Complete = false;
  uint32_t Tries = 0;

  void onEvent(const std::string &Event) {
    size_t IdEnd = Event.find('\n');
    this->Last = Event.substr(4, IdEnd - 4);
    size_t Version = Event.rfind(' ');
    this->Versions.insert(
        Event.substr(Version + 1, Event.size() - Version - 3));
  }
};

static void runCaller(World &W, uint32_t Number, StreamCaller &C) {
  TimePoint Until = Clock::now() + Millis(CallerDeadlineMs);
  std::string FirstId;
  while (!C.Complete && C.Tries < 4) {
    int64_t Left =
        std::chrono::duration_cast<Millis>(Until - Clock::now()).count();
    if (Left < 200) {
      return;
    }
    Gateway &G = W.gateway((Number + C.Tries) % W.gateways());
    CallerRequest R;
    R.Method = "POST";
    R.Path = Path;
    R.Id = "9c41d07be2a3" + std::to_string(1000 + Number * 10 + C.Tries);
    R.DeadlineMs = static_cast<int>(Left);
    R.Fields = {{"Shallotlatch-Model", "m"},
                {"Shallotlatch-Token-Count", "1460,384"},
                {"Shallotlatch-Prompt-Prefix",
                 "5c1e07a2:800,91bd" + std::to_string(Number) + ":660"}};
    if (!C.Last.empty()) {
      R.Fields.push_back({"Last-Event-Id", C.Last});
      R.Fields.push_back({"Resumes", FirstId});
    } else {
      FirstId = R.Id;
    }
    ++C.Tries;
    W.log().add("client " + std::to_string(Number) + " sends " + R.Id + " to " +
                G.name() + " after event '" + C.Last + "'");
    CallerAnswer A = callOnce(
        G.caller(), R, [&C](const std::string &Event) { C.onEvent(Event); });
    C.Complete = A.Complete && A.Status == 200;
    W.log().add("client " + std::to_string(Number) + " has " +
                std::to_string(A.Status) + " for " + R.Id +
                (A.Complete ? ", whole" : ", cut") + ", last event '" + C.Last +
                "'");
    if (!C.Complete) {
      std::this_thread::sleep_for(Millis(150));
    }
  }
}

int main(int, char **Argv) {
  WorldInit Init;
  Init.Gateways = 3;
  World W(Argv[1], Init);
  if (!W.usable()) {
    return W.end(Verdict::CouldNotRun, "no free addresses");
  }
  auto MakeServer = [&W](const std::string &Id, const char *Version) {
    ServerInit S;
    S.Id = Id;
    S.Service = Service;
    S.Version = Version;
    S.IsEngine = true;
    S.At = W.nextServerAddress();
    return S;
  };
  std::vector<Server *> Old;
  for (uint32_t I = 0; I < OldServers; ++I) {
    Old.push_back(&W.addServer(
        MakeServer("i-7f3a91c" + std::to_string(I), "v1"), runStream));
    if (!Old.back()->start()) {
      return W.end(Verdict::CouldNotRun, "a server cannot listen");
    }
  }
  W.configure(makeConfig(7, 15000));
  if (!W.startGateways()) {
    return W.end(Verdict::CouldNotRun, "the machines are not ready");
  }
  std::this_thread::sleep_for(Millis(4500));

  std::vector<StreamCaller> Callers(Streams);
  std::list<std::thread> Threads;
  TimePoint Begin = Clock::now();
  for (uint32_t I = 0; I < Streams; ++I) {
    Threads.emplace_back([&W, I, &Callers] { runCaller(W, I, Callers[I]); });
  }
  std::this_thread::sleep_for(Millis(500));
  if (World::hasTrouble()) {
    W.configure(makeConfig(9, 3000));
  }
  for (uint32_t I = 0; I < OldServers; ++I) {
    if (!W.addServer(MakeServer("i-02d9e6b" + std::to_string(I), "v2"),
                     runStream)
             .start()) {
      return W.end(Verdict::CouldNotRun, "a server cannot listen");
    }
    std::this_thread::sleep_for(ReleaseGap / 2);
    Old[I]->removeEntry();
    W.log().add("the entry of " + Old[I]->init().Id + " (v1) is removed");
    std::this_thread::sleep_for(ReleaseGap / 2);
  }
  std::this_thread::sleep_until(Begin + OldServersEnd);
  for (Server *S : Old) {
    W.log().add("server " + S->init().Id + " (v1) exits");
    S->end();
  }
  for (std::thread &T : Threads) {
    T.join();
  }
  size_t Mixed = 0;
  size_t Resumed = 0;
  for (const StreamCaller &C : Callers) {
    Mixed += C.Versions.size() > 1 ? 1 : 0;
    Resumed += C.Tries > 1 ? 1 : 0;
  }
  if (Resumed < Streams) {
    return W.end(Verdict::CouldNotRun, "not all streams were cut");
  }
  return W.end(Mixed > MaxMixedStreams ? Verdict::Broken : Verdict::Held,
               std::to_string(Mixed) + " of " + std::to_string(Streams) +
                   " streams hold events of two software versions");
}
