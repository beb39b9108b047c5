// Tests of targets that start again under their name and address: until the
// entry of the new process is read, no stream goes on there.
#include "relay_harness.h"
#include "run_doubts_p.h"
#include "sockets_p.h"

#include <CppUTest/TestHarness.h>

using namespace shallotlatch;
using Action = TargetStep::Action;

TEST_GROUP(TargetRuns) {
  std::unique_ptr<RelayHarness> H = std::make_unique<RelayHarness>();
  static bool contains(const std::string &Text, const std::string &Part) {
    return Text.find(Part) != std::string::npos;
  }
  /// Sends a request for a stream; with \p Began, for one to go on with.
  size_t ask(const std::string &Id, const std::string &Began = "") {
    size_t Caller = H->connect();
    std::string Resumes = "Last-Event-Id: 1\r\nX-Resumes: " + Began + "\r\n";
    H->send(Caller,
            "POST /resume/x HTTP/1.1\r\nHost: h\r\nX-Id: " + Id +
                "\r\nX-Deadline: 1500\r\nAuthorization: Token good\r\n" +
                (Began.empty() ? "" : Resumes) + "Content-Length: 0\r\n\r\n");
    return Caller;
  }
  /// Begins a stream that its target holds open, up to the first event.
  size_t begin(const std::string &Id, ScriptedTarget &At) {
    At.Steps = {
        {streamAnswerHead() + streamEventChunk(1), Action::Hold, false}};
    size_t Caller = this->ask(Id);
    CHECK(
        H->runUntil([&] { return contains(H->received(Caller), "data: e1"); }));
    At.Steps = {{streamAnswerHead() + streamEventChunk(2) + "0\r\n\r\n",
                 Action::Keep, false}};
    return Caller;
  }
  /// Returns what a caller gets that goes on with the stream \p Began.
  std::string goOn(const std::string &Id, const std::string &Began) {
    size_t Caller = this->ask(Id, Began);
    CHECK(H->runUntil([&] { return !H->received(Caller).empty(); }));
    return H->received(Caller);
  }
  /// Ends the process of a target. Returns once its callers have lost it.
  void restart(ScriptedTarget & Target, size_t Caller) {
    Target.breakConnections();
    CHECK(H->runUntil([&] { return H->closed(Caller); }));
  }
};

TEST(TargetRuns, aStreamDoesNotReturnToATargetThatBrokeItsConnections) {
  ScriptedTarget &Old = H->target("i-1", "v1");
  H->target("i-2", "v2");
  size_t Caller = begin("a1", Old);
  size_t Begun = Old.Requests.size();
  restart(Old, Caller);
  CHECK(contains(goOn("b1", "a1"), " 503 "));
  CHECK_EQUAL(Begun, Old.Requests.size());
  TargetEntry Next = Old.entry();
  Next.Software = "v2";
  Next.StartedAtMs = 1;
  H->relay().setTarget(Next);
  CHECK(contains(goOn("b2", "a1"), " 503 "));
  CHECK_EQUAL(Begun, Old.Requests.size());
}

TEST(TargetRuns, aBrokenStreamGoesOnAtAnotherTargetOfItsVersion) {
  ScriptedTarget &Old = H->target("i-1", "v1");
  size_t Caller = begin("a1", Old);
  size_t Begun = Old.Requests.size();
  restart(Old, Caller);
  ScriptedTarget &Other = H->target("i-2", "v1");
  Other.Steps = Old.Steps;
  for (int I = 0; I < 6; ++I) {
    CHECK(contains(goOn("b" + std::to_string(I), "a1"), " 200 OK"));
  }
  CHECK_EQUAL(Begun, Old.Requests.size());
}

TEST(TargetRuns, aStreamThatAProcessInDoubtBeganGoesOnNowhere) {
  ScriptedTarget &Old = H->target("i-1", "v1");
  restart(Old, begin("a1", Old));
  size_t Caller = begin("c1", Old);
  ScriptedTarget &Other = H->target("i-2", "v1");
  Other.Steps = Old.Steps;
  restart(Old, Caller);
  CHECK(contains(goOn("b1", "c1"), " 503 "));
  CHECK_EQUAL(0, Other.Requests.size());
  CHECK(contains(goOn("b2", "a1"), " 200 OK"));
}

