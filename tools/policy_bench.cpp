#include "policy_bench.h"

#include "bench_bound.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <set>

namespace shallotlatch {

static constexpr Duration TickPeriod = millis(50);
static constexpr Duration ReportPeriod = millis(1000);
static constexpr Duration OwnerGap = millis(1200);
static constexpr Duration CrashPause = seconds(1);
static constexpr double SlowFactor = 10;
namespace {

const char *const TierNames[] = {"top", "middle", "low"};

struct Job {
  DrawnRequest Drawn;
  uint32_t PromptTokens = 0;
  uint32_t OutputTokens = 0;
  uint32_t SharedTokens = 0;
  PrefixHashes Prefix;
  uint8_t Tier = 0;
  HostId Host;
  Time Arrived;
  Time Deadline;
  Time SentAt;
  Time FirstAt;
  int Engine = -1;
  uint32_t Tokens = 0;
  uint32_t WindowTokens = 0;
  bool Started = false;
  bool Ended = false;
};

/// One run: events in virtual time.
class Bench {
public:
  explicit Bench(const BenchInit &Init);
  BenchResult run();

private:
  struct Engine {
    EngineInit Init;
    std::unique_ptr<EngineModel> Model;
    bool Stepping = false;
    uint64_t Life = 0;
    double Slowdown = 1;
    Time DownUntil;
  };

  void at(Time When, std::function<void()> Event) {
    this->Queue.emplace(When, std::move(Event));
  }
  void makePolicy();
  void arrive();
  void add(const DrawnRequest &D);
  void apply(PoolReplies &Out);
  void dispatch(uint32_t Id, TargetId Target);
  void kick(uint32_t EngineIndex);
  void step(uint32_t EngineIndex, uint64_t Life);
  void end(uint32_t Id, bool Good, DispatchResult Result);
  void refuse(uint32_t Id);
  void expire(uint32_t Id);
  void crash(uint32_t EngineIndex);
  void report();
  void progress();
  void replaceOwner();
  void countInversion(const Job &Victim);
  double bound() const;
  Release releaseOf(uint32_t Id, DispatchResult Result) const;
  SlotRequest askOf(uint32_t Id) const;

