/// \file
/// Engines and request kinds of the policy bench, and the upper bound on the
/// work that a scheduler with full knowledge of the run can complete.
#pragma once

#include "engine_model.h"
#include "load_mix.h"
#include "shallotlatch/types.h"

#include <string>
#include <vector>

namespace shallotlatch {

/// Maximum number of requests in an engine's batch.
constexpr uint32_t MaxBatchRequests = 32;

/// Tier and deadline of one request kind of the mixes. Tier 0 is the top tier.
struct KindRule {
  const char *Kind;
  uint8_t Tier;
  Duration Deadline;
};

/// Returns the rule of \p Kind, or the first rule for an unknown kind.
const KindRule &findKindRule(const std::string &Kind);
/// Returns the parameters of engine \p Index in a set of engines that cycles
/// through five hardware generations.
EngineInit makeEngineInit(uint32_t Index);
/// Returns the sum of the speeds of \p Engines engines, where an engine of the
/// oldest generation has speed 1.
double totalEngineSpeed(uint32_t Engines);
/// Returns the number of tokens of a shared preamble that an engine can have in
/// its prefix cache.
uint32_t cacheableTokens(uint32_t SharedTokens);

/// Token counts and the engine seconds that they need on an engine of speed 1.
/// A step takes its base time, the time of its prompt chunk and an additional
/// share of the base time for each output token. The sum over all steps is
/// therefore exact except for the number of steps.
struct EngineWork {
  double PrefillTokens = 0; ///< Prompt tokens that must be prefilled.
  double OutputTokens = 0;  ///< Tokens that are generated.

  /// Duration of a step with an empty batch.
  static constexpr double BaseStepSeconds = 0.024;
  /// Number of requests in a batch that doubles the duration of a step.
  static constexpr double BatchSoftness = 16;
  /// Maximum number of prompt tokens that one step prefills.
  static constexpr double ChunkTokens = 512;

  /// Returns the engine seconds that do not depend on the number of steps.
  double fixedSeconds() const {
    return this->PrefillTokens / 5000 +
           this->OutputTokens * BaseStepSeconds / BatchSoftness;
  }
  /// Returns the engine seconds if the number of steps is limited by the prompt
  /// tokens: a step prefills at most one chunk.
  double secondsByChunks() const {
    return this->fixedSeconds() +
           BaseStepSeconds * this->PrefillTokens / ChunkTokens;
  }
  /// Returns the engine seconds if the number of steps is limited by the output
  /// tokens: a step generates at most one token per request of a full batch.
  double secondsByBatch() const {
    return this->fixedSeconds() +
           BaseStepSeconds * this->OutputTokens / MaxBatchRequests;
  }
};

/// One request in the calculation of the upper bound.
struct BoundRequest {
  uint8_t Tier = 0;
  double Work = 0;        ///< Sum of prompt and output tokens.
  EngineWork MinimalWork; ///< Work with the shared prefix already cached.
};

/// Returns the request rate of a mix, per second, at which \p Engines engines
/// are exactly fully used.
double capacityRequestsPerSecond(const RequestMix &Requests, uint32_t Engines);
/// Returns the maximum work, in tokens, that \p EngineSeconds on engines of
/// speed 1 can complete.
double upperBoundWork(const std::vector<BoundRequest> &Requests,
                      double EngineSeconds);

} // namespace shallotlatch
