#include "policy_bench_p.h"

#include "bench_bound.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <set>

namespace shallotlatch {

static const char *const TierNames[] = {"top", "middle", "low"};

// Interval between ticks of the policy.
static constexpr Duration TickPeriod = millis(50);
// Interval between load reports of the engines.
static constexpr Duration ReportPeriod = millis(1000);
// Time without a pool owner after the owner fails.
static constexpr Duration OwnerFailoverTime = millis(1200);
// Time for which a crashed engine refuses connections.
static constexpr Duration EngineRestartTime = seconds(1);
// Factor by which the steps of the slow engine take longer.
static constexpr double SlowEngineFactor = 10;
PolicyBench::PolicyBench(const BenchInit &Init)
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
    E.Init = makeEngineInit(I);
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
  this->RequestsPerSecond =
      Init.SelectedScenario.LoadFactor *
      capacityRequestsPerSecond(this->Requests, Init.Engines);
  this->makePolicy();
}

void PolicyBench::makePolicy() {
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
  std::unique_ptr<Pool> OwnPool = std::make_unique<Pool>("bench", "engines", P);
  std::vector<const TargetSpec *> Pointers;
  for (const TargetSpec &T : this->Specs) {
    Pointers.push_back(&T);
  }
  OwnPool->configure(Pointers, P);
  this->Policy = std::move(OwnPool);
}

void PolicyBench::generateArrival() {
  if (this->Now >= this->Stop) {
    return;
  }
  this->addRequest(drawRequest(this->Requests, this->Random));
  Duration Passed = this->Now - (this->Stop - this->Init.Length);
  bool Bursting = Passed > seconds(40) && Passed < seconds(50);
  double RequestsPerSecond =
      this->RequestsPerSecond *
      (Bursting ? this->Init.SelectedScenario.BurstFactor : 1);
  double IntervalSeconds =
      std::exponential_distribution<double>(RequestsPerSecond)(this->Random);
  this->schedule(this->Now +
                     Duration(static_cast<int64_t>(IntervalSeconds * 1e6)),
                 [this]() { this->generateArrival(); });
}

void PolicyBench::addRequest(const DrawnRequest &D) {
  uint32_t Id = static_cast<uint32_t>(this->SimulatedRequests.size());
  const MixEntry &E = this->Requests.Entries[D.Entry];
  const KindRule &Rule = findKindRule(E.Kind);
  SimulatedRequest Request;
  Request.Drawn = D;
  Request.PromptTokens = D.PromptTokens + E.SharedTokens;
  Request.OutputTokens = E.OutputTokens;
  Request.SharedTokens = cacheableTokens(E.SharedTokens);
  Request.Prefix =
      hashPrefixes(makePrompt(this->Requests, D, std::to_string(Id)));
  Request.Tier = Rule.Tier;
  Request.Host = HostId{Id % this->Init.Hosts + 1};
  Request.Arrived = this->Now;
  Request.Deadline = this->Now + Rule.Deadline;
  TierResult &T = this->Result.Tiers[Request.Tier];
  ++T.Offered;
  T.OfferedWork += Request.PromptTokens + Request.OutputTokens;
  this->SimulatedRequests.push_back(Request);
  this->OpenRequests.insert(Id);
  this->schedule(Request.Deadline, [this, Id]() { this->expireRequest(Id); });
  if (!this->OwnerAbsent) {
    PoolReplies Out;
    this->Policy->enqueue(this->Now, Request.Host, this->makeSlotRequest(Id), 1,
                          Out);
    this->applyReplies(Out);
  }
}

SlotRequest PolicyBench::makeSlotRequest(uint32_t Id) const {
  const SimulatedRequest &Request = this->SimulatedRequests[Id];
  SlotRequest A;
  A.Id = AskId{Id + 1};
  A.Customer = CustomerId{Request.Drawn.Customer + 1};
  A.Tier = Request.Tier;
  A.PromptTokens = Request.PromptTokens;
  A.OutputTokens = Request.OutputTokens;
  A.Slack = Request.Deadline - this->Now;
  A.Prefix = Request.Prefix;
  return A;
}

