/// \file
/// Compares the answers that callers received with the executions recorded in
/// the ledgers of the stand-in targets.
#pragma once

#include "load_run.h"

#include <string>
#include <vector>

namespace shallotlatch {

/// Counts and latencies of the requests of one tier.
struct TierResult {
  std::string Tier;
  uint32_t Sent = 0;
  uint32_t Completed = 0;
  uint32_t NotRun = 0;
  /// Requests with any other end: the request may have run, failed, got no
  /// verdict, or was answered as a duplicate of an earlier submission with the
  /// same key.
  uint32_t Uncertain = 0;
  std::vector<double> TotalMs;
  std::vector<double> FirstTokenMs;
};

/// Counts and findings of one load run.
struct LoadResult {
  std::vector<TierResult> Tiers;
  uint32_t Sent = 0;
  uint32_t Completed = 0;
  uint32_t Lost = 0;          ///< Requests whose caller received no verdict.
  uint32_t DuplicateRuns = 0; ///< Requests executed more often than allowed.
  /// Verdicts or answers that are wrong by the ledger or by their content.
  uint32_t FalseVerdicts = 0;
  uint64_t PrefillTokens = 0;
  uint64_t WastedPrefillTokens = 0;
  uint64_t CachedTokens = 0;
  uint64_t OutputTokens = 0;
  /// Number of requests completed in each second of the run.
  std::vector<uint32_t> CompletedPerSecond;
  /// One line for each lost, duplicated or falsely answered request.
  std::vector<std::string> Findings;
  /// Returns true if no request was lost, duplicated or falsely answered.
  bool passed() const {
    return this->Lost == 0 && this->DuplicateRuns == 0 &&
           this->FalseVerdicts == 0;
  }
};

/// Checks \p Records against the ledgers of all targets of \p C. Throws
/// std::runtime_error if a target does not serve its ledger.
LoadResult evaluateLoad(const Config &C, const RequestMix &M,
                        const std::vector<LoadRecord> &Records);
/// Returns the table of tiers, the totals and the findings of a run that sent
/// for \p Seconds seconds.
std::string formatResult(const LoadResult &R, double Seconds);

} // namespace shallotlatch
