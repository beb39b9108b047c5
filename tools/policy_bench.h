/// \file
/// Policy bench: one pool of engines in virtual time, one scheduler, one
/// scenario. The same seed gives the same figures.
#pragma once

#include "bench_policies.h"
#include "engine_model.h"
#include "load_mix.h"

#include <map>
#include <queue>
#include <string>
#include <vector>

namespace shallotlatch {

/// What goes wrong, and how hard the load is.
struct Scenario {
  std::string Name;
  double LoadFactor = 0.8; ///< Offered work over the engines' capacity.
  double BurstFactor = 1;  ///< Factor of the rate between 40 s and 50 s.
  bool LongPromptSurge =
      false;               ///< One customer adds long prompts from 30 s on.
  bool SlowEngine = false; ///< One engine at a tenth from 30 s to 60 s.
  Duration ReportLag = millis(1000);
  uint32_t EngineCrashes = 0; ///< Engine crashes, spread over the run.
  bool ReplaceOwner = false;  ///< The pool's owner is replaced at 50 s.
};

const std::vector<Scenario> &scenarios();
const std::vector<std::string> &policyNames();

struct BenchInit {
  std::string Deployment = "pauta";
  std::string Policy = "ours";
  Scenario SelectedScenario;
  uint32_t Engines = 12;
  uint32_t Hosts = 6;
  double PrefillPrice = 1;
  Duration Length = seconds(90);
  uint64_t Seed = 1;
};

/// Sums of one tier in one run.
struct TierResult {
  std::string Name;
  uint32_t Offered = 0;
  uint32_t Good = 0; ///< Completed within the deadline.
  double OfferedWork = 0;
  double GoodWork = 0; ///< Prompt and output tokens of the good ones.
  std::vector<double> FirstTokenMs;
};

struct BenchResult {
  std::vector<TierResult> Tiers;
  uint64_t PrefillTokens = 0;
  uint64_t WastedTokens = 0;     ///< For requests that were not good.
  uint64_t RecomputedTokens = 0; ///< Shared prefixes computed again.
  uint32_t PriorityInversions = 0;
  double UpperBoundWork = 0; ///< What an all-knowing scheduler could do.
  double GoodWork = 0;       ///< Done within the run's own seconds.
};

/// Runs one combination.
BenchResult runBench(const BenchInit &Init);
/// Quantile of unsorted values; zero for none.
double computeQuantile(std::vector<double> Values, double Share);

} // namespace shallotlatch
