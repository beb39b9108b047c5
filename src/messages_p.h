/// \file
/// Messages between hosts, as plain structs. `peer_codec_p.h` encodes them for
/// the wire. Every message may be lost, repeated or reordered, and every
/// receiver has to tolerate that.
#pragma once

#include "shallotlatch/config.h"
#include "shallotlatch/types.h"
#include "shallotlatch/verdict.h"

#include <array>
#include <string>
#include <vector>

namespace shallotlatch {

/// Kind of a document that every host keeps a copy of.
enum class DocumentKind : uint8_t {
  Config, ///< The configuration that operators applied.
  Hosts,  ///< The platform's list of hosts.
};
constexpr uint32_t DocumentKindCount = 2;

/// Cumulative hashes of a prompt's prefixes, taken at depths of 2, 8, 32, 128,
/// 512 and so on blocks.
struct PrefixHashes {
  /// Hashes, the deepest prefix first; the first `Count` are valid.
  std::array<uint32_t, SHALLOTLATCH_CONFIG_ASK_PREFIXES> Hashes{};
  uint8_t Count = 0; ///< Number of valid entries of `Hashes`.
  /// Depth step of `Hashes[0]`, whose prefix is 2 * 4^DeepestStep blocks long.
  uint8_t DeepestStep = 0;
  /// Returns the number of tokens in the prefix of `Hashes[Index]`.
  uint32_t tokens(uint32_t Index) const;
};

/// Sent by an entry host to a pool owner: requests a slot on a target of the
/// pool for one customer request.
struct SlotRequest {
  AskId Id;
  PoolId Pool;
  CustomerId Customer;
  TierRank Tier = 0;
  uint32_t PromptTokens = 0;
  uint32_t OutputTokens = 0;
  Duration Slack{0}; ///< Time left until the deadline when the message is sent.
  PrefixHashes Prefix;
};

/// Sent by a pool owner to an entry host: the request may be dispatched to this
/// target now.
struct Grant {
  AskId Id;
  TargetId Target;
};

/// Sent by a pool owner to an entry host: the request gets no slot.
struct Refusal {
  AskId Id;
  Reason Why = Reason::Overload;
  Duration RetryAfter{0};
};

/// Sent by an entry host to a pool owner: the slot request is withdrawn,
/// whether it still waits or is already granted.
struct Withdrawal {
  AskId Id;
};

/// Result of a dispatch with respect to the health of the target.
enum class DispatchResult : uint8_t {
  Done,    ///< The target returned a complete answer.
  Refused, ///< The target returned an error.
  Lost,    ///< The connection to the target broke.
  Unsent,  ///< No connection to the target could be made.
  Stopped, ///< The entry host stopped the dispatch, which tells nothing about
           ///< the target.
};

/// Sent by an entry host to a pool owner: a granted slot is free again.
struct Release {
  AskId Id;
  DispatchResult Result = DispatchResult::Done;
  Duration FirstToken{0}; ///< Time from dispatch to the first token; zero if
                          ///< no token was received.
  Duration Total{0};      ///< Time from dispatch to the end.
  uint32_t OutputTokens = 0;
};

/// Sent by an entry host to a pool owner: the first token was received, so the
/// target has finished the prefill.
struct FirstTokenNotice {
  AskId Id;
};

/// Sent by an entry host to a pool owner once a second: progress of the host's
/// streams from one target.
struct StreamProgress {
  PoolId Pool;
  TargetId Target;
  uint32_t Tokens = 0;    ///< Tokens received since the last report.
  Duration StreamTime{0}; ///< Time since the last report, summed over the
                          ///< streams that have received their first token.
  uint32_t StalledStreams = 0; ///< Streams without a token in this period.
  /// Returns the mean time between two tokens of a stream, in microseconds.
  double tokenIntervalUs() const;
};

/// One granted slot request that is in flight.
struct HeldGrant {
  AskId Id;
  TargetId Target;
};

/// Sent by an entry host to a pool owner at intervals: a digest of the slot
/// requests that the host has waiting and in flight at this pool. The complete
/// list is sent when the two first communicate or when their digests differ.
struct EntryStateReport {
  PoolId Pool;
  bool Complete = false; ///< Whether `Held` is filled in; otherwise only the
                         ///< digest is.
  std::vector<HeldGrant> Held;
  uint32_t Waiting = 0;  ///< Number of slot requests that wait for a grant.
  uint32_t InFlight = 0; ///< Number of granted slot requests.
  uint64_t Digest = 0;   ///< Sum of the digest terms of all slot requests,
                         ///< waiting and granted.
};

/// Sent by a pool owner to an entry host when their digests differ: the entry
/// host has to resend every waiting slot request and a complete
/// EntryStateReport.
struct ResendRequest {
  PoolId Pool;
};

/// Terms that a waiting and a granted slot request add to the digest.
inline uint64_t waitingDigestTerm(AskId Id) { return hashPair(Id.Value, 0); }
inline uint64_t grantedDigestTerm(AskId Id) { return hashPair(Id.Value, 1); }

/// 128-bit hash of an idempotency key that a caller sent, with the date that
/// the key carries.
struct IdempotencyKey {
  uint64_t High = 0;
  uint64_t Low = 0;
  WallMillis Date; ///< Date in the key; zero if the key has none.
  friend bool operator==(const IdempotencyKey &A, const IdempotencyKey &B) {
    return A.High == B.High && A.Low == B.Low;
  }
  friend bool operator<(const IdempotencyKey &A, const IdempotencyKey &B) {
    return A.High != B.High ? A.High < B.High : A.Low < B.Low;
  }
};

/// Holder of an idempotency key: one submission in one process run of one host.
struct Claimant {
  HostId Host;
  Incarnation Run;
  AskId Submission;
  friend bool operator==(const Claimant &A, const Claimant &B) {
    return A.Host == B.Host && A.Run == B.Run && A.Submission == B.Submission;
  }
};

/// Sent by an entry host to the host that keeps the claims of this key (its key
/// home): the claim has to be written before the entry host dispatches.
struct Claim {
  IdempotencyKey Key;
  uint64_t BodyHash = 0;
  Claimant Owner;
};

/// Result of a claim.
enum class ClaimResult : uint8_t {
  Granted,  ///< The claim is written: only this submission may dispatch.
  Taken,    ///< Another submission holds the key.
  Conflict, ///< The key was used with another request body.
  Expired,  ///< The date of the key is below the watermark.
  TooNew,   ///< The date of the key is too far in the future.
};

/// Sent by a key home to an entry host: the result of its claim.
struct ClaimReply {
  AskId Submission; ///< Submission for which the key was claimed.
  Incarnation Run; ///< Run of the claiming host. Submission numbers start again
                   ///< with each run.
  ClaimResult Result = ClaimResult::Granted;
  Claimant Holder;    ///< With `Taken`: the submission that holds the key.
  bool Ended = false; ///< With `Taken`: whether the holder reported its end.
  Outcome EndedAs = Outcome::MayHaveRun; ///< With `Ended`: the reported
                                         ///< outcome.
};

/// Sent by an entry host to a key home: the submission that holds the claim has
/// ended.
struct ClaimCompletion {
  IdempotencyKey Key;
  Claimant Owner;
  Outcome Result = Outcome::Completed;
};

/// Sent by an entry host to the host that holds a key: requests the outcome of
/// the holding submission as soon as it is known.
struct OutcomeRequest {
  AskId Submission; ///< Submission that waits for the outcome.
  Incarnation Run;  ///< Run of the requesting host.
  Claimant Holder;
};

/// Sent by the host that holds a key in answer to an OutcomeRequest.
struct OutcomeReply {
  AskId Submission;   ///< Submission that waits for the outcome.
  Incarnation Run;    ///< Run of the requesting host.
  bool Known = false; ///< Whether this host knows the requested run and
                      ///< submission.
  Verdict End;        ///< Verdict of the holding submission.
  std::string Answer; ///< Complete answer body, if the outcome is `Completed`.
};

/// Versioned report of one monitor about the liveness of one host. Of two
/// reports by the same monitor about the same host, the larger version wins.
struct LivenessReport {
  enum class State : uint8_t { Live, Suspect, Leaving };
  HostId Subject;
  Incarnation SubjectRun;
  HostId Monitor;
  uint32_t Version = 0;
  State Status = State::Live;
};

/// Sent to the monitors of the host as a sign of life, and with a digest to a
/// random peer to find missing updates.
struct Heartbeat {
  Incarnation Run;
  bool Leaving = false;
  std::array<Version, DocumentKindCount> Versions;
  /// Digest over liveness reports, crash counts and target status updates; zero
  /// if the heartbeat carries none.
  uint64_t Digest = 0;
};

/// Crashes that one host counted for a request fingerprint, in units of half a
/// crash. Of two counts the larger epoch wins; in the same epoch, the maximum.
struct CrashCount {
  Fingerprint Print;
  HostId Host;
  uint32_t Epoch = 0;
  uint32_t Halves = 0;
};

/// Whether a target is leaving. Peers gossip the update because the platform's
/// list of targets lags behind.
struct TargetStatusUpdate {
  TargetId Target;
  uint32_t Version = 0;
  bool Leaving = false;
};

/// Load of one pool, sent by its owner in answer to an EntryStateReport.
struct PoolLoad {
  PoolId Pool;
  uint32_t FreeSlots = 0;
  /// Expected wait of a new slot request by tier, in milliseconds.
  std::array<uint32_t, SHALLOTLATCH_CONFIG_MAX_TIERS> WaitMs{};
};

/// Requests a document newer than `HeldVersion` from a peer.
struct DocumentRequest {
  DocumentKind Kind = DocumentKind::Config;
  Version HeldVersion;
};

/// New version of a document: the whole document if `Base` is invalid,
/// otherwise a JSON Patch (RFC 6902) on version `Base`.
struct DocumentUpdate {
  DocumentKind Kind = DocumentKind::Config;
  Version Base;
  Version Number;    ///< Version of the document after the update.
  uint64_t Hash = 0; ///< Hash of the whole document's canonical text.
  std::string Text;  ///< Document or patch, as JSON.
};

/// Sent by an entry host to the host that keeps a customer's limits (its limit
/// home): requests a budget for the coming window.
struct LimitRequest {
  CustomerId Customer;
  uint32_t Wanted = 0;   ///< Number of requests expected in the window.
  uint32_t InFlight = 0; ///< Number of requests held now.
};

/// Sent by a limit home to an entry host: the budget for the coming window.
struct LimitGrant {
  CustomerId Customer;
  uint32_t Tokens = 0;      ///< Number of requests to admit in the window.
  uint32_t Concurrency = 0; ///< Number of requests that may be held at once.
};

/// All messages that one host sends to another in one pass of its event loop.
struct PeerBatch {
  std::vector<SlotRequest> SlotRequests;
  std::vector<Grant> Grants;
  std::vector<Refusal> Refusals;
  std::vector<Withdrawal> Withdrawals;
  std::vector<Release> Releases;
  std::vector<FirstTokenNotice> FirstTokenNotices;
  std::vector<StreamProgress> StreamProgressReports;
  std::vector<EntryStateReport> EntryStateReports;
  std::vector<ResendRequest> ResendRequests;
  std::vector<Claim> Claims;
  std::vector<ClaimReply> ClaimReplies;
  std::vector<ClaimCompletion> ClaimCompletions;
  std::vector<OutcomeRequest> OutcomeRequests;
  std::vector<OutcomeReply> OutcomeReplies;
  std::vector<Heartbeat> Heartbeats;
  std::vector<LivenessReport> LivenessReports;
  std::vector<CrashCount> CrashCounts;
  std::vector<TargetStatusUpdate> TargetStatusUpdates;
  std::vector<PoolLoad> PoolLoads;
  std::vector<DocumentRequest> DocumentRequests;
  std::vector<DocumentUpdate> DocumentUpdates;
  std::vector<LimitRequest> LimitRequests;
  std::vector<LimitGrant> LimitGrants;
};

/// Computes the hashes of the prefixes of \p Prompt.
PrefixHashes hashPrefixes(std::string_view Prompt);

} // namespace shallotlatch
