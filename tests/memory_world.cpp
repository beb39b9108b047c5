#include "memory_world.h"

#include "encode_objects.h"
#include "sockets_p.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace shallotlatch {

// Limits of waits. They end a test that hangs; no check depends on them.
static constexpr Duration ReadyLimit = seconds(20);
static constexpr Duration AnswerLimit = seconds(5);
static constexpr int OrdinaryAttempts = 12;
// Largest answer that a target gives.
static constexpr size_t MaxAnswerBytes = 8 * 1024 * 1024;
// Bytes that a target of a stream keeps unsent for one connection.
static constexpr size_t StreamHighMark = 64 * 1024;
// Send buffer of a caller: far smaller than a large body, so that what the
// socket took shows what the gateway has read.
static constexpr int CallerSendBuffer = 128 * 1024;
// A new process closes the inherited descriptors below this number.
static constexpr int MaxInheritedFds = 1024;

static const std::string &filler() {
  static const std::string Text(MaxAnswerBytes, 'x');
  return Text;
}

static Address freeAddress() {
  int Fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Any = toSockaddr(Address{"127.0.0.1", 0});
  if (bind(Fd, reinterpret_cast<sockaddr *>(&Any), sizeof(Any)) != 0) {
    throw std::runtime_error("cannot find a free port");
  }
  Address At = boundAddress(Fd);
  close(Fd);
  return At;
}

RawCaller::RawCaller(const Address &To, int ReceiveBytes)
    : Fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  setsockopt(this->Fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
             sizeof(ReceiveBytes));
  setsockopt(this->Fd, SOL_SOCKET, SO_SNDBUF, &CallerSendBuffer,
             sizeof(CallerSendBuffer));
  sockaddr_in At = toSockaddr(To);
  if (connect(this->Fd, reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0) {
    close(this->Fd);
    this->Fd = -1;
  }
}

RawCaller::~RawCaller() {
  if (this->Fd >= 0) {
    close(this->Fd);
  }
}

bool RawCaller::writeSome(const std::string &Bytes, size_t &Sent) {
  while (this->Fd >= 0 && Sent < Bytes.size()) {
    ssize_t Done = send(this->Fd, Bytes.data() + Sent, Bytes.size() - Sent,
                        MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Done < 0) {
      return errno == EAGAIN;
    }
    Sent += static_cast<size_t>(Done);
  }
  return this->Fd >= 0;
}

std::string RawCaller::readUntil(const std::string &Text, Duration Limit) {
  std::string Received;
  Time Until = ProcessClock::now() + Limit;
  while (this->Fd >= 0 && Received.find(Text) == std::string::npos) {
    int64_t Left = toMillis(Until - ProcessClock::now());
    pollfd Wait{this->Fd, POLLIN, 0};
    if (Left <= 0 || poll(&Wait, 1, static_cast<int>(Left)) <= 0) {
      break;
    }
    char Part[4096];
    ssize_t Length = recv(this->Fd, Part, sizeof(Part), 0);
    if (Length <= 0) {
      break;
    }
    Received.append(Part, static_cast<size_t>(Length));
  }
  return Received;
}

size_t RawCaller::readSlowly(size_t Total) {
  std::vector<char> Part(40000);
  size_t Received = 0;
  while (Received < Total) {
    ssize_t Length = recv(this->Fd, Part.data(), Part.size(), 0);
    if (Length <= 0) {
      break;
    }
    Received += static_cast<size_t>(Length);
    std::this_thread::sleep_for(millis(33));
  }
  return Received;
}

/// Answers the requests of one connection to a target.
struct MemoryWorld::TargetConnection {
  bufferevent *Socket = nullptr;
  std::string Head;
  size_t BodyLeft = 0;
  size_t EventBytes = 0; ///< Of the stream that is being sent; 0: none.
  uint32_t NextEvent = 1;

