/// \file
/// Choice of the host that places requests for all hosts of its failure domain.
#pragma once

#include "routing_p.h"

#include <vector>

namespace shallotlatch {

/// A host that may become the owner of its failure domain.
struct OwnerCandidate {
  HostId Host;
  double Cores = 1; ///< Share of the processor that it may use, in cores.
};

/// Returns whether a failure domain of \p Hosts hosts has an owner. In a
/// smaller one every host places its own requests.
bool hasOwner(size_t Hosts);

/// Sorts candidates by their claim to be the owner, the strongest first. Every
/// host sorts the same candidates in the same order.
void rankCandidates(std::vector<OwnerCandidate> &Candidates);

/// Chooses the owner among the hosts of one failure domain. Every host that
/// knows the same candidates chooses the same owner. Returns an invalid id if
/// the domain is so small that every host places its own requests.
HostId chooseOwner(const std::vector<OwnerCandidate> &Candidates);

} // namespace shallotlatch
