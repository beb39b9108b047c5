/// \file
/// One host of a failure domain, the owner, places the requests of an engine
/// service for all hosts of the domain. The others, the holders, keep the
/// requests and tell the owner about them. Both sides here are pure: messages
/// and time in, messages and decisions out.
///
/// Every message holds the sender's whole state, so it may be lost, repeated
/// or overtaken. An owner that does not answer costs its holders exact
/// knowledge and nothing else: they place by themselves until it answers.
#pragma once

#include "place_pool_p.h"

#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace shallotlatch {

/// Numbers the asks of one holder's process.
using RequestSerial = Id<struct RequestSerialTag, uint32_t>;

/// A request that waits for a place; durations, since clocks differ.
struct WaitingRequest {
  RequestSerial Serial;
  uint32_t Rank = 0;
  bool RefusedBefore = false;
  bool Repeatable = false;
  double PromptTokens = 0;
  double OutputTokens = 0;
  Duration Objective{0};
  Duration Waited{0};            ///< At its holder.
  Duration SinceFirstAttempt{0}; ///< Since its caller's first attempt.
  Duration TimeToDeadline{0};    ///< Until nobody waits for it.
  std::vector<uint32_t> Tried;   ///< Hashes of instances.
};

/// A request that has a place, granted or taken by the holder itself.
struct HeldRequest {
  RequestSerial Serial;
  uint32_t Target = 0; ///< Hash of the instance.
  double PromptTokens = 0;
  bool Started = false; ///< Its first event came.
};

struct FinishedRequest {
  RequestSerial Serial;
  AttemptResult Result = AttemptResult::Unknown;
};

/// All of one holder's requests of one service.
struct PlacementReport {
  HostId Host;
  uint64_t Run = 0; ///< Of the holder's process.
  uint32_t Sequence = 0;
  ServiceId Service;
  std::vector<WaitingRequest> Waiting;
  std::vector<HeldRequest> Held;
  std::vector<FinishedRequest> Ended; ///< Since the book before the last.
};

struct PlacementGrant {
  RequestSerial Serial;
  uint32_t Target = 0; ///< Hash of the instance.
  Duration Predicted{0};
  uint32_t Running = 0;
};

struct RefusedRequest {
  RequestSerial Serial;
  RefusalReason Why = RefusalReason::Overload;
  Duration RetryAfter{0};
};

/// The owner's answer: what it decided about the asks of the book that it read
/// last.
struct PlacementReply {
  HostId Host;
  uint64_t Run = 0; ///< Of the owner's process.
  ServiceId Service;
  uint64_t HolderRun = 0;
  uint32_t Sequence = 0; ///< Of the newest book read.
  std::vector<PlacementGrant> Grants;
  std::vector<RefusedRequest> Refusals;
};

/// The owner's side, for one service.
class PlacementOwner {
public:
  using PlacementIdSource = std::function<PlacementId()>;
  /// \p Make numbers runs, in one sequence with the owner's own.
  PlacementOwner(ServiceScheduler &Scheduler, PlacementIdSource NextId)
      : Scheduler(Scheduler), NextId(std::move(NextId)) {}

  void receive(const PlacementReport &Book, Time Now);
  /// Whether \p Run belongs to a holder; takes the pool's decision about it.
  bool placed(const PlacedRequest &Run);
  bool takeRefusal(const PlacementRefusal &Refusal);
  /// Releases what silent holders had, and fills the replies that are due.
  void collectReplies(Time Now,
                      std::vector<std::pair<HostId, PlacementReply>> &Replies);
  size_t holderCount() const { return this->Holders.size(); }

private:
  struct RequestEntry {
    enum class State : uint8_t { Waiting, Granted, Held, Refused };
    State Current = State::Waiting;
    PlacementId Run;
    PlacementGrant Grant;
    RefusedRequest Refusal;
  };
  struct HolderState {
    uint64_t Run = 0;
    uint32_t Sequence = 0;
    Time LastReportAt;
    bool ReplyDue = false; ///< A reply has to go out.
    std::map<RequestSerial, RequestEntry> Entries;
  };
  struct HolderRequest {
    HostId Host;
    RequestSerial Serial;
  };

  void release(RequestEntry &E, AttemptResult Result, Time Now);
  void applyHeld(HostId Host, HolderState &H, const HeldRequest &Run, Time Now);
  void applyWaiting(HostId Host, HolderState &H, const WaitingRequest &Request,
                    Time Now);
  RequestEntry *find(PlacementId Run, HostId *Host);

  ServiceScheduler &Scheduler;
  PlacementIdSource NextId;
  std::map<HostId, HolderState> Holders;
  std::unordered_map<PlacementId, HolderRequest> ById;
};

/// The holder's side, for one service.
class PlacementHolder {
public:
  /// Whether the owner has answered lately enough to be asked.
  bool isOwnerResponsive(Time Now) const;
  /// Another owner, or none: nothing that was asked is answered any more.
  void setOwner(HostId Owner);
  HostId owner() const { return this->Owner; }

  void askOwner(const PlacementRequest &Request, Time Now);
  void withdraw(PlacementId Run);
  /// The holder itself has placed \p Run, or took a grant for it.
  void placed(PlacementId Run, uint32_t Target, double PromptTokens);
  void started(PlacementId Run);
  void ended(PlacementId Run, AttemptResult Result);

  /// Takes the owner's answer; fills what it decided about asks that still
  /// wait here.
  void
  receive(const PlacementReply &Reply, Time Now,
          std::vector<std::pair<PlacementRequest, PlacementGrant>> &Granted,
          std::vector<PlacementRefusal> &Refused);
  /// The asks to be placed here since the owner does not answer.
  std::vector<PlacementRequest> takeUnanswered(Time Now);
  bool hasWaiting() const { return !this->Pending.empty(); }
  /// Whether an ask has been out for longer than \p Limit.
  bool waitedLongerThan(Time Now, Duration Limit) const;
  /// Whether a book has to go out now.
  bool isReportDue(Time Now) const;
  PlacementReport makeReport(Time Now);

private:
  struct PendingRequest {
    RequestSerial Serial;
    PlacementRequest Request;
    Time At;
  };

  HostId Owner;
  uint32_t NextSerial = 1;
  uint32_t Sequence = 0;
  std::unordered_map<PlacementId, PendingRequest> Pending;
  std::unordered_map<PlacementId, HeldRequest> Held;
  std::vector<FinishedRequest> Ended;             ///< Since the last book.
  std::vector<FinishedRequest> EndedInLastReport; ///< In the last book.
  Time LastReplyAt;     ///< Last reply; the epoch: never.
  Time UnansweredSince; ///< Sending of the oldest book without a reply.
  uint32_t AnsweredSequence = 0;
  Time LastReportAt;
  bool UrgentChange = false; ///< Something changed that frees or wants a place.
  bool MinorChange = false;  ///< Something else changed.
};

} // namespace shallotlatch
