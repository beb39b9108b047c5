/// \file
/// A fleet of nodes in one process. The nodes exchange messages through an
/// in-memory event queue, and the fake store and targets fail on demand. Time
/// is virtual; the same seed gives the same run.
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

/// Parameters of a fake fleet.
struct FleetInit {
  uint32_t Hosts = 4;
  std::vector<std::string> Regions = {"north", "south"};
  uint64_t Seed = 1;
  std::string ConfigJson;
  Duration LinkDelay = millis(1);
  Duration RunTime = millis(100); ///< Time that a target takes for one request.
  bool Transcript = false;
};

/// A request that a caller sends.
struct FakeRequest {
  std::string Kind;
  std::string Customer;
  std::string Key; ///< Idempotency key; empty if the request has none.
  std::string Body;
  uint32_t PromptTokens = 100;
  uint32_t OutputTokens = 10;
  Duration Deadline = seconds(10);
};

/// Returns a small configuration with two regions, one engine group and one
/// service group. \p Revision changes the weight of one customer.
std::string testConfig(uint32_t Revision = 0);
/// Returns a UUIDv7 with the date \p Ms, in milliseconds since the epoch.
std::string uuid7(int64_t Ms, uint32_t Number);

/// Fake fleet: runs the nodes, the store and the targets in virtual time.
class FleetFake {
public:
  explicit FleetFake(const FleetInit &Init);

  /// Submits a request at host \p Host and returns the submission's number. A
  /// host that is down, paused or not ready does not take the request: its
  /// caller sees a refused connection.
  size_t submit(uint32_t Host, const FakeRequest &R);
  void cancel(size_t Submission);
  /// Writes a configuration to the store, from which the hosts read it.
  void apply(const std::string &Json);
  void advance(Duration Length);
  /// Advances the time in steps of 100 ms until every submission has ended or
  /// \p Limit has passed.
  void settle(Duration Limit);

  /// Faults of hosts, links, the store and targets.
  void kill(uint32_t Host);
  void start(uint32_t Host);
  void pause(uint32_t Host) { this->Hosts[Host].Paused = true; }
  void resume(uint32_t Host);
  void cutLink(uint32_t A, uint32_t B, bool OneWay);
  void healLinks() { this->CutLinks.clear(); }
  double DropShare = 0;
  double DuplicateShare = 0;
  Duration ExtraDelay{0}; ///< Upper limit of a random extra delay of each
                          ///< message; it reorders messages.
  /// Keeps a copy of the store, from which it comes back later.
  void copyStore() { this->MemoryStore.copy(); }
  void restoreStore() { this->MemoryStore.restore(); }
  bool StoreUnavailable = false;
  double StoreLostReplyShare = 0; ///< Share of the writes that take effect but
                                  ///< whose result the host does not learn.
  Duration StoreDelay = millis(3);
  /// Crashes a target: the host loses every request that runs there.
  void crashTarget(const std::string &Name);
  std::set<std::string> RefusingTargets; ///< Targets that refuse
                                         ///< connections.
  std::set<std::string> LeavingTargets;  ///< Targets whose load reports
                                         ///< say that they are leaving.
  std::set<std::string> PoisonBodies;    ///< Request bodies that crash
                                         ///< the target that runs them.

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
  /// Record of one submission that a target ran, and when it started.
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
    uint64_t StartCount = 0; ///< Number of times that the host has started.
    bool Paused = false;
    std::vector<std::function<void()>>
        DeferredEvents; ///< Events that arrived while
                        ///< the host was paused.
    std::map<uint32_t, size_t>
        Submissions; ///< Submission numbers by index of the request handle.
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
  /// Runs \p Event on a host now, or when a paused host resumes. The event is
  /// dropped if the host is down, or if its current process does not have the
  /// number \p StartNumber.
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
      RunsInProgress; ///< Callbacks that end a run, by target, then submission.
  std::vector<TargetRunRecord> TargetRuns;
  Oracle SafetyOracle;
  std::vector<std::string> TranscriptLines;
  uint64_t SentBytes = 0;
};

/// Returns readable lines for the messages of one batch, for golden files.
std::vector<std::string> describe(const PeerBatch &Batch);

} // namespace shallotlatch
