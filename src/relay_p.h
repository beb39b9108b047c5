/// \file
/// Forwards callers' requests to targets: holds each request from its arrival
/// to its verdict and decides whether it may be sent again.
#pragma once

#include "connect_probe_p.h"
#include "crash_guard_p.h"
#include "directory_p.h"
#include "event_stream_p.h"
#include "fleet_quota_p.h"
#include "fleet_rollouts_p.h"
#include "front_task_p.h"
#include "gateway_metrics_p.h"
#include "retry_budget_p.h"
#include "run_doubts_p.h"
#include "service_places_p.h"
#include "stream_archive_p.h"
#include "stream_search_p.h"
#include "target_paths_p.h"
#include "version_openings_p.h"
#include "wire_client_p.h"

#include "shallotlatch/verdict.h"
#include "stop_plan_p.h"

#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace shallotlatch {

/// Names of the header fields that carry the scheduler's own data. The names
/// are part of the interface to callers and targets.
struct RelayHeaders {
  std::string RequestId;
  /// Names the attempt that brought the first event of a stream that goes on.
  std::string Resumes;
  std::string DeadlineMs;     ///< Time left to the deadline, in whole ms.
  std::string Customer;       ///< To targets: name of the customer.
  std::string ExpectInstance; ///< To targets: any other instance must refuse.
  std::string ServerStamp;    ///< From targets: proves a response is theirs.
  std::string NotRun;         ///< From targets: the request did not run.
  /// From targets: requests per second that they take from the whole fleet.
  std::string TargetLimit;
  std::string LengthHint;    ///< From callers: estimate of the output tokens.
  std::string TargetLeaving; ///< From targets: `1` if the target leaves.
  /// From targets, with status 503: seconds in which they accept nothing.
  std::string RetryAfter;
  /// From targets: requests running, waiting, slots and the time that work
  /// takes in percent.
  std::string ServerLoad;
  std::string TokenCounts; ///< From callers: prompt and output tokens.
  std::string PromptParts; ///< From callers: parts of the prompt, in order.
  std::string KeyScheme;   ///< Scheme in the Authorization field.
  /// Fields of callers' requests that are not forwarded to targets.
  std::vector<std::string> StrippedCallerFields;
};

struct RelayInit {
  MemoryBudgetInit Memory;
  RelayHeaders Headers;
  std::string Domain;
  /// Age of the configuration at and above which customers' keys are not
  /// trusted.
  Duration MaxConfigAgeForKeys = seconds(3);
  /// Age of the configuration at and above which a route or key that it does
  /// not contain may have been added since.
  Duration MaxFreshConfigAge = millis(1500);
  RetryBudgetInit Budget;
  QuotaSlack Slack;
  CrashGuardInit Crashes;
  SchedulerFeatures Scheduling;
  uint64_t Seed = 1; ///< Seed of this host's random choices.
  /// Set where versions are rolled out by orders.
  std::optional<RolloutInit> Rollouts;
};

/// Counters and gauges of the relay.
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

