/// \file
/// One host's gateway: passes callers' requests on unchanged to the targets
/// that a platform announces. For programs that embed it.
#pragma once

#include "shallotlatch/settings.h"

#include <functional>
#include <memory>
#include <string>

struct event_base;

namespace shallotlatch {

class DirectoryStore;
struct RelayHeaders;

/// Settings of one host's gateway, from its JSON file.
struct GatewaySettings {
  std::string Host;
  std::string Domain;
  std::string Region;
  Address Caller;
  Address Ready;
  Address Peer;             ///< Datagrams between hosts.
  Address Store;            ///< The platform's metadata store.
  uint32_t MetricsPort = 0; ///< Zero: no metrics.
  /// Refuse a key once its confirmation may be this old.
  Duration RevocationLimit = seconds(5);
  /// From the request to stop until the process is killed.
  Duration StopGrace = seconds(8);
  double RetryRatio = 0.2;
  double RetryExtra = 10;
  Duration RetryWindow = seconds(10);
  Duration QuotaWindow = seconds(10);
  double QuotaOverage = 0;   ///< Tolerated share beyond a quota.
  double QuotaTolerance = 0; ///< Tolerated amount beyond a quota.
  double Cores = 1;          ///< Processor share that this host may use.
  uint32_t MemoryMb = 256;
  uint32_t Descriptors = 1024;
};

/// Parses and validates; throws ConfigError with all mistakes.
GatewaySettings parseGatewaySettings(const std::string &Json);

/// Makes the backend that speaks with the platform's store.
using DirectoryStoreFactory =
    std::function<std::unique_ptr<DirectoryStore>(event_base *)>;

/// Single-threaded: everything happens inside `run`.
class Gateway {
public:
  /// Binds the listeners; throws std::runtime_error when it cannot.
  Gateway(const GatewaySettings &Host, const std::string &SettingsPath,
          const RelayHeaders &Headers, const DirectoryStoreFactory &MakeStore);
  ~Gateway();
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;

  /// Serves until a graceful stop has ended; SIGTERM and SIGINT request one.
  void run();

private:
  struct Parts;
  std::unique_ptr<Parts> Impl;
};

} // namespace shallotlatch
