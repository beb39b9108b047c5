// Guards against streams that go on but wait like requests whose objective has
// passed: their first event came before they broke, so the time that their
// callers have spent says nothing about it.
#include "relay_harness.h"

#include <CppUTest/TestHarness.h>

using namespace shallotlatch;
using Action = TargetStep::Action;

TEST_GROUP(ResumedWaits) {
  std::unique_ptr<RelayHarness> H =
      std::make_unique<RelayHarness>(seconds(3600), millis(2500), seconds(4));
  ScriptedTarget *Target = nullptr;
  std::vector<size_t> Callers;

  void setup() override {
    auto Config = std::make_shared<RoutingConfig>(*H->Store.Config);
    Config->Services[serviceId("app")].Engine = true;
    Config->buildIndex();
    H->relay().configure(Config);
    Target = &H->target("i-1", "v1");
    Target->Steps = {
        {streamAnswerHead() + streamEventChunk(1), Action::Hold, false}};
  }
  size_t ask(const std::string &Id, int DeadlineMs,
             const std::string &Fields = "") {
    size_t Caller = H->connect();
    H->send(Caller, "POST /resume/x HTTP/1.1\r\nHost: h\r\nX-Id: " + Id +
                        "\r\nX-Deadline: " + std::to_string(DeadlineMs) +
                        "\r\nAuthorization: Token good\r\n" + Fields +
                        "Content-Length: 0\r\n\r\n");
    return Caller;
  }
  /// Fills the slots of the target with streams that do not end.
  void fill() {
    for (uint32_t I = 0; I < Target->entry().Slots; ++I) {
      Callers.push_back(ask("a" + std::to_string(I), 30000));
      CHECK(H->runUntil([&] {
        return H->received(Callers.back()).find("data: e1") !=
               std::string::npos;
      }));
    }
  }
  /// Returns whether the target was sent the request \p Id.
  bool reached(const std::string &Id) const {
    for (const std::string &Request : Target->Requests) {
      if (Request.find("X-Id: " + Id + "\r\n") != std::string::npos) {
        return true;
      }
    }
    return false;
  }
  /// Returns which of two requests that wait is sent on as a slot gets free.
  std::string firstOf(const std::string &A, const std::string &B) {
    H->close(Callers[1]);
    CHECK(H->runUntil([&] { return reached(A) || reached(B); }));
    return reached(A) ? A : B;
  }
};

TEST(ResumedWaits, aStreamGoesOnBeforeNewOnesThatCameLater) {
  fill();
  ask("b1", 20000, "Last-Event-Id: 1\r\nX-Resumes: a0\r\n");
  CHECK(H->runUntil([&] { return H->relay().stats().Received == 5; }));
  CHECK(!reached("b1"));
  ask("c1", 30000);
  CHECK(H->runUntil([&] { return H->relay().stats().Received == 6; }));
  STRCMP_EQUAL("b1", firstOf("b1", "c1").c_str());
}

TEST(ResumedWaits, aRequestPastItsObjectiveStillWaitsForThoseInTime) {
  fill();
  ask("b1", 20000);
  CHECK(H->runUntil([&] { return H->relay().stats().Received == 5; }));
  CHECK(!reached("b1"));
  ask("c1", 30000);
  CHECK(H->runUntil([&] { return H->relay().stats().Received == 6; }));
  STRCMP_EQUAL("c1", firstOf("b1", "c1").c_str());
}
