#include "gateway.h"

#include "caller.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review3 {

using nlohmann::json;

const char *const TenantKey = "i9n73hh2b9wu3fexd9dn";

// Bounds of the small deployments (SYSTEM.md, DEPLOY.md).
static json settingsOf(const GatewayInit &Init, uint16_t Caller, uint16_t Ready,
                       uint16_t Peer, uint16_t Metrics) {
  auto At = [](uint16_t Port) { return "127.0.0.1:" + std::to_string(Port); };
  return json{{"host", Init.Name},
              {"failureDomain", Init.Zone},
              {"region", Init.Zone + "-region"},
              {"caller", At(Caller)},
              {"ready", At(Ready)},
              {"peer", At(Peer)},
              {"store", At(Init.StorePort)},
              {"metricsPort", Metrics},
              {"revocationMs", 5000},
              {"targetHeartbeatMs", 1200},
              {"stopGraceSeconds", 8},
              {"drainTimeoutMs", "2500"},
              {"retryRatio", 0.2},
              {"retryExtra", 52},
              {"retryWindowSeconds", 10},
              {"quotaWindowSeconds", 8},
              {"quotaOverage", 0.1},
              {"quotaTolerance", 140000},
              {"exposureShare", ""},
              {"exposureTolerance", ""},
              {"rollbackTimeoutMs", ""},
              {"features", "base,drain,config,cost,retry,recover,engine,stream,"
                           "tenants,quota,platform"},
              {"cores", 0.25},
              {"memoryMb", 260},
              {"descriptors", 4100}};
}

Gateway::Gateway(Record &Log, const std::string &Program,
                 const std::string &Folder, const GatewayInit &Init)
    : Log(Log), Program(Program), Folder(Folder), Init(Init),
      CallerPort(freePort()), ReadyPort(freePort()), PeerPort(freePort()),
      MetricsPort(freePort()) {}

Gateway::~Gateway() { this->kill(); }

void Gateway::start() {
  std::string File = this->Folder + "/" + this->Init.Name + ".json";
  std::string Output = this->Folder + "/" + this->Init.Name + ".log";
  std::ofstream(File) << settingsOf(this->Init, this->CallerPort,
                                    this->ReadyPort, this->PeerPort,
                                    this->MetricsPort)
                             .dump(1);
  this->Log.line("gateway " + this->Init.Name + " starts");
  this->Pid = fork();
  if (this->Pid == 0) {
    int Out = open(Output.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
    dup2(Out, 1);
    dup2(Out, 2);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("SHALLOTLATCH_SETTINGS", File.c_str(), 1);
    execl(this->Program.c_str(), this->Program.c_str(),
          static_cast<char *>(nullptr));
    _exit(127);
  }
}

void Gateway::signal(int Number) const {
  if (this->Pid > 0) {
    ::kill(this->Pid, Number);
  }
}

void Gateway::kill() {
  if (this->Pid > 0) {
    this->Log.line("gateway " + this->Init.Name + " is killed");
    this->signal(SIGKILL);
    waitpid(this->Pid, nullptr, 0);
    this->Pid = 0;
  }
}

bool Gateway::running() {
  int Status = 0;
  if (this->Pid > 0 && waitpid(this->Pid, &Status, WNOHANG) == this->Pid) {
    this->Log.line("gateway " + this->Init.Name + " ended, status " +
                   std::to_string(Status));
    this->Pid = 0;
  }
  return this->Pid > 0;
}

int64_t Gateway::memoryMb() const {
  std::ifstream In("/proc/" + std::to_string(this->Pid) + "/status");
  static const std::string Field = "VmRSS:";
  for (std::string Line; std::getline(In, Line);) {
    if (Line.compare(0, Field.size(), Field) == 0) {
      return strtoll(Line.c_str() + Field.size(), nullptr, 10) / 1024;
    }
  }
  return 0;
}

bool Gateway::ready() const {
  Attempt A;
  A.Method = "GET";
  A.Path = "/readiness";
  A.DeadlineMs = 500;
  return send(this->ReadyPort, A).Status == 200;
}

json makeConfig(uint64_t Version, const std::vector<RouteInit> &Routes,
                const std::vector<std::string> &MoreKeys) {
  json Keys{TenantKey};
  for (const std::string &Key : MoreKeys) {
    Keys.push_back(Key);
  }
  json RouteList = json::array();
  json Services = json::object();
  for (const RouteInit &R : Routes) {
    bool Stream = R.Kind == "streaming";
    RouteList.push_back({{"name", R.Name},
                         {"host", "front.example"},
                         {"path-prefix", "/" + R.Name + "/"},
                         {"route-kind", R.Kind},
                         {"timeout-ms", R.TimeoutMs},
                         {"target-latency-ms", R.TargetLatencyMs},
                         {"gap-target-ms", 500},
                         {"priority", 1},
                         {"service", R.Service},
                         {"max-attempts", R.MaxAttempts},
                         {"anonymous-access", false},
                         {"session-affinity", Stream},
                         {"stream-resumption", R.Resumable}});
    json Service{{"name", R.Service},
                 {"health-check-path", "/health"},
                 {"connection-limit", 360},
                 {"protocol", "h1"},
                 {"tls-enabled", false}};
    if (Stream) {
      Service["inference-engine"] = {{"concurrency-slots", 8},
                                     {"kv-capacity-tokens", 577668}};
    }
    Services[R.Service] = Service;
  }
  json ServiceList = json::array();
  for (const auto &Item : Services.items()) {
    ServiceList.push_back(Item.value());
  }
  return json{{"version", Version},
              {"routes", RouteList},
              {"services", ServiceList},
              {"limits",
               {{"max-header-bytes", 16384},
                {"max-body-bytes", 4194304},
                {"header-timeout-ms", 3000},
                {"idle-timeout-ms", 15000}}},
              {"tenants",
               {{{"name", "hule930"},
                 {"api-keys", Keys},
                 {"priority", 1},
                 {"unit", "token_count"},
                 {"uncached-tokens", 200},
                 {"rate-per-s", 0},
                 {"burst-size", 0}}}}};
}

bool awaitReady(const std::vector<Gateway *> &Gateways, int64_t LimitMs) {
  int64_t Until = nowMs() + LimitMs;
  for (Gateway *G : Gateways) {
    while (!G->ready()) {
      if (nowMs() > Until) {
        return false;
      }
      sleepMs(100);
    }
  }
  return true;
}

ScratchFolder::ScratchFolder() {
  std::string Name =
      (std::filesystem::temp_directory_path() / "review3-XXXXXX").string();
  this->Path = mkdtemp(Name.data());
}

ScratchFolder::~ScratchFolder() {
  std::error_code Ignored;
  std::filesystem::remove_all(this->Path, Ignored);
}

bool withTrouble() {
  const char *Value = getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

} // namespace review3
