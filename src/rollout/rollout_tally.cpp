#include "rollout_tally_p.h"

#include <algorithm>
#include <cmath>

namespace shallotlatch {

// An answer is slow if it took longer than this multiple of the old version's
// mean. Shared machines stretch 15 % of the work by 2.5, which is 2.04 times
// the mean; a version that is three times as slow is at 2.45 times the mean.
static constexpr double SlowFactor = 2.2;
// Time that an answer must exceed the reference by, so that scheduling delays
// of some milliseconds do not count.
static constexpr double SlowMarginMs = 10;
// Time in which the weight of old answers falls to a third. Both versions are
// compared at the same time, since the load of a fleet changes within seconds.
static constexpr double ReferenceSeconds = 6;
// Smallest weight of the reference with which an answer may count as slow.
static constexpr double MinReferenceWeight = 2;

void RolloutCounts::add(const RolloutCounts &Other) {
  this->Sent += Other.Sent;
  this->Good += Other.Good;
  this->Failed += Other.Failed;
  this->Slow += Other.Slow;
}

void RolloutCounts::raise(const RolloutCounts &Other) {
  this->Sent = std::max(this->Sent, Other.Sent);
  this->Good = std::max(this->Good, Other.Good);
  this->Failed = std::max(this->Failed, Other.Failed);
  this->Slow = std::max(this->Slow, Other.Slow);
}

RolloutPair sumOf(const RolloutRoutes &Routes) {
  RolloutPair Sum;
  for (const auto &Item : Routes) {
    for (size_t I = 0; I < RolloutSides; ++I) {
      Sum[I].add(Item.second[I]);
    }
  }
  return Sum;
}

void RolloutCounts::addDifference(const RolloutCounts &From,
                                  const RolloutCounts &To) {
  this->Sent += To.Sent - From.Sent;
  this->Good += To.Good - From.Good;
  this->Failed += To.Failed - From.Failed;
  this->Slow += To.Slow - From.Slow;
}

void RolloutTally::count(RouteId Route, RolloutSide Side,
                         const RolloutCounts &More) {
  DomainCounts &D = this->Domains[this->Domain];
  size_t Index = static_cast<size_t>(Side);
  D.Runs[{this->Self, this->Run}][Route][Index].add(More);
  D.SumOfRuns[Route][Index].add(More);
  this->recount(D, Route);
}

// An owner's sum and the reports of its hosts count the same answers, so the
// larger of both counts. A new owner may not have heard runs that have ended.
void RolloutTally::recount(DomainCounts &D, RouteId Route) {
  for (size_t I = 0; I < RolloutSides; ++I) {
    RolloutCounts &Before = D.Counted[Route][I];
    RolloutCounts After = Before;
    After.raise(D.SumOfRuns[Route][I]);
    After.raise(D.ToldSum[Route][I]);
    this->Fleet[Route][I].addDifference(Before, After);
    Before = After;
  }
}

void RolloutTally::recordSent(RouteId Route, RolloutSide Side) {
  RolloutCounts One;
  One.Sent = 1;
  this->count(Route, Side, One);
}

double RolloutTally::weight(const Reference &Old, Time Now) {
  return Old.Weight == 0 ? 0
                         : Old.Weight * std::exp(-toSeconds(Now - Old.At) /
                                                 ReferenceSeconds);
}

bool RolloutTally::isSlow(RouteId Route, Duration Elapsed, Time Now) const {
  auto It = this->References.find(Route);
  return It != this->References.end() &&
         RolloutTally::weight(It->second, Now) >= MinReferenceWeight &&
         static_cast<double>(Elapsed.count()) / 1000 >
             It->second.MeanMs * SlowFactor + SlowMarginMs;
}

RolloutAnswer RolloutTally::recordAnswer(RouteId Route, RolloutSide Side,
                                         bool Failed, Duration Elapsed,
                                         Time Now) {
  bool Slow = this->isSlow(Route, Elapsed, Now);
  RolloutAnswer Answer = Failed ? RolloutAnswer::Failed
                         : Slow ? RolloutAnswer::Slow
                                : RolloutAnswer::Good;
  if (Side == RolloutSide::Old && !Failed) {
    Reference &Old = this->References[Route];
    double Weight = RolloutTally::weight(Old, Now);
    double Ms = static_cast<double>(Elapsed.count()) / 1000;
    Old.MeanMs = (Old.MeanMs * Weight + Ms) / (Weight + 1);
    Old.Weight = Weight + 1;
    Old.At = Now;
  }
  RolloutCounts One;
  One.Failed = Answer == RolloutAnswer::Failed ? 1 : 0;
  One.Slow = Answer == RolloutAnswer::Slow ? 1 : 0;
  One.Good = Answer == RolloutAnswer::Good ? 1 : 0;
  this->count(Route, Side, One);
  return Answer;
}

void RolloutTally::merge(const RolloutReport &Report) {
  if (Report.Host == this->Self && Report.Run == this->Run) {
    return;
  }
  DomainCounts &D = this->Domains[Report.Domain];
  RolloutRoutes &Known =
      Report.Host.isValid() ? D.Runs[{Report.Host, Report.Run}] : D.ToldSum;
  for (const auto &Item : Report.Routes) {
    for (size_t I = 0; I < RolloutSides; ++I) {
      RolloutCounts Before = Known[Item.first][I];
      Known[Item.first][I].raise(Item.second[I]);
      if (Report.Host.isValid()) {
        D.SumOfRuns[Item.first][I].addDifference(Before, Known[Item.first][I]);
      }
    }
    this->recount(D, Item.first);
  }
}

RolloutReport RolloutTally::own() const {
  RolloutReport Report{this->Domain, this->Self, this->Run, {}};
  auto D = this->Domains.find(this->Domain);
  if (D != this->Domains.end()) {
    auto R = D->second.Runs.find({this->Self, this->Run});
    if (R != D->second.Runs.end()) {
      Report.Routes = R->second;
    }
  }
  return Report;
}

RolloutReport RolloutTally::ownDomain() const {
  RolloutReport Report{this->Domain, HostId(), 0, {}};
  auto D = this->Domains.find(this->Domain);
  if (D != this->Domains.end()) {
    Report.Routes = D->second.Counted;
  }
  return Report;
}

} // namespace shallotlatch
