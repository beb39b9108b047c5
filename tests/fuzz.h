/// \file
/// The stateful fuzz tests; each returns whether its property held.
#pragma once

namespace shallotlatch {

/// One pool against a list that knows only tiers and slots.
bool fuzzPool();
/// A fleet under every fault, against the oracle.
bool fuzzFleet();

} // namespace shallotlatch
