#include "memory_budget_p.h"

#include <algorithm>

namespace shallotlatch {

// Memory of the process itself: program, log and control data. HARD-LOAD.md
// allows 64 MB for control work; an idle process takes 8 MB.
static constexpr uint64_t MinOwnBytes = uint64_t{20} << 20;
static constexpr uint64_t MaxOwnBytes = uint64_t{64} << 20;
static constexpr uint64_t OwnDivisor = 4;
// Part of the remaining memory that is handed out, in percent. The rest allows
// for the allocator's overhead and for copies while a buffer grows.
static constexpr uint64_t UsablePercent = 60;
// A request with the largest body (4 MiB) and answer (8 MiB) is always served.
static constexpr uint64_t MinLimitBytes = uint64_t{14} << 20;
// Excess over the limit, as a part of it, at which new requests are refused and
// callers are ended although they wait for this host.
static constexpr uint64_t HardExcessDivisor = 8;
// Connections below this size are not closed for their slowness: that would
// free little.
static constexpr uint64_t MinSlowBytes = 64 * 1024;
// Callers that read within this time are not slow, however much they hold.
static constexpr Duration MinSlowWait = millis(100);
// Added to the time without progress, so that among callers that have just
// read, the one that holds most is chosen.
static constexpr Duration WaitOffset = millis(10);

uint64_t memoryForCallers(uint32_t MemoryMb) {
  uint64_t Bytes = uint64_t{MemoryMb} << 20;
  uint64_t Own = std::clamp(Bytes / OwnDivisor, MinOwnBytes, MaxOwnBytes);
  uint64_t Left = Bytes > Own ? Bytes - Own : 0;
  return std::max(MinLimitBytes, Left * UsablePercent / 100);
}

void MemoryBudget::set(MemoryHolderId Holder, const HeldMemory &Held) {
  HeldMemory &Current = this->Holders[Holder];
  this->HolderBytes += Held.Bytes - Current.Bytes;
  Current = Held;
}

void MemoryBudget::remove(MemoryHolderId Holder) {
  auto It = this->Holders.find(Holder);
  if (It != this->Holders.end()) {
    this->HolderBytes -= It->second.Bytes;
    this->Holders.erase(It);
  }
}

void MemoryBudget::addShared(int64_t Bytes) { this->SharedBytes += Bytes; }

uint64_t MemoryBudget::held() const {
  return this->HolderBytes +
         static_cast<uint64_t>(std::max<int64_t>(0, this->SharedBytes));
}

bool MemoryBudget::admits() const {
  return this->held() <=
         this->Init.LimitBytes + this->Init.LimitBytes / HardExcessDivisor;
}

std::optional<MemoryHolderId> MemoryBudget::chooseToEnd(Time Now) const {
  if (!this->isShort()) {
    return std::nullopt;
  }
  bool Hard = !this->admits();
  std::optional<MemoryHolderId> Slowest;
  std::optional<MemoryHolderId> Largest;
  double SlowestScore = 0;
  uint64_t LargestBytes = 0;
  for (const auto &Item : this->Holders) {
    const HeldMemory &H = Item.second;
    if (H.Bytes > LargestBytes) {
      Largest = Item.first;
      LargestBytes = H.Bytes;
    }
    if (!H.WaitsForCaller || H.Bytes < MinSlowBytes) {
      continue;
    }
    Duration Wait = std::max(Duration(0), Now - H.WaitingSince);
    double Score = static_cast<double>(H.Bytes) * toSeconds(Wait + WaitOffset);
    if (Wait < MinSlowWait && !Hard) {
      continue;
    }
    if (Score > SlowestScore) {
      Slowest = Item.first;
      SlowestScore = Score;
    }
  }
  if (Slowest) {
    return Slowest;
  }
  return Hard ? Largest : std::nullopt;
}

} // namespace shallotlatch
