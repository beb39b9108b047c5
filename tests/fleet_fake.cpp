#include "fleet_fake.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace shallotlatch {

static constexpr int64_t WallStartMs = 1700000000000;
static constexpr Duration TickPeriod = millis(20);

FleetFake::FleetFake(const FleetInit &Init)
    : Init(Init), Now(seconds(1000)), Random(Init.Seed) {
  nlohmann::json List = nlohmann::json::array();
  this->Hosts.resize(Init.Hosts);
  for (uint32_t I = 0; I < Init.Hosts; ++I) {
    Host &H = this->Hosts[I];
    H.Name = "host-" + std::to_string(I);
    H.Region = Init.Regions[I % Init.Regions.size()];
    this->HostIndexes[hostId(H.Name)] = I;
    List.push_back({{"name", H.Name},
                    {"region", H.Region},
                    {"domain", H.Region + "-a"},
                    {"peer", "127.0.0.1:" + std::to_string(1000 + I)}});
  }
  StoreRequest Put;
  Put.Kind = StoreRequest::Op::Write;
  Put.Name = "hosts";
  Put.Body = nlohmann::json{{"hosts", List}}.dump();
  this->MemoryStore.call(Put, [](const StoreReply &) {});
  this->apply(Init.ConfigJson.empty() ? testConfig() : Init.ConfigJson);
  for (uint32_t I = 0; I < Init.Hosts; ++I) {
    this->start(I);
  }
}

int64_t FleetFake::wallMs() const {
  return WallStartMs + this->Now.time_since_epoch().count() / 1000;
}

void FleetFake::scheduleAt(Time When, std::function<void()> Event) {
  this->EventQueue.emplace(When, std::move(Event));
}

bool FleetFake::chance(double Share) {
  return std::uniform_real_distribution<double>(0, 1)(this->Random) < Share;
}

void FleetFake::addTranscriptLine(const std::string &Line) {
  if (this->Init.Transcript) {
    int64_t Ms = (this->Now - Time(seconds(1000))).count() / 1000;
    std::string Stamp = std::to_string(Ms);
    Stamp.insert(0, 7 - std::min<size_t>(Stamp.size(), 7), ' ');
    this->TranscriptLines.push_back(Stamp + " ms  " + Line);
  }
}

void FleetFake::runOnHost(uint32_t Index, uint64_t StartNumber,
                          std::function<void()> Event) {
  Host &H = this->Hosts[Index];
  if (!H.HostNode || H.StartCount != StartNumber) {
    return;
  }
  if (H.Paused) {
    H.DeferredEvents.push_back(std::move(Event));
    return;
  }
  this->updateNodeTime(Index);
  Event();
  this->executeCommands(Index);
}

void FleetFake::updateNodeTime(uint32_t Index) {
  this->Hosts[Index].HostNode->setTime(this->Now, WallMillis{this->wallMs()});
}

void FleetFake::start(uint32_t Index) {
  Host &H = this->Hosts[Index];
  if (H.HostNode) {
    return;
  }
  ++H.StartCount;
  NodeInit NI;
  NI.Name = H.Name;
  NI.Region = H.Region;
  NI.Run = Incarnation{static_cast<uint64_t>(this->wallMs()) * 1000};
  NI.Seed = hashPair(this->Init.Seed, Index * 1000 + H.StartCount);
  NI.Start = this->Now;
  H.HostNode = std::make_unique<Node>(NI);
  H.Paused = false;
  H.DeferredEvents.clear();
  H.Submissions.clear();
  uint64_t StartNumber = H.StartCount;
  // A starting host opens links to all other hosts that are up.
  for (uint32_t Other = 0; Other < this->Hosts.size(); ++Other) {
    if (Other != Index && this->isUp(Other)) {
      this->runOnHost(Index, StartNumber, [this, Index, Other]() {
        this->node(Index).onLinkUp(hostId(this->Hosts[Other].Name));
      });
    }
  }
  this->addTranscriptLine(H.Name + " starts");
  this->tick(Index, StartNumber);
}

