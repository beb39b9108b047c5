/// \file
/// Which target probably has which prompt prefix cached.
#pragma once

#include "messages_p.h"

#include <array>
#include <vector>

namespace shallotlatch {

/// A target and how much of a prompt it probably has cached.
struct PrefixMatch {
  uint32_t Target = 0; ///< Index in the pool's target table.
  uint32_t Tokens = 0;
};

/// Set-associative table of fixed size. Entries are hints: they age, and a
/// target's entries are dropped at once when it restarts.
class PrefixIndex {
public:
  explicit PrefixIndex(uint32_t Entries, uint32_t MaxTargets);

  /// Notes that \p Target has, or will soon have, these prefixes.
  void add(const PrefixHashes &Prefix, uint32_t Target, Time Now);
  /// Drops one prefix of a target, as told by a cache event.
  void evict(uint32_t Hash, uint32_t Target);
  /// Drops all that is known of a target.
  void removeTarget(uint32_t Target);
  /// Fills \p Out with the deepest match per target; returns how many.
  uint32_t match(const PrefixHashes &Prefix, Time Now,
                 std::array<PrefixMatch, 8> &Out) const;
  size_t memoryBytes() const { return this->Table.size() * sizeof(Entry); }

private:
  static constexpr uint32_t Ways = 8;

  struct Entry {
    uint32_t Hash = 0;
    uint16_t Target = 0;
    uint16_t Generation = 0;
    uint32_t LastUsedSecond = 0; ///< When it was last used; zero: empty.
  };

  Entry *findSet(uint32_t Hash);
  const Entry *findSet(uint32_t Hash) const;
  void put(uint32_t Hash, uint32_t Target, uint32_t LastUsedSecond);

  std::vector<Entry> Table;
  std::vector<uint16_t> Generations;
  uint32_t SetCount;
};

} // namespace shallotlatch
