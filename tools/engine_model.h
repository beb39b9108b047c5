/// \file
/// Cost model of one engine: continuous batching with a prefix cache. Pure;
/// the stand-in and the policy bench both drive it.
#pragma once

#include "messages_p.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace shallotlatch {

/// Speeds and sizes of one engine.
struct EngineInit {
  double PrefillTokensPerSecond = 20000;
  double DecodeMs = 8;           ///< One step with an empty batch.
  double BatchDoublingSize = 16; ///< Requests that double a step's time.
  uint32_t MaxBatch = 32;
  uint32_t PrefillChunk = 512; ///< Prompt tokens a step may add.
  uint32_t CachedPrefixes = 512;
};

/// What happened to one request in a step.
struct EngineEvent {
  uint64_t Request = 0;
  uint32_t TokenIndex = 0;
  bool First = false;
  bool Last = false;
};

/// Totals of prompt work.
struct EngineCounts {
  uint64_t PrefillTokens = 0;
  uint64_t CachedTokens = 0;
  uint64_t WastedPrefillTokens =
      0; ///< Prefilled for requests that did not finish.
  uint64_t OutputTokens = 0;
};

class EngineModel {
public:
  explicit EngineModel(const EngineInit &Init) : Init(Init) {}

  void add(uint64_t Request, uint32_t PromptTokens, uint32_t OutputTokens,
           const PrefixHashes &Prefix);
  /// Stops a request; false: not known here.
  bool cancel(uint64_t Request);
  /// Loses everything, the cache too; returns the requests lost.
  std::vector<uint64_t> crash();
  bool idle() const { return this->Queue.empty() && this->Batch.empty(); }
  /// Admits what fits and returns the time of the step that begins, in
  /// microseconds, at a speed divided by \p Slowdown.
  double beginStep(double Slowdown);
  /// Ends the step and returns its events.
  std::vector<EngineEvent> step();
  uint32_t running() const { return static_cast<uint32_t>(this->Batch.size()); }
  uint32_t queued() const { return static_cast<uint32_t>(this->Queue.size()); }
  const EngineCounts &counts() const { return this->Counts; }
  /// Prefix hashes dropped since the last call.
  std::vector<uint32_t> takeEvicted();
  /// Tokens of \p Prefix that are cached now.
  uint32_t cachedTokenCount(const PrefixHashes &Prefix) const;

private:
  struct Job {
    uint64_t Request = 0;
    uint32_t PromptTokens = 0;
    uint32_t OutputTokens = 0;
    PrefixHashes Prefix;
    uint32_t RemainingPrefill = 0;
    uint32_t CompletedPrefill = 0;
    uint32_t ProducedTokens = 0;
    bool Started = false;
  };

  uint32_t prefillThisStep() const;
  void cachePrefixes(const PrefixHashes &Prefix);
  void admit();

  EngineInit Init;
  std::deque<Job> Queue;
  std::vector<Job> Batch;
  std::map<uint32_t, uint64_t> Cache; ///< Prefix hash to last use.
  uint64_t UseCount = 0;
  std::vector<uint32_t> Evicted;
  EngineCounts Counts;
};

} // namespace shallotlatch
