#include "fleet_fake.h"

#include "shallotlatch/builder.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace shallotlatch {

static constexpr int64_t WallStartMs = 1700000000000;
static constexpr Duration TickPeriod = millis(20);

std::string testConfig(uint32_t Revision) {
  ConfigBuilder B;
  B.tier({"urgent", 0.99}).tier({"normal", 0.95}).tier({"routine", 0.9});
  CustomerSpec Large;
  Large.Name = "large";
  Large.Weight = 1 + Revision;
  B.customer(Large, "key-of-large");
  CustomerSpec Small;
  Small.Name = "small";
  B.customer(Small, "key-of-small");
  CustomerSpec Capped;
  Capped.Name = "capped";
  Capped.RatePerSecond = 20;
  B.customer(Capped, "key-of-capped");
  for (const char *Region : {"north", "south"}) {
    for (int I = 0; I < 3; ++I) {
      TargetSpec T;
      T.Name = std::string(Region) + "-" + std::to_string(I);
      T.Type = I < 2 ? TargetType::Engine : TargetType::Service;
      T.Group = I < 2 ? "engines" : "services";
      T.Region = Region;
      T.Domain = std::string(Region) + "-a";
      T.Address = "127.0.0.1:1";
      T.Slots = 4;
      B.target(T);
    }
  }
  for (const char *Tier : {"urgent", "normal", "routine"}) {
    KindSpec K;
    K.Name = std::string("model-") + Tier;
    K.Group = "engines";
    K.Tier = Tier;
    B.kind(K);
  }
  KindSpec Post;
  Post.Name = "post";
  Post.Group = "services";
  Post.Tier = "urgent";
  Post.Idempotent = false;
  Post.RequireKey = true;
  B.kind(Post);
  PolicySpec P;
  P.PoolCapacity = 16;
  P.KeyBuckets = 2;
  P.KeySlotCount = 10;
  P.KeySlotWidth = seconds(10);
  P.LongPromptTokens = 4000;
  B.policy(P);
  return B.print();
}

std::string uuid7(int64_t Ms, uint32_t Number) {
  std::string Date = toHex(static_cast<uint64_t>(Ms)).substr(4);
  return Date.substr(0, 8) + "-" + Date.substr(8) + "-7000-8000-" +
         toHex(Number).substr(4);
}

FleetFake::FleetFake(const FleetInit &Init)
    : Init(Init), Now(seconds(1000)), Random(Init.Seed) {
  nlohmann::json List = nlohmann::json::array();
  this->Hosts.resize(Init.Hosts);
  for (uint32_t I = 0; I < Init.Hosts; ++I) {
    Host &H = this->Hosts[I];
    H.Name = "host-" + std::to_string(I);
    H.Region = Init.Regions[I % Init.Regions.size()];
    this->ByHost[hostId(H.Name)] = I;
    List.push_back({{"name", H.Name},
                    {"region", H.Region},
                    {"domain", H.Region + "-a"},
                    {"peer", "127.0.0.1:" + std::to_string(1000 + I)}});
  }
  StoreRequest Put;
  Put.Kind = StoreRequest::Op::Write;
  Put.Name = "hosts";
  Put.Body = nlohmann::json{{"hosts", List}}.dump();
  this->Platform.call(Put, [](const StoreReply &) {});
  this->apply(Init.ConfigJson.empty() ? testConfig() : Init.ConfigJson);
  for (uint32_t I = 0; I < Init.Hosts; ++I) {
    this->start(I);
  }
}

int64_t FleetFake::wallMs() const {
  return WallStartMs + this->Now.time_since_epoch().count() / 1000;
}

void FleetFake::at(Time When, std::function<void()> Event) {
  this->Queue.emplace(When, std::move(Event));
}

bool FleetFake::chance(double Share) {
  return std::uniform_real_distribution<double>(0, 1)(this->Random) < Share;
}

