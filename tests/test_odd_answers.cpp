// Tests of answers that end before their requests were sent whole, and of
// status codes that HTTP does not have.
#include "tunnel_peers.h"

#include "http_client_p.h"

using namespace shallotlatch;
using Action = TargetStep::Action;

static const std::string OpenEnded =
    "HTTP/1.1 200 OK\r\nX-Id: @ID@\r\nX-Stamp: s\r\n"
    "Content-Type: text/event-stream\r\n\r\n";

// More than the sockets on the way to a target take, and what a host and its
// peer hold together.
static constexpr size_t MaxUpload = 3000000;
static constexpr size_t MiddleUpload = 900000;

static bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

TEST_GROUP(OddAnswers) {
  std::unique_ptr<RelayHarness> H = std::make_unique<RelayHarness>();
  /// Sends a request with a body of \p Size and returns the answer.
  std::string upload(const std::string &Path, const std::string &Id,
                     size_t Size) {
    size_t Caller = H->connect();
    H->send(Caller, "POST " + Path + " HTTP/1.1\r\nHost: h\r\nX-Id: " + Id +
                        "\r\nX-Deadline: 20000\r\nAuthorization: Token good"
                        "\r\nConnection: close\r\nContent-Length: " +
                        std::to_string(Size) + "\r\n\r\n" +
                        std::string(Size, 'x'));
    CHECK(H->runUntil([&] { return H->closed(Caller); }));
    return H->received(Caller);
  }
};

// The target takes part of the upload and ends its answer, as before a reset.
TEST(OddAnswers, anAnswerThatEndsWhileTheUploadIsWrittenIsNotWhole) {
  ScriptedTarget &T = H->target("i-1");
  for (const char *Path : {"/once/x", "/stream/x"}) {
    T.Steps = {{OpenEnded + "id: 1\ndata: part\n\n", Action::HalfClose, true}};
    std::string Answer = upload(Path, std::string("r") + Path[1], MaxUpload);
    // What a stream has passed on ends without its last chunk.
    CHECK_TEXT(contains(Answer, " 502 ") || contains(Path, "stream"),
               Answer.c_str());
    CHECK_TEXT(!contains(Answer, "\r\n0\r\n"), Answer.c_str());
  }
}

TEST(OddAnswers, anAnswerWithALengthMayComeBeforeTheUploadIsWritten) {
  ScriptedTarget &T = H->target("i-1");
  T.Steps = {{validAnswer("early"), Action::HalfClose, true}};
  CHECK(contains(upload("/once/x", "r1", MaxUpload), "early"));
}

// Also through a peer, which has the rest of the upload in its hands.
TEST(OddAnswers, anAnswerThatEndsWhileAPeerWritesTheUploadIsNotWhole) {
  RefusingPort Dead;
  PassingPeer Peer(*H, 4, MemoryBudgetInit());
  H->relay().setLimitHosts(Asking, {Asking}, {Asking, Passing});
  H->relay().setTunnelPeers({Peer.entry()});
  ScriptedTarget &T = H->target("i-1");
  TargetEntry Entry = T.entry();
  Entry.Software = "v1";
  Peer.Relay->setTarget(Entry);
  Entry.At = Dead.At;
  H->relay().setTarget(Entry);
  for (size_t Size : {MiddleUpload, MaxUpload}) {
    T.Steps = {{OpenEnded + "part", Action::HalfClose, true}};
    std::string Answer = upload("/once/x", "r" + std::to_string(Size), Size);
    CHECK_TEXT(contains(Answer, " 502 "), Answer.c_str());
  }
  CHECK_EQUAL(2, T.Requests.size());
  H.reset();
}

TEST(OddAnswers, aStatusThatHttpDoesNotHaveIsNoAnswer) {
  ScriptedTarget &T = H->target("i-1");
  const std::string Rest = "\r\nX-Id: @ID@\r\nX-Stamp: s\r\n"
                           "Content-Length: 4\r\n\r\nodd!";
  int Number = 0;
  for (const char *Status :
       {"000 No", "099 No", "101 Switching Protocols", "600 No", "999 No"}) {
    for (const std::string &Behind : {std::string(), validAnswer("second")}) {
      std::string Bytes = "HTTP/1.1 ";
      Bytes += Status;
      Bytes += Rest;
      Bytes += Behind;
      T.Steps = {{Bytes, Action::Close}};
      std::string Answer =
          H->sendRequest("/once/x", "r" + std::to_string(++Number), "\r\n\r\n");
      CHECK_TEXT(contains(Answer, "HTTP/1.1 502 "), Answer.c_str());
      CHECK_TEXT(!contains(Answer, "odd!") && !contains(Answer, "second"),
                 Answer.c_str());
    }
  }
}

TEST(OddAnswers, aStatusWithoutABodyIsNoAnswerEither) {
  ScriptedTarget &T = H->target("i-1");
  T.Steps = {{"HTTP/1.1 000 No\r\n\r\n" + validAnswer("second")}};
  std::string Answer = H->sendRequest("/once/x", "r1", "\r\n\r\n");
  CHECK_TEXT(contains(Answer, "HTTP/1.1 502 "), Answer.c_str());
}

TEST(OddAnswers, theDaemonTakesNoStatusThatHttpDoesNotHave) {
  ScriptedTarget &T = H->target("i-1");
  for (const char *Status : {"099", "600", "999"}) {
    T.Steps = {{std::string("HTTP/1.1 ") + Status +
                    " No\r\nContent-Length: 2\r\n\r\nno",
                Action::Close}};
    HttpClient Client(H->Base);
    HttpRequest Request;
    Request.To = T.entry().At;
    Request.Path = "/";
    HttpResult Result;
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
}
