/// \file
/// Places the requests of one service on its targets: who waits, who is
/// refused, who goes where. Pure: events in, placements and refusals out.
#pragma once

#include "routing_p.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace shallotlatch {

using PlacementId = Id<struct PlacementTag, uint64_t>;

/// One request that wants a place.
struct PlacementRequest {
  PlacementId Id;
  uint32_t Rank = 0;       ///< 0 is the most urgent.
  double PromptTokens = 0; ///< Zero at plain services.
  double OutputTokens = 0;
  Duration Objective{0};      ///< To the first event, from the first arrival.
  Time Arrived;               ///< At this host.
  Time FirstAttempt;          ///< First attempt of its caller, as far as known.
  bool RefusedBefore = false; ///< Its caller was refused before.
  Time Deadline;              ///< After this nobody waits for it.
  bool Repeatable = false;
  std::vector<std::string> Tried; ///< Instances not to be used again.
};

struct PlacedRequest {
  PlacementId Id;
  TargetEntry Target;
  double PromptTokens = 0;
  Duration Predicted{0}; ///< To the first event.
  Duration Waited{0};
  uint32_t Running = 0; ///< On the target before this one.
};

enum class RefusalReason : uint8_t {
  Deadline,  ///< It passed while the request waited.
  NoTarget,  ///< The service has none.
  Overload,  ///< Its objective cannot be met any more.
  QueueFull, ///< Too many wait.
};
constexpr uint8_t RefusalReasonCount = 4;
const char *name(RefusalReason Why);

struct PlacementRefusal {
  PlacementId Id;
  RefusalReason Why = RefusalReason::Overload;
  Duration RetryAfter{0};
};

/// What this host has running on one target, for its peers.
struct TargetUse {
  uint32_t Target = 0; ///< Hash of the instance.
  uint32_t Running = 0;
  uint32_t PromptTokens = 0; ///< Of requests without a first event yet.
};

/// How a run ended, as far as the target's condition shows.
enum class AttemptResult : uint8_t {
  Served,      ///< An answer of the target's own.
  Failed,      ///< It answered with an error, or not in the agreed form.
  Full,        ///< It refused for lack of room.
  Lost,        ///< The connection broke.
  Unreachable, ///< No connection came about.
  Unknown,     ///< The caller left, or the time ran out.
};
constexpr uint8_t AttemptResultCount = 6;

/// Short name of an instance in messages between hosts.
uint32_t instanceHash(const std::string &Instance);

struct ServiceSchedulerStats {
  uint32_t Targets = 0;
  uint32_t Usable = 0;
  uint32_t Slots = 0;
  uint32_t Running = 0;
  uint32_t Waiting = 0;
};

class ServiceScheduler {
public:
  /// \p Seed makes hosts with the same knowledge choose differently.
  ServiceScheduler(bool Engine, std::string OwnDomain, uint64_t Seed);

  void setTarget(const TargetEntry &Entry, Time Now);
  void removeTarget(const std::string &Instance);
  bool hasTarget(const std::string &Instance) const {
    return this->Targets.count(Instance) != 0;
  }

  void enqueue(const PlacementRequest &Request);
  void withdraw(PlacementId Id);
  /// Fills what can be placed and what has to be refused now.
  void decide(Time Now, std::vector<PlacedRequest> &Placed,
              std::vector<PlacementRefusal> &Refused);
  /// Counts a run that another host placed; the target's entry, or nullptr
  /// when it is not known here.
  const TargetEntry *adopt(PlacementId Id, uint32_t Target, double PromptTokens,
                           Time Now);
  void started(PlacementId Id, Time Now);
  void ended(PlacementId Id, AttemptResult Sign, Time Now);

