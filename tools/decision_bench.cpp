// Measures the time of one decision of a service's scheduler, and of a pool: a
// slot request is enqueued, a slot is released, and the pool selects the next
// slot request and grants it a slot.
#include "place_pool_p.h"
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

// One stream ends and another is placed; the second argument turns on what
// learns the speed of targets.
static void placement(benchmark::State &State) {
  ServiceScheduler Scheduler(true, "north", 1);
  SchedulerFeatures Features;
  Features.PredictWaits = true;
  Features.LearnSpeed = State.range(1) != 0;
  Scheduler.setFeatures(Features);
  Time Now{seconds(100)};
  for (int64_t I = 0; I < State.range(0); ++I) {
    TargetEntry T;
    T.Instance = "target-" + std::to_string(I);
    T.Slots = 8;
    T.Domain = "north";
    Scheduler.setTarget(T, Now);
  }
  std::vector<PlacedRequest> Placed;
  std::vector<PlacementRefusal> Refused;
  std::deque<PlacementId> Running;
  uint64_t Next = 1;
  auto Place = [&] {
    PlacementRequest Request;
    Request.Id = PlacementId{Next++};
    Request.PromptTokens = 700;
    Request.OutputHint = 50 + static_cast<double>(Next * 37 % 800);
    Request.Objective = seconds(1);
    Request.Arrived = Now;
    Request.FirstAttempt = Now;
    Request.Deadline = Now + seconds(15);
    Scheduler.enqueue(Request);
    Placed.clear();
    Scheduler.decide(Now, Placed, Refused);
    for (const PlacedRequest &P : Placed) {
      Running.push_back(P.Id);
    }
  };
  auto End = [&] {
    PlacementId Id = Running.front();
    Running.pop_front();
    Scheduler.started(Id, Now + millis(50));
    Scheduler.progressed(Id, 4, Now + millis(200));
    Scheduler.completed(Id, 12);
    Scheduler.ended(Id, AttemptResult::Served, Now + millis(200));
  };
  for (int64_t I = 0; I < State.range(0) * 4; ++I) {
    Place();
  }
  for (auto Step : State) {
    (void)Step;
    Now += Duration(500);
    End();
    Place();
  }
}

BENCHMARK(placement)->Args({90, 0})->Args({90, 1})->Args({2900, 0})->Args({2900,
                                                                           1});

BENCHMARK(decision)
    ->Args({7, 100})
    ->Args({70, 100})
    ->Args({70, 1000})
    ->Args({70, 10000})
    ->Args({700, 10000});

BENCHMARK_MAIN();
