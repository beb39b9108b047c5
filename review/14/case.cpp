// Half of the machines lose their processes at one moment while one software
// version serves. A server of a newer version enters before the clients come
// back to take up their streams at the machines that are left.
#include "../kit3/caller.h"
#include "../kit3/gateway.h"
#include "../kit3/server.h"

#include <algorithm>
#include <iostream>
#include <memory>
#include <thread>
#include <unistd.h>

using namespace review3;

static constexpr int Machines = 6;
static constexpr int StreamsOfMachine = 12;
static constexpr uint32_t EventsOfStream = 80;
static constexpr int64_t EventMs = 100;
static constexpr int64_t DeadlineMs = 12000;
// Time after which all machines know which versions streams may have begun at:
// the longest stream's life, and a margin.
static constexpr int64_t SettleMs = 24000;
// Age of the streams at the kill.
static constexpr int64_t StreamAgeMs = 2000;
// Time from the kill to the entry of the newer server, and to the return of the
// clients (a new connection is allowed one second).
static constexpr int64_t EntryAfterMs = 200;
static constexpr int64_t ReturnAfterMs = 1000;
static constexpr int Tries = 3;
static constexpr int64_t TryPauseMs = 700;

namespace {
struct Results {
  std::atomic<int> Begun{0};
  std::atomic<int> TakenUp{0};
  std::atomic<int> GoneOn{0};
  std::atomic<int> New{0};
  std::atomic<int> NewBegun{0};
  std::atomic<int> Joined{0};
};
struct World {
  explicit World(Record &Log) : Log(Log) {}
  Record &Log;
  Results Sum;
  std::vector<Gateway *> Gateways;
  std::vector<Gateway *> Left; ///< Those that are not killed.
  std::atomic<bool> Broken{false};
  std::atomic<int64_t> BrokenAt{0};
};
} // namespace

static Attempt attempt(const std::string &Id) {
  Attempt A;
  A.Path = "/query/x";
  A.Id = Id;
  A.Key = TenantKey;
  A.DeadlineMs = DeadlineMs;
  A.Extra = {{"Shallotlatch-Model", "m"},
             {"Shallotlatch-Token-Count", "600,240"}};
  A.Body = "question of " + Id;
  return A;
}

static std::string versionOf(const Event &E) {
  return E.Data.substr(E.Data.find(' ') + 1);
}

// Goes on with a stream that broke off, at machines that are left.
static void takeUp(World &W, int Number, const std::vector<Event> &Held) {
  ++W.Sum.TakenUp;
  std::string First = "s" + std::to_string(Number);
  for (int Try = 0; Try < Tries; ++Try) {
    Attempt A = attempt(First + "-" + std::to_string(Try + 1));
    A.Extra.emplace_back("Resumes", First);
    A.Extra.emplace_back("Last-Event-Id", std::to_string(Held.back().Number));
    A.DeadlineMs = DeadlineMs - (nowMs() - W.BrokenAt) - StreamAgeMs;
    Gateway &At = *W.Left[static_cast<size_t>(Number + Try) % W.Left.size()];
    Answer Got = send(At.port(), A);
    std::vector<Event> More = Got.events();
    bool GoesOn = Got.Status == 200 && !More.empty();
    bool Joins = GoesOn && versionOf(More.front()) != versionOf(Held.back());
    W.Log.line("client " + A.Id + " takes up " + First + " after event " +
               std::to_string(Held.back().Number) + " at " + At.name() +
               " and gets " + Got.text() + (GoesOn ? ": goes on" : ""));
    W.Sum.Joined += Joins ? 1 : 0;
    if (GoesOn) {
      ++W.Sum.GoneOn;
      return;
    }
    sleepMs(TryPauseMs);
  }
}

static void runStream(World &W, int Number) {
  size_t Machine = static_cast<size_t>(Number) % Machines;
  Attempt A = attempt("s" + std::to_string(Number));
  // Without the disruption the clients of the same machines lose their
  // connections, and the machines live on.
  bool LosesConnection = Machine >= W.Left.size();
  Answer Got = send(W.Gateways[Machine]->port(), A,
                    LosesConnection && !withTrouble() ? &W.Broken : nullptr);
  std::vector<Event> Held = Got.events();
  W.Sum.Begun += Held.empty() ? 0 : 1;
  W.Log.line("client " + A.Id + " at " + W.Gateways[Machine]->name() +
             " gets " + Got.text() + ", events " + std::to_string(Held.size()));
  if (Got.Complete || Held.empty() || !W.Broken) {
    return;
  }
  sleepMs(W.BrokenAt + ReturnAfterMs - nowMs());
  takeUp(W, Number, Held);
}

