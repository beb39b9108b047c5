// Tests that the HTTP/1.1 reader is strict: it refuses framing that two readers
// could interpret differently (request smuggling), and a message that ends
// early is never reported as complete.
#include "http_message_p.h"

#include <CppUTest/TestHarness.h>

using namespace shallotlatch;

namespace {
/// Records the head and the body that the reader reports.
struct Recorder : public HttpReaderEvents {
  HttpHead Head;
  std::string Body;
  bool AcceptHead = true; ///< Result that onHead() returns to the reader.
  bool onHead(HttpHead &H) override {
    this->Head = H;
    return this->AcceptHead;
  }
  void onBody(std::string_view Part) override { this->Body += Part; }
  void onComplete() override {}
};
} // namespace

TEST_GROUP(HttpMessage) {
  Recorder Recorded;

  /// Feeds the bytes in parts of \p PartBytes until the reader has a result.
  FeedResult feed(HttpReader & R, const std::string &Bytes,
                  size_t PartBytes = 1) {
    FeedResult Last = FeedResult::NeedMore;
    for (size_t At = 0; At < Bytes.size() && Last == FeedResult::NeedMore;) {
      size_t Used = 0;
      Last = R.feed(std::string_view(Bytes).substr(At, PartBytes), Used);
      At += Used;
    }
    return Last;
  }
  FeedResult readRequest(const std::string &Bytes) {
    Recorded = Recorder();
    HttpReader R(HttpRole::Requests, Recorded, 4096);
    return feed(R, Bytes);
  }
  FeedResult readAnswer(const std::string &Bytes, bool EndsInput) {
    Recorded = Recorder();
    HttpReader R(HttpRole::Responses, Recorded, 4096);
    FeedResult Result = feed(R, Bytes);
    return EndsInput && Result == FeedResult::NeedMore ? R.end() : Result;
  }
};

TEST(HttpMessage, readsALengthAndChunksByteByByte) {
  CHECK(readRequest("POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                    "\r\nabc") == FeedResult::Complete);
  STRCMP_EQUAL("abc", Recorded.Body.c_str());
  STRCMP_EQUAL("/a/b?c=1", Recorded.Head.Target.c_str());
  STRCMP_EQUAL("POST", Recorded.Head.Method.c_str());
  CHECK(readRequest(
            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
            "\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n") == FeedResult::Complete);
  STRCMP_EQUAL("abc", Recorded.Body.c_str());
}

TEST(HttpMessage, leavesTheNextRequestUnread) {
  HttpReader R(HttpRole::Requests, Recorded, 4096);
  std::string First =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";
  size_t Used = 0;
  CHECK(R.feed(First + "GET /x HTTP/1.1\r\n", Used) == FeedResult::Complete);
  CHECK_EQUAL(First.size(), Used);
  R.reset();
  std::string SecondRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
  CHECK(R.feed(SecondRequest + "G", Used) == FeedResult::Complete);
  CHECK_EQUAL(SecondRequest.size(), Used);
}

TEST(HttpMessage, refusesAmbiguousFraming) {
  const char *Start = "POST / HTTP/1.1\r\nHost: h\r\n";
  const char *Bad[] = {
      "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
      "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
      "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
      "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
      "Content-Length : 3\r\n\r\nabc",
      "Content-Length: +3\r\n\r\nabc",
      "Content-Length: 3, 3\r\n\r\nabc",
      "Host: other\r\n\r\n",
      "Bad Name: x\r\n\r\n",
      "X: a\r\n Folded: b\r\nContent-Length : 3\r\n\r\n"};
  for (const char *Rest : Bad) {
    CHECK_TEXT(readRequest(std::string(Start) + Rest) == FeedResult::Malformed,
               Rest);
  }
  CHECK(readRequest("GET / HTTP/1.1\r\n\r\n") == FeedResult::Malformed);
}

TEST(HttpMessage, headOverItsLimitIsRefused) {
  std::string Long(8000, 'a');
  CHECK(readRequest("GET / HTTP/1.1\r\nHost: h\r\nX: " + Long + "\r\n\r\n") ==
        FeedResult::TooLong);
}

TEST(HttpMessage, earlyEndIsNeverComplete) {
  CHECK(readAnswer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", true) ==
        FeedResult::Malformed);
  CHECK(
      readAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc"
                 "\r\n",
                 true) == FeedResult::Malformed);
  CHECK(readAnswer("HTTP/1.1 200 OK\r\nConte", true) == FeedResult::Malformed);
}

TEST(HttpMessage, bodyWithoutLengthEndsWithItsConnection) {
  CHECK(readAnswer("HTTP/1.1 200 OK\r\n\r\nabc", true) == FeedResult::Complete);
  CHECK(Recorded.Head.BodyEndsAtClose);
  STRCMP_EQUAL("abc", Recorded.Body.c_str());
}

TEST(HttpMessage, interimAnswersArePassedOver) {
  CHECK(readAnswer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                   "Content-Length: 1\r\n\r\nx",
                   false) == FeedResult::Complete);
  CHECK_EQUAL(200, Recorded.Head.Status);
  STRCMP_EQUAL("x", Recorded.Body.c_str());
}

// Guards against bytes that become part of an answer although its status
// allows no body, and against a wait for them.
TEST(HttpMessage, aStatusWithoutABodyEndsWithItsHead) {
  for (const char *Frame :
       {"Content-Length: 3", "Transfer-Encoding: chunked"}) {
    std::string Rest = std::string("\r\n") + Frame + "\r\n\r\n";
    CHECK_TEXT(readAnswer("HTTP/1.1 103 Hints" + Rest +
                              "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
                          false) == FeedResult::Complete,
               Frame);
    STRCMP_EQUAL("x", Recorded.Body.c_str());
    for (const char *Status : {"204 None", "304 Same"}) {
      CHECK_TEXT(readAnswer(std::string("HTTP/1.1 ") + Status + Rest, false) ==
                     FeedResult::Complete,
                 Status);
    }
  }
}

// Guards against a body that ends with its connection where the head states
// another end that the library did not read.
TEST(HttpMessage, aLengthOrEncodingThatIsNotReadIsRefused) {
  for (const char *Frame :
       {"Content-Length: ", "Transfer-Encoding: chun\r\n ked",
        "Transfer-Encoding:\r\n chun\r\n\tked"}) {
    std::string Head = std::string("HTTP/1.1 200 OK\r\n") + Frame + "\r\n\r\n";
    CHECK_TEXT(readAnswer(Head + "4\r\nabcd\r\n", true) ==
                   FeedResult::Malformed,
               Frame);
  }
}
