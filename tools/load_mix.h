/// \file
/// What callers of a deployment send.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace shallotlatch {

/// One kind's part in a mix.
struct MixEntry {
  std::string Kind;
  double Share = 1;
  bool Service = false;
  bool Keyed = false;
  uint32_t PromptTokens = 100;    ///< Median of the unique part.
  double PromptTokensSigma = 0.5; ///< Sigma of its logarithm.
  uint32_t SharedTokens = 0;      ///< Preamble that requests have in common.
  uint32_t PreambleCount = 1;     ///< How many different ones there are.
  uint32_t OutputTokens = 16;
};

/// One deployment's callers.
struct RequestMix {
  std::vector<std::string> Customers;
  std::vector<double> CustomerShares;
  std::vector<MixEntry> Entries;
};

/// Known deployments: "pauta" and "haneul"; throws std::invalid_argument.
RequestMix deploymentMix(const std::string &Deployment);

/// One request drawn from a mix.
struct DrawnRequest {
  uint32_t Entry = 0;
  uint32_t Customer = 0;
  uint32_t PromptTokens = 0;
  uint32_t Preamble = 0;
};
DrawnRequest drawRequest(const RequestMix &M, std::mt19937_64 &Random);
/// Prompt of \p D with marker \p Id.
std::string makePrompt(const RequestMix &M, const DrawnRequest &D,
                       const std::string &Id);

} // namespace shallotlatch
