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
  Fingerprint Print;
  uint64_t BodyHash = 0;
  Duration Deadline{0}; ///< From submission.
  bool HasKey = false;
  IdempotencyKey Key;
};

/// How a dispatch ended, as the task that owned the connection saw it.
struct RunEnd {
  DispatchResult Result = DispatchResult::Done;
  Verdict End;
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

class Entry {
public:
  Entry(NodeEnv &Env, Membership &Members, CrashCounts &Shared);

  /// Takes a request over; its end comes as an AnswerCommand. An invalid
  /// handle: the table is full, and nothing was taken.
  RequestHandle submit(const Submission &S);
  /// The caller went away.
  void cancel(RequestHandle H);
  /// The target could not be connected to: no byte left.
  void unsent(RequestHandle H);
  /// Bytes are about to leave; false: the request has ended, send nothing.
  bool sending(RequestHandle H);
  void tokens(RequestHandle H, uint32_t Count);
  void ended(RequestHandle H, const RunEnd &E);

  void onGrant(HostId From, const Grant &G);
  void onRefusal(HostId From, const Refusal &R);
  void onAskAgain(HostId From, const ResendRequest &A);
  void onPoolLoad(HostId From, const PoolLoad &L);
  void onClaimReply(const ClaimReply &R);
  void onJoin(HostId From, const OutcomeRequest &J);
  void onJoinReply(const OutcomeReply &R);
  void onLimitGrant(HostId From, const LimitGrant &G);
  void hostGone(HostId Host);
  void reconfigure();
  /// Refuses everything new from now on.
  void drain() { this->Draining = true; }
  void tick();

  bool idle() const { return this->Free.size() == this->Table.size(); }
  EntryStats stats() const;
  std::vector<RequestStats> requests() const;
  AskId submissionOf(RequestHandle H) const {
    return this->Table[H.Index].First;
  }

private:
  struct Request {
    RequestState State = RequestState::Free;
    uint32_t ActivePlace = 0; ///< Own place in Active.
    Submission Sub;
    TierRank Tier = 0;
    bool CrossRegion = false;
    bool Admitted = false;
    bool CallerGone = false;
    AskId First;   ///< Names the submission for its whole life.
    AskId Current; ///< Names the present ask.
    PoolId Pool;
    uint32_t PoolIndex = 0; ///< Among the kind's pools.
    HostId Owner;
    HostId KeyHome;
    Claimant Holder; ///< While joining.
    bool HolderEnded = false;
    Outcome HolderEndedAs = Outcome::MayHaveRun; ///< With HolderEnded.
    TargetId Target;
    uint64_t TriedPools = 0; ///< Bits over the kind's pools.
    uint32_t Unsents = 0;
    Time Since;
    Time Deadline;
    Time AskedAt;
    Time ClaimedAt;
    Time SentAt;
    Time FirstTokenAt;
    Time LastTokenAt;
    uint32_t Tokens = 0;
    uint32_t WindowTokens = 0;
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
    Time ListAt;               ///< When the next hold list is due.
    Time QuietAt;              ///< When one is due though nothing waits.
    bool SendComplete = false; ///< The next one lists what is in flight.
    Time LastUsed;
    bool Silent = false; ///< A list is not answered yet.
    Time FirstSilent;
  };

  Request &row(RequestHandle H) { return this->Table[H.Index]; }
  RequestHandle byAsk(AskId Id) const;
  void proceed(RequestHandle H);
  void claim(RequestHandle H);
  void ask(RequestHandle H);
  void sendAsk(Request &R);
  void leaveQueue(Request &R);
  int choosePool(const Request &R) const;
  double poolCost(const Request &R, const PoolRef &P) const;
  const std::vector<PoolRef> &poolsOf(const Request &R) const;
  void rename(RequestHandle H);
  void finish(RequestHandle H, Verdict V, std::string Answer);
  void refuse(RequestHandle H, Reason Why, Duration RetryAfter);
  void sendRelease(Request &R, DispatchResult Result);
  void settle(const Request &R, Outcome O);
  void expire(RequestHandle H);
  void moveOwners();
  void sendHoldLists();
  void fillHoldLists(std::map<PoolId, EntryStateReport> &Lists) const;
  void sendHoldList(PoolId Id, EntryStateReport &L);
  void refuseKey(RequestHandle H, Reason Why);
  void endUnjoined(RequestHandle H);
  void retryClaims();
  void sendProgress();
  static bool standsOut(const StreamProgress &P,
                        std::vector<double> PoolIntervals);
  void askJoin(Request &R);
  Claimant claimantOf(const Request &R) const;

  NodeEnv &Env;
  Membership &Members;
  CrashCounts &Shared;
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
  PrefixIndex RegionPrefixes; ///< Which region has which prefix.
  uint32_t NextAsk = 1;
  uint64_t SeenEpoch = 0;
  bool Draining = false;
  Time NextProgress;
  Time NextClaimRetry;
  EntryStats Counts;
};

} // namespace shallotlatch