static void runNew(World &W, int Number) {
  Attempt A = attempt("n" + std::to_string(Number));
  ++W.Sum.New;
  Answer Got =
      send(W.Left[static_cast<size_t>(Number) % W.Left.size()]->port(), A);
  W.Sum.NewBegun += Got.Status == 200 && !Got.events().empty() ? 1 : 0;
  W.Log.line("client " + A.Id + " begins a stream and gets " + Got.text());
}

static int judge(World &W) {
  Results &S = W.Sum;
  W.Log.line("streams begun " + std::to_string(S.Begun) + ", taken up " +
             std::to_string(S.TakenUp) + ", gone on " +
             std::to_string(S.GoneOn) + "; new streams " +
             std::to_string(S.New) + ", begun " + std::to_string(S.NewBegun) +
             "; joined at another version " + std::to_string(S.Joined));
  if (S.TakenUp < 12 || S.NewBegun == 0) {
    return 2;
  }
  double GoesOn = static_cast<double>(S.GoneOn) / S.TakenUp;
  double Begins = static_cast<double>(S.NewBegun) / S.New;
  return GoesOn < Begins / 2 ? 1 : 0;
}

static int play(const std::string &Program, const std::string &Folder) {
  // Threads of the stand-ins use these until the process ends.
  Record &Log = *new Record(Folder + "/record.txt");
  Store &Platform = *new Store;
  ScratchFolder Scratch;
  Platform.put("config", "main",
               makeConfig(7, {{"query", "streaming", "parecer-llm", DeadlineMs,
                               500, 2, true}}));
  const char *const Zones[] = {"sul-a", "sudeste-a", "prata-a"};
  std::vector<Server *> Servers;
  for (int I = 0; I < 13; ++I) {
    ServerInit Init{"i-llm" + std::to_string(I), "parecer-llm", Zones[I % 3]};
    Servers.push_back(new Server(Platform, Log, Init,
                                 streamWork(Log, EventsOfStream, EventMs)));
  }
  Server &Newer = *Servers.back();
  for (size_t I = 0; I + 1 < Servers.size(); ++I) {
    Servers[I]->start("v1");
    Servers[I]->enter();
  }
  World &W = *new World(Log);
  std::vector<std::unique_ptr<Gateway>> Owned;
  for (int I = 0; I < Machines; ++I) {
    GatewayInit Init{"frontend-" + std::to_string(I), Zones[I % 3],
                     Platform.port()};
    Owned.push_back(
        std::make_unique<Gateway>(Log, Program, Scratch.path(), Init));
    W.Gateways.push_back(Owned.back().get());
    W.Gateways.back()->start();
  }
  W.Left.assign(W.Gateways.begin(), W.Gateways.begin() + Machines / 2);
  if (!awaitReady(W.Gateways, 20000)) {
    Log.line("the gateways are not ready");
    return 2;
  }
  sleepMs(SettleMs);
  std::vector<std::thread> Threads;
  for (int I = 0; I < Machines * StreamsOfMachine; ++I) {
    Threads.emplace_back([&W, I] { runStream(W, I); });
    sleepMs(10);
  }
  sleepMs(StreamAgeMs);
  W.BrokenAt = nowMs();
  W.Broken = true;
  if (withTrouble()) {
    for (int I = Machines / 2; I < Machines; ++I) {
      W.Gateways[static_cast<size_t>(I)]->kill();
    }
  }
  sleepMs(EntryAfterMs);
  Newer.start("v2");
  Newer.enter();
  sleepMs(ReturnAfterMs);
  for (int I = 0; I < 24; ++I) {
    Threads.emplace_back([&W, I] { runNew(W, I); });
    sleepMs(50);
  }
  for (std::thread &T : Threads) {
    T.join();
  }
  return judge(W);
}

int main(int Count, char **Arguments) {
  int Status = Count < 3 ? 2 : play(Arguments[1], Arguments[2]);
  std::cout << (Status == 1   ? "LOST is broken"
                : Status == 0 ? "LOST holds"
                              : "the case could not run")
            << std::endl;
  // The stand-ins' threads still run.
  _exit(Status);
}
