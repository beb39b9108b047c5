#include "run_task_p.h"

#include <nlohmann/json.hpp>

namespace shallotlatch {

static constexpr Duration PollTimeout = millis(1500);
static const std::string EndMarker = "[DONE]";

TargetDispatcher::TargetDispatcher(HttpClient &Client, DispatcherEvents Events)
    : Client(Client), Events(std::move(Events)) {}

void TargetDispatcher::start(const DispatchRequest &Dispatch) {
  ActiveDispatch &R = this->ActiveDispatches[Dispatch.Request.Index];
  R = ActiveDispatch();
  R.Context.Engine = Dispatch.Target->Type == TargetType::Engine;
  R.Context.RefusalProvesNotRun = Dispatch.Target->RefusalProvesNotRun;
  HttpRequest Out;
  Out.To = parseAddress(Dispatch.Target->Address);
  Out.Path = Dispatch.Path;
  Out.Body = Dispatch.Body;
  Out.Timeout = Dispatch.Timeout;
  // The target may close an idle connection at the moment it is reused, and the
  // verdict on the request is then "may have run". A request that must not be
  // repeated therefore gets a new connection.
  Out.ReuseConnection = Dispatch.Idempotent;
  Out.Headers.emplace_back("Content-Type", "application/json");
  Out.Headers.emplace_back("X-Request-Id", Dispatch.RequestId);
  if (!Dispatch.Key.empty()) {
    Out.Headers.emplace_back("Idempotency-Key", Dispatch.Key);
  }
  RequestHandle H = Dispatch.Request;
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
  // What was there before holds no whole event, but may end within its end.
  size_t Seen = R.PartialEvent.empty() ? 0 : R.PartialEvent.size() - 1;
  R.PartialEvent += Part;
  size_t End = R.PartialEvent.find("\n\n", Seen);
  while (End != std::string::npos) {
    std::string EventText = R.PartialEvent.substr(0, End);
    R.PartialEvent.erase(0, End + 2);
    this->onEvent(Request, R, EventText);
    End = R.PartialEvent.find("\n\n");
  }
}

void TargetDispatcher::onEvent(RequestHandle Request, ActiveDispatch &R,
                               const std::string &EventText) {
  static const std::string Prefix = "data: ";
  if (EventText.compare(0, Prefix.size(), Prefix) != 0 ||
      R.Context.EndMarkerReceived) {
    R.Context.StreamMalformed = true;
    return;
  }
  std::string Data = EventText.substr(Prefix.size());
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

// In shallotlatchd, only this function derives a verdict from the response of a
// target or the lack of one.
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
