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
  std::string Stamp;          ///< From targets: proof of their own answer.
  std::string NotRun;         ///< From targets: the request did not run.
  std::string TokenCounts;    ///< From callers: prompt and output tokens.
  std::string KeyScheme;      ///< Scheme of the Authorization field.
  std::vector<std::string> NotFromCallers; ///< Dropped from requests.
};

struct RelayInit {
  RelayHeaders Headers;
  std::string Domain;
  /// Age of the configuration from which customers' keys are not trusted.
  Duration KeyAgeLimit = seconds(3);
  /// Age from which an unknown route or key may only be new.
  Duration FreshAge = millis(1500);
  RetryBudgetInit Budget;
  QuotaSlack Slack;
  CrashGuardInit Crashes;
  uint64_t Seed = 1; ///< Of this host's random choices.
};

/// Readable figures of the relay.
struct RelayStats {
  uint32_t Held = 0;
  uint64_t Asked = 0;
  uint64_t Completed = 0;
  uint64_t Refused = 0;
  uint64_t Failed = 0;
  uint64_t Cancelled = 0;
  uint64_t SentAgain = 0;
  uint64_t Resumed = 0;
};

class RelayTable : public FrontEvents, public WireCallEvents {
public:
  RelayTable(event_base *Base, const FrontInit &Front, const RelayInit &Init,
             const Directory &Beliefs);
  ~RelayTable() override;

  void configure(std::shared_ptr<const RoutingConfig> Config);
  void setTarget(const TargetEntry &Target);
  void removeTarget(const std::string &Instance);
  void setRemoteHosts(uint32_t Remote);
  void setHosts(uint32_t Hosts) { this->Hosts = Hosts; }
  void tick();
  /// Nothing that lasts longer than this may begin any more.
  void drain(Time Until);
  void closeIdle() { this->Front.drain(); }
  void stopAccepting() { this->Front.stopAccepting(); }
  /// Ends what is left: the process stops.
  void endAll();

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
  void setPost(PlacementTransport &To) { this->Post = &To; }
  void receive(const PlacementReport &Book);
  void receive(const PlacementReply &Reply);
  std::vector<TargetUse> ownUse() const;
  /// Short names of runs of targets that are leaving, or were gone lately.
  std::vector<uint32_t> departing(Time Now);
  /// What the owner of this domain says of them; replaces what it said before.
  void ownerDeparting(const std::vector<uint32_t> &Runs);
  RelayStats stats() const;
  Address callerAddress() const { return this->Front.address(); }
  FrontStats frontStats() const { return this->Front.stats(); }
  WireStats wireStats() const { return this->Wire.stats(); }
  bool idle() const { return this->Relays.empty(); }

  // FrontEvents
  void onAsk(CallerAsk &&Ask) override;
  void onGone(ExchangeId Exchange) override;
  void onWritable(ExchangeId Exchange) override;
  // WireCallEvents
  bool onSending(WireCallId Call) override;
  HeadAction onHead(WireCallId Call, HttpHead &Head) override;
  void onBody(WireCallId Call, std::string_view Part) override;
  void onEnd(WireCallId Call, WireEnd How) override;

private:
  /// One request from arrival to verdict.
  struct Relay {
    PlacementId Id;
    CallerAsk Ask;
    std::string RequestId;
    std::shared_ptr<const RoutingConfig> Config; ///< Keeps Path alive.
    const Route *Path = nullptr;
    const GatewayCustomer *Customer = nullptr;
    ServiceId Service;
    Fingerprint Print; ///< Of its content and customer.
    double QuotaAmount = 0;
    double PromptTokens = 0;
    double OutputTokens = 0;
    Time Deadline;
    Duration Spent{0};   ///< Its caller has been trying for this long.
    bool Placed = false; ///< Has a place on Target.
    bool Sent = false;   ///< The present attempt's bytes may have left.
    bool EverSent = false;
    bool MayHaveRun = false;
    uint32_t Attempts = 0; ///< Sent to targets that did not refuse.
    uint32_t Arrivals = 0; ///< Sent to targets at all.
    uint32_t ConnectFails = 0;
    uint32_t Sends = 0; ///< Tells one attempt from the next.
    std::vector<std::string> Tried;
    TargetEntry Target;
    WireCallId Call;
    Time SentAt;
    Time FirstEventAt;
    Time LastEventAt;
    Duration LongestPause{0};
    Duration Predicted{0};
    bool Begun = false; ///< Part of the answer went to the caller.
    // The present answer.
    int Status = 0;
    bool HeadSeen = false;
    bool NotRun = false;
    bool Events = false; ///< It is a stream of events.
    std::vector<HttpField> Fields;
    std::string Body;      ///< Whole answer, or a stream's unfinished event.
    std::string LastEvent; ///< Id of the last event passed on.
    uint32_t EventCount = 0;
  };
  struct Service {
    std::unique_ptr<ServicePlacement> Places;
    RetryBudget Budget;
    explicit Service(const RetryBudgetInit &Init) : Budget(Init) {}
  };

  Relay *find(PlacementId Id);
  Relay *findCall(WireCallId Call);
  Service &service(ServiceId Id);
  TargetEntry withDeparture(TargetEntry Target) const;
  bool admit(Relay &R);
  const GatewayCustomer *authenticate(const Relay &R, std::string &Why) const;
  bool keysTrusted() const;
  void place(Relay &R);
  void dispatch(ServiceId Id);
  /// Sends what owner and holders have to tell at the end of this turn.
  void postSoon();
  void postNow();
  void send(Relay &R, const PlacedRequest &P);
  std::string render(const Relay &R) const;
  bool sendAgain(Relay &R, const char *Why);
  void leaveTarget(Relay &R, AttemptResult Sign);
  void passEvents(Relay &R);
  void passWhole(Relay &R);
  void fail(Relay &R, int Status, const char *Why);
  void refuse(Relay &R, int Status, const char *Why, Duration RetryAfter);
  /// Refuses what has not run, and fails what may have.
  void giveUp(Relay &R, const char *Why, Duration RetryAfter);
  void finish(Relay &R, Outcome Result, int Status, const char *Why);

  event_base *Base;
  RelayInit Init;
  const Directory &Beliefs;
  FrontTask Front;
  WireClient Wire;
  FleetQuota Quota;
  CrashGuard Crashes;
  GatewayMetrics Metrics;
  std::shared_ptr<const RoutingConfig> Config;
  std::unordered_map<PlacementId, std::unique_ptr<Relay>> Relays;
  std::unordered_map<ExchangeId, PlacementId> ByExchange;
  std::unordered_map<WireCallId, PlacementId> ByCall;
  std::unordered_map<ServiceId, std::unique_ptr<Service>> Services;
  std::unordered_map<std::string, TargetEntry> Targets;
  std::unordered_map<uint32_t, Time> Gone; ///< Runs, and since when.
  std::set<uint32_t> OwnerDeparting;
  std::unordered_map<RouteId, Duration> LongestDeadline;
  uint64_t NextRun = 1;
  uint32_t Hosts = 1;
  uint32_t RemoteHosts = 0;
  HostId Owner;
  PlacementTransport *Post = nullptr;
  event *PostEvent = nullptr;
  bool Draining = false;
  PlacementId Starting; ///< Its call is being started.
  Time DrainUntil;
  RelayStats Counts;
};

} // namespace shallotlatch
