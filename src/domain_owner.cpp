#include "domain_owner_p.h"

namespace shallotlatch {

// Fewer hosts than this hear of each other's placements soon enough.
static constexpr size_t MinHostsForOwner = 4;

// The largest host, since the owner hears of every request; among equals the
// smallest hash, so that domains do not burden hosts of one name alike.
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
