#include "concurrency_limit_p.h"

#include <algorithm>
#include <cmath>

namespace shallotlatch {

// Time after which an observation counts for 1/e, and events and age up to
// which a level is compared with others. Levels are compared as they follow
// each other: a change that concerns all of them, as of a machine that is busy
// for 600 ms, then shows in few comparisons.
static constexpr double FadeSeconds = 0.4;
static constexpr double MinEvents = 8;
static constexpr Duration MaxLevelAge = seconds(1);
// Weight of the time per event against the number of requests. With 1, a target
// would be filled until no more events come from it in total, with each stream
// several times slower; with 2, engines whose steps become a little longer with
// each request would be limited.
static constexpr double TimeExponent = 1.5;
// Factor by which a level is worse if it is to be avoided.
static constexpr double WorseFactor = 1.2;
// Visits of a level in which a lower one was better, less those in which none
// was, that set a limit. A busy spell gives one or two.
static constexpr uint32_t WorseVisitsForLimit = 3;
static constexpr uint32_t MaxWorseVisits = 5;
// Time after which a level that stays in use is judged again.
static constexpr Duration VisitTime = millis(500);
// Time from a lowered limit to the trial of the next level, which doubles with
// each trial that fails, and the time for which a trial must go well before the
// next one.
static constexpr Duration MinTrialDelay = seconds(4);
static constexpr Duration MaxTrialDelay = seconds(32);
static constexpr Duration TrialTime = millis(1500);

uint32_t ConcurrencyLimit::levelOf(uint32_t Running, uint32_t Slots) {
  return std::min((std::max(Running, 1U) - 1) * LevelCount /
                      std::max(Slots, 1U),
                  LevelCount - 1);
}

uint32_t ConcurrencyLimit::limit(uint32_t Slots) const {
  return this->isLimited() && Slots > 0
             ? 1 + ((this->Allowed + 1) * Slots - 1) / LevelCount
             : Slots;
}

double ConcurrencyLimit::merit(const Level &L, Time Now) {
  if (L.Events < MinEvents || L.Ms <= 0 || Now - L.At > MaxLevelAge) {
    return 0;
  }
  return L.Running / L.Events / std::pow(L.Ms / L.Events, TimeExponent);
}

void ConcurrencyLimit::observe(uint32_t Running, uint32_t Slots,
                               uint32_t Events, double Ms, Time Now) {
  if (Events == 0 || !(Ms > 0)) {
    return;
  }
  uint32_t Index = levelOf(Running, Slots);
  if (Index != this->Current) {
    this->judge(this->Current, Now);
    this->Current = Index;
  }
  Level &L = this->Levels[Index];
  double Kept = std::exp(-std::max(0.0, toSeconds(Now - L.At)) / FadeSeconds);
  L.Events = L.Events * Kept + Events;
  L.Ms = L.Ms * Kept + Ms;
  L.Running = L.Running * Kept + static_cast<double>(Running) * Events;
  L.At = Now;
  if (Now - L.JudgedAt >= VisitTime) {
    this->judge(Index, Now);
  }
  // Only a target that is at its limit has observations to compare with.
  if (this->isLimited() && Index == this->Allowed && Now >= this->NextTrialAt) {
    ++this->Allowed;
    this->Levels[this->Allowed] = Level();
    this->NextTrialAt = Now + TrialTime;
  }
}

void ConcurrencyLimit::judge(uint32_t Index, Time Now) {
  Level &L = this->Levels[Index];
  double Merit = merit(L, Now);
  uint32_t Best = Index;
  bool Comparable = false;
  for (uint32_t I = 0; I < Index; ++I) {
    double Other = merit(this->Levels[I], Now);
    Comparable = Comparable || Other > 0;
    if (Other > Merit * WorseFactor &&
        (Best == Index || Other > merit(this->Levels[Best], Now))) {
      Best = I;
    }
  }
  L.JudgedAt = Now;
  if (Merit == 0 || !Comparable) {
    return;
  }
  if (Best == Index) {
    L.WorseVisits -= L.WorseVisits > 0 ? 1 : 0;
    if (L.WorseVisits == 0 && Index > this->Allowed) {
      this->Allowed = Index;
    }
    return;
  }
  L.WorseVisits = std::min(L.WorseVisits + 1, MaxWorseVisits);
  if (L.WorseVisits >= WorseVisitsForLimit && Best < this->Allowed) {
    this->Allowed = Best;
    this->TrialDelay =
        std::clamp(this->TrialDelay * 2, MinTrialDelay, MaxTrialDelay);
    this->NextTrialAt = Now + this->TrialDelay;
  }
}

} // namespace shallotlatch
