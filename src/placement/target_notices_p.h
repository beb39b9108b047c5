/// \file
/// What the targets of one service said of themselves in their answers: that
/// they leave, or that they accept nothing for a time. The code does no input
/// or output.
#pragma once

#include "routing_p.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallotlatch {

/// Longest pause of a target that a host obeys. Longer ones, up to numbers
/// without end, are read as this. No route gives a request more than 15 s, so a
/// longer pause keeps no request from being served late, but a target that
/// named a false time would be lost for it. Once a minute and host it gets the
/// chance to name it again.
constexpr Duration MaxTargetPause = seconds(60);

/// Identifies an incarnation of a target by its name, address and start.
uint32_t incarnationKey(const TargetEntry &Target);

/// Reads the values of all `Retry-After` fields of one answer, as seconds in
/// decimal digits with at most one point. Of several values, in several fields
/// or with commas between them, the longest counts, since the target must get
/// nothing before the end of any of them; values above `MaxTargetPause` count
/// as this. A negative number, an empty value, a date and any other text name
/// no pause: the clocks of two machines differ, so a date does not either.
/// Returns nothing if no value can be read.
std::optional<Duration> parsePause(const std::vector<std::string> &Values);

/// Reads the value of a field with which a target says that it leaves: only `1`
/// does.
bool parseLeaving(const std::string &Value);

/// What a host knows of one target from its answers, as it tells the owner of
/// its failure domain.
struct TargetNotice {
  uint32_t Target = 0; ///< Key of the incarnation.
  /// Time since the target first said that it leaves.
  std::optional<Duration> SinceLeaving;
  /// Time until the target may be used again.
  std::optional<Duration> PauseLeft;
};

/// Whether a service takes a request, as far as its targets' notices tell.
struct ServiceOpening {
  bool Blocked = false; ///< All targets pause or leave.
  /// Time until a pause ends; nothing if no target is known to come back.
  std::optional<Duration> Until;
};

/// Notices of the targets of one service that reached one host.
///
/// Load: a release, in which all targets of a service leave or pause at the
/// same time while requests are in flight to each, so that every one of them
/// repeats its notice many times a second.
class TargetNotices {
public:
  /// \p DrainTimeout: time after a target said that it leaves within which
  /// callers may still send requests that reach it. \p Seed differs between
  /// hosts.
  void configure(Duration DrainTimeout, uint64_t Seed);

  /// Records that an answer said that the target leaves. Returns whether no
  /// answer said so before.
  bool observeLeaving(uint32_t Target, Time Now);
  /// Records that an answer named a pause. Returns whether the target was not
  /// pausing before.
  bool observePause(uint32_t Target, Duration Length, Time Now);
  /// Records that an answer carried a notice that cannot be read. Returns
  /// whether it is the first one of the target.
  bool observeUnreadable(uint32_t Target, Time Now);
  /// Takes over what another host was told. What is known already stays.
  void merge(const std::vector<TargetNotice> &Notices, Time Now);

  /// Whether no target ever gave a notice.
  bool empty() const { return this->Entries.empty(); }
  bool isLeaving(uint32_t Target) const;
  bool isPaused(uint32_t Target, Time Now) const;
  /// End of the target's pause; the epoch if there was none.
  Time pauseEnd(uint32_t Target) const;

  /// Whether a request may be placed on the target now. \p CallerSentAt: time
  /// at which the caller had sent it. \p OthersStay: the service has another
  /// target for it that does not leave.
  bool mayPlace(uint32_t Target, Time CallerSentAt, bool OthersStay,
                Time Now) const;
  /// Whether a request that was placed before may be sent to the target now.
  /// Each request that may be placed may also be sent.
  bool maySend(uint32_t Target, Time CallerSentAt, Time Now) const;

  /// Returns what the owner has to learn of the target now, or nothing. Each
  /// notice is due in a few reports after a change and then at long intervals.
  std::optional<TargetNotice> takeReport(uint32_t Target, Time Now);

private:
  struct Entry {
    std::optional<Time> LeavingSince;
    Time PausedUntil;
    bool Unreadable = false;
    Time ChangedAt;
    uint32_t ReportsLeft = 0;
    Time ReportedAt;
  };
  const Entry *find(uint32_t Target) const;
  Entry &entry(uint32_t Target, Time Now);
  void makeRoom(Time Now);

  Duration DrainTimeout = millis(2500);
  uint64_t Seed = 0;
  std::unordered_map<uint32_t, Entry> Entries;
};

} // namespace shallotlatch
