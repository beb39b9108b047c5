/// \file
/// Budget of the bytes and connections that a host holds for callers and
/// targets.
#pragma once

#include "shallotlatch/types.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace shallotlatch {

/// Identifies a caller's connection in the budget.
using MemoryHolderId = Id<struct MemoryHolderTag, uint64_t>;

struct MemoryBudgetInit {
  /// Bytes above which the connections of callers are closed.
  uint64_t LimitBytes = uint64_t{1} << 40;
  /// Limit on connections of callers and to targets together.
  uint32_t MaxConnections = 1U << 20;
};

/// Returns the bytes that a host with \p MemoryMb MiB can hold for callers and
/// targets.
uint64_t memoryForCallers(uint32_t MemoryMb);

/// What is held for one caller's connection.
struct HeldMemory {
  uint64_t Bytes = 0;
  /// The caller has to read or to send before this host can go on.
  bool WaitsForCaller = false;
  /// Time at which the caller last read, or began to send.
  Time WaitingSince;
};

/// Decides whose memory is released when callers read slowly, or not at all,
/// send large bodies in bursts or long heads slowly. It performs no I/O.
class MemoryBudget {
public:
  explicit MemoryBudget(const MemoryBudgetInit &Init) : Init(Init) {}

  /// Replaces what is held for \p Holder.
  void set(MemoryHolderId Holder, const HeldMemory &Held);
  void remove(MemoryHolderId Holder);
  /// Changes the bytes that belong to no caller, such as those of connections
  /// to targets.
  void addShared(int64_t Bytes);
  void addConnection() { ++this->Connections; }
  void removeConnection() { --this->Connections; }
  bool hasFreeConnection() const {
    return this->Connections < this->Init.MaxConnections;
  }
  /// Whether more is held than the limit.
  bool isShort() const { return this->held() > this->Init.LimitBytes; }
  /// Whether a new request may be taken.
  bool admits() const;
  /// Returns whose memory is to be released next; none if the budget suffices.
  std::optional<MemoryHolderId> chooseToEnd(Time Now) const;
  uint64_t held() const;
  uint64_t limit() const { return this->Init.LimitBytes; }
  uint32_t connections() const { return this->Connections; }

private:
  MemoryBudgetInit Init;
  std::unordered_map<MemoryHolderId, HeldMemory> Holders;
  uint64_t HolderBytes = 0;
  int64_t SharedBytes = 0;
  uint32_t Connections = 0;
};

} // namespace shallotlatch
