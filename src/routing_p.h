/// \file
/// What the operators configured for requests that are passed on unchanged:
/// routes, services, customers. Immutable once built.
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

/// What may be repeated, and what the answer looks like.
enum class RouteKind : uint8_t {
  Idempotent,    ///< May run more than once.
  NonIdempotent, ///< At most once for each request of a caller.
  Stream,        ///< Events; at most once unless it may be resumed.
};

/// One service's part of a route's traffic.
struct RouteShare {
  ServiceId Service;
  double Weight = 1;
};

struct Route {
  RouteId Id;
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  RouteKind Kind = RouteKind::NonIdempotent;
  std::vector<RouteShare> Shares;
  Duration Timeout = seconds(30);
  Duration Objective = seconds(1); ///< To the answer or the first event.
  Duration PauseObjective{0};      ///< Longest pause between events.
  uint32_t Rank = 0;               ///< 0 is the most urgent.
  uint32_t MaxAttempts = 1;        ///< Targets that one request may reach.
  bool Anonymous = false;          ///< Needs no customer's key.
  bool Resumable = false;          ///< A stream may go on at another target.

  /// Whether a request may run again after it may have run.
  bool repeatable() const {
    return this->Kind == RouteKind::Idempotent ||
           (this->Kind == RouteKind::Stream && this->Resumable);
  }
};

struct ServiceSpec {
  ServiceId Id;
  std::string Name;
  uint32_t ConnectionLimit = 64; ///< Of one target, over all hosts.
  bool Engine = false;           ///< A language model engine.
  uint32_t EngineSlots = 0;      ///< Requests in one batch.
};

/// One customer with its quota over the whole fleet.
struct GatewayCustomer {
  CustomerId Id;
  std::string Name;
  std::optional<uint32_t> Rank;
  bool CountsTokens = false; ///< The quota counts tokens, not requests.
  double DefaultTokens = 0;  ///< Counted where a request names none.
  double RatePerSecond = 0;  ///< Zero: no limit.
  double Burst = 0;
};

/// One accepted configuration.
struct RoutingConfig {
  uint64_t Version = 0;
  std::vector<Route> Routes;
  std::unordered_map<ServiceId, ServiceSpec> Services;
  std::unordered_map<CustomerId, GatewayCustomer> Customers;
  std::unordered_map<std::string, CustomerId> CustomerByKey;
  bool RequiresKeys = false;
  CallerLimits Limits;

  /// Longest path prefix among the routes of \p Host; nullptr: none.
  const Route *match(std::string_view Host, std::string_view Path) const;
  const GatewayCustomer *customer(CustomerId Id) const;
  const ServiceSpec *service(ServiceId Id) const;
  /// Builds the index; call once after the fields are filled.
  void buildIndex();

private:
  /// Routes of one host by path prefix.
  using Prefixes = std::unordered_map<std::string, uint32_t>;
  std::unordered_map<std::string, Prefixes> ByHost;
};

/// A target as it announced itself.
struct TargetEntry {
  std::string Instance; ///< Names one run of the target.
  ServiceId Service;
  Address At;
  std::string Domain;
  uint32_t Slots = 1;
  bool Leaving = false;
  int64_t StartedAtMs = 0; ///< Wall time of its start, by its own clock.

  /// Differs between two runs under one instance name.
  uint64_t identity() const {
    return hashPair(hash64(this->Instance),
                    static_cast<uint64_t>(this->StartedAtMs));
  }
};

/// One host of the fleet as it announced itself.
struct FleetHost {
  std::string Name;
  Address At; ///< Datagrams between hosts.
  std::string Domain;
  uint64_t Run = 0;
  double Cores = 1; ///< Processor share that it may use.
};

ServiceId serviceId(std::string_view Name);

} // namespace shallotlatch
