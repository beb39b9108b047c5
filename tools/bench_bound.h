/// \file
/// The policy bench's engines and kinds, and what an all-knowing scheduler
/// could do with them.
#pragma once

#include "engine_model.h"
#include "load_mix.h"
#include "shallotlatch/types.h"

#include <string>
#include <vector>

namespace shallotlatch {

/// Requests in an engine's full batch.
constexpr uint32_t MaxBatchRequests = 32;

/// Tier and deadline of one kind of the mixes.
struct KindRule {
  const char *Kind;
  uint8_t Tier;
  Duration Deadline;
};

const KindRule &findKindRule(const std::string &Kind);
/// Engine \p Index of a fleet of five hardware generations.
EngineInit makeEngineInit(uint32_t Index);
/// Sum of the speeds of \p Engines engines; the oldest generation is 1.
double totalEngineSpeed(uint32_t Engines);
/// What the engines can have cached of a shared preamble.
uint32_t cacheableTokens(uint32_t SharedTokens);

/// Engine seconds at speed one. A step takes its base time, the time of its
/// prompt chunk, and a little for each token that it gives; so the sum over all
/// steps is exact but for their number.
struct EngineWork {
  double PrefillTokens = 0; ///< Tokens that must be prefilled.
  double OutputTokens = 0;  ///< Tokens given.

  static constexpr double BaseStepSeconds = 0.024;
  static constexpr double BatchSoftness = 16;
  static constexpr double ChunkTokens = 512;

  double fixedSeconds() const {
    return this->PrefillTokens / 5000 +
           this->OutputTokens * BaseStepSeconds / BatchSoftness;
  }
  /// Steps needed because a step takes one chunk of prompts at the most.
  double secondsByChunks() const {
    return this->fixedSeconds() +
           BaseStepSeconds * this->PrefillTokens / ChunkTokens;
  }
  /// Steps needed because a step gives one token a request of a full batch.
  double secondsByBatch() const {
    return this->fixedSeconds() +
           BaseStepSeconds * this->OutputTokens / MaxBatchRequests;
  }
};

/// One request as the bound sees it.
struct BoundRequest {
  uint8_t Tier = 0;
  double Work = 0; ///< Prompt and output tokens.
  EngineWork MinimalWork;
};

/// Requests a second of a mix that keep all engines just busy.
double capacityRequestsPerSecond(const Mix &Requests, uint32_t Engines);
/// Most work that \p EngineSeconds at speed one can do.
double upperBoundWork(const std::vector<BoundRequest> &Requests,
                      double EngineSeconds);

} // namespace shallotlatch
