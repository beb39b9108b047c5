/// \file
/// State of one connection to a server, shared by the sources of
/// PooledHttpClient.
#pragma once

#include "sockets_p.h"
#include "tcp_options_p.h"
#include "tunnel_codec_p.h"
#include "wire_client_p.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <algorithm>
#include <cerrno>
#include <vector>

namespace shallotlatch {

// Limit on the length of a response's status line and header fields.
constexpr uint32_t MaxResponseHeadBytes = 64 * 1024;
// Idle time after which a connection is closed if the server states no
// keep-alive timeout. The shortest timeout in common use by servers is 5 s.
constexpr Duration DefaultKeepAliveTime = seconds(4);
// Subtracted from the keep-alive timeout that a server states, to allow for the
// time in which a request travels to the server.
constexpr Duration KeepAliveMargin = millis(700);
// Limit on the keep-alive timeout that a server states.
constexpr int64_t MaxKeepAliveSeconds = 3600;
// Responses to other requests that are skipped before a call ends.
constexpr uint32_t MaxSkippedResponses = 100;

struct PooledHttpClient::Connection : public HttpReaderEvents {
  /// Whether a peer passes the call on, and whether it has agreed.
  enum class TunnelState : uint8_t { None, Opening, Open };
  PooledHttpClient &Owner;
  uint64_t Id = 0;
  PoolKey Key;
  bufferevent *Socket = nullptr;
  HttpReader Reader;
  OutboundCallId Call;
  std::string Bytes;
  std::shared_ptr<const std::string> Body;
  bool Paused = false; ///< The kernel keeps what the server sends.
  event *ConnectTimer = nullptr;
  Time ConnectStartedAt;
  Time ConnectedAt; ///< The epoch until it is established.
  Time IdleSince;
  Duration KeepAliveTime = DefaultKeepAliveTime;
  uint64_t Tag = 0;                ///< Of the present call.
  bool IsError = false;            ///< The response's status is 400 or above.
  std::vector<uint64_t> ErrorTags; ///< Of the calls that got an error here.
  bool Connected = false;
  bool Reused = false;
  bool KeepAlive = false;
  bool SkippingResponse = false;
  uint32_t SkippedResponses = 0; ///< Of the present call.
  bool Feeding = false;
  TunnelState State = TunnelState::None;
  std::string TunnelRequestBytes; ///< To be sent once connected.
  size_t FrameLeft = 0;           ///< Bytes of the present frame to be read.

  explicit Connection(PooledHttpClient &Owner)
      : Owner(Owner), Reader(HttpRole::Responses, *this, MaxResponseHeadBytes) {
  }
  ~Connection() override {
    if (this->ConnectTimer != nullptr) {
      event_free(this->ConnectTimer);
    }
    if (this->Socket != nullptr) {
      bufferevent_free(this->Socket);
    }
  }

  bool onHead(HttpHead &Head) override {
    this->KeepAlive = Head.KeepAlive && !Head.BodyEndsAtClose;
    this->IsError = Head.Status >= 400;
    this->KeepAliveTime = DefaultKeepAliveTime;
    const std::string *KeepAliveField = Head.find("keep-alive");
    if (KeepAliveField != nullptr) {
      size_t Position = KeepAliveField->find("timeout=");
      if (Position != std::string::npos) {
        int64_t TimeoutSeconds =
            strtoll(KeepAliveField->c_str() + Position + 8, nullptr, 10);
        this->KeepAliveTime = seconds(std::clamp<int64_t>(
                                  TimeoutSeconds, 0, MaxKeepAliveSeconds)) -
                              KeepAliveMargin;
      }
    }
    switch (this->Owner.Events.onHead(this->Call, Head)) {
    case ResponseHeadAction::Take:
      this->SkippingResponse = false;
      return true;
    case ResponseHeadAction::Skip:
      this->SkippingResponse = true;
      ++this->SkippedResponses;
      return !Head.BodyEndsAtClose &&
             this->SkippedResponses <= MaxSkippedResponses;
    case ResponseHeadAction::Refuse:
      return false;
    }
    return false;
  }
  void onBody(std::string_view Part) override {
    if (!this->SkippingResponse && this->Call.isValid()) {
      this->Owner.Events.onBody(this->Call, Part);
    }
  }
  void onComplete() override {}

