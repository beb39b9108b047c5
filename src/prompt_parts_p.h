/// \file
/// Parses the list of prompt parts that a caller states for a request.
#pragma once

#include "shallotlatch/types.h"

#include <string_view>
#include <vector>

namespace shallotlatch {

/// Returns the identities of the parts that requests may share: all parts in
/// \p Field but the last, which belongs to the request itself. The field is a
/// list of `ID:TOKENS` entries. Returns no part if an entry is not of that
/// form; parts beyond the first 32 are left out.
std::vector<Fingerprint> sharedPromptParts(std::string_view Field);

} // namespace shallotlatch
