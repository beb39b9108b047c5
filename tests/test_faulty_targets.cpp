// Tests of the relay, over sockets, before targets that write an answer again
// or answer something else than the rest of a stream.
#include "relay_harness.h"

#include <CppUTest/TestHarness.h>

using namespace shallotlatch;
using Action = TargetStep::Action;

static bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

static std::string refusal(const std::string &Id) {
  return "HTTP/1.1 503 Full\r\nX-Id: " + Id +
         "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

TEST_GROUP(RepeatedRefusals) {
  std::unique_ptr<RelayHarness> H = std::make_unique<RelayHarness>();
  static void setSteps(ScriptedTarget & T, std::vector<TargetStep> Steps) {
    T.Steps.assign(Steps.begin(), Steps.end());
  }
  /// Sends requests until one reaches \p T, which may count as full for a while
  /// after a refusal.
  std::string sendUntilRead(ScriptedTarget & T, const std::string &Path,
                            const std::string &Id,
                            const std::string &AwaitedText) {
    size_t Before = T.Requests.size();
    std::string Answer;
    for (int I = 0; I < 200 && T.Requests.size() == Before; ++I) {
      Answer = H->sendRequest(Path, Id, AwaitedText);
    }
    CHECK_EQUAL(Before + 1, T.Requests.size());
    return Answer;
  }
};

// Guards against a refusal that counts for a later request on its connection,
// which then is refused as not run, or sent again, while a target runs it.
TEST(RepeatedRefusals, theyCountForNoOtherRequest) {
  int Number = 0;
  for (const char *Path : {"/once/x", "/safe/x", "/stream/x"}) {
    std::string First = "a" + std::to_string(++Number);
    std::string Second = "b" + std::to_string(Number);
    ScriptedTarget &A = H->target("i-" + First);
    setSteps(A, {{refusal(First), Action::Keep, false}});
    CHECK(contains(sendUntilRead(A, Path, First, "\r\n\r\n"), " 503 "));
    setSteps(A, {{refusal(First) + refusal(First) + streamAnswerHead() +
                      streamEventChunk(1) + "0\r\n\r\n",
                  Action::Keep, false}});
    std::string Answer = sendUntilRead(A, Path, Second, "data: e1");
    CHECK_TEXT(contains(Answer, " 200 "), Path);
    H->relay().removeTarget("i-" + First);
  }
}

// The copy may come before the next request is sent.
TEST(RepeatedRefusals, theyCountForNoOtherRequestIfTheyComeEarly) {
  ScriptedTarget &A = H->target("i-1");
  setSteps(A, {{refusal("a1") + refusal("a1"), Action::Keep, false}});
  CHECK(contains(sendUntilRead(A, "/once/x", "a1", "\r\n\r\n"), " 503 "));
  setSteps(A, {{validAnswer("ran"), Action::Keep, false}});
  CHECK(contains(sendUntilRead(A, "/once/x", "b1", "ran"), " 200 "));
  CHECK_EQUAL(2, A.AcceptedConnections);
}

// A copy that names no request may be anyone's, so it proves nothing.
TEST(RepeatedRefusals, withoutAnIdTheyProveNothing) {
  ScriptedTarget &A = H->target("i-1");
  std::string Nameless = refusal("a1");
  Nameless.erase(Nameless.find("X-Id"),
                 Nameless.find("X-Not-Run") - Nameless.find("X-Id"));
  setSteps(A, {{refusal("a1"), Action::Keep, false}});
  CHECK(contains(sendUntilRead(A, "/once/x", "a1", "\r\n\r\n"), " 503 "));
  setSteps(A, {{Nameless + validAnswer("ran"), Action::Keep, false}});
  CHECK(contains(sendUntilRead(A, "/once/x", "b1", "\r\n\r\n"), " 502 "));
}

// Callers may send a request again under its id. On another connection than
// that of the refusal, what comes first answers the present attempt.
TEST(RepeatedRefusals, aRequestSentAgainUsesAnotherConnection) {
  ScriptedTarget &A = H->target("i-1");
  setSteps(A, {{refusal("a1"), Action::Keep, false}});
  CHECK(contains(sendUntilRead(A, "/once/x", "a1", "\r\n\r\n"), " 503 "));
  setSteps(A, {{validAnswer("ran"), Action::Keep, false}});
  CHECK(contains(sendUntilRead(A, "/once/x", "a1", "ran"), " 200 "));
  CHECK_EQUAL(2, A.AcceptedConnections);
  // Other requests go on using the connections.
  CHECK(contains(sendUntilRead(A, "/once/x", "b1", "ran"), " 200 "));
  CHECK(contains(sendUntilRead(A, "/once/x", "b2", "ran"), " 200 "));
  CHECK_EQUAL(2, A.AcceptedConnections);
}

namespace {

struct OtherAnswer {
  const char *What;
  std::string Bytes;
  Action AfterSend = Action::Keep;
};

std::string answer(const std::string &Status, const std::string &Type,
                   const std::string &Body) {
  return "HTTP/1.1 " + Status + "\r\nX-Id: @ID@\r\nX-Stamp: s2\r\n" +
         "Content-Type: " + Type +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

std::vector<OtherAnswer> otherAnswers() {
  const std::string Events = "id: 3\ndata: boom\n\n";
  return {
      {"500", answer("500 Error", "text/plain", "boom")},
      {"500 with events", answer("500 Error", "text/event-stream", Events)},
      {"500 without length",
       "HTTP/1.1 500 Error\r\nX-Id: @ID@\r\nX-Stamp: s2\r\n\r\nboom",
       Action::Close},
      {"503", answer("503 Full", "text/plain", "boom")},
      {"503 not run", "HTTP/1.1 503 Full\r\nX-Id: @ID@\r\nX-Not-Run: 1\r\n"
                      "Content-Length: 4\r\n\r\nboom"},
      {"400", answer("400 Bad", "text/event-stream", Events)},
      {"404", answer("404 None", "text/plain", "boom\n\n")},
      {"421", answer("421 Other", "text/plain", "boom")},
      {"302", answer("302 Found", "text/event-stream", Events)},
      {"200 of another type", answer("200 OK", "application/json",
                                     "{\"error\":\n\n\"boom\"\n\n}\n\n")},
      {"200 without a type", "HTTP/1.1 200 OK\r\nX-Id: @ID@\r\nX-Stamp: s2\r\n"
                             "Content-Length: 6\r\n\r\nboom\n\n"},
      {"204", "HTTP/1.1 204 None\r\nX-Id: @ID@\r\nX-Stamp: s2\r\n\r\n"},
      {"206", answer("206 Part", "text/event-stream", Events)},
      {"no HTTP", "boom\n\nHTTP/1.1 500 boom\r\n\r\n"},
      {"a second head",
       streamAnswerHead() + "HTTP/1.1 500 boom\r\nX-Id: @ID@\r\n\r\nboom"},
  };
}

} // namespace

TEST_GROUP(StreamContinuations) {
  std::unique_ptr<RelayHarness> H = std::make_unique<RelayHarness>();
};

// Guards against an error, or another answer that is no rest of the stream, in
// the middle of a stream that has begun, and against one that ends it as whole.
TEST(StreamContinuations, anotherAnswerIsNoPartOfAStream) {
  int Number = 0;
  for (const OtherAnswer &Other : otherAnswers()) {
    Action Break = Number % 2 == 0 ? Action::Close : Action::Reset;
    std::string Id = "r" + std::to_string(++Number);
    ScriptedTarget &A = H->target("i-a" + Id);
    A.Steps = {{streamAnswerHead() + streamEventChunk(1) + "8\r\nid: 2\nda\r\n",
                Break, false}};
    size_t Caller = H->connect();
    std::string Request = "POST /resume/" + Id;
    Request += " HTTP/1.1\r\nHost: h\r\nX-Id: " + Id;
    H->send(Caller, Request + "\r\nX-Deadline: 20000\r\nAuthorization: Token "
                              "good\r\nContent-Length: 0\r\n\r\n");
    CHECK(H->runUntil([&] { return A.Requests.size() == 1; }));
    ScriptedTarget &B = H->target("i-b" + Id);
    B.Steps = {{Other.Bytes, Other.AfterSend, false}};
    CHECK_TEXT(H->runUntil([&] {
      return H->closed(Caller) || contains(H->received(Caller), "0\r\n\r\n");
    }),
               Other.What);
    CHECK_EQUAL_TEXT(1, B.Requests.size(), Other.What);
    std::string Answer = H->received(Caller);
    CHECK_TEXT(contains(Answer, "data: e1"), Other.What);
    CHECK_FALSE_TEXT(contains(Answer, "boom"), Other.What);
    CHECK_FALSE_TEXT(contains(Answer, "0\r\n\r\n"), Other.What);
    CHECK_EQUAL_TEXT(std::string::npos, Answer.find("HTTP/1.1", 1), Other.What);
    H->relay().removeTarget("i-a" + Id);
    H->relay().removeTarget("i-b" + Id);
  }
}
