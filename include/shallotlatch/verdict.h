/// \file
/// The verdict: what a caller may believe about its request.
#pragma once

#include "shallotlatch/types.h"

#include <string>

namespace shallotlatch {

/// Whether a request may have run.
enum class Outcome : uint8_t {
  Completed,  ///< Ran, and the whole answer is known.
  Failed,     ///< Ran, and the target answered with an error.
  NotRun,     ///< No byte of it can have reached a target.
  MayHaveRun, ///< It was sent; how it ended is unknown.
};

/// Why a request ended as it did.
enum class Reason : uint8_t {
  None,
  Overload,         ///< Shed: no room at this tier in any usable pool.
  Deadline,         ///< Cannot finish, or did not finish, before its deadline.
  RateLimit,        ///< The customer's rate or concurrency limit.
  Quarantined,      ///< The content crashed too many targets.
  NoTarget,         ///< No live target serves this kind.
  KeyConflict,      ///< The key was used with another body.
  KeyExpired,       ///< The key's date is below the retention watermark.
  KeyInFuture,      ///< The key's date is too far ahead.
  KeyDuplicate,     ///< An earlier submission of this key may have run.
  StoreUnavailable, ///< The claim could not be written in time.
  ConnectFailed,    ///< No target could be connected to.
  TargetRefused,    ///< The target refused, and its contract proves no run.
  TargetError,      ///< The target answered with an error.
  TargetLost,       ///< The connection broke after bytes were sent.
  Truncated,        ///< The answer ended before its end marker.
  Cancelled,        ///< The caller went away.
  ShuttingDown,     ///< This host is stopping.
  HostFull,         ///< This host holds too many requests.
};

/// One request's end.
struct Verdict {
  Outcome Result = Outcome::NotRun;
  Reason Why = Reason::None;
  /// When a retry is likely to be admitted; zero: no advice.
  Duration RetryAfter{0};
};

/// Wire names, as in the `Shallot-Verdict` header.
const char *name(Outcome O);
const char *name(Reason R);
/// One sentence for people.
const char *explain(Reason R);
/// HTTP status that fits \p V.
int httpStatus(const Verdict &V);

} // namespace shallotlatch
