/// \file
/// State of one caller's connection, shared by the sources of FrontendServer.
#pragma once

#include "front_task_p.h"
#include "sockets_p.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <algorithm>
#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace shallotlatch {

// Buffers of the kernel for a caller's connection; it doubles both. A caller is
// 1 ms away, so they carry more than 60 MB/s.
constexpr int SocketSendBytes = 128 * 1024;
constexpr int SocketReceiveBytes = 64 * 1024;
// Memory of a connection without a request: this class, libevent and kernel.
constexpr uint64_t ConnectionBytes = 8 * 1024;

enum class ConnectionState : uint8_t { Idle, Reading, Responding, Lingering };

struct FrontendServer::Connection : public HttpReaderEvents {
  FrontendServer &Owner;
  uint64_t Id = 0;
  bufferevent *Socket = nullptr;
  HttpReader Reader;
  ConnectionState State = ConnectionState::Idle;
  FrontendRequest Request;
  ExchangeId Exchange;
  Time StateSince; ///< Time at which the current state began.
  bool Started = false;
  bool Throttled = false;
  bool CloseAfterResponse = false;
  bool Parsing = false;
  bool Flushing = false; ///< The connection closes when all output is sent.
  Duration IdleLimit;
  int RefuseStatus = 0;
  uint64_t HandlerBytes = 0;  ///< Held by the handler of the exchange.
  uint64_t ResponseBytes = 0; ///< Of a whole response that is not all sent.
  Time LastTaken;             ///< Time at which the caller last read.
  int KernelBytes = 0;        ///< Unacknowledged output at the last check.

  Connection(FrontendServer &Owner, uint32_t MaxHead)
      : Owner(Owner), Reader(HttpRole::Requests, *this, MaxHead) {}
  ~Connection() override {
    if (this->Socket != nullptr) {
      bufferevent_free(this->Socket);
    }
  }

  bool onHead(HttpHead &Head) override {
    const std::string *Length = Head.find("content-length");
    if (Length != nullptr && strtoull(Length->c_str(), nullptr, 10) >
                                 this->Owner.Limits.MaxBodyBytes) {
      this->RefuseStatus = 413;
      return false;
    }
    const std::string *Expect = Head.find("expect");
    if (Expect != nullptr && equalsIgnoringCase(*Expect, "100-continue")) {
      static const char Interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
      bufferevent_write(this->Socket, Interim, sizeof(Interim) - 1);
    }
    // Reserved pages take no memory until they are filled; a growing string
    // would be copied and hold up to twice its length.
    if (Length != nullptr) {
      this->Request.Body.reserve(strtoull(Length->c_str(), nullptr, 10));
    }
    this->Request.Head = std::move(Head);
    return true;
  }
  void onBody(std::string_view Part) override {
    this->Request.Body.append(Part.data(), Part.size());
    if (this->Request.Body.size() > this->Owner.Limits.MaxBodyBytes) {
      this->RefuseStatus = 413;
    }
  }
  void onComplete() override {}

  size_t queuedBytes() const {
    return evbuffer_get_length(bufferevent_get_output(this->Socket));
  }
  /// Whether output is queued here or in the kernel. Notes progress.
  bool hasUnsentOutput() {
    int Unsent = 0;
    if (ioctl(bufferevent_getfd(this->Socket), SIOCOUTQ, &Unsent) != 0) {
      Unsent = 0;
    }
    if (Unsent < this->KernelBytes) {
      this->LastTaken = ProcessClock::now();
    }
    this->KernelBytes = Unsent;
    return Unsent > 0 || this->queuedBytes() > 0;
  }
  HeldMemory held() const {
    HeldMemory H;
    size_t Queued = this->queuedBytes();
    H.Bytes = ConnectionBytes +
              evbuffer_get_length(bufferevent_get_input(this->Socket)) +
              this->Reader.heldBytes() + memoryOf(this->Request.Head) +
              this->Request.Body.capacity() + this->HandlerBytes;
    if (Queued > 0) {
      uint64_t Unsent = std::max<uint64_t>(Queued, this->ResponseBytes);
      H.Bytes += Unsent + std::min<uint64_t>(Unsent, 2 * SocketSendBytes);
      H.WaitsForCaller = true;
      H.WaitingSince = this->LastTaken;
    } else if (this->State == ConnectionState::Reading) {
      H.WaitsForCaller = true;
      H.WaitingSince = this->StateSince;
    }
    return H;
  }
  static void onOutputChange(evbuffer *, const evbuffer_cb_info *Info,
                             void *Arg) {
    Connection *C = static_cast<Connection *>(Arg);
    // An empty buffer that is filled begins a wait; a drained one shows that
    // the caller reads.
    if (Info->n_deleted > 0 || Info->orig_size == 0) {
      C->LastTaken = ProcessClock::now();
    }
    C->Owner.account(*C);
  }
  static void onRead(bufferevent *, void *Arg) {
    Connection *C = static_cast<Connection *>(Arg);
    C->Owner.parse(*C);
  }
  static void onWritten(bufferevent *, void *Arg) {
    Connection *C = static_cast<Connection *>(Arg);
    if (C->Flushing) {
      // A stopping host also waits for the kernel's part of the response, since
      // the machine may end with the process.
      if (!C->Owner.Draining || !C->hasUnsentOutput()) {
        C->Owner.remove(*C);
      }
      return;
    }
    if (C->State == ConnectionState::Idle) {
      C->StateSince = ProcessClock::now();
    }
    if (C->Throttled) {
      C->Throttled = false;
      C->Owner.Events.onCallerWritable(C->Exchange);
    }
  }
  static void onEvent(bufferevent *, short What, void *Arg) {
    if ((What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      Connection *C = static_cast<Connection *>(Arg);
      C->Owner.handleDisconnect(*C);
    }
  }
};

} // namespace shallotlatch
