/// \file
/// Counters and gauges of one daemon, in the Prometheus text format.
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
  /// Counts one ended request.
  void recordRequestEnd(const std::string &Tier, const Verdict &V,
                        Duration Total);
  void recordFirstToken(const std::string &Tier, Duration Wait);
  /// Reads the gauges and renders everything.
  std::string render(const Node &N, const PeerStats &Peers,
                     const std::vector<SloBurnRate> &Burns);

private:
  prometheus::Registry Registry;
  prometheus::Family<prometheus::Counter> &Requests;
  prometheus::Family<prometheus::Histogram> &Durations;
  prometheus::Family<prometheus::Histogram> &FirstTokens;
  prometheus::Family<prometheus::Gauge> &Gauges;
  prometheus::Family<prometheus::Gauge> &Burn;
  prometheus::Family<prometheus::Gauge> &Waiting;
};

} // namespace shallotlatch