void FleetFake::note(const std::string &Line) {
  if (this->Init.Transcript) {
    int64_t Ms = (this->Now - Time(seconds(1000))).count() / 1000;
    std::string Stamp = std::to_string(Ms);
    Stamp.insert(0, 7 - std::min<size_t>(Stamp.size(), 7), ' ');
    this->Lines.push_back(Stamp + " ms  " + Line);
  }
}

void FleetFake::onHost(uint32_t Index, uint64_t Run,
                       std::function<void()> Event) {
  Host &H = this->Hosts[Index];
  if (!H.Decisions || H.Runs != Run) {
    return;
  }
  if (H.Paused) {
    H.Held.push_back(std::move(Event));
    return;
  }
  this->enter(Index);
  Event();
  this->flush(Index);
}

void FleetFake::enter(uint32_t Index) {
  this->Hosts[Index].Decisions->setTime(this->Now, WallMillis{this->wallMs()});
}

void FleetFake::start(uint32_t Index) {
  Host &H = this->Hosts[Index];
  if (H.Decisions) {
    return;
  }
  ++H.Runs;
  NodeInit NI;
  NI.Name = H.Name;
  NI.Region = H.Region;
  NI.Run = Incarnation{static_cast<uint64_t>(this->wallMs()) * 1000};
  NI.Seed = hashPair(this->Init.Seed, Index * 1000 + H.Runs);
  NI.Start = this->Now;
  H.Decisions = std::make_unique<Node>(NI);
  H.Paused = false;
  H.Held.clear();
  H.Submissions.clear();
  uint64_t Run = H.Runs;
  // Seeds: a starting host links to the others that are up.
  for (uint32_t Other = 0; Other < this->Hosts.size(); ++Other) {
    if (Other != Index && this->up(Other)) {
      this->onHost(Index, Run, [this, Index, Other]() {
        this->node(Index).onLinkUp(hostId(this->Hosts[Other].Name));
      });
    }
  }
  this->note(H.Name + " starts");
  this->tick(Index, Run);
}

void FleetFake::kill(uint32_t Index) {
  Host &H = this->Hosts[Index];
  if (!H.Decisions) {
    return;
  }
  this->note(H.Name + " dies");
  this->Truth.hostDied(H.Name);
  // Its connections break: engines cancel, and links to it are refused.
  for (auto &Target : this->Running) {
    for (auto It = Target.second.begin(); It != Target.second.end();) {
      bool Mine = this->Submissions[It->first].Host == Index;
      It = Mine ? Target.second.erase(It) : std::next(It);
    }
  }
  H.Decisions.reset();
  H.Held.clear();
  for (uint32_t Other = 0; Other < this->Hosts.size(); ++Other) {
    if (Other != Index && this->up(Other)) {
      this->onHost(Other, this->Hosts[Other].Runs, [this, Other, Index]() {
        this->node(Other).markUnreachable(hostId(this->Hosts[Index].Name));
      });
    }
  }
}

void FleetFake::resume(uint32_t Index) {
  Host &H = this->Hosts[Index];
  H.Paused = false;
  std::vector<std::function<void()>> Held;
  Held.swap(H.Held);
  for (auto &Event : Held) {
    this->onHost(Index, H.Runs, std::move(Event));
  }
}

void FleetFake::cut(uint32_t A, uint32_t B, bool OneWay) {
  this->Cuts.insert({A, B});
  if (!OneWay) {
    this->Cuts.insert({B, A});
  }
}

void FleetFake::tick(uint32_t Index, uint64_t Run) {
  Host &H = this->Hosts[Index];
  if (!H.Decisions || H.Runs != Run) {
    return;
  }
  if (!H.Paused) {
    this->enter(Index);
    H.Decisions->tick();
    this->flush(Index);
    Version V = H.Decisions->documents().stats(DocumentKind::Config).Number;
    this->Truth.inForce(H.Name + "/" + std::to_string(Run), V.Value);
  }
  this->at(this->Now + TickPeriod,
           [this, Index, Run]() { this->tick(Index, Run); });
}

