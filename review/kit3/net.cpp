#include "net.h"

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review3 {

// Ports below those that the system gives to outgoing connections.
static constexpr int FirstPort = 17000;
static constexpr int LastPort = 31000;
static constexpr size_t MaxHeadBytes = 256 * 1024;

int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void sleepMs(int64_t Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

static sockaddr_in loopback(uint16_t Port) {
  sockaddr_in At{};
  At.sin_family = AF_INET;
  At.sin_port = htons(Port);
  At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return At;
}

static bool canBind(int Type, uint16_t Port) {
  int Fd = socket(AF_INET, Type | SOCK_CLOEXEC, 0);
  sockaddr_in At = loopback(Port);
  bool Free = bind(Fd, reinterpret_cast<sockaddr *>(&At), sizeof(At)) == 0;
  close(Fd);
  return Free;
}

uint16_t freePort() {
  static std::set<uint16_t> Given;
  static std::mt19937 Random{std::random_device()()};
  std::uniform_int_distribution<int> Draw(FirstPort, LastPort);
  while (true) {
    uint16_t Port = static_cast<uint16_t>(Draw(Random));
    if (Given.count(Port) == 0 && canBind(SOCK_STREAM, Port) &&
        canBind(SOCK_DGRAM, Port)) {
      Given.insert(Port);
      return Port;
    }
  }
}

int listenOn(uint16_t Port) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  sockaddr_in At = loopback(Port);
  if (bind(Fd, reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0 ||
      listen(Fd, 512) != 0) {
    close(Fd);
    return -1;
  }
  return Fd;
}

int connectTo(uint16_t Port, int64_t LimitMs) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in At = loopback(Port);
  int Result = connect(Fd, reinterpret_cast<sockaddr *>(&At), sizeof(At));
  if (Result != 0 && errno == EINPROGRESS) {
    pollfd P{Fd, POLLOUT, 0};
    int Error = ETIMEDOUT;
    socklen_t Length = sizeof(Error);
    if (poll(&P, 1, static_cast<int>(LimitMs)) > 0) {
      getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Error, &Length);
    }
    Result = Error == 0 ? 0 : -1;
  }
  if (Result != 0) {
    close(Fd);
    return -1;
  }
  fcntl(Fd, F_SETFL, fcntl(Fd, F_GETFL) & ~O_NONBLOCK);
  int One = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  return Fd;
}

std::string Head::value(const std::string &Name) const {
  for (const auto &Item : this->Items) {
    if (strcasecmp(Item.first.c_str(), Name.c_str()) == 0) {
      return Item.second;
    }
  }
  return "";
}

bool Head::has(const std::string &Name) const {
  for (const auto &Item : this->Items) {
    if (strcasecmp(Item.first.c_str(), Name.c_str()) == 0) {
      return true;
    }
  }
  return false;
}

int Head::status() const {
  size_t Space = this->Start.find(' ');
  return Space == std::string::npos ? 0 : atoi(this->Start.c_str() + Space);
}

std::string Head::method() const {
  return this->Start.substr(0, this->Start.find(' '));
}

std::string Head::target() const {
  size_t From = this->Start.find(' ');
  if (From == std::string::npos) {
    return "";
  }
  return this->Start.substr(From + 1,
                            this->Start.find(' ', From + 1) - From - 1);
}

Wire::~Wire() {
  if (this->Fd >= 0) {
    close(this->Fd);
  }
}

bool Wire::write(const std::string &Bytes) const {
  size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Count =
        send(this->Fd, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0) {
      return false;
    }
    Sent += static_cast<size_t>(Count);
  }
  return true;
}

bool Wire::fill() {
  int Wait = -1;
  if (this->LimitAt != 0) {
    Wait = static_cast<int>(std::max<int64_t>(0, this->LimitAt - nowMs()));
  }
  pollfd P{this->Fd, POLLIN, 0};
  if (poll(&P, 1, Wait) <= 0) {
    return false;
  }
  char Bytes[16 * 1024];
  ssize_t Count = recv(this->Fd, Bytes, sizeof(Bytes), 0);
  if (Count <= 0) {
    this->Closed = true;
    return false;
  }
  this->Buffer.append(Bytes, static_cast<size_t>(Count));
  return true;
}

bool Wire::readLine(std::string &Out) {
  size_t End = this->Buffer.find('\n');
  while (End == std::string::npos) {
    if (this->Buffer.size() > MaxHeadBytes || !this->fill()) {
      return false;
    }
    End = this->Buffer.find('\n');
  }
  Out = this->Buffer.substr(0, End);
  this->Buffer.erase(0, End + 1);
  if (!Out.empty() && Out.back() == '\r') {
    Out.pop_back();
  }
  return true;
}

bool Wire::readBytes(size_t Count, std::string &Out) {
  while (this->Buffer.size() < Count) {
    if (!this->fill()) {
      return false;
    }
  }
  Out = this->Buffer.substr(0, Count);
  this->Buffer.erase(0, Count);
  return true;
}

bool Wire::readHead(Head &Out) {
  Out = Head();
  std::string Line;
  if (!this->readLine(Out.Start)) {
    return false;
  }
  while (this->readLine(Line)) {
    if (Line.empty()) {
      return true;
    }
    size_t Colon = Line.find(':');
    if (Colon == std::string::npos) {
      return false;
    }
    size_t Value = Line.find_first_not_of(" \t", Colon + 1);
    Out.Items.emplace_back(Line.substr(0, Colon), Value == std::string::npos
                                                      ? ""
                                                      : Line.substr(Value));
  }
  return false;
}

bool readBody(Wire &W, const Head &H, std::string &Body) {
  Body.clear();
  if (H.has("content-length")) {
    return W.readBytes(strtoull(H.value("content-length").c_str(), nullptr, 10),
                       Body);
  }
  if (!H.has("transfer-encoding")) {
    return true;
  }
  while (true) {
    std::string Line;
    std::string Part;
    if (!W.readLine(Line)) {
      return false;
    }
    size_t Size = strtoull(Line.c_str(), nullptr, 16);
    if (Size == 0) {
      return W.readLine(Line);
    }
    if (!W.readBytes(Size, Part) || !W.readLine(Line)) {
      return false;
    }
    Body += Part;
  }
}

void OpenSockets::add(int Fd) {
  std::lock_guard<std::mutex> Guard(this->Lock);
  this->Fds.insert(Fd);
}

void OpenSockets::remove(int Fd) {
  std::lock_guard<std::mutex> Guard(this->Lock);
  this->Fds.erase(Fd);
}

void OpenSockets::shutdownAll(bool Reset) {
  std::lock_guard<std::mutex> Guard(this->Lock);
  for (int Fd : this->Fds) {
    if (Reset) {
      // A connection that is disconnected from its peer's address is reset.
      sockaddr Nothing{};
      Nothing.sa_family = AF_UNSPEC;
      static_cast<void>(connect(Fd, &Nothing, sizeof(Nothing)));
    }
    shutdown(Fd, SHUT_RDWR);
  }
}

} // namespace review3
