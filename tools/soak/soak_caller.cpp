#include "soak_caller.h"

#include "sockets_p.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <algorithm>

namespace shallotlatch::soak {

static constexpr uint32_t MaxHeadBytes = 64 * 1024;
// Time after the deadline of a request at which its caller gives up.
static constexpr Duration GiveUpDelay = millis(300);
// How often a caller goes on with a stream, and how soon after its end.
static constexpr uint32_t MaxResumptions = 3;
static constexpr Duration ResumptionPause = millis(30);

SoakCaller::SoakCaller(event_base *Base, const RelayHeaders &Headers,
                       SoakJudge &Judge,
                       std::function<RequestPlan()> PlanRequest,
                       std::function<CallerHost()> ChooseHost)
    : Base(Base), Headers(Headers), Judge(Judge),
      PlanRequest(std::move(PlanRequest)), ChooseHost(std::move(ChooseHost)),
      Reader(HttpRole::Responses, *this, MaxHeadBytes) {
  this->Timer = event_new(
      Base, -1, 0,
      [](evutil_socket_t, short, void *Arg) {
        SoakCaller *C = static_cast<SoakCaller *>(Arg);
        if (C->Busy) {
          C->finishRequest(false, false);
        } else {
          C->sendRequest();
        }
      },
      this);
  this->scheduleNext();
}

SoakCaller::~SoakCaller() {
  event_free(this->Timer);
  this->closeConnection();
}

void SoakCaller::closeConnection() {
  if (this->Socket != nullptr) {
    bufferevent_free(this->Socket);
    this->Socket = nullptr;
  }
}

void SoakCaller::scheduleNext() {
  this->CurrentPlan = this->PlanRequest();
  this->Resumptions = 0;
  timeval After = toTimeval(this->CurrentPlan.Pause);
  event_add(this->Timer, &After);
}

void SoakCaller::sendRequest() {
  if (this->Finishing) {
    return;
  }
  if (this->Socket == nullptr) {
    this->CurrentHost = this->ChooseHost();
    if (!this->CurrentHost.At.Port) {
      this->scheduleNext(); // No host accepts callers now.
      return;
    }
    this->Socket =
        bufferevent_socket_new(this->Base, -1, BEV_OPT_CLOSE_ON_FREE);
    auto OnRead = [](bufferevent *, void *Arg) {
      static_cast<SoakCaller *>(Arg)->readAnswer();
    };
    auto OnEvent = [](bufferevent *, short Events, void *Arg) {
      SoakCaller *C = static_cast<SoakCaller *>(Arg);
      if ((Events & BEV_EVENT_CONNECTED) != 0) {
        return;
      }
      if (C->Busy) {
        C->finishRequest(C->Reader.end() == FeedResult::Complete, true);
      } else {
        C->closeConnection();
      }
    };
    bufferevent_setcb(this->Socket, OnRead, nullptr, OnEvent, this);
    bufferevent_enable(this->Socket, EV_READ | EV_WRITE);
    sockaddr_in To = toSockaddr(this->CurrentHost.At);
    bufferevent_socket_connect(this->Socket, reinterpret_cast<sockaddr *>(&To),
                               sizeof(To));
    if (this->Socket == nullptr) {
      // The connect failed at once: the event callback ran inside the call and
      // closed the connection.
      this->scheduleNext();
      return;
    }
  }
  SentRequest &Request = this->CurrentPlan.Request;
  Request.Host = this->CurrentHost.Host;
  Request.ProcessNumber = this->CurrentHost.ProcessNumber;
  Request.At = ProcessClock::now();
  this->Judge.recordRequest(Request);
  this->Busy = true;
  this->Answer = ReceivedAnswer();
  this->Reader.reset();
  std::string Text =
      "POST " + this->CurrentPlan.Path + " HTTP/1.1\r\nHost: soak\r\n" +
      this->Headers.RequestId + ": " + Request.Id + "\r\n" +
      this->Headers.DeadlineMs + ": " +
      std::to_string(toMillis(this->CurrentPlan.Deadline)) + "\r\n" +
      "Authorization: " + this->Headers.KeyScheme + " " + Request.Key + "\r\n";
  if (!Request.Resumes.empty()) {
    Text += this->Headers.Resumes + ": " + Request.Resumes +
            "\r\nLast-Event-Id: " + std::to_string(Request.FirstEvent - 1) +
            "\r\n";
  }
  Text += "Content-Length: 4\r\n\r\nwork";
  bufferevent_write(this->Socket, Text.data(), Text.size());
  timeval After = toTimeval(this->CurrentPlan.Deadline + GiveUpDelay);
  event_add(this->Timer, &After);
}

bool SoakCaller::onHead(HttpHead &Head) {
  this->Answer.Status = Head.Status;
  const std::string *Stamp = Head.find(this->Headers.ServerStamp);
  this->Answer.Stamped = Stamp != nullptr;
  this->Answer.Instance = Stamp == nullptr ? "" : *Stamp;
  this->KeepAlive = Head.KeepAlive && !Head.BodyEndsAtClose;
  const std::string *Id = Head.find(this->Headers.RequestId);
  if (Head.Status == 200 &&
      (Id == nullptr || *Id != this->CurrentPlan.Request.Id)) {
    this->Answer.Body = "an answer to another request";
  }
  return true;
}

void SoakCaller::onBody(std::string_view Part) {
  this->Answer.Body.append(Part.data(), Part.size());
}

void SoakCaller::readAnswer() {
  evbuffer *In = bufferevent_get_input(this->Socket);
  std::string Bytes(evbuffer_get_length(In), '\0');
  evbuffer_remove(In, &Bytes[0], Bytes.size());
  if (!this->Busy) {
    this->closeConnection(); // Bytes arrived although no request is pending.
    return;
  }
  size_t Used = 0;
  FeedResult Result = this->Reader.feed(Bytes, Used);
  if (Result != FeedResult::NeedMore) {
    this->finishRequest(Result == FeedResult::Complete, false);
  }
}

std::string joinEventData(const std::string &Events) {
  std::string Data;
  size_t At = 0;
  while ((At = Events.find("data: ", At)) != std::string::npos) {
    size_t End = Events.find("\n\n", At);
    if (End == std::string::npos) {
      break;
    }
    Data += Events.substr(At + 6, End - At - 6);
    At = End;
  }
  return Data;
}

void SoakCaller::finishRequest(bool Complete, bool ClosedByHost) {
  event_del(this->Timer);
  this->Busy = false;
  this->Answer.Complete = Complete;
  this->Answer.ClosedByHost = ClosedByHost;
  if (this->CurrentPlan.Request.Kind == RouteKind::Stream &&
      this->Answer.Status == 200) {
    this->Answer.Body = joinEventData(this->Answer.Body);
  }
  this->Judge.recordAnswer(this->CurrentPlan.Request.Id, this->Answer);
  if (!Complete || ClosedByHost || !this->KeepAlive) {
    this->closeConnection();
  }
  if (!this->Finishing && !this->planResumption(Complete)) {
    this->scheduleNext();
  }
}

bool SoakCaller::planResumption(bool Complete) {
  SentRequest &Request = this->CurrentPlan.Request;
  bool IsStream = Request.Kind == RouteKind::Stream && Request.Repeatable;
  uint32_t Events = static_cast<uint32_t>(
      std::count(this->Answer.Body.begin(), this->Answer.Body.end(), ';'));
  bool HasPart = this->Answer.Status == 200 && Events > 0;
  bool GoesOn = HasPart || this->Resumptions > 0;
  bool IsWhole = HasPart && Complete;
  if (!IsStream || !GoesOn || IsWhole || ++this->Resumptions > MaxResumptions) {
    return false;
  }
  if (HasPart) {
    Request.FirstEvent += Events;
  }
  if (Request.Resumes.empty()) {
    Request.Resumes = Request.Id;
  }
  Request.Id = Request.Resumes + "-" + std::to_string(this->Resumptions);
  timeval After = toTimeval(ResumptionPause);
  event_add(this->Timer, &After);
  return true;
}

} // namespace shallotlatch::soak
