/// \file
/// A request that the callers of a CutWorld send.
#pragma once

#include "cut_world.h"
#include "http_message_p.h"
#include "soak_caller.h"
#include "sockets_p.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

namespace shallotlatch {

/// One request of a caller and its answer.
/// The connection may be one that a former call left open.
struct CutWorld::Call : public HttpReaderEvents {
  CutWorld &World;
  soak::SentRequest Request;
  bool Kept = false; ///< The connection is used again.
  bool Served = false;
  bool Ended = false;
  Time EndedAt;
  std::string Failure;
  soak::ReceivedAnswer Answer;
  bool KeepAlive = false;
  HttpReader Reader;
  bufferevent *Socket = nullptr;
  event *Deadline = nullptr;

  explicit Call(CutWorld &World)
      : World(World), Reader(HttpRole::Responses, *this, 64 * 1024) {}
  ~Call() override {
    if (this->Socket != nullptr) {
      bufferevent_free(this->Socket);
    }
    if (this->Deadline != nullptr) {
      event_free(this->Deadline);
    }
  }
  bool onHead(HttpHead &Head) override {
    this->Answer.Status = Head.Status;
    this->Answer.Stamped =
        Head.find(this->World.Headers.ServerStamp) != nullptr;
    this->KeepAlive = Head.KeepAlive && !Head.BodyEndsAtClose;
    return true;
  }
  void onBody(std::string_view Part) override { this->Answer.Body += Part; }
  void onComplete() override {}

  void start(bufferevent *Of, const std::string &Text, Duration Limit) {
    this->Socket = Of;
    auto OnRead = [](bufferevent *, void *Arg) {
      static_cast<Call *>(Arg)->read();
    };
    auto OnEvent = [](bufferevent *, short Events, void *Arg) {
      Call *C = static_cast<Call *>(Arg);
      if ((Events & BEV_EVENT_CONNECTED) == 0) {
        C->Answer.ClosedByHost = true;
        C->end(C->Reader.end() == FeedResult::Complete, "closed");
      }
    };
    auto OnDeadline = [](evutil_socket_t, short, void *Arg) {
      static_cast<Call *>(Arg)->end(false, "no answer in time");
    };
    bufferevent_setcb(Of, OnRead, nullptr, OnEvent, this);
    bufferevent_write(Of, Text.data(), Text.size());
    this->Deadline = event_new(this->World.Base, -1, 0, OnDeadline, this);
    timeval After = toTimeval(Limit);
    event_add(this->Deadline, &After);
  }
  void read() {
    evbuffer *In = bufferevent_get_input(this->Socket);
    std::string Bytes(evbuffer_get_length(In), '\0');
    evbuffer_remove(In, &Bytes[0], Bytes.size());
    size_t Used = 0;
    FeedResult Result = this->Reader.feed(Bytes, Used);
    if (Result != FeedResult::NeedMore) {
      this->end(Result == FeedResult::Complete, "not understood");
    }
  }
  void end(bool Complete, const char *Otherwise) {
    this->Ended = true;
    this->EndedAt = ProcessClock::now();
    event_del(this->Deadline);
    this->Answer.Complete = Complete;
    if (this->Request.Kind == RouteKind::Stream && this->Answer.Status == 200) {
      this->Answer.Body = soak::joinEventData(this->Answer.Body);
    }
    this->Served = Complete && this->Answer.Status == 200;
    if (!this->Served) {
      this->Failure = std::to_string(this->Answer.Status) + " " +
                      (Complete ? this->Answer.Body : Otherwise);
    }
    this->World.Judge.recordAnswer(this->Request.Id, this->Answer);
    if (Complete && this->Kept && this->KeepAlive &&
        !this->Answer.ClosedByHost) {
      auto OnEvent = [](bufferevent *Of, short, void *Arg) {
        static_cast<CutWorld *>(Arg)->dropIdle(Of);
      };
      bufferevent_setcb(this->Socket, nullptr, nullptr, OnEvent, &this->World);
      this->World.Hosts[this->Request.Host].Idle.push_back(this->Socket);
    } else {
      bufferevent_free(this->Socket);
    }
    this->Socket = nullptr;
  }
};

} // namespace shallotlatch
