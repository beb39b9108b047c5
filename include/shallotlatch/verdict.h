/// \file
/// Verdict that tells a caller how its request ended and whether it may have
/// run.
#pragma once

#include "shallotlatch/types.h"

#include <string>

namespace shallotlatch {

/// Whether a request may have run.
enum class Outcome : uint8_t {
  Completed,  ///< The request ran, and the whole answer is known.
  Failed,     ///< The request ran, and the target answered with an error.
  NotRun,     ///< The request cannot have run: no byte of it can have reached a
              ///< target, or a target's refusal proves it.
  MayHaveRun, ///< The request was sent; how it ended is unknown.
};

/// Reason why a request ended as it did.
enum class Reason : uint8_t {
  None,
  Overload,     ///< The request was shed: no usable pool has room at this tier.
  Deadline,     ///< The request cannot finish, or did not finish, before its
                ///< deadline.
  RateLimit,    ///< The customer's rate or concurrency limit is reached.
  Quarantined,  ///< The request's content crashed too many targets.
  NoTarget,     ///< No live target serves this kind of request.
  KeyConflict,  ///< The key was used with another body.
  KeyExpired,   ///< The key's date is older than the retention.
  KeyInFuture,  ///< The key's date is too far ahead.
  KeyDuplicate, ///< An earlier submission of this key may have run.
  StoreUnavailable, ///< The key's claim could not be written to the store in
                    ///< time.
  ConnectFailed,    ///< No target accepted a connection.
  TargetRefused,    ///< The target refused the request.
  TargetError,      ///< The target answered with an error.
  TargetLost,   ///< The connection to the target broke after bytes were sent.
  Truncated,    ///< The answer ended before its end marker.
  Cancelled,    ///< The caller closed its connection.
  ShuttingDown, ///< This host is stopping.
  HostFull,     ///< This host holds too many requests.
};

/// How one request ended.
struct Verdict {
  Outcome Result = Outcome::NotRun;
  Reason Why = Reason::None;
  /// Time after which a retry is likely to be admitted. Zero means that no time
  /// is suggested.
  Duration RetryAfter{0};
};

/// Return the name on the wire, as in the `Shallot-Verdict` header.
const char *name(Outcome O);
const char *name(Reason R);
/// Returns one sentence that explains the reason to a person.
const char *explain(Reason R);
/// Returns the HTTP status code for \p V.
int httpStatus(const Verdict &V);

} // namespace shallotlatch
