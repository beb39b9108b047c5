#include "messages_p.h"

#include <algorithm>

namespace shallotlatch {

static constexpr uint32_t BlockBytes = SHALLOTLATCH_CONFIG_PREFIX_BLOCK_BYTES;
static constexpr uint32_t BlockTokens =
    BlockBytes / SHALLOTLATCH_CONFIG_BYTES_PER_TOKEN;
// Number of prefix depths.
static constexpr uint32_t DepthSteps = 6;

// Returns the prefix length in blocks at a depth step. Each step is four times
// the previous one, which keeps the list short for long prompts and still
// distinguishes a shared preamble from a shared document.
static constexpr uint32_t blocksAt(uint32_t Step) { return 2u << (2 * Step); }

uint32_t PrefixHashes::tokens(uint32_t Index) const {
  return blocksAt(this->DeepestStep - Index) * BlockTokens;
}

PrefixHashes hashPrefixes(std::string_view Prompt) {
  PrefixHashes Result;
  uint32_t Deepest = DepthSteps;
  for (uint32_t Step = 0; Step < DepthSteps; ++Step) {
    if (Prompt.size() >= size_t(blocksAt(Step)) * BlockBytes) {
      Deepest = Step;
    }
  }
  if (Deepest == DepthSteps) {
    return Result;
  }
  Result.DeepestStep = static_cast<uint8_t>(Deepest);
  uint32_t Count = std::min<uint32_t>(Deepest + 1, Result.Hashes.size());
  for (uint32_t I = 0; I < Count; ++I) {
    size_t Bytes = size_t(blocksAt(Deepest - I)) * BlockBytes;
    Result.Hashes[I] = static_cast<uint32_t>(hash64(Prompt.substr(0, Bytes)));
  }
  Result.Count = static_cast<uint8_t>(Count);
  return Result;
}

} // namespace shallotlatch
