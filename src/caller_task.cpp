#include "caller_task_p.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace shallotlatch {

using nlohmann::json;

static std::string dumpJson(const json &Value) {
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

CallerServer::Exchange::~Exchange() {
  if (this->DisconnectEvent != nullptr) {
    event_free(this->DisconnectEvent);
  }
}

static HttpServerInit makeServerInit(const Settings &Host) {
  HttpServerInit Init;
  Init.ListenAddress = Host.Caller;
  Init.MaxHeaderBytes = Host.MaxHeaderBytes;
  Init.MaxBodyBytes = Host.MaxBodyBytes;
  Init.IdleTimeout = Host.IdleTimeout;
  return Init;
}

CallerServer::CallerServer(event_base *Base, const Settings &Host,
                           CallerServerEvents Events)
    : Base(Base), Host(Host), Events(std::move(Events)),
      Server(Base, makeServerInit(Host),
             [this](evhttp_request *Http) { this->onRequest(Http); }) {}

CallerServer::~CallerServer() = default;

void CallerServer::onRequest(evhttp_request *Http) {
  RawRequest Raw = readRequest(Http);
  if (Raw.Path == "/readyz") {
    bool Ready = this->Events.Ready();
    sendText(Http, Ready ? 200 : 503, "text/plain",
             Ready ? "ready\n" : "not ready\n");
    return;
  }
  std::shared_ptr<const Config> Conf = this->Events.CurrentConfig();
  if (!Conf) {
    sendProblem(Http, 503, "not ready", "this host has no configuration yet",
                "");
    return;
  }
  if (this->Exchanges.size() >= this->Host.MaxConnections) {
    sendProblem(Http, 503, name(Reason::HostFull), explain(Reason::HostFull),
                "");
    return;
  }
  std::unique_ptr<Exchange> E = std::make_unique<Exchange>();
  try {
    if (evhttp_request_get_command(Http) != EVHTTP_REQ_POST) {
      throw CallerError(405, "", "expected POST");
    }
    E->Request = parseCallerRequest(*Conf, Raw);
  } catch (const CallerError &Error) {
    sendProblem(Http, Error.Status, "request refused", Error.what(),
                Error.Field);
    return;
  }
  RequestHandle H = this->Events.Submit(E->Request);
  if (!H.isValid()) {
    sendProblem(Http, 503, name(Reason::HostFull), explain(Reason::HostFull),
                "");
    return;
  }
  E->Owner = this;
  E->Handle = H;
  E->Http = Http;
  E->Id = this->Events.RequestId(H);
  this->watchForDisconnect(*E);
  this->Exchanges[H.Index] = std::move(E);
}

// evhttp does not read from a connection whose request is being served, so a
// caller that goes away is seen by a watch on the socket.
void CallerServer::watchForDisconnect(Exchange &E) {
  evhttp_connection *Connection = evhttp_request_get_connection(E.Http);
  evutil_socket_t Fd =
      bufferevent_getfd(evhttp_connection_get_bufferevent(Connection));
  auto OnClosed = [](evutil_socket_t, short, void *Arg) {
    Exchange *Self = static_cast<Exchange *>(Arg);
    Self->Owner->Events.Cancel(Self->Handle);
  };
  E.DisconnectEvent = event_new(this->Base, Fd, EV_CLOSED, OnClosed, &E);
  event_add(E.DisconnectEvent, nullptr);
  auto OnFreed = [](evhttp_connection *, void *Arg) {
    Exchange *Self = static_cast<Exchange *>(Arg);
    event_del(Self->DisconnectEvent);
    Self->Owner->Events.Cancel(Self->Handle);
  };
  evhttp_connection_set_closecb(Connection, OnFreed, &E);
}

const CallerRequest *CallerServer::find(RequestHandle H) const {
  auto It = this->Exchanges.find(H.Index);
  return It == this->Exchanges.end() ? nullptr : &It->second->Request;
}

std::string CallerServer::requestId(RequestHandle H) const {
  auto It = this->Exchanges.find(H.Index);
  return It == this->Exchanges.end() ? "" : It->second->Id;
}

std::string CallerServer::collectedText(RequestHandle H) const {
  auto It = this->Exchanges.find(H.Index);
  return It == this->Exchanges.end() ? "" : It->second->Text;
}

uint32_t CallerServer::tokenCount(RequestHandle H) const {
  auto It = this->Exchanges.find(H.Index);
  return It == this->Exchanges.end() ? 0 : It->second->Tokens;
}

std::string CallerServer::completionBody(const std::string &Id,
                                         const std::string &Text,
                                         uint32_t Tokens) {
  return dumpJson(json{{"id", Id},
                       {"verdict", name(Outcome::Completed)},
                       {"text", Text},
                       {"tokens", Tokens}});
}

void CallerServer::sendEvent(Exchange &E, const std::string &Text) {
  if (!E.StreamStarted) {
    E.StreamStarted = true;
    addHeader(E.Http, "Content-Type", "text/event-stream");
    addHeader(E.Http, "Shallot-Request-Id", E.Id);
    evhttp_send_reply_start(E.Http, 200, "OK");
  }
  evbuffer *Out = evbuffer_new();
  evbuffer_add(Out, Text.data(), Text.size());
  evhttp_send_reply_chunk(E.Http, Out);
  evbuffer_free(Out);
}

void CallerServer::sendToken(RequestHandle H, const std::string &Text) {
  auto It = this->Exchanges.find(H.Index);
  if (It == this->Exchanges.end()) {
    return;
  }
  Exchange &E = *It->second;
  ++E.Tokens;
  if (E.Request.Stream) {
    this->sendEvent(E, "data: " + dumpJson(json{{"text", Text}}) + "\n\n");
  } else {
    E.Text += Text;
  }
}

static json verdictJson(const std::string &Id, const Verdict &V) {
  json Body{{"id", Id}, {"verdict", name(V.Result)}};
  if (V.Why != Reason::None) {
    Body["reason"] = name(V.Why);
  }
  return Body;
}

// The last event says how the stream ended; only a completed one carries the
// end marker.
void CallerServer::endStream(Exchange &E, const Verdict &V) {
  std::string Last =
      "event: verdict\ndata: " + dumpJson(verdictJson(E.Id, V)) + "\n\n";
  if (V.Result == Outcome::Completed) {
    Last += "data: [DONE]\n\n";
  }
  this->sendEvent(E, Last);
  evhttp_send_reply_end(E.Http);
}

void CallerServer::sendCompleteResponse(Exchange &E, const Verdict &V,
                                        const std::string &Answer) {
  addHeader(E.Http, "Shallot-Request-Id", E.Id);
  addHeader(E.Http, "Shallot-Verdict", name(V.Result));
  bool Whole = V.Result == Outcome::Completed && V.Why == Reason::None;
  if (Whole) {
    sendText(E.Http, 200, "application/json", Answer);
    return;
  }
  int Status = V.Why == Reason::KeyDuplicate ? 409 : httpStatus(V);
  json Body = verdictJson(E.Id, V);
  Body["title"] = name(V.Why);
  Body["status"] = Status;
  Body["detail"] = explain(V.Why);
  if (V.RetryAfter.count() > 0) {
    int64_t Whole = (V.RetryAfter.count() + 999999) / 1000000;
    addHeader(E.Http, "Retry-After", std::to_string(Whole));
  }
  sendText(E.Http, Status, "application/problem+json", dumpJson(Body));
}

void CallerServer::sendResponse(RequestHandle H, const Verdict &V,
                                const std::string &Answer) {
  auto It = this->Exchanges.find(H.Index);
  if (It == this->Exchanges.end()) {
    return;
  }
  std::unique_ptr<Exchange> E = std::move(It->second);
  this->Exchanges.erase(It);
  evhttp_connection *Connection = evhttp_request_get_connection(E->Http);
  if (Connection != nullptr) {
    evhttp_connection_set_closecb(Connection, nullptr, nullptr);
  }
  event_del(E->DisconnectEvent);
  if (E->StreamStarted) {
    this->endStream(*E, V);
  } else {
    this->sendCompleteResponse(*E, V, Answer);
  }
}

} // namespace shallotlatch
