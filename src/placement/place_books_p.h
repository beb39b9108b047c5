/// \file
/// One host of a failure domain, the owner, places the requests of an engine
/// service for all hosts of the domain. The other hosts, the holders, keep the
/// requests and report them to the owner. Both sides do no input or output:
/// they take messages and the time, and give messages and decisions.
///
/// Every message contains the sender's whole state, so it may be lost, repeated
/// or reordered. While the owner does not answer, its holders lose only the
/// exact knowledge of the other hosts' load: they place their own requests
/// until it answers again.
#pragma once

#include "place_pool_p.h"

#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace shallotlatch {

/// Number that one holder's process gives to a request that it reports.
using RequestSerial = Id<struct RequestSerialTag, uint32_t>;

/// A request that waits for a target. Times are sent as durations, since the
/// clocks of two hosts differ. Sent as `WaitingAsk`.
struct WaitingRequest {
  RequestSerial Serial;
  CustomerId Customer;        ///< Invalid if it is not known.
  uint32_t Rank = 0;          ///< Priority; 0 is the most urgent.
  bool RefusedBefore = false; ///< The caller was refused before.
  bool Repeatable = false;    ///< The request may run more than once.
  double PromptTokens = 0;
  double OutputTokens = 0;
  double OutputHint = 0; ///< Estimate of the output tokens; 0 if none.
  Duration Objective{0}; ///< Time objective from first attempt to first event.
  Duration Waited{0};    ///< Time that the request has waited at its holder.
  Duration SinceFirstAttempt{0}; ///< Time since the caller's first attempt.
  Duration TimeToDeadline{0};    ///< Time left until the caller stops waiting.
  /// Version of the software that the target must have; invalid if any.
  SoftwareId Software;
  /// Hashes of the instances that must not be used again.
  std::vector<uint32_t> Tried;
};

/// A request that has a target, granted by the owner or chosen by the holder
/// itself. Sent as `HeldRun`.
struct HeldRequest {
  RequestSerial Serial;
  uint32_t Target = 0; ///< Hash of the target's instance.
  double PromptTokens = 0;
  bool Started = false; ///< The first event has arrived.
};

/// A request that no longer uses its target. Sent as `EndedRun`.
struct FinishedRequest {
  RequestSerial Serial;
  AttemptResult Result = AttemptResult::Unknown;
  uint32_t Events = 0; ///< Events of a stream that ended well; 0 if not known.
};

/// All requests that one holder has of one service. Sent as `PlaceBook`.
struct PlacementReport {
  HostId Host;
  uint64_t Run = 0;      ///< Identifies the holder's process.
  uint32_t Sequence = 0; ///< Number of this report within that process.
  ServiceId Service;
  std::vector<WaitingRequest> Waiting;
  std::vector<HeldRequest> Held;
  /// Requests that ended after the report before the last one was sent.
  std::vector<FinishedRequest> Ended;
  /// What the holder observed since the report that last had any of it.
  std::vector<TargetPace> Paces;
  /// What targets told the holder, as far as the owner may not know it.
  std::vector<TargetNotice> Notices;
  /// What targets said of themselves since the last report.
  std::vector<TargetLoad> Loads;
};

/// The owner's choice of a target for one request.
struct PlacementGrant {
  RequestSerial Serial;
  uint32_t Target = 0;   ///< Hash of the target's instance.
  Duration Predicted{0}; ///< Predicted time to the first event.
  uint32_t Running = 0;  ///< Requests on the target before this one.
};

/// The owner's refusal of one request.
struct RefusedRequest {
  RequestSerial Serial;
  RefusalReason Why = RefusalReason::Overload;
  Duration RetryAfter{0}; ///< Time after which the caller may try again.
};

/// The owner's decisions about the requests of the newest report that it read
/// from one holder. Sent as `PlaceReply`.
struct PlacementReply {
  HostId Host;
  uint64_t Run = 0; ///< Identifies the owner's process.
  ServiceId Service;
  uint64_t HolderRun = 0; ///< Identifies the holder's process.
  uint32_t Sequence = 0;  ///< Sequence of the newest report read.
  std::vector<PlacementGrant> Grants;
  std::vector<RefusedRequest> Refusals;
};

/// The owner's side for one service: it queues the holders' requests at this
/// host's scheduler.
class PlacementOwner {
public:
  using PlacementIdSource = std::function<PlacementId()>;
  /// \p NextId numbers the holders' requests, in one sequence with this host's
  /// own requests.
  PlacementOwner(ServiceScheduler &Scheduler, PlacementIdSource NextId)
      : Scheduler(Scheduler), NextId(std::move(NextId)) {}

