// Targets known to this host, and departures that the owner of its failure
// domain reports.
#include "relay_p.h"

#include "event_log_p.h"

namespace shallotlatch {

// Time for which a removed target is reported as departing. A removed target
// serves for a few more seconds at most, and after this time every host has
// learned of the removal from the store itself.
static constexpr Duration RemovedTargetRetention = seconds(30);

// Processes of which an unreadable load is logged, once each. The bound keeps a
// faulty version of all targets from filling the log and the memory.
static constexpr size_t MaxUnreadableLoads = 256;

bool RequestRelay::departsByOwner(const TargetEntry &Target) const {
  if (this->OwnerDepartingTargets.count(Target.shortIdentity()) == 0) {
    return false;
  }
  for (const auto &Item : this->Targets) {
    const TargetEntry &Other = Item.second;
    if (Other.Service == Target.Service && !Other.Leaving &&
        this->OwnerDepartingTargets.count(Other.shortIdentity()) == 0) {
      return true;
    }
  }
  return false;
}

TargetEntry RequestRelay::withOwnerDeparture(TargetEntry Target) const {
  Target.Leaving = Target.Leaving || this->departsByOwner(Target);
  return Target;
}

// Whether the owner's word counts for one target depends on the others.
void RequestRelay::reapplyOwnerDepartures(ServiceId Service) {
  for (const auto &Item : this->Targets) {
    if (Item.second.Service == Service &&
        this->OwnerDepartingTargets.count(Item.second.shortIdentity()) != 0) {
      this->service(Service).Places->scheduler().setTarget(
          this->withOwnerDeparture(Item.second), ProcessClock::now());
    }
  }
}

void RequestRelay::setTarget(const TargetEntry &Target) {
  auto It = this->Targets.find(Target.Instance);
  ServiceId Left; // Service that the target served before.
  if (It != this->Targets.end() &&
      (It->second.Service != Target.Service ||
       It->second.identity() != Target.identity())) {
    this->Crashes.onTargetDied(It->second.shortIdentity(), ProcessClock::now());
    this->Doubts.forget(It->second.shortIdentity());
    this->TargetClient.dropIdle(It->second.At, It->second.identity());
    if (It->second.Service != Target.Service) {
      if (this->Rollouts) {
        this->Rollouts->of(It->second.Service, false).onTargetGone(It->second);
      }
      this->service(It->second.Service)
          .Places->scheduler()
          .removeTarget(Target.Instance);
      Left = It->second.Service;
    }
  }
  this->RemovedTargets.erase(Target.shortIdentity());
  if (It != this->Targets.end()) {
    this->ServiceOfTarget.erase(It->second.shortIdentity());
    if (It->second.shortIdentity() != Target.shortIdentity()) {
      this->Paths.removeTarget(TargetRunId{It->second.shortIdentity()});
    }
  }
  this->ServiceOfTarget[Target.shortIdentity()] = Target.Service;
  this->Paths.addTarget(TargetRunId{Target.shortIdentity()});
  this->Targets[Target.Instance] = Target;
  this->Origins.recordServing(Target.Service, softwareId(Target.Software),
                              ProcessClock::now());
  if (this->Rollouts) {
    this->Rollouts->of(Target.Service, this->isEngine(Target.Service))
        .onTarget(Target, ProcessClock::now());
  }
  this->service(Target.Service)
      .Places->scheduler()
      .setTarget(this->withOwnerDeparture(Target), ProcessClock::now());
  this->reapplyOwnerDepartures(Target.Service);
  if (Left.isValid()) {
    this->reapplyOwnerDepartures(Left);
  }
  this->dispatch(Target.Service);
}

void RequestRelay::removeTarget(const std::string &Instance) {
  auto It = this->Targets.find(Instance);
  if (It == this->Targets.end()) {
    return;
  }
  Time Now = ProcessClock::now();
  this->RemovedTargets[It->second.shortIdentity()] = Now;
  this->Crashes.onTargetDied(It->second.shortIdentity(), Now);
  this->Doubts.forget(It->second.shortIdentity());
  this->TargetClient.dropIdle(It->second.At, It->second.identity());
  this->ServiceOfTarget.erase(It->second.shortIdentity());
  this->Paths.removeTarget(TargetRunId{It->second.shortIdentity()});
  ServiceId Service = It->second.Service;
  if (this->Rollouts) {
    this->Rollouts->of(Service, false).onTargetGone(It->second);
  }
  this->service(Service).Places->scheduler().removeTarget(Instance);
  this->Targets.erase(It);
  this->reapplyOwnerDepartures(Service);
}

std::vector<uint32_t> RequestRelay::departingTargets(Time Now) {
  std::vector<uint32_t> Runs;
  for (auto It = this->RemovedTargets.begin();
       It != this->RemovedTargets.end();) {
    if (Now - It->second > RemovedTargetRetention) {
      It = this->RemovedTargets.erase(It);
      continue;
    }
    Runs.push_back(It->first);
    ++It;
  }
  for (const auto &Item : this->Targets) {
    auto Service = this->Services.find(Item.second.Service);
    if (Item.second.Leaving ||
        (Service != this->Services.end() &&
         Service->second->Places->scheduler().notices().isLeaving(
             incarnationKey(Item.second)))) {
      Runs.push_back(Item.second.shortIdentity());
    }
  }
  return Runs;
}

void RequestRelay::setOwnerDepartingTargets(const std::vector<uint32_t> &Runs) {
  std::set<uint32_t> Next(Runs.begin(), Runs.end());
  if (Next == this->OwnerDepartingTargets) {
    return;
  }
  this->OwnerDepartingTargets.swap(Next);
  std::set<ServiceId> Changed;
  // After the swap, Next holds the previous list.
  for (const auto &Item : this->Targets) {
    bool WasDeparting = Next.count(Item.second.shortIdentity()) != 0;
    bool IsDeparting =
        this->OwnerDepartingTargets.count(Item.second.shortIdentity()) != 0;
    if (WasDeparting != IsDeparting) {
      logImportantEvent("target-departing",
                        {{"instance", Item.first}, {"leaving", IsDeparting}});
      Changed.insert(Item.second.Service);
      this->service(Item.second.Service)
          .Places->scheduler()
          .setTarget(this->withOwnerDeparture(Item.second),
                     ProcessClock::now());
    }
  }
  for (ServiceId Service : Changed) {
    this->reapplyOwnerDepartures(Service);
  }
}

void RequestRelay::applyLimitHosts(ServicePlacement &Places) {
  if (this->Self.isValid()) {
    Places.scheduler().limits().setHosts(
        this->Self, Places.isEngine() ? this->PlacingHosts : this->AllHosts,
        ProcessClock::now());
  }
}

void RequestRelay::setLimitHosts(HostId Host,
                                 const std::vector<HostId> &Placing,
                                 const std::vector<HostId> &All) {
  this->Self = Host;
  this->PlacingHosts = Placing;
  this->AllHosts = All;
  for (const auto &Item : this->Services) {
    this->applyLimitHosts(*Item.second->Places);
  }
}

// An answer that shows no proof of its origin, or that a target gave instead of
// running the request, says nothing by the lack of a limit.
void RequestRelay::observeLimit(const TargetEntry &Target,
                                const std::string &RequestId,
                                const HttpHead &Head) {
  const RelayHeaders &H = this->Init.Headers;
  TargetLimits &Limits =
      this->service(Target.Service).Places->scheduler().limits();
  const std::string *Field = Head.find(H.TargetLimit);
  Time Now = ProcessClock::now();
  double PerSecond = 0;
  if (Field != nullptr && parseTargetLimit(*Field, PerSecond)) {
    Limits.observe(Target.shortIdentity(), PerSecond, Now);
  } else if (Field != nullptr) {
    logEvent(
        "target-limit-unreadable",
        {{"id", RequestId}, {"target", Target.Instance}, {"limit", *Field}});
  } else if (Head.find(H.ServerStamp) != nullptr) {
    Limits.observeNone(Target.shortIdentity(), Now);
  }
}

// Only an answer that proves its origin is believed, and one line is logged for
// each process whose header cannot be read.
void RequestRelay::observeLoad(const RelayedRequest &R, const HttpHead &Head) {
  const RelayHeaders &H = this->Init.Headers;
  if (!this->Init.Scheduling.LearnSpeed || H.ServerLoad.empty() ||
      Head.find(H.ServerStamp) == nullptr) {
    return;
  }
  const std::string *Field = Head.find(H.ServerLoad);
  TargetLoad Load;
  uint32_t Identity = R.Target.shortIdentity();
  if (Field == nullptr) {
    return;
  }
  if (parseTargetLoad(*Field, Load)) {
    this->service(R.Service).Places->scheduler().observeLoad(
        R.Target.Instance, Identity, Load, ProcessClock::now());
  } else if (this->UnreadableLoads.size() < MaxUnreadableLoads &&
             this->UnreadableLoads.insert(Identity).second) {
    logEvent(
        "target-load-unreadable",
        {{"id", R.RequestId}, {"target", R.Target.Instance}, {"load", *Field}});
  }
}

std::vector<TargetLimitReport> RequestRelay::targetLimits(Time Now) {
  std::vector<TargetLimitReport> Reports;
  for (const auto &Item : this->Services) {
    std::vector<TargetLimitReport> Part =
        Item.second->Places->scheduler().limits().report(Now);
    Reports.insert(Reports.end(), Part.begin(), Part.end());
  }
  return Reports;
}

void RequestRelay::mergeTargetLimits(
    const std::vector<TargetLimitReport> &Reports) {
  Time Now = ProcessClock::now();
  for (const TargetLimitReport &Report : Reports) {
    auto It = this->ServiceOfTarget.find(Report.Target);
    if (It != this->ServiceOfTarget.end()) {
      this->service(It->second)
          .Places->scheduler()
          .limits()
          .merge({Report}, Now);
    }
  }
}

uint64_t RequestRelay::targetLimitsVersion() const {
  uint64_t Version = 0;
  for (const auto &Item : this->Services) {
    Version += Item.second->Places->scheduler().limits().version();
  }
  return Version;
}

size_t RequestRelay::limitedTargets() const {
  size_t Count = 0;
  for (const auto &Item : this->Services) {
    Count += Item.second->Places->scheduler().limits().count();
  }
  return Count;
}

} // namespace shallotlatch
