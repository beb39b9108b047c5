#include "first_event_model_p.h"

#include <algorithm>
#include <cmath>

namespace shallotlatch {

// Start values, before anything is observed. They lie in the middle of what
// engines and plain services take, and count as `PriorWeight` observations.
static constexpr double StartEngineBaseMs = 30;
static constexpr double StartMsPerToken = 0.02;
static constexpr double StartServiceBaseMs = 30;
static constexpr double PriorWeight = 10;
// Prompt lengths at which the start values enter the fit.
static constexpr double PriorTokens = 2000;
// Factor by which the weight of an observation decays with each later one: the
// model follows a change of speed within about 200 observations.
static constexpr double ObservationDecay = 0.99;
// Largest factor between a prediction and the observation that is taken in.
static constexpr double MaxObservedFactor = 4;
// Bounds of the model.
static constexpr double MinBaseMs = 0.5;
static constexpr double MaxBaseMs = 2000;
static constexpr double MinMsPerToken = 0.0005;
static constexpr double MaxMsPerToken = 2;
// Spread of the prompt lengths, as a share of their mean square, below which
// they say nothing about the time for a token.
static constexpr double MinRelativeSpread = 0.02;
// Round trip to a domain to which no connection was made yet. It is long, so
// that the own domain is preferred until the distance is known.
static constexpr double StartRemoteMs = 50;
static constexpr double StartOwnMs = 1;
// Weights of a connection time above and below the average. A time is high if
// the target was slow to accept or a packet was lost, which says nothing about
// the distance, and is hardly ever too low.
static constexpr double RisingLatencyWeight = 0.02;
static constexpr double FallingLatencyWeight = 0.3;
// Longest connection time that is taken in. A lost packet is sent again only
// after a second.
static constexpr double MaxConnectMs = 500;

FirstEventModel::FirstEventModel(bool UsesTokens)
    : UsesTokens(UsesTokens),
      BaseMs(UsesTokens ? StartEngineBaseMs : StartServiceBaseMs),
      MsPerToken(UsesTokens ? StartMsPerToken : 0) {
  for (double Tokens : {0.0, 2 * PriorTokens}) {
    this->Weight += PriorWeight / 2;
    this->SumTokens += PriorWeight / 2 * Tokens;
    this->SumMs += PriorWeight / 2 * this->predictMs(Tokens);
    this->SumTokensSquared += PriorWeight / 2 * Tokens * Tokens;
    this->SumTokensMs += PriorWeight / 2 * Tokens * this->predictMs(Tokens);
  }
}

void FirstEventModel::observe(double PromptTokens, double ObservedMs) {
  if (!std::isfinite(PromptTokens) || !std::isfinite(ObservedMs) ||
      PromptTokens < 0 || ObservedMs <= 0) {
    return;
  }
  double Tokens = this->UsesTokens ? PromptTokens : 0;
  double Expected = this->predictMs(Tokens);
  double Ms = std::clamp(ObservedMs, Expected / MaxObservedFactor,
                         Expected * MaxObservedFactor);
  this->Weight = this->Weight * ObservationDecay + 1;
  this->SumTokens = this->SumTokens * ObservationDecay + Tokens;
  this->SumMs = this->SumMs * ObservationDecay + Ms;
  this->SumTokensSquared =
      this->SumTokensSquared * ObservationDecay + Tokens * Tokens;
  this->SumTokensMs = this->SumTokensMs * ObservationDecay + Tokens * Ms;
  this->fit();
}

void FirstEventModel::fit() {
  double MeanTokens = this->SumTokens / this->Weight;
  double MeanMs = this->SumMs / this->Weight;
  double MeanSquare = this->SumTokensSquared / this->Weight;
  double Variance = MeanSquare - MeanTokens * MeanTokens;
  if (this->UsesTokens && Variance > MinRelativeSpread * MeanSquare) {
    double Covariance = this->SumTokensMs / this->Weight - MeanTokens * MeanMs;
    this->MsPerToken =
        std::clamp(Covariance / Variance, MinMsPerToken, MaxMsPerToken);
  }
  this->BaseMs =
      std::clamp(MeanMs - this->MsPerToken * MeanTokens, MinBaseMs, MaxBaseMs);
}

double DomainLatency::roundTripMs(const std::string &Domain) const {
  auto It = this->RoundTrips.find(Domain);
  if (It != this->RoundTrips.end()) {
    return It->second;
  }
  return Domain == this->OwnDomain ? StartOwnMs : StartRemoteMs;
}

void DomainLatency::observe(const std::string &Domain, double ConnectMs) {
  if (!std::isfinite(ConnectMs) || ConnectMs < 0) {
    return;
  }
  double Ms = std::min(ConnectMs, MaxConnectMs);
  auto It = this->RoundTrips.find(Domain);
  if (It == this->RoundTrips.end()) {
    this->RoundTrips[Domain] = Ms;
    return;
  }
  It->second += (Ms > It->second ? RisingLatencyWeight : FallingLatencyWeight) *
                (Ms - It->second);
}

} // namespace shallotlatch
