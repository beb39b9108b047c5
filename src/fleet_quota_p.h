/// \file
/// Customers' quotas over the whole fleet, from counters that hosts exchange.
/// Every host keeps the fleet's bucket of each customer: its own admissions
/// and what each peer says that it admitted in all (per-writer counters merged
/// by maximum, as in the related paper, sections 2.3 and 5).
#pragma once

#include "routing_p.h"

#include <map>
#include <unordered_map>

namespace shallotlatch {

/// What one host admitted for a customer since its process began.
struct CustomerUse {
  CustomerId Customer;
  uint64_t Admitted = 0;
};

struct QuotaDecision {
  bool Admitted = true;
  Duration RetryAfter{0};
};

/// What the operators tolerate beyond a quota in any window. Part of it is
/// given to customers while places stand free; the rest covers what hosts
/// admit before they hear of each other.
struct QuotaSlack {
  double Overage = 0;   ///< Share of what the quota allows in a window.
  double Tolerance = 0; ///< Amount besides.
  Duration Window = seconds(10);
};

class FleetQuota {
public:
  explicit FleetQuota(const QuotaSlack &Slack) : Slack(Slack) {}
  void configure(const RoutingConfig &Config, Time Now);
  QuotaDecision admit(CustomerId Customer, double Amount, Time Now);
  /// Gives back what was taken for a request that never ran.
  void refund(CustomerId Customer, double Amount);
  void mergePeerUse(HostId Peer, uint64_t Run,
                    const std::vector<CustomerUse> &Uses);
  /// Part of the rate that this host may count on: less what peers that
  /// cannot be heard may be using.
  void setRateShare(double RateShare) { this->RateShare = RateShare; }
  /// Whether every request finds a place at once.
  void setSpareCapacity(bool SpareCapacity) {
    this->SpareCapacity = SpareCapacity;
  }
  std::vector<CustomerUse> ownUse() const;
  /// What a request of \p Customer counts.
  static double requestAmount(const GatewayCustomer &Customer, bool HasTokens,
                              double Tokens);

private:
  struct Bucket {
    double Rate = 0;
    double Burst = 0;
    double Level = 0;
    double OwnAdmitted = 0;
    Time LastRefill;
  };
  struct PeerCount {
    uint64_t Run = 0;
    std::unordered_map<CustomerId, uint64_t> Seen;
  };
  void refill(Bucket &B, Time Now) const;

  QuotaSlack Slack;
  std::unordered_map<CustomerId, Bucket> Buckets;
  std::map<HostId, PeerCount> Peers;
  double RateShare = 1;
  bool Configured = false; ///< Customers were known once.
  bool SpareCapacity = true;
};

} // namespace shallotlatch
