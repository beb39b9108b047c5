/// \file
/// Configuration of requests that are passed on unchanged: routes, services and
/// customers. A configuration is immutable once it is built.
#pragma once

#include "front_task_p.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace shallotlatch {

using ServiceId = Id<struct ServiceTag, uint32_t>;
using RouteId = Id<struct RouteTag, uint32_t>;

/// Whether a route's requests may be repeated, and what its answers look like.
enum class RouteKind : uint8_t {
  Idempotent,    ///< A request may run more than once.
  NonIdempotent, ///< A request of a caller runs at most once.
  Stream,        ///< The answer is a stream of events; the request runs at most
                 ///< once unless the stream may be resumed.
};

/// One service's share of a route's traffic.
struct RouteShare {
  ServiceId Service;
  double Weight = 1; ///< Share in proportion to the sum of all weights.
};

/// A route from a host name and a path prefix to the services that serve it.
struct Route {
  RouteId Id;
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  RouteKind Kind = RouteKind::NonIdempotent;
  std::vector<RouteShare> Shares;
  Duration Timeout = seconds(30);
  /// Time objective to the answer or to the first event.
  Duration Objective = seconds(1);
  /// Objective for the longest pause between two events.
  Duration PauseObjective{0};
  uint32_t Rank = 0;        ///< Priority; 0 is the most urgent.
  uint32_t MaxAttempts = 1; ///< Number of targets that may get one request.
  bool Anonymous = false;   ///< Requests need no customer key.
  bool Resumable = false;   ///< A stream may be resumed at another target.

  /// Whether a request may be sent again although it may already have run.
  bool repeatable() const {
    return this->Kind == RouteKind::Idempotent ||
           (this->Kind == RouteKind::Stream && this->Resumable);
  }
};

/// One service, which a set of targets provides.
struct ServiceSpec {
  ServiceId Id;
  std::string Name;
  uint32_t ConnectionLimit = 64; ///< Connections to one target, from all hosts.
  bool Engine = false;           ///< The targets are language model engines.
  uint32_t EngineSlots = 0;      ///< Requests in one batch of an engine.
};

/// A customer of the gateway with its quota over the whole fleet.
struct GatewayCustomer {
  CustomerId Id;
  std::string Name;
  std::optional<uint32_t> Rank; ///< Priority, if one is configured.
  bool CountsTokens = false;    ///< The quota counts tokens, not requests.
  /// Tokens counted for a request that does not state its number of tokens.
  double DefaultTokens = 0;
  double RatePerSecond = 0; ///< Requests or tokens per second; 0 is no limit.
  double Burst = 0; ///< Capacity of the token bucket, in requests or tokens.
};

/// One accepted version of the configuration.
struct RoutingConfig {
  uint64_t Version = 0;
  std::vector<Route> Routes;
  std::unordered_map<ServiceId, ServiceSpec> Services;
  std::unordered_map<CustomerId, GatewayCustomer> Customers;
  std::unordered_map<std::string, CustomerId> CustomerByKey;
  bool RequiresKeys = false; ///< Requests need a customer key.
  CallerLimits Limits;

  /// Returns the route of \p Host with the longest prefix of \p Path, or
  /// nullptr.
  const Route *match(std::string_view Host, std::string_view Path) const;
  /// Returns the customer, or nullptr if it is not configured.
  const GatewayCustomer *customer(CustomerId Id) const;
  /// Returns the service, or nullptr if it is not configured.
  const ServiceSpec *service(ServiceId Id) const;
  /// Builds the index that `match` uses. Must be called once after the fields
  /// are filled.
  void buildIndex();

private:
  /// Indices of the routes of one host by path prefix.
  using Prefixes = std::unordered_map<std::string, uint32_t>;
  std::unordered_map<std::string, Prefixes> ByHost;
};

/// A target as it registered itself.
struct TargetEntry {
  std::string Instance; ///< Name of one process run of the target.
  ServiceId Service;
  Address At;              ///< Address that serves requests.
  std::string Domain;      ///< Failure domain.
  uint32_t Slots = 1;      ///< Number of requests that may run at once.
  bool Leaving = false;    ///< The target is draining and takes no new request.
  int64_t StartedAtMs = 0; ///< Wall time of its start in ms, by its own clock.
  uint64_t Sequence = 0;   ///< Rises with what the run writes to its entry.
  std::string Software;    ///< Version of its software; empty if not named.

  /// Hash that differs between two process runs with the same instance name.
  uint64_t identity() const {
    return hashPair(hash64(this->Instance),
                    static_cast<uint64_t>(this->StartedAtMs));
  }
  /// The identity as it goes over the wire between hosts.
  uint32_t shortIdentity() const {
    return static_cast<uint32_t>(this->identity());
  }
};

/// Hash of a version of targets' software; never invalid.
using SoftwareId = Id<struct SoftwareTag, uint32_t>;
SoftwareId softwareId(std::string_view Software);

/// A host of the fleet as it registered itself.
struct FleetHost {
  std::string Name;
  Address At;         ///< Address that receives datagrams of other hosts.
  std::string Domain; ///< Failure domain.
  uint64_t Run = 0;   ///< Identifies the run of the host's process.
  double Cores = 1;   ///< Share of the processor that it may use, in cores.
  /// Era of the store that the host saw settle; 0 if it saw none.
  uint64_t SettledEra = 0;
  /// The host writes the versions that it sees into the store's record.
  bool KeepsRecords = false;
  /// The host begins streams only at versions that it may use unannounced, or
  /// has announced in the store.
  bool AnnouncesVersions = false;
};

/// Returns the id of a service, a hash of its name.
ServiceId serviceId(std::string_view Name);

} // namespace shallotlatch
