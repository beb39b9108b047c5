/// \file
/// Decides which stated promises the gateways broke during a soak, from what
/// callers and targets observed on their sockets. The judge performs no I/O and
/// reads no clock.
#pragma once

#include "routing_p.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace shallotlatch::soak {

/// Bounds of the stated promises that the judge checks.
struct PromiseBounds {
  /// Time from the removal of a key until no host accepts it, also under
  /// faults.
  Duration Revocation = seconds(5);
  /// Time until a stable host applies a new configuration version.
  Duration ConfigApply = millis(2500);
  /// Time after the first arrival of a request of a newer version during which
  /// the same process may still handle requests by an older version.
  Duration DowngradeTolerance = millis(250);
  /// Time until a stable host sends nothing more to a draining target.
  Duration Drain = millis(2500);
  /// Time within which a host has read and passed on the head of an answer.
  Duration NoticePassedOn = seconds(1);
  /// Time after a target named a pause from which on it is counted what reaches
  /// it, and how many requests of one host may.
  Duration PauseGrace = millis(500);
  uint32_t RequestsInPause = 2;
  /// Time without faults after which a host, a target or the store is stable.
  Duration StablePeriod = seconds(4);
  /// Length of the sliding window in which a customer's requests are counted.
  Duration QuotaWindow = seconds(8);
  double QuotaOverage = 0.1; ///< Share of the quota allowed on top of it.
  double QuotaTolerance = 0; ///< Requests allowed on top of the overage.
  /// Length of the sliding window in which a service's retries are counted.
  Duration BudgetWindow = seconds(10);
  double BudgetRatio = 0.2; ///< Retries allowed per request.
  double BudgetExtra = 10;  ///< Retries allowed on top of the ratio.
};

/// A request as its caller sent it.
struct SentRequest {
  std::string Id;
  uint32_t Host = 0;
  uint32_t ProcessNumber = 0; ///< Number of starts of the host so far.
  Time At;                    ///< Time at which the caller sent the request.
  RouteKind Kind = RouteKind::Idempotent;
  bool Repeatable = true; ///< Whether the request may run more than once.
  ServiceId Service;
  std::string Customer;
  std::string Key;
  /// Configuration version that alone contains the request's route. Zero if the
  /// route exists in every version.
  uint64_t RouteVersion = 0;
  /// Id of the request that brought the first event of the stream that this one
  /// goes on with; empty if it goes on with none.
  std::string Resumes;
  uint32_t FirstEvent = 1; ///< Number of the first event that is asked for.
};

/// The answer to a request as its caller received it.
struct ReceivedAnswer {
  int Status = 0;       ///< HTTP status, or zero if no answer was received.
  bool Stamped = false; ///< Whether a target's server stamp is present.
  std::string Instance; ///< Target that the stamp names.
  bool Complete = false;
  std::string Body; ///< Body, or for a stream the joined data of its events.
  bool ClosedByHost = false;
};

/// An arrival of a request at a target.
struct Arrival {
  std::string Id;
  std::string Instance;
  ServiceId Service;
  std::string Customer;
  bool CarriesKey = false;
  bool Ran = false;
  uint32_t FirstEvent = 1; ///< Number of the first event that it sends.
  Time At;                 ///< Time at which the target received the request.
};

/// A promise that was broken.
struct Violation {
  const char *Promise = ""; ///< Short name of the promise.
  std::string Details;
};

/// Returns the body with which a target answers request \p Id. The body of a
/// stream starts with event \p FirstEvent.
std::string answerBody(const std::string &Id, RouteKind Kind,
                       uint32_t FirstEvent = 1);
/// Number of events of a stream. The last event is marked as the last.
constexpr uint32_t StreamEventCount = 6;

/// Collects the observations of a soak and checks them against the promises.
class SoakJudge {
public:
  explicit SoakJudge(const PromiseBounds &Limits) : Limits(Limits) {}

