/// \file
/// Order of an operator to roll out a version of a service's software.
#pragma once

#include "routing_p.h"

#include <string>

namespace shallotlatch {

/// State of a roll-out as the store shows it.
enum class RolloutState : uint8_t { Active, Completed, RolledBack };
const char *name(RolloutState State);

/// An order, with the status that the object has in the store.
struct RolloutOrder {
  std::string Name; ///< Name of the object.
  ServiceId Service;
  std::string To;     ///< Version to roll out.
  Duration Length{0}; ///< Time from the order to its deadline.
  /// Status for the version `To`; none if no status was written for it.
  std::optional<RolloutState> Written;
  uint64_t Revision = 0; ///< Revision of the object; a status write raises it.

  SoftwareId software() const { return softwareId(this->To); }
  /// Whether both are the same order, whatever their status.
  bool sameOrder(const RolloutOrder &Other) const {
    return this->Service == Other.Service && this->To == Other.To &&
           this->Length == Other.Length;
  }
};

/// A status that has to be written to the store.
struct RolloutStatusWrite {
  std::string Name; ///< Name of the object.
  RolloutState State = RolloutState::Active;
  std::string To;
  uint64_t Revision = 0; ///< The object must have this revision.
};

/// Limits that the platform sets for the roll-out of a bad version.
struct RolloutBounds {
  /// Largest part of a service's requests that a bad version gets.
  double ExposureShare = 0.1;
  /// Requests that it may get beyond this part, over the whole fleet.
  double ExposureTolerance = 50;
  /// Time after the 50th bad answer from which it gets none.
  Duration RollbackTimeout = seconds(5);
};

} // namespace shallotlatch