void PolicyBench::applyReplies(PoolReplies &Out) {
  for (const auto &R : Out.Refusals) {
    this->refuseRequest(R.second.Id.Value - 1);
  }
  for (const auto &G : Out.Grants) {
    this->dispatch(G.second.Id.Value - 1, G.second.Target);
  }
}

void PolicyBench::dispatch(uint32_t Id, TargetId Target) {
  SimulatedRequest &Request = this->SimulatedRequests[Id];
  if (Request.Ended || Request.Engine >= 0) {
    return;
  }
  uint32_t I = this->EngineIndex[Target];
  if (this->Engines[I].DownUntil > this->Now) {
    // The engine refuses the connection. The entry host releases the slot and
    // requests a slot again after 20 ms.
    PoolReplies Out;
    this->Policy->release(this->Now, Request.Host,
                          this->makeRelease(Id, DispatchResult::Unsent), Out);
    this->applyReplies(Out);
    this->schedule(this->Now + millis(20), [this, Id]() {
      if (!this->SimulatedRequests[Id].Ended && !this->OwnerAbsent) {
        PoolReplies Again;
        this->Policy->enqueue(this->Now, this->SimulatedRequests[Id].Host,
                              this->makeSlotRequest(Id), 1, Again);
        this->applyReplies(Again);
      }
    });
    return;
  }
  Request.Engine = static_cast<int>(I);
  Request.SentAt = this->Now;
  uint64_t Key = hashPair(Request.Drawn.Entry, Request.Drawn.Preamble);
  uint32_t Cached = this->Engines[I].Model->cachedTokenCount(Request.Prefix);
  if (!this->SeenPrefixes.insert(Key).second && Cached < Request.SharedTokens) {
    this->Result.RecomputedTokens += Request.SharedTokens - Cached;
  }
  this->Engines[I].Model->add(Id, Request.PromptTokens, Request.OutputTokens,
                              Request.Prefix);
  this->startStep(I);
}

void PolicyBench::startStep(uint32_t I) {
  Engine &E = this->Engines[I];
  if (E.Stepping || E.Model->idle()) {
    return;
  }
  E.Stepping = true;
  uint64_t RestartCount = E.RestartCount;
  Duration Length(static_cast<int64_t>(E.Model->beginStep(E.Slowdown)) + 1);
  this->schedule(this->Now + Length, [this, I, RestartCount]() {
    this->finishStep(I, RestartCount);
  });
}

void PolicyBench::finishStep(uint32_t I, uint64_t RestartCount) {
  Engine &E = this->Engines[I];
  if (E.RestartCount != RestartCount) {
    return;
  }
  E.Stepping = false;
  for (const EngineEvent &Event : E.Model->step()) {
    SimulatedRequest &Request = this->SimulatedRequests[Event.Request];
    ++Request.Tokens;
    ++Request.TokensSinceReport;
    if (Event.First) {
      Request.FirstTokenAt = this->Now;
      Request.Started = true;
      Time &Latest = this->LatestStart[Request.Tier];
      Latest = std::max(Latest, Request.Arrived);
      this->Result.Tiers[Request.Tier].FirstTokenMs.push_back(
          static_cast<double>((this->Now - Request.Arrived).count()) / 1000);
      if (!this->OwnerAbsent) {
        PoolReplies Out;
        this->Policy->recordFirstToken(
            this->Now, Request.Host,
            AskId{static_cast<uint32_t>(Event.Request) + 1}, Out);
        this->applyReplies(Out);
      }
    }
    if (Event.Last) {
      this->finishRequest(static_cast<uint32_t>(Event.Request), true,
                          DispatchResult::Done);
    }
  }
  this->startStep(I);
}

Release PolicyBench::makeRelease(uint32_t Id, DispatchResult Result) const {
  const SimulatedRequest &Request = this->SimulatedRequests[Id];
  Release R;
  R.Id = AskId{Id + 1};
  R.Result = Result;
  R.FirstToken =
      Request.Tokens > 0 ? Request.FirstTokenAt - Request.SentAt : Duration(0);
  R.Total = this->Now - Request.SentAt;
  R.OutputTokens = Request.Tokens;
  return R;
}

