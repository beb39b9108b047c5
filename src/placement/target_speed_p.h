/// \file
/// Learned speed of one target and learned length of answers. The code does no
/// input or output: it takes observations and the time, and gives predictions.
#pragma once

#include "shallotlatch/types.h"

#include <string>

namespace shallotlatch {

/// What one host observed of the events of one target's streams, as a holder
/// reports it to its owner.
struct TargetPace {
  uint32_t Target = 0; ///< Hash of the target's instance.
  uint32_t Events = 0; ///< Events after the first of each stream.
  Duration Span{0};    ///< Sum of the intervals before these events.
};

/// What a target says of itself in the head of an answer.
struct TargetLoad {
  uint32_t Target = 0; ///< Hash of the target's instance.
  uint32_t Use = 0;    ///< Requests that run and wait there.
  uint32_t Slots = 0;
  uint32_t Percent = 0; ///< How long work takes, 100 as usual; 0: not said.
  Duration Age{0};      ///< Time since the head arrived.
};

/// Parses "RUNNING,WAITING,SLOTS[,PERCENT]". Returns false if \p Text has any
/// other form or a number of more than six digits.
bool parseTargetLoad(const std::string &Text, TargetLoad &Load);

/// Speed of one incarnation of a target.
///
/// Load: intervals between the events of all streams that run there, 10 to
/// 1,000 a second, from several hosts. The work of a machine takes two and a
/// half times as long for 600 ms at a time, and may change for good at once.
class TargetSpeed {
public:
  /// Records \p Events events that came after intervals of \p Span in total.
  /// Invalid observations are ignored.
  void observeEvents(uint32_t Events, Duration Span, Time Now);
  /// Mean time between two events of a stream in ms, over spells in which the
  /// machine is busy; 0 if it is not known.
  double eventMs() const { return this->Usual.meanMs(); }
  /// The same at the moment of the last observation.
  double currentEventMs() const { return this->Current.meanMs(); }

  /// Takes what the target said of itself at \p At. An older message than the
  /// newest one is ignored.
  void observeLoad(const TargetLoad &Load, Time At);
  /// Records that a first event took \p Observed times as long as predicted
  /// without the target's own word, which was \p Said at the time.
  void observeFirst(double Observed, double Said);
  /// Factor by which first events take longer at this moment than usual, from
  /// the target's word and the intervals between events.
  double momentFactor(Time Now) const;
  /// Factor that the target names, as far as it is fresh.
  double saidFactor(Time Now) const;
  /// The same, weighed by how often it proved right; 1 if it mostly did not.
  double trustedFactor(Time Now) const;
  /// Requests on the target as it says, at most its slots and with what this
  /// host placed since; 0 if that is not known or old.
  uint32_t saidUse(Time Now) const;
  /// Counts a request that was placed there (1) or has ended (-1).
  void countUse(int Change);
  /// Slots as the target says; 0 if that is not known or old.
  uint32_t saidSlots(Time Now) const;

  /// Returns what was observed here since the last call.
  TargetPace takePace();
  /// Adds to what the next `takePace` returns. Returns whether it held nothing
  /// before.
  bool countForReport(uint32_t Events, Duration Span, Time Now);

private:
  /// Mean of intervals, in which older ones fade out.
  struct FadingMean {
    double Events = 0;
    double Ms = 0;
    double Mean = 0; ///< Kept, since decisions read it for every target.
    Time At;
    void add(double NewEvents, double NewMs, Duration Fade, Time Now);
    double meanMs() const { return this->Mean; }
  };

  FadingMean Current;
  FadingMean Usual;
  /// Time since which `Current` differs from `Usual`; the epoch if it does not.
  Time DiffersSince;
  TargetLoad Said;
  Time SaidAt; ///< The epoch if the target has said nothing.
  /// Share of the target's word that is believed, from 0 to 1.
  double Trust = 1;
  TargetPace Unreported;
  Time UnreportedSince;
};

/// Parses a caller's estimate of its output tokens. Returns 0, as for a caller
/// that gives none, unless \p Text is a whole number. An estimate above
/// \p MaxOutput, the maximum that the caller sets (0: none), means that
/// maximum.
double parseOutputHint(const std::string &Text, double MaxOutput);

/// Number of events that an answer of one service will have, from the caller's
/// estimate of its output tokens. The estimate is accurate at the median and
/// often wrong by a factor of two or more, so the median ratio is learned.
class AnswerLength {
public:
  /// Records that an answer with the estimate \p Hint had \p Events events.
  void observe(double Hint, uint32_t Events);
  /// Expected events for the estimate \p Hint; 0 if it cannot be told.
  double expectedEvents(double Hint) const;

private:
  double EventsPerToken = 0;
  uint32_t Observations = 0;
};

} // namespace shallotlatch
