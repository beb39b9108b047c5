// A server runs requests that may run once only and then answers some of them
// 503, without the field that states that it did not run them.
#include "../kit3/caller.h"
#include "../kit3/gateway.h"
#include "../kit3/server.h"

#include <iostream>
#include <map>
#include <memory>
#include <thread>
#include <unistd.h>

using namespace review3;

static constexpr int Clients = 12;
static constexpr int OrdersOfEach = 20;
// The faulty server fails two in five of its requests (kinds: srv_grey, 0.4).
static constexpr uint32_t FailsTwoOf = 5;

namespace {
/// What the servers ran, by the id of the client attempt and by the order.
struct Ledger {
  std::mutex Lock;
  std::map<std::string, int> ByAttempt;
  std::map<std::string, int> ByOrder;
  bool has(const std::string &Attempt) {
    std::lock_guard<std::mutex> Guard(this->Lock);
    return this->ByAttempt.count(Attempt) != 0;
  }
};
/// What the clients got.
struct Results {
  std::atomic<int> Served{0};
  std::atomic<int> Promises{0};
  std::atomic<int> FalsePromises{0};
};
} // namespace

static Handler confirmWork(Record &Log, Ledger &Books, bool Faulty) {
  auto Count = std::make_shared<std::atomic<uint32_t>>(0);
  return [&Log, &Books, Faulty, Count](const Run &R) {
    {
      std::lock_guard<std::mutex> Guard(Books.Lock);
      ++Books.ByAttempt[R.Id];
      ++Books.ByOrder[R.Body];
    }
    sleepMs(20);
    bool Fails = Faulty && (*Count)++ % FailsTwoOf < 2;
    Log.line("run " + R.Id + " (" + R.Body + ") at " + R.Server +
             (Fails ? ", answers 503" : ", answers 200"));
    std::string Body = Fails ? "backend trouble" : "posted " + R.Body;
    return R.Out.write(
        std::string(Fails ? "HTTP/1.1 503 Service Unavailable\r\n"
                          : "HTTP/1.1 200 OK\r\n") +
        R.fields(!Fails) + "Keep-Alive: timeout=5\r\nContent-Length: " +
        std::to_string(Body.size()) + "\r\n\r\n" + Body);
  };
}

// Sends an order and, after a promise that it has not run, sends it once more.
static void order(Record &Log, Ledger &Books, Results &Sum,
                  const std::vector<Gateway *> &Gateways, int Number) {
  for (int Try = 0; Try < 2; ++Try) {
    Attempt A;
    A.Path = "/confirm/x";
    A.Id = "a" + std::to_string(Number) + "-" + std::to_string(Try);
    A.Key = TenantKey;
    A.DeadlineMs = 2500;
    A.Body = "order " + std::to_string(Number);
    Answer Got =
        send(Gateways[static_cast<size_t>(Number + Try) % 3]->port(), A);
    bool Promise = Got.Status == 503 || Got.Status == 429 ||
                   Got.Status == 408 || Got.Status == 421;
    bool IsFalse = Promise && Books.has(A.Id);
    Log.line("client " + A.Id + " (" + A.Body + ") gets " + Got.text() +
             (IsFalse ? ": a promise that it has not run, but it has" : ""));
    Sum.Served += Got.Status == 200 ? 1 : 0;
    Sum.Promises += Promise ? 1 : 0;
    Sum.FalsePromises += IsFalse ? 1 : 0;
    if (!Promise) {
      return;
    }
  }
}

static int play(const std::string &Program, const std::string &Folder) {
  // Threads of the stand-ins use these until the process ends.
  Record &Log = *new Record(Folder + "/record.txt");
  Store &Platform = *new Store;
  Ledger &Books = *new Ledger;
  ScratchFolder Scratch;
  Platform.put("config", "main",
               makeConfig(7, {{"confirm", "non_idempotent", "livro-app", 2500,
                               250, 1, false}}));
  const char *const Zones[] = {"sul-a", "sudeste-a", "prata-a"};
  for (int I = 0; I < 3; ++I) {
    ServerInit Init{"i-book" + std::to_string(I), "livro-app", Zones[I]};
    Init.Slots = 6;
    Server &S = *new Server(Platform, Log, Init,
                            confirmWork(Log, Books, I == 0 && withTrouble()));
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
  for (int C = 0; C < Clients; ++C) {
    Threads.emplace_back([&Log, &Books, &Sum, &Gateways, C] {
      for (int I = 0; I < OrdersOfEach; ++I) {
        order(Log, Books, Sum, Gateways, C * OrdersOfEach + I);
        sleepMs(20);
      }
    });
  }
  for (std::thread &T : Threads) {
    T.join();
  }
  int Doubled = 0;
  for (const auto &Item : Books.ByOrder) {
    Doubled += Item.second > 1 ? 1 : 0;
  }
  Log.line("orders " + std::to_string(Clients * OrdersOfEach) + ", served " +
           std::to_string(Sum.Served) + ", answered with a promise " +
           std::to_string(Sum.Promises) + ", of these run " +
           std::to_string(Sum.FalsePromises) + ", orders posted twice " +
           std::to_string(Doubled));
  if (Sum.Served < Clients * OrdersOfEach / 2) {
    return 2;
  }
  return Sum.FalsePromises > 0 ? 1 : 0;
}

int main(int Count, char **Arguments) {
  int Status = Count < 3 ? 2 : play(Arguments[1], Arguments[2]);
  std::cout << (Status == 1   ? "REFUSED is broken"
                : Status == 0 ? "REFUSED holds"
                              : "the case could not run")
            << std::endl;
  // The stand-ins' threads still run.
  _exit(Status);
}
