// Tests of what a relay that was asked to stop still sends to targets.
#include "relay_harness.h"
#include "stop_plan_p.h"

#include <CppUTest/TestHarness.h>

using namespace shallotlatch;
using Action = TargetStep::Action;

static bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

// Requests wait for a slot for as long as a test takes.
TEST_GROUP(RelayStop) {
  std::unique_ptr<RelayHarness> H =
      std::make_unique<RelayHarness>(seconds(3600), millis(2500), seconds(30));
  ScriptedTarget *T = nullptr;
  size_t Running = 0;

  /// Fills the only slot of the only target with a request.
  void setup() override {
    T = &H->target("i-1");
    TargetEntry Narrow = T->entry();
    Narrow.Slots = 1;
    H->relay().setTarget(Narrow);
    T->Steps.push_front({"", Action::Hold, false});
    Running = ask("r1", 20000);
    CHECK_TRUE(H->runUntil([&] { return T->Requests.size() == 1; }));
  }
  size_t ask(const std::string &Id, int DeadlineMs) {
    size_t Caller = H->connect();
    H->send(Caller, "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Id: " + Id +
                        "\r\nX-Deadline: " + std::to_string(DeadlineMs) +
                        "\r\nAuthorization: Token good\r\n"
                        "Content-Length: 0\r\n\r\n");
    return Caller;
  }
  size_t askAndWait(int DeadlineMs) {
    size_t Caller = ask("r2", DeadlineMs);
    CHECK_TRUE(
        H->runUntil([&] { return H->relay().stats().HeldRequests == 2; }));
    return Caller;
  }
  /// Begins a stop that is past the half of its grace.
  void stopLate() {
    H->relay().drain(planStop(ProcessClock::now() - seconds(10), seconds(18)));
  }
  std::string answer(size_t Caller) {
    H->runUntil([&] { return contains(H->received(Caller), "\r\n\r\n"); });
    return H->received(Caller);
  }
  void checkRefused(size_t Caller) {
    std::string Answer = answer(Caller);
    CHECK_TRUE(contains(Answer, " 503 "));
    CHECK_TRUE(contains(Answer, "Retry-After: 0.050"));
    CHECK_EQUAL(1, T->Requests.size());
  }
  void teardown() override { H.reset(); }
};

// Guards against requests that wait until late in a stop, are sent and then
// cut.
TEST(RelayStop, aRequestThatWaitsUntilLateInAStopIsRefusedAsNotRun) {
  size_t Waiting = askAndWait(20000);
  stopLate();
  checkRefused(Waiting);
  CHECK_FALSE(H->closed(Running));
  CHECK_EQUAL(1, H->relay().stats().HeldRequests);
}

// Guards against the same for a request that gets a slot at that moment.
TEST(RelayStop, aRequestThatGetsItsSlotLateInAStopIsNotSent) {
  size_t Waiting = askAndWait(20000);
  stopLate();
  H->close(Running);
  checkRefused(Waiting);
}

// Guards against refusals of requests that a stop leaves enough time for.
TEST(RelayStop, aRequestWhoseDeadlineIsBeforeTheEndIsStillSent) {
  size_t Waiting = askAndWait(5000);
  stopLate();
  H->relay().tick();
  H->close(Running);
  CHECK_TRUE(contains(answer(Waiting), "fine"));
}

// Guards against a request whose body arrives over the whole of a stop and that
// is passed on at its end.
TEST(RelayStop, aRequestThatArrivesWholeLateInAStopIsRefused) {
  H->close(Running);
  size_t Slow = H->connect();
  H->send(Slow, "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Id: r3\r\n"
                "Authorization: Token good\r\nContent-Length: 8\r\n\r\nhalf");
  CHECK_TRUE(H->runUntil([&] { return H->relay().stats().HeldRequests == 0; }));
  stopLate();
  H->relay().closeIdleConnections();
  H->send(Slow, "done");
  checkRefused(Slow);
}
