// Which versions a request may go to while one is rolled out.
#include "service_rollout_p.h"

#include <algorithm>
#include <cmath>

namespace shallotlatch {

// Part of the tolerance that the hosts share for their first requests. The rest
// is for requests that are counted elsewhere than where they are sent.
static constexpr double AllowancePart = 0.5;
// Requests use their targets for this many deviations more than the mean at
// most, as far as it matters: 99.3 % do if the lengths are distributed
// exponentially. The weight of a new length, the number of them that are
// needed, and the difference between the ages that two hosts take the order
// for.
static constexpr double LengthDeviations = 4;
static constexpr double LengthWeight = 0.02;
static constexpr uint64_t MinLengths = 5;
static constexpr Duration MoveMargin = millis(800);
// The share is spent in bursts, at the same time on all hosts, so that the few
// targets that get it run under load: a tenth of the work of a small service
// keeps no target busy. The first burst waits until the hosts know how fast the
// old version is; slow answers before that would not be seen.
// A short roll-out has as many bursts as fit.
static constexpr Duration MaxBurstInterval = seconds(4);
static constexpr Duration MinBurstInterval = millis(10);
static constexpr int64_t MinBursts = 8;
// Requests per second that a host places, below which it does not wait for a
// burst: so few requests load no target, and each is needed as evidence.
static constexpr double MinBurstRate = 1;
bool ServiceRollout::hasOther(SoftwareId To) const {
  return std::any_of(
      this->Versions.begin(), this->Versions.end(), [&](const auto &Item) {
        return Item.first != To && this->Blocked.count(Item.first) == 0;
      });
}

bool ServiceRollout::isBlocked(SoftwareId Software) const {
  if (this->Blocked.count(Software) != 0) {
    return true;
  }
  if (!this->Current) {
    return false;
  }
  const ActiveOrder &C = *this->Current;
  if (C.Known == RolloutState::Completed) {
    return Software != C.To;
  }
  bool Bad = C.Known == RolloutState::RolledBack ||
             C.Policy.verdict() == RolloutVerdict::Bad;
  return Bad && Software == C.To;
}

bool ServiceRollout::maySend(const TargetEntry &Target) const {
  return !this->isBlocked(softwareId(Target.Software));
}

// Each host keeps to its part of a whole number of requests without being told:
// with fewer than one request per host, the hash decides which hosts get one. A
// process that started in the middle gets none, since its former run had one.
uint64_t ServiceRollout::allowance() const {
  const ActiveOrder &C = *this->Current;
  if (!C.Appeared) {
    return 0;
  }
  double Part = this->Init.Bounds.ExposureTolerance * AllowancePart /
                std::max(1U, this->Touch.Hosts);
  double Draw = static_cast<double>(
                    hashPair(this->Init.Self.Value, C.To.Value) % 1000000) /
                1e6;
  return static_cast<uint64_t>(Part + Draw);
}

VersionRule ServiceRollout::rule(const PlacementRequest &Request) const {
  if (Request.Software.isValid()) {
    return this->isBlocked(Request.Software) ? VersionRule::Nothing
                                             : VersionRule::Any;
  }
  if (!this->Current || !this->Current->SawOther) {
    return VersionRule::Any;
  }
  const ActiveOrder &C = *this->Current;
  if (C.Known == RolloutState::Completed) {
    return VersionRule::NewOnly;
  }
  double Share = C.Policy.share();
  if (Share == 0 || this->isBlocked(C.To)) {
    return VersionRule::OldOnly;
  }
  double All = static_cast<double>(C.Placed + 1);
  double WithThis = static_cast<double>(C.PlacedNew + 1);
  double Extra = static_cast<double>(this->allowance());
  // Also when work moves, a host keeps to its part: a version may turn bad as
  // long as `completed` is not written. The part counts the requests up to the
  // deadline, which will be as many as before.
  double Rest = toSeconds(C.Order.Length) / std::max(toSeconds(C.Age), 1e-3);
  double Limit = this->Init.Bounds.ExposureShare * All * Rest + Extra;
  if (C.Policy.drainsOld() && WithThis <= Limit && this->mustMove(Request)) {
    return VersionRule::NewOnly;
  }
  Duration Interval = std::clamp(C.Order.Length / MinBursts, MinBurstInterval,
                                 MaxBurstInterval);
  bool InBurst = C.Age % Interval >= Interval * 3 / 4;
  bool Rare = static_cast<double>(C.Placed) < MinBurstRate * toSeconds(C.Age);
  // Without the draw, requests in a fixed rotation of routes would always show
  // the new version on the same route.
  bool Drawn = hashPair(Request.Id.Value, C.To.Value) % 2 == 0;
  return (Rare || (Drawn && InBurst)) && WithThis <= Share * All + Extra
             ? VersionRule::NewFirst
             : VersionRule::OldOnly;
}

// A request of a rank that nothing is known of may take all of its time.
bool ServiceRollout::mustMove(const PlacementRequest &Request) const {
  const ActiveOrder &C = *this->Current;
  if (!this->Engine && !Request.Stream && Request.Repeatable) {
    return false;
  }
  Duration Left = C.Policy.completeAt() - C.Age;
  auto It = C.Lengths.find(Request.Rank);
  if (It == C.Lengths.end() || It->second.Count < MinLengths) {
    return Request.Deadline - Request.Arrived >= Left;
  }
  double Ms =
      It->second.MeanMs + LengthDeviations * std::sqrt(It->second.Variance);
  return Duration(static_cast<int64_t>(Ms * 1000)) + MoveMargin >= Left;
}

void ServiceRollout::served(uint32_t Rank, Duration Length) {
  if (!this->Current) {
    return;
  }
  RunLength &L = this->Current->Lengths[Rank];
  double Ms = static_cast<double>(Length.count()) / 1000;
  double Weight = std::max(LengthWeight, 1.0 / static_cast<double>(++L.Count));
  double Difference = Ms - L.MeanMs;
  L.MeanMs += Weight * Difference;
  L.Variance = (1 - Weight) * (L.Variance + Weight * Difference * Difference);
}

bool ServiceRollout::allows(VersionRule Rule, const TargetEntry &Target) const {
  if (Rule == VersionRule::Nothing ||
      this->isBlocked(softwareId(Target.Software))) {
    return false;
  }
  return Rule == VersionRule::OldOnly   ? !this->isNew(Target)
         : Rule == VersionRule::NewOnly ? this->isNew(Target)
                                        : true;
}

bool ServiceRollout::isNew(const TargetEntry &Target) const {
  return this->Current && softwareId(Target.Software) == this->Current->To;
}

uint64_t ServiceRollout::position(const TargetEntry &Target) const {
  return hashPair(hash64(Target.Instance), this->Service.Value);
}

void ServiceRollout::placed(const TargetEntry &Target) {
  if (this->Current) {
    ++this->Current->Placed;
    this->Current->PlacedNew += this->isNew(Target) ? 1 : 0;
  }
}

} // namespace shallotlatch
