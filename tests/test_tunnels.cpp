// Tests of tunnels between hosts over sockets: what a peer passes on, how
// tunnels end, and what follows from a peer's refusal.
#include "connect_probe_p.h"
#include "tunnel_peers.h"

#include <CppUTest/TestHarness.h>

#include <array>

using namespace shallotlatch;
using Action = TargetStep::Action;

namespace {

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

/// An answer without a length, which ends with its connection.
std::string openEndedAnswer(const std::string &Id) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + Id + "\r\nX-Stamp: s1\r\n\r\nwhole";
}

} // namespace

TEST_GROUP(Tunnels) {
  RefusingPort Dead;
  // Requests that find no target are refused soon, as their objective is short.
  std::unique_ptr<RelayHarness> H =
      std::make_unique<RelayHarness>(seconds(3600), millis(2500), millis(100));
  std::unique_ptr<PassingPeer> Peer;
  std::unique_ptr<ScriptedPeer> Other;

  void setup() override { this->startPeer(8, MemoryBudgetInit()); }
  void startPeer(uint32_t MaxTunnels, const MemoryBudgetInit &Memory) {
    Peer.reset();
    Peer = std::make_unique<PassingPeer>(*H, MaxTunnels, Memory);
    Other = std::make_unique<ScriptedPeer>(H->Base);
    H->relay().setLimitHosts(Asking, {Asking}, {Asking, Passing});
    H->relay().setTunnelPeers({Peer->entry()});
  }
  void teardown() override {
    Peer.reset();
    Other.reset();
    H.reset();
  }
  /// A target that the peer reaches; the asking host's connections are refused.
  ScriptedTarget &cutTarget(const std::string &Instance,
                            const std::string &Software = "v1") {
    ScriptedTarget &T = H->target(Instance, Software);
    TargetEntry Entry = T.entry();
    Entry.Software = Software;
    Peer->Relay->setTarget(Entry);
    Entry.At = Dead.At;
    H->relay().setTarget(Entry);
    return T;
  }
  /// Sends a request on a connection that stays open; returns the caller.
  size_t begin(const std::string &Path, const std::string &Id,
               const std::string &Extra = "Connection: close\r\n") {
    size_t Caller = H->connect();
    H->send(Caller, "POST " + Path + " HTTP/1.1\r\nHost: h\r\nX-Id: " + Id +
                        "\r\nX-Deadline: 20000\r\nAuthorization: Token good"
                        "\r\n" +
                        Extra + "Content-Length: 4\r\n\r\nbody");
    return Caller;
  }
  /// Sends a request and returns the answer once its connection has ended.
  std::string ask(const std::string &Path, const std::string &Id) {
    size_t Caller = this->begin(Path, Id);
    CHECK(H->runUntil([this, Caller] { return H->closed(Caller); }));
    return H->received(Caller);
  }
};

TEST(Tunnels, answersPassUnchanged) {
  std::string Stream = streamAnswerHead();
  for (int I = 1; I <= 300; ++I) {
    Stream += streamEventChunk(I);
  }
  const std::array<std::pair<const char *, TargetStep>, 6> Rows = {{
      {"/safe/x", {validAnswer("fine")}},
      {"/safe/x", {validAnswer(std::string(3000000, 'x'))}},
      {"/safe/x", {openEndedAnswer("@ID@"), Action::Close}},
      {"/safe/x", {validAnswer("no", "404 Not Found")}},
      {"/stream/x", {Stream + "0\r\n\r\n"}},
      {"/once/x", {validAnswer("early"), Action::Keep, true}},
  }};
  for (const auto &Row : Rows) {
    RelayHarness Direct;
    ScriptedTarget &Reached = Direct.target("a");
    Reached.Steps = {Row.second};
    ScriptedTarget &Cut = this->cutTarget("a");
    Cut.Steps = {Row.second};
    std::string Answer = this->ask(Row.first, "r");
    size_t Caller = Direct.connect();
    Direct.send(Caller, std::string("POST ") + Row.first +
                            " HTTP/1.1\r\nHost: h\r\nX-Id: r\r\nX-Deadline: "
                            "20000\r\nAuthorization: Token good\r\nConnection: "
                            "close\r\nContent-Length: 4\r\n\r\nbody");
    CHECK(Direct.runUntil([&Direct, Caller] { return Direct.closed(Caller); }));
    CHECK(Answer == Direct.received(Caller));
    CHECK_EQUAL(1, Cut.Requests.size());
    std::string &Passed = Cut.Requests.front();
    std::string &Sent = Reached.Requests.front();
    // The time left to the deadline differs.
    for (std::string *Text : {&Passed, &Sent}) {
      size_t At = Text->find("X-Deadline: ");
      Text->erase(At, Text->find("\r\n", At) - At);
    }
    STRCMP_EQUAL(Sent.c_str(), Passed.c_str());
  }
  CHECK(H->runUntil([this] { return Peer->Server->idle(); }));
  CHECK_EQUAL(0, Peer->Budget.connections());
  CHECK_EQUAL(0, Peer->Budget.held());
}