void PolicyBench::finishRequest(uint32_t Id, bool Good, DispatchResult Result) {
  SimulatedRequest &Request = this->SimulatedRequests[Id];
  Request.Ended = true;
  this->OpenRequests.erase(Id);
  if (Good) {
    TierResult &T = this->Result.Tiers[Request.Tier];
    ++T.Good;
    T.GoodWork += Request.PromptTokens + Request.OutputTokens;
    // The upper bound covers only the time until the arrivals stop, so only
    // work completed within that time is compared with it.
    if (this->Now <= this->Stop) {
      this->Result.GoodWork += Request.PromptTokens + Request.OutputTokens;
    }
  }
  if (!this->OwnerAbsent) {
    PoolReplies Out;
    this->Policy->release(this->Now, Request.Host,
                          this->makeRelease(Id, Result), Out);
    this->applyReplies(Out);
  }
}

// Counts an inversion if a request of a lower tier that arrived later than
// \p Request got a first token. \p Request itself got none.
void PolicyBench::countInversion(const SimulatedRequest &Request) {
  for (uint8_t Tier = Request.Tier + 1; Tier < 3; ++Tier) {
    auto It = this->LatestStart.find(Tier);
    if (It != this->LatestStart.end() && It->second > Request.Arrived) {
      ++this->Result.PriorityInversions;
      return;
    }
  }
}

void PolicyBench::refuseRequest(uint32_t Id) {
  SimulatedRequest &Request = this->SimulatedRequests[Id];
  if (Request.Ended) {
    return;
  }
  Request.Ended = true;
  this->OpenRequests.erase(Id);
  this->countInversion(Request);
}

void PolicyBench::expireRequest(uint32_t Id) {
  SimulatedRequest &Request = this->SimulatedRequests[Id];
  if (Request.Ended) {
    return;
  }
  if (!Request.Started) {
    this->countInversion(Request);
  }
  if (Request.Engine >= 0) {
    this->Engines[Request.Engine].Model->cancel(Id);
    this->finishRequest(Id, false, DispatchResult::Stopped);
    return;
  }
  Request.Ended = true;
  this->OpenRequests.erase(Id);
  PoolReplies Out;
  this->Policy->withdraw(this->Now, Request.Host, AskId{Id + 1}, Out);
  this->applyReplies(Out);
}

void PolicyBench::crashEngine(uint32_t I) {
  Engine &E = this->Engines[I];
  ++E.RestartCount;
  E.Stepping = false;
  E.DownUntil = this->Now + EngineRestartTime;
  for (uint64_t Id : E.Model->crash()) {
    if (!this->SimulatedRequests[Id].Ended) {
      this->finishRequest(static_cast<uint32_t>(Id), false,
                          DispatchResult::Lost);
    }
  }
}

void PolicyBench::sampleLoads() {
  std::vector<ReportedLoad> NewReports = this->Reports;
  for (size_t I = 0; I < this->Engines.size(); ++I) {
    NewReports[I].Load =
        this->Engines[I].Model->running() + this->Engines[I].Model->queued();
  }
  this->schedule(this->Now + this->Init.SelectedScenario.ReportLag,
                 [this, NewReports]() { this->Reports = NewReports; });
  this->schedule(this->Now + ReportPeriod, [this]() { this->sampleLoads(); });
}

void PolicyBench::reportProgress() {
  std::map<int, StreamProgress> Sums;
  for (uint32_t Id : this->OpenRequests) {
    SimulatedRequest &Request = this->SimulatedRequests[Id];
    if (Request.Engine < 0 || Request.Tokens == 0) {
      continue;
    }
    StreamProgress &P = Sums[Request.Engine];
    P.Target = targetId(this->Specs[Request.Engine].Name);
    P.Tokens += Request.TokensSinceReport;
    P.StreamTime +=
        std::min<Duration>(seconds(1), this->Now - Request.FirstTokenAt);
    P.StalledStreams += Request.TokensSinceReport == 0 ? 1 : 0;
    Request.TokensSinceReport = 0;
  }
  std::vector<double> Intervals;
  for (const auto &Item : Sums) {
    Intervals.push_back(Item.second.tokenIntervalUs());
  }
  for (const auto &Item : Sums) {
    // As in the entry hosts, only engines with stalled streams or with more
    // than twice the median token interval (quantile 0.49) are reported.
    bool Slow =
        Item.second.StalledStreams > 0 ||
        Item.second.tokenIntervalUs() > 2 * computeQuantile(Intervals, 0.49);
    if (Slow) {
      this->Policy->recordProgress(this->Now, Item.second);
    }
  }
  this->schedule(this->Now + seconds(1), [this]() { this->reportProgress(); });
}

