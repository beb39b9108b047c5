/// \file
/// Targets of one pool: what each may take, how fast it is, and which one a
/// given ask should go to.
#pragma once

#include "indexed_heap_p.h"
#include "messages_p.h"
#include "prefix_index_p.h"
#include "shallotlatch/model.h"

#include <unordered_map>
#include <vector>

namespace shallotlatch {

using TargetHandle = Handle<struct TargetRowTag>;

/// Readable state of one target.
struct TargetStats {
  TargetId Id;
  std::string Name;
  uint32_t InFlight = 0;
  uint32_t Limit = 0; ///< Requests granted at once, adapted.
  double DecodeUs = 0;
  double PrefillUs = 0;
  bool Leaving = false;
  bool Ejected = false;
};

/// One choice: where to, and what it is expected to cost.
struct Placement {
  TargetHandle Target;
  uint32_t CachedTokens = 0;
  double PrefillUs = 0;          ///< Of the uncached part.
  bool NoPendingPrompts = false; ///< No other prompt was pending there.
};

/// All figures are learned from own dispatches; the configuration's figures
/// are where they start.
class TargetTable {
public:
  explicit TargetTable(const PolicySpec &Policy);

  /// Takes the targets of one pool; known ones keep what was learned.
  void configure(const std::vector<const TargetSpec *> &Specs,
                 const PolicySpec &Policy);
  bool empty() const { return this->LiveCount == 0; }
  /// Any target that is neither leaving nor ejected.
  bool anyUsable() const;
  uint32_t freeSlots() const;

  TargetHandle find(TargetId Id) const;
  TargetId id(TargetHandle H) const { return this->Rows[H.Index].Id; }

  /// Best target with room; an invalid handle: none has room. Long asks use
  /// the lane of the fastest prefills only; \p AvoidLongLane keeps a short ask
  /// off that lane.
  Placement choose(const SlotRequest &A, bool Long, bool AvoidLongLane,
                   Time Now) const;
  /// Least service time of \p A on any usable target.
  Duration minServiceTime(const SlotRequest &A) const;
  /// Cost of \p A in microseconds on a nominal target of the pool.
  double nominalCost(const SlotRequest &A) const;
  /// Requests that all usable targets together may run at once.
  uint32_t totalLimit() const;

  void recordGrant(const Placement &P, const PrefixHashes &Prefix, Time Now);
  /// Counts a request in flight that an earlier owner granted.
  void adopt(TargetHandle H);
  /// The prompt of a granted request is done.
  void recordPrefillDone(const Placement &P);
  /// Ends a granted request; \p Prefilled: its prompt was done.
  void finish(const Placement &P, bool Prefilled, const Release &R, Time Now);
  /// A granted place is given back without news of the target.
  void cancel(const Placement &P, bool Prefilled);
  void observe(const StreamProgress &P);
  void setLeaving(TargetId Id, bool Leaving);
  void evictPrefix(TargetId Id, uint32_t Hash);
  /// Adapts limits, ends ejections and refreshes the choice order.
  void tick(Time Now);

  std::vector<TargetStats> stats() const;

private:
  struct Row {
    TargetId Id;
    std::string Name;
    bool Present = false;
    bool Service = false;
    bool Leaving = false;
    bool LongLane = false;
    uint32_t Slots = 1;
    uint32_t Limit = 1;
    uint32_t InFlight = 0;
    double DecodeUs = 0;         ///< Per token, at the current batch.
    double BestDecodeUs = 0;     ///< Per token, in good times.
    double PrefillUs = 0;        ///< Per token.
    double PendingPrefillUs = 0; ///< Of granted prompts with no token yet.
    Time EjectedUntil;
    bool Probing = false;
    uint32_t Failures = 0; ///< In a row.
    uint32_t SlowReports = 0;
    double Slowness = 1;     ///< Observed over best interval.
    bool HadPrefill = false; ///< Prompts were pending in this window.
    double WindowTokens = 0;
    double WindowUs = 0;
    uint32_t WindowStalled = 0;
    Time WindowStart;
  };

  bool usable(const Row &R) const {
    return R.Present && !R.Leaving && R.Limit > 0;
  }
  double predict(const Row &R, const SlotRequest &A, uint32_t Cached) const;
  double nominalKey(const Row &R) const;
  void refresh(uint32_t Index);
  void eject(Row &R, Duration For, Time Now);
  void adapt(Row &R, double MedianSlowness, Time Now);
  double medianSlowness() const;
  bool hasRoom(const Row &R) const;
  void releaseSlot(const Placement &P, bool Prefilled);
  void assignLongLane();
  void refreshMinimums();
  uint32_t ejectedCount() const;

  PolicySpec Policy;
  std::vector<Row> Rows;
  std::unordered_map<TargetId, uint32_t> Index;
  IndexedHeap<double> LongLaneHeap;
  IndexedHeap<double> OtherHeap;
  PrefixIndex Prefixes;
  uint32_t LiveCount = 0;
  double MinPrefillUs = 0; ///< Per token, over all present targets.
  double MinDecodeUs = 0;
};

} // namespace shallotlatch
