/// \file
/// Customers' quotas over the whole fleet, from counters that hosts exchange.
/// Each host keeps a token bucket of the whole fleet for each customer. It
/// deducts its own admissions and the totals that its peers report (per-writer
/// counters merged by maximum, as in the related paper, sections 2.3 and 5).
#pragma once

#include "routing_p.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace shallotlatch {

/// Total amount that one host admitted for a customer since its process began.
struct CustomerUse {
  CustomerId Customer;
  uint64_t Admitted = 0;
};

/// Amount that the whole fleet may still admit for a customer at a moment, as
/// the owner of a failure domain tells its hosts; negative while in debt.
struct CustomerLevel {
  CustomerId Customer;
  int64_t Level = 0;
};

/// Result of an admission check.
struct QuotaDecision {
  bool Admitted = true;
  Duration RetryAfter{0}; ///< Advice to the customer if not admitted.
};

/// Excess over a quota that the operators tolerate in any window. Part of it is
/// given to customers while the targets have spare capacity; the rest covers
/// what hosts admit before they hear of each other.
struct QuotaSlack {
  double Overage = 0;   ///< Excess as a share of the quota of a window.
  double Tolerance = 0; ///< Excess as an amount, in addition to `Overage`.
  Duration Window = seconds(10);
};

/// Admission control by the customers' quotas.
class FleetQuota {
public:
  explicit FleetQuota(const QuotaSlack &Slack) : Slack(Slack) {}
  void configure(const RoutingConfig &Config, Time Now);
  /// Takes \p Amount from the customer's quota if the quota allows it.
  QuotaDecision admit(CustomerId Customer, double Amount, Time Now);
  /// Gives back the amount that was taken for a request that never ran.
  void refund(CustomerId Customer, double Amount);
  /// Deducts what \p Peer has admitted in its run \p Run since its last report.
  void mergePeerUse(HostId Peer, uint64_t Run,
                    const std::vector<CustomerUse> &Uses);
  /// Sets the share of each rate that this host may use. The rest is left to
  /// peers that are silent but may still admit requests.
  void setRateShare(double RateShare) { this->RateShare = RateShare; }
  /// Sets the number of hosts that admit by the same levels, and this host's
  /// seed.
  void setHosts(uint32_t Hosts, uint64_t Seed) {
    this->Hosts = std::max(1U, Hosts);
    this->Seed = Seed;
  }
  /// Sets whether the targets have spare capacity, so that every request is
  /// placed at once.
  void setSpareCapacity(bool SpareCapacity) {
    this->SpareCapacity = SpareCapacity;
  }
  /// Returns the totals that this host admitted, for its peers.
  std::vector<CustomerUse> ownUse() const;
  /// Returns the levels of all customers that have a quota.
  std::vector<CustomerLevel> levels(Time Now);
  /// Records that this host reported its totals in the state \p Sequence.
  void recordReport(uint32_t Sequence);
  /// Takes over the levels of an owner that had read the state \p Sequence of
  /// this host. What this host admitted since is deducted. Returns false, and
  /// changes nothing, if that state is not among the last reports.
  bool syncLevels(const std::vector<CustomerLevel> &Levels, uint32_t Sequence,
                  Time Now);
  /// Sets whether an owner's levels arrive in time. They include what peers
  /// admitted, so peers' reports are not deducted here then.
  void setFollowsOwner(bool Follows) { this->FollowsOwner = Follows; }
  /// Returns the amount that a request of \p Customer takes from its quota.
  static double requestAmount(const GatewayCustomer &Customer, bool HasTokens,
                              double Tokens);

private:
  struct Bucket {
    double Rate = 0;
    double Burst = 0;
    double Level = 0;       ///< Amount available; negative while in debt.
    double OwnAdmitted = 0; ///< Total admitted by this host.
    Time LastRefill;
    /// Amount that this host may admit until the next levels arrive, and
    /// whether it has drawn for more.
    double Allowance = 0;
    bool HasDrawn = false;
    double SyncedLevel = 0; ///< Level in the last levels.
    double OwnAtSync = 0;   ///< `OwnAdmitted` then.
    Time SyncedAt;
    double FleetRate = 0; ///< What the fleet admitted lately, a second.
    double OwnRate = 0;   ///< What this host did.
  };
  struct PeerCount {
    uint64_t Run = 0;
    std::unordered_map<CustomerId, uint64_t> Seen; ///< Highest totals reported.
  };
  /// Totals that this host reported in one state.
  struct Report {
    uint32_t Sequence = 0;
    std::unordered_map<CustomerId, double> Admitted;
  };
  void refill(Bucket &B, Time Now) const;
  double refillRate(const Bucket &B) const;
  /// Takes over the fleet's level \p Level for the time until the next one.
  void startAllowance(Bucket &B, double Level, Time Now) const;
  bool withinAllowance(Bucket &B, double Amount);

  QuotaSlack Slack;
  std::unordered_map<CustomerId, Bucket> Buckets;
  std::map<HostId, PeerCount> Peers;
  std::deque<Report> Reports; ///< The last reports, oldest first.
  uint32_t Hosts = 1;
  uint64_t Seed = 0;
  uint64_t Draws = 0;
  bool FollowsOwner = false;
  double RateShare = 1;
  bool Configured = false; ///< The quotas were configured before.
  bool SpareCapacity = true;
};

} // namespace shallotlatch
