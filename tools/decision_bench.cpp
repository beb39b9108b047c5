// Measures the time of one decision of a pool: a slot request is enqueued, a
// slot is released, and the pool selects the next slot request and grants it a
// slot.
#include "pool_p.h"

#include <benchmark/benchmark.h>

#include <deque>
#include <string>
#include <vector>

using namespace shallotlatch;

static SlotRequest makeSlotRequest(uint32_t Number) {
  static const std::string Text(20000, 'x');
  SlotRequest A;
  A.Id = AskId{Number};
  A.Customer = CustomerId{Number % 1100 + 1};
  A.Tier = Number % 4;
  A.PromptTokens = 700;
  A.OutputTokens = 200;
  A.Slack = seconds(100000 + Number % 977);
  A.Prefix = hashPrefixes(std::string_view(Text).substr(0, Number % 5000));
  return A;
}

static void decision(benchmark::State &State) {
  std::vector<TargetSpec> Specs(static_cast<size_t>(State.range(0)));
  std::vector<const TargetSpec *> Pointers;
  for (size_t I = 0; I < Specs.size(); ++I) {
    Specs[I].Name = "target-" + std::to_string(I);
    Specs[I].Slots = 8;
    Pointers.push_back(&Specs[I]);
  }
  PolicySpec Policy;
  Policy.PoolCapacity = SHALLOTLATCH_CONFIG_MAX_WAITING;
  Pool P("region", "group", Policy);
  P.configure(Pointers, Policy);
  Time Now{seconds(100)};
  HostId Host{1};
  uint32_t Next = 1;
  PoolReplies Out;
  while (P.stats().Waiting < State.range(1)) {
    P.enqueue(Now, Host, makeSlotRequest(Next++), 1, Out);
  }
  std::deque<AskId> Running;
  for (const auto &G : Out.Grants) {
    Running.push_back(G.second.Id);
  }
  for (auto Step : State) {
    (void)Step;
    Out = PoolReplies();
    P.enqueue(Now, Host, makeSlotRequest(Next++), 1, Out);
    Release R;
    R.Id = Running.front();
    Running.pop_front();
    P.release(Now, Host, R, Out);
    for (const auto &G : Out.Grants) {
      Running.push_back(G.second.Id);
    }
  }
}

BENCHMARK(decision)
    ->Args({7, 100})
    ->Args({70, 100})
    ->Args({70, 1000})
    ->Args({70, 10000})
    ->Args({700, 10000});

BENCHMARK_MAIN();
