/// \file
/// Places the requests of one service on its targets: decides which requests
/// wait, which are refused and which target each one gets. The code does no
/// input or output: it takes events, and gives placements and refusals.
#pragma once

#include "concurrency_limit_p.h"
#include "customer_shares_p.h"
#include "first_event_model_p.h"
#include "flow_estimate_p.h"
#include "routing_p.h"
#include "run_doubts_p.h"
#include "target_limits_p.h"
#include "target_notices_p.h"
#include "target_speed_p.h"
#include "version_filter_p.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace shallotlatch {

/// Identifies one request among all that this host's process queues or places,
/// its own and those of its holders.
using PlacementId = Id<struct PlacementTag, uint64_t>;

/// A request that needs a target.
struct PlacementRequest {
  PlacementId Id;
  CustomerId Customer;     ///< Invalid if it is not known.
  uint32_t Rank = 0;       ///< Priority; 0 is the most urgent.
  double PromptTokens = 0; ///< Zero if the service is no engine.
  double OutputTokens = 0;
  /// The caller's estimate of the output tokens; 0 if there is none.
  double OutputHint = 0;
  Duration Objective{0}; ///< Time objective from first attempt to first event.
  Time Arrived;          ///< Time of arrival at this host.
  Time FirstAttempt; ///< Time of the caller's first attempt, as far as known.
  bool RefusedBefore = false; ///< The caller was refused before.
  Time Deadline;              ///< Time after which the caller no longer waits.
  bool Repeatable = false;    ///< The request may run more than once.
  bool Stream = false;        ///< The answer is a stream; unknown at an owner.
  /// Version of the software that the target must have; invalid if any.
  SoftwareId Software;
  /// Instances that must not be used again.
  std::vector<std::string> Tried;
  /// Host that holds the request; invalid: this host.
  HostId Holder;
};

/// A decision that a request goes to a target.
struct PlacedRequest {
  PlacementId Id;
  TargetEntry Target;
  double PromptTokens = 0;
  Duration Predicted{0}; ///< Predicted time to the first event.
  Duration Waited{0};    ///< Time that the request has waited at this host.
  uint32_t Running = 0;  ///< Requests on the target before this one.
  bool Granted = false;  ///< The owner of the failure domain chose the target.
};

/// Why a request was refused. The numbers go over the wire.
enum class RefusalReason : uint8_t {
  Deadline,  ///< The deadline passed while the request waited.
  NoTarget,  ///< The service has no target.
  Overload,  ///< The objective can no longer be met.
  QueueFull, ///< Too many requests wait.
  NoVersion, ///< No target has the version that began the stream.
  Paused,    ///< Every target said that it pauses or leaves.
};
constexpr uint8_t RefusalReasonCount = 6;
/// Name of a reason in logs and answers.
const char *name(RefusalReason Why);

/// A decision that a request gets no target.
struct PlacementRefusal {
  PlacementId Id;
  RefusalReason Why = RefusalReason::Overload;
  Duration RetryAfter{0}; ///< Time after which the caller may try again.
};

/// Requests that one host has running on one target, as it reports them to its
/// peers.
struct TargetUse {
  uint32_t Target = 0;  ///< Hash of the target's instance.
  uint32_t Running = 0; ///< Number of requests.
  /// Prompt tokens of the requests that have no first event yet.
  uint32_t PromptTokens = 0;
};

/// How an attempt at a target ended, as far as it shows the target's health.
/// The numbers go over the wire.
enum class AttemptResult : uint8_t {
  Served,      ///< The target answered.
  Failed,      ///< The target answered with an error or an invalid message.
  Full,        ///< The target refused the request because it was full.
  Lost,        ///< The connection to the target broke.
  Unreachable, ///< No connection to the target could be made.
  Unknown,     ///< The caller left or the time ran out; this shows nothing.
};
constexpr uint8_t AttemptResultCount = 6;

/// Hash that stands for an instance in messages between hosts.
uint32_t instanceHash(const std::string &Instance);
/// Returns whether a target has the version \p Software, or any if it is
/// invalid.
bool hasSoftware(const TargetEntry &Target, SoftwareId Software);

/// Returns the size of a request in prompt tokens; output tokens weigh more.
double requestSize(const PlacementRequest &Request);

