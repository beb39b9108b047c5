#include "bench_policies.h"

#include <algorithm>

namespace shallotlatch {

ImmediatePolicy::ImmediatePolicy(PickRule Rule,
                                 const std::vector<ReportedLoad> &Reports,
                                 uint64_t Seed)
    : Rule(Rule), Reports(Reports), Random(Seed) {}

TargetId ImmediatePolicy::pickTarget() {
  size_t Count = this->Reports.size();
  if (this->Rule == PickRule::RoundRobin) {
    return this->Reports[this->NextIndex++ % Count].Id;
  }
  if (this->Rule == PickRule::LeastReported) {
    auto Least =
        std::min_element(this->Reports.begin(), this->Reports.end(),
                         [](const ReportedLoad &A, const ReportedLoad &B) {
                           return A.Load < B.Load;
                         });
    return Least->Id;
  }
  std::uniform_int_distribution<size_t> Draw(0, Count - 1);
  const ReportedLoad &A = this->Reports[Draw(this->Random)];
  const ReportedLoad &B = this->Reports[Draw(this->Random)];
  return A.Load <= B.Load ? A.Id : B.Id;
}

void ImmediatePolicy::enqueue(Time, HostId Host, const SlotRequest &A, double,
                              PoolReplies &Out) {
  Out.Grants.emplace_back(Host, Grant{A.Id, this->pickTarget()});
}

EscrowPolicy::EscrowPolicy(uint32_t Hosts, const std::vector<TargetSpec> &Specs,
                           const PolicySpec &Policy)
    : Specs(Specs) {
  PolicySpec HostPolicy = Policy;
  HostPolicy.PoolCapacity = std::max<uint32_t>(1, Policy.PoolCapacity / Hosts);
  for (uint32_t Host = 0; Host < Hosts; ++Host) {
    std::vector<TargetSpec> Share = Specs;
    std::vector<const TargetSpec *> Pointers;
    for (size_t I = 0; I < Share.size(); ++I) {
      // The remainder of the division is distributed over the hosts in turn,
      // starting at a different host for each target.
      uint32_t Extra = (Host + I) % Hosts < Share[I].Slots % Hosts ? 1 : 0;
      Share[I].Slots = std::max<uint32_t>(1, Share[I].Slots / Hosts + Extra);
      Pointers.push_back(&Share[I]);
    }
    this->Pools.push_back(
        std::make_unique<Pool>("bench", "engines", HostPolicy));
    this->Pools.back()->configure(Pointers, HostPolicy);
  }
}

void EscrowPolicy::enqueue(Time Now, HostId Host, const SlotRequest &A,
                           double Weight, PoolReplies &Out) {
  this->poolOf(Host).enqueue(Now, Host, A, Weight, Out);
}
void EscrowPolicy::withdraw(Time Now, HostId Host, AskId Id, PoolReplies &Out) {
  this->poolOf(Host).withdraw(Now, Host, Id, Out);
}
void EscrowPolicy::release(Time Now, HostId Host, const Release &R,
                           PoolReplies &Out) {
  this->poolOf(Host).release(Now, Host, R, Out);
}
void EscrowPolicy::recordFirstToken(Time Now, HostId Host, AskId Id,
                                    PoolReplies &Out) {
  this->poolOf(Host).recordFirstToken(Now, Host, Id, Out);
}
void EscrowPolicy::recordProgress(Time Now, const StreamProgress &P) {
  for (auto &HostPool : this->Pools) {
    HostPool->recordProgress(Now, P);
  }
}
void EscrowPolicy::tick(Time Now, PoolReplies &Out) {
  for (auto &HostPool : this->Pools) {
    HostPool->tick(Now, Out);
  }
}

} // namespace shallotlatch
