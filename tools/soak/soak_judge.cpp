#include "soak_judge.h"

#include <algorithm>

namespace shallotlatch::soak {

std::string answerBody(const std::string &Id, RouteKind Kind, uint32_t First) {
  if (Kind != RouteKind::Stream) {
    return "answer to " + Id;
  }
  std::string Body;
  for (uint32_t I = First; I <= StreamEventCount; ++I) {
    Body += Id + "." + std::to_string(I);
    Body += I == StreamEventCount ? ".last;" : ";";
  }
  return Body;
}

void SoakJudge::recordRequest(const SentRequest &Request) {
  this->Requests[Request.Id].Asked = Request;
}

void SoakJudge::recordAnswer(const std::string &Id,
                             const ReceivedAnswer &Answer) {
  RequestRecord &R = this->Requests[Id];
  R.Answer = Answer;
  R.Answered = true;
}

void SoakJudge::recordArrival(const Arrival &A) {
  auto It = this->Requests.find(A.Id);
  if (It == this->Requests.end()) {
    this->UnknownArrivals.push_back(A);
  } else {
    It->second.Arrivals.push_back(A);
  }
}

void SoakJudge::recordHostFault(uint32_t Host, Time At, bool Planned) {
  this->HostFaultTimes[Host].push_back(At);
  if (Planned) {
    this->HostStopTimes[Host].push_back(At);
  }
}

void SoakJudge::recordTargetFault(const std::string &Instance, Time At) {
  this->TargetFaultTimes[Instance].push_back(At);
}

void SoakJudge::recordStoreFault(Time At) {
  this->StoreFaultTimes.push_back(At);
}

void SoakJudge::recordKeyRemoval(const std::string &Key, Time Acknowledged) {
  this->RemovedKeys[Key] = Acknowledged;
}

void SoakJudge::recordConfigVersion(uint64_t Version, Time Acknowledged) {
  this->Versions[Version] = Acknowledged;
}

void SoakJudge::recordTargetDrain(const std::string &Instance,
                                  Time Acknowledged) {
  this->DrainTimes[Instance] = Acknowledged;
}

void SoakJudge::quota(const std::string &Customer, double Rate, double Burst) {
  this->Quotas[Customer] = {Rate, Burst};
}

size_t SoakJudge::completedCount() const {
  return static_cast<size_t>(std::count_if(
      this->Requests.begin(), this->Requests.end(), [](const auto &Item) {
        return Item.second.Answer.Status == 200 && Item.second.Answer.Complete;
      }));
}

bool SoakJudge::anyWithin(const std::vector<Time> &Times, Time From,
                          Time To) const {
  return std::any_of(Times.begin(), Times.end(),
                     [&](Time At) { return At >= From && At <= To; });
}

bool SoakJudge::isHostStable(uint32_t Host, Time At) const {
  auto It = this->HostFaultTimes.find(Host);
  Time From = At - this->Limits.InTouch;
  return !this->anyWithin(this->StoreFaultTimes, From, At) &&
         (It == this->HostFaultTimes.end() ||
          !this->anyWithin(It->second, From, At));
}

static std::string about(const SentRequest &Request) {
  return Request.Id + " at host " + std::to_string(Request.Host) +
         ", sent at " + std::to_string(toMillis(Request.At.time_since_epoch()));
}

void SoakJudge::checkRuns(const RequestRecord &R,
                          std::vector<Violation> &Out) const {
  const SentRequest &Asked = R.Asked;
  size_t Runs = 0;
  for (const Arrival &A : R.Arrivals) {
    Runs += A.Ran ? 1 : 0;
    if (A.CarriesKey || A.Customer != Asked.Customer) {
      Out.push_back({"unasked", about(Asked) + " reached " + A.Instance +
                                    " for customer " + A.Customer});
    }
    if (A.Ran && A.Service != Asked.Service) {
      Out.push_back({"route", about(Asked) + " ran at " + A.Instance});
    }
  }
  if (Runs > 1 && !Asked.Repeatable) {
    Out.push_back(
        {"twice", about(Asked) + " ran " + std::to_string(Runs) + " times"});
  }
}

void SoakJudge::checkAnswer(const RequestRecord &R,
                            std::vector<Violation> &Out) const {
  const ReceivedAnswer &Answer = R.Answer;
  bool Ran = std::any_of(R.Arrivals.begin(), R.Arrivals.end(),
                         [](const Arrival &A) { return A.Ran; });
  bool Promise = Answer.Status == 408 || Answer.Status == 421 ||
                 Answer.Status == 429 || Answer.Status == 503;
  if (Promise && !Answer.Stamped && Ran) {
    Out.push_back({"refused", about(R.Asked) + " ran, but got " +
                                  std::to_string(Answer.Status)});
  }
  if (Answer.Status != 200) {
    return;
  }
  std::string Expected = answerBody(R.Asked.Id, R.Asked.Kind);
  bool Begins = Expected.compare(0, Answer.Body.size(), Answer.Body) == 0;
  bool Wrong = Answer.Complete ? Answer.Body != Expected : !Begins;
  if (Wrong || (Answer.Complete && (!Answer.Stamped || !Ran))) {
    Out.push_back({"mixed", about(R.Asked) + " got \"" + Answer.Body + "\""});
  }
}

void SoakJudge::checkPropagation(const RequestRecord &R,
                                 std::vector<Violation> &Out) const {
  const SentRequest &Asked = R.Asked;
  bool InTouch = this->isHostStable(Asked.Host, Asked.At);
  auto Key = this->RemovedKeys.find(Asked.Key);
  for (const Arrival &A : R.Arrivals) {
    if (A.Ran && Key != this->RemovedKeys.end() &&
        Asked.At > Key->second + this->Limits.Revocation) {
      Out.push_back({"revocation", about(Asked) + " ran with a removed key"});
    }
    auto Left = this->DrainTimes.find(A.Instance);
    auto Harmed = this->TargetFaultTimes.find(A.Instance);
    bool HeldUp =
        Harmed != this->TargetFaultTimes.end() &&
        this->anyWithin(Harmed->second, A.At - this->Limits.InTouch, A.At);
    if (!HeldUp && Left != this->DrainTimes.end() && A.Ran && InTouch &&
        this->isHostStable(Asked.Host, A.At) &&
        !this->anyWithin(this->StoreFaultTimes,
                         Left->second - this->Limits.InTouch, A.At) &&
        A.At > Left->second + this->Limits.Drain) {
      Out.push_back({"drain", about(Asked) + " reached " + A.Instance});
    }
  }
  if (Asked.RouteVersion == 0 || !InTouch) {
    return;
  }
  auto Own = this->Versions.find(Asked.RouteVersion);
  auto Next = this->Versions.upper_bound(Asked.RouteVersion);
  bool Ran = std::any_of(R.Arrivals.begin(), R.Arrivals.end(),
                         [](const Arrival &A) { return A.Ran; });
  bool Over = Next != this->Versions.end() &&
              Asked.At > Next->second + this->Limits.ConfigApply;
  bool Begun = Own != this->Versions.end() &&
               Asked.At > Own->second + this->Limits.ConfigApply &&
               (Next == this->Versions.end() || Asked.At < Next->second);
  if ((Over && Ran) || (Begun && R.Answer.Status == 404)) {
    Out.push_back({"config", about(Asked) + " for version " +
                                 std::to_string(Asked.RouteVersion) + " got " +
                                 std::to_string(R.Answer.Status)});
  }
}

// A graceful stop cuts nothing that it passed on.
void SoakJudge::checkGracefulStop(const RequestRecord &R,
                                  std::vector<Violation> &Out) const {
  auto Stops = this->HostStopTimes.find(R.Asked.Host);
  if (Stops == this->HostStopTimes.end() || R.Answer.Complete ||
      !R.Answer.ClosedByHost || R.Arrivals.empty()) {
    return;
  }
  Time From = R.Asked.At - this->Limits.InTouch;
  Time To = R.Asked.At + this->Limits.InTouch;
  const std::vector<Time> &All = this->HostFaultTimes.at(R.Asked.Host);
  bool Unplanned = std::any_of(All.begin(), All.end(), [&](Time At) {
    return At >= From && At <= To &&
           std::find(Stops->second.begin(), Stops->second.end(), At) ==
               Stops->second.end();
  });
  for (const Arrival &A : R.Arrivals) {
    auto Bad = this->TargetFaultTimes.find(A.Instance);
    Unplanned = Unplanned || (Bad != this->TargetFaultTimes.end() &&
                              this->anyWithin(Bad->second, From, To));
  }
  if (!Unplanned && this->anyWithin(Stops->second, From, To)) {
    Out.push_back({"stop", about(R.Asked) + " was cut"});
  }
}

// Within one process, what was handled by a version is never handled by an
// older one afterwards.
void SoakJudge::checkVersionOrder(std::vector<Violation> &Out) const {
  std::map<std::pair<uint32_t, uint32_t>, std::vector<const RequestRecord *>>
      Runs;
  for (const auto &Item : this->Requests) {
    const RequestRecord &R = Item.second;
    if (R.Asked.RouteVersion != 0 && !R.Arrivals.empty()) {
      Runs[{R.Asked.Host, R.Asked.ProcessNumber}].push_back(&R);
    }
  }
  for (const auto &Item : Runs) {
    for (const RequestRecord *Newer : Item.second) {
      for (const RequestRecord *Older : Item.second) {
        if (Older->Asked.RouteVersion < Newer->Asked.RouteVersion &&
            Older->Asked.At >
                Newer->Arrivals[0].At + this->Limits.DowngradeTolerance) {
          Out.push_back({"config-back", about(Older->Asked) + " after " +
                                            about(Newer->Asked)});
        }
      }
    }
  }
}

void SoakJudge::checkQuotas(std::vector<Violation> &Out) const {
  for (const auto &Quota : this->Quotas) {
    std::vector<Time> Runs;
    for (const auto &Item : this->Requests) {
      for (const Arrival &A : Item.second.Arrivals) {
        if (A.Ran && Item.second.Asked.Customer == Quota.first) {
          Runs.push_back(A.At);
        }
      }
    }
    std::sort(Runs.begin(), Runs.end());
    double Most = (Quota.second.Rate * toSeconds(this->Limits.QuotaWindow) +
                   Quota.second.Burst) *
                      (1 + this->Limits.QuotaOverage) +
                  this->Limits.QuotaTolerance;
    size_t First = 0;
    for (size_t Last = 0; Last < Runs.size(); ++Last) {
      while (Runs[Last] - Runs[First] > this->Limits.QuotaWindow) {
        ++First;
      }
      if (static_cast<double>(Last - First + 1) > Most) {
        Out.push_back({"quota", Quota.first + " ran " +
                                    std::to_string(Last - First + 1) +
                                    " requests in a window"});
        break;
      }
    }
  }
}

static double countIn(const std::vector<Time> &Times, Time From, Time To) {
  return static_cast<double>(
      std::upper_bound(Times.begin(), Times.end(), To) -
      std::upper_bound(Times.begin(), Times.end(), From));
}

void SoakJudge::checkRetryBudget(std::vector<Violation> &Out) const {
  std::map<ServiceId, std::vector<Time>> Asked;
  std::map<ServiceId, std::vector<Time>> Repeats;
  for (const auto &Item : this->Requests) {
    const RequestRecord &R = Item.second;
    Asked[R.Asked.Service].push_back(R.Asked.At);
    for (size_t I = 1; I < R.Arrivals.size(); ++I) {
      Repeats[R.Asked.Service].push_back(R.Arrivals[I].At);
    }
  }
  Duration W = this->Limits.BudgetWindow;
  for (auto &Item : Repeats) {
    std::vector<Time> &Times = Item.second;
    std::vector<Time> &All = Asked[Item.first];
    std::sort(Times.begin(), Times.end());
    std::sort(All.begin(), All.end());
    for (Time At : Times) {
      double Base =
          std::max({countIn(All, At - W, At), countIn(All, At - 2 * W, At - W),
                    countIn(All, At - 3 * W / 2, At - W / 2)});
      double Most = this->Limits.BudgetRatio * Base + this->Limits.BudgetExtra;
      if (countIn(Times, At - W, At) > Most) {
        Out.push_back({"budget", std::to_string(countIn(Times, At - W, At)) +
                                     " repeats in a window"});
        break;
      }
    }
  }
}

std::vector<Violation> SoakJudge::violations() const {
  std::vector<Violation> Out;
  for (const Arrival &A : this->UnknownArrivals) {
    if (A.Ran) {
      Out.push_back({"unasked", "\"" + A.Id + "\" ran at " + A.Instance});
    }
  }
  for (const auto &Item : this->Requests) {
    this->checkRuns(Item.second, Out);
    this->checkAnswer(Item.second, Out);
    this->checkPropagation(Item.second, Out);
    this->checkGracefulStop(Item.second, Out);
  }
  this->checkVersionOrder(Out);
  this->checkQuotas(Out);
  this->checkRetryBudget(Out);
  return Out;
}

} // namespace shallotlatch::soak
