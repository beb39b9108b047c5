// Admission and placing of requests.
#include "relay_p.h"

#include "event_log_p.h"
#include "relay_limits_p.h"
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
// First deadlines of one route's callers lie within this part of the longest.
static constexpr int PatiencePercent = 16;
// Part by which the longest deadline seen on a route falls with each request,
// so that a lowered one is learned.
static constexpr int DeadlineDecay = 100000;
static constexpr Duration QuarantineReturn = seconds(10);

RelayTable::RelayTable(event_base *Base, const FrontInit &Front,
                       const RelayInit &Init, const Directory &Beliefs)
    : Base(Base), Init(Init), Beliefs(Beliefs), Front(Base, Front, *this),
      Wire(Base, *this), Quota(Init.Slack), Crashes(Init.Crashes),
      PostEvent(event_new(
          Base, -1, 0,
          [](evutil_socket_t, short, void *Self) {
            static_cast<RelayTable *>(Self)->postNow();
          },
          this)) {}

RelayTable::~RelayTable() { event_free(this->PostEvent); }

RelayTable::Relay *RelayTable::find(PlacementId Id) {
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
    S->Places = std::make_unique<ServicePlacement>(
        Id, Spec != nullptr && Spec->Engine, this->Init.Domain, this->Init.Seed,
        [this] { return PlacementId{this->NextRun++}; });
    S->Places->setOwner(this->Owner);
    S->Places->scheduler().setRemoteHosts(this->RemoteHosts);
    for (const auto &Item : this->Targets) {
      if (Item.second.Service == Id) {
        S->Places->scheduler().setTarget(this->withDeparture(Item.second),
                                         ProcessClock::now());
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

bool RelayTable::keysTrusted() const {
  return this->Beliefs.age(DirectoryKind::Config, bootTime()) <
         this->Init.KeyAgeLimit;
}

const GatewayCustomer *RelayTable::authenticate(const Relay &R,
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
  R.Id = PlacementId{this->NextRun++};
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
    this->service(R.Service).Budget.recordRequest(R.Ask.Read);
    this->place(R);
  }
}

void RelayTable::place(Relay &R) {
  PlacementRequest Ask;
  Ask.Id = R.Id;
  Ask.Rank = R.Path->Rank;
  Ask.PromptTokens = R.PromptTokens;
  Ask.OutputTokens = R.OutputTokens;
  Ask.Objective = R.Path->Objective;
  Ask.Arrived = R.Ask.Read;
  Ask.Deadline = R.Deadline;
  Ask.FirstAttempt = R.Ask.Read - R.Spent;
  Ask.RefusedBefore = R.Spent.count() > 0;
  Ask.Repeatable = R.Path->repeatable();
  Ask.Tried = R.Tried;
  this->service(R.Service).Places->enqueue(Ask, ProcessClock::now());
  this->dispatch(R.Service);
}

void RelayTable::dispatch(ServiceId Id) {
  std::vector<PlacedRequest> Placed;
  std::vector<PlacementRefusal> Refused;
  this->service(Id).Places->decide(ProcessClock::now(), Placed, Refused);
  for (const PlacementRefusal &Refusal : Refused) {
    Relay *R = this->find(Refusal.Id);
    if (R == nullptr) {
      continue;
    }
    ServiceSchedulerStats Pool = this->service(Id).Places->scheduler().stats();
    logEvent("not-placed", {{"id", R->RequestId},
                            {"why", name(Refusal.Why)},
                            {"waiting", Pool.Waiting},
                            {"running", Pool.Running},
                            {"slots", Pool.Slots},
                            {"targets", Pool.Usable},
                            {"return-ms", toMillis(Refusal.RetryAfter)}});
    this->giveUp(*R, name(Refusal.Why), Refusal.RetryAfter);
  }
  for (const PlacedRequest &P : Placed) {
    Relay *R = this->find(P.Id);
    if (R != nullptr) {
      this->send(*R, P);
    } else {
      this->service(Id).Places->ended(P.Id, AttemptResult::Unknown,
                                      ProcessClock::now());
    }
  }
  this->postSoon();
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

void RelayTable::send(Relay &R, const PlacedRequest &P) {
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
  PlacementId Id = R.Id;
  uint32_t Serial = ++R.Sends;
  // A kept connection asks `onSending` before the call's id is known here.
  this->Starting = Id;
  WireCallId Started = this->Wire.start(std::move(Call));
  this->Starting = PlacementId();
  Relay *Still = this->find(Id);
  if (Still != nullptr && Still->Placed && Still->Sends == Serial) {
    Still->Call = Started;
    this->ByCall[Started] = Id;
  }
}

} // namespace shallotlatch
