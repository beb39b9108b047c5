#include "loop.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <set>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace review2 {

int64_t nowMs() {
  static const std::chrono::steady_clock::time_point Start =
      std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - Start)
      .count();
}

static void prepare(int Fd) {
  int One = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  fcntl(Fd, F_SETFL, fcntl(Fd, F_GETFL) | O_NONBLOCK);
  fcntl(Fd, F_SETFD, FD_CLOEXEC);
}

Connection::Connection(Loop &Owner, int Fd) : Owner(Owner), Fd(Fd) {
  if (Fd >= 0) {
    prepare(Fd);
    Owner.Connections[Fd] = this;
  }
}

Connection::~Connection() { this->closeNow(); }

void Connection::send(const std::string &Bytes) {
  if (this->Fd >= 0) {
    this->Out += Bytes;
  }
}

void Connection::closeWhenSent() {
  this->Closing = true;
  if (this->Out.empty()) {
    this->closeNow();
  }
}

void Connection::closeNow() {
  if (this->Fd >= 0) {
    this->Owner.Connections.erase(this->Fd);
    close(this->Fd);
    this->Fd = -1;
  }
}

void Connection::reset() {
  if (this->Fd >= 0) {
    linger Hard{1, 0};
    setsockopt(this->Fd, SOL_SOCKET, SO_LINGER, &Hard, sizeof(Hard));
    this->closeNow();
  }
}

void Connection::fail() {
  this->closeNow();
  if (this->OnClose) {
    std::function<void()> Do = std::move(this->OnClose);
    this->OnClose = nullptr;
    Do();
  }
}

void Connection::onReadable() {
  char Buffer[65536];
  ssize_t Length = recv(this->Fd, Buffer, sizeof(Buffer), 0);
  if (Length > 0) {
    this->In.append(Buffer, static_cast<size_t>(Length));
    if (this->OnData) {
      this->OnData();
    }
  } else if (Length == 0 || (errno != EAGAIN && errno != EINTR)) {
    this->fail();
  }
}

void Connection::onWritable() {
  ssize_t Length =
      ::send(this->Fd, this->Out.data(), this->Out.size(), MSG_NOSIGNAL);
  if (Length >= 0) {
    this->Out.erase(0, static_cast<size_t>(Length));
    if (this->Out.empty() && this->Closing) {
      this->closeNow();
    }
  } else if (errno != EAGAIN && errno != EINTR && errno != ENOTCONN) {
    this->fail();
  }
}

uint64_t Loop::after(int64_t Ms, Handler Do) {
  uint64_t Timer = this->NextTimer++;
  this->Timers.emplace(nowMs() + Ms, std::make_pair(Timer, std::move(Do)));
  return Timer;
}

void Loop::cancel(uint64_t Timer) {
  for (auto It = this->Timers.begin(); It != this->Timers.end(); ++It) {
    if (It->second.first == Timer) {
      this->Timers.erase(It);
      return;
    }
  }
}

void Loop::listen(int Fd, std::function<void(int)> OnAccept) {
  fcntl(Fd, F_SETFL, fcntl(Fd, F_GETFL) | O_NONBLOCK);
  this->Listeners[Fd] = std::move(OnAccept);
}

void Loop::unlisten(int Fd) {
  if (this->Listeners.erase(Fd) != 0) {
    close(Fd);
  }
}

void Loop::step(int64_t MaxWaitMs) {
  int64_t Wait = MaxWaitMs;
  if (!this->Timers.empty()) {
    Wait = std::min(Wait, this->Timers.begin()->first - nowMs());
  }
  std::vector<pollfd> Polled;
  for (const auto &Item : this->Connections) {
    const Connection &C = *Item.second;
    short Events = static_cast<short>((C.ReadingPaused ? 0 : POLLIN) |
                                      (C.Out.empty() ? 0 : POLLOUT));
    Polled.push_back({Item.first, Events, 0});
  }
  size_t Count = Polled.size();
  for (const auto &Item : this->Listeners) {
    Polled.push_back({Item.first, POLLIN, 0});
  }
  poll(Polled.data(), Polled.size(),
       static_cast<int>(std::max<int64_t>(0, Wait)));
  for (size_t I = 0; I < Polled.size(); ++I) {
    if (Polled[I].revents == 0) {
      continue;
    }
    int Fd = Polled[I].fd;
    if (I >= Count) {
      auto Listener = this->Listeners.find(Fd);
      if (Listener == this->Listeners.end()) {
        continue;
      }
      int Accepted = accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (Accepted >= 0) {
        std::function<void(int)> Do = Listener->second;
        Do(Accepted);
      }
      continue;
    }
    auto Find = [this, Fd] {
      auto It = this->Connections.find(Fd);
      return It == this->Connections.end() ? nullptr : It->second;
    };
    if ((Polled[I].revents & POLLOUT) != 0 && Find() != nullptr) {
      Find()->onWritable();
    }
    if ((Polled[I].revents & (POLLIN | POLLHUP | POLLERR)) != 0 &&
        Find() != nullptr) {
      Find()->onReadable();
    }
  }
  while (!this->Timers.empty() && this->Timers.begin()->first <= nowMs()) {
    Handler Do = std::move(this->Timers.begin()->second.second);
    this->Timers.erase(this->Timers.begin());
    Do();
  }
}

void Loop::runFor(int64_t Ms) {
  this->runUntil([] { return false; }, Ms);
}

bool Loop::runUntil(const std::function<bool()> &Done, int64_t Ms) {
  int64_t End = nowMs() + Ms;
  while (!Done()) {
    int64_t Left = End - nowMs();
    if (Left <= 0) {
      return false;
    }
    this->step(std::min<int64_t>(Left, 20));
  }
  return true;
}

static sockaddr_in loopback(uint16_t Port) {
  sockaddr_in At{};
  At.sin_family = AF_INET;
  At.sin_port = htons(Port);
  At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return At;
}

int listenOn(uint16_t Port) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  sockaddr_in At = loopback(Port);
  if (bind(Fd, reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0 ||
      ::listen(Fd, 1024) != 0) {
    close(Fd);
    return -1;
  }
  return Fd;
}

uint16_t portOf(int Fd) {
  sockaddr_in At{};
  socklen_t Length = sizeof(At);
  getsockname(Fd, reinterpret_cast<sockaddr *>(&At), &Length);
  return ntohs(At.sin_port);
}

int connectTo(uint16_t Port) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in At = loopback(Port);
  if (connect(Fd, reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0 &&
      errno != EINPROGRESS) {
    close(Fd);
    return -1;
  }
  return Fd;
}

// The ports are below those that the system gives to outgoing connections.
uint16_t freePort() {
  static std::mt19937 Random{std::random_device{}()};
  static std::set<uint16_t> Given;
  std::uniform_int_distribution<uint16_t> Draw(16000, 32000);
  for (;;) {
    uint16_t Port = Draw(Random);
    int Fd = Given.count(Port) == 0 ? listenOn(Port) : -1;
    if (Fd >= 0) {
      close(Fd);
      Given.insert(Port);
      return Port;
    }
  }
}

} // namespace review2
