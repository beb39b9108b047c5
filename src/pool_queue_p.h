/// \file
/// Queue of one pool's waiting asks in dispatch order, with bounded capacity.
#pragma once

#include "indexed_heap_p.h"
#include "messages_p.h"

#include <unordered_map>
#include <vector>

namespace shallotlatch {

using AskHandle = Handle<struct QueuedAskTag>;

/// One waiting ask and the entry host that holds the request.
struct QueuedAsk {
  SlotRequest Request;
  HostId Host;       ///< Entry host that sent the ask.
  Time Arrived;      ///< Time at which the owner received the ask.
  Time LatestStart;  ///< A later start cannot meet the request's deadline.
  bool Long = false; ///< The prompt is long, by the policy's LongPromptTokens.
};

/// Prompt class of an ask. Each tier queues short and long prompts separately.
enum class PromptLength : uint8_t { Short, Long };

/// Priority queue of asks. Tiers have strict priority. Within a tier, customers
/// get weighted fair shares of estimated cost, in rounds; within a round the
/// ask with the least slack is first.
class PoolQueue {
public:
  explicit PoolQueue(uint32_t Capacity);

  bool full() const { return this->Free.empty(); }
  uint32_t size() const { return this->Count; }
  uint32_t size(TierRank Tier) const { return this->Tiers[Tier].Count; }
  /// Returns the total cost of the asks that wait at ranks up to \p Tier, in
  /// microseconds of a nominal target.
  double costAhead(TierRank Tier) const;

  /// Adds an ask; the queue must not be full. \p Cost is in microseconds of a
  /// nominal target, \p Weight is the customer's fair-share weight.
  AskHandle push(const QueuedAsk &Entry, double Cost, double Weight);
  /// Removes an ask that is dispatched and advances its tier's virtual time.
  void removeForDispatch(AskHandle H);
  /// Removes an ask that is shed, withdrawn or expired.
  void remove(AskHandle H);
  const QueuedAsk &get(AskHandle H) const { return this->Table[H.Index].Ask; }
  /// Returns an invalid handle if no such ask waits.
  AskHandle find(HostId Host, AskId Id) const;

  /// Returns the next ask to dispatch at \p Tier; invalid if none waits there.
  AskHandle head(TierRank Tier, PromptLength Which) const;
  /// Returns whether \p A is dispatched before \p B; both are heads of one
  /// tier.
  bool dispatchesBefore(AskHandle A, AskHandle B) const;
  /// Returns the rank of the lowest tier with a waiting ask, or a negative
  /// number if the queue is empty.
  int lowestWaiting() const;
  /// Returns the newest ask of \p Tier, which is the first to shed.
  AskHandle newest(TierRank Tier) const;
  /// Returns an ask whose latest start is before \p Now; invalid if none is.
  AskHandle findExpired(Time Now) const;
  /// Calls \p Each with the handle of every waiting ask.
  template <typename Fn> void forEach(Fn Each) const {
    for (const auto &Item : this->Index) {
      Each(Item.second);
    }
  }

private:
  /// Sort key for dispatch within one tier.
  struct Order {
    uint64_t Round = 0;      ///< Fair-share round.
    int64_t LatestStart = 0; ///< In microseconds.
    uint64_t Serial = 0;     ///< Arrival number, which breaks ties.
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
    double Cost = 0;             ///< In microseconds of a nominal target.
    double VirtualStart = 0;     ///< Start in the tier's virtual time.
    uint32_t Older = UINT32_MAX; ///< Next older ask of the tier.
    uint32_t Newer = UINT32_MAX; ///< Next newer ask of the tier.
  };

  struct Tier {
    explicit Tier(uint32_t Capacity) : Short(Capacity), Long(Capacity) {}
    IndexedHeap<Order> Short;
    IndexedHeap<Order> Long;
    uint32_t Oldest = UINT32_MAX; ///< Tail of the list by arrival.
    uint32_t Newest = UINT32_MAX; ///< Head of the list by arrival.
    uint32_t Count = 0;           ///< Waiting asks.
    double Cost = 0;              ///< Total cost of the waiting asks.
    double VirtualTime = 0;       ///< Largest virtual start dispatched.
    /// Virtual finish of each customer's last ask.
    std::unordered_map<CustomerId, double> LastFinish;
  };

  struct AskKeyHash {
    size_t operator()(const std::pair<uint64_t, uint32_t> &K) const {
      return hashPair(K.first, K.second);
    }
  };

  /// Returns the sort key of a new ask and stores its virtual start.
  Order computeOrder(Tier &T, const QueuedAsk &Entry, double Cost,
                     double Weight, double &VirtualStart);
  /// Appends a table slot to the tier's list by arrival.
  void linkNewest(Tier &T, uint32_t Index);
  void unlink(Tier &T, uint32_t Index);

  std::vector<Slot> Table;
  std::vector<uint32_t> Free; ///< Indexes of unused slots.
  std::vector<Tier> Tiers;
  IndexedHeap<int64_t> ByLatestStart;
  /// Waiting asks by entry host and ask id.
  std::unordered_map<std::pair<uint64_t, uint32_t>, AskHandle, AskKeyHash>
      Index;
  uint32_t Count = 0;
  uint64_t NextSerial = 1;
};

} // namespace shallotlatch
