/// \file
/// Blocking sockets on loopback addresses, and HTTP/1.1 messages over them.
#pragma once

#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace review3 {

using Fields = std::vector<std::pair<std::string, std::string>>;

/// Milliseconds of the steady clock.
int64_t nowMs();
/// Milliseconds of the time of day.
int64_t wallMs();
void sleepMs(int64_t Ms);

/// Returns a port of 127.0.0.1 that is free for TCP and UDP.
uint16_t freePort();
/// Listens on 127.0.0.1; returns the socket, or -1.
int listenOn(uint16_t Port);
/// Connects to 127.0.0.1 within the time; returns the socket, or -1.
int connectTo(uint16_t Port, int64_t LimitMs);

/// Head of an HTTP message.
struct Head {
  std::string Start; ///< Request line or status line.
  Fields Items;
  /// Returns the value of a field, whatever the case of its name; empty if
  /// there is none.
  std::string value(const std::string &Name) const;
  bool has(const std::string &Name) const;
  int status() const;
  std::string method() const;
  std::string target() const;
};

/// One connection with the bytes that were read ahead. Owns the socket.
class Wire {
public:
  explicit Wire(int Fd) : Fd(Fd) {}
  ~Wire();
  Wire(const Wire &) = delete;
  Wire &operator=(const Wire &) = delete;

  int fd() const { return this->Fd; }
  /// Time until which reads wait; 0 waits for ever.
  void setLimit(int64_t AtMs) { this->LimitAt = AtMs; }
  bool write(const std::string &Bytes) const;
  bool readHead(Head &Out);
  bool readLine(std::string &Out);
  bool readBytes(size_t Count, std::string &Out);
  /// Appends what there is; false at the end, on an error or at the limit.
  bool fill();
  /// Whether the last failed read was the end or a reset of the connection.
  bool closed() const { return this->Closed; }
  std::string Buffer;

private:
  int Fd;
  int64_t LimitAt = 0;
  bool Closed = false;
};

/// Reads the body that \p H announces by a length or in chunks.
bool readBody(Wire &W, const Head &H, std::string &Body);

/// Sockets of a stand-in, so that all can be closed at once.
class OpenSockets {
public:
  void add(int Fd);
  void remove(int Fd);
  /// Ends all connections; with \p Reset by a reset.
  void shutdownAll(bool Reset);

private:
  std::mutex Lock;
  std::set<int> Fds;
};

} // namespace review3
