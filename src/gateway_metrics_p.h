/// \file
/// Counters, gauges and latency histograms of one gateway, in the Prometheus
/// text format. Label values come from fixed sets, so that the number of time
/// series is bounded.
#pragma once

#include "routing_p.h"
#include "shallotlatch/verdict.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace shallotlatch {

/// Result and times of one ended request, as the metrics record them.
struct EndedRequest {
  /// Route that the request matched; nullptr: none.
  const Route *MatchedRoute = nullptr;
  Outcome Result = Outcome::NotRun;
  int Status = 0;    ///< HTTP status of the response.
  Duration Total{0}; ///< Time from the request's last byte to its end.
  /// Time from the request's last byte to its first event; zero: no event was
  /// forwarded.
  Duration TimeToFirstEvent{0};
  Duration LongestPause{0}; ///< Longest time between two events.
};

class GatewayMetrics {
public:
  GatewayMetrics();
  /// Counts one ended request and records its times.
  void recordRequestEnd(const EndedRequest &E);
  /// Records the time \p Wait from a request's last byte to its placement.
  void recordWait(RouteKind Kind, Duration Wait);
  /// Counts one wanted second attempt, by whether the budget allowed it.
  void recordRetry(bool Allowed);
  /// \p How: how the version that began a stream was found.
  void recordResumption(const char *How);
  /// Counts one request, by whether its customer's quota admitted it.
  void recordQuotaDecision(bool Admitted);
  /// Counts one request that was refused because its content crashes targets.
  void recordQuarantine() { this->Quarantined.Increment(); }
  /// Counts one answer by which a target refused a request without the proof
  /// that it did not run it.
  void recordUnprovenRefusal() { this->UnprovenRefusals.Increment(); }
  /// Sets the gauge \p Name. Callers pass string literals only, so that the
  /// number of gauges is bounded.
  void setGauge(const char *Name, double Value);
  std::string render();

private:
  using Counters = prometheus::Family<prometheus::Counter>;
  using Histograms = prometheus::Family<prometheus::Histogram>;
  prometheus::Histogram &histogram(Histograms &Family, RouteKind Kind);

  prometheus::Registry Registry;
  Counters &Requests;
  Counters &Retries;
  Counters &Resumptions;
  Counters &QuotaDecisions;
  prometheus::Counter &Quarantined;
  prometheus::Counter &UnprovenRefusals;
  Histograms &RequestDurations;
  Histograms &FirstEventTimes;
  Histograms &LongestPauses;
  Histograms &PlacementWaits;
  prometheus::Family<prometheus::Gauge> &Gauges;
};

} // namespace shallotlatch
