/// \file
/// Judges a soak by what callers and targets saw on their sockets. Pure.
#pragma once

#include "routing_p.h"

#include <map>
#include <string>
#include <vector>

namespace shallotlatch::soak {

/// The figures of the stated promises.
struct PromiseBounds {
  Duration Revocation = seconds(5);
  Duration ConfigApply = millis(2500);
  Duration DowngradeTolerance = millis(250);
  Duration Drain = millis(2500);
  Duration StablePeriod = seconds(4); ///< Without trouble for this long.
  Duration QuotaWindow = seconds(8);
  double QuotaOverage = 0.1;
  double QuotaTolerance = 0;
  Duration BudgetWindow = seconds(10);
  double BudgetRatio = 0.2;
  double BudgetExtra = 10;
};

/// One request as its caller sent it.
struct SentRequest {
  std::string Id;
  uint32_t Host = 0;
  uint32_t ProcessNumber = 0; ///< Counts the host's processes.
  Time At;
  RouteKind Kind = RouteKind::Idempotent;
  bool Repeatable = true;
  ServiceId Service;
  std::string Customer;
  std::string Key;
  uint64_t RouteVersion = 0; ///< Its route stands in this version only.
};

/// What its caller got.
struct ReceivedAnswer {
  int Status = 0;       ///< Zero: the connection ended without an answer.
  bool Stamped = false; ///< With a target's proof of origin.
  bool Complete = false;
  std::string Body; ///< Streams: the events' data, joined.
  bool ClosedByHost = false;
};

/// One arrival of a request at a target.
struct Arrival {
  std::string Id;
  std::string Instance;
  ServiceId Service;
  std::string Customer;
  bool CarriesKey = false;
  bool Ran = false;
  uint32_t First = 1; ///< Number of the first event that it makes.
  Time At;
};

struct Violation {
  const char *Promise = "";
  std::string Details;
};

/// Body that a target makes for \p Id, from event \p First on for streams.
std::string answerBody(const std::string &Id, RouteKind Kind,
                       uint32_t First = 1);
/// Events of a stream; the last says that it is the last.
constexpr uint32_t StreamEventCount = 6;

class SoakJudge {
public:
  explicit SoakJudge(const PromiseBounds &Limits) : Limits(Limits) {}

  void recordRequest(const SentRequest &Request);
  void recordAnswer(const std::string &Id, const ReceivedAnswer &Answer);
  void recordArrival(const Arrival &A);
  /// Something goes wrong with the host, or ends to, at \p At. A host that was
  /// told to stop counts as troubled, but what it cuts is judged.
  void recordHostFault(uint32_t Host, Time At, bool Planned);
  void recordTargetFault(const std::string &Instance, Time At);
  void recordStoreFault(Time At);
  void recordKeyRemoval(const std::string &Key, Time Acknowledged);
  void recordConfigVersion(uint64_t Version, Time Acknowledged);
  void recordTargetDrain(const std::string &Instance, Time Acknowledged);
  void quota(const std::string &Customer, double Rate, double Burst);

  /// All that was broken, each promise's instances in the order of requests.
  std::vector<Violation> violations() const;
  size_t requestCount() const { return this->Requests.size(); }
  size_t completedCount() const;

private:
  struct RequestRecord {
    SentRequest Request;
    ReceivedAnswer Answer;
    bool Answered = false;
    std::vector<Arrival> Arrivals;
  };
  struct Quota {
    double Rate = 0;
    double Burst = 0;
  };

  bool anyWithin(const std::vector<Time> &Times, Time From, Time To) const;
  bool isHostStable(uint32_t Host, Time At) const;
  void checkRuns(const RequestRecord &R, std::vector<Violation> &Out) const;
  void checkAnswer(const RequestRecord &R, std::vector<Violation> &Out) const;
  void checkPropagation(const RequestRecord &R,
                        std::vector<Violation> &Out) const;
  void checkGracefulStop(const RequestRecord &R,
                         std::vector<Violation> &Out) const;
  void checkVersionOrder(std::vector<Violation> &Out) const;
  void checkQuotas(std::vector<Violation> &Out) const;
  void checkRetryBudget(std::vector<Violation> &Out) const;

  PromiseBounds Limits;
  std::map<std::string, RequestRecord> Requests;
  std::vector<Arrival> UnknownArrivals;
  std::map<uint32_t, std::vector<Time>> HostFaultTimes;
  std::map<uint32_t, std::vector<Time>> HostStopTimes;
  std::map<std::string, std::vector<Time>> TargetFaultTimes;
  std::vector<Time> StoreFaultTimes;
  std::map<std::string, Time> RemovedKeys;
  std::map<uint64_t, Time> Versions;
  std::map<std::string, Time> DrainTimes;
  std::map<std::string, Quota> Quotas;
};

} // namespace shallotlatch::soak