  /// What a peer has running here; replaces what it said before.
  void peerUse(HostId Peer, const std::vector<TargetUse> &Uses, Time Now);
  void forgetPeer(HostId Peer);
  /// Number of hosts that share each target of another failure domain. What
  /// they have running is known late, so on a large fleet each such target is
  /// open to a few of them only, and its last slot to none.
  void setRemoteHosts(uint32_t Hosts);
  std::vector<TargetUse> ownUse() const;
  /// Names of the instances that are known here.
  std::vector<std::string> instances(const std::vector<uint32_t> &Hashes) const;
  ServiceSchedulerStats stats() const;
  /// Earliest time at which `decide` may change its mind by itself.
  bool hasWaiting() const { return !this->Queue.empty(); }

private:
  /// One run in flight.
  struct Running {
    std::string Instance;
    double PromptTokens = 0;
    Duration NominalFirstEvent{
        0}; ///< Expected time to the first event at speed one.
    Time Sent;
    bool Started = false;
  };
  /// Condition of one target as this host saw it.
  struct Target {
    TargetEntry Entry;
    bool AssignedHere = true; ///< This host may use it.
    uint32_t OwnRunning = 0;
    double OwnPromptTokens = 0;
    uint32_t PeerRunning = 0;
    double PeerPromptTokens = 0;
    double Slowness = 1; ///< Observed over expected time to the first event.
    double FailureScore = 0; ///< Decaying count of failures.
    Time FailureScoreAt;
    /// Failed lately: gets one run at a time, from NextProbeAt on, until one
    /// is served.
    bool Suspect = false;
    uint32_t SuspectStreak = 0; ///< In a row.
    Time NextProbeAt;
  };
  struct Choice {
    Target *At = nullptr;
    double Cost = 0;
    Duration Predicted{0};
  };
  /// What can still be on time goes before what is late already; otherwise an
  /// overload makes every request of a rank late.
  struct QueueKey {
    uint32_t Rank;
    bool Late;
    int64_t Due;
    uint64_t Serial;
    friend bool operator<(const QueueKey &A, const QueueKey &B) {
      if (A.Rank != B.Rank) {
        return A.Rank < B.Rank;
      }
      if (A.Late != B.Late) {
        return B.Late;
      }
      return A.Due != B.Due ? A.Due < B.Due : A.Serial < B.Serial;
    }
  };

  void occupy(Target &T, PlacementId Id, double PromptTokens, Time Now);
  Choice choose(const PlacementRequest &Request, Time Now);
  Duration nominalFirstEvent(double PromptTokens) const;
  void rebuildPeerUse();
  void applyUses(const std::vector<TargetUse> &Uses, int Sign);
  void recordResult(Target &T, AttemptResult Sign, Time Now);
  /// What others have running on it is known late.
  bool isPeerLoadDelayed(const TargetEntry &Entry) const;
  bool isAssignedHere(const TargetEntry &Entry) const;
  bool usable(const Target &T, Time Now) const;
  Choice estimate(Target &T, const PlacementRequest &Request) const;
  void markSuspect(Target &T, Time Now);
  void countSuspects();
  bool canMeetObjective(const PlacementRequest &Request, Time Now) const;
  Duration maxWait(const PlacementRequest &Request) const;
  Duration retryAfter(const PlacementRequest &Request, Time Now) const;

  bool Engine;
  std::string OwnDomain;
  std::map<std::string, Target> Targets;
  std::map<QueueKey, PlacementRequest> Queue;
  std::unordered_map<PlacementId, QueueKey> QueueKeys;
  std::unordered_map<PlacementId, Running> InFlight;
  std::map<HostId, std::vector<TargetUse>> PeerUses;
  std::unordered_map<uint32_t, Target *> ByHash;
  uint64_t NextSerial = 1;
  bool TooManySuspects = false; ///< The fault is not theirs.
  uint32_t RemoteHosts = 0;
  uint64_t Seed;
  std::mt19937_64 Random;
  std::vector<Choice> Choices; ///< Of one request; kept for its memory.
};

} // namespace shallotlatch