/// Numbers of targets and requests of one service.
struct ServiceSchedulerStats {
  uint32_t Targets = 0;
  uint32_t Usable = 0;  ///< Targets that are not leaving.
  uint32_t Slots = 0;   ///< Slots of the targets that are not leaving.
  uint32_t Running = 0; ///< Requests of this host and its peers that run.
  uint32_t Waiting = 0; ///< Requests that wait for a target.
  /// Predicted wait of a new request of the lowest priority; zero if waits are
  /// not predicted.
  Duration PredictedWait{0};
  /// Targets that are sent fewer requests than they have slots, as they slow
  /// down with more.
  uint32_t SpeedLimited = 0;
};

/// A learned limit of one target that has changed.
struct LimitChange {
  std::string Instance;
  uint32_t Limit = 0; ///< The target's slots if there is none any more.
  uint32_t Slots = 0;
  double EventMs = 0; ///< Time per event, as far as it is known.
};

/// Decisions of the scheduler that a deployment's settings turn on.
struct SchedulerFeatures {
  /// Requests that cannot be placed in time are refused when that is predicted,
  /// late ones let all others pass, and targets of other failure domains keep
  /// slots for the hosts of their own.
  bool PredictWaits = false;
  /// Within a priority, customers that have had their share of the slots come
  /// after the others.
  bool FairShares = false;
  /// The speed of each target is learned and decides what it gets.
  bool LearnSpeed = false;
  /// Time after a target said that it leaves within which callers may still
  /// send requests that reach it.
  Duration DrainTimeout = millis(2500);
};

/// Queue of waiting requests and state of the targets of one service.
class ServiceScheduler {
public:
  /// \p Seed differs between hosts, so that hosts with the same knowledge
  /// choose different targets. \p Engine: the targets are language model
  /// engines.
  ServiceScheduler(bool Engine, std::string OwnDomain, uint64_t Seed);
  /// Sets what is turned on; to be called before anything else.
  void setFeatures(const SchedulerFeatures &Next) {
    this->Features = Next;
    this->Notices.configure(Next.DrainTimeout, this->Seed);
  }

  /// Sets what decides about versions; nullptr: every version serves. It must
  /// outlive its use.
  void setVersionFilter(VersionFilter *Filter) { this->Versions = Filter; }
  /// Sets the runs that a request that goes on with a stream does not use. It
  /// must outlive its use.
  void setRunDoubts(const RunDoubts &Next) { this->Doubts = &Next; }
  /// Slots and load of the versions, as the filter tells them apart.
  VersionLoad versionLoad() const;

  /// Adds or updates a target. What is known of its health and speed is reset
  /// if its start time or its address changed.
  void setTarget(const TargetEntry &Entry, Time Now);
  void removeTarget(const std::string &Instance);
  bool hasTarget(const std::string &Instance) const {
    return this->Targets.count(Instance) != 0;
  }

  /// Adds a request to the queue.
  void enqueue(const PlacementRequest &Request);
  /// Removes a request from the queue, if it is there.
  void withdraw(PlacementId Id);
  /// Fills the requests that can be placed and those that have to be refused
  /// now, and removes them from the queue.
  void decide(Time Now, std::vector<PlacedRequest> &Placed,
              std::vector<PlacementRefusal> &Refused);
  /// Counts a request that another host placed on the target with the hash
  /// \p Target. Returns the target's entry, or nullptr if the target is not
  /// known or is not of the version \p Software.
  const TargetEntry *adopt(PlacementId Id, uint32_t Target, double PromptTokens,
                           Time Now, SoftwareId Software = {},
                           double OutputHint = 0);
  /// Records that the first event of a placed request has arrived.
  void started(PlacementId Id, Time Now);
  /// Records that \p Events more events of a placed request have arrived after
  /// the first one. Zero: the time up to now says nothing about the target.
  void progressed(PlacementId Id, uint32_t Events, Time Now);
  /// Records that a placed request had \p Events events in all when it ended
  /// well; to be called before `ended`.
  void completed(PlacementId Id, uint32_t Events);
  /// Takes what a target said of itself in the head of an answer, \p Load.Age
  /// ago. \p Identity: short identity of the process that said it.
  void observeLoad(const std::string &Instance, uint32_t Identity,
                   TargetLoad Load, Time Now);
  /// Takes what targets said of themselves to a holder.
  void observeLoads(const std::vector<TargetLoad> &Loads, Time Now);
  /// Returns the learned limits that changed since the last call.
  std::vector<LimitChange> takeLimitChanges();
  /// Returns what targets said to this host since the last call.
  std::vector<TargetLoad> takeLoads(Time Now);
  /// Takes what a holder observed of the targets' events.
  void observePaces(const std::vector<TargetPace> &Paces, Time Now);
  void observePace(const TargetPace &Pace, Time Now);
  /// Returns what this host observed since the last call, for its owner.
  std::vector<TargetPace> takePaces();
  /// Records that a connection to the target of a placed request was
  /// established in \p Elapsed.
  void connected(PlacementId Id, Duration Elapsed);
  /// Records that a placed request no longer uses its target.
  void ended(PlacementId Id, AttemptResult Result, Time Now);

