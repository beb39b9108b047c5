#include "soak_world.h"

#include "encode_objects.h"
#include "platform_objects.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace shallotlatch::soak {

using nlohmann::json;

// Offsets of the ports from EnvironmentInit::FirstPort.
static constexpr uint16_t CallerPortOffset = 0;
static constexpr uint16_t ReadyPortOffset = 10;
static constexpr uint16_t PeerPortOffset = 20;
static constexpr uint16_t StoreProxyPortOffset = 30;
static constexpr uint16_t StorePortOffset = 40;
static constexpr uint16_t TargetPortOffset = 50;
static constexpr uint16_t TargetPortCount = 140;
// Time after which a host that ended is started again.
static constexpr Duration RestartDelay = millis(300);
// Time until the load balancer sends no new connections to a stopping host: two
// failed health checks, one second apart.
static constexpr Duration BalancerLag = seconds(2);
static constexpr uint32_t EngineTargetCount = 4;
// Starts of targets after which another software version is the newest.
static constexpr uint32_t StartsPerVersion = TargetCount + 2;
// Streams last long enough for faults to break some.
static constexpr Duration StreamEventInterval = millis(120);
static constexpr uint32_t InitialKeyCount = 8;
static constexpr double SmallCustomerRate = 20;
static constexpr double SmallCustomerBurst = 10;
static constexpr double QuotaTolerance = 20;
// A new process closes the inherited file descriptors below this number.
static constexpr int MaxInheritedFds = 1024;
static const std::string EngineService = "engine";
static const std::string PlainService = "plain";

static PromiseBounds soakBounds() {
  PromiseBounds B;
  B.QuotaTolerance = QuotaTolerance;
  return B;
}

static Route route(const std::string &Name, RouteKind Kind,
                   const std::string &Service) {
  Route R;
  R.Name = Name;
  R.Host = "soak";
  R.PathPrefix = "/" + Name + "/";
  R.Kind = Kind;
  R.Shares = {{serviceId(Service), 1}};
  R.Timeout = seconds(4);
  R.Objective = millis(500);
  R.PauseObjective = millis(500);
  R.MaxAttempts = Kind == RouteKind::NonIdempotent ? 1 : 2;
  return R;
}

SoakEnvironment::SoakEnvironment(event_base *Base, const EnvironmentInit &Init)
    : Base(Base), Init(Init), Random(Init.Seed), SoftwareRandom(Init.Seed),
      Judge(soakBounds()), Headers(platform::platformHeaders()),
      Store(Base, this->addressAt(StorePortOffset), Init.Seed),
      HostProcesses(HostCount), TargetSlots(TargetCount) {
  for (const std::string &Name : {EngineService, PlainService}) {
    ServiceSpec S;
    S.Name = Name;
    S.Id = serviceId(Name);
    S.Engine = Name == EngineService;
    S.EngineSlots = 4;
    this->Config.Services[S.Id] = S;
  }
  GatewayCustomer Large;
  Large.Name = "large";
  Large.Id = customerId(Large.Name);
  GatewayCustomer Small;
  Small.Name = "small";
  Small.Id = customerId(Small.Name);
  Small.RatePerSecond = SmallCustomerRate;
  Small.Burst = SmallCustomerBurst;
  this->Config.Customers[Large.Id] = Large;
  this->Config.Customers[Small.Id] = Small;
  this->Config.CustomerByKey["small-key"] = Small.Id;
  this->Config.RequiresKeys = true;
  this->Judge.setQuota(Small.Name, SmallCustomerRate, SmallCustomerBurst);
  for (uint32_t I = 0; I < InitialKeyCount; ++I) {
    this->ActiveKeys.push_back("key-" + std::to_string(I));
    this->Config.CustomerByKey[this->ActiveKeys.back()] = Large.Id;
  }
  this->writeConfig();
  for (uint32_t I = 0; I < TargetCount; ++I) {
    this->startTarget(I);
  }
  for (uint32_t I = 0; I < HostCount; ++I) {
    this->HostProcesses[I].StoreProxy = std::make_unique<SoakProxy>(
        Base, this->addressAt(static_cast<uint16_t>(StoreProxyPortOffset + I)),
        this->addressAt(StorePortOffset));
    this->startHost(I);
  }
}

