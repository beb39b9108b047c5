// Tests of answers that refuse a request without the proof that it did not run.
// They guard against callers that send a request again which has run.
#include "tunnel_peers.h"

using namespace shallotlatch;
using Action = TargetStep::Action;

static const std::string Refusals[] = {"408 Late", "429 Busy", "503 Failed"};
static const std::string Stamp = "X-Stamp: s1\r\n";
static const std::string Proof = "X-Not-Run: 1\r\n";
static const std::string Return = "Retry-After: 1\r\n";

static bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

static std::string refusal(const std::string &Status,
                           const std::string &Fields = "") {
  return "HTTP/1.1 " + Status + "\r\nX-Id: @ID@\r\n" + Fields +
         "Content-Length: 9\r\n\r\nits words";
}

TEST_GROUP(UnprovenRefusals) {
  std::unique_ptr<RelayHarness> H = std::make_unique<RelayHarness>();
  int Sent = 0;

  std::string send(const std::string &Path) {
    return H->sendRequest(Path, "r" + std::to_string(++Sent), "\r\n\r\n");
  }
  static void checkPromisesNothing(const std::string &Answer) {
    CHECK_TEXT(contains(Answer, "HTTP/1.1 502 "), Answer.c_str());
    for (const char *Part : {"X-Stamp", "Retry-After", "its words"}) {
      CHECK_TEXT(!contains(Answer, Part), Answer.c_str());
    }
  }
};

TEST(UnprovenRefusals, promiseNothingToCallersOfRequestsThatRunOnce) {
  for (const char *Path : {"/once/x", "/stream/x"}) {
    for (const std::string &Status : Refusals) {
      for (const std::string &Fields : {Return, Return + Stamp}) {
        H = std::make_unique<RelayHarness>();
        ScriptedTarget &T = H->target("i-1");
        T.Steps = {{refusal(Status, Fields), Action::Keep}};
        checkPromisesNothing(send(Path));
        CHECK_EQUAL(1, T.Requests.size());
        CHECK_EQUAL(0, H->relay().stats().Refused);
      }
    }
  }
}

TEST(UnprovenRefusals, promiseNothingBeforeTheRequestWasReadWhole) {
  ScriptedTarget &T = H->target("i-1");
  T.Steps = {{refusal("503 Failed"), Action::HalfClose, true}};
  checkPromisesNothing(send("/once/x"));
}

TEST(UnprovenRefusals, promiseNothingThroughAPeer) {
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
  T.Steps = {{refusal("503 Failed", Stamp), Action::Keep}};
  checkPromisesNothing(send("/once/x"));
  CHECK_EQUAL(1, T.Requests.size());
  H.reset();
}

TEST(UnprovenRefusals, promiseNothingAfterAnotherTargetProvedThatItDidNotRun) {
  ScriptedTarget &A = H->target("i-1");
  ScriptedTarget &B = H->target("i-2");
  // Whichever target is second does not prove it.
  A.Steps = {{refusal("503 Full", Proof), Action::Keep}};
  B.Steps = {{refusal("503 Failed"), Action::Keep}};
  checkPromisesNothing(send("/once/x"));
}

// The first target may have run it, so the second one's proof is not enough.
TEST(UnprovenRefusals, areNotMadeUpForByTheProofOfALaterTarget) {
  ScriptedTarget &A = H->target("i-1");
  ScriptedTarget &B = H->target("i-2");
  A.Steps = {{refusal("429 Busy"), Action::Keep}};
  B.Steps = {{refusal("503 Full", Proof), Action::Keep}};
  for (int I = 0; I < 4; ++I) {
    checkPromisesNothing(send("/safe/x"));
  }
}

TEST(UnprovenRefusals, ofRequestsThatMayRunAgainAreTriedElsewhere) {
  ScriptedTarget &A = H->target("i-1");
  ScriptedTarget &B = H->target("i-2");
  B.Steps = {{validAnswer("fine"), Action::Keep}};
  for (const std::string &Status : Refusals) {
    A.Steps = {{refusal(Status), Action::Keep}};
    std::string Answer = send("/safe/x");
    CHECK_TEXT(contains(Answer, "fine"), Answer.c_str());
  }
}

TEST(UnprovenRefusals, ofRequestsThatMayRunAgainReachTheirCallersUnchanged) {
  for (const std::string &Status : Refusals) {
    H = std::make_unique<RelayHarness>();
    ScriptedTarget &A = H->target("i-1");
    ScriptedTarget &B = H->target("i-2");
    A.Steps = {{refusal(Status, Stamp + Return), Action::Keep}};
    B.Steps = A.Steps;
    std::string Answer = send("/safe/x");
    CHECK_TEXT(contains(Answer, "HTTP/1.1 " + Status.substr(0, 4)),
               Answer.c_str());
    CHECK(contains(Answer, "X-Stamp: s1"));
    CHECK(contains(Answer, "Retry-After: 1"));
    CHECK(contains(Answer, "its words"));
    CHECK_EQUAL(2, A.Requests.size() + B.Requests.size());
  }
}

// A target that turns its work away so is as good as one that fails.
TEST(UnprovenRefusals, makeTheirTargetSuspect) {
  ScriptedTarget &Bad = H->target("i-1");
  Bad.Steps = {{refusal("429 Busy"), Action::Keep}};
  send("/once/x");
  send("/once/x");
  ScriptedTarget &Sound = H->target("i-2");
  Sound.Steps = {{validAnswer("fine"), Action::Keep}};
  for (int I = 0; I < 6; ++I) {
    CHECK(contains(send("/once/x"), " 200 "));
  }
  CHECK_EQUAL(2, Bad.Requests.size());
}
