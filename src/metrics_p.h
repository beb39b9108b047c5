/// \file
/// Counters, gauges and latency histograms of one daemon, in the Prometheus
/// text format.
#pragma once

#include "node_p.h"
#include "peer_task_p.h"
#include "slo_window_p.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace shallotlatch {

class DaemonMetrics {
public:
  DaemonMetrics();
  /// Counts one ended request. \p Total is the time from its submission to its
  /// verdict.
  void recordRequestEnd(const std::string &Tier, const Verdict &V,
                        Duration Total);
  /// Records the time from a request's submission to its first token.
  void recordFirstToken(const std::string &Tier, Duration TimeToFirstToken);
  /// Sets the gauges from the current state and returns all metrics as text.
  std::string render(const Node &N, const PeerStats &Peers,
                     const std::vector<SloBurnRate> &Rates);

private:
  prometheus::Registry Registry;
  prometheus::Family<prometheus::Counter> &Requests;
  prometheus::Family<prometheus::Histogram> &RequestDurations;
  prometheus::Family<prometheus::Histogram> &FirstTokenTimes;
  prometheus::Family<prometheus::Gauge> &Gauges;
  prometheus::Family<prometheus::Gauge> &BurnRates;
  prometheus::Family<prometheus::Gauge> &PoolWaiting;
};

} // namespace shallotlatch
