#include "front_connection_p.h"

#include "event_log_p.h"
#include "sockets_p.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <algorithm>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/ioctl.h>

namespace shallotlatch {

// Interval at which connections are checked for timeouts.
static constexpr Duration SweepInterval = millis(500);
// Output bytes buffered for one slow caller above which the relay stops reading
// from the target.
static constexpr size_t OutputHighMark = 64 * 1024;
// Input bytes, such as pipelined requests, that are read ahead on one
// connection.
static constexpr size_t InputHighMark = 256 * 1024;
// Added to the idle timeout that is announced to callers, to allow for a
// request that is in transit when the timeout expires.
static constexpr Duration IdleMargin = seconds(1);

const char *reasonPhrase(int Status) {
  return http_status_str(static_cast<http_status>(Status));
}

FrontendServer::FrontendServer(event_base *Base, const FrontendInit &Init,
                               FrontendEvents &Events, MemoryBudget &Budget)
    : Base(Base), Init(Init), Events(Events), Budget(Budget) {
  sockaddr_in BindAddress = toSockaddr(Init.ListenAddress);
  this->Listener = evconnlistener_new_bind(
      Base, &FrontendServer::onAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, 1024,
      reinterpret_cast<sockaddr *>(&BindAddress), sizeof(BindAddress));
  if (this->Listener == nullptr) {
    throw std::runtime_error("cannot listen for callers on " +
                             Init.ListenAddress.text());
  }
  this->SweepTimer =
      event_new(Base, -1, EV_PERSIST, &FrontendServer::onSweep, this);
  timeval Interval = toTimeval(SweepInterval);
  event_add(this->SweepTimer, &Interval);
  this->ReliefEvent = event_new(Base, -1, 0, &FrontendServer::onRelief, this);
}

Address FrontendServer::address() const {
  return boundAddress(evconnlistener_get_fd(this->Listener));
}

FrontendServer::~FrontendServer() {
  this->Connections.clear();
  event_free(this->SweepTimer);
  event_free(this->ReliefEvent);
  this->stopAccepting();
}

void FrontendServer::stopAccepting() {
  if (this->Listener != nullptr) {
    evconnlistener_free(this->Listener);
    this->Listener = nullptr;
  }
}

void FrontendServer::onAccept(evconnlistener *, evutil_socket_t Fd, sockaddr *,
                              int, void *Self) {
  FrontendServer &T = *static_cast<FrontendServer *>(Self);
  bool Full = T.Connections.size() >= T.Init.MaxConnections;
  bool NoDescriptor = !T.Budget.hasFreeConnection();
  if ((Full || NoDescriptor) &&
      !(NoDescriptor && !Full && T.Events.onConnectionsFull()) &&
      !T.closeIdlest()) {
    logEvent("caller-refused",
             {{"why", "connection limit"}, {"limit", T.Init.MaxConnections}});
    evutil_closesocket(Fd);
    return;
  }
  int One = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  setsockopt(Fd, SOL_SOCKET, SO_SNDBUF, &SocketSendBytes,
             sizeof(SocketSendBytes));
  setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &SocketReceiveBytes,
             sizeof(SocketReceiveBytes));
  std::unique_ptr<Connection> C =
      std::make_unique<Connection>(T, T.Limits.MaxHeaderBytes);
  C->Id = T.NextId++;
  C->StateSince = ProcessClock::now();
  C->IdleLimit = T.Limits.IdleTimeout + IdleMargin;
  C->Socket = bufferevent_socket_new(T.Base, Fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(C->Socket, &Connection::onRead, &Connection::onWritten,
                    &Connection::onEvent, C.get());
  bufferevent_setwatermark(C->Socket, EV_READ, 0, InputHighMark);
  evbuffer_add_cb(bufferevent_get_output(C->Socket),
                  &Connection::onOutputChange, C.get());
  bufferevent_enable(C->Socket, EV_READ | EV_WRITE);
  ++T.Counts.Accepted;
  T.Budget.addConnection();
  T.account(*C);
  T.Connections[C->Id] = std::move(C);
}

// A connection may be removed while its own input is being parsed. It is then
// destroyed in the next iteration of the event loop.
void FrontendServer::remove(Connection &C) {
  if (C.Exchange.isValid()) {
    this->ConnectionByExchange.erase(C.Exchange);
  }
  auto It = this->Connections.find(C.Id);
  if (It == this->Connections.end()) {
    return;
  }
  bufferevent_disable(C.Socket, EV_READ | EV_WRITE);
  bufferevent_setcb(C.Socket, nullptr, nullptr, nullptr, nullptr);
  evbuffer_remove_cb(bufferevent_get_output(C.Socket),
                     &Connection::onOutputChange, &C);
  this->Budget.removeConnection();
  this->Budget.remove(MemoryHolderId{C.Id});
  std::unique_ptr<Connection> Removed = std::move(It->second);
  this->Connections.erase(It);
  if (Removed->Parsing) {
    deferDelete(this->Base, std::shared_ptr<Connection>(std::move(Removed)));
  }
}

void FrontendServer::handleDisconnect(Connection &C) {
  bool Responding =
      C.State == ConnectionState::Responding && C.Exchange.isValid();
  ExchangeId Exchange = C.Exchange;
  this->remove(C);
  if (Responding) {
    ++this->Counts.Abandoned;
    this->Events.onCallerDisconnected(Exchange);
  }
}

FrontendServer::Connection *FrontendServer::find(ExchangeId Exchange) const {
  auto It = this->ConnectionByExchange.find(Exchange);
  return It == this->ConnectionByExchange.end() ? nullptr : It->second;
}

void FrontendServer::parse(Connection &C) {
  evbuffer *Input = bufferevent_get_input(C.Socket);
  if (C.State == ConnectionState::Lingering) {
    evbuffer_drain(Input, evbuffer_get_length(Input));
    return;
  }
  while (C.State != ConnectionState::Responding &&
         evbuffer_get_length(Input) > 0) {
    evbuffer_iovec Span;
    if (evbuffer_peek(Input, -1, nullptr, &Span, 1) < 1) {
      return;
    }
    if (C.State == ConnectionState::Idle) {
      C.State = ConnectionState::Reading;
      C.StateSince = ProcessClock::now();
    }
    size_t Consumed = 0;
    C.Parsing = true;
    FeedResult Result = C.Reader.feed(
        std::string_view(static_cast<char *>(Span.iov_base), Span.iov_len),
        Consumed);
    C.Parsing = false;
    evbuffer_drain(Input, Consumed);
    this->account(C);
    if (C.RefuseStatus != 0) {
      this->refuse(C, C.RefuseStatus, "the body is over its limit");
      return;
    }
    if (!this->Budget.admits()) {
      this->refuse(C, 503, "this host holds too many bytes");
      return;
    }
    if (Result == FeedResult::TooLong) {
      this->refuse(C, 431, "the header fields are over their limit");
      return;
    }
    if (Result == FeedResult::Malformed || Result == FeedResult::Refused) {
      this->refuse(C, 400, "the request is not valid HTTP/1.1");
      return;
    }
    if (Result == FeedResult::Complete) {
      C.State = ConnectionState::Responding;
      C.StateSince = ProcessClock::now();
      C.Exchange = ExchangeId{this->NextId++};
      C.Started = false;
      C.CloseAfterResponse = !C.Request.Head.KeepAlive;
      this->ConnectionByExchange[C.Exchange] = &C;
      C.Request.Exchange = C.Exchange;
      C.Request.ReceivedAt = C.StateSince;
      FrontendRequest Request = std::move(C.Request);
      C.Request = FrontendRequest();
      C.Parsing = true;
      // The handler may respond at once and remove the connection, which is
      // then destroyed in the next iteration of the event loop.
      this->Events.onCallerRequest(std::move(Request));
      if (this->Connections.count(C.Id) == 0) {
        return;
      }
      C.Parsing = false;
    }
  }
}

void FrontendServer::refuse(Connection &C, int Status, const char *Detail) {
  ++this->Counts.Refused;
  logEvent("request-refused", {{"status", Status}, {"why", Detail}});
  std::string Body = problemDocument(Status, reasonPhrase(Status), Detail);
  std::vector<HttpField> Fields = {
      {"Content-Type", "application/problem+json"}};
  std::string Framing = "Content-Length: " + std::to_string(Body.size());
  this->writeHead(C, Status, Fields, Framing.c_str(), true);
  bufferevent_write(C.Socket, Body.data(), Body.size());
  C.State = ConnectionState::Lingering;
  C.StateSince = ProcessClock::now();
  C.Request = FrontendRequest();
  C.Reader.reset();
  C.ResponseBytes = 0;
  this->account(C);
  shutdown(bufferevent_getfd(C.Socket), SHUT_RD);
}

void FrontendServer::writeHead(Connection &C, int Status,
                               const std::vector<HttpField> &Fields,
                               const char *Framing, bool Close) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " " +
                     reasonPhrase(Status) + "\r\n";
  for (const HttpField &F : Fields) {
    Text += F.Name;
    Text += ": ";
    Text += F.Value;
    Text += "\r\n";
  }
  Text += Framing;
  if (Close) {
    Text += "\r\nConnection: close\r\n\r\n";
  } else {
    Text += "\r\nKeep-Alive: timeout=" +
            std::to_string(this->Limits.IdleTimeout.count() / 1000000) +
            "\r\n\r\n";
  }
  bufferevent_write(C.Socket, Text.data(), Text.size());
}

