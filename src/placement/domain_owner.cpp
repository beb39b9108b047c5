#include "domain_owner_p.h"

#include <algorithm>

namespace shallotlatch {

// Smallest number of hosts for which a failure domain has an owner. Fewer hosts
// learn of each other's placements soon enough to place by themselves.
static constexpr size_t MinHostsForOwner = 4;

bool hasOwner(size_t Hosts) { return Hosts >= MinHostsForOwner; }

// The host with the most cores comes first, since the owner processes every
// request of the domain. A tie goes to the smallest hash of the host id, so
// that the same kind of host name does not win in every domain.
void rankCandidates(std::vector<OwnerCandidate> &Candidates) {
  std::sort(Candidates.begin(), Candidates.end(),
            [](const OwnerCandidate &A, const OwnerCandidate &B) {
              return A.Cores != B.Cores ? A.Cores > B.Cores
                                        : hashPair(A.Host.Value, 0) <
                                              hashPair(B.Host.Value, 0);
            });
}

HostId chooseOwner(const std::vector<OwnerCandidate> &Candidates) {
  if (!hasOwner(Candidates.size())) {
    return HostId();
  }
  std::vector<OwnerCandidate> Ranked = Candidates;
  rankCandidates(Ranked);
  return Ranked.front().Host;
}

} // namespace shallotlatch
