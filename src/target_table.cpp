#include "target_table_p.h"

#include <algorithm>

namespace shallotlatch {

static constexpr uint32_t MaxTargets = 4096;
// Size in tokens of the request whose cost orders the targets in the heaps.
static constexpr uint32_t NominalPromptTokens = 512;
static constexpr uint32_t NominalOutputTokens = 128;
// Weight of a new observation in the learned times per token.
static constexpr double LearnRate = 0.3;
static constexpr double PrefillLearnRate = 0.05;
// A target is ejected if its tokens arrive this many times slower, against its
// own best time, than those of its median peer. The second factor applies while
// the target also works on prompts, since its steps are then longer anyway.
static constexpr double OutlierFactor = 5;
static constexpr double OutlierFactorWithPrefill = 15;
// Number of slow windows in a row after which a target is ejected.
static constexpr uint32_t OutlierReports = 2;
// Length of the windows over which the tokens of a target are measured.
static constexpr Duration AdaptPeriod = millis(1000);
// Duration of an ejection for slowness.
static constexpr Duration SlowTargetEjection = seconds(3);
// Duration of the first ejection for a lost connection; it doubles with each
// further failure up to the maximum.
static constexpr Duration LostTargetEjection = seconds(1);
static constexpr Duration MaxEjection = seconds(16);
// Prefill time of the prompts that may wait inside an engine. More would only
// move the queue into the engine, where no request can overtake it; less would
// leave the engine idle between two grants.
static constexpr double MaxPrefillBacklogUs = 400000;
// Number of requests in a batch at which a step takes about twice its base
// time.
static constexpr double StepDoublingBatch = 16;

TargetTable::TargetTable(const PolicySpec &Policy)
    : Policy(Policy), LongLaneHeap(MaxTargets), OtherHeap(MaxTargets),
      Prefixes(SHALLOTLATCH_CONFIG_PREFIX_ENTRIES, MaxTargets) {}

void TargetTable::configure(const std::vector<const TargetSpec *> &Specs,
                            const PolicySpec &NewPolicy) {
  this->Policy = NewPolicy;
  for (Row &R : this->Rows) {
    R.Present = false;
  }
  for (const TargetSpec *Spec : Specs) {
    TargetId Id = targetId(Spec->Name);
    auto Added =
        this->Index.emplace(Id, static_cast<uint32_t>(this->Rows.size()));
    if (Added.second) {
      if (this->Rows.size() == MaxTargets) {
        this->Index.erase(Added.first);
        continue;
      }
      this->Rows.emplace_back();
      Row &R = this->Rows.back();
      R.Id = Id;
      R.Name = Spec->Name;
      R.Service = Spec->Type == TargetType::Service;
      R.DecodeUs = Spec->DecodeMsPerToken * 1000;
      R.BestDecodeUs = R.DecodeUs;
      R.PrefillUs = 1e6 / Spec->PrefillTokensPerSecond;
      R.Limit = Spec->Slots;
    }
    Row &R = this->Rows[Added.first->second];
    R.Present = true;
    R.Limit = std::min(R.Limit, Spec->Slots);
    R.Slots = Spec->Slots;
  }
  this->LiveCount = static_cast<uint32_t>(Specs.size());
  this->assignLongLane();
}

// Long prompts go to the targets with the fastest prefill, so that all other
// targets stay free of long prompts.
void TargetTable::assignLongLane() {
  std::vector<uint32_t> Order;
  for (uint32_t I = 0; I < this->Rows.size(); ++I) {
    this->Rows[I].LongLane = false;
    this->LongLaneHeap.remove(I);
    this->OtherHeap.remove(I);
    if (this->Rows[I].Present && !this->Rows[I].Leaving) {
      Order.push_back(I);
    }
  }
  std::stable_sort(Order.begin(), Order.end(), [&](uint32_t A, uint32_t B) {
    return this->Rows[A].PrefillUs < this->Rows[B].PrefillUs;
  });
  size_t LongLane = static_cast<size_t>(this->Policy.LongPromptShare *
                                        static_cast<double>(Order.size()));
  LongLane = std::max<size_t>(LongLane, 1);
  for (size_t I = 0; I < Order.size() && I < LongLane; ++I) {
    this->Rows[Order[I]].LongLane = true;
  }
  for (uint32_t I = 0; I < this->Rows.size(); ++I) {
    this->refresh(I);
  }
  this->refreshMinimums();
}

bool TargetTable::anyUsable() const {
  return std::any_of(this->Rows.begin(), this->Rows.end(),
                     [&](const Row &R) { return this->usable(R); });
}

uint32_t TargetTable::freeSlots() const {
  uint32_t Sum = 0;
  for (const Row &R : this->Rows) {
    if (this->usable(R) && R.Limit > R.InFlight) {
      Sum += R.Limit - R.InFlight;
    }
  }
  return Sum;
}

TargetHandle TargetTable::find(TargetId Id) const {
  auto It = this->Index.find(Id);
  return It == this->Index.end() ? TargetHandle() : TargetHandle{It->second};
}

double TargetTable::nominalKey(const Row &R) const {
  if (R.Service) {
    return static_cast<double>(R.InFlight) / R.Slots;
  }
  double Slowdown =
      (R.InFlight + 1 + StepDoublingBatch) / (R.InFlight + StepDoublingBatch);
  return R.PendingPrefillUs + NominalPromptTokens * R.PrefillUs +
         NominalOutputTokens * R.DecodeUs * Slowdown;
}

// The cost is the predicted time to the whole answer, in which the prefill of
// uncached tokens is multiplied by the policy's prefill price.
double TargetTable::predict(const Row &R, const SlotRequest &A,
                            uint32_t Cached) const {
  uint32_t Uncached = A.PromptTokens - std::min(Cached, A.PromptTokens);
  double Slowdown =
      (R.InFlight + 1 + StepDoublingBatch) / (R.InFlight + StepDoublingBatch);
  return R.PendingPrefillUs +
         Uncached * R.PrefillUs * this->Policy.PrefillPrice +
         A.OutputTokens * R.DecodeUs * Slowdown;
}

bool TargetTable::hasRoom(const Row &R) const {
  return this->usable(R) && R.InFlight < R.Limit &&
         R.PendingPrefillUs <= MaxPrefillBacklogUs;
}

void TargetTable::refresh(uint32_t I) {
  const Row &R = this->Rows[I];
  IndexedHeap<double> &Heap = R.LongLane ? this->LongLaneHeap : this->OtherHeap;
  if (this->hasRoom(R)) {
    Heap.set(I, this->nominalKey(R));
  } else {
    Heap.remove(I);
  }
}

Placement TargetTable::choose(const SlotRequest &A, bool Long,
                              bool AvoidLongLane, Time Now) const {
  Placement Best;
  double BestCost = 0;
  uint32_t BestCached = 0;
  auto Consider = [&](uint32_t I, uint32_t Cached) {
    double Cost = this->Rows[I].Service
                      ? this->nominalKey(this->Rows[I])
                      : this->predict(this->Rows[I], A, Cached);
    if (!Best.Target.isValid() || Cost < BestCost) {
      Best.Target = TargetHandle{I};
      BestCost = Cost;
      BestCached = Cached;
    }
  };
  if (!AvoidLongLane && !this->LongLaneHeap.empty()) {
    Consider(this->LongLaneHeap.top(), 0);
  }
  if (!Long && !this->OtherHeap.empty()) {
    Consider(this->OtherHeap.top(), 0);
  }
  std::array<PrefixMatch, 8> Matches;
  uint32_t Found = this->Prefixes.match(A.Prefix, Now, Matches);
  for (uint32_t I = 0; I < Found; ++I) {
    const Row &R = this->Rows[Matches[I].Target];
    bool Allowed = R.LongLane ? !AvoidLongLane : !Long;
    if (Allowed && this->hasRoom(R)) {
      Consider(Matches[I].Target, Matches[I].Tokens);
    }
  }
  if (Best.Target.isValid()) {
    Best.CachedTokens = std::min(BestCached, A.PromptTokens);
    Best.PrefillUs = (A.PromptTokens - Best.CachedTokens) *
                     this->Rows[Best.Target.Index].PrefillUs;
    Best.NoPendingPrompts = this->Rows[Best.Target.Index].PendingPrefillUs <= 0;
  }
  return Best;
}

void TargetTable::refreshMinimums() {
  this->MinPrefillUs = 0;
  this->MinDecodeUs = 0;
  bool First = true;
  for (const Row &R : this->Rows) {
    if (!R.Present || R.Leaving || R.Service) {
      continue;
    }
    double Prefill = First ? R.PrefillUs : this->MinPrefillUs;
    double Decode = First ? R.BestDecodeUs : this->MinDecodeUs;
    this->MinPrefillUs = std::min(Prefill, R.PrefillUs);
    this->MinDecodeUs = std::min(Decode, R.BestDecodeUs);
    First = false;
  }
}

Duration TargetTable::minServiceTime(const SlotRequest &A) const {
  std::array<PrefixMatch, 8> Matches;
  uint32_t Found = this->Prefixes.match(A.Prefix, Time(), Matches);
  uint32_t Cached = 0;
  for (uint32_t I = 0; I < Found; ++I) {
    Cached = std::max(Cached, Matches[I].Tokens);
  }
  uint32_t Uncached = A.PromptTokens - std::min(Cached, A.PromptTokens);
  double Us =
      Uncached * this->MinPrefillUs + A.OutputTokens * this->MinDecodeUs;
  return Duration(static_cast<int64_t>(Us));
}

double TargetTable::nominalCost(const SlotRequest &A) const {
  double Us =
      A.PromptTokens * this->MinPrefillUs + A.OutputTokens * this->MinDecodeUs;
  return std::max(Us, 1000.0);
}

uint32_t TargetTable::totalLimit() const {
  uint32_t Sum = 0;
  for (const Row &R : this->Rows) {
    Sum += this->usable(R) ? R.Limit : 0;
  }
  return Sum;
}

void TargetTable::recordGrant(const Placement &P, const PrefixHashes &Prefix,
                              Time Now) {
  Row &R = this->Rows[P.Target.Index];
  ++R.InFlight;
  if (!R.Service) {
    R.PendingPrefillUs += P.PrefillUs;
    R.HadPrefill = true;
    this->Prefixes.add(Prefix, P.Target.Index, Now);
  }
  this->refresh(P.Target.Index);
}

void TargetTable::adopt(TargetHandle H) {
  ++this->Rows[H.Index].InFlight;
  this->refresh(H.Index);
}

void TargetTable::releaseSlot(const Placement &P, bool Prefilled) {
  Row &R = this->Rows[P.Target.Index];
  R.InFlight -= R.InFlight > 0 ? 1 : 0;
  if (!Prefilled) {
    R.PendingPrefillUs = std::max(0.0, R.PendingPrefillUs - P.PrefillUs);
  }
}

void TargetTable::recordPrefillDone(const Placement &P) {
  Row &R = this->Rows[P.Target.Index];
  R.PendingPrefillUs = std::max(0.0, R.PendingPrefillUs - P.PrefillUs);
  this->refresh(P.Target.Index);
}

void TargetTable::cancel(const Placement &P, bool Prefilled) {
  this->releaseSlot(P, Prefilled);
  this->refresh(P.Target.Index);
}

void TargetTable::eject(Row &R, Duration Period, Time Now) {
  R.Limit = 0;
  R.EjectedUntil = Now + Period;
  R.Probing = false;
}

void TargetTable::finish(const Placement &P, bool Prefilled,
                         const Release &Ended, Time Now) {
  this->releaseSlot(P, Prefilled);
  Row &R = this->Rows[P.Target.Index];
  if (Ended.Result == DispatchResult::Done) {
    R.Failures = 0;
    if (R.Probing) {
      R.Probing = false;
      R.Limit = R.Slots;
    }
  }
  if (Ended.Result == DispatchResult::Lost ||
      Ended.Result == DispatchResult::Unsent) {
    Duration Ejection =
        LostTargetEjection * (1 << std::min<uint32_t>(R.Failures, 4));
    ++R.Failures;
    this->Prefixes.removeTarget(P.Target.Index);
    this->eject(R, std::min(Ejection, MaxEjection), Now);
  }
  if (Ended.Result == DispatchResult::Done && Ended.OutputTokens > 1) {
    R.WindowTokens += Ended.OutputTokens - 1;
    R.WindowUs += static_cast<double>((Ended.Total - Ended.FirstToken).count());
  }
  // The prefill speed is learned only from a prompt that did not share the
  // target with others, and only if its expected prefill time exceeds 200 ms:
  // the time of a short prompt depends more on the steps of the batch.
  bool UpdatesPrefill = P.NoPendingPrompts && P.PrefillUs > 200000 &&
                        Ended.FirstToken.count() > 0;
  if (UpdatesPrefill) {
    double Ratio = static_cast<double>(Ended.FirstToken.count()) / P.PrefillUs;
    Ratio = std::min(std::max(Ratio, 0.5), 2.0);
    R.PrefillUs *= 1 + PrefillLearnRate * (Ratio - 1);
  }
  this->refresh(P.Target.Index);
}

void TargetTable::observe(const StreamProgress &P) {
  TargetHandle H = this->find(P.Target);
  if (!H.isValid()) {
    return;
  }
  Row &R = this->Rows[H.Index];
  R.WindowTokens += P.Tokens;
  R.WindowUs += static_cast<double>(P.StreamTime.count());
  R.WindowStalled += P.StalledStreams;
  this->refresh(H.Index);
}

uint32_t TargetTable::ejectedCount() const {
  uint32_t Count = 0;
  for (const Row &R : this->Rows) {
    Count += R.Present && R.Limit == 0 ? 1 : 0;
  }
  return Count;
}

double TargetTable::medianSlowness() const {
  std::vector<double> Known;
  for (const Row &R : this->Rows) {
    if (R.Present && R.Limit > 0) {
      Known.push_back(R.Slowness);
    }
  }
  if (Known.empty()) {
    return 1;
  }
  size_t Middle = (Known.size() - 1) / 2;
  std::nth_element(Known.begin(), Known.begin() + Middle, Known.end());
  return std::max(Known[Middle], 1.0);
}

// A target is ejected if it is far slower, against its own best time, than the
// median target. Work on prompts slows all targets alike, so it ejects none.
void TargetTable::adapt(Row &R, double MedianSlowness, Time Now) {
  bool Slow = false;
  if (R.WindowTokens + R.WindowStalled > 0) {
    double Observed = R.WindowUs / std::max(R.WindowTokens, 1.0);
    R.Slowness = Observed / R.BestDecodeUs;
    R.DecodeUs += LearnRate * (Observed - R.DecodeUs);
    double Factor = R.HadPrefill ? OutlierFactorWithPrefill : OutlierFactor;
    Slow = R.Slowness > Factor * MedianSlowness;
    if (Observed < R.BestDecodeUs) {
      R.BestDecodeUs += LearnRate * (Observed - R.BestDecodeUs);
    }
  }
  R.SlowReports = Slow ? R.SlowReports + 1 : 0;
  bool MayEject = 2 * this->ejectedCount() < this->LiveCount;
  if (R.SlowReports >= OutlierReports && MayEject) {
    this->eject(R, SlowTargetEjection, Now);
    R.SlowReports = 0;
    R.Slowness = 1;
  }
  R.HadPrefill = R.PendingPrefillUs > 0;
  R.WindowTokens = 0;
  R.WindowUs = 0;
  R.WindowStalled = 0;
  R.WindowStart = Now;
}

void TargetTable::tick(Time Now) {
  auto Due = [&](const Row &R) {
    return !R.Service && Now - R.WindowStart >= AdaptPeriod;
  };
  // Most ticks end no window, and the median is needed only when one ends.
  bool AnyDue = std::any_of(this->Rows.begin(), this->Rows.end(), Due);
  double MedianSlowness = AnyDue ? this->medianSlowness() : 1;
  for (uint32_t I = 0; I < this->Rows.size(); ++I) {
    Row &R = this->Rows[I];
    if (Due(R)) {
      this->adapt(R, MedianSlowness, Now);
    }
    if (R.Limit == 0 && Now >= R.EjectedUntil) {
      // After an ejection a single request tests whether the target has
      // recovered.
      R.Limit = 1;
      R.Probing = true;
      R.DecodeUs = R.BestDecodeUs;
    }
    this->refresh(I);
  }
  this->refreshMinimums();
}

void TargetTable::setLeaving(TargetId Id, bool Leaving) {
  TargetHandle H = this->find(Id);
  if (H.isValid() && this->Rows[H.Index].Leaving != Leaving) {
    this->Rows[H.Index].Leaving = Leaving;
    this->assignLongLane();
  }
}

void TargetTable::evictPrefix(TargetId Id, uint32_t Hash) {
  TargetHandle H = this->find(Id);
  if (H.isValid()) {
    this->Prefixes.evict(Hash, H.Index);
  }
}

std::vector<TargetStats> TargetTable::stats() const {
  std::vector<TargetStats> All;
  for (const Row &R : this->Rows) {
    if (R.Present) {
      All.push_back(TargetStats{R.Id, R.Name, R.InFlight, R.Limit, R.DecodeUs,
                                R.PrefillUs, R.Leaving, R.Limit == 0});
    }
  }
  return All;
}

} // namespace shallotlatch
