// Tests of streams that go on while targets of several software versions serve:
// only the version that began a stream may go on with it.
#include "relay_harness.h"
#include "sockets_p.h"

#include <CppUTest/TestHarness.h>

using namespace shallotlatch;
using Action = TargetStep::Action;

TEST_GROUP(StreamVersions) {
  std::unique_ptr<RelayHarness> H = std::make_unique<RelayHarness>();
  static bool contains(const std::string &Text, const std::string &Part) {
    return Text.find(Part) != std::string::npos;
  }
  /// Begins a stream and returns its caller once it has the first event.
  size_t begin(const std::string &Id, ScriptedTarget &At) {
    At.Steps = {
        {streamAnswerHead() + streamEventChunk(1), Action::Hold, false}};
    size_t Caller = H->connect();
    H->send(Caller, "POST /resume/x HTTP/1.1\r\nHost: h\r\nX-Id: " + Id +
                        "\r\nX-Deadline: 20000\r\nAuthorization: Token good\r\n"
                        "Content-Length: 0\r\n\r\n");
    CHECK(
        H->runUntil([&] { return contains(H->received(Caller), "data: e1"); }));
    At.Steps = {{streamAnswerHead() + streamEventChunk(2) + "0\r\n\r\n",
                 Action::Keep, false}};
    return Caller;
  }
  std::string goOn(const std::string &Id, const std::string &Began) {
    return H->sendRequest("/resume/x", Id, "\r\n\r\n",
                          "Last-Event-Id: 1\r\nX-Resumes: " + Began + "\r\n");
  }
};

TEST(StreamVersions, aCallerTakesItsStreamUpOnlyAtTheVersionThatBeganIt) {
  ScriptedTarget &Old = H->target("i-1", "v1");
  for (int I = 0; I < 12; ++I) {
    H->close(begin("a" + std::to_string(I), Old));
  }
  // The target that began them is busier than the other one.
  begin("c1", Old);
  begin("c2", Old);
  begin("c3", Old);
  ScriptedTarget &New = H->target("i-2", "v2");
  New.Steps = {{streamAnswerHead() + streamEventChunk(2) + "0\r\n\r\n",
                Action::Keep, false}};
  size_t Begun = Old.Requests.size();
  for (int I = 0; I < 12; ++I) {
    std::string Answer = goOn("b" + std::to_string(I), "a" + std::to_string(I));
    CHECK(contains(Answer, " 200 OK"));
  }
  CHECK_EQUAL(0, New.Requests.size());
  CHECK_EQUAL(Begun + 12, Old.Requests.size());
}

TEST(StreamVersions, aBrokenAnswerGoesOnOnlyAtItsVersion) {
  ScriptedTarget &Old = H->target("i-1", "v1");
  Old.Steps = {{streamAnswerHead() + streamEventChunk(1) + "8\r\nid: 3\nda\r\n",
                Action::Reset, false}};
  size_t Caller = H->connect();
  H->send(Caller, "POST /resume/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n"
                  "X-Deadline: 20000\r\nAuthorization: Token good\r\n"
                  "Content-Length: 0\r\n\r\n");
  CHECK(H->runUntil([&] { return Old.Requests.size() == 1; }));
  ScriptedTarget &New = H->target("i-2", "v2");
  New.Steps = {{streamAnswerHead() + streamEventChunk(2) + "0\r\n\r\n",
                Action::Keep, false}};
  CHECK(H->runUntil([&] {
    return H->closed(Caller) || contains(H->received(Caller), "0\r\n\r\n");
  }));
  CHECK_EQUAL(0, New.Requests.size());
  CHECK_FALSE(contains(H->received(Caller), "0\r\n\r\n"));
}

TEST(StreamVersions, aStreamWhoseVersionIsGoneIsRefusedAsNotRun) {
  ScriptedTarget &Old = H->target("i-1", "v1");
  H->close(begin("a1", Old));
  ScriptedTarget &New = H->target("i-2", "v2");
  New.Steps = {{streamAnswerHead() + streamEventChunk(2) + "0\r\n\r\n",
                Action::Keep, false}};
  H->relay().removeTarget("i-1");
  CHECK(contains(goOn("b1", "a1"), " 503 "));
  CHECK_EQUAL(0, New.Requests.size());
}

TEST(StreamVersions, aStreamThatNobodyKnowsIsRefusedWhileVersionsDiffer) {
  ScriptedTarget &Old = H->target("i-1", "v1");
  ScriptedTarget &New = H->target("i-2", "v2");
  CHECK(contains(goOn("b1", "a1"), " 503 "));
  CHECK(contains(goOn("b2", ""), " 503 "));
  CHECK_EQUAL(0, Old.Requests.size() + New.Requests.size());
}

// Callers of earlier releases do not name their streams.
TEST(StreamVersions, aStreamWithoutANameGoesOnWhileThereIsOneVersion) {
  ScriptedTarget &Old = H->target("i-1", "v1");
  Old.Steps = {{streamAnswerHead() + streamEventChunk(2) + "0\r\n\r\n",
                Action::Keep, false}};
  CHECK(contains(goOn("b1", ""), " 200 OK"));
}

