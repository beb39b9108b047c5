/// \file
/// Interface that decides which versions of a service's software may get a
/// request while one of them is being rolled out.
#pragma once

#include "routing_p.h"

namespace shallotlatch {

struct PlacementRequest;

/// Versions that a request may go to.
enum class VersionRule : uint8_t {
  Any,
  OldOnly,
  NewFirst, ///< The new version, or another one if it has no room.
  NewOnly,
  Nothing, ///< The version that the request needs gets nothing any more.
};

class VersionFilter {
public:
  virtual ~VersionFilter() = default;
  /// Returns the versions that the request may go to if it is placed now.
  virtual VersionRule rule(const PlacementRequest &Request) const = 0;
  virtual bool allows(VersionRule Rule, const TargetEntry &Target) const = 0;
  /// Whether the target has the version that is being rolled out.
  virtual bool isNew(const TargetEntry &Target) const = 0;
  /// Position of a target of the new version: the first ones are filled first.
  virtual uint64_t position(const TargetEntry &Target) const = 0;
  /// Counts a request that this host placed.
  virtual void placed(const TargetEntry &Target) = 0;
  /// Records how long a served request of a rank used its target.
  virtual void served(uint32_t Rank, Duration Length) = 0;
};

/// Slots and load of a service while a version is rolled out.
struct VersionLoad {
  uint32_t NewSlots = 0; ///< Slots of the new version's usable targets.
  uint32_t OldSlots = 0; ///< Slots of the other usable targets.
  uint32_t Running = 0;  ///< Requests that run, on all versions.
};

} // namespace shallotlatch
