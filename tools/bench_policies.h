/// \file
/// Baseline schedulers for the policy bench, behind the same interface as the
/// product's pool.
#pragma once

#include "pool_p.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace shallotlatch {

/// What a baseline knows of one engine: its last report.
struct ReportedLoad {
  TargetId Id;
  uint32_t Load = 0; ///< Running and queued, when the report was made.
};

/// How a baseline that sends at once picks an engine.
enum class PickRule : uint8_t { RoundRobin, LeastReported, PowerOfTwo };

/// Sends every request at once; entry hosts act on their own.
class ImmediatePolicy : public PoolPolicy {
public:
  ImmediatePolicy(PickRule Rule, const std::vector<ReportedLoad> &Reports,
                  uint64_t Seed);
  void enqueue(Time Now, HostId Host, const SlotRequest &A, double Weight,
               PoolReplies &Out) override;
  void withdraw(Time, HostId, AskId, PoolReplies &) override {}
  void release(Time, HostId, const Release &, PoolReplies &) override {}
  void recordFirstToken(Time, HostId, AskId, PoolReplies &) override {}
  void recordProgress(Time, const StreamProgress &) override {}
  void tick(Time, PoolReplies &) override {}

private:
  TargetId pickTarget();

  PickRule Rule;
  const std::vector<ReportedLoad> &Reports;
  std::mt19937_64 Random;
  size_t NextIndex = 0;
};

/// Splits every target's slots among the entry hosts; each host queues for its
/// own share (escrow, after the related paper's section 4.2).
class EscrowPolicy : public PoolPolicy {
public:
  EscrowPolicy(uint32_t Hosts, const std::vector<TargetSpec> &Specs,
               const PolicySpec &Policy);
  void enqueue(Time Now, HostId Host, const SlotRequest &A, double Weight,
               PoolReplies &Out) override;
  void withdraw(Time Now, HostId Host, AskId Id, PoolReplies &Out) override;
  void release(Time Now, HostId Host, const Release &R,
               PoolReplies &Out) override;
  void recordFirstToken(Time Now, HostId Host, AskId Id,
                        PoolReplies &Out) override;
  void recordProgress(Time Now, const StreamProgress &P) override;
  void tick(Time Now, PoolReplies &Out) override;

private:
  Pool &poolOf(HostId Host) { return *this->Pools[Host.Value - 1]; }

  std::vector<TargetSpec> Specs;
  std::vector<std::unique_ptr<Pool>> Pools;
};

} // namespace shallotlatch
