#include "crash_guard_p.h"

#include "event_log_p.h"

namespace shallotlatch {

static constexpr size_t MaxSuspectedCrashes = 256;
// Time for which peers are told of a dead target.
static constexpr Duration DeadTargetNewsTime = seconds(2);

void CrashGuard::onConnectionBroken(const CrashAttempt &Attempt, Time Now) {
  this->SuspectedCrashes.push_back({Attempt, Now});
  if (this->SuspectedCrashes.size() > MaxSuspectedCrashes) {
    this->SuspectedCrashes.pop_front();
  }
  if (this->DeadTargets.count(Attempt.Target) != 0) {
    this->confirmCrashes(Attempt.Target, Now);
  }
}

void CrashGuard::confirmCrashes(uint32_t Target, Time Now) {
  std::deque<SuspectedCrash> Remaining;
  for (const SuspectedCrash &S : this->SuspectedCrashes) {
    if (Now - S.BrokenAt > this->Init.DeathWindow) {
      continue;
    }
    if (S.Attempt.Target != Target) {
      Remaining.push_back(S);
      continue;
    }
    for (Fingerprint Print : S.Attempt.Prints) {
      this->Evidence.addCrash(Print, {Target, S.Attempt.SentAt, S.BrokenAt},
                              Now);
      logImportantEvent("crash-counted",
                        {{"target", S.Attempt.Instance},
                         {"print", toHex(Print.Value)},
                         {"crashes", this->Evidence.crashCount(Print, Now)},
                         {"limit", this->Init.Limit}});
    }
  }
  this->SuspectedCrashes.swap(Remaining);
}

void CrashGuard::onTargetDied(uint32_t Target, Time Now) {
  if (this->DeadTargets.emplace(Target, Now).second) {
    ++this->Version;
  }
  this->confirmCrashes(Target, Now);
}

void CrashGuard::merge(const std::vector<CrashReport> &Reports,
                       const std::vector<uint32_t> &Dead, Time Now) {
  std::set<uint32_t> NewTargets(Dead.begin(), Dead.end());
  for (const CrashReport &Report : Reports) {
    uint32_t Before = this->Evidence.crashCount(Report.Print, Now);
    this->Evidence.merge(Report, Now, NewTargets);
    uint32_t Count = this->Evidence.crashCount(Report.Print, Now);
    if (Count > Before) {
      logImportantEvent("crash-learned", {{"print", toHex(Report.Print.Value)},
                                          {"crashes", Count},
                                          {"limit", this->Init.Limit}});
    }
  }
  if (this->SuspectedCrashes.empty()) {
    return;
  }
  for (uint32_t Target : NewTargets) {
    this->confirmCrashes(Target, Now);
  }
}

std::vector<uint32_t> CrashGuard::deadTargets(Time Now) {
  std::vector<uint32_t> Targets;
  for (auto It = this->DeadTargets.begin(); It != this->DeadTargets.end();) {
    if (Now - It->second > DeadTargetNewsTime) {
      It = this->DeadTargets.erase(It);
      continue;
    }
    Targets.push_back(It->first);
    ++It;
  }
  return Targets;
}

} // namespace shallotlatch
