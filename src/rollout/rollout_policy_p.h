/// \file
/// Decides from merged evidence how much of a service's work a version that is
/// being rolled out may get, whether it is good or bad, and which status has to
/// be written.
#pragma once

#include "rollout_tally_p.h"

namespace shallotlatch {

enum class RolloutVerdict : uint8_t { Open, Good, Bad };
const char *name(RolloutVerdict Verdict);

/// What a host knows of a roll-out at one moment.
struct RolloutView {
  Duration Age{0}; ///< Time since the order.
  /// The host hears nearly all others, so that it learns in time of their
  /// evidence.
  bool InTouch = false;
  /// The counts are those of the whole fleet. A host that follows an owner has
  /// its own only; they may show that a version is bad, but not that it is
  /// good, nor that it had no answer.
  bool HasFleetCounts = true;
  uint32_t NewSlots = 0; ///< Slots of the usable targets of the new version.
  uint32_t Running = 0;  ///< Requests of the service that run.
  /// Status that the store is known to have.
  std::optional<RolloutState> Written;
  /// Rank of this host among those that may write the status; none: it may not.
  std::optional<uint32_t> WriterRank;
};

/// Decisions about one order. `update` runs every 20 ms and takes some
/// microseconds per route.
class RolloutPolicy {
public:
  RolloutPolicy(const RolloutBounds &Bounds, Duration Length);

  void update(const RolloutRoutes &Fleet, const RolloutView &View, Time Now);
  /// Takes over what another host decided. `Bad` stands for good.
  void adopt(RolloutVerdict Other);

  RolloutVerdict verdict() const { return this->Verdict; }
  /// Why the version was judged bad; empty if it was not.
  const std::string &reason() const { return this->Reason; }
  /// Part of all requests that the new version may get now.
  double share() const { return this->Share; }
  /// Work that would still run at `completeAt` and cannot be moved must not
  /// begin on the old version any more.
  bool drainsOld() const { return this->Drains; }
  /// Status that this host has to write now; none if there is nothing to do.
  std::optional<RolloutState> statusDue() const { return this->Due; }

  /// Times since the order at which a version that is not bad is taken for
  /// good, and at which `completed` is written.
  Duration judgeAt() const { return this->JudgeAt; }
  Duration completeAt() const { return this->CompleteAt; }

private:
  void judge(const RolloutRoutes &Fleet, const RolloutView &View);
  void setBad(const std::string &Why);
  std::optional<RolloutState> wantedStatus(const RolloutView &View) const;

  RolloutBounds Bounds;
  Duration Length;
  Duration JudgeAt;
  Duration CompleteAt;
  RolloutVerdict Verdict = RolloutVerdict::Open;
  std::string Reason;
  double Share = 0;
  bool Drains = false;
  std::optional<RolloutState> Due;
  std::optional<RolloutState> Wanted;
  Time WantedSince;
};

/// Returns whether \p New shows more of a kind of bad answer than the old
/// version's rate explains.
bool isWorse(uint64_t NewBad, uint64_t NewAnswers, uint64_t OldBad,
             uint64_t OldAnswers);

} // namespace shallotlatch
