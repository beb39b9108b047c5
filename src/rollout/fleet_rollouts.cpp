#include "fleet_rollouts_p.h"

#include "event_log_p.h"

#include <algorithm>

namespace shallotlatch {

ServiceRollout &FleetRollouts::of(ServiceId Service, bool Engine) {
  std::unique_ptr<ServiceRollout> &R = this->Services[Service];
  if (!R) {
    R = std::make_unique<ServiceRollout>(this->Init, Service, Engine);
  }
  if (Engine) {
    R->setEngine();
  }
  return *R;
}

ServiceRollout *FleetRollouts::find(ServiceId Service) {
  auto It = this->Services.find(Service);
  return It == this->Services.end() ? nullptr : It->second.get();
}

// Of two objects for one service the one with the smaller name counts, so that
// all hosts follow the same one in whatever order they read them.
void FleetRollouts::onOrder(const RolloutOrder &Order, bool Engine,
                            bool Appeared, uint64_t Era, Time Now) {
  auto Before = this->ServiceOfOrder.find(Order.Name);
  if (Before != this->ServiceOfOrder.end() && Before->second != Order.Service) {
    this->onOrderGone(Order.Name, Era, Now);
  }
  this->ServiceOfOrder[Order.Name] = Order.Service;
  for (const auto &Item : this->ServiceOfOrder) {
    if (Item.second == Order.Service && Item.first != Order.Name) {
      logImportantEvent("rollout-order-second",
                        {{"name", Order.Name}, {"other", Item.first}});
      if (Item.first < Order.Name) {
        return;
      }
    }
  }
  this->of(Order.Service, Engine).onOrder(Order, Appeared, Era, Now);
}

void FleetRollouts::onOrderGone(const std::string &Name, uint64_t Era,
                                Time Now) {
  auto It = this->ServiceOfOrder.find(Name);
  if (It == this->ServiceOfOrder.end()) {
    return;
  }
  ServiceRollout *R = this->find(It->second);
  if (R != nullptr && R->orderName() == Name) {
    R->onOrderGone(Era, Now);
  }
  this->ServiceOfOrder.erase(It);
}

void FleetRollouts::setTouch(const RolloutTouch &Next, Time Now) {
  for (const auto &Item : this->Services) {
    Item.second->setTouch(Next, Now);
  }
}

bool FleetRollouts::hasOrders() const {
  return std::any_of(this->Services.begin(), this->Services.end(),
                     [](const auto &Item) { return Item.second->hasOrder(); });
}

std::vector<RolloutNews> FleetRollouts::news(RolloutScope Scope,
                                             Time Now) const {
  std::vector<RolloutNews> All;
  for (const auto &Item : this->Services) {
    std::optional<RolloutNews> News = Item.second->news(Scope, Now);
    if (News) {
      All.push_back(std::move(*News));
    }
  }
  return All;
}

std::vector<RolloutStatusWrite> FleetRollouts::statusesDue(Time Now) const {
  std::vector<RolloutStatusWrite> All;
  for (const auto &Item : this->Services) {
    std::optional<RolloutStatusWrite> Write = Item.second->statusDue(Now);
    if (Write) {
      All.push_back(std::move(*Write));
    }
  }
  return All;
}

} // namespace shallotlatch
