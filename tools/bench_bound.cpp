#include "bench_bound.h"

#include "messages_p.h"

#include <algorithm>
#include <cmath>

namespace shallotlatch {

// Speeds of five hardware generations relative to the oldest.
static const double GenerationSpeeds[] = {1, 1.4, 2, 2.8, 4};

static const KindRule KindRules[] = {
    {"ruling", 0, seconds(60)},       {"question", 1, seconds(10)},
    {"tag-accounts", 2, seconds(20)}, {"pattern-brief", 0, seconds(60)},
    {"reply", 1, seconds(10)},        {"tag-order", 2, seconds(20)},
};

const KindRule &findKindRule(const std::string &Kind) {
  for (const KindRule &R : KindRules) {
    if (Kind == R.Kind) {
      return R;
    }
  }
  return KindRules[0];
}

EngineInit makeEngineInit(uint32_t Index) {
  EngineInit E;
  double Speed = GenerationSpeeds[Index % 5];
  E.PrefillTokensPerSecond = 5000 * Speed;
  E.DecodeMs = 24 / Speed;
  E.MaxBatch = 32;
  return E;
}

double totalEngineSpeed(uint32_t Engines) {
  double Sum = 0;
  for (uint32_t I = 0; I < Engines; ++I) {
    Sum += GenerationSpeeds[I % 5];
  }
  return Sum;
}

// The engines cache prefixes at a few fixed lengths only, so the longest of
// these lengths within the preamble counts.
uint32_t cacheableTokens(uint32_t SharedTokens) {
  std::string Text(size_t(SharedTokens) * SHALLOTLATCH_CONFIG_BYTES_PER_TOKEN,
                   'x');
  PrefixHashes P = hashPrefixes(Text);
  return P.Count == 0 ? 0 : P.tokens(0);
}

double capacityRequestsPerSecond(const RequestMix &Requests, uint32_t Engines) {
  double Shares = 0;
  EngineWork Mean;
  for (const MixEntry &E : Requests.Entries) {
    Shares += E.Share;
    double Unique = E.PromptTokens *
                    std::exp(E.PromptTokensSigma * E.PromptTokensSigma / 2);
    Mean.PrefillTokens +=
        E.Share * (Unique + E.SharedTokens - cacheableTokens(E.SharedTokens));
    Mean.OutputTokens += E.Share * E.OutputTokens;
  }
  double Cost = std::max(Mean.secondsByChunks(), Mean.secondsByBatch());
  return totalEngineSpeed(Engines) * Shares / Cost;
}

using SecondsFunction = double (EngineWork::*)() const;

static double upperBoundWorkBy(const std::vector<BoundRequest> &Requests,
                               double RemainingSeconds,
                               SecondsFunction Seconds) {
  double Work = 0;
  for (uint8_t Tier = 0; Tier < 3; ++Tier) {
    // Pairs of cost per work and cost.
    std::vector<std::pair<double, double>> Items;
    for (const BoundRequest &Request : Requests) {
      if (Request.Tier == Tier) {
        double Cost = (Request.MinimalWork.*Seconds)();
        Items.emplace_back(Cost / Request.Work, Cost);
      }
    }
    std::sort(Items.begin(), Items.end());
    for (const auto &Item : Items) {
      double Spent = std::min(RemainingSeconds, Item.second);
      RemainingSeconds -= Spent;
      Work += Spent / Item.first;
    }
  }
  return Work;
}

// The upper bound assumes that all engine seconds of the run are spent without
// loss and that each request has its minimal cost, with its shared prefix
// cached as far as the engines can cache it. The top tier is served first, and
// within a tier the requests with the most work per second. The number of steps
// has two lower bounds, one from prompt chunks and one from full batches. Both
// hold, so the smaller result is the upper bound on the work.
double upperBoundWork(const std::vector<BoundRequest> &Requests,
                      double EngineSeconds) {
  double ByChunks =
      upperBoundWorkBy(Requests, EngineSeconds, &EngineWork::secondsByChunks);
  double ByBatch =
      upperBoundWorkBy(Requests, EngineSeconds, &EngineWork::secondsByBatch);
  return std::min(ByChunks, ByBatch);
}

} // namespace shallotlatch