  /// Applies a holder's report unless it is older than the newest one read.
  void receive(const PlacementReport &Report, Time Now);
  /// Takes the scheduler's decision if the request belongs to a holder; returns
  /// false if it is this host's own request.
  bool takePlacement(const PlacedRequest &Placed);
  /// Like `takePlacement`, for a refusal.
  bool takeRefusal(const PlacementRefusal &Refusal);
  /// Releases all requests of holders that no longer report, and fills the
  /// replies that are due.
  void collectReplies(Time Now,
                      std::vector<std::pair<HostId, PlacementReply>> &Replies);
  size_t holderCount() const { return this->Holders.size(); }

private:
  /// State of one holder's request at the owner.
  struct RequestEntry {
    enum class State : uint8_t { Waiting, Granted, Held, Refused };
    State Current = State::Waiting;
    PlacementId Id;
    PlacementGrant Grant;   ///< Valid in the state `Granted`.
    RefusedRequest Refusal; ///< Valid in the state `Refused`.
  };
  /// What the owner knows of one holder.
  struct HolderState {
    uint64_t Run = 0;      ///< Identifies the holder's process.
    uint32_t Sequence = 0; ///< Sequence of the newest report read.
    Time LastReportAt;     ///< Time at which the newest report arrived.
    bool ReplyDue = false; ///< A reply has to be sent.
    std::map<RequestSerial, RequestEntry> Entries;
  };
  /// Names one request by its holder and the holder's number for it.
  struct HolderRequest {
    HostId Host;
    RequestSerial Serial;
  };

  void release(RequestEntry &E, AttemptResult Result, Time Now,
               uint32_t Events = 0);
  void applyHeld(HostId Host, HolderState &H, const HeldRequest &Held,
                 Time Now);
  void applyWaiting(HostId Host, HolderState &H, const WaitingRequest &Request,
                    Time Now);
  /// Returns the entry of a holder's request and fills its host, or returns
  /// nullptr if \p Id is this host's own request.
  RequestEntry *findEntry(PlacementId Id, HostId *Host);

  ServiceScheduler &Scheduler;
  PlacementIdSource NextId;
  std::map<HostId, HolderState> Holders;
  std::unordered_map<PlacementId, HolderRequest> ById;
};

/// The holder's side for one service: it reports this host's requests to the
/// owner and takes the owner's decisions.
class PlacementHolder {
public:
  /// Whether there is an owner that has answered recently enough to be asked.
  bool isOwnerResponsive(Time Now) const;
  /// Sets the owner; an invalid id means that there is none. Requests that the
  /// former owner was asked to place will get no answer.
  void setOwner(HostId Owner);
  HostId owner() const { return this->Owner; }

  /// Adds a request to those that the owner is asked to place.
  void askOwner(const PlacementRequest &Request, Time Now);
  /// Forgets a request that still waits for the owner's decision.
  void withdraw(PlacementId Id);
  /// Records that \p Id has a target, chosen by this host or by the owner.
  void placed(PlacementId Id, uint32_t Target, double PromptTokens);
  /// Records that the first event of \p Id has arrived.
  void started(PlacementId Id);
  /// Records that \p Id no longer uses its target.
  void ended(PlacementId Id, AttemptResult Result, uint32_t Events = 0);

  /// Takes the owner's reply; fills the decisions about requests that still
  /// wait here.
  void
  receive(const PlacementReply &Reply, Time Now,
          std::vector<std::pair<PlacementRequest, PlacementGrant>> &Granted,
          std::vector<PlacementRefusal> &Refused);
  /// Removes and returns all waiting requests if the owner does not answer;
  /// this host has to place them itself.
  std::vector<PlacementRequest> takeUnanswered(Time Now);
  /// Records that a target gave a notice, which the owner has to learn before
  /// it grants more.
  void noticed() { this->UrgentChange = true; }
  /// Whether a request waits for the owner's decision.
  bool hasWaiting() const { return !this->Pending.empty(); }
  /// Whether a request has waited for the owner's decision for longer than
  /// \p Limit.
  bool waitedLongerThan(Time Now, Duration Limit) const;
  /// Whether a report has to be sent now.
  bool isReportDue(Time Now) const;
  /// Builds the next report, which counts as sent at \p Now. The caller fills
  /// the host, its process and the service.
  PlacementReport makeReport(Time Now);

private:
  /// A request that the owner was asked to place.
  struct PendingRequest {
    RequestSerial Serial;
    PlacementRequest Request;
    Time At; ///< Time at which this host decided to ask the owner.
  };

  HostId Owner;
  uint32_t NextSerial = 1;
  uint32_t Sequence = 0; ///< Sequence of the last report sent.
  std::unordered_map<PlacementId, PendingRequest> Pending;
  std::unordered_map<PlacementId, HeldRequest> Held;
  /// Requests that ended since the last report.
  std::vector<FinishedRequest> Ended;
  /// Requests that ended before the last report and after the one before it.
  std::vector<FinishedRequest> EndedInLastReport;
  /// Time of the owner's last reply; the epoch if there was none.
  Time LastReplyAt;
  /// Time since which the owner owes a reply: when the oldest unanswered report
  /// was sent, or when the reply to an older one arrived. The epoch if the
  /// newest report is answered.
  Time UnansweredSince;
  uint32_t AnsweredSequence = 0; ///< Newest sequence that the owner answered.
  Time LastReportAt;             ///< Time at which the last report was sent.
  /// A change that frees or requests a slot has not been reported yet.
  bool UrgentChange = false;
  /// Any other change has not been reported yet.
  bool MinorChange = false;
};

} // namespace shallotlatch
