// What targets said of themselves, as it decides on the requests of one
// service.
#include "place_pool_p.h"

#include <algorithm>

namespace shallotlatch {

// Notices in one report to the owner. A datagram goes out every 100 ms, so the
// departures of 90 targets are told within 2 s at some 1.5 KB/s.
static constexpr size_t MaxNoticesPerReport = 16;
// Share of the targets that one request may use up to which the word of other
// hosts keeps it from them. A host that is wrong about all targets must not
// crowd the requests of others on a few.
static constexpr double MaxAdvisedShare = 0.5;
// Time until a service of which all targets leave is asked for again. Nothing
// tells when new targets come; a target that restarts takes some seconds.
static constexpr Duration AllLeavingRetry = seconds(1);
// Share of the time until a target takes work by which the callers that are
// told to return then are spread.
static constexpr double OpeningSpreadShare = 0.25;
// Shortest time over which they are spread.
static constexpr double MinOpeningSpreadMs = 200;

const TargetNotices *
ServiceScheduler::holderNotices(const PlacementRequest &Request) const {
  auto It = this->NoticesOfHolders.find(Request.Holder);
  return It == this->NoticesOfHolders.end() || It->second.empty() ? nullptr
                                                                  : &It->second;
}

void ServiceScheduler::mergeHolderNotices(HostId Holder,
                                          const std::vector<TargetNotice> &Said,
                                          Time Now) {
  if (Said.empty()) {
    return;
  }
  TargetNotices &N = this->NoticesOfHolders[Holder];
  N.configure(this->Features.DrainTimeout, Holder.Value);
  N.merge(Said, Now);
  this->Advice.merge(Said, Now);
}

void ServiceScheduler::preferUnnoticed(Time Now) {
  if (this->Advice.empty() && this->Notices.empty()) {
    return;
  }
  auto Advised = [&](const Choice &C) {
    uint32_t Key = C.Selected->Incarnation;
    return this->Advice.isLeaving(Key) || this->Advice.isPaused(Key, Now) ||
           this->Notices.isPaused(Key, Now);
  };
  size_t Count = static_cast<size_t>(
      std::count_if(this->Choices.begin(), this->Choices.end(), Advised));
  if (static_cast<double>(Count) <=
      MaxAdvisedShare * static_cast<double>(this->Choices.size())) {
    this->Choices.erase(
        std::remove_if(this->Choices.begin(), this->Choices.end(), Advised),
        this->Choices.end());
  }
}

void ServiceScheduler::forgetHolder(HostId Holder) {
  this->NoticesOfHolders.erase(Holder);
}

std::vector<TargetNotice> ServiceScheduler::takeNotices(Time Now) {
  std::vector<TargetNotice> Due;
  if (this->Notices.empty()) {
    return Due;
  }
  for (const auto &Item : this->Targets) {
    std::optional<TargetNotice> N =
        Due.size() < MaxNoticesPerReport
            ? this->Notices.takeReport(Item.second.Incarnation, Now)
            : std::nullopt;
    if (N) {
      Due.push_back(*N);
    }
  }
  return Due;
}

void ServiceScheduler::countNotices(Time Now, uint32_t &SaidLeaving,
                                    uint32_t &Paused) const {
  for (const auto &Item : this->Targets) {
    uint32_t Key = Item.second.Incarnation;
    SaidLeaving += this->Notices.isLeaving(Key) ? 1 : 0;
    Paused += this->Notices.isPaused(Key, Now) ? 1 : 0;
  }
}

// A target's word on its departure holds for all requests that this host
// places; a pause holds for the host that the target answered.
bool ServiceScheduler::saidLeaving(const Target &T,
                                   const TargetNotices *OfHolder) const {
  return this->Notices.isLeaving(T.Incarnation) ||
         (OfHolder != nullptr && OfHolder->isLeaving(T.Incarnation));
}

ServiceScheduler::NoticeView
ServiceScheduler::noticeView(const PlacementRequest &Request) const {
  NoticeView View;
  View.OfHolder = this->holderNotices(Request);
  if (this->Notices.empty() && View.OfHolder == nullptr) {
    return View;
  }
  View.Any = true;
  View.OthersStay = std::any_of(
      this->Targets.begin(), this->Targets.end(), [&](const auto &Item) {
        return !Item.second.Entry.Leaving &&
               hasSoftware(Item.second.Entry, Request.Software) &&
               !this->saidLeaving(Item.second, View.OfHolder);
      });
  return View;
}

bool ServiceScheduler::mayPlace(const Target &T,
                                const PlacementRequest &Request,
                                const NoticeView &View, Time Now) const {
  if (!View.Any) {
    return true;
  }
  if (!Request.Holder.isValid()) {
    return this->Notices.mayPlace(T.Incarnation, Request.Arrived,
                                  View.OthersStay, Now);
  }
  return !(View.OthersStay && this->saidLeaving(T, View.OfHolder)) &&
         (View.OfHolder == nullptr ||
          View.OfHolder->mayPlace(T.Incarnation, Request.Arrived,
                                  View.OthersStay, Now));
}

bool ServiceScheduler::mayUseGrant(uint32_t Target,
                                   const PlacementRequest &Request,
                                   Time Now) const {
  auto It = this->ByHash.find(Target);
  return It == this->ByHash.end() ||
         this->mayPlace(*It->second, Request, this->noticeView(Request), Now);
}

ServiceOpening ServiceScheduler::opening(const PlacementRequest &Request,
                                         Time Now) const {
  NoticeView View = this->noticeView(Request);
  ServiceOpening Open;
  bool AllLeave = true;
  for (const auto &Item : this->Targets) {
    const Target &T = Item.second;
    if (T.Entry.Leaving || !hasSoftware(T.Entry, Request.Software)) {
      continue;
    }
    AllLeave = false;
    if (std::find(Request.Tried.begin(), Request.Tried.end(), Item.first) !=
        Request.Tried.end()) {
      continue;
    }
    if (this->mayPlace(T, Request, View, Now)) {
      return ServiceOpening();
    }
    Open.Blocked = true;
    if (!this->saidLeaving(T, View.OfHolder)) {
      const TargetNotices &Said =
          Request.Holder.isValid() && View.OfHolder != nullptr ? *View.OfHolder
                                                               : this->Notices;
      Duration Left = std::max(Duration(0), Said.pauseEnd(T.Incarnation) - Now);
      Open.Until = std::min(Open.Until.value_or(Left), Left);
    }
  }
  Open.Blocked = Open.Blocked || (AllLeave && !Request.Software.isValid());
  return Open;
}

bool ServiceScheduler::mayTryAgain(const PlacementRequest &Request,
                                   Time Now) const {
  NoticeView View = this->noticeView(Request);
  if (!View.Any) {
    return true;
  }
  Time Latest = std::max(Now, Request.FirstAttempt + Request.Objective);
  return std::any_of(
      this->Targets.begin(), this->Targets.end(), [&](const auto &Item) {
        const Target &T = Item.second;
        return !T.Entry.Leaving && hasSoftware(T.Entry, Request.Software) &&
               std::find(Request.Tried.begin(), Request.Tried.end(),
                         Item.first) == Request.Tried.end() &&
               this->mayPlace(T, Request, View, Latest);
      });
}

Duration ServiceScheduler::retryAtOpening(const PlacementRequest &Request,
                                          const ServiceOpening &Open) {
  double Ms = toSeconds(Open.Until.value_or(AllLeavingRetry)) * 1000;
  double Draw =
      static_cast<double>(hashPair(Request.Id.Value, 2) % 1000) / 1000;
  double Spread = std::max(Ms * OpeningSpreadShare, MinOpeningSpreadMs) * Draw;
  return Duration(static_cast<int64_t>((Ms + Spread) * 1000));
}

} // namespace shallotlatch
