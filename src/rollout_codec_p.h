/// \file
/// Encodes what hosts tell each other of roll-outs.
#pragma once

#include "fleet.capnp.h"
#include "service_rollout_p.h"

namespace shallotlatch {

/// Number of entries of \p News that go into one datagram.
unsigned wireRollouts(const std::vector<RolloutNews> &News);
void writeRollouts(capnp::List<fleetwire::RolloutNews>::Builder List,
                   const std::vector<RolloutNews> &News);
std::vector<RolloutNews>
readRollouts(capnp::List<fleetwire::RolloutNews>::Reader List);

} // namespace shallotlatch
