#include "rollout_policy_p.h"

#include <algorithm>
#include <cmath>

namespace shallotlatch {

// Part of the exposure share that the new version gets, until there are enough
// answers for a first judgement and after that. The rest is for the work that
// moves before `completed`.
static constexpr double FirstProbePart = 0.5;
static constexpr double ProbePart = 0.15;
static constexpr uint64_t EnoughAnswers = 300;
static constexpr int64_t FirstProbeDivisor = 4;
// Time before the deadline at which `completed` is written, as a part of the
// duration and at most. An unstable store may delay a write by 8 s.
static constexpr int64_t WriteMarginDivisor = 6;
static constexpr Duration MaxWriteMargin = seconds(8);
// Time before that in which the old version drains. The longest deadline of a
// stream is 15 s.
static constexpr int64_t DrainDivisor = 4;
static constexpr Duration MaxDrainTime = seconds(15);
// Bad answers beyond the old version's rate that a good version may show by
// chance: a constant, the expected number and a multiple of its deviation. They
// hold over thousands of looks at the same counts.
static constexpr double ChanceConstant = 6;
static constexpr double ChanceFactor = 2;
static constexpr double ChanceDeviations = 4;
// At this number of bad answers a smaller excess suffices, since the version
// must get nothing soon after the 50th. The difference is what other hosts see
// before their reports arrive.
static constexpr uint64_t LateBadAnswers = 40;
static constexpr double LateFactor = 1.5;
static constexpr double LateDeviations = 3;
// Rate of bad answers that is assumed while the old version has few answers,
// and the number of answers that this assumption counts as.
static constexpr double AssumedRate = 0.005;
static constexpr double AssumedAnswers = 50;
// Below this number of answers the counts prove nothing, and a version is taken
// for bad at the end if several of them were bad and more than a part.
static constexpr uint64_t FewAnswers = 60;
static constexpr uint64_t FewBadAnswers = 2;
static constexpr double FewBadPart = 0.1;
// Part of the new version's slots that running requests may fill, so that it
// can carry the load.
static constexpr double CarryFill = 0.8;
// Delay between the hosts that may write the status. A write takes some ms, and
// a host that has died is no longer heard after 1.2 s.
static constexpr Duration WriterDelay = millis(1500);

const char *name(RolloutState State) {
  switch (State) {
  case RolloutState::Active:
    return "active";
  case RolloutState::Completed:
    return "completed";
  case RolloutState::RolledBack:
    return "rolled_back";
  }
  return "unknown";
}

const char *name(RolloutVerdict Verdict) {
  switch (Verdict) {
  case RolloutVerdict::Open:
    return "open";
  case RolloutVerdict::Good:
    return "good";
  case RolloutVerdict::Bad:
    return "bad";
  }
  return "unknown";
}

static double oldRate(uint64_t Bad, uint64_t Answers) {
  return (static_cast<double>(Bad) + AssumedRate * AssumedAnswers) /
         (static_cast<double>(Answers) + AssumedAnswers);
}

bool isWorse(uint64_t NewBad, uint64_t NewAnswers, uint64_t OldBad,
             uint64_t OldAnswers) {
  double Expected =
      static_cast<double>(NewAnswers) * oldRate(OldBad, OldAnswers);
  double Seen = static_cast<double>(NewBad);
  double Deviation = std::sqrt(Expected);
  return Seen >= ChanceConstant + ChanceFactor * Expected +
                     ChanceDeviations * Deviation ||
         (NewBad >= LateBadAnswers &&
          Seen >= LateFactor * Expected + LateDeviations * Deviation);
}

RolloutPolicy::RolloutPolicy(const RolloutBounds &Bounds, Duration Length)
    : Bounds(Bounds), Length(Length),
      CompleteAt(Length -
                 std::min(MaxWriteMargin, Length / WriteMarginDivisor)) {
  this->JudgeAt =
      this->CompleteAt - std::min(MaxDrainTime, Length / DrainDivisor);
}

void RolloutPolicy::setBad(const std::string &Why) {
  if (this->Verdict != RolloutVerdict::Bad) {
    this->Verdict = RolloutVerdict::Bad;
    this->Reason = Why;
  }
}

void RolloutPolicy::adopt(RolloutVerdict Other) {
  if (Other == RolloutVerdict::Bad) {
    this->setBad("another host judged so");
  } else if (Other == RolloutVerdict::Good &&
             this->Verdict == RolloutVerdict::Open) {
    this->Verdict = Other;
  }
}

// A fault may show on one route only, so each is compared by itself as well.
// Slow answers have another rate than failures, and few failures must not hide
// among many slow answers of both versions.
void RolloutPolicy::judge(const RolloutRoutes &Fleet, const RolloutView &View) {
  RolloutPair Sum = sumOf(Fleet);
  auto Check = [this](const RolloutPair &P, const std::string &Where) {
    const RolloutCounts &Old = P[static_cast<size_t>(RolloutSide::Old)];
    const RolloutCounts &New = P[static_cast<size_t>(RolloutSide::New)];
    if (isWorse(New.Failed, New.answers(), Old.Failed, Old.answers())) {
      this->setBad("failures" + Where);
    } else if (isWorse(New.Slow, New.answers(), Old.Slow, Old.answers())) {
      this->setBad("slow answers" + Where);
    } else if (isWorse(New.bad(), New.answers(), Old.bad(), Old.answers())) {
      this->setBad("bad answers" + Where);
    }
  };
  Check(Sum, "");
  for (const auto &Item : Fleet) {
    Check(Item.second, " on route " + std::to_string(Item.first.Value));
  }
  if (this->Verdict != RolloutVerdict::Open || View.Age < this->JudgeAt ||
      !View.InTouch || !View.HasFleetCounts) {
    return;
  }
  const RolloutCounts &Old = Sum[static_cast<size_t>(RolloutSide::Old)];
  const RolloutCounts &New = Sum[static_cast<size_t>(RolloutSide::New)];
  double Part =
      static_cast<double>(New.bad()) / static_cast<double>(New.answers());
  if (New.answers() == 0) {
    // Nothing shows that the version works. Its first answer may still arrive.
    if (View.Age >= (this->CompleteAt + this->Length) / 2) {
      this->setBad("no answer");
    }
  } else if (New.answers() < FewAnswers && New.bad() >= FewBadAnswers &&
             Part > FewBadPart + 2 * oldRate(Old.bad(), Old.answers())) {
    this->setBad("bad answers among few");
  } else {
    this->Verdict = RolloutVerdict::Good;
  }
}

std::optional<RolloutState>
RolloutPolicy::wantedStatus(const RolloutView &View) const {
  if (View.Written && *View.Written != RolloutState::Active) {
    return std::nullopt; // The first final status stands.
  }
  if (this->Verdict == RolloutVerdict::Bad) {
    return RolloutState::RolledBack;
  }
  if (this->Verdict == RolloutVerdict::Good && View.Age >= this->CompleteAt &&
      View.InTouch) {
    return RolloutState::Completed;
  }
  return View.Written ? std::nullopt : std::make_optional(RolloutState::Active);
}

static uint64_t answersOfNew(const RolloutRoutes &Fleet) {
  return sumOf(Fleet)[static_cast<size_t>(RolloutSide::New)].answers();
}

void RolloutPolicy::update(const RolloutRoutes &Fleet, const RolloutView &View,
                           Time Now) {
  if (!View.Written || *View.Written == RolloutState::Active) {
    this->judge(Fleet, View);
  }
  bool Final = View.Written && *View.Written != RolloutState::Active;
  bool Open = !Final && this->Verdict != RolloutVerdict::Bad;
  bool Carries = static_cast<double>(View.Running) <=
                 CarryFill * static_cast<double>(View.NewSlots);
  this->Drains = Open && this->Verdict == RolloutVerdict::Good &&
                 View.InTouch && View.NewSlots > 0 && Carries;
  // A host that has only its own counts goes by the time.
  bool FirstProbe = View.HasFleetCounts
                        ? answersOfNew(Fleet) < EnoughAnswers
                        : View.Age < this->Length / FirstProbeDivisor;
  double Probe = FirstProbe ? FirstProbePart : ProbePart;
  this->Share = Final && *View.Written == RolloutState::Completed ? 1
                : !Open || !View.InTouch                          ? 0
                                         : this->Bounds.ExposureShare * Probe;
  std::optional<RolloutState> Next = this->wantedStatus(View);
  if (Next != this->Wanted) {
    this->Wanted = Next;
    this->WantedSince = Now;
  }
  bool Turn = View.WriterRank &&
              Now - this->WantedSince >=
                  WriterDelay * static_cast<int64_t>(*View.WriterRank);
  this->Due = Turn ? this->Wanted : std::nullopt;
}

} // namespace shallotlatch
