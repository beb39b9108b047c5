/// \file
/// Compares what callers learned with what the stand-ins ran.
#pragma once

#include "load_run.h"

#include <string>
#include <vector>

namespace shallotlatch {

/// Sums of one tier.
struct TierResult {
  std::string Tier;
  uint32_t Sent = 0;
  uint32_t Completed = 0;
  uint32_t NotRun = 0;
  uint32_t Uncertain = 0; ///< May have run, failed, or a duplicate key.
  std::vector<double> TotalMs;
  std::vector<double> FirstTokenMs;
};

/// Sums of one run.
struct LoadResult {
  std::vector<TierResult> Tiers;
  uint32_t Sent = 0;
  uint32_t Completed = 0;
  uint32_t Lost = 0;          ///< Its caller never learned anything.
  uint32_t DuplicateRuns = 0; ///< Ran more often than it may have.
  uint32_t FalseVerdicts = 0; ///< The verdict and the ledger differ.
  uint64_t PrefillTokens = 0;
  uint64_t WastedPrefillTokens = 0;
  uint64_t CachedTokens = 0;
  uint64_t OutputTokens = 0;
  /// Completed in each second of the run.
  std::vector<uint32_t> CompletedPerSecond;
  std::vector<std::string> Findings;
  bool passed() const {
    return this->Lost == 0 && this->DuplicateRuns == 0 &&
           this->FalseVerdicts == 0;
  }
};

/// Reads every target's ledger; throws std::runtime_error when one does not
/// answer.
LoadResult evaluateLoad(const Config &C, const RequestMix &M,
                        const std::vector<LoadRecord> &Records);
std::string formatResult(const LoadResult &R, double Seconds);

} // namespace shallotlatch
