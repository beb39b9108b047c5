// What targets say of themselves in their answers: that they leave, or that
// they accept nothing for a time.
#include "relay_p.h"

#include "event_log_p.h"
#include "relay_limits_p.h"

#include <algorithm>

namespace shallotlatch {

// Longest part of an unreadable value in a log line.
static constexpr size_t MaxLoggedValue = 64;

static std::vector<std::string> valuesOf(const HttpHead &Head,
                                         const std::string &Name) {
  std::vector<std::string> Values;
  for (const HttpField &F : Head.Fields) {
    if (!Name.empty() && equalsIgnoringCase(F.Name, Name)) {
      Values.push_back(F.Value);
    }
  }
  return Values;
}

// An answer with status 421 comes from another process than the one that the
// request was meant for, so it tells nothing about the latter.
void RequestRelay::observeNotices(const TargetEntry &Target,
                                  const std::string &RequestId,
                                  const HttpHead &Head) {
  const RelayHeaders &H = this->Init.Headers;
  if (Head.Status == 421) {
    return;
  }
  std::vector<std::string> Leaving = valuesOf(Head, H.TargetLeaving);
  std::vector<std::string> Pauses;
  if (Head.Status == 503) {
    Pauses = valuesOf(Head, H.RetryAfter);
  }
  if (Leaving.empty() && Pauses.empty()) {
    return;
  }
  Time Now = ProcessClock::now();
  uint32_t Run = incarnationKey(Target);
  ServicePlacement &Places = *this->service(Target.Service).Places;
  TargetNotices &Notices = Places.scheduler().notices();
  std::optional<Duration> Pause = parsePause(Pauses);
  bool Leaves = std::any_of(Leaving.begin(), Leaving.end(), parseLeaving);
  bool Changed = false;
  if (Leaves && Notices.observeLeaving(Run, Now)) {
    Changed = true;
    logImportantEvent("target-said-leaving", {{"instance", Target.Instance},
                                              {"id", RequestId},
                                              {"status", Head.Status}});
  }
  if (Pause && Notices.observePause(Run, *Pause, Now)) {
    Changed = true;
    logImportantEvent("target-paused",
                      {{"instance", Target.Instance},
                       {"id", RequestId},
                       {"ms", toMillis(*Pause)},
                       {"until-ms", toMillis(Notices.pauseEnd(Run) - Now)}});
  }
  bool Unreadable =
      (!Leaving.empty() && !Leaves) || (!Pauses.empty() && !Pause);
  if (Unreadable && Notices.observeUnreadable(Run, Now)) {
    const std::string &Value =
        !Pauses.empty() && !Pause ? Pauses.front() : Leaving.front();
    logEvent("target-notice-unreadable",
             {{"instance", Target.Instance},
              {"id", RequestId},
              {"value", Value.substr(0, MaxLoggedValue)}});
  }
  if (Changed) {
    Places.noticed();
    this->schedulePlacementMessages();
  }
}

bool RequestRelay::mayTryAgain(const RelayedRequest &R) {
  return this->service(R.Service).Places->scheduler().mayTryAgain(
      placementOf(R), ProcessClock::now());
}

Duration RequestRelay::retryAfterNotRun(const RelayedRequest &R) {
  // The caller's next request may use the targets that this one tried.
  PlacementRequest Next = placementOf(R);
  Next.Tried.clear();
  ServiceOpening Open = this->service(R.Service).Places->scheduler().opening(
      Next, ProcessClock::now());
  return Open.Blocked ? ServiceScheduler::retryAtOpening(Next, Open)
                      : RetryAfterTargetFailure;
}

void RequestRelay::countNotices(uint32_t &SaidLeaving, uint32_t &Paused) const {
  for (const auto &Item : this->Services) {
    Item.second->Places->scheduler().countNotices(ProcessClock::now(),
                                                  SaidLeaving, Paused);
  }
}

} // namespace shallotlatch
