// Checks of what targets said of themselves: that they leave or pause.
#include "soak_judge.h"

#include <algorithm>

namespace shallotlatch::soak {

// A notice counts if its request was answered: then its host has read the head
// of the target's answer, unless a fault of the target's link lost it.
void SoakJudge::checkNotices(std::vector<Violation> &Out) const {
  struct Reached {
    std::string Id;
    Time SentAt;
    Time At;
  };
  std::map<HostTarget, std::vector<Reached>> Arrivals;
  for (const auto &Item : this->Requests) {
    const SentRequest &R = Item.second.Request;
    for (const Arrival &A : Item.second.Arrivals) {
      Arrivals[{R.Host, R.ProcessNumber, A.Instance}].push_back(
          {R.Id, R.At, A.At});
    }
  }
  for (const Notice &N : this->Notices) {
    auto It = this->Requests.find(N.Id);
    auto Faults = this->TargetFaultTimes.find(N.Instance);
    bool Lost =
        Faults != this->TargetFaultTimes.end() &&
        this->anyWithin(Faults->second, N.At - this->Limits.StablePeriod,
                        N.At + this->Limits.StablePeriod);
    if (It == this->Requests.end() || It->second.Answer.Status == 0 || Lost) {
      continue;
    }
    const SentRequest &R = It->second.Request;
    uint32_t InPause = 0;
    for (const Reached &A : Arrivals[{R.Host, R.ProcessNumber, N.Instance}]) {
      if (!N.PausedUntil) {
        if (A.SentAt >
            N.At + this->Limits.NoticePassedOn + this->Limits.Drain) {
          Out.push_back({"leaving", "request " + A.Id + " reached " +
                                        N.Instance +
                                        " after the drain time of its notice"});
          return;
        }
      } else if (A.At > N.At + this->Limits.PauseGrace &&
                 A.At < *N.PausedUntil) {
        ++InPause;
      }
    }
    if (InPause > this->Limits.RequestsInPause) {
      Out.push_back({"pause", std::to_string(InPause) + " requests reached " +
                                  N.Instance + " in a pause that it named"});
      return;
    }
  }
}

} // namespace shallotlatch::soak