// The new owner starts without state. The entry hosts report the grants that
// they hold and send their waiting slot requests again.
void PolicyBench::replaceOwner() {
  this->OwnerAbsent = true;
  this->schedule(this->Now + OwnerFailoverTime, [this]() {
    this->OwnerAbsent = false;
    if (this->Init.Policy == "ours") {
      this->makePolicy();
    }
    Pool *Owner = dynamic_cast<Pool *>(this->Policy.get());
    PoolReplies Out;
    for (uint32_t Host = 1; Host <= this->Init.Hosts && Owner != nullptr;
         ++Host) {
      EntryStateReport L;
      L.Complete = true;
      for (uint32_t Id : this->OpenRequests) {
        const SimulatedRequest &Request = this->SimulatedRequests[Id];
        if (Request.Engine >= 0 && Request.Host.Value == Host) {
          L.Held.push_back(HeldGrant{
              AskId{Id + 1}, targetId(this->Specs[Request.Engine].Name)});
        }
      }
      Owner->reconcile(this->Now, HostId{Host}, L, Out);
    }
    std::set<uint32_t> Waiting = this->OpenRequests;
    for (uint32_t Id : Waiting) {
      if (this->SimulatedRequests[Id].Engine < 0) {
        this->Policy->enqueue(this->Now, this->SimulatedRequests[Id].Host,
                              this->makeSlotRequest(Id), 1, Out);
      }
    }
    this->applyReplies(Out);
  });
}

double PolicyBench::computeUpperBound() const {
  std::vector<BoundRequest> All;
  for (const SimulatedRequest &Request : this->SimulatedRequests) {
    EngineWork W;
    W.PrefillTokens = Request.PromptTokens - Request.SharedTokens;
    W.OutputTokens = Request.OutputTokens;
    double Work = Request.PromptTokens + Request.OutputTokens;
    All.push_back(BoundRequest{Request.Tier, Work, W});
  }
  return upperBoundWork(All, totalEngineSpeed(this->Init.Engines) *
                                 toSeconds(this->Init.Length));
}

BenchResult PolicyBench::run() {
  const Scenario &S = this->Init.SelectedScenario;
  Time Start = this->Now;
  this->schedule(Start, [this]() { this->generateArrival(); });
  this->schedule(Start, [this]() { this->sampleLoads(); });
  this->schedule(Start + seconds(1), [this]() { this->reportProgress(); });
  for (Time T = Start; T < this->Stop + seconds(70); T += TickPeriod) {
    this->schedule(T, [this]() {
      if (!this->OwnerAbsent) {
        PoolReplies Out;
        this->Policy->tick(this->Now, Out);
        this->applyReplies(Out);
      }
    });
  }
  if (S.SlowEngine) {
    this->schedule(Start + seconds(30), [this]() {
      this->Engines.back().Slowdown = SlowEngineFactor;
    });
    this->schedule(Start + seconds(60),
                   [this]() { this->Engines.back().Slowdown = 1; });
  }
  for (uint32_t I = 0; I < S.EngineCrashes; ++I) {
    uint32_t CrashedEngine = (I * 5 + 2) % this->Init.Engines;
    this->schedule(Start + seconds(10 + 12 * I), [this, CrashedEngine]() {
      this->crashEngine(CrashedEngine);
    });
  }
  if (S.LongPromptSurge) {
    for (int I = 0; I < 200; ++I) {
      this->schedule(Start + seconds(30) + millis(100) * I, [this]() {
        DrawnRequest D;
        D.PromptTokens = 30000;
        this->addRequest(D);
      });
    }
  }
  if (S.ReplaceOwner) {
    this->schedule(Start + seconds(50), [this]() { this->replaceOwner(); });
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
  this->Result.UpperBoundWork = this->computeUpperBound();
  return this->Result;
}

BenchResult runBench(const BenchInit &Init) { return PolicyBench(Init).run(); }

} // namespace shallotlatch
