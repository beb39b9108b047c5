/// \file
/// Learned number of requests that one target handles well. The code does no
/// input or output.
#pragma once

#include "shallotlatch/types.h"

#include <array>

namespace shallotlatch {

/// Limit of the requests that run on one incarnation of a target at a time,
/// from one to its slots.
///
/// Load: 10 to 1,000 events a second at changing numbers of running requests.
/// Targets are meant whose events take several times as long from half of their
/// slots on. A machine that is busy for 600 ms, or a target that becomes slower
/// whatever runs there, must not set a limit that lasts.
class ConcurrencyLimit {
public:
  /// Records \p Events events after intervals of \p Ms in total while
  /// \p Running requests ran on a target with \p Slots slots.
  void observe(uint32_t Running, uint32_t Slots, uint32_t Events, double Ms,
               Time Now);
  bool isLimited() const { return this->Allowed + 1 < LevelCount; }
  /// The limit; \p Slots if there is none.
  uint32_t limit(uint32_t Slots) const;

private:
  /// Numbers of running requests are kept in eighths of the slots.
  static constexpr uint32_t LevelCount = 8;
  struct Level {
    double Events = 0;
    double Ms = 0;      ///< Sum of the intervals before the events.
    double Running = 0; ///< Sum of the running requests over the events.
    Time At;
    Time JudgedAt;
    uint32_t WorseVisits = 0; ///< Visits in which a lower level was better.
  };
  static uint32_t levelOf(uint32_t Running, uint32_t Slots);
  /// How well a target works at a level; 0 if that is not known.
  static double merit(const Level &L, Time Now);
  /// Compares a level that was in use with the lower ones.
  void judge(uint32_t Index, Time Now);

  std::array<Level, LevelCount> Levels;
  uint32_t Allowed = LevelCount - 1; ///< Highest level in use.
  uint32_t Current = 0;              ///< Level of the last observation.
  Time NextTrialAt;
  Duration TrialDelay{0};
};

} // namespace shallotlatch
