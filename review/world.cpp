#include "world.h"

#include <cstdlib>
#include <filesystem>
#include <random>
#include <unistd.h>

namespace review {

using nlohmann::json;

// Time that the store takes for an answer.
static constexpr Millis StoreAnswerTime(4);
static constexpr uint16_t StorePort = 8225;
static constexpr uint16_t CallerPort = 8221;
static constexpr uint16_t ReadyPort = 8224;
static constexpr uint16_t PeerPort = 7600;
static constexpr uint16_t MetricsPort = 9464;
static constexpr uint16_t ServerPort = 8126;
static constexpr uint32_t FirstGatewayByte = 10;
static constexpr uint32_t FirstServerByte = 30;
static constexpr uint32_t ServersPerPort = 200;

static bool isFree(const Endpoint &At) {
  int Fd = listenOn(At);
  if (Fd >= 0) {
    close(Fd);
  }
  return Fd >= 0;
}

World::World(const std::string &Folder, const WorldInit &Init) : Log(Folder) {
  std::random_device Seed;
  char Pattern[] = "/tmp/review-XXXXXX";
  this->Scratch = mkdtemp(Pattern);
  std::string Root = std::filesystem::current_path().string();
  for (int Try = 0; Try < 20 && !this->Registry; ++Try) {
    this->Network = "127." + std::to_string(20 + Seed() % 200) + "." +
                    std::to_string(Seed() % 250) + ".";
    bool Free = isFree({this->Network + "1", StorePort});
    for (uint32_t I = 0; I < Init.Gateways; ++I) {
      std::string Ip = this->Network + std::to_string(FirstGatewayByte + I);
      for (uint16_t Port : {CallerPort, ReadyPort, PeerPort, MetricsPort}) {
        Free = Free && isFree({Ip, Port});
      }
    }
    if (Free) {
      this->Registry =
          std::make_unique<Store>(Endpoint{this->Network + "1", StorePort},
                                  Init.PageSize, StoreAnswerTime);
    }
  }
  for (uint32_t I = 0; I < Init.Gateways; ++I) {
    std::string Ip = this->Network + std::to_string(FirstGatewayByte + I);
    std::string Zone(1, static_cast<char>('a' + I % 3));
    std::map<std::string, std::string> Fields = {
        {"node-name", "frontend-" + Zone + "-" + std::to_string(1 + I / 3)},
        {"availability-zone", "zone-" + Zone},
        {"region", "region-" + Zone},
        {"ip-address", Ip},
        {"listen-addresses.frontend", Ip + ":" + std::to_string(CallerPort)},
        {"listen-addresses.ready", Ip + ":" + std::to_string(ReadyPort)},
        {"internal-port-range.0", std::to_string(PeerPort)},
        {"platform.address", this->Network + "1:" + std::to_string(StorePort)},
        {"bounds.revocation-ms", "5000"},
        {"heartbeat-interval-ms", "1200"},
        {"bounds.grace-period-s", "8"},
        {"bounds.retry-budget-ratio", "0.2"},
        {"bounds.retry-budget-extra", "52"},
        {"bounds.budget-window-s", "10"},
        {"bounds.quota-window-s", "8"},
        {"bounds.quota-overage", "0.1"},
        {"bounds.quota-tolerance", "140000"},
        {"limits.cpu-fraction", "0.25"},
        {"limits.memory-mb", "260"},
        {"limits.file-descriptors", "4100"},
    };
    this->Gateways.push_back(
        std::make_unique<Gateway>(Root, this->Scratch, Fields, this->Log));
  }
}

World::~World() {
  this->Gateways.clear();
  this->Servers.clear();
  this->Registry.reset();
  if (getenv("KEEP") == nullptr) {
    std::error_code Ignored;
    std::filesystem::remove_all(this->Scratch, Ignored);
  }
}

bool World::startGateways() {
  for (std::unique_ptr<Gateway> &G : this->Gateways) {
    if (!G->start()) {
      return false;
    }
  }
  for (std::unique_ptr<Gateway> &G : this->Gateways) {
    if (!G->waitReady(Millis(15000))) {
      return false;
    }
  }
  return true;
}

void World::configure(const json &Config) {
  this->Registry->put("config", "main", Config);
  this->Log.add("configuration " + Config["version"].dump() +
                " is acknowledged");
}

Endpoint World::nextServerAddress() {
  uint32_t I = this->NextServer++;
  return {this->Network + std::to_string(FirstServerByte + I % ServersPerPort),
          static_cast<uint16_t>(ServerPort + I / ServersPerPort)};
}

Server &World::addServer(ServerInit Init, Work Run) {
  this->Servers.push_back(std::make_unique<Server>(
      std::move(Init), *this->Registry, this->Log, std::move(Run)));
  return *this->Servers.back();
}

bool World::hasTrouble() {
  const char *Value = getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

int World::end(Verdict V, const std::string &Why) {
  static const char *const Words[] = {"the rule held", "the rule was broken",
                                      "the case could not run"};
  this->Log.add(std::string(Words[static_cast<int>(V)]) + ": " + Why, true);
  if (getenv("KEEP") != nullptr) {
    this->Log.add("output of the machines: " + this->Scratch, true);
  }
  return static_cast<int>(V);
}

json callerLimits() {
  return {{"max-header-bytes", 16384},
          {"max-body-bytes", 4194304},
          {"header-timeout-ms", 3000},
          {"idle-timeout-ms", 15000}};
}

json engineService(const std::string &Name, uint32_t Slots) {
  return {{"name", Name},
          {"health-check-path", "/health"},
          {"connection-limit", 360},
          {"protocol", "h1"},
          {"tls-enabled", false},
          {"inference-engine",
           {{"concurrency-slots", Slots},
            {"kv-capacity-tokens", 577668},
            {"models", json::array({{{"name", "m"}}})}}}};
}

json plainService(const std::string &Name) {
  return {{"name", Name},
          {"health-check-path", "/health"},
          {"connection-limit", 96},
          {"protocol", "h1"},
          {"tls-enabled", false}};
}

} // namespace review
