/// \file
/// The entry role: holds the requests of this host's callers from submission
/// to verdict. Only the holder dispatches a request, and at most once.
#pragma once

#include "crash_counts_p.h"
#include "indexed_heap_p.h"
#include "key_bucket_p.h"
#include "limits_p.h"
#include "membership_p.h"
#include "outcome_log_p.h"
#include "prefix_index_p.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace shallotlatch {

/// What the core knows of a request; the body stays with the caller's task.
struct Submission {
  CustomerId Customer;
  KindId Kind;
  uint32_t PromptTokens = 0;
  uint32_t OutputTokens = 0;
  uint32_t Bytes = 0;
  PrefixHashes Prefix;
  Fingerprint ContentFingerprint;
  uint64_t BodyHash = 0;
  Duration Deadline{0}; ///< From submission.
  bool HasKey = false;
  KeyName Key;
};

/// How a dispatch ended, as the task that owned the connection saw it.
struct DispatchResult {
  RunResult Result = RunResult::Done;
  Verdict FinalVerdict;
  std::string Answer; ///< Whole answer, kept for resent requests.
};

/// Readable figures of the entry role.
struct EntryStats {
  uint32_t Held = 0;
  uint32_t Waiting = 0;
  uint32_t InFlight = 0;
  uint64_t Submitted = 0;
  uint64_t Ended[4] = {}; ///< By outcome.
};

/// State of one held request.
enum class RequestState : uint8_t {
  Free,
  Admitting,   ///< Waits for its customer's budget.
  Claiming,    ///< Waits for its key's claim to be written.
  Joining,     ///< Waits for the end of an earlier submission of its key.
  Waiting,     ///< Asked; waits for a grant.
  Dispatching, ///< Granted; no byte has left.
  Sent,        ///< From here on it may have run.
};

const char *name(RequestState S);

/// Readable state of one request, for the admin listener.
struct RequestStats {
  AskId Id;
  RequestState State = RequestState::Free;
  KindId Kind;
  TargetId Target;
  Duration Age{0};
};

class EntryHost {
public:
  EntryHost(NodeEnv &Env, Membership &Members, CrashCounts &SharedState);

  /// Takes a request over; its end comes as an AnswerCommand. An invalid
  /// handle: the table is full, and nothing was taken.
  RequestHandle submit(const Submission &S);
  /// The caller went away.
  void cancel(RequestHandle H);
  /// The target could not be connected to: no byte left.
  void onConnectFailed(RequestHandle H);
  /// Bytes are about to leave; false: the request has ended, send nothing.
  bool beginSend(RequestHandle H);
  void onTokens(RequestHandle H, uint32_t Count);
  void onDispatchEnded(RequestHandle H, const DispatchResult &E);

  void onGrant(HostId From, const Grant &G);
  void onRefusal(HostId From, const Refusal &R);
  void onAskAgain(HostId From, const AskAgain &A);
  void onPoolLoad(HostId From, const PoolLoad &L);
  void onClaimReply(const ClaimReply &R);
  void onJoin(HostId From, const Join &J);
  void onJoinReply(const JoinReply &R);
  void onLimitGrant(HostId From, const LimitGrant &G);
  void onHostLost(HostId Host);
  void reconfigure();
  /// Refuses everything new from now on.
  void drain() { this->Draining = true; }
  void tick();

  bool idle() const { return this->Free.size() == this->Table.size(); }
  EntryStats stats() const;
  std::vector<RequestStats> requests() const;
  AskId submissionOf(RequestHandle H) const {
    return this->Table[H.Index].SubmissionId;
  }

private:
  struct Request {
    RequestState State = RequestState::Free;
    uint32_t ActiveIndex = 0; ///< Own place in Active.
    Submission Details;
    TierRank Tier = 0;
    bool CrossRegion = false;
    bool Admitted = false;
    bool CallerGone = false;
    AskId SubmissionId; ///< Names the submission for its whole life.
    AskId CurrentAsk;   ///< Names the present ask.
    PoolId Pool;
    uint32_t PoolIndex = 0; ///< Among the kind's pools.
    HostId Owner;
    HostId ClaimOwner;
    Claimant Holder; ///< While joining.
    bool HolderEnded = false;
    Outcome HolderOutcome = Outcome::MayHaveRun; ///< With HolderEnded.
    TargetId Target;
    uint64_t TriedPools = 0; ///< Bits over the kind's pools.
    uint32_t ConnectFailures = 0;
    Time SubmittedAt;
    Time Deadline;
    Time AskedAt;
    Time ClaimedAt;
    Time SentAt;
    Time FirstTokenAt;
    Time LastTokenAt;
    uint32_t Tokens = 0;
    uint32_t TokensSinceReport = 0;
    std::vector<Claimant> Joiners;
  };
  /// One pool that a group can use.
  struct PoolRef {
    PoolId Id;
    std::string Region;
    double PrefillTokensPerSecond = 0; ///< Of its first target.
  };
  struct OwnerState {
    HostId Owner;
    std::string Region;
    Time NextListAt;              ///< When the next hold list is due.
    Time NextIdleListAt;          ///< When one is due though nothing waits.
    bool CompleteListDue = false; ///< The next one lists what is in flight.
    Time LastUsed;
    bool ReplyPending = false; ///< A list is not answered yet.
    Time UnansweredSince;
  };

  Request &row(RequestHandle H) { return this->Table[H.Index]; }
  RequestHandle findByAsk(AskId Id) const;
  void onAdmitted(RequestHandle H);
  void sendClaim(RequestHandle H);
  void askPool(RequestHandle H);
  void sendAsk(Request &R);
  void sendWithdraw(Request &R);
  int choosePool(const Request &R) const;
  double poolCostMs(const Request &R, const PoolRef &P) const;
  const std::vector<PoolRef> &poolsOf(const Request &R) const;
  void assignAskId(RequestHandle H);
  void finish(RequestHandle H, Verdict V, std::string Answer);
  void refuse(RequestHandle H, Reason Why, Duration RetryAfter);
  void sendRelease(Request &R, RunResult Result);
  void sendSettle(const Request &R, Outcome O);
  void expire(RequestHandle H);
  void updateOwners();
  void sendHoldLists();
  void fillHoldLists(std::map<PoolId, HoldList> &Lists) const;
  void sendHoldList(PoolId Id, HoldList &L);
  void refuseKey(RequestHandle H, Reason Why);
  void finishWithoutJoin(RequestHandle H);
  void retryClaims();
  void sendProgress();
  static bool isOutlier(const Progress &P, std::vector<double> PoolIntervals);
  void sendJoin(Request &R);
  Claimant claimantOf(const Request &R) const;

  NodeEnv &Env;
  Membership &Members;
  CrashCounts &SharedState;
  LimitClient Limits;
  OutcomeLog Outcomes;
  std::vector<Request> Table;
  std::vector<uint32_t> Free;
  std::vector<uint32_t> Active; ///< Rows in use, in no order.
  std::unordered_map<AskId, RequestHandle> ByAsk;
  IndexedHeap<int64_t> ByDeadline;
  std::unordered_map<std::string, std::vector<PoolRef>> Pools; ///< By group.
  std::map<PoolId, OwnerState> Owners;
  std::unordered_map<PoolId, PoolLoad> Loads;
  PrefixIndex LocalRegionPrefixes; ///< Which region has which prefix.
  uint32_t NextAskId = 1;
  uint64_t SeenMembershipEpoch = 0;
  bool Draining = false;
  Time NextProgress;
  Time NextClaimRetry;
  EntryStats Counts;
};

} // namespace shallotlatch