  void read() {
    if (!this->Call.isValid()) {
      this->Owner.discard(*this); // The server sent bytes without a request.
      return;
    }
    if (this->State == TunnelState::Opening && !this->readTunnelAnswer()) {
      return;
    }
    evbuffer *Input = bufferevent_get_input(this->Socket);
    while (evbuffer_get_length(Input) > 0) {
      if (this->State == TunnelState::Open && this->FrameLeft == 0) {
        if (!this->readFrameHead()) {
          return;
        }
        continue;
      }
      evbuffer_iovec Span;
      if (evbuffer_peek(Input, -1, nullptr, &Span, 1) < 1) {
        return;
      }
      size_t Length = Span.iov_len;
      if (this->State == TunnelState::Open) {
        Length = std::min(Length, this->FrameLeft);
      }
      if (!this->readAnswer(
              std::string_view(static_cast<char *>(Span.iov_base), Length))) {
        return;
      }
    }
  }

  // Returns whether more of the answer may follow.
  bool readAnswer(std::string_view Bytes) {
    size_t Consumed = 0;
    OutboundCallId Current = this->Call;
    this->Feeding = true;
    FeedResult Result = this->Reader.feed(Bytes, Consumed);
    this->Feeding = false;
    if (this->Call != Current) {
      return false; // The call was aborted while its response was being read.
    }
    evbuffer_drain(bufferevent_get_input(this->Socket), Consumed);
    this->FrameLeft -= std::min(this->FrameLeft, Consumed);
    if (Result == FeedResult::NeedMore) {
      return true;
    }
    if (Result == FeedResult::Complete && this->SkippingResponse) {
      this->Reader.reset();
      this->SkippingResponse = false;
      return true;
    }
    this->Owner.finish(*this, Result == FeedResult::Complete
                                  ? OutboundCallEnd::Complete
                                  : OutboundCallEnd::Malformed);
    return false;
  }

  // Returns what begins the input, once its head is there; ends the call if
  // that is no frame.
  std::optional<FrameHead> peekFrame() {
    char Head[FrameHeadBytes];
    evbuffer *Input = bufferevent_get_input(this->Socket);
    if (evbuffer_copyout(Input, Head, sizeof(Head)) <
        static_cast<ev_ssize_t>(sizeof(Head))) {
      return std::nullopt;
    }
    std::optional<FrameHead> Decoded =
        decodeFrameHead(std::string_view(Head, sizeof(Head)));
    if (!Decoded) {
      this->endUnreadable();
    }
    return Decoded;
  }

  // Returns whether bytes of the answer follow.
  bool readFrameHead() {
    std::optional<FrameHead> Head = this->peekFrame();
    if (!Head) {
      return false;
    }
    evbuffer_drain(bufferevent_get_input(this->Socket), FrameHeadBytes);
    if (const size_t *Length = std::get_if<size_t>(&*Head)) {
      this->FrameLeft = *Length;
      return true;
    }
    if (std::get<TunnelEnd>(*Head) == TunnelEnd::Closed) {
      this->endOfAnswer(OutboundCallEnd::Broken);
    } else {
      this->Owner.finish(*this, OutboundCallEnd::Broken);
    }
    return false;
  }

  // Returns whether the tunnel is open.
  bool readTunnelAnswer() {
    std::optional<FrameHead> Head = this->peekFrame();
    if (!Head) {
      return false; // What is no frame has ended the call and its connection.
    }
    evbuffer *Input = bufferevent_get_input(this->Socket);
    const size_t *Length = std::get_if<size_t>(&*Head);
    if (Length == nullptr) {
      this->endRefused(std::nullopt);
      return false;
    }
    if (evbuffer_get_length(Input) < FrameHeadBytes + *Length) {
      return false;
    }
    evbuffer_drain(Input, FrameHeadBytes);
    std::string Frame(*Length, '\0');
    evbuffer_remove(Input, Frame.data(), Frame.size());
    std::optional<TunnelAnswer> Answer = decodeTunnelAnswer(Frame);
    if (!Answer || *Answer) {
      this->endRefused(Answer);
      return false;
    }
    event_del(this->ConnectTimer);
    this->State = TunnelState::Open;
    OutboundCallId Current = this->Call;
    this->Owner.Events.onTunnelAnswer(Current, Answer);
    if (this->Call != Current) {
      return false;
    }
    // Where nothing is sent, the connection is destroyed.
    PooledHttpClient &Client = this->Owner;
    Client.send(*this);
    return Client.find(Current) == this;
  }

