/// \file
/// Simulation of one run of the policy bench.
#pragma once

#include "policy_bench.h"

#include <functional>
#include <memory>
#include <set>

namespace shallotlatch {

/// State of one request of the run.
struct SimulatedRequest {
  DrawnRequest Drawn;
  uint32_t PromptTokens = 0;
  uint32_t OutputTokens = 0;
  uint32_t SharedTokens = 0;
  PrefixHashes Prefix;
  uint8_t Tier = 0;
  HostId Host;
  Time Arrived;
  Time Deadline;
  Time SentAt;
  Time FirstTokenAt;
  int Engine = -1;     ///< Index of the engine that has the request, or -1.
  uint32_t Tokens = 0; ///< Output tokens generated so far.
  uint32_t TokensSinceReport = 0; ///< Tokens since the last progress report.
  bool Started = false;           ///< The first token has been generated.
  bool Ended = false;
};

/// One run, as a queue of events in virtual time.
class PolicyBench {
public:
  explicit PolicyBench(const BenchInit &Init);
  BenchResult run();

private:
  struct Engine {
    EngineInit Init;
    std::unique_ptr<EngineModel> Model;
    bool Stepping = false;
    /// Distinguishes steps before and after a crash.
    uint64_t RestartCount = 0;
    double Slowdown = 1;
    Time DownUntil;
  };

  void schedule(Time When, std::function<void()> Event) {
    this->Queue.emplace(When, std::move(Event));
  }
  void makePolicy();
  void generateArrival();
  void addRequest(const DrawnRequest &D);
  void applyReplies(PoolReplies &Out);
  void dispatch(uint32_t Id, TargetId Target);
  void startStep(uint32_t EngineIndex);
  void finishStep(uint32_t EngineIndex, uint64_t RestartCount);
  void finishRequest(uint32_t Id, bool Good, DispatchResult Result);
  void refuseRequest(uint32_t Id);
  void expireRequest(uint32_t Id);
  void crashEngine(uint32_t EngineIndex);
  void sampleLoads();
  void reportProgress();
  void replaceOwner();
  void countInversion(const SimulatedRequest &Request);
  double computeUpperBound() const;
  Release makeRelease(uint32_t Id, DispatchResult Result) const;
  SlotRequest makeSlotRequest(uint32_t Id) const;

  BenchInit Init;
  RequestMix Requests;
  Time Now;
  Time Stop; ///< Time at which arrivals stop.
  std::mt19937_64 Random;
  std::multimap<Time, std::function<void()>> Queue;
  std::vector<TargetSpec> Specs;
  std::vector<Engine> Engines;
  std::map<TargetId, uint32_t> EngineIndex;
  std::vector<ReportedLoad> Reports;
  std::unique_ptr<PoolPolicy> Policy;
  bool OwnerAbsent = false; ///< The pool currently has no owner.
  std::vector<SimulatedRequest> SimulatedRequests;
  std::set<uint32_t> OpenRequests; ///< Indices of requests that have not ended.
  std::set<uint64_t> SeenPrefixes; ///< Hashes of preambles sent to an engine.
  std::map<uint8_t, Time> LatestStart; ///< Latest arrival time of the requests
                                       ///< that got a first token, by tier.
  double RequestsPerSecond = 1;
  BenchResult Result;
};

} // namespace shallotlatch
