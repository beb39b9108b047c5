#include "http_message_p.h"

#include <strings.h>

#include <array>

namespace shallotlatch {

static constexpr int SwitchingProtocols = 101;

// Limit on the fields of a response. Each takes far more memory than its
// shortest form has bytes.
static constexpr size_t MaxResponseFields = 1000;

bool equalsIgnoringCase(std::string_view A, std::string_view B) {
  return A.size() == B.size() && strncasecmp(A.data(), B.data(), A.size()) == 0;
}

const std::string *HttpHead::find(std::string_view Name) const {
  for (const HttpField &F : this->Fields) {
    if (equalsIgnoringCase(F.Name, Name)) {
      return &F.Value;
    }
  }
  return nullptr;
}

uint32_t HttpHead::count(std::string_view Name) const {
  uint32_t Found = 0;
  for (const HttpField &F : this->Fields) {
    Found += equalsIgnoringCase(F.Name, Name) ? 1 : 0;
  }
  return Found;
}

size_t memoryOf(const HttpHead &Head) {
  size_t Bytes =
      Head.Fields.capacity() * sizeof(HttpField) + Head.Target.capacity();
  for (const HttpField &F : Head.Fields) {
    Bytes += F.Name.size() + F.Value.size();
  }
  return Bytes;
}

bool isHopByHop(std::string_view Name) {
  static constexpr std::array<std::string_view, 9> Names = {
      "connection", "keep-alive",        "proxy-authenticate",
      "te",         "transfer-encoding", "proxy-authorization",
      "trailer",    "upgrade",           "proxy-connection"};
  for (std::string_view Hop : Names) {
    if (equalsIgnoringCase(Name, Hop)) {
      return true;
    }
  }
  return false;
}

struct HttpReader::Callbacks {
  static HttpReader &self(http_parser *P) {
    return *static_cast<HttpReader *>(P->data);
  }
  static int onBegin(http_parser *P) {
    self(P).Started = true;
    return 0;
  }
  static int onUrl(http_parser *P, const char *At, size_t Length) {
    self(P).Head.Target.append(At, Length);
    return 0;
  }
  static int onField(http_parser *P, const char *At, size_t Length) {
    HttpReader &R = self(P);
    if (R.HeadDone) {
      return 0; // Trailer fields are dropped.
    }
    if (R.Head.Fields.empty() || R.LastCallbackWasValue) {
      if (R.Role == HttpRole::Responses &&
          R.Head.Fields.size() >= MaxResponseFields) {
        return -1;
      }
      R.Head.Fields.emplace_back();
    }
    R.LastCallbackWasValue = false;
    R.Head.Fields.back().Name.append(At, Length);
    return 0;
  }
  static int onValue(http_parser *P, const char *At, size_t Length) {
    HttpReader &R = self(P);
    if (R.HeadDone) {
      return 0;
    }
    R.LastCallbackWasValue = true;
    R.Head.Fields.back().Value.append(At, Length);
    return 0;
  }
  static int onHeadersComplete(http_parser *P) {
    HttpReader &R = self(P);
    R.HeadDone = true;
    R.Head.KeepAlive = http_should_keep_alive(P) != 0;
    bool NoBody = false;
    if (R.Role == HttpRole::Requests) {
      R.Head.Method = http_method_str(static_cast<http_method>(P->method));
    } else {
      R.Head.Status = static_cast<int>(P->status_code);
      bool Framed = (P->flags & (F_CHUNKED | F_CONTENTLENGTH)) != 0;
      NoBody = P->status_code < 200 || P->status_code == 204 ||
               P->status_code == 304;
      R.Head.BodyEndsAtClose = !Framed && !NoBody;
    }
    if (!R.isHeadValid()) {
      R.HeadInvalid = true;
      return -1;
    }
    // The owner does not see an interim (1xx) response; the final response
    // follows it.
    bool Interim = R.Role == HttpRole::Responses && R.Head.Status < 200;
    if (!Interim && !R.Events.onHead(R.Head)) {
      R.RefusedHead = true;
      return -1;
    }
    // Such a response ends with its head whatever length that states (RFC 9112,
    // 6.3). The library ends the message if told that it has no body.
    return NoBody ? 1 : 0;
  }
  static int onBody(http_parser *P, const char *At, size_t Length) {
    self(P).Events.onBody(std::string_view(At, Length));
    return 0;
  }
  static int onMessageComplete(http_parser *P) {
    HttpReader &R = self(P);
    if (R.Role == HttpRole::Responses && R.Head.Status < 200) {
      R.Head = HttpHead();
      R.HeadDone = false;
      R.LastCallbackWasValue = false;
      return 0;
    }
    R.Done = true;
    http_parser_pause(P, 1);
    return 0;
  }
  static const http_parser_settings &table() {
    static const http_parser_settings Table = [] {
      http_parser_settings S;
      http_parser_settings_init(&S);
      S.on_message_begin = &Callbacks::onBegin;
      S.on_url = &Callbacks::onUrl;
      S.on_header_field = &Callbacks::onField;
      S.on_header_value = &Callbacks::onValue;
      S.on_headers_complete = &Callbacks::onHeadersComplete;
      S.on_body = &Callbacks::onBody;
      S.on_message_complete = &Callbacks::onMessageComplete;
      return S;
    }();
    return Table;
  }
};

HttpReader::HttpReader(HttpRole Role, HttpReaderEvents &Events,
                       uint32_t MaxHeadBytes)
    : Role(Role), Events(Events), MaxHeadBytes(MaxHeadBytes) {
  this->reset();
}

void HttpReader::reset() {
  http_parser_init(&this->Parser, this->Role == HttpRole::Requests
                                      ? HTTP_REQUEST
                                      : HTTP_RESPONSE);
  this->Parser.data = this;
  this->Head = HttpHead();
  this->HeadBytes = 0;
  this->Started = false;
  this->HeadDone = false;
  this->Done = false;
  this->RefusedHead = false;
  this->HeadInvalid = false;
  this->LastCallbackWasValue = false;
}

bool isFinalStatus(int Status) { return Status >= 200 && Status <= 599; }

// http-parser accepts some heads from which other programs derive a different
// body length: a space in a field name, a repeated length, or a length together
// with a transfer encoding. The reader refuses these heads, because two
// programs that disagree on the length of a body allow request smuggling. A
// request must also have exactly one Host field. A response must have a status
// of HTTP (RFC 9110, 15); it cannot switch protocols, as no request asks for
// it.
bool HttpReader::isHeadValid() const {
  uint32_t Lengths = 0;
  uint32_t Encodings = 0;
  uint32_t Hosts = 0;
  for (const HttpField &F : this->Head.Fields) {
    if (F.Name.empty() || F.Name.find_first_of(" \t") != std::string::npos) {
      return false;
    }
    Lengths += equalsIgnoringCase(F.Name, "content-length") ? 1 : 0;
    Hosts += equalsIgnoringCase(F.Name, "host") ? 1 : 0;
    if (equalsIgnoringCase(F.Name, "transfer-encoding")) {
      ++Encodings;
      if (!equalsIgnoringCase(F.Value, "chunked")) {
        return false;
      }
    }
  }
  if (Lengths + Encodings > 1) {
    return false;
  }
  if (this->Role == HttpRole::Requests) {
    return Hosts == 1;
  }
  return isFinalStatus(this->Head.Status) ||
         (this->Head.Status >= 100 && this->Head.Status < 200 &&
          this->Head.Status != SwitchingProtocols);
}

FeedResult HttpReader::feed(std::string_view Bytes, size_t &Consumed) {
  Consumed = 0;
  if (Bytes.empty()) {
    return FeedResult::NeedMore;
  }
  bool WasInHead = !this->HeadDone;
  size_t Used = http_parser_execute(&this->Parser, &Callbacks::table(),
                                    Bytes.data(), Bytes.size());
  Consumed = Used;
  if (WasInHead) {
    this->HeadBytes += static_cast<uint32_t>(Used);
    if (!this->HeadDone && this->HeadBytes > this->MaxHeadBytes) {
      return FeedResult::TooLong;
    }
  }
  if (this->Done) {
    return FeedResult::Complete;
  }
  if (this->RefusedHead) {
    return FeedResult::Refused;
  }
  enum http_errno Error = HTTP_PARSER_ERRNO(&this->Parser);
  if (Error == HPE_HEADER_OVERFLOW) {
    return FeedResult::TooLong;
  }
  if (Error != HPE_OK || this->HeadInvalid || this->Parser.upgrade != 0) {
    return FeedResult::Malformed;
  }
  return FeedResult::NeedMore;
}

FeedResult HttpReader::end() {
  if (this->Done) {
    return FeedResult::Complete;
  }
  http_parser_execute(&this->Parser, &Callbacks::table(), nullptr, 0);
  return this->Done ? FeedResult::Complete : FeedResult::Malformed;
}

} // namespace shallotlatch