  /// Replaces the use of targets that a peer reported before.
  void peerUse(HostId Peer, const std::vector<TargetUse> &Uses, Time Now);
  /// Drops the use of targets that a peer reported.
  void forgetPeer(HostId Peer);
  /// Sets the number of hosts that share each target of another failure domain.
  /// A host learns late what the others have running there, so in a large fleet
  /// only a few of them may use one such target, and none may use its last
  /// slot.
  void setRemoteHosts(uint32_t Hosts);
  /// Rates that the targets name for themselves.
  TargetLimits &limits() { return this->Limits; }
  const TargetLimits &limits() const { return this->Limits; }
  /// What the targets told this host of themselves.
  TargetNotices &notices() { return this->Notices; }
  const TargetNotices &notices() const { return this->Notices; }
  /// Takes the notices that the owner of this failure domain has to learn now.
  std::vector<TargetNotice> takeNotices(Time Now);
  /// Takes over what the targets told a holder. It decides only on the requests
  /// of this holder, and is advice for those of others, since a host may be
  /// wrong.
  void mergeHolderNotices(HostId Holder, const std::vector<TargetNotice> &Said,
                          Time Now);
  void forgetHolder(HostId Holder);
  /// Whether the notices allow that a request uses the target with the hash
  /// \p Target, which the owner granted.
  bool mayUseGrant(uint32_t Target, const PlacementRequest &Request,
                   Time Now) const;
  /// Whether the notices allow another try of a request while it can still meet
  /// its objective.
  bool mayTryAgain(const PlacementRequest &Request, Time Now) const;
  /// Whether all targets that the request may use pause or leave.
  ServiceOpening opening(const PlacementRequest &Request, Time Now) const;
  /// Time after which a caller may try again, spread over the callers, if all
  /// targets pause or leave now.
  static Duration retryAtOpening(const PlacementRequest &Request,
                                 const ServiceOpening &Open);
  /// Use of the targets by the requests that this host counts as its own.
  std::vector<TargetUse> ownUse() const;
  /// Names of the instances with these hashes; unknown hashes are skipped.
  std::vector<std::string> instances(const std::vector<uint32_t> &Hashes) const;
  ServiceSchedulerStats stats() const;
  /// Numbers of targets that told this host that they leave, and of a pause.
  void countNotices(Time Now, uint32_t &SaidLeaving, uint32_t &Paused) const;
  /// Whether requests wait in the queue, so that `decide` may give a decision
  /// without a new event.
  bool hasWaiting() const { return !this->Queue.empty(); }

