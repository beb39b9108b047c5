#include "domain_owner_p.h"

namespace shallotlatch {

// Smallest number of hosts for which a failure domain has an owner. Fewer hosts
// learn of each other's placements soon enough to place by themselves.
static constexpr size_t MinHostsForOwner = 4;

// The host with the most cores is chosen, since the owner processes every
// request of the domain. A tie goes to the smallest hash of the host id, so
// that the same kind of host name does not win in every domain.
HostId chooseOwner(const std::vector<OwnerCandidate> &Candidates) {
  if (Candidates.size() < MinHostsForOwner) {
    return HostId();
  }
  const OwnerCandidate *Best = nullptr;
  for (const OwnerCandidate &C : Candidates) {
    bool Larger = Best == nullptr || C.Cores > Best->Cores;
    bool Equal = Best != nullptr && C.Cores == Best->Cores;
    if (Larger ||
        (Equal && hashPair(C.Host.Value, 0) < hashPair(Best->Host.Value, 0))) {
      Best = &C;
    }
  }
  return Best->Host;
}

} // namespace shallotlatch
