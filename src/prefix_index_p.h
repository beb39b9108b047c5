/// \file
/// Index of the prompt prefixes that targets probably have cached.
#pragma once

#include "messages_p.h"

#include <array>
#include <vector>

namespace shallotlatch {

/// A target and the length of the prompt prefix that it probably has cached.
struct PrefixMatch {
  uint32_t Target = 0; ///< Index in the pool's target table.
  uint32_t Tokens = 0; ///< Length of the cached prefix.
};

/// Set-associative table of fixed size. Entries are hints: they expire, and all
/// entries of a target are invalidated at once when the target fails, because
/// a restarted target has an empty cache.
class PrefixIndex {
public:
  explicit PrefixIndex(uint32_t Entries, uint32_t MaxTargets);

  /// Records that \p Target has these prefixes cached or will soon have them.
  void add(const PrefixHashes &Prefix, uint32_t Target, Time Now);
  /// Removes one prefix of a target after the target reported its eviction.
  void evict(uint32_t Hash, uint32_t Target);
  /// Invalidates all entries of a target.
  void removeTarget(uint32_t Target);
  /// Fills \p Out with the deepest match of each target and returns their
  /// number.
  uint32_t match(const PrefixHashes &Prefix, Time Now,
                 std::array<PrefixMatch, 8> &Out) const;
  size_t memoryBytes() const { return this->Table.size() * sizeof(Entry); }

private:
  static constexpr uint32_t Ways = 8; ///< Entries per set.

  struct Entry {
    uint32_t Hash = 0;
    uint16_t Target = 0;
    uint16_t Generation = 0;     ///< Target's generation when it was recorded.
    uint32_t LastUsedSecond = 0; ///< Time of the last use; zero: empty.
  };

  Entry *findSet(uint32_t Hash);
  const Entry *findSet(uint32_t Hash) const;
  /// Inserts or refreshes an entry; a full set loses its least recently used
  /// entry.
  void put(uint32_t Hash, uint32_t Target, uint32_t NowSeconds);

  std::vector<Entry> Table;
  /// Current generation by target; entries of earlier generations are invalid.
  std::vector<uint16_t> Generations;
  uint32_t SetCount;
};

} // namespace shallotlatch
