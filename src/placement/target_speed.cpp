#include "target_speed_p.h"

#include <algorithm>
#include <cmath>

namespace shallotlatch {

// Times after which an observation counts for 1/e. The short one ends within
// the 600 ms for which a machine is busy with other work; the long one covers
// several such spells.
static constexpr Duration CurrentFade = millis(200);
static constexpr Duration UsualFade = seconds(5);
// Factor by which the current speed differs from the usual one if the target
// has changed. Intervals of one target vary by less.
static constexpr double ChangeFactor = 1.4;
// Time after which a difference counts as a lasting change. It is longer than a
// spell of 600 ms with the time in which `Current` returns from it, and short
// enough to follow a change within a second.
static constexpr Duration ChangeConfirmation = millis(800);
// Longest mean interval that is taken in. Streams with longer pauses are late
// in any case.
static constexpr double MaxEventMs = 5000;
// Bounds of the sums that a report holds; the wire has 16 bits for each.
static constexpr uint32_t MaxReportedEvents = 65535;
static constexpr Duration MaxReportedSpan = millis(65535);
// Bounds of the factor that a target may name for itself, which is 2.5 while
// its machine is busy.
static constexpr double MinSaidFactor = 0.5;
static constexpr double MaxSaidFactor = 4;
// Ages up to which a moment's factor counts in full and from which on it counts
// for nothing. It changes several times a second, in spells of 600 ms.
static constexpr Duration FullEffectAge = millis(100);
static constexpr Duration MaxEffectAge = millis(600);
// Age from which on the number of requests that a target names is not used.
static constexpr Duration MaxUseAge = millis(300);
// Weight of one first event in the trust in a target's word: false values lose
// most of their effect after ten first events.
static constexpr double TrustWeight = 0.2;
// Trust from which on a target's word is used.
static constexpr double MinTrust = 0.5;
// Smallest distance of a named factor from 1 that a first event can prove right
// or wrong, as a logarithm.
static constexpr double MinProvableFactor = 0.2;
static constexpr size_t MaxLoadDigits = 6;
// Age at which unreported observations are dropped: an owner that was not heard
// for so long must not take them for the present speed.
static constexpr Duration MaxUnreportedAge = seconds(1);
// Largest estimate of output tokens that is read; engines have less memory.
static constexpr double MaxOutputHint = 1e6;
static constexpr size_t MaxHintDigits = 9;
// Observed answers before the learned ratio is used. Half of the estimates are
// wrong by more than a few percent, so a single one says little.
static constexpr uint32_t MinObservedAnswers = 8;
// Smallest step of the median ratio, relative to it. 200 answers move it by at
// most a factor of 2.7.
static constexpr double MinRatioStep = 0.005;
static constexpr double MinEventsPerToken = 1e-4;
static constexpr double MaxEventsPerToken = 10;

void TargetSpeed::FadingMean::add(double NewEvents, double NewMs, Duration Fade,
                                  Time Now) {
  double Elapsed = std::max(0.0, toSeconds(Now - this->At));
  double Kept = this->Events > 0 ? std::exp(-Elapsed / toSeconds(Fade)) : 0;
  this->Events = this->Events * Kept + NewEvents;
  this->Ms = this->Ms * Kept + NewMs;
  this->Mean = this->Ms / this->Events;
  this->At = Now;
}

void TargetSpeed::observeEvents(uint32_t Events, Duration Span, Time Now) {
  double Ms = toSeconds(Span) * 1000;
  if (Events == 0 || Ms < 0) {
    return;
  }
  Ms = std::min(Ms, MaxEventMs * Events);
  this->Current.add(Events, Ms, CurrentFade, Now);
  this->Usual.add(Events, Ms, UsualFade, Now);
  double Currently = this->Current.meanMs();
  double Usually = this->Usual.meanMs();
  if (Currently < Usually * ChangeFactor &&
      Usually < Currently * ChangeFactor) {
    this->DiffersSince = Time();
  } else if (this->DiffersSince == Time()) {
    this->DiffersSince = Now;
  } else if (Now - this->DiffersSince >= ChangeConfirmation) {
    this->Usual = this->Current;
    this->DiffersSince = Time();
  }
}

bool parseTargetLoad(const std::string &Text, TargetLoad &Load) {
  uint32_t Numbers[4] = {0, 0, 0, 0};
  size_t Count = 0;
  size_t Digits = 0;
  for (char C : Text) {
    if (C == ',' && Digits > 0 && Count < 3) {
      ++Count;
      Digits = 0;
    } else if (C >= '0' && C <= '9' && ++Digits <= MaxLoadDigits) {
      Numbers[Count] = Numbers[Count] * 10 + static_cast<uint32_t>(C - '0');
    } else {
      return false;
    }
  }
  if (Digits == 0 || Count < 2) {
    return false;
  }
  Load.Use = Numbers[0] + Numbers[1];
  Load.Slots = Numbers[2];
  Load.Percent = Numbers[3];
  return true;
}

// Share with which a moment's factor of this age counts.
static double freshness(Duration Age) {
  double Past = toSeconds(Age - FullEffectAge);
  return std::clamp(1 - Past / toSeconds(MaxEffectAge - FullEffectAge), 0.0,
                    1.0);
}

void TargetSpeed::observeLoad(const TargetLoad &Load, Time At) {
  if (At >= this->SaidAt) {
    this->Said = Load;
    this->SaidAt = At;
  }
}

void TargetSpeed::observeFirst(double Observed, double Said) {
  double Named = std::log(Said);
  if (!(Observed > 0) || std::abs(Named) < MinProvableFactor) {
    return;
  }
  double Error = std::log(Observed);
  bool Right = std::abs(Error - Named) < std::abs(Error);
  this->Trust += TrustWeight * ((Right ? 1 : 0) - this->Trust);
}

double TargetSpeed::saidFactor(Time Now) const {
  if (this->Said.Percent == 0 || Now - this->SaidAt >= MaxEffectAge) {
    return 1;
  }
  double Factor =
      std::clamp(this->Said.Percent / 100.0, MinSaidFactor, MaxSaidFactor);
  return 1 + (Factor - 1) * freshness(Now - this->SaidAt);
}

double TargetSpeed::trustedFactor(Time Now) const {
  return this->Trust > MinTrust ? 1 + (this->saidFactor(Now) - 1) * this->Trust
                                : 1;
}

// The newer of the two sources counts, except that a target's word that has
// proved wrong does not.
double TargetSpeed::momentFactor(Time Now) const {
  if (this->SaidAt > this->Current.At && this->Said.Percent != 0 &&
      this->Trust > MinTrust) {
    return this->trustedFactor(Now);
  }
  if (this->Usual.Events == 0 || Now - this->Current.At >= MaxEffectAge) {
    return 1;
  }
  double Factor = std::clamp(this->Current.meanMs() / this->Usual.meanMs(),
                             MinSaidFactor, MaxSaidFactor);
  return 1 + (Factor - 1) * freshness(Now - this->Current.At);
}

uint32_t TargetSpeed::saidUse(Time Now) const {
  bool Fresh = this->SaidAt != Time() && Now - this->SaidAt < MaxUseAge;
  return Fresh ? this->Said.Use : 0;
}

uint32_t TargetSpeed::saidSlots(Time Now) const {
  bool Fresh = this->SaidAt != Time() && Now - this->SaidAt < MaxUseAge;
  return Fresh ? this->Said.Slots : 0;
}

void TargetSpeed::countUse(int Change) {
  if (Change > 0 || this->Said.Use > 0) {
    this->Said.Use += static_cast<uint32_t>(Change);
  }
}

bool TargetSpeed::countForReport(uint32_t Events, Duration Span, Time Now) {
  bool First = this->Unreported.Events == 0;
  if (First || Now - this->UnreportedSince > MaxUnreportedAge) {
    this->Unreported = TargetPace();
    this->UnreportedSince = Now;
  }
  if (this->Unreported.Events + Events <= MaxReportedEvents &&
      this->Unreported.Span + Span <= MaxReportedSpan) {
    this->Unreported.Events += Events;
    this->Unreported.Span += Span;
  }
  return First && this->Unreported.Events > 0;
}

TargetPace TargetSpeed::takePace() {
  TargetPace Pace = this->Unreported;
  this->Unreported = TargetPace();
  return Pace;
}

double parseOutputHint(const std::string &Text, double MaxOutput) {
  if (Text.empty() || Text.size() > MaxHintDigits ||
      Text.find_first_not_of("0123456789") != std::string::npos) {
    return 0;
  }
  double Hint = std::min(static_cast<double>(std::stoul(Text)), MaxOutputHint);
  return MaxOutput > 0 ? std::min(Hint, MaxOutput) : Hint;
}

void AnswerLength::observe(double Hint, uint32_t Events) {
  if (!(Hint >= 1) || Events == 0) {
    return;
  }
  double Ratio =
      std::clamp(Events / Hint, MinEventsPerToken, MaxEventsPerToken);
  ++this->Observations;
  if (this->EventsPerToken == 0) {
    this->EventsPerToken = Ratio;
    return;
  }
  // Equal steps up and down settle at the median, however far off single
  // estimates are.
  double Step = std::max(MinRatioStep, 0.5 / this->Observations);
  this->EventsPerToken *=
      Ratio > this->EventsPerToken ? 1 + Step : 1 / (1 + Step);
}

double AnswerLength::expectedEvents(double Hint) const {
  return this->Observations < MinObservedAnswers ? 0
                                                 : Hint * this->EventsPerToken;
}

} // namespace shallotlatch
