/// \file
/// Roll-out of one service as a host sees it: the order, the evidence, what the
/// versions may get, and what other hosts are told and the store is to show.
#pragma once

#include "place_pool_p.h"
#include "rollout_policy_p.h"
#include "version_filter_p.h"

#include <memory>
#include <set>

namespace shallotlatch {

/// What a host tells others of a roll-out. Without `Report` it is what an owner
/// tells the hosts of its failure domain.
struct RolloutNews {
  ServiceId Service;
  SoftwareId To;
  Duration Length{0};
  Duration Age{0}; ///< Time since the order, as the sender knows it.
  uint64_t Revision = 0;
  RolloutVerdict Verdict = RolloutVerdict::Open;
  std::optional<RolloutState> Written; ///< Status that the store showed.
  bool InTouch = false;                ///< The sender hears nearly all hosts.
  std::optional<RolloutReport> Report;
};

/// Receivers that news are made for.
enum class RolloutScope : uint8_t {
  Own,     ///< Counts of this host.
  Domain,  ///< Sum over the own failure domain, from its owner.
  Verdict, ///< To the hosts whose owner this host is.
};

/// How well this host hears the fleet.
struct RolloutTouch {
  bool FollowsOwner = false; ///< Another host places for the failure domain.
  bool HearsFleet = false;   ///< Nearly all hosts that may serve are heard.
  /// Hosts heard that may write a status, this one included; they all read the
  /// store themselves.
  std::vector<HostId> Writers;
  uint32_t Hosts = 1; ///< Hosts of the fleet, heard or not.
};

struct RolloutInit {
  RolloutBounds Bounds;
  HostId Self;
  uint64_t Run = 0;
  uint64_t Domain = 0; ///< Hash of the failure domain.
};

class ServiceRollout : public VersionFilter {
public:
  ServiceRollout(const RolloutInit &Init, ServiceId Service, bool Engine)
      : Init(Init), Service(Service), Engine(Engine) {}

  /// The targets are language model engines: no request can be moved.
  void setEngine() { this->Engine = true; }
  /// Takes over the order that the store shows. \p Appeared: the store was seen
  /// without it before, so the order is new.
  void onOrder(const RolloutOrder &Order, bool Appeared, uint64_t Era,
               Time Now);
  /// The store no longer shows the order.
  void onOrderGone(uint64_t Era, Time Now);
  void onTarget(const TargetEntry &Target, Time Now);
  void onTargetGone(const TargetEntry &Target);
  void setTouch(const RolloutTouch &Touch, Time Now);
  /// \p FromOwner: the sender places for this host's failure domain.
  void receive(const RolloutNews &News, bool FromOwner, Time Now);
  std::optional<RolloutNews> news(RolloutScope Scope, Time Now) const;
  void tick(const VersionLoad &Load, Time Now);
  /// Returns the status that this host has to write now.
  std::optional<RolloutStatusWrite> statusDue(Time Now) const;

  void recordSent(RouteId Route, const TargetEntry &Target);
  void recordAnswer(RouteId Route, const TargetEntry &Target, bool Failed,
                    Duration Elapsed, Time Now);
  /// Records that a caller left before its answer; this is evidence only if
  /// the answer was slow by then.
  void recordAbandoned(RouteId Route, const TargetEntry &Target,
                       Duration Elapsed, Time Now);
  /// Records that a connection broke before the answer's end.
  void recordLost(RouteId Route, const TargetEntry &Target, Duration Elapsed,
                  Time Now);
  /// Whether a request that was placed before may still be sent.
  bool maySend(const TargetEntry &Target) const;

  // Implementation of VersionFilter.
  VersionRule rule(const PlacementRequest &Request) const override;
  bool allows(VersionRule Rule, const TargetEntry &Target) const override;
  bool isNew(const TargetEntry &Target) const override;
  uint64_t position(const TargetEntry &Target) const override;
  void placed(const TargetEntry &Target) override;
  void served(uint32_t Rank, Duration Length) override;

  /// Whether there is anything that the scheduler has to ask for.
  bool active() const { return this->Current || !this->Blocked.empty(); }
  bool hasOrder() const { return this->Current != nullptr; }
  SoftwareId to() const;
  /// Name of the order's object; empty if only peers told of it.
  std::string orderName() const;
  RolloutVerdict verdict() const;
  std::optional<RolloutState> state() const;
  /// Why the version was judged bad; empty if it was not.
  std::string reason() const;
  double share() const;
  bool drainsOld() const;
  const RolloutRoutes *evidence() const;

private:
  /// How long requests use their targets, as moving averages.
  struct RunLength {
    double MeanMs = 0;
    double Variance = 0;
    uint64_t Count = 0;
  };
  /// State of the order in force.
  struct ActiveOrder {
    RolloutOrder Order; ///< `To` and `Name` are empty if only peers told of it.
    SoftwareId To;
    RolloutTally Tally;
    RolloutPolicy Policy;
    Time OrderedAt;       ///< Time of the order, as far as it is known.
    bool Appeared = true; ///< The store was seen without it.
    bool InStore = false; ///< The store shows it.
    uint64_t Era = 0;     ///< Era of the store that last showed it.
    /// Status that the store showed to this host or another one.
    std::optional<RolloutState> Known;
    Time KnownAt;
    Time LastSign; ///< Last time at which the store or a peer showed it.
    bool SawOther = false; ///< Another version was seen beside it.
    uint64_t Placed = 0;   ///< Requests that this host placed.
    uint64_t PlacedNew = 0;
    Duration Age{0};                       ///< At the last tick.
    std::map<uint32_t, RunLength> Lengths; ///< By rank.
    std::set<uint32_t> LostTargets;        ///< Runs whose connections broke.
    RolloutVerdict Logged = RolloutVerdict::Open;
    ActiveOrder(const RolloutInit &Init, Duration Length)
        : Tally(Init.Domain, Init.Self, Init.Run), Policy(Init.Bounds, Length) {
    }
  };
  /// A version that gets nothing although no order in force names it.
  struct BlockedVersion {
    Time Until;
    bool Bad = false; ///< Until its targets are gone.
    /// Its order ended before it was proven; it is blocked during later orders.
    bool Unproven = false;
  };

  void begin(const RolloutOrder &Order, SoftwareId To, Time OrderedAt,
             Time Now);
  /// Ends the order in force; a version that was not completed is blocked.
  void abandon(Time Now);
  void learnState(RolloutState State, Time Now);
  bool inTouch(Time Now) const;
  bool isBlocked(SoftwareId Software) const;
  /// Whether the store lists a version that may serve beside \p To.
  bool hasOther(SoftwareId To) const;
  RolloutSide sideOf(const TargetEntry &Target) const;
  /// Whether a request must not begin on the old version, since it would still
  /// run there when the old targets stop.
  bool mustMove(const PlacementRequest &Request) const;
  /// Requests that this host may send to the new version beyond its share.
  uint64_t allowance() const;
  std::optional<uint32_t> writerRank() const;

  RolloutInit Init;
  ServiceId Service;
  bool Engine;
  std::unique_ptr<ActiveOrder> Current;
  std::map<SoftwareId, BlockedVersion> Blocked;
  /// Instances of each version that the store lists.
  std::map<SoftwareId, std::set<std::string>> Versions;
  RolloutTouch Touch;
  Time TouchAt;     ///< Last time at which this host heard the fleet.
  Time OwnerNewsAt; ///< Last time at which the owner was in touch.
  /// An order that was withdrawn, and the end of the time in which late news of
  /// it are ignored.
  SoftwareId Withdrawn;
  Time WithdrawnUntil;
};

} // namespace shallotlatch