  /// Returns whether a target of this version takes new requests.
  bool serves(SoftwareId Software) const;

private:
  /// A placed request that has not ended.
  struct InFlightRequest {
    std::string Instance;
    double PromptTokens = 0;
    /// Prompt tokens that the target had to read before the first event.
    double PendingTokens = 0;
    Time Sent;             ///< Time at which the request was placed.
    bool Started = false;  ///< The first event has arrived.
    double OutputHint = 0; ///< Estimate of the output tokens; 0 if none.
    /// Factors at the time of sending: the one that the target named, and the
    /// one that the prediction used.
    double SaidFactor = 1;
    double MomentFactor = 1;
    uint32_t Events = 0; ///< Events that have arrived.
    Time LastEventAt;
    std::optional<uint32_t> Rank; ///< Priority, if this host placed it.
  };
  /// State of one target as this host knows it.
  struct Target {
    TargetEntry Entry;
    uint32_t Incarnation = 0; ///< Key of its notices.
    bool AssignedHere = true; ///< This host may use the target.
    uint32_t OwnRunning = 0;  ///< Requests that this host counts as its own.
    /// Prompt tokens of the own requests that have no first event yet.
    double OwnPromptTokens = 0;
    uint32_t PeerRunning = 0; ///< Requests that peers reported.
    /// Prompt tokens of the peers' requests that have no first event yet.
    double PeerPromptTokens = 0;
    /// Moving average of observed over expected time to the first event.
    double Slowness = 1;
    /// Time of the last observation of `Slowness`.
    Time SlownessAt;
    TargetSpeed Speed;
    ConcurrencyLimit Limit;
    double FailureScore = 0; ///< Count of failures that decays with time.
    Time FailureScoreAt;     ///< Time up to which the score has decayed.
    /// The target failed recently. From `NextProbeAt` on it gets one request at
    /// a time, until it has served one.
    bool Suspect = false;
    /// Number of times that the target was marked suspect without serving a
    /// request in between.
    uint32_t SuspectStreak = 0;
    Time NextProbeAt;
  };
  /// A target that may take a request, with its cost.
  struct Choice {
    Target *Selected = nullptr; ///< nullptr: no target may take it.
    double Cost = 0;            ///< In ms; the lowest cost is the best.
    Duration Predicted{0};      ///< Predicted time to the first event.
    /// Predicted time to the end of the stream, in ms; 0 if not known.
    double EndMs = 0;
    /// The stream ends after its deadline here, and there is a faster target
    /// that has no free slot at the moment.
    bool WaitForFaster = false;
    bool Crowded = false; ///< The target says that it is full.
  };
  /// What `choose` learns of all targets, free or not.
  struct Overview {
    double Events = 0; ///< Expected events of the request; 0 if not known.
    double FastestEventMs = 0; ///< Shortest time per event of any target.
    uint32_t Running = 0;
    uint32_t Slots = 0;
    uint32_t Targets = 0;
    uint32_t Limited = 0; ///< Targets with a learned limit below their slots.
  };
  /// Position in the queue. Within a rank, requests that can still meet their
  /// objective come before those that cannot; otherwise an overload would make
  /// every request of the rank late. If waits are predicted, late requests of
  /// all ranks come last: they are worth less to their callers than any request
  /// that they would make late.
  struct QueueKey {
    bool Last; ///< Comes after the requests of all ranks.
    uint32_t Rank;
    bool OverShare; ///< The customer has had its share of the slots.
    bool Late;      ///< The objective can no longer be met.
    /// End of the objective, in microseconds since the clock's epoch.
    int64_t Due;
    uint64_t Serial; ///< Order of arrival.
    friend bool operator<(const QueueKey &A, const QueueKey &B) {
      if (A.Last != B.Last) {
        return B.Last;
      }
      if (A.Rank != B.Rank) {
        return A.Rank < B.Rank;
      }
      if (A.OverShare != B.OverShare) {
        return B.OverShare;
      }
      if (A.Late != B.Late) {
        return B.Late;
      }
      return A.Due != B.Due ? A.Due < B.Due : A.Serial < B.Serial;
    }
  };

  /// What the notices mean for one request.
  struct NoticeView {
    bool Any = false; ///< There are notices to look at.
    /// What targets told the holder of the request, if it is not this host.
    const TargetNotices *OfHolder = nullptr;
    /// A target of the needed version did not say that it leaves.
    bool OthersStay = true;
  };

