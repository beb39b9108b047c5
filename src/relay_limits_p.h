/// \file
/// Advice to come back that several parts of the relay give.
#pragma once

#include "shallotlatch/types.h"

namespace shallotlatch {

/// This host cannot tell yet; another host, or this one, can soon.
constexpr Duration RetryAfterNotReady = millis(500);
/// This host stops; any other host serves at once.
constexpr Duration RetryAfterShutdown = millis(50);
/// Targets refused or could not be reached; suspects are probed again after
/// about this long.
constexpr Duration RetryAfterTargetFailure = millis(200);

} // namespace shallotlatch
