/// \file
/// HTTP/1.1 messages read incrementally and strictly, over http-parser.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace shallotlatch {

/// One header field; the name keeps the sender's spelling.
struct HttpField {
  std::string Name;
  std::string Value;
};

/// Compares header names without regard to case.
bool equalsIgnoringCase(std::string_view A, std::string_view B);

/// Start line and header fields of one message.
struct HttpHead {
  std::string Method; ///< Requests only.
  std::string Target; ///< Requests only: path and query as sent.
  int Status = 0;     ///< Answers only.
  std::vector<HttpField> Fields;
  bool KeepAlive = true; ///< The sender keeps the connection open after this.
  bool BodyEndsAtClose =
      false; ///< Answers only: the body ends with the connection.

  /// First value of \p Name; nullptr: absent.
  const std::string *find(std::string_view Name) const;
  uint32_t count(std::string_view Name) const;
};

/// What a reader tells its owner. Calls happen inside `feed` and `end`.
class HttpReaderEvents {
public:
  virtual ~HttpReaderEvents() = default;
  /// The head is whole. False: the message is refused; reading stops.
  virtual bool onHead(HttpHead &Head) = 0;
  virtual void onBody(std::string_view Part) = 0;
  virtual void onComplete() = 0;
};

enum class HttpRole : uint8_t { Requests, Responses };

enum class FeedResult : uint8_t {
  NeedMore, ///< Everything was consumed; the message goes on.
  Complete, ///< One message ended; bytes after it were not consumed.
  Refused,  ///< `onHead` refused it.
  TooLong,  ///< The head is over the limit.
  Malformed,
};

/// Reads one message at a time from a stream of bytes.
class HttpReader {
public:
  HttpReader(HttpRole Role, HttpReaderEvents &Events, uint32_t MaxHeadBytes);
  HttpReader(const HttpReader &) = delete;
  HttpReader &operator=(const HttpReader &) = delete;

  /// Reads from \p Bytes; \p Consumed tells how many belong to this message.
  FeedResult feed(std::string_view Bytes, size_t &Consumed);
  /// The sender closed. Complete only where the close is the body's end.
  FeedResult end();
  /// Prepares for the next message.
  void reset();
  /// Bytes of the current message came already.
  bool started() const { return this->Started; }
  bool headDone() const { return this->HeadDone; }

private:
  struct Callbacks;
  friend struct Callbacks;
  bool isHeadValid() const;

  HttpRole Role;
  HttpReaderEvents &Events;
  uint32_t MaxHeadBytes;
  uint32_t HeadBytes = 0;
  http_parser Parser;
  HttpHead Head;
  bool Started = false;
  bool HeadDone = false;
  bool Done = false;
  bool RefusedHead = false;
  bool HeadInvalid = false;
  bool LastCallbackWasValue = false;
};

/// Whether \p Field concerns one connection only (RFC 9110, 7.6.1).
bool isHopByHop(std::string_view Name);

} // namespace shallotlatch
