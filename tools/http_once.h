/// \file
/// One blocking HTTP exchange, for command line programs.
#pragma once

#include "http_client_p.h"

namespace shallotlatch {

HttpResult httpOnce(const HttpRequest &Request);

} // namespace shallotlatch
