/// \file
/// Blocking HTTP client for command line programs.
#pragma once

#include "http_client_p.h"

namespace shallotlatch {

/// Sends \p Request and waits for the end of the exchange, on an event loop of
/// its own.
HttpResult sendBlocking(const HttpRequest &Request);

} // namespace shallotlatch
