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
constexpr uint32_t FullBatch = 32;

/// Tier and deadline of one kind of the mixes.
struct KindRule {
  const char *Kind;
  uint8_t Tier;
  Duration Deadline;
};

const KindRule &ruleOf(const std::string &Kind);
/// Engine \p Index of a fleet of five hardware generations.
EngineInit engineOf(uint32_t Index);
/// Sum of the speeds of \p Engines engines; the oldest generation is 1.
double fleetSpeed(uint32_t Engines);
/// What the engines can have cached of a shared preamble.
uint32_t cacheable(uint32_t SharedTokens);

/// Engine seconds at speed one. A step takes its base time, the time of its
/// prompt chunk, and a little for each token that it gives; so the sum over all
/// steps is exact but for their number.
struct EngineWork {
  double Prefill = 0; ///< Tokens that must be prefilled.
  double Output = 0;  ///< Tokens given.

  static constexpr double BaseStep = 0.024;
  static constexpr double BatchSoftness = 16;
  static constexpr double ChunkTokens = 512;

  double fixedSeconds() const {
    return this->Prefill / 5000 + this->Output * BaseStep / BatchSoftness;
  }
  /// Steps needed because a step takes one chunk of prompts at the most.
  double secondsByChunks() const {
    return this->fixedSeconds() + BaseStep * this->Prefill / ChunkTokens;
  }
  /// Steps needed because a step gives one token a request of a full batch.
  double secondsByBatch() const {
    return this->fixedSeconds() + BaseStep * this->Output / FullBatch;
  }
};

/// One request as the bound sees it.
struct BoundJob {
  uint8_t Tier = 0;
  double Work = 0; ///< Prompt and output tokens.
  EngineWork Cheapest;
};

/// Requests a second of a mix that keep all engines just busy.
double capacityPerSecond(const RequestMix &Requests, uint32_t Engines);
/// Most work that \p EngineSeconds at speed one can do.
double boundWork(const std::vector<BoundJob> &Jobs, double EngineSeconds);

} // namespace shallotlatch
