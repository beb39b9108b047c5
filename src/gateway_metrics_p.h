/// \file
/// Counters and latency histograms of one gateway, in the Prometheus text
/// format. Labels come from fixed sets, so their number is bounded.
#pragma once

#include "routing_p.h"
#include "shallotlatch/verdict.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace shallotlatch {

/// How one request ended, as far as metrics tell.
struct EndedRequest {
  const Route *MatchedRoute = nullptr; ///< nullptr: it matched none.
  Outcome Result = Outcome::NotRun;
  int Status = 0;
  Duration Total{0};
  Duration TimeToFirstEvent{0}; ///< Zero: no event was passed on.
  Duration LongestPause{0};     ///< Longest between two events.
};

class GatewayMetrics {
public:
  GatewayMetrics();
  void recordRequestEnd(const EndedRequest &E);
  void recordWait(RouteKind Kind, Duration Wait);
  void recordRetry(bool Allowed);
  void recordQuotaDecision(bool Admitted);
  /// Sets a gauge by name; names are literals of the code.
  void setGauge(const char *Name, double Value);
  std::string render();

private:
  using Counters = prometheus::Family<prometheus::Counter>;
  using Histograms = prometheus::Family<prometheus::Histogram>;
  prometheus::Histogram &histogram(Histograms &Family, RouteKind Kind);

  prometheus::Registry Registry;
  Counters &Requests;
  Counters &Repeats;
  Counters &Quotas;
  Histograms &Totals;
  Histograms &Firsts;
  Histograms &Pauses;
  Histograms &Waits;
  prometheus::Family<prometheus::Gauge> &Gauges;
};

} // namespace shallotlatch
