/// \file
/// A small deployment on loopback addresses: the store, servers and machines
/// that run the system.
#pragma once

#include "gateway.h"
#include "record.h"
#include "server.h"
#include "store.h"

#include <memory>
#include <string>
#include <vector>

namespace review {

/// Exit statuses of a case.
enum class Verdict : uint8_t { Held = 0, Broken = 1, CouldNotRun = 2 };

/// Sizes of a deployment.
struct WorldInit {
  uint32_t Gateways = 2;
  size_t PageSize = 500;
};

class World {
public:
  /// \p Folder: folder of the case, which gets the record.
  World(const std::string &Folder, const WorldInit &Init);
  ~World();
  World(const World &) = delete;
  World &operator=(const World &) = delete;

  /// Whether the store listens and all addresses are free.
  bool usable() const { return this->Registry && this->Registry->listening(); }
  /// Starts all machines and waits until they are ready.
  bool startGateways();
  /// Writes the configuration, as the operator.
  void configure(const nlohmann::json &Config);
  /// Adds a server; `start` is left to the caller.
  Server &addServer(ServerInit Init, Work Run);
  /// Returns an address for a server.
  Endpoint nextServerAddress();

  Record &log() { return this->Log; }
  Store &store() { return *this->Registry; }
  Gateway &gateway(size_t I) { return *this->Gateways[I]; }
  size_t gateways() const { return this->Gateways.size(); }
  std::vector<std::unique_ptr<Server>> &servers() { return this->Servers; }
  /// Whether the disruption of the case takes place.
  static bool hasTrouble();
  /// Writes the verdict to the record; returns the exit status.
  int end(Verdict V, const std::string &Why);

private:
  Record Log;
  std::string Network; ///< First three parts of the addresses.
  std::string Scratch; ///< Folder for settings and output.
  std::unique_ptr<Store> Registry;
  std::vector<std::unique_ptr<Server>> Servers;
  std::vector<std::unique_ptr<Gateway>> Gateways;
  uint32_t NextServer = 0;
};

/// Returns the limits of a configuration, as the platform's pages show them.
nlohmann::json callerLimits();
/// Returns a service of a configuration.
nlohmann::json engineService(const std::string &Name, uint32_t Slots);
nlohmann::json plainService(const std::string &Name);

} // namespace review
