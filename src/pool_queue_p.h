/// \file
/// Waiting asks of one pool in dispatch order, with bounded capacity.
#pragma once

#include "indexed_heap_p.h"
#include "messages_p.h"

#include <unordered_map>
#include <vector>

namespace shallotlatch {

using AskHandle = Handle<struct QueuedAskTag>;

/// One waiting ask and who holds the request.
struct QueuedAsk {
  Ask Request;
  HostId Host;
  Time Arrived;
  Time LatestStart; ///< After this, its deadline cannot be met.
  bool Long = false;
};

/// Two lines of waiting asks a tier: short and long prompts.
enum class PromptLength : uint8_t { Short, Long };

/// Strict order by tier. Within a tier customers get weighted fair shares of
/// estimated cost, in rounds; within a round the least slack goes first.
class PoolQueue {
public:
  explicit PoolQueue(uint32_t Capacity);

  bool full() const { return this->Free.empty(); }
  uint32_t size() const { return this->Count; }
  uint32_t size(TierRank Tier) const { return this->Tiers[Tier].Count; }
  /// Cost, in microseconds of a nominal target, waiting at ranks up to \p Tier.
  double costAhead(TierRank Tier) const;

  /// Adds an ask; the queue must not be full.
  AskHandle push(const QueuedAsk &Entry, double Cost, double Weight);
  /// Removes an ask that is being dispatched; its tier's virtual time advances.
  void removeForDispatch(AskHandle H);
  /// Removes an ask that is shed, withdrawn or expired.
  void remove(AskHandle H);
  const QueuedAsk &get(AskHandle H) const { return this->Table[H.Index].Ask; }
  AskHandle find(HostId Host, AskId Id) const;

  /// Next in line at \p Tier; invalid: none waits there.
  AskHandle head(TierRank Tier, PromptLength Which) const;
  /// Of two heads of one tier, the one whose turn comes first.
  bool dispatchesBefore(AskHandle A, AskHandle B) const;
  /// Lowest-ranked tier with anything waiting, or a negative number.
  int lowestWaiting() const;
  /// The ask to shed first at \p Tier: the newest.
  AskHandle newest(TierRank Tier) const;
  /// An ask whose latest start is before \p Now; invalid: none.
  AskHandle findExpired(Time Now) const;
  /// Calls \p Each with every waiting ask's handle.
  template <typename Fn> void forEach(Fn Each) const {
    for (const auto &Item : this->Index) {
      Each(Item.second);
    }
  }

private:
  /// Dispatch order within one line.
  struct Order {
    uint64_t Round = 0;
    int64_t LatestStart = 0;
    uint64_t Serial = 0;
    friend bool operator<(const Order &A, const Order &B) {
      if (A.Round != B.Round) {
        return A.Round < B.Round;
      }
      if (A.LatestStart != B.LatestStart) {
        return A.LatestStart < B.LatestStart;
      }
      return A.Serial < B.Serial;
    }
  };

  struct Slot {
    QueuedAsk Ask;
    Order DispatchOrder;
    double Cost = 0;
    double VirtualStart = 0;
    uint32_t Older = UINT32_MAX;
    uint32_t Newer = UINT32_MAX;
  };

  struct Tier {
    explicit Tier(uint32_t Capacity) : Short(Capacity), Long(Capacity) {}
    IndexedHeap<Order> Short;
    IndexedHeap<Order> Long;
    uint32_t Oldest = UINT32_MAX;
    uint32_t Newest = UINT32_MAX;
    uint32_t Count = 0;
    double Cost = 0;
    double VirtualTime = 0;
    std::unordered_map<CustomerId, double> LastFinish;
  };

  struct AskKeyHash {
    size_t operator()(const std::pair<uint64_t, uint32_t> &K) const {
      return hashPair(K.first, K.second);
    }
  };

  Order computeOrder(Tier &T, const QueuedAsk &Entry, double Cost,
                     double Weight, double &VirtualStart);
  void linkNewest(Tier &T, uint32_t Index);
  void unlink(Tier &T, uint32_t Index);

  std::vector<Slot> Table;
  std::vector<uint32_t> Free;
  std::vector<Tier> Tiers;
  IndexedHeap<int64_t> ByLatestStart;
  std::unordered_map<std::pair<uint64_t, uint32_t>, AskHandle, AskKeyHash>
      Index;
  uint32_t Count = 0;
  uint64_t NextSerial = 1;
};

} // namespace shallotlatch
