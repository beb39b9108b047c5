#include "gateway_metrics_p.h"

#include <prometheus/text_serializer.h>

#include <algorithm>

namespace shallotlatch {

// Upper bounds in seconds. The objectives of the routes lie between 0.2 and 1.
static const prometheus::Histogram::BucketBoundaries SecondBuckets = {
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
      Retries(prometheus::BuildCounter()
                  .Name("shallotlatch_repeats_total")
                  .Help("Second attempts wanted, by whether they were allowed")
                  .Register(Registry)),
      Resumptions(prometheus::BuildCounter()
                      .Name("shallotlatch_resumptions_total")
                      .Help("Requests that go on with a stream, by how the "
                            "version that began it was found")
                      .Register(Registry)),
      QuotaDecisions(
          prometheus::BuildCounter()
              .Name("shallotlatch_quota_total")
              .Help("Requests by whether their customer's quota took them")
              .Register(Registry)),
      Quarantined(prometheus::BuildCounter()
                      .Name("shallotlatch_quarantined_total")
                      .Help("Requests refused since their content crashes "
                            "targets")
                      .Register(Registry)
                      .Add({})),
      UnprovenRefusals(prometheus::BuildCounter()
                           .Name("shallotlatch_unproven_refusals_total")
                           .Help("Answers of targets with status 408, 429 or "
                                 "503 that do not prove that the request did "
                                 "not run")
                           .Register(Registry)
                           .Add({})),
      RequestDurations(prometheus::BuildHistogram()
                           .Name("shallotlatch_request_seconds")
                           .Help("From a request's last byte to its end")
                           .Register(Registry)),
      FirstEventTimes(prometheus::BuildHistogram()
                          .Name("shallotlatch_first_event_seconds")
                          .Help("From a request's last byte to its first event")
                          .Register(Registry)),
      LongestPauses(prometheus::BuildHistogram()
                        .Name("shallotlatch_longest_pause_seconds")
                        .Help("Longest pause between two events of a stream")
                        .Register(Registry)),
      PlacementWaits(prometheus::BuildHistogram()
                         .Name("shallotlatch_wait_seconds")
                         .Help("From a request's last byte to its place")
                         .Register(Registry)),
      Gauges(prometheus::BuildGauge()
                 .Name("shallotlatch_state")
                 .Help("State of this host, by name")
                 .Register(Registry)) {}

prometheus::Histogram &GatewayMetrics::histogram(Histograms &Family,
                                                 RouteKind Kind) {
  return Family.Add({{"kind", kindName(Kind)}}, SecondBuckets);
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
  // Ranks from 7 upwards share one label value, so that the number of label
  // values is bounded.
  uint32_t Rank = std::min(E.MatchedRoute->Rank, 7U);
  this->Requests
      .Add({{"kind", kindName(E.MatchedRoute->Kind)},
            {"rank", std::to_string(Rank)},
            {"outcome", name(E.Result)},
            {"status", std::to_string(E.Status)}})
      .Increment();
  this->histogram(this->RequestDurations, E.MatchedRoute->Kind)
      .Observe(toSeconds(E.Total));
  if (E.TimeToFirstEvent.count() > 0) {
    this->histogram(this->FirstEventTimes, E.MatchedRoute->Kind)
        .Observe(toSeconds(E.TimeToFirstEvent));
    this->histogram(this->LongestPauses, E.MatchedRoute->Kind)
        .Observe(toSeconds(E.LongestPause));
  }
}

void GatewayMetrics::recordWait(RouteKind Kind, Duration Wait) {
  this->histogram(this->PlacementWaits, Kind).Observe(toSeconds(Wait));
}

void GatewayMetrics::recordRetry(bool Allowed) {
  this->Retries.Add({{"allowed", Allowed ? "yes" : "no"}}).Increment();
}

void GatewayMetrics::recordResumption(const char *How) {
  this->Resumptions.Add({{"version", How}}).Increment();
}

void GatewayMetrics::recordQuotaDecision(bool Admitted) {
  this->QuotaDecisions.Add({{"admitted", Admitted ? "yes" : "no"}}).Increment();
}

void GatewayMetrics::setGauge(const char *Name, double Value) {
  this->Gauges.Add({{"name", Name}}).Set(Value);
}

std::string GatewayMetrics::render() {
  return prometheus::TextSerializer().Serialize(this->Registry.Collect());
}

} // namespace shallotlatch
