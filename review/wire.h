/// \file
/// HTTP/1.1 over blocking sockets, for the stand-ins of the review.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Millis = std::chrono::milliseconds;

/// An IPv4 address and a port.
struct Endpoint {
  std::string Ip;
  uint16_t Port = 0;
  std::string text() const { return this->Ip + ":" + std::to_string(Port); }
};

struct HeaderField {
  std::string Name;
  std::string Value;
};

/// One request or response.
struct Message {
  std::string Start; ///< Request line or status line.
  std::vector<HeaderField> Fields;
  std::string Body;

  /// Returns the value of the first field with this name, or an empty string.
  std::string field(const std::string &Name) const;
  /// Returns the method of a request.
  std::string method() const;
  /// Returns the path and the query of a request.
  std::string target() const;
  /// Returns the status of a response, or 0.
  int status() const;
};

/// One TCP connection. Another thread may call `cut` only.
class Link {
public:
  explicit Link(int Fd) : Fd(Fd) {}
  ~Link();
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;

  /// Reads the head of the next message.
  bool readHead(Message &M, Millis Timeout);
  /// Reads a body that has a length, or is sent in chunks.
  bool readBody(Message &M, Millis Timeout);
  /// Reads the next chunk; it is empty at the end of the body.
  bool readChunk(std::string &Chunk, Millis Timeout);
  /// Reads what has come, at most \p Limit bytes; an empty string at the end.
  bool readSome(std::string &Bytes, size_t Limit, Millis Timeout);
  bool write(const std::string &Bytes);
  /// Ends the connection; its own thread closes it.
  void cut();
  /// Resets the connection. Only its own thread may call this.
  void reset();
  /// Whether the peer has closed the connection or sent bytes unasked.
  bool hasInput() const;

private:
  bool fill(TimePoint Until);
  bool readLine(std::string &Line, TimePoint Until);
  bool readExactly(std::string &Bytes, size_t Length, TimePoint Until);

  int Fd;
  std::string Buffer;
};

/// Returns a listening socket, or -1.
int listenOn(const Endpoint &At);
/// Returns a connected socket, or -1. \p ReceiveBuffer: size of the socket's
/// receive buffer; 0 for the system's choice.
int connectTo(const Endpoint &To, int ReceiveBuffer = 0);

/// Returns a response with a length.
std::string makeResponse(int Status, const std::vector<HeaderField> &Fields,
                         const std::string &Body);

} // namespace review
