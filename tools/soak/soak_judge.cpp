#include "soak_judge.h"

#include <algorithm>

namespace shallotlatch::soak {

std::string answerBody(const std::string &Id, RouteKind Kind,
                       uint32_t FirstEvent) {
  if (Kind != RouteKind::Stream) {
    return "answer to " + Id;
  }
  std::string Body;
  for (uint32_t I = FirstEvent; I <= StreamEventCount; ++I) {
    Body += Id + "." + std::to_string(I);
    Body += I == StreamEventCount ? ".last;" : ";";
  }
  return Body;
}

void SoakJudge::recordRequest(const SentRequest &Request) {
  this->Requests[Request.Id].Request = Request;
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

void SoakJudge::recordLeavingNotice(const std::string &Id,
                                    const std::string &Instance, Time At) {
  this->Notices.push_back({Id, Instance, At, std::nullopt});
}

void SoakJudge::recordPauseNotice(const std::string &Id,
                                  const std::string &Instance, Time At,
                                  Time Until) {
  this->Notices.push_back({Id, Instance, At, Until});
}

void SoakJudge::setQuota(const std::string &Customer, double Rate,
                         double Burst) {
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
  Time From = At - this->Limits.StablePeriod;
  return !this->anyWithin(this->StoreFaultTimes, From, At) &&
         (It == this->HostFaultTimes.end() ||
          !this->anyWithin(It->second, From, At));
}

static std::string describe(const SentRequest &Request) {
  return "request " + Request.Id + " at host " + std::to_string(Request.Host) +
         ", sent at " +
         std::to_string(toMillis(Request.At.time_since_epoch())) + " ms";
}

void SoakJudge::checkRuns(const RequestRecord &R,
                          std::vector<Violation> &Out) const {
  const SentRequest &Request = R.Request;
  size_t Runs = 0;
  for (const Arrival &A : R.Arrivals) {
    Runs += A.Ran ? 1 : 0;
    if (A.CarriesKey || A.Customer != Request.Customer) {
      Out.push_back({"unasked", describe(Request) + " reached " + A.Instance +
                                    " for customer " + A.Customer +
                                    ", expected customer " + Request.Customer +
                                    " and no key"});
    }
    if (A.Ran && A.Service != Request.Service) {
      Out.push_back({"route", describe(Request) + " ran at target " +
                                  A.Instance + " of another service"});
    }
  }
  if (Runs > 1 && !Request.Repeatable) {
    Out.push_back({"twice", describe(Request) + " ran " + std::to_string(Runs) +
                                " times, expected at most one run"});
  }
}

void SoakJudge::checkAnswer(const RequestRecord &R,
                            std::vector<Violation> &Out) const {
  const ReceivedAnswer &Answer = R.Answer;
  bool Ran = std::any_of(R.Arrivals.begin(), R.Arrivals.end(),
                         [](const Arrival &A) { return A.Ran; });
  bool PromisesNotRun = Answer.Status == 408 || Answer.Status == 421 ||
                        Answer.Status == 429 || Answer.Status == 503;
  if (PromisesNotRun && !Answer.Stamped && Ran) {
    Out.push_back({"refused", describe(R.Request) + " ran, but got status " +
                                  std::to_string(Answer.Status)});
  }
  if (Answer.Status != 200) {
    return;
  }
  std::string Expected =
      answerBody(R.Request.Id, R.Request.Kind, R.Request.FirstEvent);
  bool IsPrefix = Expected.compare(0, Answer.Body.size(), Answer.Body) == 0;
  bool Wrong = Answer.Complete ? Answer.Body != Expected : !IsPrefix;
  if (Wrong || (Answer.Complete && (!Answer.Stamped || !Ran))) {
    Out.push_back({"mixed", describe(R.Request) + " got the body \"" +
                                Answer.Body + "\", expected \"" + Expected +
                                "\" with the stamp of a target that ran it"});
  }
}

void SoakJudge::checkPropagation(const RequestRecord &R,
                                 std::vector<Violation> &Out) const {
  const SentRequest &Request = R.Request;
  bool HostStable = this->isHostStable(Request.Host, Request.At);
  auto Key = this->RemovedKeys.find(Request.Key);
  for (const Arrival &A : R.Arrivals) {
    if (A.Ran && Key != this->RemovedKeys.end() &&
        Request.At > Key->second + this->Limits.Revocation) {
      Out.push_back({"revocation",
                     describe(Request) +
                         " ran with a removed key after the revocation bound"});
    }
    auto DrainStart = this->DrainTimes.find(A.Instance);
    auto TargetFaults = this->TargetFaultTimes.find(A.Instance);
    bool TargetFaulty = TargetFaults != this->TargetFaultTimes.end() &&
                        this->anyWithin(TargetFaults->second,
                                        A.At - this->Limits.StablePeriod, A.At);
    if (!TargetFaulty && DrainStart != this->DrainTimes.end() && A.Ran &&
        HostStable && this->isHostStable(Request.Host, A.At) &&
        !this->anyWithin(this->StoreFaultTimes,
                         DrainStart->second - this->Limits.StablePeriod,
                         A.At) &&
        A.At > DrainStart->second + this->Limits.Drain) {
      Out.push_back({"drain", describe(Request) + " ran at draining target " +
                                  A.Instance});
    }
  }
  if (Request.RouteVersion == 0 || !HostStable) {
    return;
  }
  auto VersionTime = this->Versions.find(Request.RouteVersion);
  auto NextVersionTime = this->Versions.upper_bound(Request.RouteVersion);
  bool Ran = std::any_of(R.Arrivals.begin(), R.Arrivals.end(),
                         [](const Arrival &A) { return A.Ran; });
  bool Superseded =
      NextVersionTime != this->Versions.end() &&
      Request.At > NextVersionTime->second + this->Limits.ConfigApply;
  bool InForce = VersionTime != this->Versions.end() &&
                 Request.At > VersionTime->second + this->Limits.ConfigApply &&
                 (NextVersionTime == this->Versions.end() ||
                  Request.At < NextVersionTime->second);
  if ((Superseded && Ran) || (InForce && R.Answer.Status == 404)) {
    Out.push_back({"config", describe(Request) + " for configuration version " +
                                 std::to_string(Request.RouteVersion) +
                                 " got status " +
                                 std::to_string(R.Answer.Status)});
  }
}

// A host that stops gracefully lets each request that it sent to a target end.
void SoakJudge::checkGracefulStop(const RequestRecord &R,
                                  std::vector<Violation> &Out) const {
  auto Stops = this->HostStopTimes.find(R.Request.Host);
  if (Stops == this->HostStopTimes.end() || R.Answer.Complete ||
      !R.Answer.ClosedByHost || R.Arrivals.empty()) {
    return;
  }
  Time From = R.Request.At - this->Limits.StablePeriod;
  Time To = R.Request.At + this->Limits.StablePeriod;
  const std::vector<Time> &All = this->HostFaultTimes.at(R.Request.Host);
  bool OtherFault = std::any_of(All.begin(), All.end(), [&](Time At) {
    return At >= From && At <= To &&
           std::find(Stops->second.begin(), Stops->second.end(), At) ==
               Stops->second.end();
  });
  for (const Arrival &A : R.Arrivals) {
    auto TargetFaults = this->TargetFaultTimes.find(A.Instance);
    OtherFault =
        OtherFault || (TargetFaults != this->TargetFaultTimes.end() &&
                       this->anyWithin(TargetFaults->second, From, To));
  }
  if (!OtherFault && this->anyWithin(Stops->second, From, To)) {
    Out.push_back(
        {"stop", describe(R.Request) + " was cut by a graceful stop"});
  }
}

// Once a process handled a request by a configuration version, it must not
// handle later requests by an older version.
void SoakJudge::checkVersionOrder(std::vector<Violation> &Out) const {
  std::map<std::pair<uint32_t, uint32_t>, std::vector<const RequestRecord *>>
      Runs;
  for (const auto &Item : this->Requests) {
    const RequestRecord &R = Item.second;
    if (R.Request.RouteVersion != 0 && !R.Arrivals.empty()) {
      Runs[{R.Request.Host, R.Request.ProcessNumber}].push_back(&R);
    }
  }
  for (const auto &Item : Runs) {
    for (const RequestRecord *Newer : Item.second) {
      for (const RequestRecord *Older : Item.second) {
        if (Older->Request.RouteVersion < Newer->Request.RouteVersion &&
            Older->Request.At >
                Newer->Arrivals[0].At + this->Limits.DowngradeTolerance) {
          Out.push_back(
              {"config-back", describe(Older->Request) +
                                  " was handled by an older version after " +
                                  describe(Newer->Request)});
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
        if (A.Ran && Item.second.Request.Customer == Quota.first) {
          Runs.push_back(A.At);
        }
      }
    }
    std::sort(Runs.begin(), Runs.end());
    double Limit = (Quota.second.Rate * toSeconds(this->Limits.QuotaWindow) +
                    Quota.second.Burst) *
                       (1 + this->Limits.QuotaOverage) +
                   this->Limits.QuotaTolerance;
    size_t First = 0;
    for (size_t Last = 0; Last < Runs.size(); ++Last) {
      while (Runs[Last] - Runs[First] > this->Limits.QuotaWindow) {
        ++First;
      }
      if (static_cast<double>(Last - First + 1) > Limit) {
        Out.push_back({"quota", "customer " + Quota.first + " ran " +
                                    std::to_string(Last - First + 1) +
                                    " requests in a quota window, limit " +
                                    std::to_string(Limit)});
        break;
      }
    }
  }
}

static double countWithin(const std::vector<Time> &Times, Time From, Time To) {
  return static_cast<double>(
      std::upper_bound(Times.begin(), Times.end(), To) -
      std::upper_bound(Times.begin(), Times.end(), From));
}

void SoakJudge::checkRetryBudget(std::vector<Violation> &Out) const {
  std::map<ServiceId, std::vector<Time>> RequestTimes;
  std::map<ServiceId, std::vector<Time>> Repeats;
  for (const auto &Item : this->Requests) {
    const RequestRecord &R = Item.second;
    RequestTimes[R.Request.Service].push_back(R.Request.At);
    for (size_t I = 1; I < R.Arrivals.size(); ++I) {
      Repeats[R.Request.Service].push_back(R.Arrivals[I].At);
    }
  }
  Duration Window = this->Limits.BudgetWindow;
  for (auto &Item : Repeats) {
    std::vector<Time> &Times = Item.second;
    std::vector<Time> &All = RequestTimes[Item.first];
    std::sort(Times.begin(), Times.end());
    std::sort(All.begin(), All.end());
    for (Time At : Times) {
      double Base =
          std::max({countWithin(All, At - Window, At),
                    countWithin(All, At - 2 * Window, At - Window),
                    countWithin(All, At - 3 * Window / 2, At - Window / 2)});
      double Limit = this->Limits.BudgetRatio * Base + this->Limits.BudgetExtra;
      if (countWithin(Times, At - Window, At) > Limit) {
        Out.push_back(
            {"budget", std::to_string(countWithin(Times, At - Window, At)) +
                           " retries in a retry budget window, limit " +
                           std::to_string(Limit)});
        break;
      }
    }
  }
}

std::vector<Violation> SoakJudge::violations() const {
  std::vector<Violation> Out;
  for (const Arrival &A : this->UnknownArrivals) {
    if (A.Ran) {
      Out.push_back({"unasked", "request \"" + A.Id +
                                    "\", which nobody sent, ran at target " +
                                    A.Instance});
    }
  }
  for (const auto &Item : this->Requests) {
    this->checkRuns(Item.second, Out);
    this->checkAnswer(Item.second, Out);
    this->checkPropagation(Item.second, Out);
    this->checkGracefulStop(Item.second, Out);
  }
  this->checkVersionOrder(Out);
  this->checkStreams(Out);
  this->checkNotices(Out);
  this->checkQuotas(Out);
  this->checkRetryBudget(Out);
  return Out;
}

} // namespace shallotlatch::soak
