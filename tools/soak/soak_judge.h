/// \file
/// Judges a soak by what callers and targets saw on their sockets. Pure.
#pragma once

#include "routing_p.h"

#include <map>
#include <string>
#include <vector>

namespace shallotlatch::soak {

/// The figures of the stated promises.
struct Bounds {
  Duration Revocation = seconds(5);
  Duration ConfigApply = millis(2500);
  Duration Downgrade = millis(250);
  Duration Drain = millis(2500);
  Duration InTouch = seconds(4); ///< Without trouble for this long.
  Duration QuotaWindow = seconds(8);
  double QuotaOverage = 0.1;
  double QuotaTolerance = 0;
  Duration BudgetWindow = seconds(10);
  double BudgetRatio = 0.2;
  double BudgetExtra = 10;
};

/// One request as its caller sent it.
struct Sent {
  std::string Id;
  uint32_t Host = 0;
  uint32_t Process = 0; ///< Counts the host's processes.
  Time At;
  RouteKind Kind = RouteKind::Idempotent;
  bool Repeatable = true;
  ServiceId Service;
  std::string Customer;
  std::string Key;
  uint64_t OnlyVersion = 0; ///< Its route stands in this version only.
};

/// What its caller got.
struct Got {
  int Status = 0;       ///< Zero: the connection ended without an answer.
  bool Stamped = false; ///< With a target's proof of origin.
  bool Whole = false;
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
  std::string What;
};

/// Body that a target makes for \p Id, from event \p First on for streams.
std::string bodyOf(const std::string &Id, RouteKind Kind, uint32_t First = 1);
/// Events of a stream; the last says that it is the last.
constexpr uint32_t StreamEvents = 6;

class Judge {
public:
  explicit Judge(const Bounds &Limits) : Limits(Limits) {}

  void sent(const Sent &Request);
  void got(const std::string &Id, const Got &Answer);
  void arrived(const Arrival &A);
  /// Something goes wrong with the host, or ends to, at \p At. A host that was
  /// told to stop counts as troubled, but what it cuts is judged.
  void hostTrouble(uint32_t Host, Time At, bool Planned);
  void targetTrouble(const std::string &Instance, Time At);
  void storeTrouble(Time At);
  void keyRemoved(const std::string &Key, Time Acknowledged);
  void versionAcknowledged(uint64_t Version, Time Acknowledged);
  void targetLeaves(const std::string &Instance, Time Acknowledged);
  void quota(const std::string &Customer, double Rate, double Burst);

  /// All that was broken, each promise's instances in the order of requests.
  std::vector<Violation> verdict() const;
  size_t requests() const { return this->Requests.size(); }
  size_t completed() const;

private:
  struct Record {
    Sent Asked;
    Got Answer;
    bool Answered = false;
    std::vector<Arrival> Arrivals;
  };
  struct Quota {
    double Rate = 0;
    double Burst = 0;
  };

  bool troubled(const std::vector<Time> &Times, Time From, Time To) const;
  bool hostInTouch(uint32_t Host, Time At) const;
  void judgeRuns(const Record &R, std::vector<Violation> &Out) const;
  void judgeAnswer(const Record &R, std::vector<Violation> &Out) const;
  void judgeBelief(const Record &R, std::vector<Violation> &Out) const;
  void judgeStop(const Record &R, std::vector<Violation> &Out) const;
  void judgeVersions(std::vector<Violation> &Out) const;
  void judgeQuota(std::vector<Violation> &Out) const;
  void judgeBudget(std::vector<Violation> &Out) const;

  Bounds Limits;
  std::map<std::string, Record> Requests;
  std::vector<Arrival> Unknown;
  std::map<uint32_t, std::vector<Time>> HostTroubles;
  std::map<uint32_t, std::vector<Time>> HostStops;
  std::map<std::string, std::vector<Time>> TargetTroubles;
  std::vector<Time> StoreTroubles;
  std::map<std::string, Time> RemovedKeys;
  std::map<uint64_t, Time> Versions;
  std::map<std::string, Time> Leaving;
  std::map<std::string, Quota> Quotas;
};

} // namespace shallotlatch::soak
