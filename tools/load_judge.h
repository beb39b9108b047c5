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
  uint32_t Unsure = 0; ///< May have run, failed, or a duplicate key.
  std::vector<double> TotalMs;
  std::vector<double> FirstTokenMs;
};

/// Sums of one run.
struct LoadResult {
  std::vector<TierResult> Tiers;
  uint32_t Sent = 0;
  uint32_t Completed = 0;
  uint32_t Lost = 0;       ///< Its caller never learned anything.
  uint32_t Doubled = 0;    ///< Ran more often than it may have.
  uint32_t Untruthful = 0; ///< The verdict and the ledger differ.
  uint64_t PrefillTokens = 0;
  uint64_t UselessTokens = 0;
  uint64_t CachedTokens = 0;
  uint64_t OutputTokens = 0;
  /// Completed in each second of the run.
  std::vector<uint32_t> Timeline;
  std::vector<std::string> Findings;
  bool good() const {
    return this->Lost == 0 && this->Doubled == 0 && this->Untruthful == 0;
  }
};

/// Reads every target's ledger; throws std::runtime_error when one does not
/// answer.
LoadResult judgeLoad(const Config &C, const Mix &M,
                     const std::vector<LoadRecord> &Records);
std::string printResult(const LoadResult &R, double Seconds);

} // namespace shallotlatch
