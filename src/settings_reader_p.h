/// \file
/// Settings fields that several programs read.
#pragma once

#include "json_reader_p.h"
#include "shallotlatch/settings.h"

namespace shallotlatch {

/// Required field `IP:port`; a mistake is noted at \p Field.
void readAddress(ObjectReader &R, const char *Field, Address &Value);

} // namespace shallotlatch
