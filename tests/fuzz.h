/// \file
/// The stateful fuzz tests. Each function returns whether its property held.
#pragma once

namespace shallotlatch {

/// Compares one pool with a model that knows only tiers and slots.
bool fuzzPool();
/// Checks a fleet under every fault against the oracle.
bool fuzzFleet();

} // namespace shallotlatch
