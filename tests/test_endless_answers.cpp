// Tests, over sockets, of servers that send bytes without end: each client
// closes the connection once it has read what an answer may have at most.
#include "http_client_p.h"
#include "platform_store.h"
#include "relay_harness.h"

#include <CppUTest/TestHarness.h>

using namespace shallotlatch;
using Action = TargetStep::Action;

static std::string repeated(const std::string &Part, size_t Bytes) {
  std::string All;
  while (All.size() < Bytes) {
    All += Part;
  }
  return All;
}

static const std::string Start =
    "HTTP/1.1 200 OK\r\nX-Id: @ID@\r\nX-Stamp: s\r\n";
static constexpr size_t HeadBytes = 1024 * 1024;

TEST_GROUP(EndlessAnswers) {
  std::unique_ptr<RelayHarness> H = std::make_unique<RelayHarness>();

  /// Lets a client of its own call a server that sends \p Bytes and keeps the
  /// connection. Returns whether the client ended the call.
  bool httpClientEnds(const std::string &Bytes, HttpResult &Result) {
    ScriptedTarget Server(this->H->Base, "server");
    Server.Steps = {{Bytes, Action::Hold, false}};
    HttpClient Client(this->H->Base);
    HttpRequest Request;
    Request.To = Server.entry().At;
    Request.Path = "/";
    bool Ended = false;
    HttpEvents Events;
    Events.Done = [&](const HttpResult &R) {
      Result = R;
      Ended = true;
    };
    Client.start(std::move(Request), std::move(Events));
    return this->H->runUntil([&] { return Ended; });
  }
};

TEST(EndlessAnswers, theRelayClosesThem) {
  const std::string Chunks = Start + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<const char *, std::string>> Cases = {
      {"status line", "HTTP/1.1 200 " + repeated("x", HeadBytes)},
      {"field", Start + "X: " + repeated("x", HeadBytes)},
      {"fields", Start + repeated("a:\r\n", HeadBytes)},
      {"many short fields", Start + repeated("a:\r\n", 16000)},
      {"interim heads",
       repeated("HTTP/1.1 103 Hints\r\nA: b\r\n\r\n", HeadBytes)},
      {"chunk extension", Chunks + "1;" + repeated("x", HeadBytes)},
      {"trailers", Chunks + "0\r\n" + repeated("A: b\r\n", HeadBytes)},
      {"body", Start + "\r\n" + repeated("x", 9 * HeadBytes)},
      {"body with a length", Start + "Content-Length: 99999999\r\n\r\n" +
                                 repeated("x", 9 * HeadBytes)},
      {"other answers", repeated("HTTP/1.1 200 OK\r\nX-Id: other\r\n"
                                 "Content-Length: 0\r\n\r\n",
                                 HeadBytes)},
  };
  ScriptedTarget *Last = nullptr;
  for (const auto &Case : Cases) {
    ScriptedTarget &A = H->target(Case.first);
    A.Steps = {{Case.second, Action::Hold, false}};
    std::string Answer = H->sendRequest(std::string("/once/") + Case.first[0] +
                                            std::to_string(Case.second.size()),
                                        "r1", "\r\n\r\n");
    CHECK_TEXT(Answer.find(" 502 ") != std::string::npos, Case.first);
    CHECK_TEXT(H->runUntil([&] { return A.ClosedConnections == 1; }),
               Case.first);
    H->relay().removeTarget(Case.first);
    Last = &A;
  }
  CHECK(Last != nullptr);
  H->target("sound");
  CHECK(H->sendRequest("/once/x", "r2", "fine").find(" 200 ") !=
        std::string::npos);
}

TEST(EndlessAnswers, theRelayClosesAnEventWithoutEndAndBytesAfterAnAnswer) {
  ScriptedTarget &A = H->target("i-1");
  A.Steps = {{streamAnswerHead() + streamEventChunk(1) + "ffffffff\r\n" +
                  repeated("x", 9 * HeadBytes),
              Action::Hold, false}};
  std::string Answer = H->sendRequest("/stream/x", "r1", "\r\n0\r\n\r\n");
  CHECK(Answer.find("data: e1\n\n\r\n") + 12 == Answer.size());
  CHECK(H->runUntil([&] { return A.ClosedConnections == 1; }));
  H->relay().removeTarget("i-1");
  ScriptedTarget &B = H->target("i-2");
  B.Steps = {
      {validAnswer("whole") + repeated("x", HeadBytes), Action::Hold, false}};
  CHECK(H->sendRequest("/once/x", "r2", "whole").find(" 200 ") !=
        std::string::npos);
  CHECK(H->runUntil([&] { return B.ClosedConnections == 1; }));
}

TEST(EndlessAnswers, theClientOfTheStoreClosesThem) {
  ScriptedTarget Server(H->Base, "store");
  Server.Steps = {{"HTTP/1.1 200 OK\r\n\r\n" + repeated("x", 17 * HeadBytes),
                   Action::Hold, false}};
  platform::PlatformStore Store(H->Base, Server.entry().At);
  bool Ended = false;
  Store.watch(DirectoryKind::Targets, 1, seconds(600),
              ReadConsistency::MayBeStale, [&](DirectoryReply &&R) {
                Ended = R.Result == DirectoryReply::Status::Failed;
              });
  // So many bytes take more iterations than one wait has.
  for (int I = 0; I < 4 && !Ended; ++I) {
    H->runUntil([&] { return Ended; });
  }
  CHECK(Ended);
  CHECK(H->runUntil([&] { return Server.ClosedConnections == 1; }));
}

TEST(EndlessAnswers, theClientOfTheDaemonClosesThem) {
  const std::string Chunks =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string &Bytes :
       {"HTTP/1.1 200 " + repeated("x", HeadBytes),
        "HTTP/1.1 200 OK\r\n" + repeated("A: b\r\n", HeadBytes),
        repeated("HTTP/1.1 100 Continue\r\nA: b\r\n\r\n", HeadBytes),
        Chunks + "0\r\n" + repeated("A: b\r\n", HeadBytes)}) {
    HttpResult Result;
    CHECK_TEXT(httpClientEnds(Bytes, Result), Bytes.substr(0, 40).c_str());
    CHECK_FALSE(Result.Complete);
  }
}

// Guards against an interim head, or a connection that ends, taken for a whole
// answer.
TEST(EndlessAnswers, theClientOfTheDaemonTakesNoPartForAnAnswer) {
  HttpResult Result;
  CHECK(httpClientEnds("HTTP/1.1 103 Hints\r\nContent-Length: 3\r\n\r\n",
                       Result));
  CHECK_FALSE(Result.Complete);
  ScriptedTarget Server(H->Base, "server");
  Server.Steps = {{"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\npart",
                   Action::Close, false}};
  HttpClient Client(H->Base);
  HttpRequest Request;
  Request.To = Server.entry().At;
  Request.Path = "/";
  bool Ended = false;
  HttpEvents Events;
  Events.Done = [&](const HttpResult &R) {
    Result = R;
    Ended = true;
  };
  Client.start(std::move(Request), std::move(Events));
  CHECK(H->runUntil([&] { return Ended; }));
  CHECK_FALSE(Result.Complete);
}
