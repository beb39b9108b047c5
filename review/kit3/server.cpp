#include "server.h"

#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review3 {

using nlohmann::json;

std::string Run::fields(bool Stamped) const {
  return "Shallotlatch-Request-Id: " + this->Id + "\r\n" +
         (Stamped ? "Shallotlatch-Server-Stamp: " + this->Server + ".stamp\r\n"
                  : "");
}

Server::Server(Store &Platform, Record &Log, const ServerInit &Init,
               Handler Work)
    : Platform(Platform), Log(Log), Init(Init), Work(std::move(Work)),
      Port(freePort()) {}

void Server::start(const std::string &NewVersion) {
  std::lock_guard<std::mutex> Guard(this->Lock);
  this->Version = NewVersion;
  this->Born = wallMs();
  this->Sequence = 1;
  this->Listener = listenOn(this->Port);
  uint32_t Number = ++this->Process;
  this->Log.line("server " + this->Init.Id + " starts, version " + NewVersion);
  int Fd = this->Listener;
  std::thread([this, Fd, Number, NewVersion] {
    this->accept(Fd, Number, NewVersion);
  }).detach();
}

void Server::writeEntry() {
  this->Platform.put(
      "servers", this->Init.Id,
      json{{"service", this->Init.Service},
           {"address", "127.0.0.1:" + std::to_string(this->Port)},
           {"availability-zone", this->Init.Zone},
           {"version", this->Version},
           {"concurrency-slots", this->Init.Slots},
           {"lifecycle-state", "ready"},
           {"cold-remaining-ms", 0},
           {"born", this->Born},
           {"sequence-number", this->Sequence}});
}

void Server::enter() {
  uint32_t Number = this->Process;
  {
    std::lock_guard<std::mutex> Guard(this->Lock);
    this->EnteredAs = Number;
    this->writeEntry();
    this->Log.line("server " + this->Init.Id + " writes its entry, version " +
                   this->Version);
  }
  std::thread([this, Number] {
    while (true) {
      sleepMs(this->Init.HeartbeatMs);
      std::lock_guard<std::mutex> Guard(this->Lock);
      if (this->Process != Number || this->EnteredAs != Number) {
        return;
      }
      ++this->Sequence;
      this->writeEntry();
    }
  }).detach();
}

void Server::crash() {
  std::lock_guard<std::mutex> Guard(this->Lock);
  this->Log.line("server " + this->Init.Id + " crashes");
  ++this->Process;
  shutdown(this->Listener, SHUT_RDWR);
  close(this->Listener);
  this->Sockets.shutdownAll(true);
}

void Server::accept(int ListenFd, uint32_t Number,
                    const std::string &OfVersion) {
  while (this->Process == Number) {
    int Fd = ::accept(ListenFd, nullptr, nullptr);
    if (Fd < 0) {
      return;
    }
    std::thread([this, Fd, Number, OfVersion] {
      this->serve(Fd, Number, OfVersion);
    }).detach();
  }
}

void Server::serve(int Fd, uint32_t Number, const std::string &OfVersion) {
  Wire W(Fd);
  this->Sockets.add(Fd);
  Head H;
  std::string Body;
  bool Keep = this->Process == Number;
  while (Keep && W.readHead(H) && readBody(W, H, Body) &&
         this->Process == Number) {
    std::string Id = H.value("Shallotlatch-Request-Id");
    std::string Expected = H.value("Shallotlatch-Expect-Instance");
    if (!Expected.empty() && Expected != this->Init.Id) {
      Keep = W.write("HTTP/1.1 421 Misdirected Request\r\n"
                     "Shallotlatch-Request-Id: " +
                     Id + "\r\nShallotlatch-Instance-Id: " + this->Init.Id +
                     "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    ++this->Runs;
    Keep = this->Work(Run{H, Body, W, Id, this->Init.Id, OfVersion});
  }
  this->Sockets.remove(Fd);
}

Handler plainWork(Record &Log, int64_t WorkMs) {
  return [&Log, WorkMs](const Run &R) {
    Log.line("run " + R.Id + " at " + R.Server + " " + R.Request.Start);
    sleepMs(WorkMs);
    std::string Body = "answer to " + R.Id;
    return R.Out.write("HTTP/1.1 200 OK\r\n" + R.fields(true) +
                       "Keep-Alive: timeout=5\r\nContent-Length: " +
                       std::to_string(Body.size()) + "\r\n\r\n" + Body);
  };
}

Handler streamWork(Record &Log, uint32_t Events, int64_t EventMs) {
  return [&Log, Events, EventMs](const Run &R) {
    std::string Last = R.Request.value("Last-Event-Id");
    uint32_t Next =
        static_cast<uint32_t>(strtoul(Last.c_str(), nullptr, 10)) + 1;
    Log.line("run " + R.Id + " at " + R.Server + " " + R.Version +
             " from event " + std::to_string(Next));
    if (!R.Out.write("HTTP/1.1 200 OK\r\n" + R.fields(true) +
                     "Content-Type: text/event-stream\r\nKeep-Alive: "
                     "timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    for (; Next <= Events; ++Next) {
      sleepMs(EventMs);
      std::string Event = "id: " + std::to_string(Next) +
                          "\ndata: " + R.Server + " " + R.Version + "\n\n";
      char Size[16];
      snprintf(Size, sizeof(Size), "%zx\r\n", Event.size());
      if (!R.Out.write(Size + Event + "\r\n")) {
        Log.line("run " + R.Id + " at " + R.Server + " ends early");
        return false;
      }
    }
    return R.Out.write("0\r\n\r\n");
  };
}

} // namespace review3
