/// \file
/// Several nodes joined by an in-memory message list, with a store and targets
/// that fail on demand. Virtual time; the same seed gives the same run.
#pragma once

#include "node_p.h"
#include "oracle.h"
#include "peer_codec_p.h"
#include "store_memory_p.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace shallotlatch {

struct FleetInit {
  uint32_t Hosts = 4;
  std::vector<std::string> Regions = {"north", "south"};
  uint64_t Seed = 1;
  std::string ConfigJson;
  Duration LinkDelay = millis(1);
  Duration RunTime = millis(100); ///< Of one request at a target.
  bool Transcript = false;
};

/// What a caller sends.
struct FakeRequest {
  std::string Kind;
  std::string Customer;
  std::string Key; ///< Idempotency key; may be empty.
  std::string Body;
  uint32_t PromptTokens = 100;
  uint32_t OutputTokens = 10;
  Duration Deadline = seconds(10);
};

/// A small configuration: two regions, one engine group, one service group.
std::string testConfig(uint32_t Revision = 0);
/// A UUIDv7 of the given date.
std::string uuid7(int64_t Ms, uint32_t Number);

class FleetFake {
public:
  explicit FleetFake(const FleetInit &Init);

  /// Submits at host \p Host; returns the submission's number. A host that is
  /// down takes nothing: the caller sees a refused connection.
  size_t submit(uint32_t Host, const FakeRequest &R);
  void cancel(size_t Submission);
  /// Puts a configuration in force through the store.
  void apply(const std::string &Json);
  void advance(Duration Length);
  /// Runs until every submission has ended, within \p Limit.
  void settle(Duration Limit);

  /// Faults.
  void kill(uint32_t Host);
  void start(uint32_t Host);
  void pause(uint32_t Host) { this->Hosts[Host].Paused = true; }
  void resume(uint32_t Host);
  void cutLink(uint32_t A, uint32_t B, bool OneWay);
  void healLinks() { this->CutLinks.clear(); }
  double DropShare = 0;
  double DuplicateShare = 0;
  Duration ExtraDelay{0}; ///< Up to this much, at random, reordering.
  bool StoreUnavailable = false;
  double StoreLostReplyShare = 0; ///< Of writes that take effect unanswered.
  Duration StoreDelay = millis(3);
  /// All runs of a target are lost.
  void crashTarget(const std::string &Name);
  std::set<std::string> RefusingTargets; ///< Do not accept connections.
  std::set<std::string> LeavingTargets;  ///< Say so in their load reports.
  std::set<std::string> PoisonBodies;    ///< Crash whoever runs them.

  Node &node(uint32_t Host) { return *this->Hosts[Host].HostNode; }
  bool isUp(uint32_t Host) const {
    return this->Hosts[Host].HostNode != nullptr;
  }
  const Verdict *verdict(size_t Submission) const;
  const std::string &answerOf(size_t Submission) const;
  uint32_t runsOf(size_t Submission) const;
  Oracle &oracle() { return this->SafetyOracle; }
  StoreMemory &store() { return this->MemoryStore; }
  const std::vector<std::string> &transcript() const {
    return this->TranscriptLines;
  }
  Time now() const { return this->Now; }
  int64_t wallMs() const;
  uint64_t bytesSent() const { return this->SentBytes; }
  /// Targets that ran a submission, with the time.
  struct TargetRunRecord {
    size_t Submission;
    std::string Target;
    Time At;
  };
  const std::vector<TargetRunRecord> &runs() const { return this->TargetRuns; }

private:
  struct Host {
    std::string Name;
    std::string Region;
    std::unique_ptr<Node> HostNode;
    uint64_t StartCount = 0; ///< Times started.
    bool Paused = false;
    std::vector<std::function<void()>> DeferredEvents; ///< Events while paused.
    std::map<uint32_t, size_t> Submissions;            ///< By request handle.
  };
  struct Submitted {
    uint32_t Host = 0;
    RequestHandle Handle;
    FakeRequest Request;
    std::string Target;
    bool Answered = false;
    Verdict End;
    std::string Answer;
    uint32_t Runs = 0;
  };

  void scheduleAt(Time When, std::function<void()> Event);
  /// Runs \p Event on a host now, or once it wakes; a new process ignores it.
  void runOnHost(uint32_t Index, uint64_t StartNumber,
                 std::function<void()> Event);
  void updateNodeTime(uint32_t Index);
  void executeCommands(uint32_t Index);
  void execute(uint32_t Index, const Command &C);
  void dispatch(uint32_t Index, const DispatchCommand &C);
  void endRun(uint32_t Index, uint64_t StartNumber, RequestHandle H,
              size_t Submission, DispatchResult Result);
  void callStore(uint32_t Index, const StoreRequest &R);
  void deliver(uint32_t From, uint32_t To, const PeerBatch &Batch);
  void tick(uint32_t Index, uint64_t StartNumber);
  void addTranscriptLine(const std::string &Line);
  bool chance(double Share);

  FleetInit Init;
  Time Now;
  std::mt19937_64 Random;
  std::multimap<Time, std::function<void()>> EventQueue;
  std::vector<Host> Hosts;
  std::map<HostId, uint32_t> HostIndexes;
  std::set<std::pair<uint32_t, uint32_t>> CutLinks;
  StoreMemory MemoryStore;
  std::vector<Submitted> Submissions;
  std::map<std::string, std::map<size_t, std::function<void(DispatchResult)>>>
      RunsInProgress; ///< By target, then submission.
  std::vector<TargetRunRecord> TargetRuns;
  Oracle SafetyOracle;
  std::vector<std::string> TranscriptLines;
  uint64_t SentBytes = 0;
};

/// Readable lines of one batch, for golden files.
std::vector<std::string> describe(const PeerBatch &Batch);

} // namespace shallotlatch
