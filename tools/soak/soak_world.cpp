#include "soak_world.h"

#include "encode_objects.h"
#include "platform_objects.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace shallotlatch::soak {

using nlohmann::json;

// Offsets of ports from the first one.
static constexpr uint16_t CallerPort = 0;
static constexpr uint16_t ReadyPort = 10;
static constexpr uint16_t PeerPort = 20;
static constexpr uint16_t StoreProxyPort = 30;
static constexpr uint16_t StorePort = 40;
static constexpr uint16_t TargetPort = 50;
static constexpr uint16_t TargetPorts = 140;
// A host that ended is started again after this.
static constexpr Duration RestartAfter = millis(300);
// A host that was told to stop gets no new connections from the balancer after
// two missed questions, a second apart.
static constexpr Duration BalancerLag = seconds(2);
static constexpr uint32_t EngineTargets = 4;
static constexpr uint32_t FirstKeys = 8;
static constexpr double SmallRate = 20;
static constexpr double SmallBurst = 10;
static constexpr double QuotaTolerance = 20;
// Descriptors that a new process may have inherited.
static constexpr int MaxInherited = 1024;
static const std::string Engine = "engine";
static const std::string Plain = "plain";

static Bounds soakBounds() {
  Bounds B;
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

World::World(event_base *Base, const WorldInit &Init)
    : Base(Base), Init(Init), Random(Init.Seed), Told(soakBounds()),
      Headers(platform::platformHeaders()),
      Store(Base, this->at(StorePort), Init.Seed), Fleet(Hosts),
      Places(TargetsAtOnce) {
  for (const std::string &Name : {Engine, Plain}) {
    ServiceSpec S;
    S.Name = Name;
    S.Id = serviceId(Name);
    S.Engine = Name == Engine;
    S.EngineSlots = 4;
    this->Config.Services[S.Id] = S;
  }
  GatewayCustomer Large;
  Large.Name = "large";
  Large.Id = customerId(Large.Name);
  GatewayCustomer Small;
  Small.Name = "small";
  Small.Id = customerId(Small.Name);
  Small.RatePerSecond = SmallRate;
  Small.Burst = SmallBurst;
  this->Config.Customers[Large.Id] = Large;
  this->Config.Customers[Small.Id] = Small;
  this->Config.CustomerByKey["small-key"] = Small.Id;
  this->Config.RequiresKeys = true;
  this->Told.quota(Small.Name, SmallRate, SmallBurst);
  for (uint32_t I = 0; I < FirstKeys; ++I) {
    this->Keys.push_back("key-" + std::to_string(I));
    this->Config.CustomerByKey[this->Keys.back()] = Large.Id;
  }
  this->writeConfig();
  for (uint32_t I = 0; I < TargetsAtOnce; ++I) {
    this->startTarget(I);
  }
  for (uint32_t I = 0; I < Hosts; ++I) {
    this->Fleet[I].StoreProxy = std::make_unique<SoakProxy>(
        Base, this->at(static_cast<uint16_t>(StoreProxyPort + I)),
        this->at(StorePort));
    this->startHost(I);
  }
}

// Ends only the processes that this soak has started.
World::~World() {
  this->Callers.clear();
  for (Process &P : this->Fleet) {
    if (P.Pid > 0) {
      kill(P.Pid, SIGKILL);
      waitpid(P.Pid, nullptr, 0);
    }
  }
}

Address World::at(uint16_t Offset) const {
  return Address{"127.0.0.1",
                 static_cast<uint16_t>(this->Init.FirstPort + Offset)};
}

void World::writeConfig() {
  ++this->Config.Version;
  this->Config.Routes.clear();
  Route Stream = route("stream", RouteKind::Stream, Engine);
  Stream.Resumable = true;
  Route Once = route("stream-once", RouteKind::Stream, Engine);
  Once.MaxAttempts = 1;
  Once.Rank = 1;
  this->Config.Routes = {Stream, Once,
                         route("get", RouteKind::Idempotent, Plain),
                         route("post", RouteKind::NonIdempotent, Plain),
                         route("only-" + std::to_string(this->Config.Version),
                               RouteKind::Idempotent, Plain)};
  this->Store.put(DirectoryKind::Config, "main",
                  platform::encodeConfig(this->Config));
  this->Told.versionAcknowledged(this->Config.Version, ProcessClock::now());
}

void World::changeConfig(bool RemoveKey) {
  if (RemoveKey && this->Keys.size() > 2) {
    std::string Key = this->Keys.back();
    this->Keys.pop_back();
    this->OldKeys.push_back(Key);
    this->Config.CustomerByKey.erase(Key);
    this->writeConfig();
    this->Told.keyRemoved(Key, ProcessClock::now());
    return;
  }
  this->writeConfig();
}

void World::writeForeignEntry() {
  this->Store.put(DirectoryKind::Targets, "foreign",
                  json{{"service", 7},
                       {"address", "nowhere"},
                       {"sequence-number", this->Random() % 1000}});
}

void World::writeSettings(uint32_t Host) const {
  auto Text = [this, Host](uint16_t Offset) {
    return this->at(static_cast<uint16_t>(Offset + Host)).text();
  };
  json S{{"host", "host-" + std::to_string(Host)},
         {"failureDomain", Host < NorthHosts ? "north" : "south"},
         {"region", "r"},
         {"caller", Text(CallerPort)},
         {"ready", Text(ReadyPort)},
         {"peer", Text(PeerPort)},
         {"store", Text(StoreProxyPort)},
         {"metricsPort", 0},
         {"revocationMs", 5000},
         {"stopGraceSeconds", this->Fleet[Host].Grace},
         {"retryRatio", 0.2},
         {"retryExtra", 10},
         {"retryWindowSeconds", 10},
         {"quotaWindowSeconds", 8},
         {"quotaOverage", 0.1},
         {"quotaTolerance", QuotaTolerance},
         {"cores", Host == 0 ? 0.5 : 0.25},
         {"memoryMb", 260},
         {"descriptors", 1024}};
  std::ofstream(this->Init.Folder + "/host-" + std::to_string(Host) + ".json")
      << S.dump(1);
}

void World::startHost(uint32_t Host) {
  Process &P = this->Fleet[Host];
  if (P.Pid > 0) {
    return;
  }
  this->writeSettings(Host);
  std::string Name = this->Init.Folder + "/host-" + std::to_string(Host);
  std::string Settings = Name + ".json";
  std::string Log = Name + ".log";
  int Pid = fork();
  if (Pid < 0) {
    throw std::runtime_error("cannot start another process");
  }
  if (Pid == 0) {
    int Out = open(Log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
    dup2(Out, 1);
    dup2(Out, 2);
    // Ports and connections of the soak stay with the soak, and no host
    // outlives it.
    for (int Fd = 3; Fd < MaxInherited; ++Fd) {
      close(Fd);
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    execl(this->Init.Program.c_str(), this->Init.Program.c_str(), "--config",
          Settings.c_str(), static_cast<char *>(nullptr));
    _exit(127);
  }
  P.Pid = Pid;
  ++P.Count;
  P.Frozen = false;
  P.Told = false;
  this->Told.hostTrouble(Host, ProcessClock::now(), false);
}

void World::killHost(uint32_t Host) {
  Process &P = this->Fleet[Host];
  if (P.Pid > 0) {
    P.Told = true;
    this->Told.hostTrouble(Host, ProcessClock::now(), false);
    kill(P.Pid, SIGKILL);
  }
}

void World::stopHost(uint32_t Host) {
  Process &P = this->Fleet[Host];
  if (P.Pid > 0 && !P.Told) {
    P.Told = true;
    P.StoppedAt = ProcessClock::now();
    this->Told.hostTrouble(Host, P.StoppedAt, true);
    kill(P.Pid, SIGTERM);
  }
}

void World::freezeHost(uint32_t Host, bool Frozen) {
  Process &P = this->Fleet[Host];
  if (P.Pid > 0) {
    P.Frozen = Frozen;
    this->Told.hostTrouble(Host, ProcessClock::now(), false);
    kill(P.Pid, Frozen ? SIGSTOP : SIGCONT);
  }
}

void World::reloadHost(uint32_t Host, bool Signal) {
  Process &P = this->Fleet[Host];
  P.Grace = P.Grace > 7.5 ? 7 : 8;
  this->writeSettings(Host);
  if (Signal && P.Pid > 0) {
    kill(P.Pid, SIGHUP);
  }
}

void World::storeLink(uint32_t Host, LinkMode Mode) {
  this->Fleet[Host].Link = Mode;
  this->Fleet[Host].StoreProxy->setMode(Mode);
  this->Told.hostTrouble(Host, ProcessClock::now(), false);
}

void World::targetLink(uint32_t Slot, LinkMode Mode) {
  this->Places[Slot].Link = Mode;
  this->Places[Slot].Proxy->setMode(Mode);
  this->Told.targetTrouble(this->Places[Slot].Entry.Instance,
                           ProcessClock::now());
}

void World::startTarget(uint32_t Slot) {
  Place &P = this->Places[Slot];
  uint16_t Port = static_cast<uint16_t>(TargetPort + this->NextTarget);
  this->NextTarget =
      static_cast<uint16_t>((this->NextTarget + 2) % TargetPorts);
  bool IsEngine = Slot < EngineTargets;
  P.ServiceName = IsEngine ? Engine : Plain;
  TargetInit Target;
  Target.Instance = "t-" + std::to_string(this->Random() % 1000000000);
  Target.Service = serviceId(P.ServiceName);
  Target.At = this->at(static_cast<uint16_t>(Port + 1));
  P.Target = std::make_unique<SoakTarget>(this->Base, Target, this->Headers,
                                          this->Told);
  P.Proxy = std::make_unique<SoakProxy>(this->Base, this->at(Port), Target.At);
  P.Entry = TargetEntry();
  P.Entry.Instance = Target.Instance;
  P.Entry.Service = Target.Service;
  P.Entry.At = this->at(Port);
  P.Entry.Domain = Slot % 2 == 0 ? "north" : "south";
  P.Entry.Slots = Target.Slots;
  P.Entry.StartedAtMs = static_cast<int64_t>(this->Random() % 1000000000);
  P.Link = LinkMode::Pass;
  this->Store.put(DirectoryKind::Targets, P.Entry.Instance,
                  platform::encodeTarget(P.Entry, P.ServiceName));
}

void World::crashTarget(uint32_t Slot) {
  Place &P = this->Places[Slot];
  this->Told.targetTrouble(P.Entry.Instance, ProcessClock::now());
  P.Target.reset();
  P.Proxy.reset();
}

void World::removeEntry(uint32_t Slot) {
  this->Store.erase(DirectoryKind::Targets, this->Places[Slot].Entry.Instance);
}

void World::drainTarget(uint32_t Slot) {
  Place &P = this->Places[Slot];
  P.Entry.Leaving = true;
  this->Store.put(DirectoryKind::Targets, P.Entry.Instance,
                  platform::encodeTarget(P.Entry, P.ServiceName));
  this->Told.targetLeaves(P.Entry.Instance, ProcessClock::now());
}

void World::endTarget(uint32_t Slot) {
  this->removeEntry(Slot);
  this->crashTarget(Slot);
}

void World::loseAnswers(uint32_t Slot, double Share) {
  Place &P = this->Places[Slot];
  if (P.Target) {
    this->Told.targetTrouble(P.Entry.Instance, ProcessClock::now());
    P.Target->LoseAnswers = Share;
  }
}

CallerPlan World::plan() {
  CallerPlan Plan;
  Sent &R = Plan.Request;
  R.Id = "r" + std::to_string(this->NextRequest++);
  R.Service = serviceId(Plain);
  R.Customer = "large";
  // Keys that were removed are tried as well.
  std::vector<std::string> Known = this->Keys;
  Known.insert(Known.end(), this->OldKeys.begin(), this->OldKeys.end());
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
    R.OnlyVersion = this->Config.Version - Back;
    Name = "only-" + std::to_string(R.OnlyVersion);
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
    R.Service = serviceId(Engine);
  }
  R.Repeatable = R.Kind == RouteKind::Idempotent || Name == "stream";
  Plan.Path = "/" + Name + "/x";
  return Plan;
}

CallerHost World::choose() {
  std::vector<uint32_t> Open;
  Time Now = ProcessClock::now();
  for (uint32_t I = 0; I < Hosts; ++I) {
    const Process &P = this->Fleet[I];
    bool Leaving = P.Told && Now - P.StoppedAt > BalancerLag;
    if (P.Pid > 0 && !Leaving) {
      Open.push_back(I);
    }
  }
  CallerHost Chosen;
  if (!Open.empty()) {
    Chosen.Host = Open[this->Random() % Open.size()];
    Chosen.Process = this->Fleet[Chosen.Host].Count;
    Chosen.At = this->at(static_cast<uint16_t>(CallerPort + Chosen.Host));
  }
  return Chosen;
}

void World::startCallers() {
  for (uint32_t I = 0; I < this->Init.Callers; ++I) {
    this->Callers.push_back(std::make_unique<SoakCaller>(
        this->Base, this->Headers, this->Told, [this] { return this->plan(); },
        [this] { return this->choose(); }));
  }
}

void World::finishCallers() {
  for (const std::unique_ptr<SoakCaller> &C : this->Callers) {
    C->finish();
  }
}

bool World::callersBusy() const {
  return std::any_of(
      this->Callers.begin(), this->Callers.end(),
      [](const std::unique_ptr<SoakCaller> &C) { return C->busy(); });
}

void World::hostEnded(uint32_t Host, int Status) {
  Process &P = this->Fleet[Host];
  Time Now = ProcessClock::now();
  bool Clean = WIFEXITED(Status) && WEXITSTATUS(Status) == 0;
  if (!P.Told || (!Clean && !WIFSIGNALED(Status))) {
    ++this->OwnEnds;
  }
  P.Pid = 0;
  P.EndedAt = Now;
  this->Told.hostTrouble(Host, Now, P.Told && Clean);
}

void World::tick() {
  Time Now = ProcessClock::now();
  const platform::StoreFaults &F = this->Store.Faults;
  if (F.Out || F.HistoryGone || F.ReplyDelay.count() > 0 || F.LoseAnswers > 0) {
    this->Told.storeTrouble(Now);
  }
  for (uint32_t I = 0; I < Hosts; ++I) {
    Process &P = this->Fleet[I];
    int Status = 0;
    if (P.Pid > 0 && waitpid(P.Pid, &Status, WNOHANG) == P.Pid) {
      this->hostEnded(I, Status);
    }
    if (P.Frozen || P.Link != LinkMode::Pass) {
      this->Told.hostTrouble(I, Now, false);
    }
    if (P.Pid == 0 && !this->Ending && Now - P.EndedAt > RestartAfter) {
      this->startHost(I);
    }
  }
  for (const Place &P : this->Places) {
    if (P.Link != LinkMode::Pass) {
      this->Told.targetTrouble(P.Entry.Instance, Now);
    }
  }
}

} // namespace shallotlatch::soak
