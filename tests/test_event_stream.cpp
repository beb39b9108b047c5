// Tests of where events end and of the place at which a stream goes on.
#include "event_stream_p.h"
#include "relay_harness.h"

#include <CppUTest/TestHarness.h>

using namespace shallotlatch;
using Action = TargetStep::Action;

static std::string chunk(const std::string &Text) {
  char Size[16];
  snprintf(Size, sizeof(Size), "%zx\r\n", Text.size());
  return Size + Text + "\r\n";
}

TEST_GROUP(EventStream){
    /// Sends a request for a stream that begins with \p First and breaks off,
    /// and
    /// offers another target that answers with \p Second. Returns the answer.
    std::string goOn(const std::string &First, const std::string &Second,
                     std::string &Asked){RelayHarness H;
ScriptedTarget &A = H.target("i-1");
A.Steps = {{streamAnswerHead() + chunk(First) + "6\r\nid", Action::Close}};
size_t Caller = H.connect();
H.send(Caller, "POST /again/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n"
               "X-Deadline: 20000\r\nAuthorization: Token good\r\n"
               "Content-Length: 0\r\n\r\n");
CHECK(H.runUntil([&] { return A.Requests.size() == 1; }));
ScriptedTarget &B = H.target("i-2");
B.Steps = {{streamAnswerHead() + chunk(Second) + "0\r\n\r\n"}};
CHECK(H.runUntil([&] {
  return H.closed(Caller) ||
         H.received(Caller).find("\r\n0\r\n\r\n") != std::string::npos;
}));
Asked = B.Requests.empty() ? "" : B.Requests.back();
return H.received(Caller);
}
static bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}
}
;

// Guards against an event that comes twice because the next target begins at,
// or before, the last one that the caller has.
TEST(EventStream, aTargetThatRepeatsEventsGoesOnWithNoStream) {
  std::string Asked;
  for (const char *Repeated : {"id: 1\ndata: boom\n\n", "id:2\ndata: boom\n\n",
                               ": x\n\nid: 02\ndata: boom\n\n"}) {
    std::string Answer =
        goOn("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", Repeated, Asked);
    CHECK_TEXT(contains(Asked, "Last-Event-Id: 2\r\n"), Repeated);
    CHECK_FALSE_TEXT(contains(Answer, "boom"), Repeated);
    CHECK_FALSE_TEXT(contains(Answer, "\r\n0\r\n\r\n"), Repeated);
  }
  for (const char *Next : {"id: 3\ndata: e3\n\n", "id: x\ndata: e3\n\n"}) {
    std::string Answer =
        goOn("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", Next, Asked);
    CHECK_TEXT(contains(Answer, "data: e3"), Next);
    CHECK_TEXT(contains(Answer, "\r\n0\r\n\r\n"), Next);
  }
}

// Guards against an event that comes twice because nothing tells the next
// target that the caller has it.
TEST(EventStream, aStreamThatBrokeOffAfterAnEventWithoutAnIdDoesNotGoOn) {
  std::string Asked;
  for (const char *First :
       {"data: e1\n\n", "id: 1\ndata: e1\n\ndata: e2\n\n"}) {
    std::string Answer = goOn(First, "id: 2\ndata: boom\n\n", Asked);
    STRCMP_EQUAL_TEXT("", Asked.c_str(), First);
    CHECK_FALSE_TEXT(contains(Answer, "\r\n0\r\n\r\n"), First);
  }
  goOn("id: 1\ndata: e1\n\n: alive\n\n", "id: 2\ndata: e2\n\n", Asked);
  CHECK(contains(Asked, "Last-Event-Id: 1\r\n"));
}

// Guards against ids that are missed, or read with a line end, where lines end
// otherwise than with a line feed.
TEST(EventStream, linesEndAsTheFormatAllows) {
  std::string Asked;
  for (const char *First : {"id: 1\r\ndata: e1\r\n\r\n", "id: 1\rdata: e1\r\r",
                            "id: 1\r\ndata: e1\n\n", "data: e1\rid: 1\n\n"}) {
    std::string Answer = goOn(First, "id: 2\r\ndata: e2\r\n\r\n", Asked);
    CHECK_TEXT(contains(Answer, First), First);
    CHECK_TEXT(contains(Answer, "id: 2\r\ndata: e2\r\n\r\n"), First);
    CHECK_TEXT(contains(Asked, "Last-Event-Id: 1\r\n"), First);
  }
}

TEST(EventStream, aScanInPartsFindsTheSameEventsAndReadsEachByteOnce) {
  const std::string Text =
      "id: 1\r\n\r\n\n: c\r\rid\ndata\n\ndata: \rid:7\r\n\r\n"
      "id: 8\ndata: never whole";
  for (size_t Part = 1; Part <= Text.size(); ++Part) {
    EventStreamScanner Scanner;
    std::string Held;
    std::string Whole;
    for (size_t At = 0; At < Text.size(); At += Part) {
      Held += Text.substr(At, Part);
      size_t End = Scanner.scan(Held);
      Whole += Held.substr(0, End);
      Held.erase(0, End);
    }
    CHECK_EQUAL(Text.size(), Scanner.scannedBytes());
    STRCMP_EQUAL("id: 8\ndata: never whole", Held.c_str());
    CHECK_EQUAL(Text.size() - Held.size(), Whole.size());
    CHECK_EQUAL(5, Scanner.events());
    STRCMP_EQUAL("1", Scanner.firstId().c_str());
    STRCMP_EQUAL("7", Scanner.lastId().c_str());
  }
}
