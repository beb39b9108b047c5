#include "relay_p.h"

#include "event_log_p.h"
#include "sockets_p.h"

#include <algorithm>
#include <cstdio>

namespace shallotlatch {

// A once-only request goes over a kept connection only when it was used this
// lately: a target may have closed an older one, and then nobody can tell
// whether the request ran.
static constexpr Duration OnceMaxIdle = millis(1000);
static constexpr Duration RepeatableMaxIdle = seconds(20);
// The local domain answers a connection attempt within this many milliseconds
// or is not there; a lost packet is sent again after one second.
static constexpr Duration ConnectTimeout = millis(600);
// Deadline where the caller names none.
static constexpr Duration DefaultDeadline = seconds(30);
// The final answer is under way this long before the caller's deadline.
static constexpr Duration AnswerMargin = millis(30);
// Connection attempts for one request before it is refused.
static constexpr uint32_t MaxConnectFails = 4;
// Targets that may refuse one request before it is refused.
static constexpr uint32_t MaxArrivals = 3;
// A second attempt needs at least this much time.
static constexpr Duration MinTimeToRepeat = millis(60);
static constexpr size_t MaxAnswerBytes = 8 * 1024 * 1024;
// First deadlines of one route's callers lie within this part of the longest.
static constexpr int PatiencePercent = 16;
// Part by which the longest deadline seen on a route falls with each request,
// so that a lowered one is learned.
static constexpr int DeadlineDecay = 100000;
static constexpr Duration NotReadyReturn = millis(500);
static constexpr Duration QuarantineReturn = seconds(10);
static constexpr Duration StopReturn = millis(50);
static constexpr Duration FailReturn = millis(200);

RelayTable::RelayTable(event_base *Base, const FrontInit &Front,
                       const RelayInit &Init, const Directory &Beliefs)
    : Base(Base), Init(Init), Beliefs(Beliefs), Front(Base, Front, *this),
      Wire(Base, *this), Quota(Init.Slack), Crashes(Init.Crashes) {}

RelayTable::~RelayTable() = default;

RelayTable::Relay *RelayTable::find(RunId Id) {
  auto It = this->Relays.find(Id);
  return It == this->Relays.end() ? nullptr : It->second.get();
}

RelayTable::Relay *RelayTable::findCall(WireCallId Call) {
  auto It = this->ByCall.find(Call);
  return It == this->ByCall.end() ? nullptr : this->find(It->second);
}

RelayTable::Service &RelayTable::service(ServiceId Id) {
  std::unique_ptr<Service> &S = this->Services[Id];
  if (!S) {
    const ServiceSpec *Spec =
        this->Config ? this->Config->service(Id) : nullptr;
    S = std::make_unique<Service>(this->Init.Budget);
    S->Pool = std::make_unique<PlacePool>(Spec != nullptr && Spec->Engine,
                                          this->Init.Domain, this->Init.Seed);
    S->Pool->setRemoteHosts(this->RemoteHosts);
    for (const auto &Item : this->Targets) {
      if (Item.second.Service == Id) {
        S->Pool->setTarget(Item.second, ProcessClock::now());
      }
    }
  }
  return *S;
}

void RelayTable::configure(std::shared_ptr<const RoutingConfig> Next) {
  this->Config = std::move(Next);
  this->Front.setLimits(this->Config->Limits);
  this->Quota.configure(*this->Config, ProcessClock::now());
}

void RelayTable::setTarget(const TargetEntry &Target) {
  auto It = this->Targets.find(Target.Instance);
  if (It != this->Targets.end() &&
      (It->second.Service != Target.Service ||
       It->second.identity() != Target.identity())) {
    this->Crashes.died(Target.Instance, ProcessClock::now());
    this->Wire.dropIdle(It->second.At, It->second.identity());
    if (It->second.Service != Target.Service) {
      this->service(It->second.Service).Pool->removeTarget(Target.Instance);
    }
  }
  this->Targets[Target.Instance] = Target;
  this->service(Target.Service).Pool->setTarget(Target, ProcessClock::now());
  this->dispatch(Target.Service);
}

void RelayTable::removeTarget(const std::string &Instance) {
  auto It = this->Targets.find(Instance);
  if (It == this->Targets.end()) {
    return;
  }
  this->Crashes.died(Instance, ProcessClock::now());
  this->Wire.dropIdle(It->second.At, It->second.identity());
  this->service(It->second.Service).Pool->removeTarget(Instance);
  this->Targets.erase(It);
}

bool RelayTable::keysTrusted() const {
  return this->Beliefs.age(DirectoryKind::Config, bootTime()) <
         this->Init.KeyAgeLimit;
}

const FrontCustomer *RelayTable::authenticate(const Relay &R,
                                              std::string &Why) const {
  const std::string *Field = R.Ask.Head.find("authorization");
  std::string Prefix = this->Init.Headers.KeyScheme + " ";
  if (Field == nullptr || Field->compare(0, Prefix.size(), Prefix) != 0) {
    Why = "no key";
    return nullptr;
  }
  auto It = R.Config->CustomerByKey.find(Field->substr(Prefix.size()));
  if (It == R.Config->CustomerByKey.end()) {
    Why = "unknown key";
    return nullptr;
  }
  return R.Config->customer(It->second);
}

static void readTokens(const std::string *Field, double &Prompt,
                       double &Output) {
  unsigned long long In = 0;
  unsigned long long Out = 0;
  if (Field != nullptr && sscanf(Field->c_str(), "%llu,%llu", &In, &Out) == 2) {
    Prompt = static_cast<double>(In);
    Output = static_cast<double>(Out);
  }
}

// The refusals below happen before anything can have been sent.
bool RelayTable::admit(Relay &R) {
  const RelayHeaders &H = this->Init.Headers;
  if (!R.Config) {
    this->refuse(R, 503, "no configuration yet", NotReadyReturn);
    return false;
  }
  bool Fresh = this->Beliefs.age(DirectoryKind::Config, bootTime()) <
               this->Init.FreshAge;
  const std::string *Host = R.Ask.Head.find("host");
  R.Path = R.Config->match(Host == nullptr ? "" : *Host, R.Ask.Head.Target);
  if (R.Path == nullptr) {
    if (Fresh) {
      this->refuse(R, 404, "no route", Duration(0));
    } else {
      this->refuse(R, 503, "no route, and the configuration may be old",
                   NotReadyReturn);
    }
    return false;
  }
  if (R.Config->RequiresKeys && !R.Path->Anonymous) {
    std::string Why;
    R.Customer = this->authenticate(R, Why);
    if (R.Customer == nullptr && Fresh) {
      this->refuse(R, 401, Why.c_str(), Duration(0));
      return false;
    }
    if (R.Customer == nullptr || !this->keysTrusted()) {
      this->refuse(R, 503, "the key cannot be confirmed", NotReadyReturn);
      return false;
    }
  }
  Time Now = ProcessClock::now();
  if (this->Draining && Now > this->DrainUntil) {
    this->refuse(R, 503, "this host is stopping", StopReturn);
    return false;
  }
  R.Print.Value = hashPair(
      hash64(R.Ask.Head.Method + " " + R.Ask.Head.Target),
      hash64(R.Ask.Body, R.Customer == nullptr ? 0 : R.Customer->Id.Value));
  if (this->Crashes.refused(R.Print, Now)) {
    this->refuse(R, 503, "its content crashes targets", QuarantineReturn);
    return false;
  }
  const std::string *Tokens = R.Ask.Head.find(H.TokenCounts);
  readTokens(Tokens, R.PromptTokens, R.OutputTokens);
  const std::string *Left = R.Ask.Head.find(H.DeadlineMs);
  Duration Limit =
      Left == nullptr ? DefaultDeadline : millis(atoll(Left->c_str()));
  R.Deadline = R.Ask.Read + std::min(Limit - AnswerMargin, R.Path->Timeout);
  // The longest deadline seen lately on a route is that of first attempts, so
  // a shorter one tells how long its caller has been trying.
  Duration &Longest = this->LongestDeadline[R.Path->Id];
  Longest = std::max(Limit, Longest - Longest / DeadlineDecay);
  // Callers' patience differs; only a deadline well below the longest tells.
  Duration Spent = Left == nullptr ? Duration(0) : Longest - Limit;
  R.Spent = Spent > Longest * PatiencePercent / 100 ? Spent : Duration(0);
  double Point = static_cast<double>(hash64(R.RequestId) % 10000) / 10000;
  double Total = 0;
  for (const RouteShare &S : R.Path->Shares) {
    Total += S.Weight;
  }
  for (const RouteShare &S : R.Path->Shares) {
    R.Service = S.Service;
    Point -= S.Weight / std::max(Total, 1e-9);
    if (Point < 0) {
      break;
    }
  }
  if (R.Customer != nullptr) {
    R.QuotaAmount = FleetQuota::amount(*R.Customer, Tokens != nullptr,
                                       R.PromptTokens + R.OutputTokens);
    QuotaAnswer Answer = this->Quota.admit(R.Customer->Id, R.QuotaAmount, Now);
    this->Metrics.quota(Answer.Admitted);
    if (!Answer.Admitted) {
      this->refuse(R, 429, "the customer is over its quota", Answer.RetryAfter);
      return false;
    }
  }
  return true;
}

void RelayTable::onAsk(CallerAsk &&Ask) {
  std::unique_ptr<Relay> Made = std::make_unique<Relay>();
  Relay &R = *Made;
  R.Id = RunId{this->NextRun++};
  R.Ask = std::move(Ask);
  R.Config = this->Config;
  const std::string *Id = R.Ask.Head.find(this->Init.Headers.RequestId);
  R.RequestId = Id == nullptr ? "" : *Id;
  const std::string *Last = R.Ask.Head.find("last-event-id");
  R.LastEvent = Last == nullptr ? "" : *Last;
  this->Relays[R.Id] = std::move(Made);
  this->ByExchange[R.Ask.Exchange] = R.Id;
  ++this->Counts.Asked;
  if (this->admit(R)) {
    this->service(R.Service).Budget.request(R.Ask.Read);
    this->place(R);
  }
}

void RelayTable::place(Relay &R) {
  PlaceAsk Ask;
  Ask.Run = R.Id;
  Ask.Rank = R.Path->Rank;
  Ask.PromptTokens = R.PromptTokens;
  Ask.OutputTokens = R.OutputTokens;
  Ask.Objective = R.Path->Objective;
  Ask.Arrived = R.Ask.Read;
  Ask.Deadline = R.Deadline;
  Ask.FirstAsked = R.Ask.Read - R.Spent;
  Ask.Returned = R.Spent.count() > 0;
  Ask.Repeatable = R.Path->repeatable();
  Ask.Tried = R.Tried;
  this->service(R.Service).Pool->enqueue(Ask);
  this->dispatch(R.Service);
}

void RelayTable::dispatch(ServiceId Id) {
  std::vector<Placement> Placed;
  std::vector<PlaceRefusal> Refused;
  this->service(Id).Pool->decide(ProcessClock::now(), Placed, Refused);
  for (const PlaceRefusal &Refusal : Refused) {
    Relay *R = this->find(Refusal.Run);
    if (R == nullptr) {
      continue;
    }
    PlacePoolStats Pool = this->service(Id).Pool->stats();
    logEvent("not-placed", {{"id", R->RequestId},
                            {"why", Refusal.Why},
                            {"waiting", Pool.Waiting},
                            {"running", Pool.Running},
                            {"slots", Pool.Slots},
                            {"targets", Pool.Usable},
                            {"return-ms", toMillis(Refusal.RetryAfter)}});
    if (R->Begun || R->MayHaveRun) {
      this->fail(*R, 502, Refusal.Why);
    } else {
      this->refuse(*R, 503, Refusal.Why, Refusal.RetryAfter);
    }
  }
  for (const Placement &P : Placed) {
    Relay *R = this->find(P.Run);
    if (R != nullptr) {
      this->send(*R, P);
    } else {
      this->service(Id).Pool->ended(P.Run, RunSign::Unknown,
                                    ProcessClock::now());
    }
  }
}

std::string RelayTable::render(const Relay &R) const {
  const RelayHeaders &H = this->Init.Headers;
  std::string Text =
      R.Ask.Head.Method + " " + R.Ask.Head.Target + " HTTP/1.1\r\n";
  for (const HttpField &F : R.Ask.Head.Fields) {
    bool Dropped =
        isHopByHop(F.Name) || sameName(F.Name, "content-length") ||
        sameName(F.Name, "expect") || sameName(F.Name, "authorization") ||
        sameName(F.Name, H.DeadlineMs) || sameName(F.Name, "last-event-id");
    for (const std::string &Name : H.NotFromCallers) {
      Dropped = Dropped || sameName(F.Name, Name);
    }
    if (!Dropped) {
      Text += F.Name + ": " + F.Value + "\r\n";
    }
  }
  int64_t Left =
      std::max<int64_t>(1, toMillis(R.Deadline - ProcessClock::now()));
  Text += H.DeadlineMs + ": " + std::to_string(Left) + "\r\n";
  Text += H.ExpectInstance + ": " + R.Target.Instance + "\r\n";
  if (R.Customer != nullptr) {
    Text += H.Customer + ": " + R.Customer->Name + "\r\n";
  }
  if (!R.LastEvent.empty()) {
    Text += "Last-Event-Id: " + R.LastEvent + "\r\n";
  }
  if (!R.Ask.Body.empty() || R.Ask.Head.Method != "GET") {
    Text += "Content-Length: " + std::to_string(R.Ask.Body.size()) + "\r\n";
  }
  Text += "\r\n";
  Text += R.Ask.Body;
  return Text;
}

void RelayTable::send(Relay &R, const Placement &P) {
  R.Placed = true;
  R.Sent = false;
  R.Target = P.Target;
  R.Predicted = P.Predicted;
  this->Metrics.waited(R.Path->Kind, P.Waited);
  R.HeadSeen = false;
  R.NotRun = false;
  R.Events = false;
  R.Status = 0;
  R.Fields.clear();
  R.Body.clear();
  logEvent("placed",
           {{"id", R.RequestId},
            {"target", P.Target.Instance},
            {"running", P.Running},
            {"prompt-tokens", R.PromptTokens},
            {"predicted-ms", toMillis(P.Predicted)},
            {"waited-ms", toMillis(P.Waited)},
            {"targets-age-ms",
             toMillis(this->Beliefs.age(DirectoryKind::Targets, bootTime()))}});
  WireCall Call;
  Call.To = P.Target.At;
  Call.Identity = P.Target.identity();
  Call.Bytes = this->render(R);
  Call.ConnectTimeout = ConnectTimeout;
  Call.MaxIdle = R.Path->repeatable() ? RepeatableMaxIdle : OnceMaxIdle;
  RunId Id = R.Id;
  uint32_t Serial = ++R.Sends;
  // A kept connection asks `onSending` before the call's id is known here.
  this->Starting = Id;
  WireCallId Started = this->Wire.start(std::move(Call));
  this->Starting = RunId();
  Relay *Still = this->find(Id);
  if (Still != nullptr && Still->Placed && Still->Sends == Serial) {
    Still->Call = Started;
    this->ByCall[Started] = Id;
  }
}

// The last moment at which sending can be refused with "not run".
bool RelayTable::onSending(WireCallId Call) {
  Relay *R = this->Starting.isValid() ? this->find(this->Starting)
                                      : this->findCall(Call);
  if (R == nullptr) {
    return false;
  }
  bool Trusted = R->Customer == nullptr || this->keysTrusted();
  auto It = this->Targets.find(R->Target.Instance);
  bool Usable = It != this->Targets.end() && !It->second.Leaving &&
                It->second.identity() == R->Target.identity();
  if (Trusted && Usable) {
    R->Sent = true;
    R->EverSent = true;
    ++R->Attempts;
    ++R->Arrivals;
    R->SentAt = ProcessClock::now();
    return true;
  }
  this->ByCall.erase(Call);
  this->leaveTarget(*R, RunSign::Unknown);
  if (Trusted) {
    this->place(*R);
  } else if (R->MayHaveRun || R->Begun) {
    this->fail(*R, 502, "the key cannot be confirmed");
  } else {
    this->refuse(*R, 503, "the key cannot be confirmed", NotReadyReturn);
  }
  return false;
}

HeadAction RelayTable::onHead(WireCallId Call, HttpHead &Head) {
  Relay *R = this->findCall(Call);
  if (R == nullptr) {
    return HeadAction::Refuse;
  }
  const RelayHeaders &H = this->Init.Headers;
  const std::string *Id = Head.find(H.RequestId);
  if (Id == nullptr || *Id != R->RequestId) {
    logEvent("answer-foreign", {{"id", R->RequestId},
                                {"target", R->Target.Instance},
                                {"answers", Id == nullptr ? "" : *Id}});
    return Id == nullptr ? HeadAction::Refuse : HeadAction::Skip;
  }
  bool Good = Head.Status >= 200 && Head.Status < 300;
  if (Head.find("content-encoding") != nullptr ||
      (Good && Head.find(H.Stamp) == nullptr)) {
    return HeadAction::Refuse;
  }
  R->HeadSeen = true;
  R->Status = Head.Status;
  R->NotRun = Head.Status == 421 || Head.find(H.NotRun) != nullptr;
  R->Events = Good && R->Path->Kind == RouteKind::Stream;
  for (const HttpField &F : Head.Fields) {
    if (!isHopByHop(F.Name) && !sameName(F.Name, "content-length")) {
      R->Fields.push_back(F);
    }
  }
  return HeadAction::Take;
}

void RelayTable::onBody(WireCallId Call, std::string_view Part) {
  Relay *R = this->findCall(Call);
  if (R == nullptr) {
    return;
  }
  R->Body.append(Part.data(), Part.size());
  if (R->Events) {
    this->passEvents(*R);
  }
}

// Finds the end of the last whole event and the id of that event.
static size_t wholeEvents(const std::string &Text, std::string &LastId,
                          uint32_t &Count) {
  size_t End = 0;
  while (true) {
    size_t Blank = Text.find("\n\n", End);
    if (Blank == std::string::npos) {
      return End;
    }
    size_t Line = End;
    while (Line <= Blank) {
      size_t Stop = Text.find('\n', Line);
      if (Text.compare(Line, 3, "id:") == 0) {
        size_t From = Line + 3 + (Text[Line + 3] == ' ' ? 1 : 0);
        LastId = Text.substr(From, Stop - From);
        ++Count;
      }
      Line = Stop + 1;
    }
    End = Blank + 2;
  }
}

void RelayTable::passEvents(Relay &R) {
  size_t End = wholeEvents(R.Body, R.LastEvent, R.EventCount);
  if (End == 0) {
    return;
  }
  Time Now = ProcessClock::now();
  if (R.FirstEventAt == Time()) {
    R.FirstEventAt = Now;
  } else {
    R.LongestPause = std::max(R.LongestPause, Now - R.LastEventAt);
  }
  R.LastEventAt = Now;
  this->service(R.Service).Pool->started(R.Id, Now);
  if (!R.Begun) {
    R.Begun = true;
    this->Front.begin(R.Ask.Exchange, R.Status, R.Fields);
  }
  bool Room =
      this->Front.part(R.Ask.Exchange, std::string_view(R.Body).substr(0, End));
  R.Body.erase(0, End);
  if (!Room) {
    this->Wire.pauseReading(R.Call, true);
  }
}

void RelayTable::onWritable(ExchangeId Exchange) {
  auto It = this->ByExchange.find(Exchange);
  Relay *R = It == this->ByExchange.end() ? nullptr : this->find(It->second);
  if (R != nullptr && R->Call.isValid()) {
    this->Wire.pauseReading(R->Call, false);
  }
}

void RelayTable::leaveTarget(Relay &R, RunSign Sign) {
  if (!R.Placed) {
    return;
  }
  R.Placed = false;
  R.Call = WireCallId();
  this->service(R.Service).Pool->ended(R.Id, Sign, ProcessClock::now());
}

// Whether the request may go to one more target, and if so sends it.
bool RelayTable::sendAgain(Relay &R, const char *Why) {
  Time Now = ProcessClock::now();
  bool Allowed = (!R.MayHaveRun || R.Path->repeatable()) &&
                 !this->Crashes.refused(R.Print, Now) &&
                 R.Attempts < R.Path->MaxAttempts && R.Arrivals < MaxArrivals &&
                 R.Deadline - Now > MinTimeToRepeat &&
                 !(this->Draining && Now > this->DrainUntil);
  bool Budget =
      Allowed && (R.Arrivals == 0 ||
                  this->service(R.Service).Budget.take(Now, this->Hosts));
  logEvent(Budget ? "sent-again" : "not-sent-again",
           {{"id", R.RequestId},
            {"why", Why},
            {"attempts", R.Attempts},
            {"limit", R.Path->MaxAttempts},
            {"may-have-run", R.MayHaveRun},
            {"budget", Budget}});
  this->Metrics.sentAgain(Budget);
  if (!Budget) {
    return false;
  }
  ++this->Counts.SentAgain;
  this->place(R);
  return true;
}

void RelayTable::onEnd(WireCallId Call, WireEnd How) {
  Relay *Found = this->findCall(Call);
  this->ByCall.erase(Call);
  if (Found == nullptr) {
    return;
  }
  Relay &R = *Found;
  ServiceId Where = R.Service;
  R.Tried.push_back(R.Target.Instance);
  if (How == WireEnd::ConnectFailed) {
    this->Crashes.died(R.Target.Instance, ProcessClock::now());
    this->leaveTarget(R, RunSign::Unreachable);
    logEvent("connect-failed",
             {{"id", R.RequestId}, {"target", R.Target.Instance}});
    if (++R.ConnectFails < MaxConnectFails) {
      this->place(R);
    } else if (R.MayHaveRun || R.Begun) {
      this->fail(R, 502, "no target could be reached");
    } else {
      this->refuse(R, 503, "no target could be reached", FailReturn);
    }
  } else if (How == WireEnd::Complete && R.NotRun) {
    --R.Attempts;
    this->leaveTarget(R, RunSign::Full);
    if (!this->sendAgain(R, "the target did not run it")) {
      if (R.MayHaveRun || R.Begun) {
        this->fail(R, 502, "the target did not run it");
      } else {
        this->refuse(R, 503, "the target did not run it", FailReturn);
      }
    }
  } else if (How == WireEnd::Complete) {
    bool Error = R.Status >= 500;
    this->leaveTarget(R, Error ? RunSign::Failed : RunSign::Served);
    R.MayHaveRun = true;
    if (!Error || !this->sendAgain(R, "the target failed")) {
      this->passWhole(R);
    }
  } else {
    this->leaveTarget(R, RunSign::Lost);
    R.MayHaveRun = true;
    if (How == WireEnd::Broken) {
      this->Crashes.broke(R.Target.Instance, R.Print, ProcessClock::now());
    }
    logEvent("answer-lost", {{"id", R.RequestId},
                             {"target", R.Target.Instance},
                             {"how", name(How)},
                             {"events", R.EventCount}});
    R.Body.clear();
    if (this->sendAgain(R, name(How))) {
      this->Counts.Resumed += R.Begun ? 1 : 0;
    } else {
      this->fail(R, 502, "the target's answer was lost");
    }
  }
  this->dispatch(Where);
}

void RelayTable::passWhole(Relay &R) {
  if (R.Events) {
    // What is left is no whole event: the stream stopped within one.
    if (!R.Body.empty()) {
      this->fail(R, 502, "the stream ended within an event");
      return;
    }
    if (!R.Begun) {
      R.Begun = true;
      this->Front.begin(R.Ask.Exchange, R.Status, R.Fields);
    }
    this->Front.end(R.Ask.Exchange);
    this->finish(R, Outcome::Completed, R.Status, "");
    return;
  }
  if (R.Begun) {
    // A resumed stream was answered with something else.
    this->fail(R, 502, "the stream could not be resumed");
    return;
  }
  CallerAnswer Answer;
  Answer.Status = R.Status;
  Answer.Fields = R.Fields;
  Answer.Body = std::move(R.Body);
  this->Front.answer(R.Ask.Exchange, Answer);
  this->finish(R, R.Status < 500 ? Outcome::Completed : Outcome::Failed,
               R.Status, "");
}

void RelayTable::fail(Relay &R, int Status, const char *Why) {
  if (R.Begun) {
    this->Front.breakOff(R.Ask.Exchange);
  } else {
    CallerAnswer Answer;
    Answer.Status = Status;
    Answer.Fields = {{"Content-Type", "application/problem+json"},
                     {this->Init.Headers.RequestId, R.RequestId}};
    Answer.Body = problemDocument(Status, reasonPhrase(Status), Why);
    this->Front.answer(R.Ask.Exchange, Answer);
  }
  this->finish(R, R.MayHaveRun ? Outcome::MayHaveRun : Outcome::NotRun, Status,
               Why);
}

// Only for requests of which no byte left, or of which every target said that
// it did not run.
void RelayTable::refuse(Relay &R, int Status, const char *Why,
                        Duration RetryAfter) {
  CallerAnswer Answer;
  Answer.Status = Status;
  Answer.Fields = {{"Content-Type", "application/problem+json"},
                   {this->Init.Headers.RequestId, R.RequestId}};
  if (RetryAfter.count() > 0) {
    char Seconds[32];
    snprintf(Seconds, sizeof(Seconds), "%.3f", toSeconds(RetryAfter));
    Answer.Fields.push_back({"Retry-After", Seconds});
  }
  Answer.Body = problemDocument(Status, reasonPhrase(Status), Why);
  this->Front.answer(R.Ask.Exchange, Answer);
  if (R.QuotaAmount > 0 && Status != 429) {
    this->Quota.refund(R.Customer->Id, R.QuotaAmount);
  }
  this->finish(R, Outcome::NotRun, Status, Why);
}

void RelayTable::finish(Relay &R, Outcome Result, int Status, const char *Why) {
  Time Now = ProcessClock::now();
  LogFields Line{
      {"id", R.RequestId},
      {"verdict", name(Result)},
      {"status", Status},
      {"why", Why},
      {"ms", toMillis(Now - R.Ask.Read)},
      {"config", R.Config ? R.Config->Version : 0},
      {"config-age-ms",
       R.Config ? toMillis(this->Beliefs.age(DirectoryKind::Config, bootTime()))
                : -1}};
  if (R.Path != nullptr) {
    Line["route"] = R.Path->Name;
    Line["attempts"] = R.Attempts;
    Line["prompt-tokens"] = R.PromptTokens;
    Line["output-tokens"] = R.OutputTokens;
    Line["spent-ms"] = toMillis(R.Spent);
  }
  if (R.Customer != nullptr) {
    Line["customer"] = R.Customer->Name;
  }
  if (R.FirstEventAt != Time()) {
    Line["first-ms"] = toMillis(R.FirstEventAt - R.Ask.Read);
    Line["pause-ms"] = toMillis(R.LongestPause);
    Line["events"] = R.EventCount;
  }
  logEvent("ended", Line);
  EndedRequest Ended;
  Ended.Path = R.Path;
  Ended.Result = Result;
  Ended.Status = Status;
  Ended.Total = Now - R.Ask.Read;
  if (R.FirstEventAt != Time()) {
    Ended.First = R.FirstEventAt - R.Ask.Read;
    Ended.Pause = R.LongestPause;
  }
  this->Metrics.ended(Ended);
  switch (Result) {
  case Outcome::Completed:
    ++this->Counts.Completed;
    break;
  case Outcome::NotRun:
    ++this->Counts.Refused;
    break;
  default:
    ++this->Counts.Failed;
  }
  if (R.Call.isValid()) {
    this->ByCall.erase(R.Call);
    this->Wire.abort(R.Call);
  }
  this->leaveTarget(R, RunSign::Unknown);
  this->ByExchange.erase(R.Ask.Exchange);
  RunId Id = R.Id;
  auto It = this->Relays.find(Id);
  // Callers of this function may still read the relay: it dies next turn.
  deferDelete(this->Base, std::shared_ptr<Relay>(std::move(It->second)));
  this->Relays.erase(It);
}

void RelayTable::onGone(ExchangeId Exchange) {
  auto It = this->ByExchange.find(Exchange);
  Relay *R = It == this->ByExchange.end() ? nullptr : this->find(It->second);
  if (R == nullptr) {
    return;
  }
  ++this->Counts.Cancelled;
  ServiceId Where = R->Service;
  if (R->Path != nullptr && !R->Placed) {
    this->service(R->Service).Pool->withdraw(R->Id);
  }
  if (R->QuotaAmount > 0 && !R->EverSent) {
    this->Quota.refund(R->Customer->Id, R->QuotaAmount);
  }
  R->MayHaveRun = R->MayHaveRun || R->EverSent;
  this->finish(*R, R->MayHaveRun ? Outcome::MayHaveRun : Outcome::NotRun, 499,
               "the caller left");
  this->dispatch(Where);
}

void RelayTable::tick() {
  Time Now = ProcessClock::now();
  std::vector<RunId> Late;
  for (const auto &Item : this->Relays) {
    if (Now >= Item.second->Deadline && Item.second->Placed) {
      Late.push_back(Item.first);
    }
  }
  for (RunId Id : Late) {
    Relay *R = this->find(Id);
    if (R != nullptr) {
      bool Sent = R->EverSent;
      R->MayHaveRun = R->MayHaveRun || R->Sent;
      if (Sent) {
        this->fail(*R, 504, "the deadline has passed");
      } else {
        this->refuse(*R, 503, "the deadline has passed", FailReturn);
      }
    }
  }
  bool Waiting = false;
  for (const auto &Item : this->Services) {
    if (Item.second->Pool->waiting()) {
      this->dispatch(Item.first);
      Waiting = Waiting || Item.second->Pool->waiting();
    }
  }
  this->Quota.setFree(!Waiting);
}

void RelayTable::drain(Time Until) {
  this->Draining = true;
  this->DrainUntil = Until;
}

void RelayTable::endAll() {
  std::vector<RunId> Left;
  for (const auto &Item : this->Relays) {
    Left.push_back(Item.first);
  }
  for (RunId Id : Left) {
    Relay *R = this->find(Id);
    if (R == nullptr) {
      continue;
    }
    R->MayHaveRun = R->MayHaveRun || R->Sent;
    if (R->EverSent) {
      this->fail(*R, 502, "this host stops");
    } else {
      this->service(R->Service).Pool->withdraw(R->Id);
      this->refuse(*R, 503, "this host stops", StopReturn);
    }
  }
}

void RelayTable::peerUse(HostId Peer, const std::vector<TargetUse> &Uses) {
  Time Now = ProcessClock::now();
  for (const auto &Item : this->Services) {
    Item.second->Pool->peerUse(Peer, Uses, Now);
    if (Item.second->Pool->waiting()) {
      this->dispatch(Item.first);
    }
  }
}

void RelayTable::setRemoteHosts(uint32_t Remote) {
  this->RemoteHosts = Remote;
  for (const auto &Item : this->Services) {
    Item.second->Pool->setRemoteHosts(Remote);
  }
}

void RelayTable::forgetPeer(HostId Peer) {
  for (const auto &Item : this->Services) {
    Item.second->Pool->forgetPeer(Peer);
  }
}

std::vector<TargetUse> RelayTable::ownUse() const {
  std::vector<TargetUse> Uses;
  for (const auto &Item : this->Services) {
    std::vector<TargetUse> Part = Item.second->Pool->ownUse();
    Uses.insert(Uses.end(), Part.begin(), Part.end());
  }
  return Uses;
}

PlacePoolStats RelayTable::poolStats() const {
  PlacePoolStats Sum;
  for (const auto &Item : this->Services) {
    PlacePoolStats S = Item.second->Pool->stats();
    Sum.Targets += S.Targets;
    Sum.Usable += S.Usable;
    Sum.Slots += S.Slots;
    Sum.Running += S.Running;
    Sum.Waiting += S.Waiting;
  }
  return Sum;
}

RelayStats RelayTable::stats() const {
  RelayStats S = this->Counts;
  S.Held = static_cast<uint32_t>(this->Relays.size());
  return S;
}

} // namespace shallotlatch
