/// \file
/// Passes callers' requests on to targets: holds each from its arrival to its
/// verdict, and decides what may be sent a second time.
#pragma once

#include "crash_guard_p.h"
#include "directory_p.h"
#include "fleet_quota_p.h"
#include "front_task_p.h"
#include "gateway_metrics_p.h"
#include "retry_budget_p.h"
#include "service_places_p.h"
#include "wire_client_p.h"

#include "shallotlatch/verdict.h"

#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace shallotlatch {

/// Names of the header fields that carry the scheduler's own matters. The
/// names belong to the interface that callers and targets speak.
struct RelayHeaders {
  std::string RequestId;
  std::string DeadlineMs;     ///< Time left, in whole milliseconds.
  std::string Customer;       ///< To targets: whose request it is.
  std::string ExpectInstance; ///< To targets: refuse it if you are another.
  std::string ServerStamp;    ///< From targets: proof of their own answer.
  std::string NotRun;         ///< From targets: the request did not run.
  std::string TokenCounts;    ///< From callers: prompt and output tokens.
  std::string KeyScheme;      ///< Scheme of the Authorization field.
  std::vector<std::string> StrippedCallerFields; ///< Dropped from requests.
};

struct RelayInit {
  RelayHeaders Headers;
  std::string Domain;
  /// Age of the configuration from which customers' keys are not trusted.
  Duration MaxConfigAgeForKeys = seconds(3);
  /// Age from which an unknown route or key may only be new.
  Duration MaxFreshConfigAge = millis(1500);
  RetryBudgetInit Budget;
  QuotaSlack Slack;
  CrashGuardInit Crashes;
  uint64_t Seed = 1; ///< Of this host's random choices.
};

/// Readable figures of the relay.
struct RelayStats {
  uint32_t HeldRequests = 0;
  uint64_t Received = 0;
  uint64_t Completed = 0;
  uint64_t Refused = 0;
  uint64_t Failed = 0;
  uint64_t Cancelled = 0;
  uint64_t Retried = 0;
  uint64_t Resumed = 0;
};

class RequestRelay : public FrontendEvents, public OutboundCallEvents {
public:
  RequestRelay(event_base *Base, const FrontendInit &Frontend,
               const RelayInit &Init, const FleetDirectory &StoreView);
  ~RequestRelay() override;

  void configure(std::shared_ptr<const RoutingConfig> Config);
  void setTarget(const TargetEntry &Target);
  void removeTarget(const std::string &Instance);
  void setRemoteHosts(uint32_t Remote);
  void setHosts(uint32_t Hosts) { this->Hosts = Hosts; }
  void tick();
  /// Nothing that lasts longer than this may begin any more.
  void drain(Time Until);
  void closeIdleConnections() { this->Frontend.drain(); }
  void stopAccepting() { this->Frontend.stopAccepting(); }
  /// Ends what is left: the process stops.
  void endAllRequests();

  FleetQuota &quota() { return this->Quota; }
  CrashGuard &crashes() { return this->Crashes; }
  GatewayMetrics &metrics() { return this->Metrics; }
  /// Targets, places and waiting requests of all services together.
  ServiceSchedulerStats poolStats() const;
  void peerUse(HostId Peer, const std::vector<TargetUse> &Uses);
  void forgetPeer(HostId Peer);
  /// The host that places for this host's failure domain; invalid: none.
  void setOwner(HostId Owner);
  /// Where messages between owner and holders go; must outlive the relay.
  void setPlacementChannel(PlacementTransport &To) {
    this->PlacementChannel = &To;
  }
  void receive(const PlacementReport &Book);
  void receive(const PlacementReply &Reply);
  std::vector<TargetUse> ownUse() const;
  /// Short names of runs of targets that are leaving, or were gone lately.
  std::vector<uint32_t> departingTargets(Time Now);
  /// What the owner of this domain says of them; replaces what it said before.
  void setOwnerDepartingTargets(const std::vector<uint32_t> &Runs);
  RelayStats stats() const;
  Address callerAddress() const { return this->Frontend.address(); }
  FrontendStats frontendStats() const { return this->Frontend.stats(); }
  PooledHttpClientStats targetClientStats() const {
    return this->TargetClient.stats();
  }
  bool idle() const { return this->Requests.empty(); }