  ~TargetConnection() { bufferevent_free(this->Socket); }
  static std::string field(const std::string &Head, const std::string &Name) {
    size_t At = Head.find("\r\n" + Name + ": ");
    if (At == std::string::npos) {
      return "";
    }
    At += Name.size() + 4;
    return Head.substr(At, Head.find("\r\n", At) - At);
  }
  /// Returns N of a request for \p Prefix followed by N; 0 for other requests.
  size_t size(const std::string &Prefix) const {
    size_t At = this->Head.find(" " + Prefix);
    return At == std::string::npos
               ? 0
               : strtoul(this->Head.c_str() + At + 1 + Prefix.size(), nullptr,
                         10);
  }
  void addFiller(size_t Bytes) {
    evbuffer_add_reference(bufferevent_get_output(this->Socket),
                           filler().data(), Bytes, nullptr, nullptr);
  }
  void answer() {
    RelayHeaders H = platform::platformHeaders();
    std::string Text = "HTTP/1.1 200 OK\r\n" + H.RequestId + ": " +
                       field(this->Head, H.RequestId) + "\r\n" + H.ServerStamp +
                       ": s\r\n";
    size_t Big = std::min(this->size("/big/"), MaxAnswerBytes);
    size_t EndlessBody = this->size("/endless/body/");
    size_t Endless = EndlessBody + this->size("/endless/head/");
    this->EventBytes =
        std::min(this->size("/stream/") + Endless, MaxAnswerBytes);
    if (Endless > 0) {
      Text += EndlessBody > 0 ? "\r\n" : "Endless: ";
    } else if (this->EventBytes > 0) {
      Text += "Content-Type: text/event-stream\r\n"
              "Transfer-Encoding: chunked\r\n\r\n";
    } else {
      Text += "Content-Length: " + std::to_string(Big > 0 ? Big : size_t{4}) +
              "\r\n\r\n";
      Text += Big > 0 ? "" : "fine";
    }
    bool Held = this->Head.find(" /held/") != std::string::npos;
    this->Head.clear();
    if (Held) {
      return;
    }
    bufferevent_write(this->Socket, Text.data(), Text.size());
    this->addFiller(Big);
    this->sendEvents();
  }
  void sendEvents() {
    evbuffer *Output = bufferevent_get_output(this->Socket);
    while (this->EventBytes > 0 &&
           evbuffer_get_length(Output) < StreamHighMark) {
      std::string Id = "id: " + std::to_string(this->NextEvent++) + "\ndata: ";
      evbuffer_add_printf(Output, "%zx\r\n%s", Id.size() + this->EventBytes + 2,
                          Id.c_str());
      this->addFiller(this->EventBytes);
      evbuffer_add_printf(Output, "\n\n\r\n");
    }
  }
  void read() {
    evbuffer *Input = bufferevent_get_input(this->Socket);
    while (evbuffer_get_length(Input) > 0) {
      if (this->BodyLeft > 0) {
        size_t Part = std::min(this->BodyLeft, evbuffer_get_length(Input));
        evbuffer_drain(Input, Part);
        this->BodyLeft -= Part;
      } else {
        evbuffer_ptr End = evbuffer_search(Input, "\r\n\r\n", 4, nullptr);
        if (End.pos < 0) {
          return;
        }
        this->Head.assign(static_cast<size_t>(End.pos) + 4, '\0');
        evbuffer_remove(Input, &this->Head[0], this->Head.size());
        this->BodyLeft =
            strtoul(field(this->Head, "Content-Length").c_str(), nullptr, 10);
      }
      if (this->BodyLeft == 0 && !this->Head.empty()) {
        this->answer();
      }
    }
  }
};

void MemoryWorld::onAccept(evconnlistener *Listener, int Fd, sockaddr *, int,
                           void *Self) {
  MemoryWorld &W = *static_cast<MemoryWorld *>(Self);
  std::unique_ptr<TargetConnection> C = std::make_unique<TargetConnection>();
  C->Socket = bufferevent_socket_new(evconnlistener_get_base(Listener), Fd,
                                     BEV_OPT_CLOSE_ON_FREE);
  auto OnRead = [](bufferevent *, void *Of) {
    static_cast<TargetConnection *>(Of)->read();
  };
  auto OnWritten = [](bufferevent *, void *Of) {
    static_cast<TargetConnection *>(Of)->sendEvents();
  };
  auto OnEvent = [](bufferevent *Socket, short, void *) {
    bufferevent_disable(Socket, EV_READ | EV_WRITE);
    shutdown(bufferevent_getfd(Socket), SHUT_RDWR);
  };
  bufferevent_setcb(C->Socket, OnRead, OnWritten, OnEvent, C.get());
  bufferevent_enable(C->Socket, EV_READ | EV_WRITE);
  W.TargetConnections.push_back(std::move(C));
}

