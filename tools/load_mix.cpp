#include "load_mix.h"

#include "shallotlatch/config.h"
#include "shallotlatch/types.h"

#include <algorithm>
#include <stdexcept>

namespace shallotlatch {

static constexpr uint32_t MaxPromptTokens = 40000;

static RequestMix pautaMix() {
  RequestMix M;
  M.Customers = {"cooperativa-uva", "cooperativa-leite", "malharia-stella",
                 "vinhos-rossi", "moveis-tondo"};
  M.CustomerShares = {5, 3, 1, 1, 1};
  M.Entries = {
      {"ruling", 0.15, false, false, 4000, 0.7, 1200, 6, 60},
      {"question", 0.45, false, false, 80, 0.6, 200, 3, 24},
      {"tag-accounts", 0.25, false, false, 200, 0.6, 300, 2, 12},
      {"confirm-posting", 0.15, true, true, 30, 0.2, 0, 1, 0},
  };
  return M;
}

static RequestMix haneulMix() {
  RequestMix M;
  M.Customers = {"workshop", "shop", "temple-counters", "wedding-planners",
                 "clerks"};
  M.CustomerShares = {3, 4, 1, 1, 2};
  M.Entries = {
      {"pattern-brief", 0.12, false, false, 3000, 0.7, 3000, 8, 50},
      {"reply", 0.38, false, false, 100, 0.6, 400, 4, 24},
      {"tag-order", 0.15, false, false, 100, 0.5, 200, 2, 8},
      {"place-order", 0.1, true, true, 30, 0.2, 0, 1, 0},
      {"stock-lookup", 0.25, true, false, 20, 0.2, 0, 1, 0},
  };
  return M;
}

RequestMix deploymentMix(const std::string &Deployment) {
  if (Deployment == "pauta") {
    return pautaMix();
  }
  if (Deployment == "haneul") {
    return haneulMix();
  }
  throw std::invalid_argument("deployment \"" + Deployment +
                              "\" does not exist; expected pauta or haneul");
}

DrawnRequest drawRequest(const RequestMix &M, std::mt19937_64 &Random) {
  std::vector<double> Shares;
  for (const MixEntry &E : M.Entries) {
    Shares.push_back(E.Share);
  }
  DrawnRequest D;
  D.Entry = std::discrete_distribution<uint32_t>(Shares.begin(),
                                                 Shares.end())(Random);
  D.Customer = std::discrete_distribution<uint32_t>(
      M.CustomerShares.begin(), M.CustomerShares.end())(Random);
  const MixEntry &E = M.Entries[D.Entry];
  double Factor =
      std::lognormal_distribution<double>(0, E.PromptTokensSigma)(Random);
  D.PromptTokens = std::min(
      MaxPromptTokens,
      std::max<uint32_t>(8, static_cast<uint32_t>(E.PromptTokens * Factor)));
  D.Preamble =
      std::uniform_int_distribution<uint32_t>(0, E.PreambleCount - 1)(Random);
  return D;
}

// Words that follow from a seed alone.
static void appendText(std::string &Out, uint64_t Seed, uint32_t Tokens) {
  size_t End =
      Out.size() + size_t(Tokens) * SHALLOTLATCH_CONFIG_BYTES_PER_TOKEN;
  for (uint64_t I = 0; Out.size() < End; ++I) {
    Out += toHex(hashPair(Seed, I)).substr(9);
    Out += ' ';
  }
  Out.resize(End);
}

std::string makePrompt(const RequestMix &M, const DrawnRequest &D,
                       const std::string &Id) {
  const MixEntry &E = M.Entries[D.Entry];
  std::string Prompt;
  appendText(Prompt, hashPair(hash64(E.Kind), D.Preamble), E.SharedTokens);
  Prompt += "#req:" + Id + "#";
  appendText(Prompt, hash64(Id), D.PromptTokens);
  return Prompt;
}

} // namespace shallotlatch
