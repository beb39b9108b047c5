#include "gateway_metrics_p.h"

#include <prometheus/text_serializer.h>

#include <algorithm>

namespace shallotlatch {

// Seconds; the objectives of today's routes lie between 0.2 and 1.
static const prometheus::Histogram::BucketBoundaries Bounds = {
    0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 1.5, 2.5, 5, 10, 20};

static const char *kindName(RouteKind Kind) {
  switch (Kind) {
  case RouteKind::Idempotent:
    return "idempotent";
  case RouteKind::NonIdempotent:
    return "non-idempotent";
  case RouteKind::Stream:
    return "stream";
  }
  return "unknown";
}

GatewayMetrics::GatewayMetrics()
    : Requests(prometheus::BuildCounter()
                   .Name("shallotlatch_requests_total")
                   .Help("Ended requests by kind, rank, outcome and status")
                   .Register(Registry)),
      Repeats(prometheus::BuildCounter()
                  .Name("shallotlatch_repeats_total")
                  .Help("Second attempts wanted, by whether they were allowed")
                  .Register(Registry)),
      Quotas(prometheus::BuildCounter()
                 .Name("shallotlatch_quota_total")
                 .Help("Requests by whether their customer's quota took them")
                 .Register(Registry)),
      Totals(prometheus::BuildHistogram()
                 .Name("shallotlatch_request_seconds")
                 .Help("From a request's last byte to its end")
                 .Register(Registry)),
      Firsts(prometheus::BuildHistogram()
                 .Name("shallotlatch_first_event_seconds")
                 .Help("From a request's last byte to its first event")
                 .Register(Registry)),
      Pauses(prometheus::BuildHistogram()
                 .Name("shallotlatch_longest_pause_seconds")
                 .Help("Longest pause between two events of a stream")
                 .Register(Registry)),
      Waits(prometheus::BuildHistogram()
                .Name("shallotlatch_wait_seconds")
                .Help("From a request's last byte to its place")
                .Register(Registry)),
      Gauges(prometheus::BuildGauge()
                 .Name("shallotlatch_state")
                 .Help("State of this host, by name")
                 .Register(Registry)) {}

prometheus::Histogram &GatewayMetrics::histogram(Histograms &Family,
                                                 RouteKind Kind) {
  return Family.Add({{"kind", kindName(Kind)}}, Bounds);
}

void GatewayMetrics::recordRequestEnd(const EndedRequest &E) {
  if (E.MatchedRoute == nullptr) {
    this->Requests
        .Add({{"kind", "none"},
              {"rank", "none"},
              {"outcome", name(E.Result)},
              {"status", std::to_string(E.Status)}})
        .Increment();
    return;
  }
  // Ranks above the last are counted together.
  uint32_t Rank = std::min(E.MatchedRoute->Rank, 7U);
  this->Requests
      .Add({{"kind", kindName(E.MatchedRoute->Kind)},
            {"rank", std::to_string(Rank)},
            {"outcome", name(E.Result)},
            {"status", std::to_string(E.Status)}})
      .Increment();
  this->histogram(this->Totals, E.MatchedRoute->Kind)
      .Observe(toSeconds(E.Total));
  if (E.TimeToFirstEvent.count() > 0) {
    this->histogram(this->Firsts, E.MatchedRoute->Kind)
        .Observe(toSeconds(E.TimeToFirstEvent));
    this->histogram(this->Pauses, E.MatchedRoute->Kind)
        .Observe(toSeconds(E.LongestPause));
  }
}

void GatewayMetrics::recordWait(RouteKind Kind, Duration Wait) {
  this->histogram(this->Waits, Kind).Observe(toSeconds(Wait));
}

void GatewayMetrics::recordRetry(bool Allowed) {
  this->Repeats.Add({{"allowed", Allowed ? "yes" : "no"}}).Increment();
}

void GatewayMetrics::recordQuotaDecision(bool Admitted) {
  this->Quotas.Add({{"admitted", Admitted ? "yes" : "no"}}).Increment();
}

void GatewayMetrics::setGauge(const char *Name, double Value) {
  this->Gauges.Add({{"name", Name}}).Set(Value);
}

std::string GatewayMetrics::render() {
  return prometheus::TextSerializer().Serialize(this->Registry.Collect());
}

} // namespace shallotlatch