  // FrontendEvents
  void onCallerRequest(FrontendRequest &&Request) override;
  void onCallerDisconnected(ExchangeId Exchange) override;
  void onCallerWritable(ExchangeId Exchange) override;
  // OutboundCallEvents
  bool onSending(OutboundCallId Call) override;
  ResponseHeadAction onHead(OutboundCallId Call, HttpHead &Head) override;
  void onBody(OutboundCallId Call, std::string_view Part) override;
  void onEnd(OutboundCallId Call, OutboundCallEnd How) override;

private:
  /// One request from arrival to verdict.
  struct RelayedRequest {
    PlacementId Id;
    FrontendRequest Request;
    std::string RequestId;
    std::shared_ptr<const RoutingConfig> Config; ///< Keeps Path alive.
    const Route *MatchedRoute = nullptr;
    const GatewayCustomer *Customer = nullptr;
    ServiceId Service;
    Fingerprint ContentFingerprint; ///< Of its content and customer.
    double QuotaAmount = 0;
    double PromptTokens = 0;
    double OutputTokens = 0;
    Time Deadline;
    Duration PriorAttemptTime{0}; ///< Its caller has been trying for this long.
    bool Placed = false;          ///< Has a place on Target.
    bool AttemptSent = false; ///< The present attempt's bytes may have left.
    bool EverSent = false;
    bool MayHaveRun = false;
    uint32_t Attempts = 0;   ///< Sent to targets that did not refuse.
    uint32_t TotalSends = 0; ///< Sent to targets at all.
    uint32_t ConnectFailures = 0;
    uint32_t SendSerial = 0; ///< Tells one attempt from the next.
    std::vector<std::string> Tried;
    TargetEntry Target;
    OutboundCallId Call;
    Time SentAt;
    Time FirstEventAt;
    Time LastEventAt;
    Duration LongestPause{0};
    Duration Predicted{0};
    bool ResponseBegun = false; ///< Part of the answer went to the caller.
    // The present answer.
    int Status = 0;
    bool HeadReceived = false;
    bool NotRun = false;
    bool IsEventStream = false; ///< It is a stream of events.
    std::vector<HttpField> Fields;
    std::string Body;        ///< Whole answer, or a stream's unfinished event.
    std::string LastEventId; ///< Id of the last event passed on.
    uint32_t EventCount = 0;
  };
  struct Service {
    std::unique_ptr<ServicePlacement> Places;
    RetryBudget Budget;
    explicit Service(const RetryBudgetInit &Init) : Budget(Init) {}
  };

  RelayedRequest *find(PlacementId Id);
  RelayedRequest *findByCall(OutboundCallId Call);
  Service &service(ServiceId Id);
  TargetEntry withOwnerDeparture(TargetEntry Target) const;
  bool admit(RelayedRequest &R);
  const GatewayCustomer *authenticate(const RelayedRequest &R,
                                      std::string &Why) const;
  bool keysTrusted() const;
  void place(RelayedRequest &R);
  void dispatch(ServiceId Id);
  /// Sends what owner and holders have to tell at the end of this turn.
  void schedulePlacementMessages();
  void sendPlacementMessages();
  void send(RelayedRequest &R, const PlacedRequest &P);
  std::string serializeRequest(const RelayedRequest &R) const;
  bool tryRetry(RelayedRequest &R, const char *Why);
  void releasePlace(RelayedRequest &R, AttemptResult Sign);
  void forwardEvents(RelayedRequest &R);
  void forwardCompleteResponse(RelayedRequest &R);
  void fail(RelayedRequest &R, int Status, const char *Why);
  void refuse(RelayedRequest &R, int Status, const char *Why,
              Duration RetryAfter);
  /// Refuses what has not run, and fails what may have.
  void refuseOrFail(RelayedRequest &R, const char *Why, Duration RetryAfter);
  void finish(RelayedRequest &R, Outcome Result, int Status, const char *Why);

  event_base *Base;
  RelayInit Init;
  const FleetDirectory &StoreView;
  FrontendServer Frontend;
  PooledHttpClient TargetClient;
  FleetQuota Quota;
  CrashGuard Crashes;
  GatewayMetrics Metrics;
  std::shared_ptr<const RoutingConfig> Config;
  std::unordered_map<PlacementId, std::unique_ptr<RelayedRequest>> Requests;
  std::unordered_map<ExchangeId, PlacementId> RunByExchange;
  std::unordered_map<OutboundCallId, PlacementId> RunByCall;
  std::unordered_map<ServiceId, std::unique_ptr<Service>> Services;
  std::unordered_map<std::string, TargetEntry> Targets;
  std::unordered_map<uint32_t, Time> RemovedTargets; ///< Runs, and since when.
  std::set<uint32_t> OwnerDepartingTargets;
  std::unordered_map<RouteId, Duration> LongestDeadline;
  uint64_t NextRun = 1;
  uint32_t Hosts = 1;
  uint32_t RemoteHosts = 0;
  HostId Owner;
  PlacementTransport *PlacementChannel = nullptr;
  event *PlacementSendEvent = nullptr;
  bool Draining = false;
  PlacementId StartingRun; ///< Its call is being started.
  Time DrainUntil;
  RelayStats Counts;
};

} // namespace shallotlatch