// Adds \p Bytes to \p Output without a copy.
static void addOwned(evbuffer *Output, std::string Bytes) {
  std::string *Owned = new std::string(std::move(Bytes));
  auto Release = [](const void *, size_t, void *Text) {
    delete static_cast<std::string *>(Text);
  };
  if (Owned->empty() ||
      evbuffer_add_reference(Output, Owned->data(), Owned->size(), Release,
                             Owned) != 0) {
    delete Owned;
  }
}

void FrontendServer::respond(ExchangeId Exchange, FrontendResponse Response) {
  Connection *C = this->find(Exchange);
  if (C == nullptr) {
    return;
  }
  bool Close = C->CloseAfterResponse || Response.Close || this->Draining;
  std::string Framing =
      "Content-Length: " + std::to_string(Response.Body.size());
  this->writeHead(*C, Response.Status, Response.Fields, Framing.c_str(), Close);
  C->ResponseBytes = Response.Body.capacity();
  addOwned(bufferevent_get_output(C->Socket), std::move(Response.Body));
  this->finishResponse(*C, Close);
}

void FrontendServer::beginResponse(ExchangeId Exchange, int Status,
                                   const std::vector<HttpField> &Fields) {
  Connection *C = this->find(Exchange);
  if (C == nullptr) {
    return;
  }
  C->Started = true;
  C->ResponseBytes = 0;
  C->CloseAfterResponse = C->CloseAfterResponse || this->Draining;
  this->writeHead(*C, Status, Fields, "Transfer-Encoding: chunked",
                  C->CloseAfterResponse);
}

