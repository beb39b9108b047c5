/// \file
/// Evidence for and against a version that is being rolled out: what each host
/// sent and what came back, by version and route. The counts of a host's run
/// only rise, so they are merged as a maximum, and a message that is lost,
/// repeated or overtaken neither loses nor doubles any.
#pragma once

#include "rollout_order_p.h"

#include <array>
#include <map>
#include <vector>

namespace shallotlatch {

/// Versions that are compared: the one rolled out and all others.
enum class RolloutSide : uint8_t { Old, New };
constexpr size_t RolloutSides = 2;

/// How an answer counts as evidence.
enum class RolloutAnswer : uint8_t { Good, Failed, Slow };

/// Counts of one version on one route.
struct RolloutCounts {
  uint64_t Sent = 0;
  uint64_t Good = 0;
  uint64_t Failed = 0;
  uint64_t Slow = 0;

  uint64_t answers() const { return this->Good + this->Failed + this->Slow; }
  uint64_t bad() const { return this->Failed + this->Slow; }
  void add(const RolloutCounts &Other);
  /// Takes the larger of each count.
  void raise(const RolloutCounts &Other);
  /// Adds what \p To has beyond \p From, which is nowhere larger.
  void addDifference(const RolloutCounts &From, const RolloutCounts &To);
};

/// Counts of both sides, indexed by `RolloutSide`.
using RolloutPair = std::array<RolloutCounts, RolloutSides>;
using RolloutRoutes = std::map<RouteId, RolloutPair>;

/// Counts as they are sent to others: those of one run of a host, or the sum
/// over the hosts of a failure domain.
struct RolloutReport {
  uint64_t Domain = 0; ///< Hash of the failure domain.
  HostId Host;         ///< Invalid: the sum over the domain's hosts.
  uint64_t Run = 0;    ///< Process run of the host.
  RolloutRoutes Routes;
};

/// Counts of one order over the fleet. It handles some thousand calls per
/// second of `recordSent` and `recordAnswer`, and 392 reports per 120 ms.
class RolloutTally {
public:
  RolloutTally(uint64_t Domain, HostId Self, uint64_t Run)
      : Domain(Domain), Self(Self), Run(Run) {}

  void recordSent(RouteId Route, RolloutSide Side);
  /// Records an answer that took \p Elapsed to its first event or its end.
  /// An answer that did not fail is slow if it took much longer than the old
  /// version takes on this route at this time.
  RolloutAnswer recordAnswer(RouteId Route, RolloutSide Side, bool Failed,
                             Duration Elapsed, Time Now);
  /// Whether an answer that takes \p Elapsed is slow on this route.
  bool isSlow(RouteId Route, Duration Elapsed, Time Now) const;
  /// Takes over what others counted. An entry for this host's own run is
  /// ignored.
  void merge(const RolloutReport &Report);
  /// Counts of this host's run.
  RolloutReport own() const;
  /// Sum over the hosts of the own failure domain that were heard.
  RolloutReport ownDomain() const;
  /// Sums over all hosts and runs, by route.
  const RolloutRoutes &fleet() const { return this->Fleet; }

private:
  /// Recent time that the old version needs on a route.
  struct Reference {
    double MeanMs = 0;
    double Weight = 0; ///< Number of answers, decayed with time.
    Time At;
  };
  /// What is known of one failure domain.
  struct DomainCounts {
    std::map<std::pair<HostId, uint64_t>, RolloutRoutes> Runs;
    RolloutRoutes SumOfRuns;
    RolloutRoutes ToldSum; ///< Sum that an owner of the domain sent.
    RolloutRoutes Counted; ///< The larger of both, as it is in `Fleet`.
  };
  /// Weight of the reference at the time \p Now.
  static double weight(const Reference &Old, Time Now);
  void count(RouteId Route, RolloutSide Side, const RolloutCounts &More);
  /// Brings `Fleet` up to date with the counts of a domain on a route.
  void recount(DomainCounts &D, RouteId Route);

  uint64_t Domain;
  HostId Self;
  uint64_t Run;
  RolloutRoutes Fleet;
  std::map<uint64_t, DomainCounts> Domains;
  std::map<RouteId, Reference> References;
};

/// Returns the sums over all routes.
RolloutPair sumOf(const RolloutRoutes &Routes);

} // namespace shallotlatch
