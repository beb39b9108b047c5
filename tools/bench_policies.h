/// \file
/// Baseline schedulers for the policy bench. They implement PoolPolicy, the
/// same interface as the pool of the daemon.
#pragma once

#include "pool_p.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace shallotlatch {

/// The last load report of one engine, which is all that a baseline scheduler
/// knows about it.
struct ReportedLoad {
  TargetId Id;
  uint32_t Load = 0; ///< Running and queued requests at the time of the report.
};

/// Rule by which ImmediatePolicy selects an engine.
enum class PickRule : uint8_t { RoundRobin, LeastReported, PowerOfTwo };

/// Grants a target to every request immediately, without a queue. It models
/// entry hosts that act independently of each other.
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

/// Splits the slots of every target among the entry hosts. Each host has a
/// queue for its own share of the slots (escrow, as in section 4.2 of the
/// related paper).
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
