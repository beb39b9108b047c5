/// \file
/// Targets of one pool: how many requests each may run, how fast it is, and
/// which target a request should go to.
#pragma once

#include "indexed_heap_p.h"
#include "messages_p.h"
#include "prefix_index_p.h"
#include "shallotlatch/model.h"

#include <unordered_map>
#include <vector>

namespace shallotlatch {

using TargetHandle = Handle<struct TargetRowTag>;

/// State of one target for operators.
struct TargetStats {
  TargetId Id;
  std::string Name;
  uint32_t InFlight = 0; ///< Requests granted and not ended.
  uint32_t Limit = 0;    ///< Requests that may be in flight now.
  double DecodeUs = 0;   ///< Learned decode time per token, in microseconds.
  double PrefillUs = 0;  ///< Learned prefill time per token, in microseconds.
  bool Leaving = false;  ///< The target gets no new requests.
  bool Ejected = false;  ///< The target gets no requests for a while.
};

/// The target chosen for one request and the expected cost there.
struct Placement {
  TargetHandle Target;
  uint32_t CachedTokens = 0; ///< Prompt tokens in the target's prefix cache.
  /// Prefill time of the uncached prompt tokens, in microseconds.
  double PrefillUs = 0;
  bool NoPendingPrompts = false; ///< No other prompt waited at the target.
};

/// State of the targets of one pool. The speeds start at the configured values
/// and are then learned from the requests that this pool's owner granted.
class TargetTable {
public:
  explicit TargetTable(const PolicySpec &Policy);

  /// Sets the targets of the pool; known targets keep what was learned of them.
  void configure(const std::vector<const TargetSpec *> &Specs,
                 const PolicySpec &Policy);
  bool empty() const { return this->LiveCount == 0; }
  /// Whether any target is neither leaving nor ejected.
  bool anyUsable() const;
  /// Number of requests that all usable targets together may start now.
  uint32_t freeSlots() const;

  /// Returns the handle of a target; invalid if the target is not known.
  TargetHandle find(TargetId Id) const;
  TargetId id(TargetHandle H) const { return this->Rows[H.Index].Id; }

  /// Chooses the target with the lowest predicted cost among the first of each
  /// lane and those that have cached a prefix of the prompt. The handle is
  /// invalid if none of them has capacity. A long prompt (\p Long) goes only to
  /// the long lane, the targets with the fastest prefill; \p AvoidLongLane
  /// keeps a short prompt off that lane.
  Placement choose(const SlotRequest &A, bool Long, bool AvoidLongLane,
                   Time Now) const;
  /// Lower bound of the service time of \p A on any engine of the pool.
  Duration minServiceTime(const SlotRequest &A) const;
  /// Cost of \p A in microseconds at the lowest times per token of the pool,
  /// with no prompt token cached; at least 1000.
  double nominalCost(const SlotRequest &A) const;
  /// Number of requests that all usable targets together may run at once.
  uint32_t totalLimit() const;

  /// Counts a granted request, whose prompt then waits at the target.
  void recordGrant(const Placement &P, const PrefixHashes &Prefix, Time Now);
  /// Counts a request in flight that a former owner of the pool granted.
  void adopt(TargetHandle H);
  /// Records that the prefill of a granted request is done.
  void recordPrefillDone(const Placement &P);
  /// Ends a granted request and learns from its result. \p Prefilled: its
  /// prefill was done.
  void finish(const Placement &P, bool Prefilled, const Release &R, Time Now);
  /// Ends a granted request without learning anything about the target.
  void cancel(const Placement &P, bool Prefilled);
  /// Adds what the streams of an entry host measured to the current window.
  void observe(const StreamProgress &P);
  /// A leaving target gets no new requests.
  void setLeaving(TargetId Id, bool Leaving);
  /// Removes one prefix from those that the target is taken to have cached.
  void evictPrefix(TargetId Id, uint32_t Hash);
  /// Adapts limits, ends ejections and updates the order of the targets.
  void tick(Time Now);

  std::vector<TargetStats> stats() const;

private:
  /// State of one target. Times per token are in microseconds.
  struct Row {
    TargetId Id;
    std::string Name;
    bool Present = false;  ///< The configuration lists the target.
    bool Service = false;  ///< The target is no language model engine.
    bool Leaving = false;  ///< The target gets no new requests.
    bool LongLane = false; ///< The target gets the long prompts.
    uint32_t Slots = 1;    ///< Configured number of requests in flight.
    uint32_t Limit = 1;    ///< Requests that may be in flight now; 0: ejected.
    uint32_t InFlight = 0; ///< Requests granted and not ended.
    double DecodeUs = 0; ///< Decode time per token, at the current batch size.
    double BestDecodeUs = 0; ///< Lowest decode time per token, smoothed.
    double PrefillUs = 0;    ///< Prefill time per token.
    /// Prefill time of the granted prompts that have no first token yet.
    double PendingPrefillUs = 0;
    Time EjectedUntil;
    bool Probing = false;  ///< One request tests the target after an ejection.
    uint32_t Failures = 0; ///< Lost or unsent requests in a row.
    /// Number of windows in a row in which the target was slow.
    uint32_t SlowReports = 0;
    double Slowness = 1;        ///< Observed over best decode time per token.
    bool HadPrefill = false;    ///< Prompts waited during this window.
    double WindowTokens = 0;    ///< Tokens received in this window.
    double WindowUs = 0;        ///< Stream time of these tokens.
    uint32_t WindowStalled = 0; ///< Streams reported to have got no token.
    Time WindowStart;
  };

  /// Whether the target is neither leaving nor ejected.
  bool usable(const Row &R) const {
    return R.Present && !R.Leaving && R.Limit > 0;
  }
  /// Predicted cost of \p A, in microseconds.
  double predict(const Row &R, const SlotRequest &A, uint32_t Cached) const;
  /// Key of a target in the heaps: the cost in microseconds of a request of
  /// nominal size, or the share of the slots in use if it is no engine.
  double nominalKey(const Row &R) const;
  /// Updates the target's place in its heap.
  void refresh(uint32_t Index);
  /// Gives the target no requests for \p Period.
  void eject(Row &R, Duration Period, Time Now);
  /// Learns from the window that ends now and starts the next one.
  void adapt(Row &R, double MedianSlowness, Time Now);
  /// Median slowness of the targets that are not ejected; at least 1.
  double medianSlowness() const;
  /// Whether the target may get one more request now.
  bool hasRoom(const Row &R) const;
  /// Uncounts a request in flight, and its prompt unless its prefill was done.
  void releaseSlot(const Placement &P, bool Prefilled);
  /// Chooses the targets of the long lane and rebuilds the heaps.
  void assignLongLane();
  /// Updates `MinPrefillUs` and `MinDecodeUs`.
  void refreshMinimums();
  uint32_t ejectedCount() const;

  PolicySpec Policy;
  std::vector<Row> Rows;
  std::unordered_map<TargetId, uint32_t> Index; ///< Indices of the rows.
  IndexedHeap<double> LongLaneHeap;
  IndexedHeap<double> OtherHeap; ///< Targets outside the long lane.
  PrefixIndex Prefixes;
  uint32_t LiveCount = 0;  ///< Number of configured targets.
  double MinPrefillUs = 0; ///< Lowest prefill time per token of an engine.
  double MinDecodeUs = 0;  ///< Lowest decode time per token of an engine.
};

} // namespace shallotlatch
