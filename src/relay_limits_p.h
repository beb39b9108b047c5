/// \file
/// Retry-After values that several parts of the relay send.
#pragma once

#include "shallotlatch/types.h"

namespace shallotlatch {

/// This host lacks current data to decide on the request; another host may
/// have it, and this host is expected to have it soon.
constexpr Duration RetryAfterNotReady = millis(500);
/// This host is shutting down; any other host can serve the request at once.
constexpr Duration RetryAfterShutdown = millis(50);
/// Targets refused the request or could not be reached. Suspected targets are
/// probed again after about this time.
constexpr Duration RetryAfterTargetFailure = millis(200);

/// The request's content or a part of its prompt crashes targets.
constexpr Duration RetryAfterQuarantine = seconds(10);

} // namespace shallotlatch
