/// \file
/// Gateway of one host, as a class for programs that embed it. It forwards
/// callers' requests unchanged to the targets that a platform announces.
#pragma once

#include "shallotlatch/settings.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

struct event_base;

namespace shallotlatch {

class DirectoryStore;
struct RelayHeaders;

/// Settings of the gateway on one host, read from its JSON file.
struct GatewaySettings {
  std::string Host;   ///< Name of this host.
  std::string Domain; ///< Failure domain of this host.
  std::string Region;
  Address Caller;           ///< Listener for callers.
  Address Ready;            ///< Listener for readiness probes.
  Address Peer;             ///< Socket for datagrams between hosts.
  Address Store;            ///< Metadata store of the platform.
  uint32_t MetricsPort = 0; ///< Port of the metrics listener; 0: no metrics.
  /// A caller's key is refused once its last confirmation by the store may be
  /// this old.
  Duration RevocationLimit = seconds(5);
  /// Interval at which a target renews its entry in the store, which removes
  /// the entry after three of them without a sign of life.
  Duration TargetHeartbeat = millis(1200);
  /// Time from the request to stop until the platform kills the process.
  Duration StopGrace = seconds(8);
  /// Time after a target said that it leaves within which callers may still
  /// send requests that reach it.
  Duration DrainTimeout = millis(2500);
  double RetryRatio = 0.2; ///< Number of repeats allowed per request.
  /// Number of further repeats that the whole fleet may make in one window.
  double RetryExtra = 10;
  Duration RetryWindow = seconds(10);
  Duration QuotaWindow = seconds(10);
  double QuotaOverage = 0;   ///< Tolerated excess as a share of a quota.
  double QuotaTolerance = 0; ///< Tolerated excess as an amount.
  /// Largest part of a service's requests that a bad version gets while it is
  /// rolled out, requests beyond that over the whole fleet, and time after its
  /// 50th bad answer from which it gets none. The platform names them where it
  /// has roll-outs.
  double ExposureShare = 0.1;
  double ExposureTolerance = 50;
  Duration RollbackTimeout = seconds(5);
  /// Names of the features that this deployment has agreed on. Unknown names
  /// are ignored, since a list may name more than this program has.
  std::set<std::string> Features;
  double Cores = 1;        ///< Processor time that this host may use, in cores.
  uint32_t MemoryMb = 256; ///< Memory limit in MiB.
  uint32_t Descriptors = 1024; ///< Limit of open file descriptors.
};

/// Feature: many hosts share each target. They predict waiting times to decide
/// what is refused, and learn the speed of each target.
constexpr const char *SharedTargetsFeature = "pool";

/// Feature: versions of a service's software are rolled out by orders.
constexpr const char *RolloutFeature = "rollout";

/// Parses and validates the settings. Throws ConfigError with all mistakes if
/// any value is invalid.
GatewaySettings parseGatewaySettings(const std::string &Json);

/// Reads a settings file by \p Read until it is whole. \p Wait is called
/// between two reads. Throws ConfigError like `parseGatewaySettings`, for text
/// that is no JSON object only once the time for writing it has passed.
GatewaySettings loadGatewaySettings(const std::function<std::string()> &Read,
                                    const std::function<void(Duration)> &Wait);

/// Creates the backend that communicates with the platform's store.
using DirectoryStoreFactory =
    std::function<std::unique_ptr<DirectoryStore>(event_base *)>;

/// Runs the gateway on one host. The class is single-threaded: all work is done
/// inside `run`.
class Gateway {
public:
  /// Binds the listeners. Throws std::runtime_error if one cannot be bound.
  Gateway(const GatewaySettings &Host, const std::string &SettingsPath,
          const RelayHeaders &Headers, const DirectoryStoreFactory &MakeStore);
  ~Gateway();
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;

  /// Serves until a graceful stop is complete. SIGTERM and SIGINT request a
  /// graceful stop.
  void run();

private:
  struct Parts;
  std::unique_ptr<Parts> Impl;
};

} // namespace shallotlatch