void FleetFake::flush(uint32_t Index) {
  Node &N = *this->Hosts[Index].Decisions;
  std::vector<Command> Commands = N.takeCommands();
  while (!Commands.empty()) {
    for (const Command &C : Commands) {
      this->execute(Index, C);
    }
    Commands = N.takeCommands();
  }
  for (const auto &Item : N.takeOutbox()) {
    auto To = this->ByHost.find(Item.first);
    if (To != this->ByHost.end()) {
      this->deliver(Index, To->second, Item.second);
    }
  }
}

// Every batch goes through the codec, so that the wire form is fuzzed too.
void FleetFake::deliver(uint32_t From, uint32_t To, const PeerBatch &Batch) {
  std::string Frame = encodeFrame(Batch);
  this->Bytes += Frame.size();
  for (const std::string &Line : describe(Batch)) {
    this->note(this->Hosts[From].Name + " -> " + this->Hosts[To].Name + ": " +
               Line);
  }
  bool Cut = this->Cuts.count({From, To}) != 0;
  if (Cut || !this->up(To)) {
    uint64_t FromRun = this->Hosts[From].Runs;
    this->at(this->Now + millis(5), [this, From, FromRun, To]() {
      this->onHost(From, FromRun, [this, From, To]() {
        this->node(From).markUnreachable(hostId(this->Hosts[To].Name));
      });
    });
    return;
  }
  uint32_t Copies = this->chance(this->DropShare) ? 0 : 1;
  Copies += this->chance(this->RepeatShare) ? 1 : 0;
  uint64_t Run = this->Hosts[To].Runs;
  for (uint32_t I = 0; I < Copies; ++I) {
    Duration Extra(static_cast<int64_t>(
        static_cast<double>(this->ExtraDelay.count()) *
        std::uniform_real_distribution<double>(0, 1)(this->Random)));
    this->at(this->Now + this->Init.LinkDelay + Extra, [this, From, To, Run,
                                                        Frame]() {
      this->onHost(To, Run, [this, From, To, Frame]() {
        PeerFrame Decoded = decodeFrame(std::string_view(Frame).substr(4));
        this->node(To).receive(hostId(this->Hosts[From].Name),
                               std::get<PeerBatch>(Decoded));
      });
    });
  }
}

void FleetFake::execute(uint32_t Index, const Command &C) {
  Host &H = this->Hosts[Index];
  if (const DispatchCommand *D = std::get_if<DispatchCommand>(&C)) {
    this->dispatch(Index, *D);
  } else if (const AnswerCommand *A = std::get_if<AnswerCommand>(&C)) {
    auto It = H.Submissions.find(A->Request.Index);
    if (It == H.Submissions.end()) {
      return;
    }
    Submitted &S = this->Submissions[It->second];
    S.Answered = true;
    S.End = A->End;
    S.Answer = A->Answer;
    this->Truth.answered(It->second, A->End);
    this->note(H.Name + " answers submission " + std::to_string(It->second) +
               ": " + name(A->End.Result) + ", " + name(A->End.Why));
    H.Submissions.erase(It);
  } else if (const AbortCommand *B = std::get_if<AbortCommand>(&C)) {
    auto It = H.Submissions.find(B->Request.Index);
    if (It != H.Submissions.end()) {
      this->Running[this->Submissions[It->second].Target].erase(It->second);
    }
  } else if (const PollCommand *P = std::get_if<PollCommand>(&C)) {
    TargetReport Report;
    Report.Reached = true;
    const TargetSpec *T = H.Decisions->config()->target(P->Target);
    Report.Leaving = T != nullptr && this->LeavingTargets.count(T->Name) != 0;
    this->Hosts[Index].Decisions->report(P->Target, Report);
  } else if (const StoreRequest *R = std::get_if<StoreRequest>(&C)) {
    this->callStore(Index, *R);
  }
}

