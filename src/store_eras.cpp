#include "store_eras_p.h"

namespace shallotlatch {

// Era of a store that never came back from a copy.
static constexpr uint64_t FirstEra = 1;
// Time within which the operator and the targets have written again what the
// copy lacks.
static constexpr Duration RewriteTime = millis(2200);
// Number of departures below which none is dropped.
static constexpr size_t MinPruneSize = 256;
// Largest age of a copy from which the store may come back.
static constexpr Duration MaxCopyAge = seconds(120);

EraChange StoreEras::record(std::optional<uint64_t> Era, bool MayBeStale,
                            Time Now) {
  if (!Era || *Era == this->Current) {
    return EraChange::None;
  }
  bool IsFirst = this->Current == 0;
  if (MayBeStale && *Era < this->Current) {
    return EraChange::Outdated;
  }
  this->Current = *Era;
  // A process that starts in a later era cannot tell how long ago it began.
  this->SettledAt =
      *Era > FirstEra || !IsFirst ? Now + RewriteTime : Time{Duration::min()};
  return IsFirst ? EraChange::None : EraChange::Returned;
}

bool StoreEras::settled(Time At) const {
  return this->Current == 0 || At >= this->SettledAt;
}

void StoreEras::recordSettled(uint64_t Era) {
  if (Era != 0 && Era == this->Current) {
    this->SettledAt = Time{Duration::min()};
  }
}

bool StoreEras::needsMark(uint64_t Era) { return Era > FirstEra; }

TargetStamp stampOf(const TargetEntry &Target) {
  return {Target.StartedAtMs, Target.Sequence};
}

void DepartedTargets::record(const std::string &Instance, int64_t StartedAtMs,
                             Time Now) {
  this->Departures[Instance] = {StartedAtMs, Now};
  if (this->Departures.size() >= this->PruneAt) {
    this->prune(Now);
    this->PruneAt = 2 * this->Departures.size() + MinPruneSize;
  }
}

// The copy may hold an entry that this host has not seen, so sequence numbers
// do not tell whether it was written before the target left.
bool DepartedTargets::covers(const std::string &Instance,
                             int64_t StartedAtMs) const {
  auto It = this->Departures.find(Instance);
  return It != this->Departures.end() && StartedAtMs <= It->second.StartedAtMs;
}

void DepartedTargets::prune(Time Now) {
  for (auto It = this->Departures.begin(); It != this->Departures.end();) {
    It = Now - It->second.At > MaxCopyAge ? this->Departures.erase(It)
                                          : std::next(It);
  }
}

} // namespace shallotlatch