  void endRefused(const std::optional<TunnelAnswer> &Answer) {
    OutboundCallId Current = this->Call;
    this->Owner.Events.onTunnelAnswer(Current, Answer);
    if (this->Call == Current) {
      this->Owner.finish(*this, OutboundCallEnd::TunnelRefused);
    }
  }

  // The peer sent what is no frame.
  void endUnreadable() {
    if (this->State == TunnelState::Opening) {
      this->endRefused(std::nullopt);
    } else {
      this->Owner.finish(*this, OutboundCallEnd::TunnelLost);
    }
  }

  // The server closed the connection in order. That ends some answers; for any
  // other the call ends with \p Unfinished. A server that leaves part of the
  // request unread resets the connection after the close, and the reset may
  // come later than this event.
  void endOfAnswer(OutboundCallEnd Unfinished) {
    bool RequestReceived =
        evbuffer_get_length(bufferevent_get_output(this->Socket)) == 0 &&
        isAllReceived(bufferevent_getfd(this->Socket));
    bool MayEnd =
        !this->SkippingResponse && this->Reader.headDone() && RequestReceived;
    OutboundCallId Current = this->Call;
    this->Feeding = true;
    FeedResult Result = MayEnd ? this->Reader.end() : FeedResult::Malformed;
    this->Feeding = false;
    if (this->Call != Current) {
      return;
    }
    this->KeepAlive = false;
    this->Owner.finish(*this, Result == FeedResult::Complete
                                  ? OutboundCallEnd::Complete
                                  : Unfinished);
  }

  void handleDisconnect(short What) {
    if (!this->Call.isValid()) {
      bool Early = ProcessClock::now() - this->IdleSince < this->KeepAliveTime;
      uint64_t Identity = this->Key.ServerIdentity;
      PooledHttpClient &Client = this->Owner;
      Client.discard(*this);
      if (Early) {
        Client.Events.onIdleLost(Identity);
      }
      return;
    }
    if (this->State == TunnelState::Opening) {
      this->endRefused(std::nullopt);
      return;
    }
    bool IsError = (What & BEV_EVENT_ERROR) != 0;
    bool Silent = IsError && isUnanswered(EVUTIL_SOCKET_ERROR());
    if (!this->Connected) {
      this->Owner.finish(*this, Silent ? OutboundCallEnd::ConnectTimedOut
                                       : OutboundCallEnd::ConnectFailed);
      return;
    }
    bool CleanClose = (What & BEV_EVENT_EOF) != 0 && !IsError;
    if (this->State == TunnelState::Open) {
      this->Owner.finish(*this, OutboundCallEnd::TunnelLost);
    } else if (CleanClose) {
      this->endOfAnswer(OutboundCallEnd::Broken);
    } else {
      this->Owner.finish(*this, Silent ? OutboundCallEnd::TimedOut
                                       : OutboundCallEnd::Broken);
    }
  }

  static void onRead(bufferevent *, void *Arg) {
    static_cast<Connection *>(Arg)->read();
  }
  static void onEvent(bufferevent *, short What, void *Arg) {
    Connection *C = static_cast<Connection *>(Arg);
    if ((What & BEV_EVENT_CONNECTED) != 0) {
      C->Connected = true;
      C->ConnectedAt = ProcessClock::now();
      if (C->State == TunnelState::Opening) {
        bufferevent_write(C->Socket, C->TunnelRequestBytes.data(),
                          C->TunnelRequestBytes.size());
        bufferevent_enable(C->Socket, EV_READ | EV_WRITE);
        return;
      }
      event_del(C->ConnectTimer);
      C->Owner.Events.onConnected(C->Call,
                                  ProcessClock::now() - C->ConnectStartedAt);
      C->Owner.send(*C);
      return;
    }
    C->handleDisconnect(What);
  }
  static void onConnectTimeout(evutil_socket_t, short, void *Arg) {
    Connection *C = static_cast<Connection *>(Arg);
    if (C->State == TunnelState::Opening) {
      C->endRefused(std::nullopt);
    } else {
      C->Owner.finish(*C, OutboundCallEnd::ConnectTimedOut);
    }
  }
};

} // namespace shallotlatch