  NoticeView noticeView(const PlacementRequest &Request) const;
  const TargetNotices *holderNotices(const PlacementRequest &Request) const;
  bool saidLeaving(const Target &T, const TargetNotices *OfHolder) const;
  /// Whether the notices allow that the request is placed on a target.
  bool mayPlace(const Target &T, const PlacementRequest &Request,
                const NoticeView &View, Time Now) const;
  /// Counts a request as running on a target.
  void occupy(Target &T, PlacementId Id, double PromptTokens, Time Now);
  /// Chooses a target for the request, at random among nearly equal ones.
  Choice choose(const PlacementRequest &Request, Time Now);
  /// Leaves in `Choices` the target of the new version to fill first, or the
  /// targets of others if it has no room.
  void preferNewVersion();
  /// Leaves in `Choices` the targets that suit the request's size better, if
  /// there are any: limited ones for large requests, others for small ones.
  void preferBySize(const PlacementRequest &Request, Time Now);
  /// Leaves in `Choices` the targets that suit the expected length of the
  /// answer: those on which it ends in time, and for a short one, while slots
  /// are scarce, the slow ones among them.
  void preferByLength(const PlacementRequest &Request, const Overview &All,
                      Time Now);
  /// Leaves in `Choices` the targets that are not crowded. If all are, the
  /// request may wait for a moment.
  void avoidCrowded(const PlacementRequest &Request, Time Now);
  /// Whether the target says that its slots are taken, although this host does
  /// not know of so many requests there.
  bool isCrowded(const Target &T, Time Now) const;
  /// Requests on the target, as far as this host knows or the target says.
  uint32_t requestsOn(const Target &T, Time Now) const;
  /// Whether the target runs as many requests as it handles well.
  bool isAtLimit(const Target &T) const;
  /// Average slowness of the target, less so the older it is.
  double slowness(const Target &T, Time Now) const;
  /// Adds a target to the overview.
  void survey(const Target &T, Overview &All) const;
  /// Time per event on a target, or the mean of all if it is not known; in ms.
  double eventMs(const Target &T) const;
  /// Whether a request that must end in time may wait for a faster target.
  bool mayAwaitFaster(const PlacementRequest &Request, Time Now) const;
  /// Removes from `Choices` the targets that other hosts say pause or leave, if
  /// enough others remain.
  void preferUnnoticed(Time Now);
  /// Rebuilds the index by hash and the peers' use of every target.
  void rebuildPeerUse();
  /// Adds a peer's use to the targets (\p Sign 1) or subtracts it (\p Sign -1).
  void applyUses(const std::vector<TargetUse> &Uses, int Sign);
  /// Updates the health of a target after an attempt.
  void recordResult(Target &T, AttemptResult Result, Time Now);
  /// Whether this host learns late what other hosts have running on the target.
  bool isPeerLoadDelayed(const TargetEntry &Entry) const;
  /// Whether this host is one of those that may use the target.
  bool isAssignedHere(const TargetEntry &Entry) const;
  /// Whether the target's run may go on with the stream of the request.
  bool mayGoOnAt(const Target &T, const PlacementRequest &Request) const;
  /// Whether the target may get one more request now.
  bool usable(const Target &T, Time Now) const;
  /// Estimates cost and time of a request on a target.
  Choice estimate(Target &T, const PlacementRequest &Request, Time Now) const;
  /// Marks a target suspect and sets the time of its next probe.
  void markSuspect(Target &T, Time Now);
  /// Updates `TooManySuspects`.
  void countSuspects();
  /// Whether the first event can still meet the objective on a target of
  /// slowness 1.
  bool canMeetObjective(const PlacementRequest &Request, Time Now) const;
  /// Predicts how long a request with \p Ahead others before it waits for a
  /// slot; zero if waits are not predicted.
  Duration predictWait(const QueueKey &Key, size_t Ahead, Time Now) const;
  /// Longest time that a request waits here before it is refused.
  Duration maxWait(const PlacementRequest &Request) const;
  /// Time after which the caller of a refused request is told to try again.
  Duration retryAfter(const PlacementRequest &Request, Time Now) const;

  bool Engine;
  SchedulerFeatures Features;
  VersionFilter *Versions = nullptr; ///< Not owned.
  const RunDoubts *Doubts = nullptr; ///< Not owned.
  std::string OwnDomain;
  FirstEventModel FirstEvent;
  DomainLatency Latency;
  FlowEstimate Flow;
  CustomerShares Shares;
  TargetLimits Limits;
  AnswerLength Length;
  double MeanEventMs = 0; ///< Mean time per event on all targets; 0 if unknown.
  /// Hashes of the targets whose pace has not been reported.
  std::vector<uint32_t> UnreportedPaces;
  TargetNotices Notices;
  /// What targets told the holders that this host places for.
  std::map<HostId, TargetNotices> NoticesOfHolders;
  /// What targets told any of them.
  TargetNotices Advice;
  std::vector<LimitChange> LimitChanges;
  /// What targets said and when; `Age` is not set.
  std::vector<std::pair<Time, TargetLoad>> UnreportedLoads;
  double MeanSize = 0; ///< Moving average of the size of requests.
  std::map<std::string, Target> Targets;
  std::map<QueueKey, PlacementRequest> Queue;
  std::unordered_map<PlacementId, QueueKey> QueueKeys;
  std::unordered_map<PlacementId, InFlightRequest> InFlight;
  std::map<HostId, std::vector<TargetUse>> PeerUses;
  /// Targets by the hash of their instance.
  std::unordered_map<uint32_t, Target *> ByHash;
  uint64_t NextSerial = 1;
  Time DecidedAt; ///< Time of the last call of `decide`.
  /// So many targets have a learned limit that it does not exclude any.
  bool TooManyLimited = false;
  /// So many targets are suspect that the fault is taken to lie elsewhere.
  bool TooManySuspects = false;
  uint32_t RemoteHosts = 0;
  uint64_t Seed;
  std::mt19937_64 Random;
  /// Choices for one request; a member only to reuse its memory.
  std::vector<Choice> Choices;
};

} // namespace shallotlatch
