#include "target_notices_p.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace shallotlatch {

// Share of a pause, and the longest time, by which a host extends it, so that
// the hosts of a fleet do not all return to the target at one moment. Half of
// the hosts of a fleet return within the first half of that time.
static constexpr double PauseSpreadShare = 0.2;
static constexpr Duration MaxPauseSpread = seconds(1);
// Reports to the owner in which a change is told. One of three arrives unless
// most datagrams are lost, and the next refresh repeats it.
static constexpr uint32_t ReportsPerChange = 3;
// Interval at which the owner is told again what is in force, since it may have
// started or taken over in the meantime.
static constexpr Duration ReportRefresh = seconds(5);
// Limit on the incarnations of one service that are kept. A service has some
// 100 targets, so the departures of ten releases fit.
static constexpr size_t MaxEntries = 1024;

uint32_t incarnationKey(const TargetEntry &Target) {
  return static_cast<uint32_t>(
      hashPair(Target.identity(), hash64(Target.At.text())));
}

static std::string trim(const std::string &Text) {
  size_t First = Text.find_first_not_of(" \t");
  if (First == std::string::npos) {
    return "";
  }
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

static std::optional<Duration> parseSeconds(const std::string &Text) {
  if (Text.find_first_of("0123456789") == std::string::npos ||
      Text.find_first_not_of("0123456789.") != std::string::npos ||
      std::count(Text.begin(), Text.end(), '.') > 1) {
    return std::nullopt;
  }
  // Digits without end give infinity, which the bound covers.
  double Value = std::strtod(Text.c_str(), nullptr);
  return Duration(static_cast<int64_t>(
      std::min(Value, toSeconds(MaxTargetPause)) * 1000000));
}

std::optional<Duration> parsePause(const std::vector<std::string> &Values) {
  std::optional<Duration> Longest;
  for (const std::string &Value : Values) {
    size_t Start = 0;
    while (Start <= Value.size()) {
      size_t End = std::min(Value.find(',', Start), Value.size());
      std::optional<Duration> Part =
          parseSeconds(trim(Value.substr(Start, End - Start)));
      if (Part && (!Longest || *Part > *Longest)) {
        Longest = Part;
      }
      Start = End + 1;
    }
  }
  return Longest;
}

bool parseLeaving(const std::string &Value) { return trim(Value) == "1"; }

void TargetNotices::configure(Duration Timeout, uint64_t HostSeed) {
  this->DrainTimeout = Timeout;
  this->Seed = HostSeed;
}

const TargetNotices::Entry *TargetNotices::find(uint32_t Target) const {
  auto It = this->Entries.find(Target);
  return It == this->Entries.end() ? nullptr : &It->second;
}

// Pauses that ended go first, then the oldest departure: its target is the
// least likely to be still there.
void TargetNotices::makeRoom(Time Now) {
  for (auto It = this->Entries.begin(); It != this->Entries.end();) {
    bool Over = !It->second.LeavingSince && It->second.PausedUntil <= Now;
    It = Over ? this->Entries.erase(It) : std::next(It);
  }
  if (this->Entries.size() >= MaxEntries) {
    this->Entries.erase(
        std::min_element(this->Entries.begin(), this->Entries.end(),
                         [](const auto &A, const auto &B) {
                           return A.second.ChangedAt < B.second.ChangedAt;
                         }));
  }
}

TargetNotices::Entry &TargetNotices::entry(uint32_t Target, Time Now) {
  if (this->Entries.size() >= MaxEntries && this->Entries.count(Target) == 0) {
    this->makeRoom(Now);
  }
  return this->Entries[Target];
}

bool TargetNotices::observeLeaving(uint32_t Target, Time Now) {
  Entry &E = this->entry(Target, Now);
  if (E.LeavingSince) {
    return false;
  }
  E.LeavingSince = Now;
  E.ChangedAt = Now;
  E.ReportsLeft = ReportsPerChange;
  return true;
}

// The longest of several pauses holds, since each answer states for itself that
// nothing is accepted until its end.
bool TargetNotices::observePause(uint32_t Target, Duration Length, Time Now) {
  Duration Whole = std::clamp(Length, Duration(0), MaxTargetPause);
  double Part = static_cast<double>(hashPair(this->Seed, Target) % 1000) / 1000;
  double Spread =
      std::min(static_cast<double>(Whole.count()) * PauseSpreadShare,
               static_cast<double>(MaxPauseSpread.count()));
  Time End = Now + Whole + Duration(static_cast<int64_t>(Spread * Part));
  Entry &E = this->entry(Target, Now);
  bool New = Whole.count() > 0 && E.PausedUntil <= Now;
  if (End > E.PausedUntil) {
    E.PausedUntil = End;
    E.ChangedAt = Now;
    // Answers of requests in flight extend a pause many times a second by a
    // little, which the next refresh tells early enough.
    E.ReportsLeft = New ? ReportsPerChange : E.ReportsLeft;
  }
  return New;
}

bool TargetNotices::observeUnreadable(uint32_t Target, Time Now) {
  Entry &E = this->entry(Target, Now);
  bool First = !E.Unreadable;
  E.Unreadable = true;
  return First;
}

void TargetNotices::merge(const std::vector<TargetNotice> &Notices, Time Now) {
  for (const TargetNotice &N : Notices) {
    if (N.SinceLeaving) {
      Entry &E = this->entry(N.Target, Now);
      E.LeavingSince = E.LeavingSince.value_or(Now - *N.SinceLeaving);
      E.ChangedAt = Now;
    }
    if (N.PauseLeft) {
      Entry &E = this->entry(N.Target, Now);
      Time End = Now + std::min(*N.PauseLeft, MaxTargetPause + MaxPauseSpread);
      E.PausedUntil = std::max(E.PausedUntil, End);
      E.ChangedAt = Now;
    }
  }
}

bool TargetNotices::isLeaving(uint32_t Target) const {
  const Entry *E = this->find(Target);
  return E != nullptr && E->LeavingSince.has_value();
}

bool TargetNotices::isPaused(uint32_t Target, Time Now) const {
  return this->pauseEnd(Target) > Now;
}

Time TargetNotices::pauseEnd(uint32_t Target) const {
  const Entry *E = this->find(Target);
  return E == nullptr ? Time() : E->PausedUntil;
}

bool TargetNotices::mayPlace(uint32_t Target, Time CallerSentAt,
                             bool OthersStay, Time Now) const {
  return !(OthersStay && this->isLeaving(Target)) &&
         this->maySend(Target, CallerSentAt, Now);
}

// The rule allows two requests within a pause. None is sent on purpose: the two
// are left for bytes that were on their way when the answer arrived.
bool TargetNotices::maySend(uint32_t Target, Time CallerSentAt,
                            Time Now) const {
  const Entry *E = this->find(Target);
  if (E == nullptr) {
    return true;
  }
  bool TooLate =
      E->LeavingSince && CallerSentAt > *E->LeavingSince + this->DrainTimeout;
  return !TooLate && E->PausedUntil <= Now;
}

std::optional<TargetNotice> TargetNotices::takeReport(uint32_t Target,
                                                      Time Now) {
  auto It = this->Entries.find(Target);
  if (It == this->Entries.end()) {
    return std::nullopt;
  }
  Entry &E = It->second;
  bool Paused = E.PausedUntil > Now;
  bool Due = E.ReportsLeft > 0 || Now - E.ReportedAt >= ReportRefresh;
  if ((!E.LeavingSince && !Paused) || !Due) {
    return std::nullopt;
  }
  E.ReportsLeft -= E.ReportsLeft > 0 ? 1 : 0;
  E.ReportedAt = Now;
  TargetNotice N;
  N.Target = Target;
  if (E.LeavingSince) {
    N.SinceLeaving = Now - *E.LeavingSince;
  }
  if (Paused) {
    N.PauseLeft = E.PausedUntil - Now;
  }
  return N;
}

} // namespace shallotlatch
