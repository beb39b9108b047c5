#include "wire.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

std::string Message::field(const std::string &Name) const {
  for (const HeaderField &F : this->Fields) {
    if (strcasecmp(F.Name.c_str(), Name.c_str()) == 0) {
      return F.Value;
    }
  }
  return "";
}

std::string Message::method() const {
  return this->Start.substr(0, this->Start.find(' '));
}

std::string Message::target() const {
  size_t First = this->Start.find(' ');
  size_t Last = this->Start.rfind(' ');
  return First == std::string::npos || Last <= First
             ? ""
             : this->Start.substr(First + 1, Last - First - 1);
}

int Message::status() const {
  size_t Space = this->Start.find(' ');
  return Space == std::string::npos ? 0 : atoi(&this->Start[Space + 1]);
}

Link::~Link() {
  if (this->Fd >= 0) {
    close(this->Fd);
  }
}

void Link::cut() { shutdown(this->Fd, SHUT_RDWR); }

void Link::reset() {
  linger Reset{1, 0};
  setsockopt(this->Fd, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
  close(this->Fd);
  this->Fd = -1;
}

bool Link::hasInput() const {
  pollfd P{this->Fd, POLLIN, 0};
  return !this->Buffer.empty() || poll(&P, 1, 0) != 0;
}

bool Link::fill(TimePoint Until) {
  while (true) {
    int64_t Left =
        std::chrono::duration_cast<Millis>(Until - Clock::now()).count();
    pollfd P{this->Fd, POLLIN, 0};
    int Ready = poll(&P, 1, static_cast<int>(std::max<int64_t>(0, Left)));
    if (Ready < 0 && errno == EINTR) {
      continue;
    }
    if (Ready <= 0) {
      return false;
    }
    char Bytes[65536];
    ssize_t Length = recv(this->Fd, Bytes, sizeof(Bytes), 0);
    if (Length < 0 && errno == EINTR) {
      continue;
    }
    if (Length <= 0) {
      return false;
    }
    this->Buffer.append(Bytes, static_cast<size_t>(Length));
    return true;
  }
}

bool Link::readLine(std::string &Line, TimePoint Until) {
  size_t End = this->Buffer.find("\r\n");
  while (End == std::string::npos) {
    if (!this->fill(Until)) {
      return false;
    }
    End = this->Buffer.find("\r\n");
  }
  Line = this->Buffer.substr(0, End);
  this->Buffer.erase(0, End + 2);
  return true;
}

bool Link::readExactly(std::string &Bytes, size_t Length, TimePoint Until) {
  while (this->Buffer.size() < Length) {
    if (!this->fill(Until)) {
      return false;
    }
  }
  Bytes = this->Buffer.substr(0, Length);
  this->Buffer.erase(0, Length);
  return true;
}

bool Link::readHead(Message &M, Millis Timeout) {
  TimePoint Until = Clock::now() + Timeout;
  M = Message();
  if (!this->readLine(M.Start, Until)) {
    return false;
  }
  std::string Line;
  while (this->readLine(Line, Until)) {
    if (Line.empty()) {
      return true;
    }
    size_t Colon = Line.find(':');
    if (Colon == std::string::npos) {
      return false;
    }
    size_t Value = Line.find_first_not_of(' ', Colon + 1);
    M.Fields.push_back({Line.substr(0, Colon),
                        Value == std::string::npos ? "" : Line.substr(Value)});
  }
  return false;
}

bool Link::readChunk(std::string &Chunk, Millis Timeout) {
  TimePoint Until = Clock::now() + Timeout;
  std::string Line;
  if (!this->readLine(Line, Until)) {
    return false;
  }
  size_t Length = strtoul(Line.c_str(), nullptr, 16);
  return this->readExactly(Chunk, Length, Until) && this->readLine(Line, Until);
}

bool Link::readBody(Message &M, Millis Timeout) {
  if (!M.field("transfer-encoding").empty()) {
    std::string Chunk;
    do {
      if (!this->readChunk(Chunk, Timeout)) {
        return false;
      }
      M.Body += Chunk;
    } while (!Chunk.empty());
    return true;
  }
  size_t Length = strtoul(M.field("content-length").c_str(), nullptr, 10);
  return this->readExactly(M.Body, Length, Clock::now() + Timeout);
}

bool Link::readSome(std::string &Bytes, size_t Limit, Millis Timeout) {
  Bytes.clear();
  if (this->Buffer.empty()) {
    pollfd P{this->Fd, POLLIN, 0};
    if (poll(&P, 1, static_cast<int>(Timeout.count())) <= 0) {
      return false;
    }
    Bytes.resize(Limit);
    ssize_t Length = recv(this->Fd, &Bytes[0], Limit, 0);
    Bytes.resize(Length > 0 ? static_cast<size_t>(Length) : 0);
    return Length >= 0;
  }
  Bytes = this->Buffer.substr(0, Limit);
  this->Buffer.erase(0, Bytes.size());
  return true;
}

bool Link::write(const std::string &Bytes) {
  size_t Done = 0;
  while (Done < Bytes.size()) {
    ssize_t Length =
        send(this->Fd, Bytes.data() + Done, Bytes.size() - Done, MSG_NOSIGNAL);
    if (Length < 0 && errno == EINTR) {
      continue;
    }
    if (Length <= 0) {
      return false;
    }
    Done += static_cast<size_t>(Length);
  }
  return true;
}

static sockaddr_in toSockaddr(const Endpoint &E) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(E.Port);
  inet_pton(AF_INET, E.Ip.c_str(), &Address.sin_addr);
  return Address;
}

int listenOn(const Endpoint &At) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  sockaddr_in Address = toSockaddr(At);
  if (bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) != 0 ||
      listen(Fd, 256) != 0) {
    close(Fd);
    return -1;
  }
  return Fd;
}

int connectTo(const Endpoint &To, int ReceiveBuffer) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (ReceiveBuffer > 0) {
    setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer,
               sizeof(ReceiveBuffer));
  }
  int One = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  sockaddr_in Address = toSockaddr(To);
  if (connect(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) !=
      0) {
    close(Fd);
    return -1;
  }
  return Fd;
}

std::string makeResponse(int Status, const std::vector<HeaderField> &Fields,
                         const std::string &Body) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " -\r\n";
  for (const HeaderField &F : Fields) {
    Text += F.Name + ": " + F.Value + "\r\n";
  }
  return Text + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

} // namespace review
