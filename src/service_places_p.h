/// \file
/// Places of one service: decided by this host alone, by this host for all
/// hosts of its failure domain, or by the domain's owner for this host.
#pragma once

#include "place_books_p.h"

namespace shallotlatch {

/// Carries messages of the two sides to the other host.
class PlacementTransport {
public:
  virtual ~PlacementTransport() = default;
  virtual void post(HostId To, PlacementReport &Book) = 0;
  virtual void post(HostId To, PlacementReply &Reply) = 0;
};

class ServicePlacement {
public:
  ServicePlacement(ServiceId Service, bool Engine, const std::string &OwnDomain,
                   uint64_t Seed, PlacementOwner::PlacementIdSource Make)
      : Service(Service), Engine(Engine), Scheduler(Engine, OwnDomain, Seed),
        Owner(this->Scheduler, std::move(Make)) {}

  /// Targets, peers and figures.
  ServiceScheduler &scheduler() { return this->Scheduler; }
  const ServiceScheduler &scheduler() const { return this->Scheduler; }
  /// Owner of this host's domain; invalid: every host places by itself. Plain
  /// services have none: their calls are over before it would matter.
  void setOwner(HostId Host);

  void enqueue(const PlacementRequest &Request, Time Now);
  void withdraw(PlacementId Run);
  /// Decisions about this host's own requests.
  void decide(Time Now, std::vector<PlacedRequest> &Placed,
              std::vector<PlacementRefusal> &Refused);
  void started(PlacementId Run, Time Now);
  void ended(PlacementId Run, AttemptResult Result, Time Now);
  void receive(const PlacementReport &Book, Time Now);
  void receive(const PlacementReply &Reply, Time Now);
  /// Sends what is due.
  void post(PlacementTransport &Post, Time Now);

  /// Whether a decision may come without an event of this host's own.
  bool hasWaiting() const;
  /// Whether some request found no place at once.
  bool hasBacklog(Time Now) const;
  /// What this host places by itself, for peers.
  std::vector<TargetUse> ownUse(Time Now) const;

private:
  ServiceId Service;
  bool Engine;
  ServiceScheduler Scheduler;
  PlacementOwner Owner;
  PlacementHolder Holder;
  std::vector<std::pair<PlacementRequest, PlacementGrant>> Granted;
  std::vector<PlacementRefusal> RefusedByOwner;
};

} // namespace shallotlatch
