// Admission, placement and sending of requests.
#include "relay_p.h"

#include "event_log_p.h"
#include "prompt_parts_p.h"
#include "relay_limits_p.h"
#include "sockets_p.h"

#include <algorithm>
#include <cstdio>

namespace shallotlatch {

// Deadline of a request whose caller states none.
static constexpr Duration DefaultDeadline = seconds(30);
// Longest deadline of a caller that is read, in milliseconds.
static constexpr int64_t MaxDeadlineMs = 86400 * 1000;
// Time reserved before the caller's deadline for sending the final response.
static constexpr Duration ResponseMargin = millis(30);
// Deadlines of first attempts on one route differ by up to this percentage of
// the longest. Only a larger gap shows that the caller has tried before.
static constexpr int MinDeadlineGapPercent = 16;
// With each request, the longest deadline seen on a route decreases by one part
// in this number, so that the relay learns when callers shorten their
// deadlines.
static constexpr int LongestDeadlineDecayDivisor = 100000;

RequestRelay::RequestRelay(event_base *Base, const FrontendInit &Frontend,
                           const RelayInit &Init, FleetDirectory &StoreView)
    : Base(Base), Init(Init), StoreView(StoreView), Budget(Init.Memory),
      Frontend(Base, Frontend, *this, Budget),
      TargetClient(Base, *this, &Budget), Quota(Init.Slack),
      Crashes(Init.Crashes), Paths(Init.Seed), Probes(Base, *this),
      Doubts(Init.Crashes.DeathWindow),
      Rollouts(Init.Rollouts ? std::make_unique<FleetRollouts>(*Init.Rollouts)
                             : nullptr),
      Origins(ProcessClock::now()), Openings(ProcessClock::now()),
      StartedAt(ProcessClock::now()),
      PlacementSendEvent(event_new(
          Base, -1, 0,
          [](evutil_socket_t, short, void *Self) {
            static_cast<RequestRelay *>(Self)->sendPlacementMessages();
          },
          this)) {}

RequestRelay::~RequestRelay() { event_free(this->PlacementSendEvent); }

RequestRelay::RelayedRequest *RequestRelay::find(PlacementId Id) {
  auto It = this->Requests.find(Id);
  return It == this->Requests.end() ? nullptr : It->second.get();
}

RequestRelay::RelayedRequest *RequestRelay::findByCall(OutboundCallId Call) {
  auto It = this->RunByCall.find(Call);
  return It == this->RunByCall.end() ? nullptr : this->find(It->second);
}

RequestRelay::ServiceState &RequestRelay::service(ServiceId Id) {
  std::unique_ptr<ServiceState> &S = this->Services[Id];
  if (!S) {
    const ServiceSpec *Spec =
        this->Config ? this->Config->service(Id) : nullptr;
    S = std::make_unique<ServiceState>(this->Init.Budget);
    S->Places = std::make_unique<ServicePlacement>(
        Id, Spec != nullptr && Spec->Engine, this->Init.Domain, this->Init.Seed,
        [this] { return PlacementId{this->NextRun++}; });
    S->Places->scheduler().setFeatures(this->Init.Scheduling);
    S->Places->scheduler().setRunDoubts(this->Doubts);
    S->Places->setOwner(this->Owner);
    S->Places->scheduler().setRemoteHosts(this->RemoteHosts);
    this->applyLimitHosts(*S->Places);
    if (this->Rollouts) {
      S->Places->scheduler().setVersionFilter(
          &this->Rollouts->of(Id, this->isEngine(Id)));
    }
    for (const auto &Item : this->Targets) {
      if (Item.second.Service == Id) {
        if (this->Rollouts) {
          this->Rollouts->of(Id, false).onTarget(Item.second,
                                                 ProcessClock::now());
        }
        S->Places->scheduler().setTarget(this->withOwnerDeparture(Item.second),
                                         ProcessClock::now());
      }
    }
  }
  return *S;
}

void RequestRelay::configure(std::shared_ptr<const RoutingConfig> Next) {
  this->Config = std::move(Next);
  this->Frontend.setLimits(this->Config->Limits);
  this->Quota.configure(*this->Config, ProcessClock::now());
  this->applyStreamLife();
}

bool RequestRelay::keysTrusted() const {
  return this->StoreView.age(DirectoryKind::Config, bootTime()) <
         this->Init.MaxConfigAgeForKeys;
}

const GatewayCustomer *RequestRelay::authenticate(const RelayedRequest &R,
                                                  std::string &Detail) const {
  const std::string *KeyField = R.Request.Head.find("authorization");
  std::string Prefix = this->Init.Headers.KeyScheme + " ";
  if (KeyField == nullptr || KeyField->compare(0, Prefix.size(), Prefix) != 0) {
    Detail = "no key";
    return nullptr;
  }
  auto It = R.Config->CustomerByKey.find(KeyField->substr(Prefix.size()));
  if (It == R.Config->CustomerByKey.end()) {
    Detail = "unknown key";
    return nullptr;
  }
  return R.Config->customer(It->second);
}

static void parseTokenCounts(const std::string *Field, double &Prompt,
                             double &Output) {
  unsigned long long PromptCount = 0;
  unsigned long long OutputCount = 0;
  if (Field != nullptr &&
      sscanf(Field->c_str(), "%llu,%llu", &PromptCount, &OutputCount) == 2) {
    Prompt = static_cast<double>(PromptCount);
    Output = static_cast<double>(OutputCount);
  }
}

// Every refusal in this function happens before any byte can have been sent to
// a target.
bool RequestRelay::admit(RelayedRequest &R) {
  const RelayHeaders &H = this->Init.Headers;
  if (!R.Config) {
    this->refuse(R, 503, "no configuration yet", RetryAfterNotReady);
    return false;
  }
  bool Fresh = this->StoreView.age(DirectoryKind::Config, bootTime()) <
               this->Init.MaxFreshConfigAge;
  const std::string *HostField = R.Request.Head.find("host");
  R.MatchedRoute = R.Config->match(HostField == nullptr ? "" : *HostField,
                                   R.Request.Head.Target);
  if (R.MatchedRoute == nullptr) {
    if (Fresh) {
      this->refuse(R, 404, "no route", Duration(0));
    } else {
      this->refuse(R, 503, "no route, and the configuration may be old",
                   RetryAfterNotReady);
    }
    return false;
  }
  if (R.Config->RequiresKeys && !R.MatchedRoute->Anonymous) {
    std::string Detail;
    R.Customer = this->authenticate(R, Detail);
    if (R.Customer == nullptr && Fresh) {
      this->refuse(R, 401, Detail.c_str(), Duration(0));
      return false;
    }
    if (R.Customer == nullptr || !this->keysTrusted()) {
      this->refuse(R, 503, "the key cannot be confirmed", RetryAfterNotReady);
      return false;
    }
  }
  Time Now = ProcessClock::now();
  if (this->isClosed(Now)) {
    this->refuse(R, 503, "this host is stopping", RetryAfterShutdown);
    return false;
  }
  R.Prints.push_back(Fingerprint{
      hashPair(hash64(R.Request.Head.Method + " " + R.Request.Head.Target),
               hash64(*R.RequestBody,
                      R.Customer == nullptr ? 0 : R.Customer->Id.Value))});
  const std::string *PartsField = R.Request.Head.find(H.PromptParts);
  if (PartsField != nullptr) {
    CrashPrints Parts = sharedPromptParts(*PartsField);
    R.Prints.insert(R.Prints.end(), Parts.begin(), Parts.end());
  }
  if (this->Crashes.isQuarantined(R.Prints, Now)) {
    this->Metrics.recordQuarantine();
    this->refuse(R, 503, "its content crashes targets", RetryAfterQuarantine);
    return false;
  }
  const std::string *TokenCountsField = R.Request.Head.find(H.TokenCounts);
  parseTokenCounts(TokenCountsField, R.PromptTokens, R.OutputTokens);
  if (this->Init.Scheduling.LearnSpeed) {
    const std::string *Hint = R.Request.Head.find(H.LengthHint);
    R.OutputHint =
        parseOutputHint(Hint == nullptr ? "" : *Hint, R.OutputTokens);
  }
  const std::string *DeadlineField = R.Request.Head.find(H.DeadlineMs);
  Duration TimeLeft =
      DeadlineField == nullptr
          ? DefaultDeadline
          : millis(std::clamp<int64_t>(atoll(DeadlineField->c_str()), 0,
                                       MaxDeadlineMs));
  R.Deadline = R.Request.ReceivedAt +
               std::min(TimeLeft - ResponseMargin, R.MatchedRoute->Timeout);
  // The longest deadline seen recently on a route is that of first attempts.
  // The gap between it and a shorter deadline tells how long the caller has
  // been trying.
  Duration &Longest = this->LongestDeadline[R.MatchedRoute->Id];
  Longest = std::max(TimeLeft, Longest - Longest / LongestDeadlineDecayDivisor);
  // Callers choose different deadlines, so only a deadline well below the
  // longest shows earlier attempts.
  Duration DeadlineGap =
      DeadlineField == nullptr ? Duration(0) : Longest - TimeLeft;
  R.PriorAttemptTime = DeadlineGap > Longest * MinDeadlineGapPercent / 100
                           ? DeadlineGap
                           : Duration(0);
  double Draw = static_cast<double>(hash64(R.RequestId) % 10000) / 10000;
  double TotalWeight = 0;
  for (const RouteShare &S : R.MatchedRoute->Shares) {
    TotalWeight += S.Weight;
  }
  for (const RouteShare &S : R.MatchedRoute->Shares) {
    R.Service = S.Service;
    Draw -= S.Weight / std::max(TotalWeight, 1e-9);
    if (Draw < 0) {
      break;
    }
  }
  if (R.Customer != nullptr) {
    R.QuotaAmount =
        FleetQuota::requestAmount(*R.Customer, TokenCountsField != nullptr,
                                  R.PromptTokens + R.OutputTokens);
    QuotaDecision Decision =
        this->Quota.admit(R.Customer->Id, R.QuotaAmount, Now);
    this->Metrics.recordQuotaDecision(Decision.Admitted);
    if (!Decision.Admitted) {
      this->refuse(R, 429, "the customer is over its quota",
                   Decision.RetryAfter);
      return false;
    }
  }
  return true;
}

void RequestRelay::onCallerRequest(FrontendRequest &&Request) {
  std::unique_ptr<RelayedRequest> Created = std::make_unique<RelayedRequest>();
  RelayedRequest &R = *Created;
  R.Id = PlacementId{this->NextRun++};
  R.Request = std::move(Request);
  R.RequestBody = std::make_shared<std::string>(std::move(R.Request.Body));
  R.Request.Body = std::string();
  R.Config = this->Config;
  const std::string *RequestIdField =
      R.Request.Head.find(this->Init.Headers.RequestId);
  R.RequestId = RequestIdField == nullptr ? "" : *RequestIdField;
  const std::string *LastEventIdField = R.Request.Head.find("last-event-id");
  R.LastEventId = LastEventIdField == nullptr ? "" : *LastEventIdField;
  const std::string *ResumesField =
      R.Request.Head.find(this->Init.Headers.Resumes);
  R.Resumes = ResumesField == nullptr ? "" : *ResumesField;
  this->Requests[R.Id] = std::move(Created);
  this->RunByExchange[R.Request.Exchange] = R.Id;
  ++this->Counts.Received;
  this->account(R);
  if (this->admit(R)) {
    this->service(R.Service).Budget.recordRequest(R.Request.ReceivedAt);
    if (goesOn(R)) {
      this->placeOnceOriginIsKnown(R);
    } else {
      this->place(R);
    }
  }
}

PlacementRequest RequestRelay::placementOf(const RelayedRequest &R) {
  PlacementRequest Placement;
  Placement.Id = R.Id;
  Placement.Customer = R.Customer == nullptr ? CustomerId() : R.Customer->Id;
  Placement.Rank = R.MatchedRoute->Rank;
  Placement.PromptTokens = R.PromptTokens;
  Placement.OutputTokens = R.OutputTokens;
  Placement.OutputHint = R.OutputHint;
  Placement.Objective = R.MatchedRoute->Objective;
  Placement.Arrived = R.Request.ReceivedAt;
  Placement.Deadline = R.Deadline;
  // The objective ends with the first event, which came before a stream broke.
  Placement.FirstAttempt =
      R.Request.ReceivedAt - (goesOn(R) ? Duration(0) : R.PriorAttemptTime);
  Placement.RefusedBefore = R.PriorAttemptTime.count() > 0;
  Placement.Repeatable = R.MatchedRoute->repeatable();
  Placement.Stream = R.MatchedRoute->Kind == RouteKind::Stream;
  Placement.Software = R.Software.isValid() ? R.Software : R.BeginsAt;
  Placement.Tried = R.Tried;
  return Placement;
}

void RequestRelay::place(RelayedRequest &R) {
  if (!this->bindToOpenVersion(R)) {
    this->awaitOpening(R);
    return;
  }
  this->service(R.Service).Places->enqueue(placementOf(R), ProcessClock::now());
  this->dispatch(R.Service);
}

void RequestRelay::dispatch(ServiceId Id) {
  std::vector<PlacedRequest> Placed;
  std::vector<PlacementRefusal> Refused;
  this->service(Id).Places->decide(ProcessClock::now(), Placed, Refused);
  for (const PlacementRefusal &Refusal : Refused) {
    RelayedRequest *R = this->find(Refusal.Id);
    if (R == nullptr) {
      continue;
    }
    if (Refusal.Why == RefusalReason::NoVersion && R->BeginsAt.isValid()) {
      this->awaitOpening(*R);
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
    this->refuseOrFail(*R, name(Refusal.Why), Refusal.RetryAfter);
  }
  for (const PlacedRequest &P : Placed) {
    RelayedRequest *R = this->find(P.Id);
    if (R != nullptr) {
      this->send(*R, P);
    } else {
      this->service(Id).Places->ended(P.Id, AttemptResult::Unknown,
                                      ProcessClock::now());
    }
  }
  this->schedulePlacementMessages();
}

void RequestRelay::account(const RelayedRequest &R) {
  this->Frontend.setHeldBytes(
      R.Request.Exchange,
      memoryOf(R.Request.Head) + R.RequestBody->capacity() + R.Body.capacity());
}

std::string RequestRelay::serializeRequest(const RelayedRequest &R) const {
  const RelayHeaders &H = this->Init.Headers;
  std::string Text =
      R.Request.Head.Method + " " + R.Request.Head.Target + " HTTP/1.1\r\n";
  for (const HttpField &F : R.Request.Head.Fields) {
    bool Dropped = isHopByHop(F.Name) ||
                   equalsIgnoringCase(F.Name, "content-length") ||
                   equalsIgnoringCase(F.Name, "expect") ||
                   equalsIgnoringCase(F.Name, "authorization") ||
                   equalsIgnoringCase(F.Name, H.DeadlineMs) ||
                   equalsIgnoringCase(F.Name, "last-event-id");
    for (const std::string &Name : H.StrippedCallerFields) {
      Dropped = Dropped || equalsIgnoringCase(F.Name, Name);
    }
    if (!Dropped) {
      Text += F.Name + ": " + F.Value + "\r\n";
    }
  }
  int64_t RemainingMs =
      std::max<int64_t>(1, toMillis(R.Deadline - ProcessClock::now()));
  Text += H.DeadlineMs + ": " + std::to_string(RemainingMs) + "\r\n";
  Text += H.ExpectInstance + ": " + R.Target.Instance + "\r\n";
  if (R.Customer != nullptr) {
    Text += H.Customer + ": " + R.Customer->Name + "\r\n";
  }
  if (!R.LastEventId.empty()) {
    Text += "Last-Event-Id: " + R.LastEventId + "\r\n";
  }
  if (!R.RequestBody->empty() || R.Request.Head.Method != "GET") {
    Text += "Content-Length: " + std::to_string(R.RequestBody->size()) + "\r\n";
  }
  Text += "\r\n";
  return Text;
}

void RequestRelay::send(RelayedRequest &R, const PlacedRequest &P) {
  R.Placed = true;
  R.AttemptSent = false;
  R.Target = P.Target;
  R.Predicted = P.Predicted;
  this->Metrics.recordWait(R.MatchedRoute->Kind, P.Waited);
  R.HeadReceived = false;
  R.AttemptEvents = 0;
  R.AttemptIds = 0;
  R.Events = EventStreamScanner();
  R.AttemptFromStart = !R.ResponseBegun && R.LastEventId.empty();
  R.ReadingPaused = false;
  R.NotRun = false;
  R.IsEventStream = false;
  R.AnswerBegunAt = Time();
  R.Status = 0;
  R.Fields.clear();
  R.Body = std::string();
  if (!this->Budget.hasFreeConnection() && !this->onConnectionsFull() &&
      !this->Frontend.closeIdlest()) {
    this->releasePlace(R, AttemptResult::Unknown);
    this->refuseOrFail(R, "this host has no free descriptor",
                       RetryAfterTargetFailure);
    return;
  }
  logEvent("placed",
           {{"id", R.RequestId},
            {"target", P.Target.Instance},
            {"software", P.Target.Software},
            {"run", P.Target.shortIdentity()},
            {"in-doubt", this->Doubts.inDoubt(P.Target.shortIdentity())},
            {"after-event", R.LastEventId},
            {"resumes", R.Resumes},
            {"running", P.Running},
            {"granted", P.Granted},
            {"prompt-tokens", R.PromptTokens},
            {"predicted-ms", toMillis(P.Predicted)},
            {"waited-ms", toMillis(P.Waited)},
            {"targets-age-ms", toMillis(this->StoreView.age(
                                   DirectoryKind::Targets, bootTime()))}});
  R.Ways = RouteAttempts();
  this->startCall(R);
}

} // namespace shallotlatch
