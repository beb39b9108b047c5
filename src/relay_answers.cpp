// The targets' side: sending, answers, and what may be sent again.
#include "relay_p.h"

#include "event_log_p.h"
#include "relay_limits_p.h"
#include "sockets_p.h"

#include <algorithm>

namespace shallotlatch {

// Bytes of one plain answer, or of one event of a stream.
static constexpr size_t MaxAnswerBytes = 8 * 1024 * 1024;
// Connection attempts for one request before it is refused.
static constexpr uint32_t MaxConnectFails = 4;
// Targets that may refuse one request before it is refused.
static constexpr uint32_t MaxArrivals = 3;
// A second attempt needs at least this much time.
static constexpr Duration MinTimeToRepeat = millis(60);

// The last moment at which sending can be refused with "not run".
bool RelayTable::onSending(WireCallId Call) {
  Relay *R = this->Starting.isValid() ? this->find(this->Starting)
                                      : this->findCall(Call);
  if (R == nullptr) {
    return false;
  }
  bool Trusted = R->Customer == nullptr || this->keysTrusted();
  auto It = this->Targets.find(R->Target.Instance);
  bool Usable = It != this->Targets.end() &&
                !this->withDeparture(It->second).Leaving &&
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
  this->leaveTarget(*R, AttemptResult::Unknown);
  if (Trusted) {
    // An owner may not have heard yet that this target is leaving.
    R->Tried.push_back(R->Target.Instance);
    this->place(*R);
  } else {
    this->giveUp(*R, "the key cannot be confirmed", NotReadyReturn);
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
  if (R->Body.size() + Part.size() > MaxAnswerBytes) {
    R->MayHaveRun = true;
    this->fail(*R, 502, "the target's answer is over its limit");
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
  this->service(R.Service).Places->started(R.Id, Now);
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

void RelayTable::leaveTarget(Relay &R, AttemptResult Sign) {
  if (!R.Placed) {
    return;
  }
  R.Placed = false;
  R.Call = WireCallId();
  this->service(R.Service).Places->ended(R.Id, Sign, ProcessClock::now());
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
    this->leaveTarget(R, AttemptResult::Unreachable);
    logEvent("connect-failed",
             {{"id", R.RequestId}, {"target", R.Target.Instance}});
    if (++R.ConnectFails < MaxConnectFails) {
      this->place(R);
    } else {
      this->giveUp(R, "no target could be reached", FailReturn);
    }
  } else if (How == WireEnd::Complete && R.NotRun) {
    --R.Attempts;
    this->leaveTarget(R, AttemptResult::Full);
    if (!this->sendAgain(R, "the target did not run it")) {
      this->giveUp(R, "the target did not run it", FailReturn);
    }
  } else if (How == WireEnd::Complete) {
    bool Error = R.Status >= 500;
    this->leaveTarget(R, Error ? AttemptResult::Failed : AttemptResult::Served);
    R.MayHaveRun = true;
    if (!Error || !this->sendAgain(R, "the target failed")) {
      this->passWhole(R);
    }
  } else {
    this->leaveTarget(R, AttemptResult::Lost);
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

} // namespace shallotlatch
