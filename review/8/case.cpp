// Six of eight machines are killed at once while servers of two software
// versions serve. Clients take their streams up at the two that are left.
#include "../kit2/deployment.h"

#include <cstdlib>
#include <cstring>
#include <iostream>

using namespace review2;

static constexpr unsigned Events = 40;
static constexpr int64_t EventGapMs = 300;
static constexpr int64_t DownMs = 1000;
static constexpr int StreamsEach = 4;
static constexpr int NewStreams = 16;
// The rule holds for this many streams that are taken up, and asks that their
// share is at least this part of the share of new streams that begin.
static constexpr size_t FewestTakenUp = 12;
static constexpr double LeastPart = 0.5;

namespace {
struct Stream {
  std::string Id;
  std::unique_ptr<Client> Begun;
  std::unique_ptr<Client> TakenUp;
};
} // namespace

int main(int, char **Argv) {
  std::string Folder = Argv[1];
  const char *Setting = getenv("TROUBLE");
  bool Trouble = Setting == nullptr || strcmp(Setting, "0") != 0;
  Record Log(Folder + "/record.txt");
  TemporaryFolder Temporary;
  Loop Main;
  Store Registry(Main);
  Registry.put("config", "main", configuration());
  std::vector<std::unique_ptr<Server>> Servers;
  for (int I = 1; I <= 12; ++I) {
    ServerInit Init;
    Init.Identifier = "i-" + std::to_string(I);
    Init.Service = EngineService;
    Init.Zone = std::string("zone-") + "abc"[I % 3];
    Init.Version = I <= 6 ? "v1" : "v2";
    Servers.push_back(std::make_unique<Server>(Main, Registry, Log, Init));
    Server &S = *Servers.back();
    S.OnRun = [](Server &Self, Run &R) {
      int After = atoi(R.Request.field("last-event-id").c_str());
      Self.stream(R, static_cast<unsigned>(After) + 1, Events, EventGapMs);
    };
    S.start(0);
  }
  std::vector<std::unique_ptr<Gateway>> Machines;
  for (const char *Name :
       {"a-1", "a-2", "a-3", "b-1", "b-2", "b-3", "c-1", "c-2"}) {
    Machines.push_back(
        std::make_unique<Gateway>(Temporary.Path, Registry,
                                  GatewayInit{std::string("frontend-") + Name,
                                              std::string("zone-") + Name[0]}));
    Machines.back()->start();
  }
  for (const std::unique_ptr<Gateway> &G : Machines) {
    if (!waitReady(Main, *G, 15000)) {
      std::cerr << "a gateway is not ready\n";
      return 2;
    }
  }
  Main.runFor(8000);
  std::vector<Gateway *> Left = {Machines[3].get(), Machines[4].get()};
  std::vector<Gateway *> Killed;
  for (const std::unique_ptr<Gateway> &G : Machines) {
    if (G.get() != Left[0] && G.get() != Left[1]) {
      Killed.push_back(G.get());
    }
  }
  std::vector<Stream> Streams;
  for (int I = 0; I < StreamsEach; ++I) {
    for (Gateway *G : Killed) {
      Stream S;
      S.Id = freshId();
      S.Begun =
          std::make_unique<Client>(Main, G->port(), streamRequest(S.Id, 15000));
      Log.line("client sends " + S.Id + " to " + G->init().Name);
      Streams.push_back(std::move(S));
      Main.runFor(20);
    }
  }
  Main.runFor(2000);
  for (Gateway *G : Killed) {
    if (Trouble) {
      G->kill();
      Log.line(G->init().Name + " is killed");
      Main.after(DownMs, [G] { G->start(); });
    }
  }
  if (!Trouble) {
    // The clients' connections end without it.
    for (Stream &S : Streams) {
      S.Begun->connection().closeNow();
    }
  }
  Main.runFor(500);
  for (size_t I = 0; I < Streams.size(); ++I) {
    Stream &S = Streams[I];
    std::string Last = lastEventOf(S.Begun->Reader.Answer.Body);
    if (Last.empty()) {
      std::cerr << "a stream had not begun\n";
      return 2;
    }
    Gateway &G = *Left[I % Left.size()];
    std::string Id = freshId();
    Log.line(takenUpLine(S.Id, Last, Id, G.init().Name));
    S.TakenUp = std::make_unique<Client>(Main, G.port(),
                                         streamRequest(Id, 12000, S.Id, Last));
    Main.runFor(20);
  }
  std::vector<std::unique_ptr<Client>> New;
  for (int I = 0; I < NewStreams; ++I) {
    Gateway &G = *Left[static_cast<size_t>(I) % Left.size()];
    New.push_back(std::make_unique<Client>(Main, G.port(),
                                           streamRequest(freshId(), 15000)));
    Main.runFor(20);
  }
  Main.runFor(4000);
  size_t GoneOn = 0;
  for (const Stream &S : Streams) {
    const Message &Answer = S.TakenUp->Reader.Answer;
    bool Goes = Answer.Status == 200 && !lastEventOf(Answer.Body).empty();
    GoneOn += Goes ? 1 : 0;
    Log.line("client got " + S.Id + " taken up: status " +
             std::to_string(Answer.Status) + ", last event " +
             lastEventOf(Answer.Body) + (Goes ? "" : ", " + Answer.Body));
  }
  size_t Begun = 0;
  for (const std::unique_ptr<Client> &C : New) {
    Begun += lastEventOf(C->Reader.Answer.Body).empty() ? 0 : 1;
  }
  double GoneOnShare =
      static_cast<double>(GoneOn) / static_cast<double>(Streams.size());
  double BegunShare = static_cast<double>(Begun) / NewStreams;
  std::string Result =
      std::to_string(GoneOn) + " of " + std::to_string(Streams.size()) +
      " streams taken up went on, " + std::to_string(Begun) + " of " +
      std::to_string(NewStreams) + " new streams began";
  Log.line(Result);
  std::cout << Result << "\n";
  bool Broken =
      Streams.size() >= FewestTakenUp && GoneOnShare < LeastPart * BegunShare;
  return Broken ? 1 : 0;
}
