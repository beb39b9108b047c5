/// \file
/// One blocking HTTP exchange, for command line programs.
#pragma once

#include "http_client_p.h"

namespace shallotlatch {

HttpResult sendBlocking(const HttpRequest &Request);

} // namespace shallotlatch
