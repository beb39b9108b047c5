#include "fleet_quota_p.h"

#include "event_log_p.h"

#include <algorithm>

namespace shallotlatch {

// Bounds of the retry delay that a customer beyond its quota is told.
static constexpr Duration MinRetryAfter = millis(100);
static constexpr Duration MaxRetryAfter = seconds(3);
// Shares of `QuotaSlack::Overage` and `QuotaSlack::Tolerance` that are given to
// customers.
static constexpr double OverageShare = 0.8;
static constexpr double ToleranceShare = 0.5;
// Initial level of a bucket in a new process, as time at the customer's rate.
// It suffices for the requests that arrive before the process has heard its
// peers.
static constexpr double InitialFillSeconds = 0.25;
// Share of the bucket from which on hosts admit freely.
static constexpr double FreeLevelShare = 0.6;
// Time over which a host's part of what the fleet admits is taken.
static constexpr double ShareSeconds = 2;
// Longest time between two levels that says what the fleet admitted.
static constexpr double MaxSyncGapSeconds = 1;
// Number of reports whose totals are kept. An owner that has not read any of
// them is out of touch.
static constexpr size_t MaxReports = 64;

void FleetQuota::configure(const RoutingConfig &Config, Time Now) {
  for (const auto &Item : Config.Customers) {
    const GatewayCustomer &C = Item.second;
    bool New = this->Buckets.count(C.Id) == 0;
    Bucket &B = this->Buckets[C.Id];
    if (New) {
      // A new process cannot know what the customer has used, so the bucket
      // starts low; a quota that is new to the fleet starts full.
      B.Level = this->Configured
                    ? C.Burst
                    : std::min(C.Burst, C.RatePerSecond * InitialFillSeconds);
      B.LastRefill = Now;
    } else {
      this->refill(B, Now);
    }
    if (New || B.Rate != C.RatePerSecond || B.Burst != C.Burst) {
      logImportantEvent("quota", {{"customer", C.Name},
                                  {"per-s", C.RatePerSecond},
                                  {"burst", C.Burst},
                                  {"tokens", C.CountsTokens},
                                  {"config", Config.Version}});
    }
    B.Rate = C.RatePerSecond;
    B.Burst = C.Burst;
    B.Level = std::min(B.Level, B.Burst);
  }
  this->Configured = true;
}

void FleetQuota::refill(Bucket &B, Time Now) const {
  double Passed = toSeconds(Now - B.LastRefill);
  B.LastRefill = Now;
  B.Level = std::min(B.Burst, B.Level + this->refillRate(B) * Passed);
}

double FleetQuota::refillRate(const Bucket &B) const {
  double Rate = B.Rate;
  if (this->SpareCapacity) {
    double Window = toSeconds(this->Slack.Window);
    Rate += (this->Slack.Overage * OverageShare * (B.Rate * Window + B.Burst) +
             this->Slack.Tolerance * ToleranceShare) /
            Window;
  }
  return Rate * this->RateShare;
}

// All hosts admit by one level until the next one tells what the others have
// admitted. So each keeps to its part of the level, by what it admitted lately
// of all that the fleet did; a host without a part gets an equal one. Near the
// full bucket the customer is below its quota and every host admits freely.
void FleetQuota::startAllowance(Bucket &B, double Level, Time Now) const {
  double Passed = toSeconds(Now - B.SyncedAt);
  if (Passed > 0 && Passed < MaxSyncGapSeconds) {
    double Weight = std::min(1.0, Passed / ShareSeconds);
    double Fleet =
        std::max(0.0, (B.SyncedLevel - Level) / Passed + this->refillRate(B));
    double Own = (B.OwnAdmitted - B.OwnAtSync) / Passed;
    B.FleetRate += (Fleet - B.FleetRate) * Weight;
    B.OwnRate += (Own - B.OwnRate) * Weight;
  }
  double Part = B.FleetRate > 0 ? B.OwnRate / B.FleetRate : 0;
  Part = std::max(Part, 1.0 / this->Hosts);
  B.SyncedLevel = Level;
  B.SyncedAt = Now;
  B.OwnAtSync = B.OwnAdmitted;
  B.Allowance = std::max(0.0, Level) * std::min(1.0, Part);
  B.HasDrawn = false;
}

// A request is mostly larger than a host's part of a low level, so the host
// draws once whether it admits one.
bool FleetQuota::withinAllowance(Bucket &B, double Amount) {
  if (!this->FollowsOwner || B.SyncedLevel >= B.Burst * FreeLevelShare) {
    return true;
  }
  double Left = B.Allowance - (B.OwnAdmitted - B.OwnAtSync);
  if (Amount <= Left) {
    return true;
  }
  if (B.HasDrawn || Left <= 0) {
    return false;
  }
  B.HasDrawn = true;
  double Draw =
      static_cast<double>(hashPair(this->Seed, ++this->Draws) >> 11) * 0x1p-53;
  return Draw * Amount < Left;
}

double FleetQuota::requestAmount(const GatewayCustomer &Customer,
                                 bool HasTokens, double Tokens) {
  if (!Customer.CountsTokens) {
    return 1;
  }
  return HasTokens ? Tokens : Customer.DefaultTokens;
}

QuotaDecision FleetQuota::admit(CustomerId Customer, double Amount, Time Now) {
  QuotaDecision Decision;
  auto It = this->Buckets.find(Customer);
  if (It == this->Buckets.end() || It->second.Rate <= 0) {
    return Decision;
  }
  Bucket &B = It->second;
  this->refill(B, Now);
  // A request larger than the burst is admitted once the bucket is full, and
  // leaves a negative level.
  double Missing = std::min(Amount, B.Burst) - B.Level;
  if (Missing > 0 || !this->withinAllowance(B, Amount)) {
    double Seconds =
        std::max(0.0, Missing) / (B.Rate * std::max(0.05, this->RateShare));
    Decision.Admitted = false;
    Decision.RetryAfter =
        std::clamp(Duration(static_cast<int64_t>(Seconds * 1e6)), MinRetryAfter,
                   MaxRetryAfter);
    return Decision;
  }
  B.Level -= Amount;
  B.OwnAdmitted += Amount;
  return Decision;
}

void FleetQuota::refund(CustomerId Customer, double Amount) {
  auto It = this->Buckets.find(Customer);
  if (It != this->Buckets.end() && It->second.Rate > 0) {
    Bucket &B = It->second;
    B.Level = std::min(B.Burst, B.Level + Amount);
    // Peers ignore a total that falls, so for them the refund is deducted from
    // the admissions that follow.
    B.OwnAdmitted -= Amount;
  }
}

void FleetQuota::mergePeerUse(HostId Peer, uint64_t Run,
                              const std::vector<CustomerUse> &Uses) {
  PeerCount &P = this->Peers[Peer];
  bool First = P.Run == 0;
  if (P.Run != Run) {
    P.Seen.clear();
    P.Run = Run;
  }
  for (const CustomerUse &U : Uses) {
    uint64_t &Seen = P.Seen[U.Customer];
    if (U.Admitted <= Seen) {
      continue;
    }
    // The total that a peer had admitted before this host first heard it lies
    // in the past and is not deducted.
    double More = First ? 0 : static_cast<double>(U.Admitted - Seen);
    Seen = U.Admitted;
    auto It = this->Buckets.find(U.Customer);
    if (It != this->Buckets.end() && !this->FollowsOwner) {
      It->second.Level -= More;
    }
  }
}

std::vector<CustomerLevel> FleetQuota::levels(Time Now) {
  std::vector<CustomerLevel> Levels;
  for (auto &Item : this->Buckets) {
    if (Item.second.Rate > 0) {
      this->refill(Item.second, Now);
      Levels.push_back({Item.first, static_cast<int64_t>(Item.second.Level)});
    }
  }
  return Levels;
}

void FleetQuota::recordReport(uint32_t Sequence) {
  Report R;
  R.Sequence = Sequence;
  for (const auto &Item : this->Buckets) {
    R.Admitted[Item.first] = Item.second.OwnAdmitted;
  }
  this->Reports.push_back(std::move(R));
  if (this->Reports.size() > MaxReports) {
    this->Reports.pop_front();
  }
}

bool FleetQuota::syncLevels(const std::vector<CustomerLevel> &Levels,
                            uint32_t Sequence, Time Now) {
  auto Known = std::find_if(
      this->Reports.begin(), this->Reports.end(),
      [Sequence](const Report &R) { return R.Sequence == Sequence; });
  if (Known == this->Reports.end()) {
    return false;
  }
  for (const CustomerLevel &L : Levels) {
    auto It = this->Buckets.find(L.Customer);
    if (It == this->Buckets.end()) {
      continue;
    }
    Bucket &B = It->second;
    auto Reported = Known->Admitted.find(L.Customer);
    double Since = B.OwnAdmitted -
                   (Reported == Known->Admitted.end() ? 0 : Reported->second);
    B.Level = std::min(B.Burst, static_cast<double>(L.Level) - Since);
    B.LastRefill = Now;
    this->startAllowance(B, static_cast<double>(L.Level), Now);
  }
  return true;
}

std::vector<CustomerUse> FleetQuota::ownUse() const {
  std::vector<CustomerUse> Uses;
  for (const auto &Item : this->Buckets) {
    if (Item.second.OwnAdmitted > 0) {
      Uses.push_back(
          {Item.first, static_cast<uint64_t>(Item.second.OwnAdmitted)});
    }
  }
  return Uses;
}

} // namespace shallotlatch