void FleetFake::kill(uint32_t Index) {
  Host &H = this->Hosts[Index];
  if (!H.HostNode) {
    return;
  }
  this->addTranscriptLine(H.Name + " dies");
  this->SafetyOracle.recordHostDeath(H.Name);
  // The connections of a dead host break: targets cancel its requests, and
  // other hosts cannot connect to it.
  for (auto &Target : this->RunsInProgress) {
    for (auto It = Target.second.begin(); It != Target.second.end();) {
      bool SentByHost = this->Submissions[It->first].Host == Index;
      It = SentByHost ? Target.second.erase(It) : std::next(It);
    }
  }
  H.HostNode.reset();
  H.DeferredEvents.clear();
  for (uint32_t Other = 0; Other < this->Hosts.size(); ++Other) {
    if (Other != Index && this->isUp(Other)) {
      this->runOnHost(
          Other, this->Hosts[Other].StartCount, [this, Other, Index]() {
            this->node(Other).markUnreachable(hostId(this->Hosts[Index].Name));
          });
    }
  }
}

void FleetFake::resume(uint32_t Index) {
  Host &H = this->Hosts[Index];
  H.Paused = false;
  std::vector<std::function<void()>> DeferredEvents;
  DeferredEvents.swap(H.DeferredEvents);
  for (auto &Event : DeferredEvents) {
    this->runOnHost(Index, H.StartCount, std::move(Event));
  }
}

void FleetFake::cutLink(uint32_t A, uint32_t B, bool OneWay) {
  this->CutLinks.insert({A, B});
  if (!OneWay) {
    this->CutLinks.insert({B, A});
  }
}

void FleetFake::tick(uint32_t Index, uint64_t StartNumber) {
  Host &H = this->Hosts[Index];
  if (!H.HostNode || H.StartCount != StartNumber) {
    return;
  }
  if (!H.Paused) {
    this->updateNodeTime(Index);
    H.HostNode->tick();
    this->executeCommands(Index);
    Version V = H.HostNode->documents().stats(DocumentKind::Config).Number;
    this->SafetyOracle.recordConfigVersion(
        H.Name + "/" + std::to_string(StartNumber), V.Value);
  }
  this->scheduleAt(this->Now + TickPeriod, [this, Index, StartNumber]() {
    this->tick(Index, StartNumber);
  });
}

void FleetFake::executeCommands(uint32_t Index) {
  Node &N = *this->Hosts[Index].HostNode;
  std::vector<Command> Commands = N.takeCommands();
  while (!Commands.empty()) {
    for (const Command &C : Commands) {
      this->execute(Index, C);
    }
    Commands = N.takeCommands();
  }
  for (const auto &Item : N.takeOutbox()) {
    auto To = this->HostIndexes.find(Item.first);
    if (To != this->HostIndexes.end()) {
      this->deliver(Index, To->second, Item.second);
    }
  }
}