TEST(StreamVersions, aStreamThatAnotherHostBeganGoesOnOnceAPeerAnswers) {
  ScriptedTarget &Old = H->target("i-1", "v1");
  ScriptedTarget &New = H->target("i-2", "v2");
  for (ScriptedTarget *T : {&Old, &New}) {
    T->Steps = {{streamAnswerHead() + streamEventChunk(2) + "0\r\n\r\n",
                 Action::Keep, false}};
  }
  H->relay().setHosts(3);
  for (int I = 0; I < 6; ++I) {
    std::string Began = "a" + std::to_string(I);
    size_t Caller = H->connect();
    H->send(Caller, "POST /resume/x HTTP/1.1\r\nHost: h\r\nX-Id: b" +
                        std::to_string(I) +
                        "\r\nX-Deadline: 20000\r\nAuthorization: Token good"
                        "\r\nLast-Event-Id: 1\r\nX-Resumes: " +
                        Began + "\r\nContent-Length: 0\r\n\r\n");
    CHECK(H->runUntil([&] { return H->relay().hasStreamAsks(); }));
    std::vector<StreamAsk> Asks = H->relay().takeStreamAsks(2);
    CHECK(Asks.at(0).Stream == streamId(Began));
    StreamNews Unknown;
    Unknown.Answers = {{Asks[0].Stream, SoftwareId()}};
    H->relay().receive(Unknown);
    STRCMP_EQUAL("", H->received(Caller).c_str());
    StreamNews Known;
    Known.Answers = {{Asks[0].Stream, softwareId("v2")}};
    H->relay().receive(Known);
    CHECK(H->runUntil(
        [&] { return contains(H->received(Caller), "0\r\n\r\n"); }));
  }
  CHECK_EQUAL(0, Old.Requests.size());
  CHECK_EQUAL(6, New.Requests.size());
}

TEST(StreamVersions, aStreamThatNoPeerKnowsIsRefusedSoon) {
  H->target("i-1", "v1");
  H->target("i-2", "v2");
  H->relay().setHosts(3);
  Time Start = ProcessClock::now();
  CHECK(contains(goOn("b1", "a1"), " 503 "));
  CHECK(ProcessClock::now() - Start < millis(1000));
}

// A host whose view of the targets is behind knows one version only, and may
// answer before the host that knows the stream.
TEST(StreamVersions, aGuessByAPeerIsNoKnowledgeOfAStream) {
  ScriptedTarget &Old = H->target("i-1", "v1");
  Old.Steps = {{streamAnswerHead() + streamEventChunk(2) + "0\r\n\r\n",
                Action::Keep, false}};
  H->relay().setHosts(3);
  std::unique_ptr<RelayHarness> Behind = std::make_unique<RelayHarness>();
  std::unique_ptr<RelayHarness> Knowing = std::make_unique<RelayHarness>();
  Behind->target("i-1", "v1");
  Knowing->target("i-1", "v1");
  ServiceId Service = serviceId("app");
  StreamNews Told;
  Told.Answers = {{historyId(Service), softwareId("v1")}};
  Behind->relay().receive(Told);
  StreamNews Notes;
  for (int I = 0; I < 12; ++I) {
    Notes.Notes.push_back(
        {streamId("a" + std::to_string(I)), softwareId("v2")});
  }
  Knowing->relay().receive(Notes);
  for (int I = 0; I < 12; ++I) {
    std::string Began = "a" + std::to_string(I);
    size_t Caller = H->connect();
    H->send(Caller, "POST /resume/x HTTP/1.1\r\nHost: h\r\nX-Id: b" +
                        std::to_string(I) +
                        "\r\nX-Deadline: 20000\r\nAuthorization: Token good"
                        "\r\nLast-Event-Id: 1\r\nX-Resumes: " +
                        Began + "\r\nContent-Length: 0\r\n\r\n");
    CHECK(H->runUntil([&] { return H->relay().hasStreamAsks(); }));
    StreamNews Asked;
    Asked.Asks = H->relay().takeStreamAsks(2);
    for (RelayHarness *Peer : {Behind.get(), Knowing.get()}) {
      StreamNews Reply;
      Reply.Answers = Peer->relay().receive(Asked);
      H->relay().receive(Reply);
    }
    CHECK(H->runUntil([&] { return !H->received(Caller).empty(); }));
    CHECK(contains(H->received(Caller), " 503 "));
  }
  CHECK_EQUAL(0, Old.Requests.size());
}

// A host that was stopped or cut off vouches for what it saw before.
TEST(StreamVersions, aHostVouchesForAVersionOnceTheStoreConfirmsIt) {
  H->target("i-1", "v1");
  ServiceId Service = serviceId("app");
  StreamNews Told;
  Told.Answers = {{historyId(Service), softwareId("v1")}};
  H->relay().receive(Told);
  StreamNews Asked;
  Asked.Host = HostId{7};
  Asked.Asks = {{historyId(Service), Service}};
  H->Store.Answers = false;
  CHECK(H->relay().receive(Asked).empty());
  CHECK(H->relay().takeHistoryAnswers().empty());
  H->Store.Answers = true;
  H->relay().onVersionsConfirmed(bootTime());
  std::map<HostId, std::vector<StreamNote>> Answers =
      H->relay().takeHistoryAnswers();
  CHECK_EQUAL(1, Answers.count(Asked.Host));
  CHECK(Answers[Asked.Host].at(0).Software == softwareId("v1"));
}
