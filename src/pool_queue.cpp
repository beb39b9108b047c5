#include "pool_queue_p.h"

#include <algorithm>

namespace shallotlatch {

// Width of a fair-share round in estimated cost. Asks within a round are
// ordered by slack, so a wider round favours slack over fair shares.
static constexpr double RoundCostUs = 500000;
// Number of customers in a tier's fair-share state above which the whole state
// is cleared.
static constexpr size_t MaxRememberedCustomers = 4096;

PoolQueue::PoolQueue(uint32_t Capacity)
    : Table(Capacity), ByLatestStart(Capacity) {
  this->Tiers.reserve(SHALLOTLATCH_CONFIG_MAX_TIERS);
  for (int I = 0; I < SHALLOTLATCH_CONFIG_MAX_TIERS; ++I) {
    this->Tiers.emplace_back(Capacity);
  }
  for (uint32_t I = Capacity; I > 0; --I) {
    this->Free.push_back(I - 1);
  }
  this->Index.reserve(Capacity);
}

double PoolQueue::costAhead(TierRank Rank) const {
  double Sum = 0;
  for (int I = 0; I <= Rank; ++I) {
    Sum += this->Tiers[I].Cost;
  }
  return Sum;
}

// Start-time fair queueing: the virtual start of an ask is the virtual finish
// of its customer's previous ask, but not before the tier's virtual time.
PoolQueue::Order PoolQueue::computeOrder(Tier &T, const QueuedAsk &Entry,
                                         double Cost, double Weight,
                                         double &VirtualStart) {
  if (T.LastFinish.size() > MaxRememberedCustomers) {
    T.LastFinish.clear();
  }
  double &LastFinish = T.LastFinish[Entry.Request.Customer];
  VirtualStart = std::max(T.VirtualTime, LastFinish);
  LastFinish = VirtualStart + Cost / Weight;
  Order O;
  O.Round = static_cast<uint64_t>(VirtualStart / RoundCostUs);
  O.LatestStart = Entry.LatestStart.time_since_epoch().count();
  O.Serial = this->NextSerial++;
  return O;
}

AskHandle PoolQueue::push(const QueuedAsk &Entry, double Cost, double Weight) {
  uint32_t I = this->Free.back();
  this->Free.pop_back();
  Tier &T = this->Tiers[Entry.Request.Tier];
  Slot &S = this->Table[I];
  S.Ask = Entry;
  S.Cost = Cost;
  S.DispatchOrder = this->computeOrder(T, Entry, Cost, Weight, S.VirtualStart);
  (Entry.Long ? T.Long : T.Short).set(I, S.DispatchOrder);
  this->linkNewest(T, I);
  T.Cost += Cost;
  this->ByLatestStart.set(I, S.DispatchOrder.LatestStart);
  this->Index[{Entry.Host.Value, Entry.Request.Id.Value}] = AskHandle{I};
  ++this->Count;
  return AskHandle{I};
}

void PoolQueue::linkNewest(Tier &T, uint32_t I) {
  Slot &S = this->Table[I];
  S.Older = T.Newest;
  S.Newer = UINT32_MAX;
  if (T.Newest != UINT32_MAX) {
    this->Table[T.Newest].Newer = I;
  } else {
    T.Oldest = I;
  }
  T.Newest = I;
  ++T.Count;
}

void PoolQueue::unlink(Tier &T, uint32_t I) {
  Slot &S = this->Table[I];
  (S.Older != UINT32_MAX ? this->Table[S.Older].Newer : T.Oldest) = S.Newer;
  (S.Newer != UINT32_MAX ? this->Table[S.Newer].Older : T.Newest) = S.Older;
  --T.Count;
}

void PoolQueue::removeForDispatch(AskHandle H) {
  const Slot &S = this->Table[H.Index];
  Tier &T = this->Tiers[S.Ask.Request.Tier];
  T.VirtualTime = std::max(T.VirtualTime, S.VirtualStart);
  this->remove(H);
}

void PoolQueue::remove(AskHandle H) {
  Slot &S = this->Table[H.Index];
  Tier &T = this->Tiers[S.Ask.Request.Tier];
  (S.Ask.Long ? T.Long : T.Short).remove(H.Index);
  this->unlink(T, H.Index);
  T.Cost = T.Count == 0 ? 0 : T.Cost - S.Cost;
  this->ByLatestStart.remove(H.Index);
  this->Index.erase({S.Ask.Host.Value, S.Ask.Request.Id.Value});
  this->Free.push_back(H.Index);
  --this->Count;
}

AskHandle PoolQueue::find(HostId Host, AskId Id) const {
  auto It = this->Index.find({Host.Value, Id.Value});
  return It == this->Index.end() ? AskHandle() : It->second;
}

AskHandle PoolQueue::head(TierRank Rank, PromptLength Which) const {
  const Tier &T = this->Tiers[Rank];
  const IndexedHeap<Order> &Heap =
      Which == PromptLength::Long ? T.Long : T.Short;
  return Heap.empty() ? AskHandle() : AskHandle{Heap.top()};
}

bool PoolQueue::dispatchesBefore(AskHandle A, AskHandle B) const {
  return this->Table[A.Index].DispatchOrder <
         this->Table[B.Index].DispatchOrder;
}

int PoolQueue::lowestWaiting() const {
  for (int I = SHALLOTLATCH_CONFIG_MAX_TIERS - 1; I >= 0; --I) {
    if (this->Tiers[I].Count > 0) {
      return I;
    }
  }
  return -1;
}

AskHandle PoolQueue::newest(TierRank Rank) const {
  return AskHandle{this->Tiers[Rank].Newest};
}

AskHandle PoolQueue::findExpired(Time Now) const {
  if (this->ByLatestStart.empty() ||
      this->ByLatestStart.topKey() >= Now.time_since_epoch().count()) {
    return AskHandle();
  }
  return AskHandle{this->ByLatestStart.top()};
}

} // namespace shallotlatch