MemoryWorld::MemoryWorld(const MemoryWorldInit &Init)
    : Base(event_base_new()), StoreAddress(freeAddress()),
      CallerAddress(freeAddress()), ReadyAddress(freeAddress()) {
  char Pattern[] = "/tmp/shallot-memory-XXXXXX";
  if (mkdtemp(Pattern) == nullptr) {
    throw std::runtime_error("cannot make a folder");
  }
  this->Folder = Pattern;
  this->Store = std::make_unique<platform::StoreStandin>(this->Base,
                                                         this->StoreAddress, 1);
  this->writeConfig(2 * Init.TargetSlots);
  this->addTarget("t-1", "app", Init.TargetSlots);
  this->addTarget("t-2", "app", Init.TargetSlots);
  this->startGateway(Init);
  this->Loop = std::thread([this] {
    timeval Step{0, 20000};
    while (!this->Ending) {
      event_base_loopexit(this->Base, &Step);
      event_base_dispatch(this->Base);
    }
  });
}

MemoryWorld::~MemoryWorld() {
  if (this->Pid > 0) {
    kill(this->Pid, SIGKILL);
    waitpid(this->Pid, nullptr, 0);
  }
  this->Ending = true;
  this->Loop.join();
  this->TargetConnections.clear();
  for (evconnlistener *L : this->Listeners) {
    evconnlistener_free(L);
  }
  this->Store.reset();
  event_base_free(this->Base);
  if (getenv("KEEP") == nullptr) {
    std::error_code Ignored;
    std::filesystem::remove_all(this->Folder, Ignored);
  }
}

static Route makeRoute(const std::string &Name, RouteKind Kind) {
  Route R;
  R.Name = Name;
  R.Host = "h";
  R.PathPrefix = "/" + Name + "/";
  R.Kind = Kind;
  R.Shares = {{serviceId("app"), 1}};
  R.Timeout = seconds(30);
  return R;
}

void MemoryWorld::writeConfig(uint32_t ConnectionLimit) {
  RoutingConfig C;
  C.Version = 1;
  ServiceSpec S;
  S.Name = "app";
  S.Id = serviceId("app");
  S.ConnectionLimit = ConnectionLimit;
  C.Services[S.Id] = S;
  GatewayCustomer Customer;
  Customer.Name = "customer";
  Customer.Id = customerId(Customer.Name);
  C.Customers[Customer.Id] = Customer;
  C.CustomerByKey["key"] = Customer.Id;
  C.RequiresKeys = true;
  C.Routes = {makeRoute("big", RouteKind::Idempotent),
              makeRoute("stream", RouteKind::Stream),
              makeRoute("held", RouteKind::NonIdempotent),
              makeRoute("endless", RouteKind::NonIdempotent),
              makeRoute("plain", RouteKind::Idempotent)};
  // Requests for `/held/` may wait for as long as any test takes.
  C.Routes[2].Objective = C.Routes[2].Timeout;
  this->Store->put(DirectoryKind::Config, "main", platform::encodeConfig(C));
}

void MemoryWorld::addTarget(const std::string &Instance,
                            const std::string &Service, uint32_t Slots) {
  sockaddr_in Any = toSockaddr(Address{"127.0.0.1", 0});
  this->Listeners.push_back(evconnlistener_new_bind(
      this->Base, &MemoryWorld::onAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 1024,
      reinterpret_cast<sockaddr *>(&Any), sizeof(Any)));
  TargetEntry T;
  T.Instance = Instance;
  T.Service = serviceId(Service);
  T.At = boundAddress(evconnlistener_get_fd(this->Listeners.back()));
  T.Domain = "north";
  T.Slots = Slots;
  T.StartedAtMs = 1;
  this->Store->put(DirectoryKind::Targets, Instance,
                   platform::encodeTarget(T, Service));
}