// Kills only processes that this soak started.
SoakEnvironment::~SoakEnvironment() {
  this->Callers.clear();
  for (HostProcess &P : this->HostProcesses) {
    if (P.Pid > 0) {
      kill(P.Pid, SIGKILL);
      waitpid(P.Pid, nullptr, 0);
    }
  }
}

Address SoakEnvironment::addressAt(uint16_t Offset) const {
  return Address{"127.0.0.1",
                 static_cast<uint16_t>(this->Init.FirstPort + Offset)};
}

void SoakEnvironment::writeConfig() {
  ++this->Config.Version;
  this->Config.Routes.clear();
  Route Stream = route("stream", RouteKind::Stream, EngineService);
  Stream.Resumable = true;
  Route Once = route("stream-once", RouteKind::Stream, EngineService);
  Once.MaxAttempts = 1;
  Once.Rank = 1;
  this->Config.Routes = {Stream, Once,
                         route("get", RouteKind::Idempotent, PlainService),
                         route("post", RouteKind::NonIdempotent, PlainService),
                         route("only-" + std::to_string(this->Config.Version),
                               RouteKind::Idempotent, PlainService)};
  this->Store.put(DirectoryKind::Config, "main",
                  platform::encodeConfig(this->Config));
  this->Judge.recordConfigVersion(this->Config.Version, ProcessClock::now());
}

void SoakEnvironment::changeConfig(bool RemoveKey) {
  if (RemoveKey && this->ActiveKeys.size() > 2) {
    std::string Key = this->ActiveKeys.back();
    this->ActiveKeys.pop_back();
    this->RemovedKeys.push_back(Key);
    this->Config.CustomerByKey.erase(Key);
    this->writeConfig();
    this->Judge.recordKeyRemoval(Key, ProcessClock::now());
    return;
  }
  this->writeConfig();
}

void SoakEnvironment::writeMalformedEntry() {
  this->Store.put(DirectoryKind::Targets, "foreign",
                  json{{"service", 7},
                       {"address", "nowhere"},
                       {"sequence-number", this->Random() % 1000}});
}

void SoakEnvironment::writeSettings(uint32_t Host) const {
  auto Text = [this, Host](uint16_t Offset) {
    return this->addressAt(static_cast<uint16_t>(Offset + Host)).text();
  };
  json S{{"host", "host-" + std::to_string(Host)},
         {"failureDomain", Host < NorthHostCount ? "north" : "south"},
         {"region", "r"},
         {"caller", Text(CallerPortOffset)},
         {"ready", Text(ReadyPortOffset)},
         {"peer", Text(PeerPortOffset)},
         {"store", Text(StoreProxyPortOffset)},
         {"metricsPort", 0},
         {"revocationMs", 5000},
         {"stopGraceSeconds", this->HostProcesses[Host].StopGraceSeconds},
         {"drainTimeoutMs", 2500},
         {"retryRatio", 0.2},
         {"retryExtra", 10},
         {"retryWindowSeconds", 10},
         {"quotaWindowSeconds", 8},
         {"quotaOverage", 0.1},
         {"quotaTolerance", QuotaTolerance},
         {"cores", Host == 0 ? 0.5 : 0.25},
         {"memoryMb", 260},
         {"descriptors", 1024}};
  // A process that was just started may be reading the file.
  std::string Path =
      this->Init.Folder + "/host-" + std::to_string(Host) + ".json";
  std::ofstream(Path + ".new") << S.dump(1);
  std::filesystem::rename(Path + ".new", Path);
}

