#include "relay_harness.h"

#include "sockets_p.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <sys/socket.h>

namespace shallotlatch {

// Number of loop iterations, of at most 10 ms each, after which runUntil()
// gives up.
static constexpr int MaxLoopIterations = 3000;

static std::string requestIdOf(const std::string &Request) {
  size_t At = Request.find("X-Id: ");
  return At == std::string::npos
             ? ""
             : Request.substr(At + 6, Request.find("\r\n", At) - At - 6);
}

struct ScriptedTarget::TargetConnection {
  ScriptedTarget *Owner;
  bufferevent *Socket;
  std::string Input;
  bool Open = true;

  ~TargetConnection() {
    if (this->Open) {
      bufferevent_free(this->Socket);
    }
  }
  void closeSocket(bool Reset) {
    if (Reset) {
      linger ImmediateReset{1, 0};
      setsockopt(bufferevent_getfd(this->Socket), SOL_SOCKET, SO_LINGER,
                 &ImmediateReset, sizeof(ImmediateReset));
    }
    bufferevent_free(this->Socket);
    this->Open = false;
  }
  void sendResponse(const TargetStep &Step, const std::string &Request) {
    std::string Bytes = Step.Bytes;
    size_t At = Bytes.find("@ID@");
    while (At != std::string::npos) {
      Bytes.replace(At, 4, requestIdOf(Request));
      At = Bytes.find("@ID@");
    }
    // The bytes are written directly to the socket, so that they leave before a
    // close or a reset.
    size_t Sent = 0;
    while (Sent < Bytes.size()) {
      ssize_t Done =
          ::send(bufferevent_getfd(this->Socket), Bytes.data() + Sent,
                 Bytes.size() - Sent, MSG_NOSIGNAL);
      if (Done <= 0) {
        break;
      }
      Sent += static_cast<size_t>(Done);
    }
    // What the socket does not take yet follows as it becomes writable.
    bufferevent_write(this->Socket, Bytes.data() + Sent, Bytes.size() - Sent);
    if (Step.AfterSend == TargetStep::Action::HalfClose) {
      bufferevent_disable(this->Socket, EV_READ);
      shutdown(bufferevent_getfd(this->Socket), SHUT_WR);
    }
    if (Step.AfterSend == TargetStep::Action::Close ||
        Step.AfterSend == TargetStep::Action::Reset) {
      this->closeSocket(Step.AfterSend == TargetStep::Action::Reset);
    }
  }
  void readRequests() {
    evbuffer *In = bufferevent_get_input(this->Socket);
    size_t Length = evbuffer_get_length(In);
    std::string Part(Length, '\0');
    evbuffer_remove(In, &Part[0], Length);
    this->Input += Part;
    while (this->Open) {
      size_t Head = this->Input.find("\r\n\r\n");
      if (Head == std::string::npos) {
        return;
      }
      size_t Body = 0;
      size_t At = this->Input.find("Content-Length: ");
      if (At != std::string::npos && At < Head) {
        Body = strtoul(this->Input.c_str() + At + 16, nullptr, 10);
      }
      TargetStep Step = this->Owner->Steps.front();
      size_t Whole = Head + 4 + (Step.EarlyAnswer ? 0 : Body);
      if (this->Input.size() < Whole) {
        return;
      }
      std::string Request = this->Input.substr(0, Whole);
      this->Input.erase(0, Whole);
      this->Owner->Requests.push_back(Request);
      if (this->Owner->Steps.size() > 1) {
        this->Owner->Steps.pop_front();
      }
      this->sendResponse(Step, Request);
    }
  }
};

ScriptedTarget::ScriptedTarget(event_base *Base, std::string Instance)
    : Base(Base), Instance(std::move(Instance)) {
  sockaddr_in Any = toSockaddr(Address{"127.0.0.1", 0});
  auto OnAccept = [](evconnlistener *, evutil_socket_t Fd, sockaddr *, int,
                     void *Arg) {
    ScriptedTarget *T = static_cast<ScriptedTarget *>(Arg);
    ++T->AcceptedConnections;
    std::unique_ptr<TargetConnection> L = std::make_unique<TargetConnection>();
    L->Owner = T;
    L->Socket = bufferevent_socket_new(T->Base, Fd, BEV_OPT_CLOSE_ON_FREE);
    auto OnRead = [](bufferevent *, void *Of) {
      static_cast<TargetConnection *>(Of)->readRequests();
    };
    auto OnEvent = [](bufferevent *, short, void *Of) {
      TargetConnection *Ended = static_cast<TargetConnection *>(Of);
      ++Ended->Owner->ClosedConnections;
      Ended->closeSocket(false);
    };
    bufferevent_setcb(L->Socket, OnRead, nullptr, OnEvent, L.get());
    bufferevent_enable(L->Socket, EV_READ);
    T->TargetConnections.push_back(std::move(L));
  };
  this->Listener =
      evconnlistener_new_bind(Base, OnAccept, this, LEV_OPT_CLOSE_ON_FREE, 16,
                              reinterpret_cast<sockaddr *>(&Any), sizeof(Any));
  this->ListenAddress = boundAddress(evconnlistener_get_fd(this->Listener));
  this->Steps.push_back({validAnswer("fine"), TargetStep::Action::Keep, false});
}

ScriptedTarget::~ScriptedTarget() {
  this->TargetConnections.clear();
  evconnlistener_free(this->Listener);
}

void ScriptedTarget::breakConnections() {
  for (std::unique_ptr<TargetConnection> &C : this->TargetConnections) {
    if (C->Open) {
      C->closeSocket(true);
    }
  }
}

TargetEntry ScriptedTarget::entry() const {
  TargetEntry T;
  T.Instance = this->Instance;
  T.Service = serviceId("app");
  T.At = this->ListenAddress;
  T.Domain = "north";
  T.Slots = 4;
  return T;
}

void FixedStore::list(DirectoryKind Kind, const std::string &, ReadConsistency,
                      Reply Done) {
  DirectoryReply R;
  R.Result = DirectoryReply::Status::Ok;
  R.StoreRevision = 5;
  if (Kind == DirectoryKind::Config) {
    DirectoryObject O;
    O.Name = "main";
    O.Revision = 5;
    O.Config = this->Config;
    R.Objects.push_back(O);
  }
  Done(std::move(R));
}

void FixedStore::watch(DirectoryKind, uint64_t Revision, Duration Wait,
                       ReadConsistency, Reply Done) {
  if (Wait.count() == 0 && this->Answers) {
    DirectoryReply R;
    R.Result = DirectoryReply::Status::Ok;
    R.StoreRevision = Revision;
    Done(std::move(R));
  }
}

static Route makeRoute(const char *Name, RouteKind Kind, uint32_t Attempts,
                       bool Resumable) {
  Route R;
  R.Name = Name;
  R.Id = RouteId{static_cast<uint32_t>(hash64(Name))};
  R.Host = "h";
  R.PathPrefix = std::string("/") + Name + "/";
  R.Kind = Kind;
  R.MaxAttempts = Attempts;
  R.Resumable = Resumable;
  R.Shares.push_back({serviceId("app"), 1});
  return R;
}

RelayHarness::RelayHarness(Duration MaxConfigAge, Duration DrainTimeout,
                           Duration Objective,
                           std::optional<RolloutInit> Rollouts)
    : Base(event_base_new()) {
  std::shared_ptr<RoutingConfig> C = std::make_shared<RoutingConfig>();
  C->Version = 1;
  C->Routes = {makeRoute("safe", RouteKind::Idempotent, 2, false),
               makeRoute("once", RouteKind::NonIdempotent, 2, false),
               makeRoute("stream", RouteKind::Stream, 2, false),
               makeRoute("resume", RouteKind::Stream, 3, true),
               makeRoute("again", RouteKind::Stream, 2, true)};
  for (Route &R : C->Routes) {
    R.Objective = Objective;
  }
  ServiceSpec S;
  S.Name = "app";
  S.Id = serviceId("app");
  C->Services[S.Id] = S;
  GatewayCustomer Customer;
  Customer.Name = "customer";
  Customer.Id = customerId("customer");
  C->Customers[Customer.Id] = Customer;
  C->CustomerByKey["good"] = Customer.Id;
  C->RequiresKeys = true;
  C->buildIndex();
  this->Store.Config = C;
  this->Directory =
      std::make_unique<FleetDirectory>(this->Store, this->Ignored, 1);
  this->Directory->start(FleetHost(), bootTime());
  RelayInit Init;
  Init.Domain = "north";
  Init.Rollouts = Rollouts;
  Init.Budget.Extra = 100;
  Init.MaxConfigAgeForKeys = MaxConfigAge;
  Init.MaxFreshConfigAge = MaxConfigAge;
  Init.Scheduling.DrainTimeout = DrainTimeout;
  Init.Headers.RequestId = "X-Id";
  Init.Headers.Resumes = "X-Resumes";
  Init.Headers.DeadlineMs = "X-Deadline";
  Init.Headers.Customer = "X-Customer";
  Init.Headers.ExpectInstance = "X-Expect";
  Init.Headers.ServerStamp = "X-Stamp";
  Init.Headers.NotRun = "X-Not-Run";
  Init.Headers.TargetLimit = "X-Limit";
  Init.Headers.TargetLeaving = "X-Leaving";
  Init.Headers.RetryAfter = "Retry-After";
  Init.Headers.TokenCounts = "X-Tokens";
  Init.Headers.PromptParts = "X-Parts";
  Init.Headers.KeyScheme = "Token";
  Init.Headers.StrippedCallerFields = {"X-Customer", "X-Expect", "X-Secret"};
  FrontendInit Front;
  Front.ListenAddress = Address{"127.0.0.1", 0};
  this->Relay =
      std::make_unique<RequestRelay>(this->Base, Front, Init, *this->Directory);
  this->Ignored.Relay = this->Relay.get();
  this->Relay->configure(C);
}

RelayHarness::~RelayHarness() {
  for (std::unique_ptr<Caller> &C : this->Callers) {
    if (C->Socket != nullptr) {
      bufferevent_free(C->Socket);
    }
  }
  this->Targets.clear();
  this->Ignored.Relay = nullptr;
  this->Relay.reset();
  event_base_loop(this->Base, EVLOOP_NONBLOCK);
  event_base_free(this->Base);
}

ScriptedTarget &RelayHarness::target(const std::string &Instance,
                                     const std::string &Software) {
  this->Targets.push_back(
      std::make_unique<ScriptedTarget>(this->Base, Instance));
  TargetEntry Entry = this->Targets.back()->entry();
  Entry.Software = Software;
  this->Relay->setTarget(Entry);
  return *this->Targets.back();
}

size_t RelayHarness::connect() {
  return this->connect(this->Relay->callerAddress());
}

size_t RelayHarness::connect(const Address &At) {
  std::unique_ptr<Caller> C = std::make_unique<Caller>();
  C->Socket = bufferevent_socket_new(this->Base, -1, BEV_OPT_CLOSE_ON_FREE);
  auto OnRead = [](bufferevent *Socket, void *Arg) {
    evbuffer *In = bufferevent_get_input(Socket);
    size_t Length = evbuffer_get_length(In);
    std::string Part(Length, '\0');
    evbuffer_remove(In, &Part[0], Length);
    static_cast<Caller *>(Arg)->Received += Part;
  };
  auto OnEvent = [](bufferevent *, short What, void *Arg) {
    if ((What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      static_cast<Caller *>(Arg)->Closed = true;
    }
  };
  bufferevent_setcb(C->Socket, OnRead, nullptr, OnEvent, C.get());
  bufferevent_enable(C->Socket, EV_READ | EV_WRITE);
  sockaddr_in To = toSockaddr(At);
  bufferevent_socket_connect(C->Socket, reinterpret_cast<sockaddr *>(&To),
                             sizeof(To));
  this->Callers.push_back(std::move(C));
  return this->Callers.size() - 1;
}

void RelayHarness::send(size_t Caller, const std::string &Bytes) {
  bufferevent_write(this->Callers[Caller]->Socket, Bytes.data(), Bytes.size());
}

void RelayHarness::close(size_t Caller) {
  bufferevent_free(this->Callers[Caller]->Socket);
  this->Callers[Caller]->Socket = nullptr;
}

const std::string &RelayHarness::received(size_t Caller) const {
  return this->Callers[Caller]->Received;
}

bool RelayHarness::closed(size_t Caller) const {
  return this->Callers[Caller]->Closed;
}

bool RelayHarness::runUntil(const std::function<bool()> &Condition) {
  timeval IterationTime{0, 10000};
  for (int I = 0; I < MaxLoopIterations; ++I) {
    if (Condition()) {
      return true;
    }
    event_base_loopexit(this->Base, &IterationTime);
    event_base_loop(this->Base, EVLOOP_ONCE);
    this->Relay->tick();
  }
  return false;
}

std::string RelayHarness::sendRequest(const std::string &Path,
                                      const std::string &Id,
                                      const std::string &AwaitedText,
                                      const std::string &Extra,
                                      const std::string &Key) {
  return this->sendRequestTo(this->Relay->callerAddress(), Path, Id,
                             AwaitedText, Extra, Key);
}

std::string RelayHarness::sendRequestTo(const Address &To,
                                        const std::string &Path,
                                        const std::string &Id,
                                        const std::string &AwaitedText,
                                        const std::string &Extra,
                                        const std::string &Key) {
  size_t Caller = this->connect(To);
  this->send(Caller, "POST " + Path + " HTTP/1.1\r\nHost: h\r\nX-Id: " + Id +
                         "\r\nX-Deadline: 20000\r\nAuthorization: Token " +
                         Key + "\r\n" + Extra +
                         "Content-Length: 4\r\n\r\nbody");
  this->runUntil([this, Caller, &AwaitedText] {
    return this->closed(Caller) ||
           this->received(Caller).find(AwaitedText) != std::string::npos;
  });
  return this->received(Caller);
}

std::string validAnswer(const std::string &Body, const char *Status) {
  return std::string("HTTP/1.1 ") + Status +
         "\r\nX-Id: @ID@\r\nX-Stamp: s1\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string streamAnswerHead() {
  return "HTTP/1.1 200 OK\r\nX-Id: @ID@\r\nX-Stamp: s1\r\n"
         "Content-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string streamEventChunk(int Number) {
  std::string Text = "id: " + std::to_string(Number) + "\ndata: e" +
                     std::to_string(Number) + "\n\n";
  char Size[16];
  snprintf(Size, sizeof(Size), "%zx\r\n", Text.size());
  return Size + Text + "\r\n";
}

} // namespace shallotlatch
