/// \file
/// A process of the gateway on loopback, and free ports for its listeners.
#pragma once

#include "shallotlatch/settings.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace shallotlatch::soak {

/// Returns \p Count different ports of 127.0.0.1 that are free now. They are
/// below those that the kernel gives to outgoing connections, which could take
/// one while nothing listens there.
std::vector<Address> freeAddresses(size_t Count);

/// Starts a gateway and signals it. The process does not outlive this object.
class GatewayProcess {
public:
  GatewayProcess() = default;
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess &) = delete;
  GatewayProcess &operator=(const GatewayProcess &) = delete;

  /// Starts \p Program with \p Settings. Its settings file and its log are
  /// written into \p Folder, named after the host. Throws std::runtime_error if
  /// there is no new process.
  void start(const std::string &Program, const std::string &Folder,
             const nlohmann::json &Settings);
  /// Sends a signal; does nothing if no process runs.
  void signal(int Number) const;
  /// Kills the process at once and waits for its end.
  void kill();

private:
  int Pid = 0; ///< 0: none was started, or it was killed.
};

} // namespace shallotlatch::soak