  BenchInit Init;
  RequestMix Requests;
  Time Now;
  Time Stop;
  std::mt19937_64 Random;
  std::multimap<Time, std::function<void()>> Queue;
  std::vector<TargetSpec> Specs;
  std::vector<Engine> Engines;
  std::map<TargetId, uint32_t> EngineIndex;
  std::vector<ReportedLoad> Reports;
  std::unique_ptr<PoolPolicy> Policy;
  bool OwnerGone = false;
  std::vector<Job> Jobs;
  std::set<uint32_t> Open;
  std::set<uint64_t> SeenPrefixes;
  std::map<uint8_t, Time> LatestStart; ///< Latest arrival started, by tier.
  double Rate = 1;
  BenchResult Result;
};

Bench::Bench(const BenchInit &Init)
    : Init(Init), Requests(deploymentMix(Init.Deployment)), Now(seconds(1000)),
      Stop(Now + Init.Length), Random(Init.Seed) {
  std::vector<MixEntry> Models;
  for (const MixEntry &E : this->Requests.Entries) {
    if (!E.Service) {
      Models.push_back(E);
    }
  }
  this->Requests.Entries = Models;
  for (uint32_t I = 0; I < Init.Engines; ++I) {
    Engine E;
    E.Init = engineOf(I);
    E.Model = std::make_unique<EngineModel>(E.Init);
    this->Engines.push_back(std::move(E));
    TargetSpec T;
    T.Name = "engine-" + std::to_string(I);
    T.Slots = this->Engines.back().Init.MaxBatch;
    T.PrefillTokensPerSecond = this->Engines.back().Init.PrefillTokensPerSecond;
    T.DecodeMsPerToken = this->Engines.back().Init.DecodeMs;
    this->Specs.push_back(T);
    this->EngineIndex[targetId(T.Name)] = I;
    this->Reports.push_back(ReportedLoad{targetId(T.Name), 0});
  }
  for (const char *Name : TierNames) {
    this->Result.Tiers.emplace_back();
    this->Result.Tiers.back().Name = Name;
  }
  this->Rate = Init.What.Load * capacityPerSecond(this->Requests, Init.Engines);
  this->makePolicy();
}

void Bench::makePolicy() {
  PolicySpec P;
  P.PoolCapacity = 512;
  P.PrefillPrice = this->Init.PrefillPrice;
  const std::string &Name = this->Init.Policy;
  if (Name == "round-robin" || Name == "least-reported" ||
      Name == "power-of-two") {
    PickRule Rule = Name == "round-robin"      ? PickRule::RoundRobin
                    : Name == "least-reported" ? PickRule::LeastReported
                                               : PickRule::PowerOfTwo;
    this->Policy =
        std::make_unique<ImmediatePolicy>(Rule, this->Reports, this->Init.Seed);
    return;
  }
  if (Name == "escrow") {
    this->Policy =
        std::make_unique<EscrowPolicy>(this->Init.Hosts, this->Specs, P);
    return;
  }
  std::unique_ptr<Pool> Ours = std::make_unique<Pool>("bench", "engines", P);
  std::vector<const TargetSpec *> Pointers;
  for (const TargetSpec &T : this->Specs) {
    Pointers.push_back(&T);
  }
  Ours->configure(Pointers, P);
  this->Policy = std::move(Ours);
}

void Bench::arrive() {
  if (this->Now >= this->Stop) {
    return;
  }
  this->add(drawRequest(this->Requests, this->Random));
  Duration Passed = this->Now - (this->Stop - this->Init.Length);
  bool Bursting = Passed > seconds(40) && Passed < seconds(50);
  double Rate = this->Rate * (Bursting ? this->Init.What.Burst : 1);
  double Gap = std::exponential_distribution<double>(Rate)(this->Random);
  this->at(this->Now + Duration(static_cast<int64_t>(Gap * 1e6)),
           [this]() { this->arrive(); });
}

void Bench::add(const DrawnRequest &D) {
  uint32_t Id = static_cast<uint32_t>(this->Jobs.size());
  const MixEntry &E = this->Requests.Entries[D.Entry];
  const KindRule &Rule = ruleOf(E.Kind);
  Job J;
  J.Drawn = D;
  J.PromptTokens = D.PromptTokens + E.SharedTokens;
  J.OutputTokens = E.OutputTokens;
  J.SharedTokens = cacheable(E.SharedTokens);
  J.Prefix = hashPrefixes(makePrompt(this->Requests, D, std::to_string(Id)));
  J.Tier = Rule.Tier;
  J.Host = HostId{Id % this->Init.Hosts + 1};
  J.Arrived = this->Now;
  J.Deadline = this->Now + Rule.Deadline;
  BenchTier &T = this->Result.Tiers[J.Tier];
  ++T.Offered;
  T.OfferedWork += J.PromptTokens + J.OutputTokens;
  this->Jobs.push_back(J);
  this->Open.insert(Id);
  this->at(J.Deadline, [this, Id]() { this->expire(Id); });
  if (!this->OwnerGone) {
    PoolReplies Out;
    this->Policy->enqueue(this->Now, J.Host, this->askOf(Id), 1, Out);
    this->apply(Out);
  }
}

SlotRequest Bench::askOf(uint32_t Id) const {
  const Job &J = this->Jobs[Id];
  SlotRequest A;
  A.Id = AskId{Id + 1};
  A.Customer = CustomerId{J.Drawn.Customer + 1};
  A.Tier = J.Tier;
  A.PromptTokens = J.PromptTokens;
  A.OutputTokens = J.OutputTokens;
  A.Slack = J.Deadline - this->Now;
  A.Prefix = J.Prefix;
  return A;
}

void Bench::apply(PoolReplies &Out) {
  for (const auto &R : Out.Refusals) {
    this->refuse(R.second.Id.Value - 1);
  }
  for (const auto &G : Out.Grants) {
    this->dispatch(G.second.Id.Value - 1, G.second.Target);
  }
}

void Bench::dispatch(uint32_t Id, TargetId Target) {
  Job &J = this->Jobs[Id];
  if (J.Ended || J.Engine >= 0) {
    return;
  }
  uint32_t I = this->EngineIndex[Target];
  if (this->Engines[I].DownUntil > this->Now) {
    // A refused connection: the place goes back, and the request asks again.
    PoolReplies Out;
    this->Policy->release(this->Now, J.Host,
                          this->releaseOf(Id, DispatchResult::Unsent), Out);
    this->apply(Out);
    this->at(this->Now + millis(20), [this, Id]() {
      if (!this->Jobs[Id].Ended && !this->OwnerGone) {
        PoolReplies Again;
        this->Policy->enqueue(this->Now, this->Jobs[Id].Host, this->askOf(Id),
                              1, Again);
        this->apply(Again);
      }
    });
    return;
  }
  J.Engine = static_cast<int>(I);
  J.SentAt = this->Now;
  uint64_t Key = hashPair(J.Drawn.Entry, J.Drawn.Preamble);
  uint32_t Cached = this->Engines[I].Model->cachedTokenCount(J.Prefix);
  if (!this->SeenPrefixes.insert(Key).second && Cached < J.SharedTokens) {
    this->Result.RecomputedTokens += J.SharedTokens - Cached;
  }
  this->Engines[I].Model->add(Id, J.PromptTokens, J.OutputTokens, J.Prefix);
  this->kick(I);
}

void Bench::kick(uint32_t I) {
  Engine &E = this->Engines[I];
  if (E.Stepping || E.Model->idle()) {
    return;
  }
  E.Stepping = true;
  uint64_t Life = E.Life;
  Duration Length(static_cast<int64_t>(E.Model->beginStep(E.Slowdown)) + 1);
  this->at(this->Now + Length, [this, I, Life]() { this->step(I, Life); });
}

void Bench::step(uint32_t I, uint64_t Life) {
  Engine &E = this->Engines[I];
  if (E.Life != Life) {
    return;
  }
  E.Stepping = false;
  for (const EngineEvent &Event : E.Model->step()) {
    Job &J = this->Jobs[Event.Request];
    ++J.Tokens;
    ++J.WindowTokens;
    if (Event.First) {
      J.FirstAt = this->Now;
      J.Started = true;
      Time &Latest = this->LatestStart[J.Tier];
      Latest = std::max(Latest, J.Arrived);
      this->Result.Tiers[J.Tier].FirstTokenMs.push_back(
          static_cast<double>((this->Now - J.Arrived).count()) / 1000);
      if (!this->OwnerGone) {
        PoolReplies Out;
        this->Policy->recordFirstToken(
            this->Now, J.Host, AskId{static_cast<uint32_t>(Event.Request) + 1},
            Out);
        this->apply(Out);
      }
    }
    if (Event.Last) {
      this->end(static_cast<uint32_t>(Event.Request), true,
                DispatchResult::Done);
    }
  }
  this->kick(I);
}

Release Bench::releaseOf(uint32_t Id, DispatchResult Result) const {
  const Job &J = this->Jobs[Id];
  Release R;
  R.Id = AskId{Id + 1};
  R.Result = Result;
  R.FirstToken = J.Tokens > 0 ? J.FirstAt - J.SentAt : Duration(0);
  R.Total = this->Now - J.SentAt;
  R.OutputTokens = J.Tokens;
  return R;
}

void Bench::end(uint32_t Id, bool Good, DispatchResult Result) {
  Job &J = this->Jobs[Id];
  J.Ended = true;
  this->Open.erase(Id);
  if (Good) {
    BenchTier &T = this->Result.Tiers[J.Tier];
    ++T.Good;
    T.GoodWork += J.PromptTokens + J.OutputTokens;
    // The bound spends the run's own seconds, so only these count against it.
    if (this->Now <= this->Stop) {
      this->Result.GoodWork += J.PromptTokens + J.OutputTokens;
    }
  }
  if (!this->OwnerGone) {
    PoolReplies Out;
    this->Policy->release(this->Now, J.Host, this->releaseOf(Id, Result), Out);
    this->apply(Out);
  }
}

// A later arrival of a lower tier got an engine, and this one got none.
void Bench::countInversion(const Job &Victim) {
  for (uint8_t Tier = Victim.Tier + 1; Tier < 3; ++Tier) {
    auto It = this->LatestStart.find(Tier);
    if (It != this->LatestStart.end() && It->second > Victim.Arrived) {
      ++this->Result.Inversions;
      return;
    }
  }
}

void Bench::refuse(uint32_t Id) {
  Job &J = this->Jobs[Id];
  if (J.Ended) {
    return;
  }
  J.Ended = true;
  this->Open.erase(Id);
  this->countInversion(J);
}

void Bench::expire(uint32_t Id) {
  Job &J = this->Jobs[Id];
  if (J.Ended) {
    return;
  }
  if (!J.Started) {
    this->countInversion(J);
  }
  if (J.Engine >= 0) {
    this->Engines[J.Engine].Model->cancel(Id);
    this->end(Id, false, DispatchResult::Stopped);
    return;
  }
  J.Ended = true;
  this->Open.erase(Id);
  PoolReplies Out;
  this->Policy->withdraw(this->Now, J.Host, AskId{Id + 1}, Out);
  this->apply(Out);
}

void Bench::crash(uint32_t I) {
  Engine &E = this->Engines[I];
  ++E.Life;
  E.Stepping = false;
  E.DownUntil = this->Now + CrashPause;
  for (uint64_t Id : E.Model->crash()) {
    if (!this->Jobs[Id].Ended) {
      this->end(static_cast<uint32_t>(Id), false, DispatchResult::Lost);
    }
  }
}

void Bench::report() {
  std::vector<ReportedLoad> Fresh = this->Reports;
  for (size_t I = 0; I < this->Engines.size(); ++I) {
    Fresh[I].Load =
        this->Engines[I].Model->running() + this->Engines[I].Model->queued();
  }
  this->at(this->Now + this->Init.What.ReportLag,
           [this, Fresh]() { this->Reports = Fresh; });
  this->at(this->Now + ReportPeriod, [this]() { this->report(); });
}

void Bench::progress() {
  std::map<int, StreamProgress> Sums;
  for (uint32_t Id : this->Open) {
    Job &J = this->Jobs[Id];
    if (J.Engine < 0 || J.Tokens == 0) {
      continue;
    }
    StreamProgress &P = Sums[J.Engine];
    P.Target = targetId(this->Specs[J.Engine].Name);
    P.Tokens += J.WindowTokens;
    P.StreamTime += std::min<Duration>(seconds(1), this->Now - J.FirstAt);
    P.StalledStreams += J.WindowTokens == 0 ? 1 : 0;
    J.WindowTokens = 0;
  }
  std::vector<double> Intervals;
  for (const auto &Item : Sums) {
    Intervals.push_back(Item.second.tokenIntervalUs());
  }
  for (const auto &Item : Sums) {
    // As entry hosts do: only what stands out is reported.
    bool Slow = Item.second.StalledStreams > 0 ||
                Item.second.tokenIntervalUs() > 2 * quantileOf(Intervals, 0.49);
    if (Slow) {
      this->Policy->recordProgress(this->Now, Item.second);
    }
  }
  this->at(this->Now + seconds(1), [this]() { this->progress(); });
}

// The new owner starts empty; the entry hosts ask again and list what they
// have in flight.
void Bench::replaceOwner() {
  this->OwnerGone = true;
  this->at(this->Now + OwnerGap, [this]() {
    this->OwnerGone = false;
    if (this->Init.Policy == "ours") {
      this->makePolicy();
    }
    Pool *Owner = dynamic_cast<Pool *>(this->Policy.get());
    PoolReplies Out;
    for (uint32_t Host = 1; Host <= this->Init.Hosts && Owner != nullptr;
         ++Host) {
      EntryStateReport L;
      L.Complete = true;
      for (uint32_t Id : this->Open) {
        const Job &J = this->Jobs[Id];
        if (J.Engine >= 0 && J.Host.Value == Host) {
          L.Held.push_back(
              HeldGrant{AskId{Id + 1}, targetId(this->Specs[J.Engine].Name)});
        }
      }
      Owner->reconcile(this->Now, HostId{Host}, L, Out);
    }
    std::set<uint32_t> Waiting = this->Open;
    for (uint32_t Id : Waiting) {
      if (this->Jobs[Id].Engine < 0) {
        this->Policy->enqueue(this->Now, this->Jobs[Id].Host, this->askOf(Id),
                              1, Out);
      }
    }
    this->apply(Out);
  });
}

double Bench::bound() const {
  std::vector<BoundJob> All;
  for (const Job &J : this->Jobs) {
    EngineWork W;
    W.Prefill = J.PromptTokens - J.SharedTokens;
    W.Output = J.OutputTokens;
    double Work = J.PromptTokens + J.OutputTokens;
    All.push_back(BoundJob{J.Tier, Work, W});
  }
  return boundWork(All, fleetSpeed(this->Init.Engines) *
                            toSeconds(this->Init.Length));
}

BenchResult Bench::run() {
  const Scenario &S = this->Init.What;
  Time Start = this->Now;
  this->at(Start, [this]() { this->arrive(); });
  this->at(Start, [this]() { this->report(); });
  this->at(Start + seconds(1), [this]() { this->progress(); });
  for (Time T = Start; T < this->Stop + seconds(70); T += TickPeriod) {
    this->at(T, [this]() {
      if (!this->OwnerGone) {
        PoolReplies Out;
        this->Policy->tick(this->Now, Out);
        this->apply(Out);
      }
    });
  }
  if (S.SlowEngine) {
    this->at(Start + seconds(30),
             [this]() { this->Engines.back().Slowdown = SlowFactor; });
    this->at(Start + seconds(60),
             [this]() { this->Engines.back().Slowdown = 1; });
  }
  for (uint32_t I = 0; I < S.Deaths; ++I) {
    uint32_t Victim = (I * 5 + 2) % this->Init.Engines;
    this->at(Start + seconds(10 + 12 * I),
             [this, Victim]() { this->crash(Victim); });
  }
  if (S.MonthEnd) {
    for (int I = 0; I < 200; ++I) {
      this->at(Start + seconds(30) + millis(100) * I, [this]() {
        DrawnRequest D;
        D.PromptTokens = 30000;
        this->add(D);
      });
    }
  }
  if (S.OwnerDeath) {
    this->at(Start + seconds(50), [this]() { this->replaceOwner(); });
  }
  Time End = this->Stop + seconds(70);
  while (!this->Queue.empty() && this->Queue.begin()->first <= End) {
    auto First = this->Queue.begin();
    this->Now = First->first;
    std::function<void()> Event = std::move(First->second);
    this->Queue.erase(First);
    Event();
  }
  for (const Engine &E : this->Engines) {
    this->Result.PrefillTokens += E.Model->counts().PrefillTokens;
    this->Result.WastedTokens += E.Model->counts().WastedPrefillTokens;
  }
  this->Result.BoundWork = this->bound();
  return this->Result;
}

} // namespace

BenchResult runBench(const BenchInit &Init) { return Bench(Init).run(); }

} // namespace shallotlatch
