/// \file
/// Readers of settings fields that several programs have.
#pragma once

#include "json_reader_p.h"
#include "shallotlatch/settings.h"

namespace shallotlatch {

/// Reads a required field of the form `IP:port`. Adds a mistake about \p Field
/// if it is absent or malformed.
void readAddress(ObjectReader &R, const char *Field, Address &Value);

} // namespace shallotlatch
