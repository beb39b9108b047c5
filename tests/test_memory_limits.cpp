// Tests with a real gateway process that its resident memory and descriptors
// stay within its settings, whatever its callers do. They check no times and no
// share of served requests.
#include "memory_world.h"

#include <CppUTest/TestHarness.h>

#include <iostream>

using namespace shallotlatch;

// Receive buffer of callers that read nothing.
static constexpr int SmallReceiveBuffer = 4096;
// Time for which a crowd is left alone with the gateway.
static constexpr Duration CrowdTime = seconds(4);

TEST_GROUP(MemoryLimits) {
  std::unique_ptr<MemoryWorld> World;
  MemoryWorldInit Init;
  uint32_t MostDescriptors = 0;

  void start() {
    World = std::make_unique<MemoryWorld>(Init);
    CHECK_TRUE(World->waitReady());
  }
  /// Lets each of \p Callers connections send its text, and opens it again when
  /// it ended if \p Returns. If \p InTurn, each begins once the text of the one
  /// before has left or was refused. Reads nothing.
  void runCrowd(std::vector<std::unique_ptr<RawCaller>> & Crowd, size_t Callers,
                const std::string &Text, bool Returns, bool InTurn = false) {
    std::vector<size_t> Sent(Callers, 0);
    std::vector<bool> Ended(Callers, false);
    for (size_t I = 0; I < Callers; ++I) {
      Crowd.push_back(
          std::make_unique<RawCaller>(World->caller(), SmallReceiveBuffer));
    }
    Time Until = ProcessClock::now() + CrowdTime;
    while (ProcessClock::now() < Until && World->alive()) {
      for (size_t I = 0; I < Callers; ++I) {
        if (InTurn && I > 0 && !Ended[I - 1] && Sent[I - 1] < Text.size()) {
          break;
        }
        Ended[I] = Ended[I] || !Crowd[I]->writeSome(Text, Sent[I]);
        if (Ended[I] && Returns) {
          Crowd[I] =
              std::make_unique<RawCaller>(World->caller(), SmallReceiveBuffer);
          Sent[I] = 0;
          Ended[I] = false;
        }
      }
      MostDescriptors = std::max(MostDescriptors, World->openDescriptors());
      std::this_thread::sleep_for(millis(5));
    }
  }
  /// Checks what holds for every crowd, while it is still connected.
  void checkBounds() {
    CHECK_TRUE(World->alive());
    bool Answered = World->answersOrdinaryRequest();
    CHECK_TRUE(World->alive());
    uint64_t PeakMb = World->peakResidentBytes() >> 20;
    std::cout << "peak " << PeakMb << " MB of " << Init.MemoryMb << ", "
              << MostDescriptors << " descriptors of " << Init.Descriptors
              << (Answered ? ", answered" : ", not answered") << std::endl;
    CHECK_TRUE(PeakMb <= Init.MemoryMb);
    CHECK_TRUE(MostDescriptors <= Init.Descriptors);
    CHECK_TRUE(Answered);
  }
  void teardown() override { World.reset(); }
};

// Shows that the processes of these tests work without a crowd.
TEST(MemoryLimits, withoutACrowd) {
  start();
  checkBounds();
}

// Guards against whole answers that are kept for callers which read nothing.
TEST(MemoryLimits, callersThatReadNothingOfLargeAnswers) {
  start();
  std::vector<std::unique_ptr<RawCaller>> Crowd;
  runCrowd(Crowd, 20, World->request("/big/7000000"), false);
  checkBounds();
}

// Guards against events that are kept for callers which read nothing.
TEST(MemoryLimits, callersThatReadNothingOfStreams) {
  start();
  std::vector<std::unique_ptr<RawCaller>> Crowd;
  runCrowd(Crowd, 24, World->request("/stream/4000000"), false);
  checkBounds();
}

// Guards against answers without end that are kept until memory is used up.
TEST(MemoryLimits, answersWithoutEnd) {
  start();
  for (const char *Part : {"body", "head"}) {
    std::vector<std::unique_ptr<RawCaller>> Crowd;
    runCrowd(Crowd, 24,
             World->request(std::string("/endless/") + Part + "/4000000"),
             true);
    checkBounds();
  }
}

// Guards against request bodies that are held several times over, or not
// counted once they are complete.
TEST(MemoryLimits, largeBodiesInABurst) {
  start();
  std::vector<std::unique_ptr<RawCaller>> Crowd;
  runCrowd(Crowd, 24, World->request("/held/x", "", std::string(4000000, 'b')),
           false, true);
  checkBounds();
}

// Guards against heads whose many short fields take many times the bytes that
// were sent.
TEST(MemoryLimits, longHeadsThatEndLate) {
  start();
  std::string Head = "POST /plain/x HTTP/1.1\r\nHost: h\r\n";
  while (Head.size() < 16200) {
    Head += "a:\r\n";
  }
  std::vector<std::unique_ptr<RawCaller>> Crowd;
  runCrowd(Crowd, 300, Head, true);
  checkBounds();
}

// Guards against idle connections that keep others out.
TEST(MemoryLimits, idleConnections) {
  Init.Descriptors = 128;
  start();
  std::vector<std::unique_ptr<RawCaller>> Crowd;
  runCrowd(Crowd, 150, "", false);
  checkBounds();
}

// Guards against connections to targets that are not counted: each caller of a
// stream takes two descriptors.
TEST(MemoryLimits, streamsTakeTwoDescriptorsEach) {
  Init.Descriptors = 128;
  start();
  std::vector<std::unique_ptr<RawCaller>> Crowd;
  runCrowd(Crowd, 100, World->request("/stream/1000"), false);
  Crowd.clear();
  checkBounds();
}

// Guards against a stop that cuts off answers which a slow caller still reads,
// and against one that a caller which reads nothing keeps from ending.
TEST(MemoryLimits, aStoppingHostDeliversAnswersToSlowReaders) {
  start();
  std::string Text = World->request("/big/7000000", "Connection: close\r\n");
  RawCaller Silent(World->caller(), SmallReceiveBuffer);
  RawCaller Slow(World->caller(), 65536);
  for (RawCaller *C : {&Silent, &Slow}) {
    size_t Sent = 0;
    CHECK_TRUE(C->writeSome(Text, Sent));
  }
  size_t Received = 0;
  std::thread Reader([&] { Received = Slow.readSlowly(7000000); });
  std::this_thread::sleep_for(millis(300));
  int Status = World->stop(seconds(20));
  Reader.join();
  CHECK_EQUAL(0, Status);
  CHECK_TRUE(Received >= 7000000);
}
