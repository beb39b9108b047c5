#include "run_task_p.h"

#include <nlohmann/json.hpp>

namespace shallotlatch {

static constexpr Duration PollTimeout = millis(1500);
static const std::string EndMarker = "[DONE]";

TargetDispatcher::TargetDispatcher(HttpClient &Client, DispatcherEvents Events)
    : Client(Client), Events(std::move(Events)) {}

void TargetDispatcher::start(const DispatchRequest &Order) {
  ActiveDispatch &R = this->ActiveDispatches[Order.Request.Index];
  R = ActiveDispatch();
  R.Context.Engine = Order.Target->Type == TargetType::Engine;
  R.Context.RefusalProvesNotRun = Order.Target->RefusalProvesNotRun;
  HttpRequest Out;
  Out.To = parseAddress(Order.Target->Address);
  Out.Path = Order.Path;
  Out.Body = Order.Body;
  Out.Timeout = Order.Timeout;
  // An idle connection may be closed by its far end just as it is used: that
  // would turn a request into "may have run". Work that must not be repeated
  // gets a fresh one.
  Out.ReuseConnection = Order.Idempotent;
  Out.Headers.emplace_back("Content-Type", "application/json");
  Out.Headers.emplace_back("X-Request-Id", Order.RequestId);
  if (!Order.Key.empty()) {
    Out.Headers.emplace_back("Idempotency-Key", Order.Key);
  }
  RequestHandle H = Order.Request;
  HttpEvents E;
  E.Sending = [this, H]() { this->Events.Sending(H); };
  if (R.Context.Engine) {
    E.Chunk = [this, H](const std::string &Part) { this->onChunk(H, Part); };
  }
  E.Done = [this, H](const HttpResult &Result) { this->onDone(H, Result); };
  R.Call = this->Client.start(std::move(Out), std::move(E));
}

void TargetDispatcher::abort(RequestHandle Request) {
  auto It = this->ActiveDispatches.find(Request.Index);
  if (It != this->ActiveDispatches.end()) {
    this->Client.abort(It->second.Call);
    this->ActiveDispatches.erase(It);
  }
}

void TargetDispatcher::onChunk(RequestHandle Request, const std::string &Part) {
  auto It = this->ActiveDispatches.find(Request.Index);
  if (It == this->ActiveDispatches.end()) {
    return;
  }
  ActiveDispatch &R = It->second;
  R.PartialEvent += Part;
  size_t End = R.PartialEvent.find("\n\n");
  while (End != std::string::npos) {
    std::string Line = R.PartialEvent.substr(0, End);
    R.PartialEvent.erase(0, End + 2);
    this->onEvent(Request, R, Line);
    End = R.PartialEvent.find("\n\n");
  }
}

void TargetDispatcher::onEvent(RequestHandle Request, ActiveDispatch &R,
                               const std::string &Line) {
  static const std::string Prefix = "data: ";
  if (Line.compare(0, Prefix.size(), Prefix) != 0 ||
      R.Context.EndMarkerReceived) {
    R.Context.StreamMalformed = true;
    return;
  }
  std::string Data = Line.substr(Prefix.size());
  if (Data == EndMarker) {
    R.Context.EndMarkerReceived = true;
    return;
  }
  nlohmann::json Event = nlohmann::json::parse(Data, nullptr, false);
  if (!Event.is_object() || !Event.contains("text") ||
      !Event["text"].is_string()) {
    R.Context.StreamMalformed = true;
    return;
  }
  this->Events.Token(Request, Event["text"].get<std::string>());
}

// The one place where an answer, or the lack of one, becomes a verdict.
DispatchEnd classifyResponse(const ResponseContext &Context,
                             const HttpResult &Result) {
  DispatchEnd E;
  bool Refusal = Result.Status == 429 || Result.Status == 503;
  if (Result.Status == 0) {
    E.Result = DispatchResult::Lost;
    E.FinalVerdict =
        Verdict{Outcome::MayHaveRun, Reason::TargetLost, Duration(0)};
  } else if (Refusal) {
    E.Result = DispatchResult::Refused;
    E.FinalVerdict.Result =
        Context.RefusalProvesNotRun ? Outcome::NotRun : Outcome::MayHaveRun;
    E.FinalVerdict.Why = Reason::TargetRefused;
    E.FinalVerdict.RetryAfter = seconds(1);
  } else if (Result.Status >= 300) {
    E.Result = DispatchResult::Refused;
    E.FinalVerdict = Verdict{Outcome::Failed, Reason::TargetError, Duration(0)};
  } else if (!Result.Complete ||
             (Context.Engine &&
              (!Context.EndMarkerReceived || Context.StreamMalformed))) {
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

void TargetDispatcher::onDone(RequestHandle Request, const HttpResult &Result) {
  auto It = this->ActiveDispatches.find(Request.Index);
  if (It == this->ActiveDispatches.end()) {
    return;
  }
  ActiveDispatch R = std::move(It->second);
  this->ActiveDispatches.erase(It);
  if (!Result.Sent) {
    this->Events.Unsent(Request);
    return;
  }
  this->Events.Ended(Request, classifyResponse(R.Context, Result));
}

void TargetDispatcher::pollLoad(const TargetSpec &Target) {
  HttpRequest Out;
  Out.To = parseAddress(Target.Address);
  Out.Method = "GET";
  Out.Path = "/load";
  Out.Timeout = PollTimeout;
  Out.ReuseConnection = true;
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