void FleetFake::dispatch(uint32_t Index, const DispatchCommand &C) {
  Host &H = this->Hosts[Index];
  auto It = H.Submissions.find(C.Request.Index);
  const TargetSpec *T = H.Decisions->config()->target(C.Target);
  if (It == H.Submissions.end() || T == nullptr) {
    H.Decisions->onConnectFailed(C.Request);
    return;
  }
  size_t Number = It->second;
  std::string Target = T->Name;
  uint64_t Run = H.Runs;
  RequestHandle Handle = C.Request;
  this->Submissions[Number].Target = Target;
  // Connecting takes a moment; only then do bytes leave.
  this->at(this->Now + millis(1), [this, Index, Run, Handle, Number, Target]() {
    this->onHost(Index, Run, [this, Index, Run, Handle, Number, Target]() {
      Host &Mine = this->Hosts[Index];
      auto Still = Mine.Submissions.find(Handle.Index);
      bool Same = Still != Mine.Submissions.end() && Still->second == Number;
      if (!Same) {
        return;
      }
      if (this->RefusingTargets.count(Target) != 0) {
        Mine.Decisions->onConnectFailed(Handle);
        return;
      }
      if (!Mine.Decisions->beginSend(Handle)) {
        return;
      }
      Submitted &S = this->Submissions[Number];
      ++S.Runs;
      this->Truth.ran(Number);
      this->Ran.push_back(RunRecord{Number, Target, this->Now});
      this->note(Target + " runs submission " + std::to_string(Number));
      this->Running[Target][Number] = [this, Index, Run, Handle,
                                       Number](DispatchResult Result) {
        this->runEnds(Index, Run, Handle, Number, Result);
      };
      bool Poison = this->PoisonBodies.count(S.Request.Body) != 0;
      Duration Length = Poison ? millis(5) : this->Init.RunTime;
      this->at(this->Now + Length, [this, Target, Number, Poison]() {
        auto &Runs = this->Running[Target];
        auto Found = Runs.find(Number);
        if (Found == Runs.end()) {
          return;
        }
        if (Poison) {
          this->crashTarget(Target);
          return;
        }
        auto Ends = Found->second;
        Runs.erase(Found);
        Ends(DispatchResult::Done);
      });
    });
  });
}

void FleetFake::crashTarget(const std::string &Name) {
  this->note(Name + " crashes");
  auto Lost = std::move(this->Running[Name]);
  this->Running[Name].clear();
  for (auto &Item : Lost) {
    Item.second(DispatchResult::Lost);
  }
}

void FleetFake::runEnds(uint32_t Index, uint64_t Run, RequestHandle H,
                        size_t Number, DispatchResult Result) {
  this->onHost(Index, Run, [this, Index, H, Number, Result]() {
    Host &Mine = this->Hosts[Index];
    auto Still = Mine.Submissions.find(H.Index);
    if (Still == Mine.Submissions.end() || Still->second != Number) {
      return;
    }
    DispatchEnd E;
    E.Result = Result;
    if (Result == DispatchResult::Done) {
      Mine.Decisions->onTokens(H, 1);
      E.FinalVerdict = Verdict{Outcome::Completed, Reason::None, Duration(0)};
      E.Answer = "answer to " + this->Submissions[Number].Request.Body;
    } else {
      E.FinalVerdict =
          Verdict{Outcome::MayHaveRun, Reason::TargetLost, Duration(0)};
    }
    Mine.Decisions->onDispatchEnded(H, E);
  });
}

// A watch is answered when something changes; any other call after a delay.
void FleetFake::callStore(uint32_t Index, const StoreRequest &R) {
  uint64_t Run = this->Hosts[Index].Runs;
  auto Reply = [this, Index, Run](const StoreReply &Answer) {
    this->at(this->Now + this->StoreDelay, [this, Index, Run, Answer]() {
      this->onHost(Index, Run, [this, Index, Answer]() {
        this->node(Index).storeReply(Answer);
      });
    });
  };
  this->at(this->Now + this->StoreDelay, [this, R, Reply]() {
    StoreReply Refused;
    Refused.Token = R.Token;
    Refused.Result = StoreReply::Status::Unavailable;
    if (this->StoreOut) {
      Reply(Refused);
      return;
    }
    bool Lose =
        R.Kind == StoreRequest::Op::Write && this->chance(this->StoreLoseShare);
    this->Platform.call(R, [Reply, Lose](const StoreReply &Answer) {
      StoreReply Seen = Answer;
      Seen.Result = Lose ? StoreReply::Status::Unknown : Answer.Result;
      Reply(Seen);
    });
  });
}

