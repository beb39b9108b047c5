// Targets as this host and its domain's owner know them.
#include "relay_p.h"

#include "event_log_p.h"

namespace shallotlatch {

// A gone target serves for some seconds more at the most; after this long every
// host has heard of it from the store itself.
static constexpr Duration GoneMemory = seconds(30);

static uint32_t shortName(const TargetEntry &Target) {
  return static_cast<uint32_t>(Target.identity());
}

TargetEntry RelayTable::withDeparture(TargetEntry Target) const {
  Target.Leaving =
      Target.Leaving || this->OwnerDeparting.count(shortName(Target)) != 0;
  return Target;
}

void RelayTable::setTarget(const TargetEntry &Target) {
  auto It = this->Targets.find(Target.Instance);
  if (It != this->Targets.end() &&
      (It->second.Service != Target.Service ||
       It->second.identity() != Target.identity())) {
    this->Crashes.died(Target.Instance, ProcessClock::now());
    this->Wire.dropIdle(It->second.At, It->second.identity());
    if (It->second.Service != Target.Service) {
      this->service(It->second.Service)
          .Places->scheduler()
          .removeTarget(Target.Instance);
    }
  }
  this->Gone.erase(shortName(Target));
  this->Targets[Target.Instance] = Target;
  this->service(Target.Service)
      .Places->scheduler()
      .setTarget(this->withDeparture(Target), ProcessClock::now());
  this->dispatch(Target.Service);
}

void RelayTable::removeTarget(const std::string &Instance) {
  auto It = this->Targets.find(Instance);
  if (It == this->Targets.end()) {
    return;
  }
  Time Now = ProcessClock::now();
  this->Gone[shortName(It->second)] = Now;
  this->Crashes.died(Instance, Now);
  this->Wire.dropIdle(It->second.At, It->second.identity());
  this->service(It->second.Service).Places->scheduler().removeTarget(Instance);
  this->Targets.erase(It);
}

std::vector<uint32_t> RelayTable::departing(Time Now) {
  std::vector<uint32_t> Runs;
  for (auto It = this->Gone.begin(); It != this->Gone.end();) {
    if (Now - It->second > GoneMemory) {
      It = this->Gone.erase(It);
      continue;
    }
    Runs.push_back(It->first);
    ++It;
  }
  for (const auto &Item : this->Targets) {
    if (Item.second.Leaving) {
      Runs.push_back(shortName(Item.second));
    }
  }
  return Runs;
}

void RelayTable::ownerDeparting(const std::vector<uint32_t> &Runs) {
  std::set<uint32_t> Next(Runs.begin(), Runs.end());
  if (Next == this->OwnerDeparting) {
    return;
  }
  this->OwnerDeparting.swap(Next);
  for (const auto &Item : this->Targets) {
    bool Was = Next.count(shortName(Item.second)) != 0;
    bool Is = this->OwnerDeparting.count(shortName(Item.second)) != 0;
    if (Was != Is) {
      logBelief("target-departing",
                {{"instance", Item.first}, {"leaving", Is}});
      this->service(Item.second.Service)
          .Places->scheduler()
          .setTarget(this->withDeparture(Item.second), ProcessClock::now());
    }
  }
}

} // namespace shallotlatch
