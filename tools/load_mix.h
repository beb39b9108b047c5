/// \file
/// Mix of requests that the callers of a deployment send.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace shallotlatch {

/// Requests of one kind in a mix.
struct MixEntry {
  std::string Kind;
  double Share = 1;     ///< Weight of this kind among the entries of the mix.
  bool Service = false; ///< The kind is a plain service, not a model.
  bool Keyed = false;   ///< Requests carry an idempotency key.
  /// Median length of the part of the prompt that is unique to a request.
  uint32_t PromptTokens = 100;
  /// Standard deviation of the logarithm of that length.
  double PromptTokensSigma = 0.5;
  /// Length of the preamble that starts the prompt and that requests share.
  uint32_t SharedTokens = 0;
  uint32_t PreambleCount = 1; ///< Number of different preambles.
  uint32_t OutputTokens = 16;
};

/// Customers of one deployment and the requests that they send.
struct RequestMix {
  std::vector<std::string> Customers;
  /// Weights of `Customers`, in the same order.
  std::vector<double> CustomerShares;
  std::vector<MixEntry> Entries;
};

/// Returns the mix of \p Deployment, "pauta" or "haneul". Throws
/// std::invalid_argument for any other name.
RequestMix deploymentMix(const std::string &Deployment);

/// One request drawn at random from a mix.
struct DrawnRequest {
  uint32_t Entry = 0;        ///< Index into `RequestMix::Entries`.
  uint32_t Customer = 0;     ///< Index into `RequestMix::Customers`.
  uint32_t PromptTokens = 0; ///< Length of the unique part of the prompt.
  uint32_t Preamble = 0;     ///< Index of the shared preamble.
};
DrawnRequest drawRequest(const RequestMix &M, std::mt19937_64 &Random);
/// Returns the prompt of \p D: the shared preamble, the marker `#req:ID#` with
/// \p Id, and the unique part.
std::string makePrompt(const RequestMix &M, const DrawnRequest &D,
                       const std::string &Id);

} // namespace shallotlatch