void SoakEnvironment::startHost(uint32_t Host) {
  HostProcess &P = this->HostProcesses[Host];
  if (P.Pid > 0) {
    return;
  }
  this->writeSettings(Host);
  std::string Name = this->Init.Folder + "/host-" + std::to_string(Host);
  std::string Settings = Name + ".json";
  std::string Log = Name + ".log";
  int Pid = fork();
  if (Pid < 0) {
    throw std::runtime_error("cannot fork a process for host " +
                             std::to_string(Host));
  }
  if (Pid == 0) {
    int Out = open(Log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
    dup2(Out, 1);
    dup2(Out, 2);
    // The host must not keep the soak's sockets open, and must not outlive the
    // soak.
    for (int Fd = 3; Fd < MaxInheritedFds; ++Fd) {
      close(Fd);
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    execl(this->Init.Program.c_str(), this->Init.Program.c_str(), "--config",
          Settings.c_str(), static_cast<char *>(nullptr));
    _exit(127);
  }
  P.Pid = Pid;
  ++P.StartCount;
  P.Frozen = false;
  P.EndRequested = false;
  this->Judge.recordHostFault(Host, ProcessClock::now(), false);
}

void SoakEnvironment::killHost(uint32_t Host) {
  HostProcess &P = this->HostProcesses[Host];
  if (P.Pid > 0) {
    P.EndRequested = true;
    this->Judge.recordHostFault(Host, ProcessClock::now(), false);
    kill(P.Pid, SIGKILL);
  }
}

void SoakEnvironment::stopHost(uint32_t Host) {
  HostProcess &P = this->HostProcesses[Host];
  if (P.Pid > 0 && !P.EndRequested) {
    P.EndRequested = true;
    P.StopRequestedAt = ProcessClock::now();
    this->Judge.recordHostFault(Host, P.StopRequestedAt, true);
    kill(P.Pid, SIGTERM);
  }
}

void SoakEnvironment::freezeHost(uint32_t Host, bool Frozen) {
  HostProcess &P = this->HostProcesses[Host];
  if (P.Pid > 0) {
    P.Frozen = Frozen;
    this->Judge.recordHostFault(Host, ProcessClock::now(), false);
    kill(P.Pid, Frozen ? SIGSTOP : SIGCONT);
  }
}

void SoakEnvironment::reloadHost(uint32_t Host, bool Signal) {
  HostProcess &P = this->HostProcesses[Host];
  P.StopGraceSeconds = P.StopGraceSeconds > 7.5 ? 7 : 8;
  this->writeSettings(Host);
  if (Signal && P.Pid > 0) {
    kill(P.Pid, SIGHUP);
  }
}

void SoakEnvironment::setStoreLinkMode(uint32_t Host, LinkMode Mode) {
  this->HostProcesses[Host].Link = Mode;
  this->HostProcesses[Host].StoreProxy->setMode(Mode);
  this->Judge.recordHostFault(Host, ProcessClock::now(), false);
}

void SoakEnvironment::setTargetLinkMode(uint32_t Slot, LinkMode Mode) {
  this->TargetSlots[Slot].Link = Mode;
  this->TargetSlots[Slot].Proxy->setMode(Mode);
  this->Judge.recordTargetFault(this->TargetSlots[Slot].Entry.Instance,
                                ProcessClock::now());
}

void SoakEnvironment::startTarget(uint32_t Slot) {
  TargetSlot &P = this->TargetSlots[Slot];
  uint16_t Port =
      static_cast<uint16_t>(TargetPortOffset + this->NextTargetPort);
  this->NextTargetPort =
      static_cast<uint16_t>((this->NextTargetPort + 2) % TargetPortCount);
  bool IsEngine = Slot < EngineTargetCount;
  P.ServiceName = IsEngine ? EngineService : PlainService;
  TargetInit Target;
  Target.Instance = "t-" + std::to_string(this->Random() % 1000000000);
  Target.Service = serviceId(P.ServiceName);
  Target.At = this->addressAt(static_cast<uint16_t>(Port + 1));
  Target.EventInterval = StreamEventInterval;
  // A new version joins after every few starts, beside the one before.
  Target.Software =
      "v" + std::to_string(this->StartedTargets++ / StartsPerVersion +
                           this->SoftwareRandom() % 2);
  P.Target = std::make_unique<SoakTarget>(this->Base, Target, this->Headers,
                                          this->Judge);
  P.Proxy =
      std::make_unique<SoakProxy>(this->Base, this->addressAt(Port), Target.At);
  P.Entry = TargetEntry();
  P.Entry.Instance = Target.Instance;
  P.Entry.Software = Target.Software;
  P.Entry.Service = Target.Service;
  P.Entry.At = this->addressAt(Port);
  P.Entry.Domain = Slot % 2 == 0 ? "north" : "south";
  P.Entry.Slots = Target.Slots;
  P.Entry.StartedAtMs = static_cast<int64_t>(this->Random() % 1000000000);
  P.Link = LinkMode::Pass;
  this->Store.put(DirectoryKind::Targets, P.Entry.Instance,
                  platform::encodeTarget(P.Entry, P.ServiceName));
}

void SoakEnvironment::crashTarget(uint32_t Slot) {
  TargetSlot &P = this->TargetSlots[Slot];
  this->Judge.recordTargetFault(P.Entry.Instance, ProcessClock::now());
  P.Target.reset();
  P.Proxy.reset();
}

void SoakEnvironment::removeTargetEntry(uint32_t Slot) {
  this->Store.erase(DirectoryKind::Targets,
                    this->TargetSlots[Slot].Entry.Instance);
}

void SoakEnvironment::drainTarget(uint32_t Slot) {
  TargetSlot &P = this->TargetSlots[Slot];
  P.Entry.Leaving = true;
  this->Store.put(DirectoryKind::Targets, P.Entry.Instance,
                  platform::encodeTarget(P.Entry, P.ServiceName));
  this->Judge.recordTargetDrain(P.Entry.Instance, ProcessClock::now());
}

void SoakEnvironment::announceLeaving(uint32_t Slot) {
  if (this->TargetSlots[Slot].Target) {
    this->TargetSlots[Slot].Target->SaysLeaving = true;
  }
}

void SoakEnvironment::pauseTarget(uint32_t Slot, Duration For) {
  if (this->TargetSlots[Slot].Target) {
    this->TargetSlots[Slot].Target->PausedUntil = ProcessClock::now() + For;
  }
}

void SoakEnvironment::endTarget(uint32_t Slot) {
  this->removeTargetEntry(Slot);
  this->crashTarget(Slot);
}

void SoakEnvironment::loseAnswers(uint32_t Slot, double Share) {
  TargetSlot &P = this->TargetSlots[Slot];
  if (P.Target) {
    this->Judge.recordTargetFault(P.Entry.Instance, ProcessClock::now());
    P.Target->LoseAnswers = Share;
  }
}

RequestPlan SoakEnvironment::planRequest() {
  RequestPlan Plan;
  SentRequest &R = Plan.Request;
  R.Id = "r" + std::to_string(this->NextRequestNumber++);
  R.Service = serviceId(PlainService);
  R.Customer = "large";
  // Requests use removed keys too, so that the judge can check revocation.
  std::vector<std::string> Known = this->ActiveKeys;
  Known.insert(Known.end(), this->RemovedKeys.begin(), this->RemovedKeys.end());
  R.Key = Known[this->Random() % Known.size()];
  Plan.Pause = millis(static_cast<int64_t>(20 + this->Random() % 160));
  std::string Name = "get";
  switch (this->Random() % 8) {
  case 0:
  case 1:
    Name = "stream";
    break;
  case 2:
    Name = "stream-once";
    break;
  case 3:
    Name = "post";
    R.Kind = RouteKind::NonIdempotent;
    break;
  case 4: {
    uint64_t Back =
        std::min<uint64_t>(this->Random() % 3, this->Config.Version - 1);
    R.RouteVersion = this->Config.Version - Back;
    Name = "only-" + std::to_string(R.RouteVersion);
    break;
  }
  case 5:
    R.Customer = "small";
    R.Key = "small-key";
    Plan.Pause = millis(5);
    break;
  default:
    break;
  }
  if (Name.compare(0, 6, "stream") == 0) {
    R.Kind = RouteKind::Stream;
    R.Service = serviceId(EngineService);
  }
  R.Repeatable = R.Kind == RouteKind::Idempotent || Name == "stream";
  Plan.Path = "/" + Name + "/x";
  return Plan;
}

CallerHost SoakEnvironment::chooseHost() {
  std::vector<uint32_t> Open;
  Time Now = ProcessClock::now();
  for (uint32_t I = 0; I < HostCount; ++I) {
    const HostProcess &P = this->HostProcesses[I];
    bool Leaving = P.EndRequested && Now - P.StopRequestedAt > BalancerLag;
    if (P.Pid > 0 && !Leaving) {
      Open.push_back(I);
    }
  }
  CallerHost Chosen;
  if (!Open.empty()) {
    Chosen.Host = Open[this->Random() % Open.size()];
    Chosen.ProcessNumber = this->HostProcesses[Chosen.Host].StartCount;
    Chosen.At =
        this->addressAt(static_cast<uint16_t>(CallerPortOffset + Chosen.Host));
  }
  return Chosen;
}

void SoakEnvironment::startCallers() {
  for (uint32_t I = 0; I < this->Init.Callers; ++I) {
    this->Callers.push_back(std::make_unique<SoakCaller>(
        this->Base, this->Headers, this->Judge,
        [this] { return this->planRequest(); },
        [this] { return this->chooseHost(); }));
  }
}

void SoakEnvironment::finishCallers() {
  for (const std::unique_ptr<SoakCaller> &C : this->Callers) {
    C->stopAfterCurrent();
  }
}

bool SoakEnvironment::callersBusy() const {
  return std::any_of(
      this->Callers.begin(), this->Callers.end(),
      [](const std::unique_ptr<SoakCaller> &C) { return C->busy(); });
}

void SoakEnvironment::onHostExit(uint32_t Host, int Status) {
  HostProcess &P = this->HostProcesses[Host];
  Time Now = ProcessClock::now();
  bool Clean = WIFEXITED(Status) && WEXITSTATUS(Status) == 0;
  if (!P.EndRequested || (!Clean && !WIFSIGNALED(Status))) {
    ++this->UnexpectedExits;
  }
  P.Pid = 0;
  P.ExitedAt = Now;
  this->Judge.recordHostFault(Host, Now, P.EndRequested && Clean);
}

void SoakEnvironment::tick() {
  Time Now = ProcessClock::now();
  const platform::StoreFaults &F = this->Store.Faults;
  if (F.Unavailable || F.HistoryGone || F.ReplyDelay.count() > 0 ||
      F.LostReplyRatio > 0) {
    this->Judge.recordStoreFault(Now);
  }
  for (uint32_t I = 0; I < HostCount; ++I) {
    HostProcess &P = this->HostProcesses[I];
    int Status = 0;
    if (P.Pid > 0 && waitpid(P.Pid, &Status, WNOHANG) == P.Pid) {
      this->onHostExit(I, Status);
    }
    if (P.Frozen || P.Link != LinkMode::Pass) {
      this->Judge.recordHostFault(I, Now, false);
    }
    if (P.Pid == 0 && !this->RestartsDisabled &&
        Now - P.ExitedAt > RestartDelay) {
      this->startHost(I);
    }
  }
  for (const TargetSlot &P : this->TargetSlots) {
    if (P.Link != LinkMode::Pass) {
      this->Judge.recordTargetFault(P.Entry.Instance, Now);
    }
  }
}

} // namespace shallotlatch::soak
