/// \file
/// Messages between hosts, as plain structs. `peer_codec_p.h` puts them on the
/// wire. Every message may be lost, repeated or reordered; receivers are
/// written for that.
#pragma once

#include "shallotlatch/config.h"
#include "shallotlatch/types.h"
#include "shallotlatch/verdict.h"

#include <array>
#include <string>
#include <vector>

namespace shallotlatch {

/// What every host keeps a copy of.
enum class DocumentKind : uint8_t {
  Config, ///< What operators applied.
  Hosts,  ///< The platform's list of hosts.
};
constexpr uint32_t DocumentKindCount = 2;

/// Cumulative prompt hashes at depths of 2, 8, 32, 128, 512 blocks.
struct PrefixHashes {
  /// Deepest first; `Count` are used.
  std::array<uint32_t, SHALLOTLATCH_CONFIG_ASK_PREFIXES> Hashes{};
  uint8_t Count = 0;
  /// Depth step of `Hashes[0]`: its length is 2 * 4^Step blocks.
  uint8_t DeepestStep = 0;
  /// Tokens covered by `Hashes[Index]`.
  uint32_t tokens(uint32_t Index) const;
};

/// Entry host to pool owner: a place is wanted.
struct SlotRequest {
  AskId Id;
  PoolId Pool;
  CustomerId Customer;
  TierRank Tier = 0;
  uint32_t PromptTokens = 0;
  uint32_t OutputTokens = 0;
  Duration Slack{0}; ///< Time left to the deadline when sent.
  PrefixHashes Prefix;
};

/// Pool owner to entry host: dispatch to this target now.
struct Grant {
  AskId Id;
  TargetId Target;
};

/// Pool owner to entry host: no place.
struct Refusal {
  AskId Id;
  Reason Why = Reason::Overload;
  Duration RetryAfter{0};
};

/// Entry host to pool owner: the ask is withdrawn, waiting or granted.
struct Withdrawal {
  AskId Id;
};

/// How a dispatch went, as far as the target is concerned.
enum class DispatchResult : uint8_t {
  Done,    ///< A whole answer.
  Refused, ///< An error answer.
  Lost,    ///< The connection broke.
  Unsent,  ///< No connection could be made.
  Stopped, ///< The entry host stopped it; says nothing of the target.
};

/// Entry host to pool owner: a granted place is free again.
struct Release {
  AskId Id;
  DispatchResult Result = DispatchResult::Done;
  Duration FirstToken{0}; ///< From dispatch; zero: there was none.
  Duration Total{0};      ///< From dispatch to the end.
  uint32_t OutputTokens = 0;
};

/// Entry host to pool owner: the first token came, the prompt is done.
struct FirstTokenNotice {
  AskId Id;
};

/// Entry host to pool owner, once a second: what its streams saw.
struct StreamProgress {
  PoolId Pool;
  TargetId Target;
  uint32_t Tokens = 0;    ///< Received since the last report.
  Duration StreamTime{0}; ///< Summed over streams that are past first token.
  uint32_t StalledStreams = 0; ///< Streams with no token for the whole period.
  /// Time between tokens that the streams saw, in microseconds.
  double tokenIntervalUs() const;
};

/// One granted ask in flight.
struct HeldGrant {
  AskId Id;
  TargetId Target;
};

/// Entry host to pool owner: at intervals a digest of all that it has waiting
/// and in flight there; when they first meet, or differ, the list itself.
struct EntryStateReport {
  PoolId Pool;
  bool Complete = false; ///< `Held` is given; otherwise only the digest is.
  std::vector<HeldGrant> Held;
  uint32_t Waiting = 0;
  uint32_t InFlight = 0;
  uint64_t Digest = 0; ///< Sum of the terms of all asks, waiting and granted.
};

/// Pool owner to entry host: the digests differ. Send every waiting ask again,
/// and a complete list.
struct ResendRequest {
  PoolId Pool;
};

/// Terms of an ask in a digest.
inline uint64_t waitingDigestTerm(AskId Id) { return hashPair(Id.Value, 0); }
inline uint64_t grantedDigestTerm(AskId Id) { return hashPair(Id.Value, 1); }

/// A key used by a caller, hashed, with the date that it carries.
struct IdempotencyKey {
  uint64_t High = 0;
  uint64_t Low = 0;
  WallMillis Date; ///< Zero: undated.
  friend bool operator==(const IdempotencyKey &A, const IdempotencyKey &B) {
    return A.High == B.High && A.Low == B.Low;
  }
  friend bool operator<(const IdempotencyKey &A, const IdempotencyKey &B) {
    return A.High != B.High ? A.High < B.High : A.Low < B.Low;
  }
};

/// Who holds a key: one submission on one run of one host.
struct Claimant {
  HostId Host;
  Incarnation Run;
  AskId Submission;
  friend bool operator==(const Claimant &A, const Claimant &B) {
    return A.Host == B.Host && A.Run == B.Run && A.Submission == B.Submission;
  }
};

/// Entry host to key home: write this claim before I dispatch.
struct Claim {
  IdempotencyKey Key;
  uint64_t BodyHash = 0;
  Claimant Owner;
};

/// Key home to entry host: the claim's fate.
enum class ClaimResult : uint8_t {
  Granted,  ///< Written: this submission alone may dispatch.
  Taken,    ///< Another submission holds the key.
  Conflict, ///< The key was used with another body.
  Expired,  ///< The date is below the watermark.
  TooNew,   ///< The date is too far ahead.
};

struct ClaimReply {
  AskId Submission;
  Incarnation Run; ///< Of the asking host: numbers start again with a run.
  ClaimResult Result = ClaimResult::Granted;
  Claimant Holder;    ///< With `Taken`: who holds it.
  bool Ended = false; ///< With `Taken`: the holder reported its end.
  Outcome EndedAs = Outcome::MayHaveRun; ///< With `Ended`: that end.
};

/// Entry host to key home: the claimed submission ended.
struct ClaimCompletion {
  IdempotencyKey Key;
  Claimant Owner;
  Outcome Result = Outcome::Completed;
};

/// Entry host to the holder of a key: tell me its outcome when known.
struct OutcomeRequest {
  AskId Submission; ///< The asking submission.
  Incarnation Run;  ///< Of the asking host.
  Claimant Holder;
};

struct OutcomeReply {
  AskId Submission;
  Incarnation Run;    ///< Of the asking host.
  bool Known = false; ///< False: that run or submission is not known here.
  Verdict End;
  std::string Answer; ///< Whole answer body, with `Completed`.
};

/// A monitor's versioned opinion of one host; larger versions win.
struct LivenessReport {
  enum class State : uint8_t { Live, Suspect, Leaving };
  HostId Subject;
  Incarnation SubjectRun;
  HostId Monitor;
  uint32_t Version = 0;
  State Status = State::Live;
};

/// Sent to monitors, and as a digest to a random peer.
struct Heartbeat {
  Incarnation Run;
  bool Leaving = false;
  std::array<Version, DocumentKindCount> Versions;
  uint64_t Digest = 0; ///< Over opinions, crash counts and target notes.
};

/// One host's count of crashes for a fingerprint, in half crashes. Merged by
/// epoch, then by maximum.
struct CrashCount {
  Fingerprint Print;
  HostId Host;
  uint32_t Epoch = 0;
  uint32_t Halves = 0;
};

/// A target seen leaving; spreads ahead of the platform's lagging list.
struct TargetStatusUpdate {
  TargetId Target;
  uint32_t Version = 0;
  bool Leaving = false;
};

/// Load of one pool, sent by its owner in answer to a EntryStateReport.
struct PoolLoad {
  PoolId Pool;
  uint32_t FreeSlots = 0;
  /// Expected wait of a new ask by tier, in milliseconds.
  std::array<uint32_t, SHALLOTLATCH_CONFIG_MAX_TIERS> WaitMs{};
};

/// Asks a peer for a document newer than `Have`.
struct DocumentRequest {
  DocumentKind Kind = DocumentKind::Config;
  Version HeldVersion;
};

/// A document, whole (`Base` invalid) or as a JSON Patch (RFC 6902) on `Base`.
struct DocumentUpdate {
  DocumentKind Kind = DocumentKind::Config;
  Version Base;
  Version Number;
  uint64_t Hash = 0; ///< Of the whole document's canonical text.
  std::string Text;
};

/// Entry host to limit home: budget wanted for the coming window.
struct LimitRequest {
  CustomerId Customer;
  uint32_t Wanted = 0;   ///< Requests expected in the window.
  uint32_t InFlight = 0; ///< Held now.
};

/// Limit home to entry host.
struct LimitGrant {
  CustomerId Customer;
  uint32_t Tokens = 0;      ///< Admissions for this window.
  uint32_t Concurrency = 0; ///< Requests that may be held at once.
};

/// All that one host sends to another in one tick.
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

/// Hashes the prefixes of \p Prompt.
PrefixHashes hashPrefixes(std::string_view Prompt);

} // namespace shallotlatch