bool FrontendServer::writeChunk(ExchangeId Exchange, std::string Bytes) {
  Connection *C = this->find(Exchange);
  if (C == nullptr || Bytes.empty()) {
    return true;
  }
  char Size[24];
  int Length = snprintf(Size, sizeof(Size), "%zx\r\n", Bytes.size());
  evbuffer *Output = bufferevent_get_output(C->Socket);
  evbuffer_add(Output, Size, static_cast<size_t>(Length));
  if (Bytes.size() >= OutputHighMark) {
    addOwned(Output, std::move(Bytes));
  } else {
    evbuffer_add(Output, Bytes.data(), Bytes.size());
  }
  evbuffer_add(Output, "\r\n", 2);
  C->Throttled = evbuffer_get_length(Output) > OutputHighMark;
  return !C->Throttled;
}

void FrontendServer::endResponse(ExchangeId Exchange) {
  Connection *C = this->find(Exchange);
  if (C == nullptr) {
    return;
  }
  bufferevent_write(C->Socket, "0\r\n\r\n", 5);
  this->finishResponse(*C, C->CloseAfterResponse);
}

void FrontendServer::abortResponse(ExchangeId Exchange) {
  Connection *C = this->find(Exchange);
  if (C != nullptr) {
    this->remove(*C);
  }
}

void FrontendServer::finishResponse(Connection &C, bool Close) {
  this->ConnectionByExchange.erase(C.Exchange);
  C.Exchange = ExchangeId();
  C.Throttled = false;
  C.HandlerBytes = 0;
  C.Reader.reset();
  C.StateSince = ProcessClock::now();
  C.IdleLimit = this->Limits.IdleTimeout + IdleMargin;
  if (Close) {
    C.State = ConnectionState::Lingering;
    C.Flushing = true;
    this->account(C);
    return;
  }
  C.State = ConnectionState::Idle;
  this->account(C);
  evbuffer *Input = bufferevent_get_input(C.Socket);
  if (evbuffer_get_length(Input) > 0 && !C.Parsing) {
    bufferevent_trigger(C.Socket, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
  }
}

FrontendStats FrontendServer::stats() const {
  FrontendStats S = this->Counts;
  S.Connections = static_cast<uint32_t>(this->Connections.size());
  S.OpenExchanges = static_cast<uint32_t>(this->ConnectionByExchange.size());
  return S;
}

} // namespace shallotlatch