void FleetFake::apply(const std::string &Json) {
  StoreRequest Put;
  Put.Kind = StoreRequest::Op::Write;
  Put.Name = "config";
  Put.Expected = this->Platform.peek("config").Number;
  Put.Body = Json;
  this->Platform.call(Put, [](const StoreReply &) {});
}

size_t FleetFake::submit(uint32_t Index, const FakeRequest &R) {
  size_t Number = this->Submissions.size();
  this->Submissions.emplace_back();
  Submitted &S = this->Submissions.back();
  S.Host = Index;
  S.Request = R;
  Host &H = this->Hosts[Index];
  if (!H.Decisions || H.Paused || !H.Decisions->ready()) {
    S.Answered = true;
    return Number;
  }
  Submission Sub;
  Sub.Customer = customerId(R.Customer);
  Sub.Kind = kindId(R.Kind);
  Sub.PromptTokens = R.PromptTokens;
  Sub.OutputTokens = R.OutputTokens;
  Sub.ContentFingerprint = Fingerprint{hash64(R.Body) | 1};
  Sub.BodyHash = hash64(R.Body);
  Sub.Deadline = R.Deadline;
  Sub.Prefix = hashPrefixes(R.Body);
  if (!R.Key.empty()) {
    Sub.HasKey = true;
    Sub.Key = makeKeyName(R.Key, Sub.Customer, Sub.Kind);
    Sub.Key.Date = uuid7Date(R.Key).value_or(WallMillis());
  }
  this->note("caller submits " + std::to_string(Number) + " (" + R.Kind +
             ") at " + H.Name);
  this->Truth.submitted(Number, R.Key, H.Name);
  this->enter(Index);
  S.Handle = H.Decisions->submit(Sub);
  if (!S.Handle.isValid()) {
    S.Answered = true;
    S.End = Verdict{Outcome::NotRun, Reason::HostFull, Duration(0)};
    this->Truth.answered(Number, S.End);
    return Number;
  }
  H.Submissions[S.Handle.Index] = Number;
  this->flush(Index);
  return Number;
}

void FleetFake::cancel(size_t Number) {
  const Submitted &S = this->Submissions[Number];
  uint32_t Index = S.Host;
  RequestHandle Handle = S.Handle;
  if (S.Answered || !this->up(Index)) {
    return;
  }
  this->onHost(Index, this->Hosts[Index].Runs,
               [this, Index, Handle]() { this->node(Index).cancel(Handle); });
}

void FleetFake::advance(Duration Length) {
  Time Until = this->Now + Length;
  while (!this->Queue.empty() && this->Queue.begin()->first <= Until) {
    auto First = this->Queue.begin();
    this->Now = std::max(this->Now, First->first);
    std::function<void()> Event = std::move(First->second);
    this->Queue.erase(First);
    Event();
  }
  this->Now = Until;
}

void FleetFake::settle(Duration Limit) {
  Time Until = this->Now + Limit;
  auto Open = [this]() {
    return std::any_of(
        this->Hosts.begin(), this->Hosts.end(),
        [](const Host &H) { return H.Decisions && !H.Submissions.empty(); });
  };
  while (this->Now < Until && Open()) {
    this->advance(millis(100));
  }
}

const Verdict *FleetFake::verdict(size_t Number) const {
  const Submitted &S = this->Submissions[Number];
  return S.Answered ? &S.End : nullptr;
}

const std::string &FleetFake::answerOf(size_t Number) const {
  return this->Submissions[Number].Answer;
}

uint32_t FleetFake::runsOf(size_t Number) const {
  return this->Submissions[Number].Runs;
}

} // namespace shallotlatch
