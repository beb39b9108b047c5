// Clients ask with HEAD whether something is there and fetch it on the same
// connection, while the store is down for some seconds.
#include "../kit3/caller.h"
#include "../kit3/gateway.h"
#include "../kit3/server.h"

#include <iostream>
#include <memory>
#include <thread>
#include <unistd.h>

using namespace review3;

static constexpr int Clients = 6;
static constexpr int64_t BeforeMs = 1500;
// Length of the outage (site file, platform_down) and the time after it.
static constexpr int64_t OutageMs = 4500;
static constexpr int64_t AfterMs = 3000;
static constexpr int64_t LimitMs = 2500;

namespace {
struct Results {
  std::atomic<int> Asked{0};
  std::atomic<int> Served{0};
  std::atomic<int> Refused{0};
  std::atomic<int> Stray{0}; ///< Bytes after an answer that are no answer.
};
} // namespace

static Attempt attempt(const std::string &Method, const std::string &Id) {
  Attempt A;
  A.Method = Method;
  A.Path = "/fetch/x";
  A.Id = Id;
  A.Key = TenantKey;
  A.DeadlineMs = LimitMs;
  return A;
}

// Returns whether the connection can be used again.
static bool askAndFetch(Record &Log, Results &Sum, Wire &W,
                        const std::string &Id) {
  // An answer to HEAD ends with its head (RFC 9110, 9.3.2).
  W.setLimit(nowMs() + LimitMs);
  Head Asked;
  if (!W.write(requestBytes(attempt("HEAD", Id + "-head"))) ||
      !W.readHead(Asked)) {
    return false;
  }
  ++Sum.Asked;
  Sum.Refused += Asked.status() == 503 ? 1 : 0;
  W.setLimit(nowMs() + LimitMs);
  std::string Start;
  if (!W.write(requestBytes(attempt("GET", Id + "-get"))) ||
      !W.readLine(Start)) {
    return false;
  }
  bool IsAnswer = Start.compare(0, 9, "HTTP/1.1 ") == 0;
  Log.line("client " + Id + ": HEAD gets " + Asked.Start + "; GET gets " +
           (IsAnswer ? Start : "bytes that are no answer: " + Start));
  if (!IsAnswer) {
    ++Sum.Stray;
    return false;
  }
  W.Buffer.insert(0, Start + "\r\n");
  Answer Got;
  readAnswer(W, nowMs() + LimitMs, Got);
  Sum.Served += Got.Status == 200 ? 1 : 0;
  return Got.Complete &&
         Got.Received.value("connection").find("close") == std::string::npos;
}

static void runClient(Record &Log, Results &Sum, const Gateway &At, int Number,
                      int64_t Until) {
  std::unique_ptr<Wire> W;
  for (int I = 0; nowMs() < Until; ++I) {
    if (!W) {
      W = std::make_unique<Wire>(connectTo(At.port(), 1000));
    }
    if (!askAndFetch(Log, Sum, *W,
                     "c" + std::to_string(Number) + "-" + std::to_string(I))) {
      W.reset();
    }
    sleepMs(50);
  }
}

static Handler fetchWork(Record &Log) {
  return [&Log](const Run &R) {
    bool Asks = R.Request.method() == "HEAD";
    Log.line("run " + R.Id + " at " + R.Server + " " + R.Request.Start);
    std::string Body = "record for " + R.Id;
    return R.Out.write(Asks ? "HTTP/1.1 204 No Content\r\n" + R.fields(true) +
                                  "Keep-Alive: timeout=5\r\n\r\n"
                            : "HTTP/1.1 200 OK\r\n" + R.fields(true) +
                                  "Keep-Alive: timeout=5\r\nContent-Length: " +
                                  std::to_string(Body.size()) + "\r\n\r\n" +
                                  Body);
  };
}

static int play(const std::string &Program, const std::string &Folder) {
  // Threads of the stand-ins use these until the process ends.
  Record &Log = *new Record(Folder + "/record.txt");
  Store &Platform = *new Store;
  ScratchFolder Scratch;
  Platform.put("config", "main",
               makeConfig(7, {{"fetch", "idempotent", "livro-app", 1200, 250, 2,
                               false}}));
  const char *const Zones[] = {"sul-a", "sudeste-a", "prata-a"};
  for (int I = 0; I < 3; ++I) {
    ServerInit Init{"i-book" + std::to_string(I), "livro-app", Zones[I]};
    Init.Slots = 6;
    Server &S = *new Server(Platform, Log, Init, fetchWork(Log));
    S.start("v1");
    S.enter();
  }
  std::vector<std::unique_ptr<Gateway>> Owned;
  std::vector<Gateway *> Gateways;
  for (int I = 0; I < 3; ++I) {
    GatewayInit Init{"frontend-" + std::to_string(I), Zones[I],
                     Platform.port()};
    Owned.push_back(
        std::make_unique<Gateway>(Log, Program, Scratch.path(), Init));
    Gateways.push_back(Owned.back().get());
    Gateways.back()->start();
  }
  if (!awaitReady(Gateways, 20000)) {
    Log.line("the gateways are not ready");
    return 2;
  }
  sleepMs(2000);
  Results Sum;
  std::vector<std::thread> Threads;
  int64_t Until = nowMs() + BeforeMs + OutageMs + AfterMs;
  for (int I = 0; I < Clients; ++I) {
    const Gateway &At = *Gateways[static_cast<size_t>(I) % 3];
    Threads.emplace_back(
        [&Log, &Sum, &At, I, Until] { runClient(Log, Sum, At, I, Until); });
  }
  sleepMs(BeforeMs);
  if (withTrouble()) {
    Log.line("the store is silent");
    Platform.setSilent(true);
    sleepMs(OutageMs);
    Platform.setSilent(false);
    Log.line("the store answers again");
  }
  for (std::thread &T : Threads) {
    T.join();
  }
  Log.line("asked " + std::to_string(Sum.Asked) + ", of these answered 503 " +
           std::to_string(Sum.Refused) + ", fetched " +
           std::to_string(Sum.Served) + ", bytes that are no answer " +
           std::to_string(Sum.Stray));
  if (Sum.Served == 0) {
    return 2;
  }
  return Sum.Stray > 0 ? 1 : 0;
}

int main(int Count, char **Arguments) {
  int Status = Count < 3 ? 2 : play(Arguments[1], Arguments[2]);
  std::cout << (Status == 1   ? "MIXED is broken"
                : Status == 0 ? "MIXED holds"
                              : "the case could not run")
            << std::endl;
  // The stand-ins' threads still run.
  _exit(Status);
}
