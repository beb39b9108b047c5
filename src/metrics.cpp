#include "metrics_p.h"

#include <prometheus/text_serializer.h>

namespace shallotlatch {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;

static const prometheus::Histogram::BucketBoundaries SecondBuckets = {
    0.001, 0.005, 0.02, 0.1, 0.25, 0.55, 1, 2.5, 5, 10, 30, 60, 120};

DaemonMetrics::DaemonMetrics()
    : Requests(BuildCounter()
                   .Name("shallotlatch_requests_total")
                   .Help("Ended requests by tier, verdict and reason")
                   .Register(this->Registry)),
      Durations(BuildHistogram()
                    .Name("shallotlatch_request_seconds")
                    .Help("Time from submission to verdict of completed "
                          "requests")
                    .Register(this->Registry)),
      FirstTokens(BuildHistogram()
                      .Name("shallotlatch_first_token_seconds")
                      .Help("Time from submission to first token")
                      .Register(this->Registry)),
      Gauges(BuildGauge()
                 .Name("shallotlatch_state")
                 .Help("State of this host by name")
                 .Register(this->Registry)),
      Burn(BuildGauge()
               .Name("shallotlatch_slo_burn")
               .Help("Bad share divided by the share that the objective "
                     "allows")
               .Register(this->Registry)),
      Waiting(BuildGauge()
                  .Name("shallotlatch_pool_waiting")
                  .Help("Asks waiting in pools that this host owns")
                  .Register(this->Registry)) {}

void DaemonMetrics::recordRequestEnd(const std::string &Tier, const Verdict &V,
                                     Duration Total) {
  this->Requests
      .Add({{"tier", Tier},
            {"verdict", name(V.Result)},
            {"reason", name(V.Why)}})
      .Increment();
  if (V.Result == Outcome::Completed) {
    this->Durations.Add({{"tier", Tier}}, SecondBuckets)
        .Observe(toSeconds(Total));
  }
}

void DaemonMetrics::recordFirstToken(const std::string &Tier, Duration Wait) {
  this->FirstTokens.Add({{"tier", Tier}}, SecondBuckets)
      .Observe(toSeconds(Wait));
}

std::string DaemonMetrics::render(const Node &N, const PeerStats &Peers,
                                  const std::vector<SloBurnRate> &Burns) {
  EntryStats Entries = N.entry().stats();
  StoreStats Store = N.storeStats();
  ClaimWriterStats Keys = N.keyStats();
  auto Set = [&](const char *What, double Value) {
    this->Gauges.Add({{"what", What}}).Set(Value);
  };
  Set("requests_held", Entries.Held);
  Set("requests_waiting", Entries.Waiting);
  Set("requests_in_flight", Entries.InFlight);
  Set("hosts_live", N.membership().liveCount());
  Set("config_version",
      static_cast<double>(
          N.documents().stats(DocumentKind::Config).Number.Value));
  Set("store_calls", static_cast<double>(Store.Calls));
  Set("store_failures", static_cast<double>(Store.Failures));
  Set("claims", static_cast<double>(Keys.Claims));
  Set("claim_commits", static_cast<double>(Keys.Commits));
  Set("claim_conflicts", static_cast<double>(Keys.Conflicts));
  Set("peer_bytes_sent", static_cast<double>(Peers.BytesSent));
  Set("peer_bytes_received", static_cast<double>(Peers.BytesReceived));
  Set("peer_batches_dropped", static_cast<double>(Peers.BatchesDropped));
  for (const PoolStats &P : N.pools().stats()) {
    this->Waiting.Add({{"region", P.Region}, {"group", P.Group}})
        .Set(P.Waiting);
  }
  for (const SloBurnRate &B : Burns) {
    this->Burn
        .Add({{"series", B.Series},
              {"window_s", std::to_string(B.Window.count() / 1000000)}})
        .Set(B.BurnRate);
  }
  return prometheus::TextSerializer().Serialize(this->Registry.Collect());
}

} // namespace shallotlatch
