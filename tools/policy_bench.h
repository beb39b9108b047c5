/// \file
/// Policy bench: simulates one pool of engines in virtual time under one
/// scheduler and one scenario. Equal seeds give equal results.
#pragma once

#include "bench_policies.h"
#include "engine_model.h"
#include "load_mix.h"

#include <map>
#include <queue>
#include <string>
#include <vector>

namespace shallotlatch {

/// The load and the faults of one run. Times count from the start of the run.
struct Scenario {
  std::string Name;
  double LoadFactor = 0.8; ///< Offered work relative to the engines' capacity.
  double BurstFactor = 1; ///< Factor of the request rate between 40 s and 50 s.
  /// One customer sends 200 additional long prompts from 30 s on.
  bool LongPromptSurge = false;
  /// One engine runs at a tenth of its speed from 30 s to 60 s.
  bool SlowEngine = false;
  Duration ReportLag = millis(1000); ///< Delay of the engines' load reports.
  /// Number of engine crashes, one every 12 s from 10 s on.
  uint32_t EngineCrashes = 0;
  bool ReplaceOwner = false; ///< The pool's owner is replaced at 50 s.
};

/// Returns all scenarios.
const std::vector<Scenario> &scenarios();
/// Returns the names of all policies; "ours" is the pool of the daemon.
const std::vector<std::string> &policyNames();

/// Parameters of one run.
struct BenchInit {
  std::string Deployment = "pauta";
  std::string Policy = "ours";
  Scenario SelectedScenario;
  uint32_t Engines = 12;         ///< Number of engines in the pool.
  uint32_t Hosts = 6;            ///< Number of entry hosts.
  double PrefillPrice = 1;       ///< Set as PolicySpec::PrefillPrice.
  Duration Length = seconds(90); ///< Time during which requests arrive.
  uint64_t Seed = 1;
};

/// Totals of one tier in one run. Work is the sum of prompt and output tokens.
struct TierResult {
  std::string Name;
  uint32_t Offered = 0; ///< Number of requests that arrived.
  uint32_t Good = 0;    ///< Number of requests completed within their deadline.
  double OfferedWork = 0;
  /// Work of the requests completed within their deadline.
  double GoodWork = 0;
  std::vector<double> FirstTokenMs; ///< Times from arrival to first token.
};

/// Totals of one run.
struct BenchResult {
  std::vector<TierResult> Tiers;
  uint64_t PrefillTokens = 0; ///< Prompt tokens prefilled by the engines.
  /// Tokens prefilled for requests that did not complete.
  uint64_t WastedTokens = 0;
  /// Tokens of shared prefixes that were prefilled again.
  uint64_t RecomputedTokens = 0;
  /// Number of requests without a first token although a request of a lower
  /// tier that arrived later got one.
  uint32_t PriorityInversions = 0;
  double UpperBoundWork = 0; ///< Work possible with full knowledge of the run.
  double GoodWork = 0;       ///< Work completed before the arrivals stop.
};

/// Runs one combination of policy and scenario.
BenchResult runBench(const BenchInit &Init);
/// Returns the quantile \p Share (0 to 1) of unsorted \p Values, or 0 if there
/// are none.
double computeQuantile(std::vector<double> Values, double Share);

} // namespace shallotlatch
