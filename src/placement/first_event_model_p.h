/// \file
/// Learned time from sending a request to its first event, for the targets of
/// one service. The code does no input or output: it takes observations and
/// gives predictions.
#pragma once

#include <map>
#include <string>

namespace shallotlatch {

/// Time to the first event as a base time plus a time for each prompt token,
/// fitted to the observations of one service with older ones fading out. It
/// describes the mean target; callers scale it by each target's slowness.
/// Invalid observations are ignored, and each is limited to a factor of the
/// prediction, so that no single one moves the model far.
class FirstEventModel {
public:
  /// \p UsesTokens: the time grows with the prompt tokens.
  explicit FirstEventModel(bool UsesTokens);

  /// Predicted time in ms with \p PromptTokens to read, without the network.
  double predictMs(double PromptTokens) const {
    return this->BaseMs + this->MsPerToken * PromptTokens;
  }
  /// Records that a first event came \p ObservedMs after the request was sent,
  /// without the network, with \p PromptTokens to read before it.
  void observe(double PromptTokens, double ObservedMs);

  double baseMs() const { return this->BaseMs; }
  double msPerToken() const { return this->MsPerToken; }

private:
  void fit();

  bool UsesTokens;
  double BaseMs;
  double MsPerToken;
  // Sums over the observations, with weights that decay.
  double Weight = 0;
  double SumTokens = 0;
  double SumMs = 0;
  double SumTokensSquared = 0;
  double SumTokensMs = 0;
};

/// Learned round trip to the targets of each failure domain, from the times in
/// which connections are established.
class DomainLatency {
public:
  explicit DomainLatency(std::string OwnDomain)
      : OwnDomain(std::move(OwnDomain)) {}
  /// Round trip in ms to the targets in \p Domain.
  double roundTripMs(const std::string &Domain) const;
  /// Records that a connection to a target in \p Domain was established in
  /// \p ConnectMs.
  void observe(const std::string &Domain, double ConnectMs);

private:
  std::string OwnDomain;
  std::map<std::string, double> RoundTrips;
};

} // namespace shallotlatch
