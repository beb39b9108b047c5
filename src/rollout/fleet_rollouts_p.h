/// \file
/// Roll-outs of all services on one host.
#pragma once

#include "service_rollout_p.h"

#include <map>
#include <memory>
#include <vector>

namespace shallotlatch {

class FleetRollouts {
public:
  explicit FleetRollouts(const RolloutInit &Init) : Init(Init) {}

  /// Returns the roll-out of a service, which lives as long as this object.
  ServiceRollout &of(ServiceId Service, bool Engine);
  /// Returns the roll-out of a service, or nullptr if none was created.
  ServiceRollout *find(ServiceId Service);

  void onOrder(const RolloutOrder &Order, bool Engine, bool Appeared,
               uint64_t Era, Time Now);
  void onOrderGone(const std::string &Name, uint64_t Era, Time Now);
  void setTouch(const RolloutTouch &Touch, Time Now);
  /// Whether any order is in force.
  bool hasOrders() const;
  std::vector<RolloutNews> news(RolloutScope Scope, Time Now) const;
  std::vector<RolloutStatusWrite> statusesDue(Time Now) const;
  const std::map<ServiceId, std::unique_ptr<ServiceRollout>> &all() const {
    return this->Services;
  }

private:
  RolloutInit Init;
  std::map<ServiceId, std::unique_ptr<ServiceRollout>> Services;
  std::map<std::string, ServiceId> ServiceOfOrder; ///< By the object's name.
};

} // namespace shallotlatch
