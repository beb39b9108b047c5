/// \file
/// Entry host role: holds the requests of this host's callers from submission
/// to verdict. Only the entry host that holds a request sends it to a target,
/// and it does so at most once.
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

/// Properties of a submitted request that scheduling uses. The body stays with
/// the task that serves the caller.
struct Submission {
  CustomerId Customer;
  KindId Kind;
  uint32_t PromptTokens = 0;
  uint32_t OutputTokens = 0;
  uint32_t Bytes = 0; ///< Size of the body.
  PrefixHashes Prefix;
  Fingerprint ContentFingerprint; ///< Identifies content that crashes targets.
  uint64_t BodyHash = 0;          ///< Detects a key reused with another body.
  Duration Deadline{0};           ///< Time allowed from submission to verdict.
  bool HasKey = false;            ///< `Key` is set.
  IdempotencyKey Key;             ///< Hash of the idempotency key.
};

/// Result of a dispatch as reported by the task that owned the connection to
/// the target.
struct DispatchEnd {
  DispatchResult Result = DispatchResult::Done;
  Verdict FinalVerdict;
  std::string Answer; ///< Whole answer body, kept for resent requests.
};

/// Statistics of the entry host role for status pages and metrics.
struct EntryStats {
  uint32_t Held = 0;      ///< Requests without a verdict.
  uint32_t Waiting = 0;   ///< Requests that wait for a grant.
  uint32_t InFlight = 0;  ///< Requests sent to a target and not ended.
  uint64_t Submitted = 0; ///< Submissions since the host started.
  uint64_t Ended[4] = {}; ///< Ended requests by outcome.
};

/// State of one row of the request table.
enum class RequestState : uint8_t {
  Free,        ///< The row is unused.
  Admitting,   ///< The request waits for budget of its customer.
  Claiming,    ///< The request waits until the claim on its key is stored.
  Joining,     ///< The request waits for an earlier submission of its key.
  Waiting,     ///< The request waits for a grant of a pool owner.
  Dispatching, ///< The request has a grant; no byte was sent to the target.
  Sent,        ///< Bytes were sent to the target, so the request may have run.
};

const char *name(RequestState S);

/// State of one request for the admin listener.
struct RequestStats {
  AskId Id;
  RequestState State = RequestState::Free;
  KindId Kind;
  TargetId Target;
  Duration Age{0}; ///< Time since submission.
};

/// State machine of the entry host role: events go in, messages to other hosts
/// and commands to this host's tasks come out through `NodeEnv`.
class EntryHost {
public:
  EntryHost(NodeEnv &Env, Membership &Members, CrashCounts &SharedState);

  /// Accepts a request; an AnswerCommand reports its verdict. Returns an
  /// invalid handle if the table is full or the kind is unknown; the request is
  /// then not held.
  RequestHandle submit(const Submission &S);
  /// Handles a caller that disconnected.
  void cancel(RequestHandle H);
  /// Handles a failed connection to the target: no byte was sent.
  void onConnectFailed(RequestHandle H);
  /// Marks the request as sent, before the first byte is sent. Returns false if
  /// the request has ended, in which case nothing may be sent.
  bool beginSend(RequestHandle H);
  /// Records \p Count tokens received from the target.
  void onTokens(RequestHandle H, uint32_t Count);
  /// Ends a sent request with the result of its dispatch.
  void onDispatchEnded(RequestHandle H, const DispatchEnd &E);

  void onGrant(HostId From, const Grant &G);
  void onRefusal(HostId From, const Refusal &R);
  void onAskAgain(HostId From, const ResendRequest &A);
  void onPoolLoad(HostId From, const PoolLoad &L);
  void onClaimReply(const ClaimReply &R);
  void onJoin(HostId From, const OutcomeRequest &J);
  void onJoinReply(const OutcomeReply &R);
  void onLimitGrant(HostId From, const LimitGrant &G);
  /// Ends the requests that wait for a submission held by the lost host.
  void onHostLost(HostId Host);
  /// Applies a new configuration.
  void reconfigure();
  /// Refuses all new requests from now on.
  void drain() { this->Draining = true; }
  /// Ends expired requests and sends periodic messages.
  void tick();

