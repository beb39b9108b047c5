#include "prefix_index_p.h"

#include <algorithm>

namespace shallotlatch {

// Entries that were last used longer ago than this are ignored.
static constexpr uint32_t MaxAgeSeconds = 600;

// Adds one second, so that no valid time is zero: zero marks an empty entry.
static uint32_t toStampSeconds(Time Now) {
  return static_cast<uint32_t>(Now.time_since_epoch().count() / 1000000) + 1;
}

PrefixIndex::PrefixIndex(uint32_t Entries, uint32_t MaxTargets)
    : Table(std::max(Entries, Ways)), Generations(MaxTargets, 0),
      SetCount(static_cast<uint32_t>(this->Table.size()) / Ways) {}

PrefixIndex::Entry *PrefixIndex::findSet(uint32_t Hash) {
  return &this->Table[size_t(Hash % this->SetCount) * Ways];
}
const PrefixIndex::Entry *PrefixIndex::findSet(uint32_t Hash) const {
  return &this->Table[size_t(Hash % this->SetCount) * Ways];
}

void PrefixIndex::put(uint32_t Hash, uint32_t Target, uint32_t NowSeconds) {
  Entry *Set = this->findSet(Hash);
  Entry *Victim = Set;
  for (uint32_t I = 0; I < Ways; ++I) {
    if (Set[I].LastUsedSecond != 0 && Set[I].Hash == Hash &&
        Set[I].Target == Target) {
      Victim = &Set[I];
      break;
    }
    if (Set[I].LastUsedSecond < Victim->LastUsedSecond) {
      Victim = &Set[I];
    }
  }
  Victim->Hash = Hash;
  Victim->Target = static_cast<uint16_t>(Target);
  Victim->Generation = this->Generations[Target];
  Victim->LastUsedSecond = NowSeconds;
}

void PrefixIndex::add(const PrefixHashes &Prefix, uint32_t Target, Time Now) {
  for (uint32_t I = 0; I < Prefix.Count; ++I) {
    this->put(Prefix.Hashes[I], Target, toStampSeconds(Now));
  }
}

void PrefixIndex::evict(uint32_t Hash, uint32_t Target) {
  Entry *Set = this->findSet(Hash);
  for (uint32_t I = 0; I < Ways; ++I) {
    if (Set[I].Hash == Hash && Set[I].Target == Target) {
      Set[I] = Entry();
    }
  }
}

void PrefixIndex::removeTarget(uint32_t Target) { ++this->Generations[Target]; }

uint32_t PrefixIndex::match(const PrefixHashes &Prefix, Time Now,
                            std::array<PrefixMatch, 8> &Out) const {
  uint32_t Found = 0;
  uint32_t NowSeconds = toStampSeconds(Now);
  for (uint32_t Depth = 0; Depth < Prefix.Count; ++Depth) {
    const Entry *Set = this->findSet(Prefix.Hashes[Depth]);
    for (uint32_t I = 0; I < Ways && Found < Out.size(); ++I) {
      const Entry &E = Set[I];
      bool Live = E.LastUsedSecond != 0 &&
                  E.LastUsedSecond + MaxAgeSeconds > NowSeconds &&
                  E.Generation == this->Generations[E.Target];
      if (!Live || E.Hash != Prefix.Hashes[Depth]) {
        continue;
      }
      bool Known = std::any_of(
          Out.begin(), Out.begin() + Found,
          [&](const PrefixMatch &M) { return M.Target == E.Target; });
      if (!Known) {
        Out[Found++] = PrefixMatch{E.Target, Prefix.tokens(Depth)};
      }
    }
  }
  return Found;
}

} // namespace shallotlatch
