#include "run_task_p.h"

#include <nlohmann/json.hpp>

namespace shallotlatch {

static constexpr Duration PollTimeout = millis(1500);
static const std::string EndMarker = "[DONE]";

RunTask::RunTask(HttpClient &Client, RunEvents Events)
    : Client(Client), Events(std::move(Events)) {}

void RunTask::start(const RunOrder &Order) {
  Run &R = this->Runs[Order.Request.Index];
  R = Run();
  R.Form.Engine = Order.Target->Type == TargetType::Engine;
  R.Form.RefusalProvesNotRun = Order.Target->RefusalProvesNotRun;
  HttpRequest Out;
  Out.To = parseAddress(Order.Target->Address);
  Out.Path = Order.Path;
  Out.Body = Order.Body;
  Out.Timeout = Order.Timeout;
  // An idle connection may be closed by its far end just as it is used: that
  // would turn a request into "may have run". Work that must not be repeated
  // gets a fresh one.
  Out.Reuse = Order.Idempotent;
  Out.Headers.emplace_back("Content-Type", "application/json");
  Out.Headers.emplace_back("X-Request-Id", Order.RequestId);
  if (!Order.Key.empty()) {
    Out.Headers.emplace_back("Idempotency-Key", Order.Key);
  }
  RequestHandle H = Order.Request;
  HttpEvents E;
  E.Sending = [this, H]() { this->Events.Sending(H); };
  if (R.Form.Engine) {
    E.Chunk = [this, H](const std::string &Part) { this->onChunk(H, Part); };
  }
  E.Done = [this, H](const HttpResult &Result) { this->onDone(H, Result); };
  R.Call = this->Client.start(std::move(Out), std::move(E));
}

void RunTask::abort(RequestHandle Request) {
  auto It = this->Runs.find(Request.Index);
  if (It != this->Runs.end()) {
    this->Client.abort(It->second.Call);
    this->Runs.erase(It);
  }
}

void RunTask::onChunk(RequestHandle Request, const std::string &Part) {
  auto It = this->Runs.find(Request.Index);
  if (It == this->Runs.end()) {
    return;
  }
  Run &R = It->second;
  R.Partial += Part;
  size_t End = R.Partial.find("\n\n");
  while (End != std::string::npos) {
    std::string Line = R.Partial.substr(0, End);
    R.Partial.erase(0, End + 2);
    this->onEvent(Request, R, Line);
    End = R.Partial.find("\n\n");
  }
}

void RunTask::onEvent(RequestHandle Request, Run &R, const std::string &Line) {
  static const std::string Prefix = "data: ";
  if (Line.compare(0, Prefix.size(), Prefix) != 0 || R.Form.SawEnd) {
    R.Form.Broken = true;
    return;
  }
  std::string Data = Line.substr(Prefix.size());
  if (Data == EndMarker) {
    R.Form.SawEnd = true;
    return;
  }
  nlohmann::json Event = nlohmann::json::parse(Data, nullptr, false);
  if (!Event.is_object() || !Event.contains("text") ||
      !Event["text"].is_string()) {
    R.Form.Broken = true;
    return;
  }
  this->Events.Token(Request, Event["text"].get<std::string>());
}

// The one place where an answer, or the lack of one, becomes a verdict.
DispatchEnd judgeAnswer(const AnswerForm &Form, const HttpResult &Result) {
  DispatchEnd E;
  bool Refusal = Result.Status == 429 || Result.Status == 503;
  if (Result.Status == 0) {
    E.Result = DispatchResult::Lost;
    E.FinalVerdict =
        Verdict{Outcome::MayHaveRun, Reason::TargetLost, Duration(0)};
  } else if (Refusal) {
    E.Result = DispatchResult::Refused;
    E.FinalVerdict.Result =
        Form.RefusalProvesNotRun ? Outcome::NotRun : Outcome::MayHaveRun;
    E.FinalVerdict.Why = Reason::TargetRefused;
    E.FinalVerdict.RetryAfter = seconds(1);
  } else if (Result.Status >= 300) {
    E.Result = DispatchResult::Refused;
    E.FinalVerdict = Verdict{Outcome::Failed, Reason::TargetError, Duration(0)};
  } else if (!Result.Whole || (Form.Engine && (!Form.SawEnd || Form.Broken))) {
    E.Result = DispatchResult::Lost;
    E.FinalVerdict =
        Verdict{Outcome::MayHaveRun, Reason::Truncated, Duration(0)};
  } else {
    E.Result = DispatchResult::Done;
    E.FinalVerdict = Verdict{Outcome::Completed, Reason::None, Duration(0)};
    E.Answer = Result.Body;
  }
  return E;
}

void RunTask::onDone(RequestHandle Request, const HttpResult &Result) {
  auto It = this->Runs.find(Request.Index);
  if (It == this->Runs.end()) {
    return;
  }
  Run R = std::move(It->second);
  this->Runs.erase(It);
  if (!Result.Sent) {
    this->Events.Unsent(Request);
    return;
  }
  this->Events.Ended(Request, judgeAnswer(R.Form, Result));
}

void RunTask::poll(const TargetSpec &Target) {
  HttpRequest Out;
  Out.To = parseAddress(Target.Address);
  Out.Method = "GET";
  Out.Path = "/load";
  Out.Timeout = PollTimeout;
  Out.Reuse = true;
  TargetId Id = targetId(Target.Name);
  HttpEvents E;
  E.Done = [this, Id](const HttpResult &Result) {
    TargetReport Report;
    nlohmann::json Root = nlohmann::json::parse(Result.Body, nullptr, false);
    Report.Reached = Result.Status == 200 && Root.is_object();
    if (Report.Reached) {
      auto Leaving = Root.find("leaving");
      Report.Leaving = Leaving != Root.end() && Leaving->is_boolean() &&
                       Leaving->get<bool>();
      auto Evicted = Root.find("evicted");
      if (Evicted != Root.end() && Evicted->is_array()) {
        for (const nlohmann::json &Hash : *Evicted) {
          if (Hash.is_number_unsigned()) {
            Report.Evicted.push_back(
                static_cast<uint32_t>(Hash.get<uint64_t>()));
          }
        }
      }
    }
    this->Events.Report(Id, Report);
  };
  this->Client.start(std::move(Out), std::move(E));
}

} // namespace shallotlatch