  /// Returns whether no request is held.
  bool idle() const { return this->Free.size() == this->Table.size(); }
  EntryStats stats() const;
  std::vector<RequestStats> requests() const;
  /// Returns the id that names the submission for its whole life.
  AskId submissionOf(RequestHandle H) const {
    return this->Table[H.Index].SubmissionId;
  }

private:
  struct Request {
    RequestState State = RequestState::Free;
    uint32_t ActiveIndex = 0; ///< Position of this row in `Active`.
    Submission Details;
    TierRank Tier = 0;
    bool CrossRegion = false; ///< Pools of other regions may be used.
    bool Admitted = false;    ///< The customer's budget admitted the request.
    bool CallerGone = false;  ///< The caller disconnected.
    AskId SubmissionId;       ///< Id of the submission for its whole life.
    AskId CurrentAsk;         ///< Id of the latest ask.
    PoolId Pool;              ///< Pool that was asked last.
    uint32_t PoolIndex = 0;   ///< Index of `Pool` among the kind's pools.
    HostId Owner;             ///< Owner of `Pool`.
    HostId ClaimOwner;        ///< Host that stores claims on the key.
    Claimant Holder;          ///< Holder of the key, in state Joining.
    bool HolderEnded = false; ///< The holder reported its end to ClaimOwner.
    /// Outcome of the holder; valid with `HolderEnded`.
    Outcome HolderOutcome = Outcome::MayHaveRun;
    TargetId Target;              ///< Target of the grant.
    uint64_t TriedPools = 0;      ///< Pools that refused, one bit per index.
    uint32_t ConnectFailures = 0; ///< Failed connections to targets.
    Time SubmittedAt;
    Time Deadline;
    Time AskedAt;   ///< Time of the last ask sent.
    Time ClaimedAt; ///< Time of the last claim or join sent.
    Time SentAt;    ///< Time at which sending began.
    Time FirstTokenAt;
    Time LastTokenAt;
    uint32_t Tokens = 0;            ///< Tokens received.
    uint32_t TokensSinceReport = 0; ///< Tokens since the last progress report.
    std::vector<Claimant> Joiners;  ///< Submissions that wait for this one.
  };
  /// One pool of a target group; a group has one pool per region.
  struct PoolRef {
    PoolId Id;
    std::string Region;
    double PrefillTokensPerSecond = 0; ///< Rate of the first target.
  };
  /// State of the exchange with the owner of one pool.
  struct OwnerState {
    HostId Owner;
    std::string Region;  ///< Region of the pool.
    Time NextListAt;     ///< Time at which the next hold list is due.
    Time NextIdleListAt; ///< Time at which a list is due if no ask waits.
    bool CompleteListDue = false; ///< The next list contains all grants.
    Time LastUsed;                ///< Last time with an ask or a held request.
    bool ReplyPending = false;    ///< The owner has not answered the last list.
    Time UnansweredSince;         ///< Time of the first unanswered list.
  };

  Request &row(RequestHandle H) { return this->Table[H.Index]; }
  /// Finds a request by submission id or current ask id.
  RequestHandle findByAsk(AskId Id) const;
  /// Continues with a claim or an ask after admission.
  void onAdmitted(RequestHandle H);
  /// Asks the key's owner to store a claim.
  void sendClaim(RequestHandle H);
  /// Chooses a pool and sends an ask to its owner.
  void askPool(RequestHandle H);
  /// Sends the current ask to the pool owner, possibly again.
  void sendAsk(Request &R);
  void sendWithdraw(Request &R);
  /// Returns the index of the cheapest usable pool, or -1.
  int choosePool(const Request &R) const;
  /// Returns the expected cost of using a pool, in milliseconds.
  double poolCostMs(const Request &R, const PoolRef &P) const;
  const std::vector<PoolRef> &poolsOf(const Request &R) const;
  /// Gives the request a new ask id.
  void assignAskId(RequestHandle H);
  /// Ends a request and frees its row.
  void finish(RequestHandle H, Verdict V, std::string Answer);
  void refuse(RequestHandle H, Reason Why, Duration RetryAfter);
  void sendRelease(Request &R, DispatchResult Result);
  /// Reports the outcome of a claimed submission to the key's owner.
  void sendSettle(const Request &R, Outcome O);
  /// Ends a request whose deadline has passed.
  void expire(RequestHandle H);
  /// Moves asks to new pool owners after a membership change.
  void updateOwners();
  void sendHoldLists();
  /// Adds the held requests to the hold lists of their pools.
  void fillHoldLists(std::map<PoolId, EntryStateReport> &Lists) const;
  void sendHoldList(PoolId Id, EntryStateReport &L);
  /// Refuses a submission that has no claim to settle.
  void refuseKey(RequestHandle H, Reason Why);
  /// Ends a joining request without an answer from the holder.
  void finishWithoutJoin(RequestHandle H);
  /// Repeats unanswered claims and joins.
  void retryClaims();
  /// Reports the progress of outlier targets to their pool owners.
  void sendProgress();
  /// Returns whether \p P differs enough from the pool to be reported.
  static bool isOutlier(const StreamProgress &P,
                        std::vector<double> PoolIntervals);
  /// Asks the holder of the key for its outcome.
  void sendJoin(Request &R);
  Claimant claimantOf(const Request &R) const;

  NodeEnv &Env;
  Membership &Members;
  CrashCounts &SharedState; ///< Crash counts and target notes of the fleet.
  LimitClient Limits;
  OutcomeLog Outcomes;
  std::vector<Request> Table;
  std::vector<uint32_t> Free;   ///< Indexes of unused rows.
  std::vector<uint32_t> Active; ///< Indexes of rows in use, in no order.
  /// Requests by submission id and by current ask id.
  std::unordered_map<AskId, RequestHandle> ByAsk;
  IndexedHeap<int64_t> ByDeadline; ///< Key: deadline in microseconds.
  /// Pools by group.
  std::unordered_map<std::string, std::vector<PoolRef>> Pools;
  std::map<PoolId, OwnerState> Owners;
  std::unordered_map<PoolId, PoolLoad> Loads; ///< Last reported loads.
  PrefixIndex LocalRegionPrefixes; ///< Prefixes cached in the local region.
  uint32_t NextAskId = 1;
  uint64_t SeenMembershipEpoch = 0; ///< Epoch of the current `Owners`.
  bool Draining = false;
  Time NextProgress;
  Time NextClaimRetry;
  EntryStats Counts; ///< Totals; the current numbers are counted on demand.
};

} // namespace shallotlatch
