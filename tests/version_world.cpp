#include "version_world.h"

#include "encode_objects.h"
#include "platform_objects.h"
#include "soak_caller.h"
#include "sockets_p.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <unistd.h>

namespace shallotlatch {

using soak::DatagramProxy;
using soak::SoakTarget;

// Limit of waits. It ends a test that hangs; no check depends on it.
static constexpr Duration WaitLimit = seconds(10);
static constexpr Duration LoopStep = millis(5);
// Time limit of streams, the time after a process's start for which streams of
// before may go on, and time for the start itself.
static constexpr Duration StreamTimeout = seconds(2);
static constexpr Duration StreamLife = StreamTimeout + seconds(5);
static constexpr Duration StartTime = seconds(2);
static constexpr uint32_t TargetSlots = 64;
static constexpr size_t MaxTargets = 8;
static constexpr uint64_t WorldSeed = 7;
static const std::string Service = "engine";

static RoutingConfig makeConfig() {
  RoutingConfig C;
  C.Version = 1;
  ServiceSpec S;
  S.Name = Service;
  S.Id = serviceId(Service);
  S.Engine = true;
  S.EngineSlots = TargetSlots;
  C.Services[S.Id] = S;
  GatewayCustomer Customer;
  Customer.Name = "customer";
  Customer.Id = customerId(Customer.Name);
  C.Customers[Customer.Id] = Customer;
  C.CustomerByKey["key"] = Customer.Id;
  C.RequiresKeys = true;
  Route R;
  R.Name = "stream";
  R.Host = "h";
  R.PathPrefix = "/stream/";
  R.Kind = RouteKind::Stream;
  R.Shares = {{S.Id, 1}};
  R.Timeout = StreamTimeout;
  R.MaxAttempts = 2;
  R.Resumable = true;
  C.Routes = {R};
  return C;
}

std::string VersionWorld::hostName(uint32_t Host) {
  return "host-" + std::to_string(Host);
}

bool CallerStream::onHead(HttpHead &Head) {
  this->Status = Head.Status;
  const std::string *Stamp = Head.find(this->Headers.ServerStamp);
  this->Instance = Stamp == nullptr ? "" : *Stamp;
  return true;
}

void CallerStream::read() {
  evbuffer *In = bufferevent_get_input(this->Socket);
  std::string Bytes(evbuffer_get_length(In), '\0');
  evbuffer_remove(In, &Bytes[0], Bytes.size());
  size_t Used = 0;
  if (!this->Ended && this->Reader.feed(Bytes, Used) != FeedResult::NeedMore) {
    this->Ended = true;
  }
}

void CallerStream::close() {
  this->Ended = true;
  if (this->Socket != nullptr) {
    bufferevent_free(this->Socket);
    this->Socket = nullptr;
  }
}

Address VersionWorld::takeAddress() {
  Address At = this->Free.back();
  this->Free.pop_back();
  return At;
}

VersionWorld::VersionWorld(const std::vector<std::string> &Domains,
                           bool SharedStore)
    : Base(event_base_new()), Judge(soak::PromiseBounds()),
      Headers(platform::platformHeaders()), Hosts(Domains.size()) {
  signal(SIGPIPE, SIG_IGN);
  char Pattern[] = "/tmp/shallot-versions-XXXXXX";
  if (mkdtemp(Pattern) == nullptr) {
    throw std::runtime_error("cannot make a folder");
  }
  this->Folder = Pattern;
  size_t LinkCount = SharedStore ? 0 : Domains.size() * (Domains.size() - 1);
  this->Free =
      soak::freeAddresses(Domains.size() * size_t{4} + LinkCount + MaxTargets);
  for (size_t I = 0; I < Domains.size(); ++I) {
    HostParts &H = this->Hosts[I];
    H.Domain = Domains[I];
    for (Address *At : {&H.Caller, &H.Ready, &H.Peer, &H.StoreAt}) {
      *At = this->takeAddress();
    }
    if (SharedStore && I > 0) {
      H.Store = this->Hosts[0].Store;
      H.StoreAt = this->Hosts[0].StoreAt;
      continue;
    }
    H.Store = std::make_shared<platform::StoreStandin>(this->Base, H.StoreAt,
                                                       WorldSeed);
    H.Store->put(DirectoryKind::Config, "main",
                 platform::encodeConfig(makeConfig()));
  }
  if (!SharedStore) {
    this->makeLinks();
  }
  for (uint32_t I = 0; I < this->Hosts.size(); ++I) {
    this->startHost(I);
  }
}

void VersionWorld::makeLinks() {
  for (uint32_t From = 0; From < this->Hosts.size(); ++From) {
    for (uint32_t To = 0; To < this->Hosts.size(); ++To) {
      if (From == To) {
        continue;
      }
      FleetHost Entry;
      Entry.At = this->takeAddress();
      Entry.Domain = this->Hosts[To].Domain;
      Entry.Run = 1;
      this->Links.push_back({From, To,
                             std::make_unique<DatagramProxy>(
                                 this->Base, Entry.At, this->Hosts[To].Peer)});
      this->Hosts[From].Store->put(DirectoryKind::Hosts, hostName(To),
                                   platform::encodeHost(Entry));
    }
  }
}

VersionWorld::~VersionWorld() {
  for (HostParts &H : this->Hosts) {
    H.Process.kill();
  }
  this->Targets.clear();
  this->Links.clear();
  this->Hosts.clear();
  event_base_free(this->Base);
  if (getenv("KEEP") == nullptr) {
    std::error_code Ignored;
    std::filesystem::remove_all(this->Folder, Ignored);
  }
}

// The environment may name the program of another build, for one host (such as
// GATEWAY_PROGRAM_0) or for all.
void VersionWorld::startHost(uint32_t Host) {
  HostParts &H = this->Hosts[Host];
  nlohmann::json Settings{{"host", hostName(Host)},
                          {"failureDomain", H.Domain},
                          {"region", "r"},
                          {"caller", H.Caller.text()},
                          {"ready", H.Ready.text()},
                          {"peer", H.Peer.text()},
                          {"store", H.StoreAt.text()},
                          {"metricsPort", 0},
                          {"memoryMb", 260},
                          {"descriptors", 1024}};
  const char *OfAll = getenv("GATEWAY_PROGRAM");
  const char *Own = getenv(("GATEWAY_PROGRAM_" + std::to_string(Host)).c_str());
  const char *Program = Own != nullptr ? Own : OfAll;
  H.Process.start(Program == nullptr ? GATEWAY_PROGRAM : Program, this->Folder,
                  Settings);
}

void VersionWorld::runFor(Duration For) {
  timeval Step = toTimeval(For);
  event_base_loopexit(this->Base, &Step);
  event_base_dispatch(this->Base);
}

void VersionWorld::runForOneLife() { this->runFor(StartTime + StreamLife); }

bool VersionWorld::runUntil(const std::function<bool()> &Done) {
  Time Until = ProcessClock::now() + WaitLimit;
  bool IsDone = Done();
  while (!IsDone && ProcessClock::now() < Until) {
    this->runFor(LoopStep);
    IsDone = Done();
  }
  return IsDone;
}

uint32_t VersionWorld::startTarget(const std::string &Software) {
  uint32_t Number = static_cast<uint32_t>(this->Targets.size());
  soak::TargetInit Init;
  Init.Instance = "t-" + std::to_string(Number);
  Init.Service = serviceId(Service);
  Init.At = this->Free.back();
  this->Free.pop_back();
  Init.Slots = TargetSlots;
  Init.EventInterval = millis(250);
  TargetParts T;
  T.Entry.Instance = Init.Instance;
  T.Entry.Service = Init.Service;
  T.Entry.At = Init.At;
  std::set<std::string> Domains;
  for (const HostParts &H : this->Hosts) {
    Domains.insert(H.Domain);
  }
  T.Entry.Domain = *std::next(Domains.begin(), Number % Domains.size());
  T.Entry.Slots = Init.Slots;
  T.Entry.StartedAtMs = 1 + Number;
  T.Entry.Software = Software;
  T.Process = std::make_unique<SoakTarget>(this->Base, Init, this->Headers,
                                           this->Judge);
  this->Targets.push_back(std::move(T));
  return Number;
}

void VersionWorld::crashTarget(uint32_t Target) {
  this->Targets[Target].Process.reset();
}

void VersionWorld::showTarget(uint32_t Target,
                              const std::set<uint32_t> &ToHosts) {
  const TargetEntry &Entry = this->Targets[Target].Entry;
  for (uint32_t Host : ToHosts) {
    this->Hosts[Host].Store->put(DirectoryKind::Targets, Entry.Instance,
                                 platform::encodeTarget(Entry, Service));
  }
}

void VersionWorld::hideTarget(uint32_t Target,
                              const std::set<uint32_t> &FromHosts) {
  for (uint32_t Host : FromHosts) {
    this->Hosts[Host].Store->erase(DirectoryKind::Targets,
                                   this->Targets[Target].Entry.Instance);
  }
}

void VersionWorld::cutLinks(const std::set<uint32_t> &Of, bool Cut) {
  for (Link &L : this->Links) {
    if (Of.count(L.From) != Of.count(L.To)) {
      L.Proxy->setPassing(!Cut);
    }
  }
}

void VersionWorld::signalHost(uint32_t Host, int Number) {
  this->Hosts[Host].Process.signal(Number);
}

void VersionWorld::killHost(uint32_t Host) { this->Hosts[Host].Process.kill(); }

std::shared_ptr<CallerStream> VersionWorld::send(uint32_t Host,
                                                 const std::string &Fields) {
  std::shared_ptr<CallerStream> Stream =
      std::make_shared<CallerStream>(this->Headers);
  Stream->Id = "s" + std::to_string(this->Sent++);
  Stream->Socket =
      bufferevent_socket_new(this->Base, -1, BEV_OPT_CLOSE_ON_FREE);
  auto OnRead = [](bufferevent *, void *Arg) {
    static_cast<CallerStream *>(Arg)->read();
  };
  auto OnEvent = [](bufferevent *, short Events, void *Arg) {
    if ((Events & BEV_EVENT_CONNECTED) == 0) {
      static_cast<CallerStream *>(Arg)->Ended = true;
    }
  };
  bufferevent_setcb(Stream->Socket, OnRead, nullptr, OnEvent, Stream.get());
  bufferevent_enable(Stream->Socket, EV_READ | EV_WRITE);
  connectSocket(Stream->Socket, this->Hosts[Host].Caller);
  std::string Text = "POST /stream/x HTTP/1.1\r\nHost: h\r\n" +
                     this->Headers.RequestId + ": " + Stream->Id + "\r\n" +
                     this->Headers.DeadlineMs + ": " +
                     std::to_string(toMillis(StreamTimeout)) +
                     "\r\nAuthorization: " + this->Headers.KeyScheme +
                     " key\r\n" + Fields + "Content-Length: 4\r\n\r\nwork";
  bufferevent_write(Stream->Socket, Text.data(), Text.size());
  return Stream;
}

std::string VersionWorld::softwareOf(const CallerStream &Stream) const {
  for (const TargetParts &T : this->Targets) {
    if (T.Entry.Instance == Stream.Instance) {
      return T.Entry.Software;
    }
  }
  return "";
}

std::vector<std::shared_ptr<CallerStream>>
VersionWorld::beginStreams(uint32_t Host, size_t Count) {
  std::vector<std::shared_ptr<CallerStream>> All;
  for (size_t I = 0; I < Count; ++I) {
    All.push_back(this->send(Host, ""));
  }
  this->runUntil([&All] {
    return std::all_of(All.begin(), All.end(),
                       [](const std::shared_ptr<CallerStream> &S) {
                         return S->hasEvent() || S->Ended;
                       });
  });
  std::vector<std::shared_ptr<CallerStream>> Begun;
  for (const std::shared_ptr<CallerStream> &S : All) {
    if (S->hasEvent()) {
      Begun.push_back(S);
    }
  }
  return Begun;
}

std::vector<std::shared_ptr<CallerStream>>
VersionWorld::beginStreams(uint32_t Host, size_t Count,
                           const std::string &Software) {
  std::vector<std::shared_ptr<CallerStream>> Begun;
  for (const auto &S : this->beginStreams(Host, Count)) {
    if (this->softwareOf(*S) == Software) {
      Begun.push_back(S);
    }
  }
  return Begun;
}

std::shared_ptr<CallerStream> VersionWorld::takeUp(uint32_t Host,
                                                   const CallerStream &Stream) {
  return this->send(Host, "Last-Event-Id: 1\r\n" + this->Headers.Resumes +
                              ": " + Stream.Id + "\r\n");
}

void VersionWorld::awaitAnswers(
    const std::vector<std::shared_ptr<CallerStream>> &Streams) {
  this->runUntil([&Streams] {
    return std::all_of(
        Streams.begin(), Streams.end(),
        [](const std::shared_ptr<CallerStream> &S) { return S->Ended; });
  });
}

size_t VersionWorld::countGoneOn(
    const std::vector<std::shared_ptr<CallerStream>> &Streams,
    const std::string &Software) {
  this->awaitAnswers(Streams);
  return static_cast<size_t>(
      std::count_if(Streams.begin(), Streams.end(),
                    [&](const std::shared_ptr<CallerStream> &S) {
                      return S->hasEvent() && this->softwareOf(*S) == Software;
                    }));
}

std::string VersionWorld::originsAt(uint32_t Host) const {
  std::ifstream In(this->Folder + "/" + hostName(Host) + ".log");
  std::string Line;
  std::string Found;
  while (std::getline(In, Line)) {
    if (Line.find("stream-origin") != std::string::npos) {
      Found += "\n" + Line;
    }
  }
  return Found;
}

} // namespace shallotlatch