TEST(Tunnels, onlyACloseByTheTargetEndsAnAnswerWithoutLength) {
  ScriptedTarget &T = this->cutTarget("a");
  T.Steps = {{openEndedAnswer("@ID@"), Action::Close}};
  CHECK(contains(this->ask("/once/x", "r1"), " 200 "));
  T.Steps = {{openEndedAnswer("@ID@"), Action::Reset}};
  CHECK(contains(this->ask("/once/x", "r2"), " 502 "));
  CHECK_EQUAL(2, T.Requests.size());
}

TEST(Tunnels, aTunnelThatEndsAtAnyByteCompletesNothing) {
  this->cutTarget("a");
  H->relay().setTunnelPeers({Other->entry()});
  const std::string Open = encodeTunnelAnswer(TunnelAnswer());
  const std::string Id = "r1000";
  const std::string Answer = openEndedAnswer(Id);
  const std::string All = Open + frameHead(40) + Answer.substr(0, 40) +
                          frameHead(Answer.size() - 40) + Answer.substr(40) +
                          tunnelEnd(TunnelEnd::Closed);
  // No answer ends before its request has come.
  Other->BytesBeforeRequest = Open.size();
  for (Action End : {Action::Close, Action::Reset}) {
    Other->AfterSend = End;
    // A reset may take back bytes that were sent before it.
    size_t Last = End == Action::Close ? All.size() : All.size() - 1;
    for (size_t Length = 0; Length <= Last; ++Length) {
      Other->Bytes = All.substr(0, Length);
      Other->Received.clear();
      std::string Text = this->ask("/once/x", Id);
      const char *Status = Length == All.size()   ? " 200 "
                           : Length < Open.size() ? " 503 "
                                                  : " 502 ";
      bool MayBeEither = End == Action::Reset && Length >= Open.size();
      if (!contains(Text, Status) &&
          !(MayBeEither && contains(Text, " 503 "))) {
        FAIL(("after " + std::to_string(Length) + " bytes: " + Text).c_str());
      }
      CHECK(Length == All.size() || !contains(Text, "whole"));
      if (Length < Open.size()) {
        STRCMP_EQUAL("", Other->Received.c_str());
      }
    }
  }
}

TEST(Tunnels, whatIsNoTunnelLeadsElsewhereAndRunsOnce) {
  const std::string Long("\xff\xff\xff\x7f garbage", 12);
  const std::string BadFrame = frameHead(16) + std::string(16, '\x7f');
  struct Row {
    std::string Bytes;
    Action After;
    bool Answers = true;
  };
  std::vector<Row> Rows = {
      {Long, Action::Hold},      {BadFrame, Action::Hold},
      {"", Action::Close},       {"", Action::Reset},
      {"", Action::Hold, false}, {tunnelEnd(TunnelEnd::Closed), Action::Hold}};
  for (uint8_t I = 0; I < TunnelRefusalCount; ++I) {
    Rows.push_back(
        {encodeTunnelAnswer(static_cast<TunnelRefusal>(I)), Action::Hold});
  }
  int Number = 0;
  for (const Row &R : Rows) {
    ++Number;
    Other->Bytes = R.Bytes;
    Other->AfterSend = R.After;
    Other->Answers = R.Answers;
    uint32_t Before = Other->Asked;
    std::string Name = "a" + std::to_string(Number);
    ScriptedTarget &A = this->cutTarget(Name);
    ScriptedTarget &B = H->target("b" + std::to_string(Number));
    // The own domain's peer is asked first.
    H->relay().setTunnelPeers({});
    H->relay().setTunnelPeers({Other->entry(), Peer->entry()});
    bool Asked = false;
    for (int I = 0; I < 8 && !Asked; ++I) {
      std::string Id = "r" + std::to_string(Number) + "-" + std::to_string(I);
      CHECK(contains(this->ask("/once/x", Id), " 200 "));
      Asked = Other->Asked > Before;
      CHECK_EQUAL(I + 1, A.Requests.size() + B.Requests.size());
    }
    CHECK(Asked);
    STRCMP_EQUAL("", Other->Received.c_str());
    for (const std::string &Gone : {Name, "b" + std::to_string(Number)}) {
      H->relay().removeTarget(Gone);
    }
  }
  // An earlier release has no listener for tunnels.
  this->cutTarget("last");
  H->relay().setTunnelPeers({{Scripted, Dead.At, true}, Peer->entry()});
  CHECK(contains(this->ask("/once/x", "last"), " 200 "));
}

