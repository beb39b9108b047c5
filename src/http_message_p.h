/// \file
/// Incremental parser of HTTP/1.1 messages over the http-parser library. It is
/// stricter than that library about the header fields that frame a message.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace shallotlatch {

/// One header field. The name keeps the upper and lower case that the sender
/// used.
struct HttpField {
  std::string Name;
  std::string Value;
};

/// Returns whether \p A and \p B are equal when the case of ASCII letters is
/// ignored, as HTTP compares field names.
bool equalsIgnoringCase(std::string_view A, std::string_view B);

/// Returns whether HTTP has final responses of \p Status (RFC 9110, 15).
bool isFinalStatus(int Status);

/// Start line and header fields of one HTTP message.
struct HttpHead {
  std::string Method; ///< Request method; empty in a response.
  /// Request target (path and query) as it was sent; empty in a response.
  std::string Target;
  int Status = 0; ///< Status code of a response; 0 in a request.
  std::vector<HttpField> Fields;
  /// Whether the sender keeps the connection open after this message.
  bool KeepAlive = true;
  /// Whether the body of a response is delimited by the close of the
  /// connection, because the head states neither a length nor chunked encoding.
  bool BodyEndsAtClose = false;

  /// Returns the value of the first field called \p Name, or nullptr if there
  /// is none.
  const std::string *find(std::string_view Name) const;
  /// Returns the number of fields called \p Name.
  uint32_t count(std::string_view Name) const;
};

/// Returns about how many bytes of memory \p Head takes. A short field takes
/// many times the bytes that were sent.
size_t memoryOf(const HttpHead &Head);

/// Receives the parts of a message from an HttpReader. The functions are called
/// from within `feed` and `end`.
class HttpReaderEvents {
public:
  virtual ~HttpReaderEvents() = default;
  /// The start line and all header fields were read. The implementation returns
  /// false to refuse the message; reading then stops.
  virtual bool onHead(HttpHead &Head) = 0;
  /// The next part of the body was read.
  virtual void onBody(std::string_view Part) = 0;
  /// Not called: FeedResult::Complete reports the end of the message.
  virtual void onComplete() = 0;
};

/// Kind of the messages that a reader expects.
enum class HttpRole : uint8_t { Requests, Responses };

/// State of the message after bytes were passed to the reader.
enum class FeedResult : uint8_t {
  NeedMore,  ///< All bytes were consumed and the message is incomplete.
  Complete,  ///< The message ended; bytes after it were not consumed.
  Refused,   ///< HttpReaderEvents::onHead refused the message.
  TooLong,   ///< The start line and header fields are too long.
  Malformed, ///< The bytes are not a valid message, switch to another protocol,
             ///< or have a status outside of 100 to 599.
};

/// Parses a byte stream, one HTTP message at a time.
class HttpReader {
public:
  /// A start line and header fields that are still incomplete after more than
  /// \p MaxHeadBytes bytes are refused.
  HttpReader(HttpRole Role, HttpReaderEvents &Events, uint32_t MaxHeadBytes);
  HttpReader(const HttpReader &) = delete;
  HttpReader &operator=(const HttpReader &) = delete;

  /// Parses \p Bytes and sets \p Consumed to the number of them that belong to
  /// the current message.
  FeedResult feed(std::string_view Bytes, size_t &Consumed);
  /// Reports that the sender closed the connection. Returns Complete only if
  /// the message was complete or its body is delimited by the close.
  FeedResult end();
  /// Prepares the reader for the next message.
  void reset();
  /// Returns whether bytes of the current message were received.
  bool started() const { return this->Started; }
  /// Returns about how many bytes of memory an incomplete head takes.
  size_t heldBytes() const {
    return this->Head.Fields.capacity() * sizeof(HttpField) +
           (this->Head.Fields.empty() ? 0 : this->HeadBytes);
  }
  /// Returns whether all header fields of the current message were read.
  bool headDone() const { return this->HeadDone; }

private:
  struct Callbacks;
  friend struct Callbacks;
  /// Checks the framing fields and the Host field more strictly than the
  /// library does.
  bool isHeadValid() const;

  HttpRole Role;
  HttpReaderEvents &Events;
  uint32_t MaxHeadBytes;
  uint32_t HeadBytes = 0; ///< Number of bytes read of the current head.
  http_parser Parser;
  HttpHead Head;
  bool Started = false;
  bool HeadDone = false;
  bool Done = false;        ///< The message is complete.
  bool RefusedHead = false; ///< `onHead` returned false.
  bool HeadInvalid = false; ///< `isHeadValid` returned false.
  /// Whether the last header callback delivered a part of a value, so that the
  /// next part of a name begins a new field.
  bool LastCallbackWasValue = false;
};

/// Returns whether the field \p Name applies to a single connection and must
/// not be forwarded (RFC 9110, 7.6.1).
bool isHopByHop(std::string_view Name);

} // namespace shallotlatch