TEST(TargetRuns, anIdleConnectionThatATargetClosesEarlyPutsItInDoubt) {
  ScriptedTarget &Old = H->target("i-1", "v1");
  H->close(begin("a1", Old));
  Old.Steps.push_front({validAnswer("fine"), Action::Keep, false});
  CHECK(contains(H->sendRequest("/safe/x", "s1", "fine"), " 200 OK"));
  size_t Begun = Old.Requests.size();
  CHECK(H->runUntil([&] { return Old.ClosedConnections > 0; }));
  Old.breakConnections();
  CHECK(H->runUntil([&] { return H->relay().targetClientStats().Idle == 0; }));
  CHECK(contains(goOn("b1", "a1"), " 503 "));
  CHECK_EQUAL(Begun, Old.Requests.size());
}

// The target broke one answer only, so that the other connection remains.
TEST(TargetRuns, aTargetThatKeepsAConnectionGoesOnWithItsStreams) {
  ScriptedTarget &Old = H->target("i-1", "v1");
  begin("a1", Old);
  Old.Steps.push_front({"", Action::Reset, false});
  CHECK(contains(H->sendRequest("/once/x", "o1", "\r\n\r\n"), " 502 "));
  CHECK(contains(goOn("b1", "a1"), " 200 OK"));
}

TEST(TargetRuns, aStreamDoesNotReturnToATargetThatAPeerFoundDead) {
  ScriptedTarget &Old = H->target("i-1", "v1");
  H->close(begin("a1", Old));
  CHECK(H->runUntil([&] { return Old.ClosedConnections > 0; }));
  size_t Begun = Old.Requests.size();
  H->relay().hearDeadTargets(HostId{7}, {Old.entry().shortIdentity()});
  CHECK(contains(goOn("b1", "a1"), " 503 "));
  CHECK_EQUAL(Begun, Old.Requests.size());
}

TEST(TargetRuns, aConnectionOutweighsAPeerThatFoundItsTargetDead) {
  ScriptedTarget &Old = H->target("i-1", "v1");
  begin("a1", Old);
  H->relay().hearDeadTargets(HostId{7}, {Old.entry().shortIdentity()});
  CHECK(contains(goOn("b1", "a1"), " 200 OK"));
}

TEST(TargetRuns, aPeerThatFindsMostTargetsDeadIsCutOff) {
  ScriptedTarget &Old = H->target("i-1", "v1");
  H->close(begin("a1", Old));
  CHECK(H->runUntil([&] { return Old.ClosedConnections > 0; }));
  std::vector<uint32_t> Dead{Old.entry().shortIdentity()};
  for (const char *Name : {"i-2", "i-3", "i-4"}) {
    Dead.push_back(H->target(Name, "v2").entry().shortIdentity());
  }
  H->relay().hearDeadTargets(HostId{7}, Dead);
  CHECK(contains(goOn("b1", "a1"), " 200 OK"));
}

TEST(TargetRuns, aDoubtEndsOnceTheEntryOutlivesADeadProcess) {
  RunDoubts D(seconds(5));
  Time Start = Time() + seconds(100);
  CHECK(D.suspect(1, Start));
  D.tick(Start + seconds(3), Duration(0), true);
  // While the store is away, the entry cannot be replaced.
  D.tick(Start + seconds(10), seconds(6), false);
  D.tick(Start + seconds(14), Duration(0), true);
  CHECK_TRUE(D.inDoubt(1));
  // The store has not been read lately.
  D.tick(Start + seconds(16), seconds(2), true);
  CHECK_TRUE(D.inDoubt(1));
  D.tick(Start + seconds(16), Duration(0), true);
  CHECK_FALSE(D.inDoubt(1));
  CHECK_EQUAL(0, D.size());
}

TEST(TargetRuns, doubtsAboutMostTargetsShowACutOfTheHost) {
  RunDoubts D(seconds(5));
  Time Start = Time() + seconds(100);
  D.setConnected(2);
  D.suspect(1, Start);
  D.suspect(2, Start);
  CHECK_TRUE(D.inDoubt(1));
  D.suspect(3, Start);
  CHECK_FALSE(D.inDoubt(1));
  D.forget(3);
  CHECK_TRUE(D.inDoubt(1));
}