TEST(Tunnels, aPeerThatStopsEndsItsTunnelsFirst) {
  ScriptedTarget &T = this->cutTarget("a");
  T.Steps = {{streamAnswerHead() + streamEventChunk(1), Action::Hold}};
  size_t Caller = this->begin("/stream/x", "r1");
  CHECK(H->runUntil(
      [this, Caller] { return contains(H->received(Caller), "data: e1"); }));
  Peer->Server->stop();
  CHECK(contains(this->ask("/safe/x", "r2"), " 503 "));
  CHECK_EQUAL(1, T.Requests.size());
  CHECK(!H->closed(Caller));
  CHECK(!Peer->Server->idle());
  H->close(Caller);
  CHECK(H->runUntil([this] { return Peer->Server->idle(); }));
  CHECK(H->runUntil([&T] { return T.ClosedConnections == 1; }));
}

TEST(Tunnels, hostsThatBothLostTheirPathsDoNotLoop) {
  ScriptedTarget &T = this->cutTarget("a");
  TargetEntry Entry = T.entry();
  Entry.At = Dead.At;
  Peer->Relay->setTarget(Entry);
  CHECK(contains(this->ask("/once/x", "r1"), " 503 "));
  CHECK_EQUAL(0, T.AcceptedConnections);
  CHECK(Peer->Server->stats().Refused <= 4);
}

TEST(Tunnels, aPeerWithoutRoomRefuses) {
  MemoryBudgetInit Small;
  Small.LimitBytes = 1;
  MemoryBudgetInit Few;
  Few.MaxConnections = 1;
  const std::array<std::pair<uint32_t, MemoryBudgetInit>, 3> Rows = {
      {{0, MemoryBudgetInit()}, {8, Small}, {8, Few}}};
  for (const auto &Row : Rows) {
    this->startPeer(Row.first, Row.second);
    ScriptedTarget &T = this->cutTarget("a");
    CHECK(contains(this->ask("/once/x", "r1"), " 503 "));
    CHECK_EQUAL(0, T.AcceptedConnections);
    CHECK(Peer->Server->stats().Refused > 0);
  }
}

TEST(Tunnels, aTargetThatOnlyThePeerKnowsToLeaveIsNotReached) {
  ScriptedTarget &A = this->cutTarget("a");
  TargetEntry Entry = A.entry();
  Entry.Leaving = true;
  Peer->Relay->setTarget(Entry);
  CHECK(contains(this->ask("/once/x", "r1"), " 503 "));
  CHECK_EQUAL(0, A.AcceptedConnections);
  // It leaves, which is no death.
  CHECK_EQUAL(0, H->relay().crashes().deadTargets(ProcessClock::now()).size());
  this->cutTarget("b");
  CHECK(contains(this->ask("/once/x", "r2"), " 200 "));
}

// What is held may not grow with what the other side does not read.
TEST(Tunnels, slowReadersHoldTheSendersBack) {
  constexpr size_t Whole = 64 * 1024 * 1024;
  constexpr size_t MaxHeld = 24 * 1024 * 1024;
  RawTarget Target;
  TargetEntry Entry = this->cutTarget("a").entry();
  Entry.At = Target.At;
  Peer->Relay->setTarget(Entry);
  // The caller of a stream that reads nothing.
  int Caller = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in To = toSockaddr(H->relay().callerAddress());
  CHECK_EQUAL(0,
              connect(Caller, reinterpret_cast<sockaddr *>(&To), sizeof(To)));
  const std::string Request =
      "POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Deadline: 20000\r\n"
      "Authorization: Token good\r\nContent-Length: 4\r\n\r\nbody";
  CHECK(::send(Caller, Request.data(), Request.size(), 0) > 0);
  CHECK(H->runUntil([&Target] { return Target.accept(); }));
  CHECK(H->runUntil([&Target] { return Target.read() > 0; }));
  std::string Answer = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Stamp: s1\r\n"
                       "Content-Type: text/event-stream\r\n\r\n";
  const std::string Event = "data: " + std::string(1000, 'x') + "\n\n";
  size_t Sent = 0;
  // The flow stops once nothing can be sent in so many rounds of the loop.
  int Idle = 0;
  CHECK(H->runUntil([&] {
    while (Answer.size() < 256 * 1024) {
      Answer += Event;
    }
    ssize_t Done = Target.write(Answer);
    Idle = Done > 0 ? 0 : Idle + 1;
    Sent += Done > 0 ? static_cast<size_t>(Done) : 0;
    Answer.erase(0, Done > 0 ? static_cast<size_t>(Done) : 0);
    return Sent > Whole || Idle > 50;
  }));
  CHECK(Sent < MaxHeld);
  close(Caller);
  CHECK(H->runUntil([this] { return Peer->Server->idle(); }));
}