void MemoryWorld::startGateway(const MemoryWorldInit &Init) {
  nlohmann::json S{{"host", "host-1"},
                   {"failureDomain", "north"},
                   {"region", "r"},
                   {"caller", this->CallerAddress.text()},
                   {"ready", this->ReadyAddress.text()},
                   {"peer", freeAddress().text()},
                   {"store", this->StoreAddress.text()},
                   {"metricsPort", 0},
                   {"memoryMb", Init.MemoryMb},
                   {"descriptors", Init.Descriptors},
                   {"stopGraceSeconds", Init.StopGraceSeconds}};
  std::string Settings = this->Folder + "/settings.json";
  std::string Log = this->Folder + "/log";
  std::ofstream(Settings) << S.dump(1);
  this->Pid = fork();
  if (this->Pid == 0) {
    int Out = open(Log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
    dup2(Out, 1);
    dup2(Out, 2);
    for (int Fd = 3; Fd < MaxInheritedFds; ++Fd) {
      close(Fd);
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    execl(GATEWAY_PROGRAM, GATEWAY_PROGRAM, "--config", Settings.c_str(),
          static_cast<char *>(nullptr));
    _exit(127);
  }
}

bool MemoryWorld::waitReady() {
  Time Until = ProcessClock::now() + ReadyLimit;
  while (ProcessClock::now() < Until) {
    RawCaller Probe(this->ReadyAddress, 65536);
    size_t Sent = 0;
    Probe.writeSome("GET /ready HTTP/1.1\r\nHost: r\r\n\r\n", Sent);
    if (Probe.readUntil("\r\n\r\n", seconds(1)).find(" 200 ") !=
        std::string::npos) {
      return true;
    }
    std::this_thread::sleep_for(millis(50));
  }
  return false;
}

std::string MemoryWorld::request(const std::string &Path,
                                 const std::string &Fields,
                                 const std::string &Body) {
  return "POST " + Path +
         " HTTP/1.1\r\nHost: h\r\nAuthorization: Token key\r\n" +
         platform::platformHeaders().RequestId + ": r" +
         std::to_string(this->NextRequest++) + "\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

bool MemoryWorld::answersOrdinaryRequest() {
  for (int I = 0; I < OrdinaryAttempts; ++I) {
    RawCaller C(this->CallerAddress, 65536);
    size_t Sent = 0;
    C.writeSome(this->request("/plain/x", "Connection: close\r\n"), Sent);
    std::string Answer = C.readUntil("fine", AnswerLimit);
    if (Answer.find(" 200 ") != std::string::npos &&
        Answer.find("fine") != std::string::npos) {
      return true;
    }
    std::this_thread::sleep_for(millis(200));
  }
  return false;
}

bool MemoryWorld::alive() {
  if (this->Pid > 0 && waitpid(this->Pid, nullptr, WNOHANG) == this->Pid) {
    this->Pid = 0;
  }
  return this->Pid > 0;
}

uint64_t MemoryWorld::peakResidentBytes() const {
  std::ifstream In("/proc/" + std::to_string(this->Pid) + "/status");
  std::string Line;
  while (std::getline(In, Line)) {
    if (Line.compare(0, 6, "VmHWM:") == 0) {
      return strtoull(Line.c_str() + 6, nullptr, 10) * 1024;
    }
  }
  return 0;
}

uint32_t MemoryWorld::openDescriptors() const {
  std::filesystem::directory_iterator Entries(
      "/proc/" + std::to_string(this->Pid) + "/fd");
  return static_cast<uint32_t>(std::distance(begin(Entries), end(Entries)));
}

void MemoryWorld::signal(int Number) { kill(this->Pid, Number); }

int MemoryWorld::stop(Duration Limit) {
  this->signal(SIGTERM);
  Time Until = ProcessClock::now() + Limit;
  int Status = 0;
  while (ProcessClock::now() < Until) {
    if (waitpid(this->Pid, &Status, WNOHANG) == this->Pid) {
      this->Pid = 0;
      return WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
    }
    std::this_thread::sleep_for(millis(20));
  }
  return -1;
}

} // namespace shallotlatch
