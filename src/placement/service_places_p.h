/// \file
/// Placement of one service's requests. Either this host places its own
/// requests, or it is the owner of its failure domain and places the requests
/// of all hosts there, or the domain's owner places this host's requests.
#pragma once

#include "place_books_p.h"

namespace shallotlatch {

/// Interface that sends messages between an owner and its holders. The
/// implementation fills the sender's host and process.
class PlacementTransport {
public:
  virtual ~PlacementTransport() = default;
  virtual void post(HostId To, PlacementReport &Report) = 0;
  virtual void post(HostId To, PlacementReply &Reply) = 0;
};

/// Queues and places the requests of one service on this host.
class ServicePlacement {
public:
  ServicePlacement(ServiceId Service, bool Engine, const std::string &OwnDomain,
                   uint64_t Seed, PlacementOwner::PlacementIdSource NextId)
      : Service(Service), Engine(Engine), Scheduler(Engine, OwnDomain, Seed),
        Owner(this->Scheduler, std::move(NextId)) {}

  /// The scheduler: targets, load of peers and statistics.
  ServiceScheduler &scheduler() { return this->Scheduler; }
  const ServiceScheduler &scheduler() const { return this->Scheduler; }
  bool isEngine() const { return this->Engine; }
  /// Sets the owner of this host's failure domain; with an invalid id every
  /// host places its own requests. Services that are no engines ignore it:
  /// their calls end before an owner's exact knowledge of the load could
  /// matter.
  void setOwner(HostId Host);

  /// Queues a request, at the owner if it is responsive and else at this host.
  void enqueue(const PlacementRequest &Request, Time Now);
  /// Forgets a request that has not been placed or refused yet.
  void withdraw(PlacementId Id);
  /// Fills the decisions about this host's own requests.
  void decide(Time Now, std::vector<PlacedRequest> &Placed,
              std::vector<PlacementRefusal> &Refused);
  /// Records that the first event of \p Id has arrived.
  void started(PlacementId Id, Time Now);
  /// Records that \p Id no longer uses its target.
  /// \p Events: number of events of a stream that ended well; 0 if not known.
  void ended(PlacementId Id, AttemptResult Result, Time Now,
             uint32_t Events = 0);
  /// Records that \p Events more events of \p Id have arrived.
  void progressed(PlacementId Id, uint32_t Events, Time Now) {
    this->Scheduler.progressed(Id, Events, Now);
  }
  /// Records that a target gave this host a notice.
  void noticed() { this->Holder.noticed(); }
  /// Takes a holder's report; this host acts as its owner.
  void receive(const PlacementReport &Report, Time Now);
  /// Takes a reply of this host's owner.
  void receive(const PlacementReply &Reply, Time Now);
  /// Sends the report and the replies that are due.
  void post(PlacementTransport &Transport, Time Now);

  /// Whether a request of this service waits, here or at the owner, so that
  /// `decide` may give a decision without a new event on this host.
  bool hasWaiting() const;
  /// Whether some request could not be placed at once.
  bool hasBacklog(Time Now) const;
  /// Use of targets that this host reports to its peers; empty while the owner
  /// is responsive, since the owner then reports it.
  std::vector<TargetUse> ownUse(Time Now) const;

private:
  ServiceId Service;
  bool Engine;
  ServiceScheduler Scheduler;
  PlacementOwner Owner;
  PlacementHolder Holder;
  Time NextPacesAt; ///< Time from which a report holds the targets' paces.
  /// Grants of the owner that `decide` has not returned yet.
  std::vector<std::pair<PlacementRequest, PlacementGrant>> Granted;
  /// Refusals of the owner that `decide` has not returned yet.
  std::vector<PlacementRefusal> RefusedByOwner;
};

} // namespace shallotlatch