// A connection that the peer gives up after no answer shows no crash.
TEST(Tunnels, theSilenceOfATargetBehindAPeerIsNoCrash) {
  RawTarget Target;
  TargetEntry Entry = this->cutTarget("a").entry();
  Entry.At = Target.At;
  Peer->Relay->setTarget(Entry);
  size_t Caller = H->connect();
  // More than the buffers take, of which the target reads nothing.
  const size_t Length = 2 * 1024 * 1024;
  H->send(Caller, "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Deadline: "
                  "20000\r\nAuthorization: Token good\r\nConnection: "
                  "close\r\nContent-Length: " +
                      std::to_string(Length) + "\r\n\r\n" +
                      std::string(Length, 'x'));
  CHECK(H->runUntil([this, Caller] { return H->closed(Caller); }));
  CHECK(contains(H->received(Caller), " 502 "));
  // The target's death would confirm a crash.
  H->relay().removeTarget("a");
  CHECK_EQUAL(0, H->relay().crashes().suspectCount());
}

TEST(Tunnels, aTargetThatLeavesWhileItsTunnelOpensGetsNothing) {
  ScriptedTarget &A = this->cutTarget("a");
  H->relay().setTunnelPeers({Other->entry()});
  Other->Bytes = encodeTunnelAnswer(TunnelAnswer());
  Other->Answers = false;
  size_t Caller = this->begin("/once/x", "r1");
  CHECK(H->runUntil([this] { return Other->Asked == 1; }));
  TargetEntry Entry = A.entry();
  Entry.At = Dead.At;
  Entry.Leaving = true;
  H->relay().setTarget(Entry);
  this->cutTarget("b");
  H->relay().setTunnelPeers({Peer->entry()});
  Other->answerWaiting();
  CHECK(H->runUntil([this, Caller] { return H->closed(Caller); }));
  CHECK(contains(H->received(Caller), " 200 "));
  STRCMP_EQUAL("", Other->Received.c_str());
}

TEST(Tunnels, aStreamGoesOnOnlyAtItsVersion) {
  ScriptedTarget &A = this->cutTarget("a", "v1");
  A.Steps = {{streamAnswerHead() + streamEventChunk(1), Action::Hold}};
  size_t Caller = this->begin("/resume/x", "r1");
  CHECK(H->runUntil(
      [this, Caller] { return contains(H->received(Caller), "data: e1"); }));
  ScriptedTarget &B = this->cutTarget("b", "v2");
  ScriptedTarget &C = this->cutTarget("c", "v1");
  C.Steps = {{streamAnswerHead() + streamEventChunk(2) + "0\r\n\r\n"}};
  // The end of the peer's process breaks the stream off.
  Peer->startServer(*H, 8);
  H->relay().setTunnelPeers({Peer->entry()});
  CHECK(H->runUntil([this, Caller] { return H->closed(Caller); }));
  CHECK_EQUAL(0, B.Requests.size());
  CHECK_EQUAL(1, C.Requests.size());
  CHECK(contains(H->received(Caller), "data: e2"));
}

namespace {

struct ProbeRecorder : public ConnectProbeEvents {
  void onProbeEnd(TargetRunId, bool Connected) override {
    this->Results.push_back(Connected);
  }
  std::vector<bool> Results;
};

} // namespace

TEST(Tunnels, aProbeThatFailsAtOnceEnds) {
  ProbeRecorder Seen;
  ConnectProbes Probes(H->Base, Seen);
  // No route leads there, which connect() tells at once.
  Probes.start(TargetRunId{1}, Address{"224.0.0.1", 9});
  Probes.start(TargetRunId{2}, Dead.At);
  ScriptedTarget &T = H->target("a");
  Probes.start(TargetRunId{3}, T.entry().At);
  CHECK(H->runUntil([&Seen] { return Seen.Results.size() == 3; }));
  CHECK_EQUAL(0, Probes.size());
}
