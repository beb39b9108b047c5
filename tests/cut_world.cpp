#include "cut_world.h"

#include "cut_call.h"
#include "encode_objects.h"
#include "platform_objects.h"
#include "sockets_p.h"

#include <event2/bufferevent.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <map>
#include <stdexcept>
#include <unistd.h>

namespace shallotlatch {

using soak::LinkMode;
using soak::NewLinks;
using soak::SoakProxy;
using soak::SoakTarget;

// Time between two requests: 40 a second over all hosts.
static constexpr Duration SendInterval = millis(25);
// Limits of waits. They end a test that hangs; no check depends on them.
static constexpr Duration ReadyLimit = seconds(20);
static constexpr Duration FinishLimit = seconds(15);
// Time without a request that fails, from which on a fleet counts as ready.
static constexpr Duration ReadyPeriod = millis(500);
// Deadlines of requests, from which on their callers await nothing.
static constexpr Duration PlainDeadline = seconds(2);
static constexpr Duration StreamDeadline = seconds(12);
static constexpr uint32_t TargetCount = 6;
// Slots of a target: one alone holds the requests of all callers.
static constexpr uint32_t TargetSlots = 32;
// Streams take about 2 s, so that some are under way when paths are cut.
static constexpr Duration EventInterval = millis(300);
// Different contents that callers send, and first parts that prompts share.
static constexpr uint32_t ContentCount = 12;
static constexpr uint32_t PromptPartCount = 3;
static constexpr uint64_t WorldSeed = 42;
double CutCounts::share() const {
  return this->Sent == 0 ? 0 : static_cast<double>(this->Served) / this->Sent;
}

static Route makeRoute(const std::string &Name, RouteKind Kind) {
  Route R;
  R.Name = Name;
  R.Host = "h";
  R.PathPrefix = "/" + Name + "/";
  R.Kind = Kind;
  bool IsStream = Kind == RouteKind::Stream;
  R.Shares = {{serviceId(IsStream ? "engine" : "plain"), 1}};
  R.Timeout = IsStream ? StreamDeadline : PlainDeadline;
  R.MaxAttempts = Kind == RouteKind::NonIdempotent ? 1 : 2;
  R.Resumable = IsStream;
  return R;
}

static RoutingConfig makeConfig() {
  RoutingConfig C;
  C.Version = 1;
  for (const char *Name : {"plain", "engine"}) {
    ServiceSpec S;
    S.Name = Name;
    S.Id = serviceId(Name);
    S.Engine = S.Name == "engine";
    S.EngineSlots = TargetSlots;
    C.Services[S.Id] = S;
  }
  GatewayCustomer Customer;
  Customer.Name = "customer";
  Customer.Id = customerId(Customer.Name);
  C.Customers[Customer.Id] = Customer;
  C.CustomerByKey["key"] = Customer.Id;
  C.RequiresKeys = true;
  C.Routes = {makeRoute("get", RouteKind::Idempotent),
              makeRoute("post", RouteKind::NonIdempotent),
              makeRoute("stream", RouteKind::Stream)};
  return C;
}

static std::string domainOf(uint32_t Host) {
  return Host < CutWorld::HostCount / 2 ? "north" : "south";
}

static std::string hostName(uint32_t Host) {
  return "host-" + std::to_string(Host);
}

CutWorld::CutWorld(bool KeepConnections)
    : Base(event_base_new()), Random(WorldSeed), Judge(soak::PromiseBounds()),
      Headers(platform::platformHeaders()), Hosts(HostCount) {
  // A proxy writes held bytes to connections that hosts have closed.
  signal(SIGPIPE, SIG_IGN);
  char Pattern[] = "/tmp/shallot-cut-XXXXXX";
  if (mkdtemp(Pattern) == nullptr) {
    throw std::runtime_error("cannot make a folder");
  }
  this->Folder = Pattern;
  // All at once: hosts listen on theirs later.
  std::vector<Address> Free = soak::freeAddresses(
      HostCount * size_t{4} + TargetCount * (1 + HostCount));
  for (HostParts &H : this->Hosts) {
    for (Address *At : {&H.Caller, &H.Ready, &H.Peer, &H.StoreAt}) {
      *At = Free.back();
      Free.pop_back();
    }
    H.Process = std::make_unique<soak::GatewayProcess>();
    H.Store = std::make_unique<platform::StoreStandin>(this->Base, H.StoreAt,
                                                       WorldSeed);
    H.Store->put(DirectoryKind::Config, "main",
                 platform::encodeConfig(makeConfig()));
  }
  // A host registers itself in its own store only.
  for (uint32_t Of = 0; Of < HostCount; ++Of) {
    FleetHost Entry;
    Entry.At = this->Hosts[Of].Peer;
    Entry.Domain = domainOf(Of);
    Entry.Run = 1;
    for (uint32_t To = 0; To < HostCount; ++To) {
      if (To != Of) {
        this->Hosts[To].Store->put(DirectoryKind::Hosts, hostName(Of),
                                   platform::encodeHost(Entry));
      }
    }
  }
  this->addTargets(KeepConnections, std::move(Free));
  for (uint32_t I = 0; I < HostCount; ++I) {
    this->startHost(I);
  }
}

CutWorld::~CutWorld() {
  for (HostParts &H : this->Hosts) {
    H.Process->kill();
    for (bufferevent *Socket : H.Idle) {
      bufferevent_free(Socket);
    }
  }
  this->Calls.clear();
  this->Hosts.clear();
  this->Targets.clear();
  event_base_free(this->Base);
  if (getenv("KEEP") == nullptr) {
    std::error_code Ignored;
    std::filesystem::remove_all(this->Folder, Ignored);
  }
}

void CutWorld::addTargets(bool KeepConnections, std::vector<Address> Free) {
  for (uint32_t I = 0; I < TargetCount; ++I) {
    std::string Service = I < TargetCount / 2 ? "plain" : "engine";
    soak::TargetInit Init;
    Init.Instance = "t-" + std::to_string(I);
    Init.Service = serviceId(Service);
    Init.At = Free.back();
    Free.pop_back();
    Init.Slots = TargetSlots;
    Init.EventInterval = EventInterval;
    Init.KeepsConnections = KeepConnections;
    this->Targets.push_back(std::make_unique<SoakTarget>(
        this->Base, Init, this->Headers, this->Judge));
    TargetEntry Entry;
    Entry.Instance = Init.Instance;
    Entry.Service = Init.Service;
    Entry.Domain = I % 2 == 0 ? "north" : "south";
    Entry.Slots = TargetSlots;
    Entry.StartedAtMs = 1;
    for (HostParts &H : this->Hosts) {
      Entry.At = Free.back();
      Free.pop_back();
      H.Proxies.push_back(
          std::make_unique<SoakProxy>(this->Base, Entry.At, Init.At));
      H.Store->put(DirectoryKind::Targets, Entry.Instance,
                   platform::encodeTarget(Entry, Service));
    }
  }
}

std::string CutWorld::logPath(uint32_t Host) const {
  return this->Folder + "/" + hostName(Host) + ".log";
}

void CutWorld::startHost(uint32_t Host) {
  HostParts &H = this->Hosts[Host];
  nlohmann::json S{{"host", hostName(Host)},
                   {"failureDomain", domainOf(Host)},
                   {"region", "r"},
                   {"caller", H.Caller.text()},
                   {"ready", H.Ready.text()},
                   {"peer", H.Peer.text()},
                   {"store", H.StoreAt.text()},
                   {"metricsPort", 0},
                   {"retryRatio", soak::PromiseBounds().BudgetRatio},
                   {"retryExtra", soak::PromiseBounds().BudgetExtra},
                   {"retryWindowSeconds", 10},
                   {"memoryMb", 260},
                   {"descriptors", 1024}};
  H.Process->start(GATEWAY_PROGRAM, this->Folder, S);
}

void CutWorld::setPaths(uint32_t Host, PathCut Cut) {
  for (const std::unique_ptr<SoakProxy> &P : this->Hosts[Host].Proxies) {
    switch (Cut) {
    case PathCut::None:
      P->setNewLinks(NewLinks::Accepted);
      P->setMode(LinkMode::Pass);
      break;
    case PathCut::Silent:
      P->setNewLinks(NewLinks::Unanswered);
      P->setMode(LinkMode::Silent);
      break;
    case PathCut::Reset:
      P->setNewLinks(NewLinks::Refused);
      P->setMode(LinkMode::ResetAll);
      break;
    case PathCut::RefuseNew:
      P->setNewLinks(NewLinks::Refused);
      break;
    }
  }
}

bufferevent *CutWorld::connect(uint32_t Host) {
  bufferevent *Socket = bufferevent_socket_new(
      this->Base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_enable(Socket, EV_READ | EV_WRITE);
  sockaddr_in To = toSockaddr(this->Hosts[Host].Caller);
  bufferevent_socket_connect(Socket, reinterpret_cast<sockaddr *>(&To),
                             sizeof(To));
  return Socket;
}

void CutWorld::dropIdle(bufferevent *Socket) {
  for (HostParts &H : this->Hosts) {
    H.Idle.erase(std::remove(H.Idle.begin(), H.Idle.end(), Socket),
                 H.Idle.end());
  }
  bufferevent_free(Socket);
}

void CutWorld::sendNext() {
  static const char *const Names[] = {"get", "post", "stream"};
  static constexpr RouteKind Kinds[] = {
      RouteKind::Idempotent, RouteKind::NonIdempotent, RouteKind::Stream};
  uint64_t Drawn = this->Random();
  size_t Kind = Drawn % 3;
  std::unique_ptr<Call> New = std::make_unique<Call>(*this);
  New->Kept = Drawn / 3 % 2 == 0;
  soak::SentRequest &Request = New->Request;
  Request.Id = "r" + std::to_string(this->Calls.size());
  Request.Host = static_cast<uint32_t>(this->Calls.size() % HostCount);
  Request.At = ProcessClock::now();
  Request.Kind = Kinds[Kind];
  Request.Repeatable = Request.Kind != RouteKind::NonIdempotent;
  bool IsStream = Request.Kind == RouteKind::Stream;
  Request.Service = serviceId(IsStream ? "engine" : "plain");
  Request.Customer = "customer";
  Request.Key = "key";
  this->Judge.recordRequest(Request);
  Duration Deadline = IsStream ? StreamDeadline : PlainDeadline;
  std::string Content = "work " + std::to_string(Drawn / 6 % ContentCount);
  std::string PromptParts;
  if (IsStream) {
    PromptParts = this->Headers.PromptParts + ": part" +
                  std::to_string(Drawn / 6 % PromptPartCount) + ":64, own" +
                  Request.Id + ":8\r\n";
  }
  std::string Text =
      std::string("POST /") + Names[Kind] + "/x HTTP/1.1\r\nHost: h\r\n" +
      this->Headers.RequestId + ": " + Request.Id + "\r\n" +
      this->Headers.DeadlineMs + ": " + std::to_string(toMillis(Deadline)) +
      "\r\nAuthorization: " + this->Headers.KeyScheme + " key\r\n" +
      (New->Kept ? "" : "Connection: close\r\n") + PromptParts +
      "Content-Length: " + std::to_string(Content.size()) + "\r\n\r\n" +
      Content;
  std::vector<bufferevent *> &Idle = this->Hosts[Request.Host].Idle;
  bufferevent *Socket = nullptr;
  if (New->Kept && !Idle.empty()) {
    Socket = Idle.back();
    Idle.pop_back();
  } else {
    Socket = this->connect(Request.Host);
  }
  this->Calls.push_back(std::move(New));
  this->Calls.back()->start(Socket, Text, Deadline);
}

void CutWorld::loop(Duration For) {
  timeval Step = toTimeval(For);
  event_base_loopexit(this->Base, &Step);
  event_base_dispatch(this->Base);
}

void CutWorld::run(Duration For) {
  Time Next = ProcessClock::now();
  Time Until = Next + For;
  while (Next < Until) {
    this->sendNext();
    Next += SendInterval;
    this->loop(std::max(Duration(0), Next - ProcessClock::now()));
  }
}

void CutWorld::finish() {
  Time Until = ProcessClock::now() + FinishLimit;
  auto IsOpen = [](const std::unique_ptr<Call> &C) { return !C->Ended; };
  while (ProcessClock::now() < Until &&
         std::any_of(this->Calls.begin(), this->Calls.end(), IsOpen)) {
    this->loop(SendInterval);
  }
}

bool CutWorld::hearsAll(uint32_t Host) const {
  std::ifstream In(this->logPath(Host));
  std::string Line;
  std::string Heard = "\"heard\":" + std::to_string(HostCount);
  while (std::getline(In, Line)) {
    if (Line.find(Heard) != std::string::npos) {
      return true;
    }
  }
  return false;
}

bool CutWorld::waitReady() {
  Time Until = ProcessClock::now() + ReadyLimit;
  while (ProcessClock::now() < Until) {
    this->loop(ReadyPeriod);
    bool All = true;
    for (uint32_t I = 0; I < HostCount; ++I) {
      All = All && this->hearsAll(I);
    }
    if (!All) {
      continue;
    }
    Time From = ProcessClock::now();
    this->run(ReadyPeriod);
    auto Failed = [From](const std::unique_ptr<Call> &C) {
      return C->Request.At >= From && C->Ended && !C->Served;
    };
    if (std::none_of(this->Calls.begin(), this->Calls.end(), Failed)) {
      return true;
    }
  }
  return false;
}

CutCounts CutWorld::count(const std::vector<uint32_t> &Of, bool Others,
                          Time From, Time To) const {
  CutCounts Counts;
  for (const std::unique_ptr<Call> &C : this->Calls) {
    bool Member = std::find(Of.begin(), Of.end(), C->Request.Host) != Of.end();
    if (Member != Others && C->Request.At >= From && C->Request.At < To) {
      ++Counts.Sent;
      Counts.Served += C->Served ? 1 : 0;
    }
  }
  return Counts;
}

std::string CutWorld::failures(Time From, Time To) const {
  std::map<std::string, uint32_t> Seen;
  for (const std::unique_ptr<Call> &C : this->Calls) {
    if (!C->Served && C->Request.At >= From && C->Request.At < To) {
      ++Seen[hostName(C->Request.Host) + ": " + C->Failure];
    }
  }
  std::string Text;
  for (const auto &Item : Seen) {
    Text += "\n" + std::to_string(Item.second) + " " + Item.first;
  }
  return Text;
}

std::vector<soak::Violation> CutWorld::violations() const {
  return this->Judge.violations();
}

CutCounts CutWorld::countStreamsAt(uint32_t Host, Time At) const {
  CutCounts Counts;
  for (const std::unique_ptr<Call> &C : this->Calls) {
    if (C->Request.Kind == RouteKind::Stream && C->Request.Host == Host &&
        C->Request.At + EventInterval < At && C->EndedAt >= At) {
      ++Counts.Sent;
      Counts.Served += C->Served ? 1 : 0;
    }
  }
  return Counts;
}

uint32_t CutWorld::refusedContents() const {
  return static_cast<uint32_t>(std::count_if(
      this->Calls.begin(), this->Calls.end(),
      [](const std::unique_ptr<Call> &C) {
        return C->Failure.find("crashes targets") != std::string::npos;
      }));
}

} // namespace shallotlatch
