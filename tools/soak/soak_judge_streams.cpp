// Checks of streams that several requests or several targets bring.
#include "soak_judge.h"

#include <set>

namespace shallotlatch::soak {

void SoakJudge::recordSoftware(const std::string &Instance,
                               const std::string &Software) {
  this->SoftwareOf[Instance] = Software;
}

std::pair<size_t, size_t> SoakJudge::resumedCounts() const {
  std::pair<size_t, size_t> Counts{0, 0};
  for (const auto &Item : this->Requests) {
    const RequestRecord &R = Item.second;
    if (!R.Request.Resumes.empty()) {
      ++Counts.first;
      Counts.second += R.Answer.Status == 200 && !R.Answer.Body.empty() ? 1 : 0;
    }
  }
  return Counts;
}

void SoakJudge::checkStreams(std::vector<Violation> &Out) const {
  // Instances that brought events, by the request that brought the first.
  std::map<std::string, std::set<std::string>> Instances;
  for (const auto &Item : this->Requests) {
    const RequestRecord &R = Item.second;
    if (R.Request.Kind != RouteKind::Stream || R.Answer.Status != 200 ||
        R.Answer.Body.empty()) {
      continue;
    }
    std::set<std::string> &Of =
        Instances[R.Request.Resumes.empty() ? R.Request.Id : R.Request.Resumes];
    Of.insert(R.Answer.Instance);
    for (const Arrival &A : R.Arrivals) {
      std::string First = R.Request.Id + "." + std::to_string(A.FirstEvent);
      if (A.Ran && A.FirstEvent > R.Request.FirstEvent &&
          R.Answer.Body.find(First) != std::string::npos) {
        Of.insert(A.Instance);
      }
    }
  }
  for (const auto &Item : Instances) {
    std::set<std::string> Versions;
    std::string Names;
    for (const std::string &Instance : Item.second) {
      auto Software = this->SoftwareOf.find(Instance);
      if (Software != this->SoftwareOf.end()) {
        Versions.insert(Software->second);
        Names += " " + Instance + " of " + Software->second;
      }
    }
    if (Versions.size() > 1) {
      Out.push_back({"order", "stream " + Item.first +
                                  " has events of several versions, from" +
                                  Names});
    }
  }
}

} // namespace shallotlatch::soak
