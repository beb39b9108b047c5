#include "soak_caller.h"

#include "sockets_p.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

namespace shallotlatch::soak {

static constexpr uint32_t MaxHead = 64 * 1024;
// A caller that gave up leaves this long after its deadline.
static constexpr Duration LeaveAfter = millis(300);

SoakCaller::SoakCaller(event_base *Base, const RelayHeaders &Headers,
                       Judge &Told, std::function<CallerPlan()> Plan,
                       std::function<CallerHost()> Choose)
    : Base(Base), Headers(Headers), Told(Told), Plan(std::move(Plan)),
      Choose(std::move(Choose)), Reader(HttpRole::Responses, *this, MaxHead) {
  this->Timer = event_new(
      Base, -1, 0,
      [](evutil_socket_t, short, void *Arg) {
        SoakCaller *C = static_cast<SoakCaller *>(Arg);
        if (C->Busy) {
          C->done(false, false);
        } else {
          C->send();
        }
      },
      this);
  this->plan();
}

SoakCaller::~SoakCaller() {
  event_free(this->Timer);
  this->drop();
}

void SoakCaller::drop() {
  if (this->Socket != nullptr) {
    bufferevent_free(this->Socket);
    this->Socket = nullptr;
  }
}

void SoakCaller::plan() {
  this->Current = this->Plan();
  timeval After = toTimeval(this->Current.Pause);
  event_add(this->Timer, &After);
}

void SoakCaller::send() {
  if (this->Finishing) {
    return;
  }
  if (this->Socket == nullptr) {
    this->Where = this->Choose();
    if (!this->Where.At.Port) {
      this->plan(); // No host is there.
      return;
    }
    this->Socket =
        bufferevent_socket_new(this->Base, -1, BEV_OPT_CLOSE_ON_FREE);
    auto OnRead = [](bufferevent *, void *Arg) {
      static_cast<SoakCaller *>(Arg)->read();
    };
    auto OnEvent = [](bufferevent *, short What, void *Arg) {
      SoakCaller *C = static_cast<SoakCaller *>(Arg);
      if ((What & BEV_EVENT_CONNECTED) != 0) {
        return;
      }
      if (C->Busy) {
        C->done(C->Reader.end() == FeedResult::Complete, true);
      } else {
        C->drop();
      }
    };
    bufferevent_setcb(this->Socket, OnRead, nullptr, OnEvent, this);
    bufferevent_enable(this->Socket, EV_READ | EV_WRITE);
    sockaddr_in To = toSockaddr(this->Where.At);
    bufferevent_socket_connect(this->Socket, reinterpret_cast<sockaddr *>(&To),
                               sizeof(To));
    if (this->Socket == nullptr) {
      this->plan(); // Refused at once: the event came before the call ended.
      return;
    }
  }
  Sent &Request = this->Current.Request;
  Request.Host = this->Where.Host;
  Request.Process = this->Where.Process;
  Request.At = ProcessClock::now();
  this->Told.sent(Request);
  this->Busy = true;
  this->Answer = Got();
  this->Reader.reset();
  std::string Text = "POST " + this->Current.Path +
                     " HTTP/1.1\r\nHost: soak\r\n" + this->Headers.RequestId +
                     ": " + Request.Id + "\r\n" + this->Headers.DeadlineMs +
                     ": " + std::to_string(toMillis(this->Current.Deadline)) +
                     "\r\n" + "Authorization: " + this->Headers.KeyScheme +
                     " " + Request.Key + "\r\nContent-Length: 4\r\n\r\nwork";
  bufferevent_write(this->Socket, Text.data(), Text.size());
  timeval After = toTimeval(this->Current.Deadline + LeaveAfter);
  event_add(this->Timer, &After);
}

bool SoakCaller::onHead(HttpHead &Head) {
  this->Answer.Status = Head.Status;
  this->Answer.Stamped = Head.find(this->Headers.ServerStamp) != nullptr;
  this->KeepAlive = Head.KeepAlive && !Head.BodyEndsAtClose;
  const std::string *Id = Head.find(this->Headers.RequestId);
  if (Head.Status == 200 &&
      (Id == nullptr || *Id != this->Current.Request.Id)) {
    this->Answer.Body = "an answer to another request";
  }
  return true;
}

void SoakCaller::onBody(std::string_view Part) {
  this->Answer.Body.append(Part.data(), Part.size());
}

void SoakCaller::read() {
  evbuffer *In = bufferevent_get_input(this->Socket);
  std::string Bytes(evbuffer_get_length(In), '\0');
  evbuffer_remove(In, &Bytes[0], Bytes.size());
  if (!this->Busy) {
    this->drop(); // Bytes without a request.
    return;
  }
  size_t Used = 0;
  FeedResult Result = this->Reader.feed(Bytes, Used);
  if (Result != FeedResult::NeedMore) {
    this->done(Result == FeedResult::Complete, false);
  }
}

// Keeps a stream's data only, so that events can be compared whole.
static std::string dataOf(const std::string &Events) {
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

void SoakCaller::done(bool Whole, bool ClosedByHost) {
  event_del(this->Timer);
  this->Busy = false;
  this->Answer.Whole = Whole;
  this->Answer.ClosedByHost = ClosedByHost;
  if (this->Current.Request.Kind == RouteKind::Stream &&
      this->Answer.Status == 200) {
    this->Answer.Body = dataOf(this->Answer.Body);
  }
  this->Told.got(this->Current.Request.Id, this->Answer);
  if (!Whole || ClosedByHost || !this->KeepAlive) {
    this->drop();
  }
  if (!this->Finishing) {
    this->plan();
  }
}

} // namespace shallotlatch::soak