// Every batch is encoded and decoded, so that the codec is fuzzed too.
void FleetFake::deliver(uint32_t From, uint32_t To, const PeerBatch &Batch) {
  std::string Frame = encodeFrame(Batch);
  this->SentBytes += Frame.size();
  for (const std::string &Line : describe(Batch)) {
    this->addTranscriptLine(this->Hosts[From].Name + " -> " +
                            this->Hosts[To].Name + ": " + Line);
  }
  bool Cut = this->CutLinks.count({From, To}) != 0;
  if (Cut || !this->isUp(To)) {
    uint64_t FromStart = this->Hosts[From].StartCount;
    this->scheduleAt(this->Now + millis(5), [this, From, FromStart, To]() {
      this->runOnHost(From, FromStart, [this, From, To]() {
        this->node(From).markUnreachable(hostId(this->Hosts[To].Name));
      });
    });
    return;
  }
  uint32_t Copies = this->chance(this->DropShare) ? 0 : 1;
  Copies += this->chance(this->DuplicateShare) ? 1 : 0;
  uint64_t StartNumber = this->Hosts[To].StartCount;
  for (uint32_t I = 0; I < Copies; ++I) {
    Duration Extra(static_cast<int64_t>(
        static_cast<double>(this->ExtraDelay.count()) *
        std::uniform_real_distribution<double>(0, 1)(this->Random)));
    this->scheduleAt(
        this->Now + this->Init.LinkDelay + Extra,
        [this, From, To, StartNumber, Frame]() {
          this->runOnHost(To, StartNumber, [this, From, To, Frame]() {
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
    this->SafetyOracle.recordVerdict(It->second, A->End);
    this->addTranscriptLine(H.Name + " answers submission " +
                            std::to_string(It->second) + ": " +
                            name(A->End.Result) + ", " + name(A->End.Why));
    H.Submissions.erase(It);
  } else if (const AbortCommand *B = std::get_if<AbortCommand>(&C)) {
    auto It = H.Submissions.find(B->Request.Index);
    if (It != H.Submissions.end()) {
      this->RunsInProgress[this->Submissions[It->second].Target].erase(
          It->second);
    }
  } else if (const PollCommand *P = std::get_if<PollCommand>(&C)) {
    TargetReport Report;
    Report.Reached = true;
    const TargetSpec *T = H.HostNode->config()->target(P->Target);
    Report.Leaving = T != nullptr && this->LeavingTargets.count(T->Name) != 0;
    this->Hosts[Index].HostNode->report(P->Target, Report);
  } else if (const StoreRequest *R = std::get_if<StoreRequest>(&C)) {
    this->callStore(Index, *R);
  }
}

void FleetFake::dispatch(uint32_t Index, const DispatchCommand &C) {
  Host &H = this->Hosts[Index];
  auto It = H.Submissions.find(C.Request.Index);
  const TargetSpec *T = H.HostNode->config()->target(C.Target);
  if (It == H.Submissions.end() || T == nullptr) {
    H.HostNode->onConnectFailed(C.Request);
    return;
  }
  size_t Number = It->second;
  std::string Target = T->Name;
  uint64_t StartNumber = H.StartCount;
  RequestHandle Handle = C.Request;
  this->Submissions[Number].Target = Target;
  // Connecting to the target takes 1 ms. The host sends the request only after
  // that, so the request may end or be cancelled in between.
  this->scheduleAt(this->Now + millis(1), [this, Index, StartNumber, Handle,
                                           Number, Target]() {
    this->runOnHost(
        Index, StartNumber,
        [this, Index, StartNumber, Handle, Number, Target]() {
          Host &SendingHost = this->Hosts[Index];
          auto Unanswered = SendingHost.Submissions.find(Handle.Index);
          bool Same = Unanswered != SendingHost.Submissions.end() &&
                      Unanswered->second == Number;
          if (!Same) {
            return;
          }
          if (this->RefusingTargets.count(Target) != 0) {
            SendingHost.HostNode->onConnectFailed(Handle);
            return;
          }
          if (!SendingHost.HostNode->beginSend(Handle)) {
            return;
          }
          Submitted &S = this->Submissions[Number];
          ++S.Runs;
          this->SafetyOracle.recordRun(Number);
          this->TargetRuns.push_back(
              TargetRunRecord{Number, Target, this->Now});
          this->addTranscriptLine(Target + " runs submission " +
                                  std::to_string(Number));
          this->RunsInProgress[Target][Number] =
              [this, Index, StartNumber, Handle,
               Number](DispatchResult Result) {
                this->endRun(Index, StartNumber, Handle, Number, Result);
              };
          bool Poison = this->PoisonBodies.count(S.Request.Body) != 0;
          Duration Length = Poison ? millis(5) : this->Init.RunTime;
          this->scheduleAt(this->Now + Length,
                           [this, Target, Number, Poison]() {
                             auto &Runs = this->RunsInProgress[Target];
                             auto Found = Runs.find(Number);
                             if (Found == Runs.end()) {
                               return;
                             }
                             if (Poison) {
                               this->crashTarget(Target);
                               return;
                             }
                             auto EndRun = Found->second;
                             Runs.erase(Found);
                             EndRun(DispatchResult::Done);
                           });
        });
  });
}

void FleetFake::crashTarget(const std::string &Name) {
  this->addTranscriptLine(Name + " crashes");
  auto LostRuns = std::move(this->RunsInProgress[Name]);
  this->RunsInProgress[Name].clear();
  for (auto &Item : LostRuns) {
    Item.second(DispatchResult::Lost);
  }
}

void FleetFake::endRun(uint32_t Index, uint64_t StartNumber, RequestHandle H,
                       size_t Number, DispatchResult Result) {
  this->runOnHost(Index, StartNumber, [this, Index, H, Number, Result]() {
    Host &SendingHost = this->Hosts[Index];
    auto Unanswered = SendingHost.Submissions.find(H.Index);
    if (Unanswered == SendingHost.Submissions.end() ||
        Unanswered->second != Number) {
      return;
    }
    DispatchEnd E;
    E.Result = Result;
    if (Result == DispatchResult::Done) {
      SendingHost.HostNode->onTokens(H, 1);
      E.FinalVerdict = Verdict{Outcome::Completed, Reason::None, Duration(0)};
      E.Answer = "answer to " + this->Submissions[Number].Request.Body;
    } else {
      E.FinalVerdict =
          Verdict{Outcome::MayHaveRun, Reason::TargetLost, Duration(0)};
    }
    SendingHost.HostNode->onDispatchEnded(H, E);
  });
}

// The store answers a watch when the watched object changes, and any other call
// when it arrives. StoreDelay applies to each direction.
void FleetFake::callStore(uint32_t Index, const StoreRequest &R) {
  uint64_t StartNumber = this->Hosts[Index].StartCount;
  auto Reply = [this, Index, StartNumber](const StoreReply &Answer) {
    this->scheduleAt(
        this->Now + this->StoreDelay, [this, Index, StartNumber, Answer]() {
          this->runOnHost(Index, StartNumber, [this, Index, Answer]() {
            this->node(Index).storeReply(Answer);
          });
        });
  };
  this->scheduleAt(this->Now + this->StoreDelay, [this, R, Reply]() {
    StoreReply Refused;
    Refused.Token = R.Token;
    Refused.Result = StoreReply::Status::Unavailable;
    if (this->StoreUnavailable) {
      Reply(Refused);
      return;
    }
    bool LoseReply = R.Kind == StoreRequest::Op::Write &&
                     this->chance(this->StoreLostReplyShare);
    this->MemoryStore.call(R, [Reply, LoseReply](const StoreReply &Answer) {
      StoreReply SeenReply = Answer;
      SeenReply.Result =
          LoseReply ? StoreReply::Status::Unknown : Answer.Result;
      Reply(SeenReply);
    });
  });
}

void FleetFake::apply(const std::string &Json) {
  StoreRequest Put;
  Put.Kind = StoreRequest::Op::Write;
  Put.Name = "config";
  Put.Expected = this->MemoryStore.peek("config").Number;
  Put.Body = Json;
  this->MemoryStore.call(Put, [](const StoreReply &) {});
}

size_t FleetFake::submit(uint32_t Index, const FakeRequest &R) {
  size_t Number = this->Submissions.size();
  this->Submissions.emplace_back();
  Submitted &S = this->Submissions.back();
  S.Host = Index;
  S.Request = R;
  Host &H = this->Hosts[Index];
  if (!H.HostNode || H.Paused || !H.HostNode->ready()) {
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
  this->addTranscriptLine("caller submits " + std::to_string(Number) + " (" +
                          R.Kind + ") at " + H.Name);
  this->SafetyOracle.recordSubmission(Number, R.Key, H.Name);
  this->updateNodeTime(Index);
  S.Handle = H.HostNode->submit(Sub);
  if (!S.Handle.isValid()) {
    S.Answered = true;
    S.End = Verdict{Outcome::NotRun, Reason::HostFull, Duration(0)};
    this->SafetyOracle.recordVerdict(Number, S.End);
    return Number;
  }
  H.Submissions[S.Handle.Index] = Number;
  this->executeCommands(Index);
  return Number;
}

void FleetFake::cancel(size_t Number) {
  const Submitted &S = this->Submissions[Number];
  uint32_t Index = S.Host;
  RequestHandle Handle = S.Handle;
  if (S.Answered || !this->isUp(Index)) {
    return;
  }
  this->runOnHost(
      Index, this->Hosts[Index].StartCount,
      [this, Index, Handle]() { this->node(Index).cancel(Handle); });
}

void FleetFake::advance(Duration Length) {
  Time Until = this->Now + Length;
  while (!this->EventQueue.empty() &&
         this->EventQueue.begin()->first <= Until) {
    auto First = this->EventQueue.begin();
    this->Now = std::max(this->Now, First->first);
    std::function<void()> Event = std::move(First->second);
    this->EventQueue.erase(First);
    Event();
  }
  this->Now = Until;
}

void FleetFake::settle(Duration Limit) {
  Time Until = this->Now + Limit;
  auto AnyUnanswered = [this]() {
    return std::any_of(
        this->Hosts.begin(), this->Hosts.end(),
        [](const Host &H) { return H.HostNode && !H.Submissions.empty(); });
  };
  while (this->Now < Until && AnyUnanswered()) {
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
