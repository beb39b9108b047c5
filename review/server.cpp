#include "server.h"

#include <sys/socket.h>
#include <unistd.h>

namespace review {

using nlohmann::json;

// Time after which an idle connection is closed, as the answers state it.
static constexpr int IdleSeconds = 2;

Server::Server(ServerInit Init, Store &Registry, Record &Log, Work Run)
    : Init(std::move(Init)), Registry(Registry), Log(Log), Run(std::move(Run)) {
}

Server::~Server() {
  this->end();
  if (this->Acceptor.joinable()) {
    this->Acceptor.join();
  }
  std::unique_lock<std::mutex> Lock(this->Mutex);
  this->Served.wait(Lock, [this] { return this->Serving == 0; });
}

bool Server::start() {
  this->Listener = listenOn(this->Init.At);
  if (this->Listener < 0) {
    return false;
  }
  this->Born = static_cast<uint64_t>(
      std::chrono::duration_cast<Millis>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  this->Acceptor = std::thread([this] { this->accept(); });
  this->registerEntry("ready");
  return true;
}

void Server::registerEntry(const char *State) {
  json Entry{{"service", this->Init.Service},
             {"address", this->Init.At.text()},
             {"availability-zone", this->Init.Zone},
             {"version", this->Init.Version},
             {"concurrency-slots", this->Init.Slots},
             {"lifecycle-state", State},
             {"cold-remaining-ms", 0},
             {"sequence-number", 4},
             {"born", this->Born}};
  if (this->Init.IsEngine) {
    Entry["inference-stage"] = "prefill_decode";
    Entry["models"] = json::array(
        {{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}});
  }
  this->Registry.put("servers", this->Init.Id, Entry);
}

void Server::reportDraining() {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Leaving = true;
  }
  this->registerEntry("draining");
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->LeftAt = Clock::now();
}

void Server::removeEntry() {
  this->Registry.remove("servers", this->Init.Id);
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->LeftAt == TimePoint()) {
    this->LeftAt = Clock::now();
  }
}

TimePoint Server::leftAt() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->LeftAt;
}

bool Server::ended() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Ended;
}

void Server::end() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->Ended || this->Listener < 0) {
    return;
  }
  this->Ended = true;
  shutdown(this->Listener, SHUT_RDWR);
  for (Link *L : this->Links) {
    L->cut();
  }
  this->SlotFree.notify_all();
}

void Server::accept() {
  while (true) {
    int Fd = ::accept(this->Listener, nullptr, nullptr);
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (Fd < 0 || this->Ended) {
      if (Fd >= 0) {
        close(Fd);
      }
      close(this->Listener);
      return;
    }
    ++this->Serving;
    std::thread([this, Fd] {
      auto Caller = std::make_unique<Link>(Fd);
      std::unique_lock<std::mutex> Inner(this->Mutex);
      this->Links.insert(Caller.get());
      Inner.unlock();
      this->serve(*Caller);
      Inner.lock();
      this->Links.erase(Caller.get());
      Caller.reset();
      --this->Serving;
      this->Served.notify_all();
    }).detach();
  }
}

std::vector<HeaderField> answerFields(const Arrival &A) {
  return {
      {"Shallotlatch-Request-Id", A.Id},
      {"Shallotlatch-Server-Stamp", A.At.init().Id + "." + A.Id},
      {"Shallotlatch-Instance-Id", A.At.init().Id},
      {"Keep-Alive", "timeout=" + std::to_string(IdleSeconds)},
  };
}

void Server::serve(Link &Caller) {
  Message Request;
  while (!this->ended() &&
         Caller.readHead(Request, Millis(IdleSeconds * 1000))) {
    Arrival A{*this, Request, Caller, Request.field("Shallotlatch-Request-Id")};
    if (!Caller.readBody(Request, Millis(10000)) || !this->handle(A)) {
      return;
    }
  }
}

static std::string reject(int Status, const Arrival &A) {
  return makeResponse(Status,
                      {{"Shallotlatch-Request-Id", A.Id},
                       {"Shallotlatch-Not-Executed", "1"},
                       {"Shallotlatch-Instance-Id", A.At.init().Id}},
                      "");
}

bool Server::handle(Arrival &A) {
  std::string Expected = A.Request.field("Shallotlatch-Expect-Instance");
  if (A.Id.empty()) {
    return A.Caller.write(reject(400, A));
  }
  if (!Expected.empty() && Expected != this->Init.Id) {
    return A.Caller.write(reject(421, A));
  }
  {
    std::unique_lock<std::mutex> Lock(this->Mutex);
    if (this->Running >= this->Init.Slots) {
      if (this->Waiting >= this->Init.Queue) {
        Lock.unlock();
        return A.Caller.write(reject(503, A));
      }
      ++this->Waiting;
      this->SlotFree.wait(Lock, [this] {
        return this->Ended || this->Running < this->Init.Slots;
      });
      --this->Waiting;
    }
    if (this->Ended) {
      return false;
    }
    ++this->Running;
  }
  if (this->Init.RecordsArrivals) {
    this->Log.add("server " + this->Init.Id + " (" + this->Init.Version +
                  ") runs " + A.Id);
  }
  bool Usable = this->Run(A);
  std::lock_guard<std::mutex> Lock(this->Mutex);
  --this->Running;
  this->SlotFree.notify_one();
  return Usable && !this->Ended;
}

} // namespace review