/// Holds callers' requests and forwards each to a target of its service.
class RequestRelay : public FrontendEvents,
                     public OutboundCallEvents,
                     public ConnectProbeEvents,
                     public StreamArchiveEvents {
public:
  RequestRelay(event_base *Base, const FrontendInit &Frontend,
               const RelayInit &Init, FleetDirectory &StoreView);
  ~RequestRelay() override;

  void configure(std::shared_ptr<const RoutingConfig> Config);
  void setTarget(const TargetEntry &Target);
  void removeTarget(const std::string &Instance);
  void setRemoteHosts(uint32_t Remote);
  void setHosts(uint32_t Hosts) { this->Hosts = Hosts; }
  void tick();
  /// Starts draining: requests are admitted and sent as \p Plan says.
  void drain(const StopPlan &Plan);
  void closeIdleConnections() { this->Frontend.drain(); }
  void stopAccepting() { this->Frontend.stopAccepting(); }
  /// Ends all remaining requests because the process is about to stop.
  void endAllRequests();

  FleetQuota &quota() { return this->Quota; }
  CrashGuard &crashes() { return this->Crashes; }
  GatewayMetrics &metrics() { return this->Metrics; }
  /// Sums of targets, slots, running and waiting requests over all services.
  ServiceSchedulerStats poolStats() const;
  void peerUse(HostId Peer, const std::vector<TargetUse> &Uses);
  void forgetPeer(HostId Peer);
  /// Records that hosts of the fleet fell silent.
  void recordHostsLost();
  /// Sets the host that places requests for this host's failure domain. An
  /// invalid id means that there is none.
  void setOwner(HostId Owner);
  /// Sets the channel for messages between the owner and the holders. It must
  /// outlive the relay.
  void setPlacementChannel(PlacementTransport &Channel) {
    this->PlacementChannel = &Channel;
  }
  /// Sets what the store keeps of streams. It must outlive the relay.
  void setArchive(StreamArchive &Next) { this->Archive = &Next; }
  void setArchiveRole(const ArchiveRole &Role);
  /// Has the store keep streams that began in this host's failure domain.
  void archiveStreams(const std::vector<StreamNote> &Streams);
  // Implementation of StreamArchiveEvents.
  void onStreamsRead(const std::vector<StreamNote> &Streams) override;
  void onVersionsRead(const ServiceVersions &Versions, bool IsTrusted) override;
  void onRecordsRead(Time ReadAt) override;
  void onRecordsUnread() override;
  void onBasesRead(const std::map<ServiceId, SoftwareId> &Bases) override;
  void onAnnouncementsRead(const AnnouncedVersions &Versions) override;
  void onUnrecordedVersions(
      const std::map<ServiceId, SoftwareId> &Versions) override;
  void receive(const PlacementReport &Book);
  void receive(const PlacementReply &Reply);
  std::vector<TargetUse> ownUse() const;
  /// Sets this host and the hosts that share the limits which targets name:
  /// those that place requests to engines, and all that serve.
  void setLimitHosts(HostId Self, const std::vector<HostId> &Placing,
                     const std::vector<HostId> &All);
  /// What peers need to know of the targets' limits.
  std::vector<TargetLimitReport> targetLimits(Time Now);
  void mergeTargetLimits(const std::vector<TargetLimitReport> &Reports);
  /// Changes whenever there is something new in `targetLimits`.
  uint64_t targetLimitsVersion() const;
  /// Number of targets that name a limit.
  size_t limitedTargets() const;
  /// Numbers of targets that told this host that they leave, and of a pause.
  void countNotices(uint32_t &SaidLeaving, uint32_t &Paused) const;
  /// Short identities of the target processes that are leaving or were removed
  /// recently.
  std::vector<uint32_t> departingTargets(Time Now);
  /// Takes over the short identities of the runs that a peer found dead.
  void hearDeadTargets(HostId Peer, const std::vector<uint32_t> &Dead);
  /// Replaces the list of departing targets that the owner of this failure
  /// domain reports; \p Runs holds their short identities.
  void setOwnerDepartingTargets(const std::vector<uint32_t> &Runs);
  void onRollout(const RolloutOrder &Order, bool Appeared);
  void onRolloutGone(const std::string &Name);
  void receiveRollouts(const std::vector<RolloutNews> &News, bool FromOwner);
  /// Returns the roll-outs, or nullptr if they are turned off.
  FleetRollouts *rollouts() { return this->Rollouts.get(); }
  RelayStats stats() const;
  Address callerAddress() const { return this->Frontend.address(); }
  FrontendStats frontendStats() const { return this->Frontend.stats(); }
  PooledHttpClientStats targetClientStats() const {
    return this->TargetClient.stats();
  }
  MemoryBudget &budget() { return this->Budget; }
  bool idle() const { return this->Requests.empty(); }
  bool hasStreamAsks() const { return !this->UnsentAsks.empty(); }
  /// Takes the streams whose versions peers are to be asked for.
  /// \p HostsToAsk: number of peers that get the question.
  std::vector<StreamAsk> takeStreamAsks(uint32_t HostsToAsk);
  /// Takes the questions for peers about the versions of services before this
  /// process started.
  std::vector<StreamAsk> takeHistoryAsks();
  /// Takes what peers are to keep of the streams that began here.
  std::vector<StreamNote> takeStreamNotes();
  /// Takes over what a peer told; returns the answers to what it asked, as far
  /// as they need not wait.
  std::vector<StreamNote> receive(const StreamNews &News);
  /// Takes the answers to peers that had to wait.
  std::map<HostId, std::vector<StreamNote>> takeHistoryAnswers();
  /// Records a target that was in the store, perhaps for a while only.
  void recordTargetSeen(const TargetEntry &Target);
  /// All targets that were in the store up to \p ReadAt have been recorded.
  void onVersionsConfirmed(Time ReadAt);
  /// The store could not be asked for the targets that it has had.
  void onVersionsUnconfirmed();
  /// Targets may have been in the store that were not recorded.
  void onVersionsMissed();
  size_t knownStreams() const { return this->Origins.size(); }
  /// Returns the time for which streams that have begun may still go on.
  Duration longestStreamLife() const;

  /// Sets the peers that may pass requests on to targets.
  void setTunnelPeers(std::vector<TunnelPeer> Peers) {
    this->Paths.setPeers(std::move(Peers));
  }
  /// Returns the target's address for a tunnel that a peer asks for, or why
  /// there is none.
  std::variant<Address, TunnelRefusal>
  tunnelTo(const TunnelRequest &Request) const;
  /// Returns what a peer is told of a target to which this host could not
  /// connect for it.
  TunnelRefusal tunnelFailure(const TunnelRequest &Request);
  /// Takes over what a target says of itself in an answer to a peer.
  void observeTunnelHead(const TunnelRequest &Request, const HttpHead &Head);
  TargetPathStats pathStats() const {
    return this->Paths.stats(ProcessClock::now());
  }

  // FrontendEvents
  void onCallerRequest(FrontendRequest &&Request) override;
  void onCallerDisconnected(ExchangeId Exchange) override;
  void onCallerWritable(ExchangeId Exchange) override;
  void onCallerOverBudget(ExchangeId Exchange) override;
  bool onConnectionsFull() override;
  // OutboundCallEvents
  void onConnected(OutboundCallId Call, Duration Elapsed) override;
  void onTunnelAnswer(OutboundCallId Call,
                      const std::optional<TunnelAnswer> &Answer) override;
  bool onSending(OutboundCallId Call) override;
  ResponseHeadAction onHead(OutboundCallId Call, HttpHead &Head) override;
  void onBody(OutboundCallId Call, std::string_view Part) override;
  void onEnd(OutboundCallId Call, OutboundCallEnd End) override;
  void onIdleLost(uint64_t ServerIdentity) override;
  // ConnectProbeEvents
  void onProbeEnd(TargetRunId Target, bool Connected) override;

private:
  /// State of one request from its arrival to its verdict.
  struct RelayedRequest {
    PlacementId Id;
    FrontendRequest Request; ///< Without the body, which is shared.
    /// Body of the request. Calls to targets refer to it.
    std::shared_ptr<const std::string> RequestBody;
    std::string RequestId;
    std::shared_ptr<const RoutingConfig> Config; ///< Keeps MatchedRoute alive.
    const Route *MatchedRoute = nullptr;
    const GatewayCustomer *Customer = nullptr;
    ServiceId Service;
    /// Hash of the method, the path, the body and the customer, then the parts
    /// of the prompt that other requests may hold too.
    CrashPrints Prints;
    double QuotaAmount = 0;
    double PromptTokens = 0;
    double OutputTokens = 0;
    double OutputHint = 0; ///< Estimate of the output tokens; 0 if none.
    Time Deadline;
    /// Estimated time since the caller's first attempt at this request.
    Duration PriorAttemptTime{0};
    bool Placed = false;      ///< The request has a place on Target.
    bool AttemptSent = false; ///< Bytes of this attempt may have been sent.
    bool EverSent = false;
    bool RunInDoubt = false; ///< Target's run was in doubt at the sending.
    bool MayHaveRun = false;
    uint32_t Attempts = 0;   ///< Sends that no target refused to run.
    uint32_t TotalSends = 0; ///< All sends, refused ones included.
    uint32_t ConnectFailures = 0;
    uint32_t SendSerial = 0; ///< Serial number of the current attempt.
    std::vector<std::string> Tried;
    TargetEntry Target;
    OutboundCallId Call;
    RouteAttempts Ways; ///< Ways to Target that were tried.
    /// Peer that passes the current attempt on; nothing: an own connection.
    std::optional<TunnelPeer> Through;
    /// An own connection to Target carries the attempt, and may fall silent.
    bool AwaitedDirectly = false;
    Time HeardAt; ///< Last bytes of the current attempt's answer.
    Time SentAt;
    Time FirstEventAt;
    Time AnswerBegunAt; ///< First event of the current attempt.
    Time LastEventAt;
    Duration LongestPause{0};
    Duration Predicted{0};
    bool ResponseBegun = false; ///< Part of the response was sent.
    // Response of the current attempt.
    int Status = 0;
    bool HeadReceived = false;
    bool NotRun = false;
    bool IsEventStream = false; ///< The response is a stream of events.
    bool EndsAtClose = false;   ///< The response ends with its connection.
    /// Status and media type of the response to the caller, once it has begun.
    int BegunStatus = 0;
    std::string BegunType;
    std::vector<HttpField> Fields;
    std::string Body;        ///< Whole body, or a stream's incomplete event.
    std::string LastEventId; ///< Id of the last event forwarded.
    /// Id of the caller's attempt that brought the first event of the stream
    /// that this one goes on with; empty if it begins one.
    std::string Resumes;
    /// Version of the targets' software that began the stream; invalid until
    /// its first event, or until it is known for one that goes on.
    SoftwareId Software;
    /// Version at which the stream has to begin; invalid: any.
    SoftwareId BeginsAt;
    uint32_t EventCount = 0;
    uint32_t AttemptEvents = 0; ///< Events of the current attempt.
    uint32_t AttemptIds = 0;    ///< Of them, those with an id.
    EventStreamScanner Events;  ///< Of the current attempt.
    /// The last event forwarded has an id, so that another answer can go on.
    bool PositionKnown = true;
    bool AttemptFromStart = true; ///< It does not go on with a stream.
    bool ReadingPaused = false;   ///< The caller reads slower than the target.
  };
  struct ServiceState {
    std::unique_ptr<ServicePlacement> Places;
    RetryBudget Budget;
    explicit ServiceState(const RetryBudgetInit &Init) : Budget(Init) {}
  };

  /// A peer's question for the history of a service, which is answered once the
  /// store has confirmed this host's view.
  struct HistoryAsk {
    HostId Peer;
    StreamAsk Ask;
    Time At;
  };

  /// How an attempt ended, as evidence for or against a version.
  enum class RolloutEnd : uint8_t { Answered, TimedOut, Broken, Abandoned };
  bool isEngine(ServiceId Id) const;
  void tickRollouts(Time Now);
  bool rolloutAllows(const RelayedRequest &R);
  void recordRolloutSent(const RelayedRequest &R);
  void recordRolloutEnd(const RelayedRequest &R, RolloutEnd End);
  void applyStreamLife();
  void tickStreams(Time Now);
  void tickRuns(Time Now);
  /// Ends the doubts about runs to which older connections are open, and counts
  /// the runs that are connected.
  void compareConnections(Time Now);
  /// Records that a connection to the run was refused or broke.
  void suspectRun(uint32_t Run, const char *Why);
  static StreamId streamOf(const RelayedRequest &R);
  /// Whether the request goes on with a stream that began before.
  static bool goesOn(const RelayedRequest &R);
  /// Records the version that a stream began at or goes on at.
  void recordStream(RelayedRequest &R, Time Now);
  void placeOnceOriginIsKnown(RelayedRequest &R);
  /// Whether the request begins a stream that may go on elsewhere.
  static bool beginsStream(const RelayedRequest &R);
  /// Whether streams may begin at the version.
  bool mayBeginAt(ServiceId Service, SoftwareId Software);
  /// Limits a stream to a version at which it may begin. Returns false if there
  /// is none yet.
  bool bindToOpenVersion(RelayedRequest &R);
  void awaitOpening(const RelayedRequest &R);
  /// Announces versions that are due.
  void tickOpenings(Time Now);
  void retryAwaitingOpening(Time Now);
  /// Places a request by what the records that were just read say of streams
  /// that they do not hold. Returns false if they say nothing.
  bool concludeUnrecorded(PlacementId Id);
  VersionView versionView(ServiceId Service) const;
  /// Goes on with the search for the version of the request's stream: ends it,
  /// or asks the store to confirm this host's view.
  void continueSearch(PlacementId Id);
  /// Places the request by what its search has found.
  void concludeSearch(PlacementId Id, bool Confirmed);
  /// Has the store confirm this host's view for a search, or concludes it if
  /// that does not help.
  void searchView(PlacementId Id);
  /// Searches the store's records. Returns false if there is nothing to read.
  bool searchRecords(const RelayedRequest &R, StreamSearch &Search);
  /// Goes on with the searches that \p ReadAt covers; all if it is none.
  void continueAfterRecords(std::optional<Time> ReadAt);
  void tickArchive();
  /// Returns the time after which a stream that is not known now may be, 0 if
  /// there is none.
  Duration untilOriginKnown(ServiceId Service) const;
  /// Places the request, or refuses it if the version is not known.
  void placeWithOrigin(RelayedRequest &R, std::optional<SoftwareId> Software,
                       const char *How);
  RelayedRequest *find(PlacementId Id);
  RelayedRequest *findByCall(OutboundCallId Call);
  ServiceState &service(ServiceId Id);
  void applyLimitHosts(ServicePlacement &Places);
  /// Takes over the limit that an answer names, or that it names none.
  void observeLimit(const TargetEntry &Target, const std::string &RequestId,
                    const HttpHead &Head);
  /// Takes over what a target says of itself in the head of an answer.
  void observeNotices(const TargetEntry &Target, const std::string &RequestId,
                      const HttpHead &Head);
  /// Whether the notices of the targets allow another try of the request.
  bool mayTryAgain(const RelayedRequest &R);
  /// Time after which the caller of a request that targets did not run may try
  /// again.
  Duration retryAfterNotRun(const RelayedRequest &R);
  /// The request as the scheduler of its service takes it.
  static PlacementRequest placementOf(const RelayedRequest &R);
  /// Takes over what an answer says of the target's load.
  void observeLoad(const RelayedRequest &R, const HttpHead &Head);
  TargetEntry withOwnerDeparture(TargetEntry Target) const;
  /// Whether the owner's word is taken on the departure of a target. It is
  /// advice, so it must not leave a service without targets.
  bool departsByOwner(const TargetEntry &Target) const;
  /// Applies the owner's word to the targets of a service again.
  void reapplyOwnerDepartures(ServiceId Service);
  bool admit(RelayedRequest &R);
  /// Whether the host was asked to stop and admits no more requests.
  bool isClosed(Time Now) const;
  /// Whether a stopping host, as far as it can tell, is there for the answer to
  /// a request that is sent now.
  bool canAwaitAnswer(const RelayedRequest &R, Time Now) const;
  /// Refuses the requests that wait and can no longer be sent.
  void refuseUnsendable(Time Now);
  const GatewayCustomer *authenticate(const RelayedRequest &R,
                                      std::string &Detail) const;
  bool keysTrusted() const;
  void place(RelayedRequest &R);
  void dispatch(ServiceId Id);
  /// Schedules `sendPlacementMessages` for the end of this loop iteration.
  void schedulePlacementMessages();
  void sendPlacementMessages();
  void send(RelayedRequest &R, const PlacedRequest &P);
  /// Starts the call to the target by the next way that is left. Returns false
  /// if there is none.
  bool startCall(RelayedRequest &R);
  /// Tries another way to the target, or another target, after a call of which
  /// no byte was sent.
  void retryUnsent(RelayedRequest &R, OutboundCallEnd End);
  void recordSentDirectly(RelayedRequest &R, Time Now);
  void recordHeard(RelayedRequest &R, Time Now);
  void endDirectAttempt(RelayedRequest &R);
  /// Takes over that an own connection fell silent.
  void recordSilence(const RelayedRequest &R);
  void tickPaths(Time Now);
  /// Ends calls on own connections that fell silent, as far as their requests
  /// may run again, once this host has lost its paths.
  void abandonSilentCalls(Time Now);
  const TargetEntry *targetOfRun(TargetRunId Run) const;
  std::string serializeRequest(const RelayedRequest &R) const;
  bool tryRetry(RelayedRequest &R, const char *Cause);
  /// Whether a stream that has ended was broken off, as far as its framing does
  /// not tell.
  static bool endsWithinEvent(const RelayedRequest &R);
  /// Whether the current answer refuses the request without the proof that it
  /// did not run.
  static bool isUnprovenRefusal(const RelayedRequest &R);
  /// Whether the current answer, which is whole, says that the request failed.
  static bool isFailure(const RelayedRequest &R);
  /// Whether the current attempt's answer has begun and gone on for a while.
  static bool answerWellBegun(const RelayedRequest &R);
  /// Records whether the end of an attempt may be a crash that its content
  /// caused.
  void recordCrashEvidence(const RelayedRequest &R, OutboundCallEnd End);
  /// Reports to the budget what this class holds for the request.
  void account(const RelayedRequest &R);
  void releasePlace(RelayedRequest &R, AttemptResult Sign);
  /// Begins the response to the caller with the head of the current answer.
  void beginResponse(RelayedRequest &R);
  /// Whether an answer with \p Head goes on with the stream that has begun.
  static bool continuesStream(const RelayedRequest &R, const HttpHead &Head);
  /// Whether an attempt goes on at or before the last event forwarded.
  static bool repeatsEvents(const RelayedRequest &R);
  void forwardEvents(RelayedRequest &R);
  /// Fails a request whose target answers wrongly, and ends the call.
  void endCallAndFail(RelayedRequest &R, const char *Detail);
  void forwardCompleteResponse(RelayedRequest &R);
  void fail(RelayedRequest &R, int Status, const char *Detail);
  void refuse(RelayedRequest &R, int Status, const char *Detail,
              Duration RetryAfter);
  /// Fails a request that may have run or whose response has begun; refuses any
  /// other.
  void refuseOrFail(RelayedRequest &R, const char *Detail, Duration RetryAfter);
  void finish(RelayedRequest &R, Outcome Result, int Status,
              const char *Detail);

  event_base *Base;
  RelayInit Init;
  FleetDirectory &StoreView;
  MemoryBudget Budget;
  FrontendServer Frontend;
  PooledHttpClient TargetClient;
  FleetQuota Quota;
  CrashGuard Crashes;
  TargetPaths Paths;
  ConnectProbes Probes;
  Time NextPathTick;
  bool LoggedIsolated = false;
  RunDoubts Doubts;
  Time NextRunCheck;
  std::unique_ptr<FleetRollouts> Rollouts; ///< nullptr: turned off.
  StreamOrigins Origins;
  VersionOpenings Openings;
  /// Requests that wait for a version to begin at, and since when.
  std::map<PlacementId, Time> AwaitingOpening;
  /// See `StreamArchiveEvents::onUnrecordedVersions`, of the last read.
  std::map<ServiceId, SoftwareId> UnrecordedVersions;
  AnnouncedVersions AnnouncedElsewhere; ///< By other processes, as last read.
  uint64_t LastEra = 0;                 ///< Of the store; 0: not known yet.
  Time StartedAt;
  /// Requests that wait for the versions that began their streams.
  std::unordered_map<PlacementId, StreamSearch> Searches;
  std::vector<HistoryAsk> HistoryAsks; ///< Questions that wait for the store.
  std::map<HostId, std::vector<StreamNote>> HistoryAnswers; ///< To be sent.
  std::vector<StreamAsk> UnsentAsks; ///< Asks that peers have not got.
  StreamArchive *Archive = nullptr;  ///< nullptr: the store takes no records.
  Time NextServingRecord;
  /// Services of the routes of streams.
  std::set<ServiceId> StreamServices;
  GatewayMetrics Metrics;
  std::shared_ptr<const RoutingConfig> Config;
  std::unordered_map<PlacementId, std::unique_ptr<RelayedRequest>> Requests;
  std::unordered_map<ExchangeId, PlacementId> RunByExchange;
  std::unordered_map<OutboundCallId, PlacementId> RunByCall;
  std::unordered_map<ServiceId, std::unique_ptr<ServiceState>> Services;
  std::unordered_map<std::string, TargetEntry> Targets;
  /// Services of the targets by their short identities.
  std::unordered_map<uint32_t, ServiceId> ServiceOfTarget;
  /// Times at which targets were removed, by the target's short identity.
  std::unordered_map<uint32_t, Time> RemovedTargets;
  std::set<uint32_t> OwnerDepartingTargets;
  /// Longest deadline seen recently on each route, slowly decreasing.
  std::unordered_map<RouteId, Duration> LongestDeadline;
  uint64_t NextRun = 1;
  uint32_t Hosts = 1;
  uint32_t RemoteHosts = 0;
  /// Incarnations of which an unreadable load was logged.
  std::set<uint32_t> UnreadableLoads;
  HostId Self; ///< Invalid until `setLimitHosts`.
  std::vector<HostId> PlacingHosts;
  std::vector<HostId> AllHosts;
  HostId Owner;
  PlacementTransport *PlacementChannel = nullptr;
  event *PlacementSendEvent = nullptr;
  std::optional<StopPlan> Stop; ///< Empty: the host was not asked to stop.
  PlacementId StartingRun;      ///< Request whose call is being started.
  RelayStats Counts;
};

} // namespace shallotlatch