  void recordRequest(const SentRequest &Request);
  void recordAnswer(const std::string &Id, const ReceivedAnswer &Answer);
  void recordArrival(const Arrival &A);
  /// Records that a fault of the host begins, lasts or ends at \p At. A
  /// \p Planned stop is a fault too, but the host must not cut requests in it.
  void recordHostFault(uint32_t Host, Time At, bool Planned);
  void recordTargetFault(const std::string &Instance, Time At);
  void recordStoreFault(Time At);
  /// \p Acknowledged is the time at which the store accepted the change.
  void recordKeyRemoval(const std::string &Key, Time Acknowledged);
  void recordConfigVersion(uint64_t Version, Time Acknowledged);
  void recordTargetDrain(const std::string &Instance, Time Acknowledged);
  /// Records that the target's answer to request \p Id said that it leaves.
  void recordLeavingNotice(const std::string &Id, const std::string &Instance,
                           Time At);
  /// Records that the target's answer to request \p Id named a pause.
  void recordPauseNotice(const std::string &Id, const std::string &Instance,
                         Time At, Time Until);
  /// Records the version of a target's software.
  void recordSoftware(const std::string &Instance, const std::string &Software);
  void setQuota(const std::string &Customer, double Rate, double Burst);

  /// Returns the broken promises. The violations that concern single requests
  /// are in the order of request ids.
  std::vector<Violation> violations() const;
  size_t requestCount() const { return this->Requests.size(); }
  /// Returns the number of requests that got a complete answer of status 200.
  size_t completedCount() const;
  /// Returns the number of requests that go on with a stream, and of those that
  /// brought events.
  std::pair<size_t, size_t> resumedCounts() const;

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

  /// What a target said of itself in one answer.
  struct Notice {
    std::string Id;
    std::string Instance;
    Time At;
    std::optional<Time> PausedUntil; ///< Nothing: the target leaves.
  };
  /// A target as one process of a host knows it: host, process, instance.
  using HostTarget = std::tuple<uint32_t, uint32_t, std::string>;

  /// Checks what reached targets after they said that they leave or pause.
  void checkNotices(std::vector<Violation> &Out) const;
  /// Returns whether one of \p Times lies in [\p From, \p To].
  bool anyWithin(const std::vector<Time> &Times, Time From, Time To) const;
  /// Returns whether neither the host nor the store had a fault in the
  /// StablePeriod before \p At.
  bool isHostStable(uint32_t Host, Time At) const;
  void checkRuns(const RequestRecord &R, std::vector<Violation> &Out) const;
  void checkAnswer(const RequestRecord &R, std::vector<Violation> &Out) const;
  /// Checks that removed keys, draining targets and configuration versions take
  /// effect in time.
  void checkPropagation(const RequestRecord &R,
                        std::vector<Violation> &Out) const;
  void checkGracefulStop(const RequestRecord &R,
                         std::vector<Violation> &Out) const;
  void checkVersionOrder(std::vector<Violation> &Out) const;
  /// Checks that events of no stream come from targets of several versions, in
  /// one answer or over the requests of its caller.
  void checkStreams(std::vector<Violation> &Out) const;
  void checkQuotas(std::vector<Violation> &Out) const;
  void checkRetryBudget(std::vector<Violation> &Out) const;

  PromiseBounds Limits;
  std::map<std::string, RequestRecord> Requests;
  std::vector<Arrival> UnknownArrivals; ///< Arrivals of ids that nobody sent.
  std::map<uint32_t, std::vector<Time>> HostFaultTimes; ///< Includes stops.
  std::map<uint32_t, std::vector<Time>> HostStopTimes;  ///< Planned stops.
  std::map<std::string, std::vector<Time>> TargetFaultTimes;
  std::vector<Time> StoreFaultTimes;
  std::map<std::string, Time> RemovedKeys; ///< Times of the removals.
  std::map<uint64_t, Time> Versions;       ///< Times of the acknowledgements.
  std::map<std::string, Time> DrainTimes;
  std::map<std::string, std::string> SoftwareOf; ///< By instance.
  std::vector<Notice> Notices;
  std::map<std::string, Quota> Quotas;
};

} // namespace shallotlatch::soak
