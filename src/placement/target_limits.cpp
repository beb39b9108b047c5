#include "target_limits_p.h"

#include "event_log_p.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace shallotlatch {

// A target that takes less is still asked at this rate, or its limit would
// never be seen to end.
static constexpr double MinPerSecond = 0.1;
static constexpr double MaxPerSecond = 1e6;
// Hosts that share a limit beyond one for each request per second. Each may
// send one request at any moment, so their number bounds the burst.
static constexpr double ExtraSharers = 2;
// A report replaces what is known only if it was observed later by more than
// the time that messages are under way. Otherwise reports that go round would
// make an observation younger.
static constexpr Duration ReportSlack = millis(500);
// Time after the last observation for which a limit is kept.
static constexpr Duration LimitRetention = seconds(600);
// Time for which peers are told that a limit has ended.
static constexpr Duration EndedRetention = seconds(10);
static constexpr size_t MaxReports = 64;
static constexpr size_t MaxEntries = 4096;

bool parseTargetLimit(const std::string &Text, double &PerSecond) {
  if (Text.empty() ||
      Text.find_first_not_of("0123456789.") != std::string::npos) {
    return false;
  }
  char *End = nullptr;
  double Value = std::strtod(Text.c_str(), &End);
  if (*End != '\0' || !std::isfinite(Value)) {
    return false;
  }
  PerSecond = Value;
  return true;
}

// The hosts with the lowest hashes share the limit.
double TargetLimits::shareOf(uint32_t Target, const Entry &E) const {
  if (!E.Limited) {
    return 0;
  }
  double PerSecond = std::clamp(E.PerSecond, MinPerSecond, MaxPerSecond);
  uint64_t Own = hashPair(this->Self.Value, Target);
  size_t Lower = 0;
  bool Listed = this->Hosts.empty();
  for (HostId Host : this->Hosts) {
    Listed = Listed || Host == this->Self;
    Lower += hashPair(Host.Value, Target) < Own ? 1 : 0;
  }
  double Sharers =
      std::min(std::max(1.0, static_cast<double>(this->Hosts.size())),
               std::floor(PerSecond) + ExtraSharers);
  return Listed && static_cast<double>(Lower) < Sharers ? PerSecond / Sharers
                                                        : 0;
}

double TargetLimits::level(const Entry &E, Time Now) {
  return std::min(1.0, E.Level + E.Rate * toSeconds(Now - E.LevelAt));
}

void TargetLimits::set(uint32_t Target, bool Limited, double PerSecond,
                       Time ObservedAt, Time Now) {
  auto It = this->Entries.find(Target);
  bool Known = It != this->Entries.end();
  bool WasLimited = Known && It->second.Limited;
  if (!Known && (!Limited || this->Entries.size() >= MaxEntries)) {
    return;
  }
  Entry &E = this->Entries[Target];
  E.ObservedAt = ObservedAt;
  if (Limited == WasLimited && E.PerSecond == PerSecond) {
    return;
  }
  // Whoever learns of a limit starts without a request in hand.
  E.Level = WasLimited ? level(E, Now) : 0;
  E.LevelAt = Now;
  E.Limited = Limited;
  E.PerSecond = PerSecond;
  E.ChangedAt = Now;
  E.Rate = this->shareOf(Target, E);
  ++this->Version;
  logImportantEvent("target-limit", {{"target", Target},
                                     {"limited", Limited},
                                     {"per-second", PerSecond},
                                     {"own-part", E.Rate}});
}

void TargetLimits::observe(uint32_t Target, double PerSecond, Time Now) {
  this->set(Target, true, PerSecond, Now, Now);
}

void TargetLimits::observeNone(uint32_t Target, Time Now) {
  this->set(Target, false, 0, Now, Now);
}

void TargetLimits::merge(const std::vector<TargetLimitReport> &Reports,
                         Time Now) {
  for (const TargetLimitReport &R : Reports) {
    auto It = this->Entries.find(R.Target);
    Time ObservedAt = Now - R.SinceObserved;
    if (!std::isfinite(R.PerSecond) || R.PerSecond < 0) {
      continue;
    }
    if (It == this->Entries.end() ||
        ObservedAt > It->second.ObservedAt + ReportSlack) {
      this->set(R.Target, R.Limited, R.PerSecond, ObservedAt, Now);
    }
  }
}

void TargetLimits::setHosts(HostId Host, const std::vector<HostId> &Next,
                            Time Now) {
  if (Host == this->Self && Next == this->Hosts) {
    return;
  }
  this->Self = Host;
  this->Hosts = Next;
  for (auto &Item : this->Entries) {
    Entry &E = Item.second;
    E.Level = E.Rate > 0 ? level(E, Now) : 0;
    E.LevelAt = Now;
    E.Rate = this->shareOf(Item.first, E);
  }
}

bool TargetLimits::isLimited(uint32_t Target) const {
  auto It = this->Entries.find(Target);
  return It != this->Entries.end() && It->second.Limited;
}

bool TargetLimits::allows(uint32_t Target, Time Now) const {
  auto It = this->Entries.find(Target);
  return It == this->Entries.end() || !It->second.Limited ||
         (It->second.Rate > 0 && level(It->second, Now) >= 1);
}

void TargetLimits::take(uint32_t Target, Time Now) {
  auto It = this->Entries.find(Target);
  if (It != this->Entries.end() && It->second.Limited) {
    It->second.Level = level(It->second, Now) - 1;
    It->second.LevelAt = Now;
  }
}

std::vector<TargetLimitReport> TargetLimits::report(Time Now) {
  std::vector<TargetLimitReport> Reports;
  for (auto It = this->Entries.begin(); It != this->Entries.end();) {
    const Entry &E = It->second;
    Duration Age = Now - E.ObservedAt;
    if (E.Limited ? Age > LimitRetention : Now - E.ChangedAt > EndedRetention) {
      It = this->Entries.erase(It);
      continue;
    }
    Reports.push_back({It->first, E.Limited, E.PerSecond, Age});
    ++It;
  }
  auto Newer = [](const TargetLimitReport &A, const TargetLimitReport &B) {
    return A.SinceObserved < B.SinceObserved;
  };
  std::sort(Reports.begin(), Reports.end(), Newer);
  Reports.resize(std::min(Reports.size(), MaxReports));
  return Reports;
}

size_t TargetLimits::count() const {
  return static_cast<size_t>(
      std::count_if(this->Entries.begin(), this->Entries.end(),
                    [](const auto &Item) { return Item.second.Limited; }));
}

} // namespace shallotlatch
