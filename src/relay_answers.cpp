// Calls to targets: permission to send, responses and retries.
#include "relay_p.h"

#include "event_log_p.h"
#include "relay_limits_p.h"
#include "sockets_p.h"

#include <algorithm>

namespace shallotlatch {

// Limit on the bytes of one plain response or of one event of a stream.
static constexpr size_t MaxResponseBytes = 8 * 1024 * 1024;
// Limit on sends of one request, including those that targets refused to run.
static constexpr uint32_t MaxTotalSends = 3;
// A retry needs more than this time before the deadline.
static constexpr Duration MinRetryTime = millis(60);
// Time after its first event for which an answer counts as just begun.
static constexpr Duration AnswerBeginning = millis(300);

// Callers take these statuses as a promise that their request has not run and
// never will. 421 proves it by itself.
bool RequestRelay::isUnprovenRefusal(const RelayedRequest &R) {
  return !R.NotRun && (R.Status == 408 || R.Status == 429 || R.Status == 503);
}

bool RequestRelay::isFailure(const RelayedRequest &R) {
  return R.Status >= 500 || isUnprovenRefusal(R);
}

// This is the last point at which an attempt can be stopped with the certainty
// that it did not run.
bool RequestRelay::onSending(OutboundCallId Call) {
  RelayedRequest *R = this->StartingRun.isValid()
                          ? this->find(this->StartingRun)
                          : this->findByCall(Call);
  if (R == nullptr) {
    return false;
  }
  bool Trusted = R->Customer == nullptr || this->keysTrusted();
  auto It = this->Targets.find(R->Target.Instance);
  Time Now = ProcessClock::now();
  bool Quarantined = this->Crashes.isQuarantined(R->Prints, Now);
  bool Usable = It != this->Targets.end() &&
                !this->withOwnerDeparture(It->second).Leaving &&
                It->second.identity() == R->Target.identity();
  bool Noticed =
      !this->service(R->Service)
           .Places->scheduler()
           .notices()
           .maySend(incarnationKey(R->Target), R->Request.ReceivedAt, Now);
  Usable = Usable && this->rolloutAllows(*R);
  // The owner may not know yet that the run is in doubt.
  R->RunInDoubt = this->Doubts.inDoubt(R->Target.shortIdentity());
  Usable = Usable && !(R->RunInDoubt && R->Software.isValid());
  // A version may have entered since the request was placed.
  bool Closed = beginsStream(*R) &&
                !this->mayBeginAt(R->Service, softwareId(R->Target.Software));
  bool Late = !this->canAwaitAnswer(*R, Now);
  if (Trusted && Usable && !Closed && !Quarantined && !Noticed && !Late) {
    R->AttemptSent = true;
    R->EverSent = true;
    ++R->Attempts;
    ++R->TotalSends;
    R->SentAt = Now;
    this->recordSentDirectly(*R, Now);
    this->recordRolloutSent(*R);
    return true;
  }
  this->RunByCall.erase(Call);
  this->releasePlace(*R, AttemptResult::Unknown);
  if (Quarantined) {
    this->Metrics.recordQuarantine();
    this->refuseOrFail(*R, "its content crashes targets", RetryAfterQuarantine);
  } else if (Late) {
    this->refuseOrFail(*R, "this host stops", RetryAfterShutdown);
  } else if (Trusted) {
    // The owner may not know yet that this target is leaving. Notices bar the
    // target in the placement too, and a pause ends.
    if (!Usable) {
      R->Tried.push_back(R->Target.Instance);
    }
    this->place(*R);
  } else {
    this->refuseOrFail(*R, "the key cannot be confirmed", RetryAfterNotReady);
  }
  return false;
}

ResponseHeadAction RequestRelay::onHead(OutboundCallId Call, HttpHead &Head) {
  RelayedRequest *R = this->findByCall(Call);
  if (R == nullptr) {
    return ResponseHeadAction::Refuse;
  }
  const RelayHeaders &H = this->Init.Headers;
  this->recordHeard(*R, ProcessClock::now());
  // Notices are true of the target whether or not the answer can be used.
  this->observeNotices(R->Target, R->RequestId, Head);
  const std::string *Id = Head.find(H.RequestId);
  if (Id == nullptr || *Id != R->RequestId) {
    logEvent("answer-foreign", {{"id", R->RequestId},
                                {"target", R->Target.Instance},
                                {"answers", Id == nullptr ? "" : *Id}});
    return Id == nullptr ? ResponseHeadAction::Refuse
                         : ResponseHeadAction::Skip;
  }
  bool Success = Head.Status >= 200 && Head.Status < 300;
  if (Head.find("content-encoding") != nullptr ||
      (Success && Head.find(H.ServerStamp) == nullptr)) {
    return ResponseHeadAction::Refuse;
  }
  this->observeLimit(R->Target, R->RequestId, Head);
  this->observeLoad(*R, Head);
  R->HeadReceived = true;
  R->Status = Head.Status;
  R->NotRun = Head.Status == 421 || Head.find(H.NotRun) != nullptr;
  if (isUnprovenRefusal(*R)) {
    this->Metrics.recordUnprovenRefusal();
    logEvent("refusal-unproven",
             {{"id", R->RequestId},
              {"target", R->Target.Instance},
              {"status", Head.Status},
              {"stamped", Head.find(H.ServerStamp) != nullptr},
              {"repeatable", R->MatchedRoute->repeatable()}});
  }
  R->EndsAtClose = Head.BodyEndsAtClose;
  bool GoesOn = !R->ResponseBegun || continuesStream(*R, Head);
  R->IsEventStream =
      Success && R->MatchedRoute->Kind == RouteKind::Stream && GoesOn;
  if (!GoesOn) {
    logEvent("stream-not-continued", {{"id", R->RequestId},
                                      {"target", R->Target.Instance},
                                      {"status", Head.Status}});
  }
  // A growing string would be copied and hold up to twice its length.
  const std::string *Length = Head.find("content-length");
  if (Length != nullptr && !R->IsEventStream) {
    R->Body.reserve(std::min<size_t>(strtoull(Length->c_str(), nullptr, 10),
                                     MaxResponseBytes));
  }
  for (const HttpField &F : Head.Fields) {
    if (!isHopByHop(F.Name) && !equalsIgnoringCase(F.Name, "content-length")) {
      R->Fields.push_back(F);
    }
  }
  return ResponseHeadAction::Take;
}

// Returns a content type without its parameters; empty if there is none.
static std::string mediaType(const std::string *Value) {
  std::string Type = Value == nullptr ? "" : *Value;
  Type.resize(std::min(Type.find_first_of("; \t"), Type.size()));
  return Type;
}

void RequestRelay::beginResponse(RelayedRequest &R) {
  R.ResponseBegun = true;
  R.BegunStatus = R.Status;
  R.BegunType.clear();
  for (const HttpField &F : R.Fields) {
    if (equalsIgnoringCase(F.Name, "content-type")) {
      R.BegunType = mediaType(&F.Value);
    }
  }
  this->Frontend.beginResponse(R.Request.Exchange, R.Status, R.Fields);
}

bool RequestRelay::continuesStream(const RelayedRequest &R,
                                   const HttpHead &Head) {
  return Head.Status == R.BegunStatus &&
         equalsIgnoringCase(mediaType(Head.find("content-type")), R.BegunType);
}

void RequestRelay::onBody(OutboundCallId Call, std::string_view Part) {
  RelayedRequest *R = this->findByCall(Call);
  if (R == nullptr) {
    return;
  }
  this->recordHeard(*R, ProcessClock::now());
  if (R->Body.size() + Part.size() > MaxResponseBytes) {
    this->endCallAndFail(*R, "the target's answer is over its limit");
    return;
  }
  R->Body.append(Part.data(), Part.size());
  if (R->IsEventStream) {
    this->forwardEvents(*R);
  }
  if (this->findByCall(Call) == R) {
    this->account(*R);
  }
}

void RequestRelay::endCallAndFail(RelayedRequest &R, const char *Detail) {
  R.MayHaveRun = true;
  // The call ends here, so its end does not count against the target.
  OutboundCallId Current = R.Call;
  this->releasePlace(R, AttemptResult::Failed);
  R.Call = Current;
  this->fail(R, 502, Detail);
}

// Ids of events increase. A target that goes on at or before the last event
// that the caller has would send it again.
bool RequestRelay::repeatsEvents(const RelayedRequest &R) {
  std::optional<uint64_t> Last = eventNumber(R.LastEventId);
  std::optional<uint64_t> First = eventNumber(R.Events.firstId());
  return R.AttemptIds == 0 && Last && First && *First <= *Last;
}

void RequestRelay::forwardEvents(RelayedRequest &R) {
  size_t End = R.Events.scan(R.Body);
  if (End == 0) {
    return;
  }
  if (repeatsEvents(R)) {
    logEvent("stream-not-continued", {{"id", R.RequestId},
                                      {"target", R.Target.Instance},
                                      {"after-event", R.LastEventId},
                                      {"event", R.Events.firstId()}});
    this->endCallAndFail(R, "the target repeats events of the stream");
    return;
  }
  uint32_t NewEvents =
      static_cast<uint32_t>(R.Events.events()) - R.AttemptEvents;
  R.EventCount += R.Events.ids() - R.AttemptIds;
  R.AttemptIds = R.Events.ids();
  R.LastEventId = R.AttemptIds > 0 ? R.Events.lastId() : R.LastEventId;
  R.PositionKnown = R.Events.endsWithId();
  Time Now = ProcessClock::now();
  if (R.FirstEventAt == Time()) {
    R.FirstEventAt = Now;
    this->recordStream(R, Now);
  } else {
    R.LongestPause = std::max(R.LongestPause, Now - R.LastEventAt);
  }
  R.LastEventAt = Now;
  if (R.AnswerBegunAt == Time()) {
    R.AnswerBegunAt = Now;
  }
  ServicePlacement &Places = *this->service(R.Service).Places;
  Places.started(R.Id, Now);
  if (R.AttemptEvents > 0) {
    // The time while reading was paused is the caller's, not the target's.
    Places.progressed(R.Id, R.ReadingPaused ? 0 : NewEvents, Now);
    R.ReadingPaused = false;
  }
  R.AttemptEvents += NewEvents;
  if (!R.ResponseBegun) {
    this->beginResponse(R);
  }
  std::string Events = std::move(R.Body);
  R.Body = Events.substr(End);
  Events.resize(End);
  bool BelowHighMark =
      this->Frontend.writeChunk(R.Request.Exchange, std::move(Events));
  if (!BelowHighMark) {
    this->TargetClient.pauseReading(R.Call, true);
    R.ReadingPaused = true;
  }
}

void RequestRelay::onCallerWritable(ExchangeId Exchange) {
  auto It = this->RunByExchange.find(Exchange);
  RelayedRequest *R =
      It == this->RunByExchange.end() ? nullptr : this->find(It->second);
  if (R != nullptr && R->Call.isValid()) {
    this->TargetClient.pauseReading(R->Call, false);
  }
}

// Nothing of the response was sent. The caller learns whether its request may
// have run.
void RequestRelay::onCallerOverBudget(ExchangeId Exchange) {
  auto It = this->RunByExchange.find(Exchange);
  RelayedRequest *R =
      It == this->RunByExchange.end() ? nullptr : this->find(It->second);
  if (R == nullptr) {
    return;
  }
  ServiceId Service = R->Service;
  if (R->MatchedRoute != nullptr && !R->Placed) {
    this->service(Service).Places->withdraw(R->Id);
  }
  R->MayHaveRun = R->MayHaveRun || R->AttemptSent;
  this->refuseOrFail(*R, "this host holds too many bytes",
                     RetryAfterTargetFailure);
  this->dispatch(Service);
}

bool RequestRelay::onConnectionsFull() {
  return this->TargetClient.dropOldestIdle();
}

void RequestRelay::releasePlace(RelayedRequest &R, AttemptResult Sign) {
  if (!R.Placed) {
    return;
  }
  R.Placed = false;
  R.Call = OutboundCallId();
  this->endDirectAttempt(R);
  // Only the whole answer tells how long an answer is.
  bool Whole =
      Sign == AttemptResult::Served && R.IsEventStream && R.AttemptFromStart;
  this->service(R.Service).Places->ended(R.Id, Sign, ProcessClock::now(),
                                         Whole ? R.AttemptEvents : 0);
}

// Places the request again if a retry is allowed and within the budget. Returns
// whether it did.
bool RequestRelay::tryRetry(RelayedRequest &R, const char *Cause) {
  Time Now = ProcessClock::now();
  bool Allowed = (!R.MayHaveRun || R.MatchedRoute->repeatable()) &&
                 (!R.ResponseBegun || R.PositionKnown) &&
                 !this->Crashes.isQuarantined(R.Prints, Now) &&
                 R.Attempts < R.MatchedRoute->MaxAttempts &&
                 R.TotalSends < MaxTotalSends &&
                 R.Deadline - Now > MinRetryTime && !this->isClosed(Now);
  // The budget is for tries that can be sent.
  bool CanBeSent = Allowed && this->mayTryAgain(R);
  bool WithinBudget =
      CanBeSent && (R.TotalSends == 0 ||
                    this->service(R.Service).Budget.take(Now, this->Hosts));
  logEvent(WithinBudget ? "sent-again" : "not-sent-again",
           {{"id", R.RequestId},
            {"why", Cause},
            {"attempts", R.Attempts},
            {"limit", R.MatchedRoute->MaxAttempts},
            {"may-have-run", R.MayHaveRun},
            {"budget", WithinBudget}});
  this->Metrics.recordRetry(WithinBudget);
  if (!WithinBudget) {
    return false;
  }
  ++this->Counts.Retried;
  this->place(R);
  return true;
}

bool RequestRelay::endsWithinEvent(const RelayedRequest &R) {
  bool NoEvent = R.EndsAtClose && R.AnswerBegunAt == Time();
  return R.IsEventStream && (!R.Body.empty() || NoEvent);
}

bool RequestRelay::answerWellBegun(const RelayedRequest &R) {
  return R.AnswerBegunAt != Time() &&
         ProcessClock::now() - R.AnswerBegunAt > AnswerBeginning;
}

// A content or prompt part that crashes targets does so as the answer begins.
// An answer that went on for longer has another cause for its end.
void RequestRelay::recordCrashEvidence(const RelayedRequest &R,
                                       OutboundCallEnd End) {
  Time Now = ProcessClock::now();
  bool Success = End == OutboundCallEnd::Complete && R.Status < 300;
  if (Success || answerWellBegun(R)) {
    this->Crashes.onSurvived(R.Prints, Now);
  } else if (End == OutboundCallEnd::Broken) {
    this->Crashes.onConnectionBroken(
        {R.Target.Instance, R.Target.shortIdentity(), R.Prints, R.SentAt}, Now);
  }
}

void RequestRelay::onEnd(OutboundCallId Call, OutboundCallEnd End) {
  RelayedRequest *Found = this->findByCall(Call);
  this->RunByCall.erase(Call);
  if (Found == nullptr) {
    return;
  }
  RelayedRequest &R = *Found;
  ServiceId Service = R.Service;
  if (isUnsent(End)) {
    this->retryUnsent(R, End);
    this->dispatch(Service);
    return;
  }
  R.Tried.push_back(R.Target.Instance);
  if (End == OutboundCallEnd::TimedOut) {
    this->recordSilence(R);
  }
  if (End == OutboundCallEnd::Complete && endsWithinEvent(R)) {
    End = OutboundCallEnd::Broken;
  }
  if (End == OutboundCallEnd::Complete && R.NotRun) {
    --R.Attempts;
    this->releasePlace(R, AttemptResult::Full);
    if (!this->tryRetry(R, "the target did not run it")) {
      this->refuseOrFail(R, "the target did not run it",
                         this->retryAfterNotRun(R));
    }
  } else if (End == OutboundCallEnd::Complete) {
    bool Error = isFailure(R);
    this->recordCrashEvidence(R, End);
    this->recordRolloutEnd(R, RolloutEnd::Answered);
    this->releasePlace(R,
                       Error ? AttemptResult::Failed : AttemptResult::Served);
    R.MayHaveRun = true;
    if (!Error || !this->tryRetry(R, "the target failed")) {
      this->forwardCompleteResponse(R);
    }
  } else {
    this->recordCrashEvidence(R, End);
    if (End == OutboundCallEnd::Broken) {
      this->suspectRun(R.Target.shortIdentity(), "broken");
    }
    this->recordRolloutEnd(R, RolloutEnd::Broken);
    // Silence and the end of a tunnel are the path's.
    bool OfTarget =
        End == OutboundCallEnd::Broken || End == OutboundCallEnd::Malformed;
    this->releasePlace(R,
                       OfTarget ? AttemptResult::Lost : AttemptResult::Unknown);
    R.MayHaveRun = true;
    const std::string *Parts =
        R.Request.Head.find(this->Init.Headers.PromptParts);
    logEvent("answer-lost", {{"id", R.RequestId},
                             {"target", R.Target.Instance},
                             {"how", name(End)},
                             {"events", R.EventCount},
                             {"content", toHex(R.Prints.front().Value)},
                             {"parts", Parts == nullptr ? "" : *Parts}});
    R.Body.clear();
    if (this->tryRetry(R, name(End))) {
      this->Counts.Resumed += R.ResponseBegun ? 1 : 0;
    } else {
      this->fail(R, 502, "the target's answer was lost");
    }
  }
  this->dispatch(Service);
}

void RequestRelay::forwardCompleteResponse(RelayedRequest &R) {
  if (R.IsEventStream) {
    if (!R.ResponseBegun) {
      this->beginResponse(R);
    }
    this->Frontend.endResponse(R.Request.Exchange);
    this->finish(R, Outcome::Completed, R.Status, "");
    return;
  }
  if (R.ResponseBegun) {
    // The target responded to a resumed stream with something other than a
    // stream of events.
    this->fail(R, 502, "the stream could not be resumed");
    return;
  }
  // A caller that sends its request again on an empty promise has it run twice.
  // Fields and body belong to the target's status, so they are left behind.
  if (isUnprovenRefusal(R) && !R.MatchedRoute->repeatable()) {
    this->fail(R, 502, "the target refused it, but may have run it");
    return;
  }
  FrontendResponse Response;
  Response.Status = R.Status;
  Response.Fields = R.Fields;
  Response.Body = std::move(R.Body);
  this->Frontend.respond(R.Request.Exchange, std::move(Response));
  this->finish(R, isFailure(R) ? Outcome::Failed : Outcome::Completed, R.Status,
               "");
}

} // namespace shallotlatch
