#include "soak_target.h"

#include "sockets_p.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <algorithm>
#include <sys/socket.h>

namespace shallotlatch::soak {

// Requests beyond the slots that a target accepts before it refuses more.
static constexpr uint32_t MaxQueuedRequests = 2;

/// A request that the target is running.
struct SoakTarget::Run {
  SoakTarget &Target;
  evhttp_request *Http;
  std::string Id;
  RouteKind Kind = RouteKind::Idempotent;
  uint32_t NextEvent = 1; ///< Number of the next event to send.
  bool HeadersSent = false;
  event *Timer = nullptr;

  Run(SoakTarget &Target, evhttp_request *Http) : Target(Target), Http(Http) {}
  ~Run() { event_free(this->Timer); }
};

SoakTarget::SoakTarget(event_base *Base, const TargetInit &Init,
                       const RelayHeaders &Headers, SoakJudge &Judge)
    : Base(Base), Init(Init), Headers(Headers), Judge(Judge) {
  this->Judge.recordSoftware(Init.Instance, Init.Software);
  HttpServerInit Listen;
  Listen.ListenAddress = Init.At;
  this->Server = std::make_unique<HttpServer>(
      Base, Listen, [this](evhttp_request *Http) { this->onRequest(Http); });
}

SoakTarget::~SoakTarget() {
  this->Runs.clear();
  this->Server.reset();
}

void SoakTarget::onClosed(evhttp_connection *Connection, void *Self) {
  SoakTarget &T = *static_cast<SoakTarget *>(Self);
  for (const std::unique_ptr<Run> &R : T.Runs) {
    if (evhttp_request_get_connection(R->Http) == Connection) {
      T.removeRun(*R);
      return;
    }
  }
}

void SoakTarget::removeRun(Run &R) {
  auto IsSame = [&R](const std::unique_ptr<Run> &Item) {
    return Item.get() == &R;
  };
  this->Runs.erase(std::find_if(this->Runs.begin(), this->Runs.end(), IsSame));
}

static std::string toLower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(), ::tolower);
  return Text;
}

void SoakTarget::addNotices(evhttp_request *Http, const std::string &Id) {
  Time Now = ProcessClock::now();
  if (this->SaysLeaving) {
    addHeader(Http, this->Headers.TargetLeaving.c_str(), "1");
    this->Judge.recordLeavingNotice(Id, this->Init.Instance, Now);
  }
  if (Now < this->PausedUntil) {
    std::string Seconds = std::to_string(toSeconds(this->PausedUntil - Now));
    addHeader(Http, this->Headers.RetryAfter.c_str(), Seconds);
    this->Judge.recordPauseNotice(Id, this->Init.Instance, Now,
                                  this->PausedUntil);
  }
}

void SoakTarget::onRequest(evhttp_request *Http) {
  RawRequest Raw = readRequest(Http);
  Arrival A;
  A.Id = Raw.Headers[toLower(this->Headers.RequestId)];
  A.Instance = this->Init.Instance;
  A.Service = this->Init.Service;
  A.Customer = Raw.Headers[toLower(this->Headers.Customer)];
  A.CarriesKey = Raw.Headers.count("authorization") != 0;
  A.At = ProcessClock::now();
  addHeader(Http, this->Headers.RequestId.c_str(), A.Id);
  if (!this->Init.KeepsConnections) {
    addHeader(Http, "Connection", "close");
  }
  const std::string &Expected =
      Raw.Headers[toLower(this->Headers.ExpectInstance)];
  bool Full = this->Runs.size() >= this->Init.Slots + MaxQueuedRequests;
  bool Own = Expected == this->Init.Instance;
  Full = Full || A.At < this->PausedUntil;
  if (!Own || Full) {
    addHeader(Http, this->Headers.NotRun.c_str(), "1");
    if (Own) {
      this->addNotices(Http, A.Id);
    }
    sendText(Http, Full ? 503 : 421, "text/plain", "not run\n");
    this->Judge.recordArrival(A);
    return;
  }
  A.Ran = true;
  std::unique_ptr<Run> NewRun = std::make_unique<Run>(*this, Http);
  Run &R = *NewRun;
  R.Id = A.Id;
  R.Kind =
      Raw.Path.find("/stream") == 0 ? RouteKind::Stream : RouteKind::Idempotent;
  const std::string &Last = Raw.Headers["last-event-id"];
  R.NextEvent = Last.empty() ? 1 : static_cast<uint32_t>(std::stoul(Last)) + 1;
  A.FirstEvent = R.NextEvent;
  this->Judge.recordArrival(A);
  R.Timer = event_new(
      this->Base, -1, 0,
      [](evutil_socket_t, short, void *Arg) {
        Run *Due = static_cast<Run *>(Arg);
        Due->Target.advance(*Due);
      },
      &R);
  timeval After = toTimeval(this->Init.WorkTime);
  event_add(R.Timer, &After);
  evhttp_connection_set_closecb(evhttp_request_get_connection(Http), &onClosed,
                                this);
  this->Runs.push_back(std::move(NewRun));
}

void SoakTarget::advance(Run &R) {
  evhttp_request *Http = R.Http;
  this->StepCount += 1;
  bool Lose =
      this->LoseAnswers > 0 &&
      this->StepCount % static_cast<uint32_t>(1 / this->LoseAnswers) == 0;
  if (Lose) {
    evhttp_connection *Connection = evhttp_request_get_connection(Http);
    this->removeRun(R);
    if (Connection == nullptr) {
      // The client closed the connection, so evhttp passed the ownership of the
      // request to this class.
      evhttp_request_free(Http);
    } else {
      // evhttp frees the connection itself when it notices the shutdown.
      shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(Connection)),
               SHUT_RDWR);
    }
    return;
  }
  if (!R.HeadersSent) {
    addHeader(Http, this->Headers.ServerStamp.c_str(), this->Init.Instance);
    if (this->SaysLeaving) {
      this->addNotices(Http, R.Id);
    }
  }
  if (R.Kind != RouteKind::Stream) {
    std::string Body = answerBody(R.Id, R.Kind);
    this->removeRun(R);
    sendText(Http, 200, "text/plain", Body);
    return;
  }
  if (!R.HeadersSent) {
    R.HeadersSent = true;
    addHeader(Http, "Content-Type", "text/event-stream");
    evhttp_send_reply_start(Http, 200, nullptr);
  }
  if (R.NextEvent > StreamEventCount) {
    this->removeRun(R);
    evhttp_send_reply_end(Http);
    return;
  }
  evbuffer *Part = evbuffer_new();
  evbuffer_add_printf(Part, "id: %u\ndata: %s.%u%s;\n\n", R.NextEvent,
                      R.Id.c_str(), R.NextEvent,
                      R.NextEvent == StreamEventCount ? ".last" : "");
  ++R.NextEvent;
  timeval After = toTimeval(this->Init.EventInterval);
  event_add(R.Timer, &After);
  evhttp_send_reply_chunk(Http, Part);
  evbuffer_free(Part);
}

} // namespace shallotlatch::soak
