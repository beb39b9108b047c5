/// \file
/// Cost model of one inference engine: continuous batching with a prefix cache.
/// The model does no I/O and reads no clock; the stand-in engine and the policy
/// bench drive it.
#pragma once

#include "messages_p.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace shallotlatch {

/// Speeds and sizes of one modelled engine.
struct EngineInit {
  double PrefillTokensPerSecond = 20000;
  /// Duration of a decode step with an empty batch, in milliseconds.
  double DecodeMs = 8;
  /// Number of requests in the batch that doubles the duration of a decode
  /// step.
  double BatchDoublingSize = 16;
  uint32_t MaxBatch = 32; ///< Maximum number of requests in the batch.
  /// Maximum number of prompt tokens that one step prefills, over all requests.
  uint32_t PrefillChunk = 512;
  uint32_t CachedPrefixes = 512; ///< Capacity of the cache, in prefix hashes.
};

/// One output token that a step produced for a request.
struct EngineEvent {
  uint64_t Request = 0;
  uint32_t TokenIndex = 0; ///< Index of the token in the answer, from 0.
  bool First = false;      ///< The token is the first of the answer.
  bool Last = false;       ///< The token is the last; the request has finished.
};

/// Token counts of one engine since its start; a crash does not reset them.
struct EngineCounts {
  uint64_t PrefillTokens = 0; ///< Prompt tokens computed.
  uint64_t CachedTokens = 0;  ///< Prompt tokens taken from the prefix cache.
  /// Prompt tokens computed for requests that did not finish.
  uint64_t WastedPrefillTokens = 0;
  uint64_t OutputTokens = 0;
};

/// A queue, a batch and a prefix cache that advance step by step.
class EngineModel {
public:
  explicit EngineModel(const EngineInit &Init) : Init(Init) {}

  /// Adds a request to the end of the queue; at least one output token is
  /// produced for it.
  void add(uint64_t Request, uint32_t PromptTokens, uint32_t OutputTokens,
           const PrefixHashes &Prefix);
  /// Removes a request from the queue or the batch. Returns false if neither
  /// contains it.
  bool cancel(uint64_t Request);
  /// Empties the queue, the batch and the prefix cache. Returns the requests
  /// that were lost.
  std::vector<uint64_t> crash();
  bool idle() const { return this->Queue.empty() && this->Batch.empty(); }
  /// Moves queued requests into the batch while it has space. Returns the
  /// duration of the step that begins, in microseconds, multiplied by
  /// \p Slowdown.
  double beginStep(double Slowdown);
  /// Completes the step and returns the output tokens that it produced.
  std::vector<EngineEvent> step();
  uint32_t running() const { return static_cast<uint32_t>(this->Batch.size()); }
  uint32_t queued() const { return static_cast<uint32_t>(this->Queue.size()); }
  const EngineCounts &counts() const { return this->Counts; }
  /// Returns the prefix hashes evicted from the cache since the last call.
  std::vector<uint32_t> takeEvicted();
  /// Returns the number of tokens in the longest cached prefix of \p Prefix.
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
  /// Cached prefix hashes; the value is the use count at the last use and gives
  /// the eviction order (least recently used first).
  std::map<uint32_t, uint64_t> Cache;
  uint64_t UseCount = 0;
  std::vector<uint32_t> Evicted;
  EngineCounts Counts;
};

} // namespace shallotlatch
