#include "store_http_p.h"

namespace shallotlatch {

// Longest time for which the store holds the watch of an unchanged object.
static constexpr Duration WatchWait = seconds(20);
static constexpr Duration CallTimeout = seconds(3);

static StoreReply::Status statusOf(const StoreRequest &Request,
                                   const HttpResult &R) {
  switch (R.Status) {
  case 200:
    return R.Complete ? StoreReply::Status::Ok : StoreReply::Status::Unknown;
  case 304:
    return StoreReply::Status::Unchanged;
  case 404:
    return StoreReply::Status::NotFound;
  case 412:
    return StoreReply::Status::Conflict;
  case 429:
  case 503:
    return StoreReply::Status::Unavailable;
  default:
    break;
  }
  // A write that was sent but got no reply may have taken effect.
  bool Write = Request.Kind == StoreRequest::Op::Write;
  return Write && R.Sent ? StoreReply::Status::Unknown
                         : StoreReply::Status::Unavailable;
}

static uint64_t numberOf(const HttpResult &R, const char *Field) {
  auto It = R.Headers.find(Field);
  bool IsNumber =
      It != R.Headers.end() && !It->second.empty() && It->second.size() < 20 &&
      It->second.find_first_not_of("0123456789") == std::string::npos;
  return IsNumber ? std::stoull(It->second) : 0;
}

StoreHttp::StoreHttp(HttpClient &Client, Address Server)
    : Client(Client), Server(std::move(Server)) {}

void StoreHttp::call(const StoreRequest &Request, Reply Done) {
  HttpRequest Out;
  Out.To = this->Server;
  Out.Path = "/objects/" + Request.Name;
  Out.Method = "GET";
  Out.Timeout = CallTimeout;
  Out.ReuseConnection = true;
  if (Request.Kind == StoreRequest::Op::Write) {
    Out.Method = "PUT";
    Out.Body = Request.Body;
    Out.Headers.emplace_back("If-Match",
                             std::to_string(Request.Expected.Value));
  } else if (Request.Kind == StoreRequest::Op::Watch) {
    Out.Path += "?watch=" + std::to_string(Request.Expected.Value) +
                "&waitMs=" + std::to_string(toMillis(WatchWait));
    Out.Timeout = WatchWait + CallTimeout;
  }
  HttpEvents Events;
  Events.Done = [Request, Done](const HttpResult &R) {
    StoreReply Reply;
    Reply.Token = Request.Token;
    Reply.Result = statusOf(Request, R);
    Reply.Number = Version{numberOf(R, "x-version")};
    Reply.Era = numberOf(R, "x-era");
    Reply.Body = R.Body;
    Done(Reply);
  };
  this->Client.start(std::move(Out), std::move(Events));
}

} // namespace shallotlatch
