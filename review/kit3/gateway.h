/// \file
/// Processes of the system, and the configuration that they serve.
#pragma once

#include "record.h"
#include "store.h"

#include <sys/types.h>

namespace review3 {

struct GatewayInit {
  std::string Name;
  std::string Zone;
  uint16_t StorePort = 0;
};

/// One process on a machine of its own. Ends with the object.
class Gateway {
public:
  Gateway(Record &Log, const std::string &Program, const std::string &Folder,
          const GatewayInit &Init);
  ~Gateway();
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;

  void start();
  /// Sends a signal to the process.
  void signal(int Number) const;
  /// Ends the process at once.
  void kill();
  bool running();
  /// Returns the memory that the process holds.
  int64_t memoryMb() const;
  /// Asks whether the machine is ready, as the platform does.
  bool ready() const;
  uint16_t port() const { return this->CallerPort; }
  const std::string &name() const { return this->Init.Name; }

private:
  Record &Log;
  std::string Program;
  std::string Folder;
  GatewayInit Init;
  uint16_t CallerPort;
  uint16_t ReadyPort;
  uint16_t PeerPort;
  uint16_t MetricsPort;
  pid_t Pid = 0;
};

struct RouteInit {
  std::string Name;
  std::string Kind; ///< idempotent, non_idempotent or streaming.
  std::string Service;
  int64_t TimeoutMs = 5000;
  int64_t TargetLatencyMs = 500;
  uint32_t MaxAttempts = 1;
  bool Resumable = false;
};

/// Returns a configuration whose routes are at /NAME/ of front.example, with
/// one tenant, which has TenantKey and \p MoreKeys. Services with streaming
/// routes are engines.
nlohmann::json makeConfig(uint64_t Version,
                          const std::vector<RouteInit> &Routes,
                          const std::vector<std::string> &MoreKeys = {});
extern const char *const TenantKey;

/// Waits until all gateways are ready; false if one is not in time.
bool awaitReady(const std::vector<Gateway *> &Gateways, int64_t LimitMs);

/// A case's folder for temporary files, which is removed at the end.
class ScratchFolder {
public:
  ScratchFolder();
  ~ScratchFolder();
  ScratchFolder(const ScratchFolder &) = delete;
  ScratchFolder &operator=(const ScratchFolder &) = delete;
  const std::string &path() const { return this->Path; }

private:
  std::string Path;
};

/// Whether the disruption is wanted (TROUBLE is not 0).
bool withTrouble();

} // namespace review3
