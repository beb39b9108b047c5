/// \file
/// Messages of a tunnel: a TCP connection on which a peer passes the bytes of
/// one call on to a target and those of its answer back.
#pragma once

#include "shallotlatch/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace shallotlatch {

/// Asks a peer for a tunnel to a target.
struct TunnelRequest {
  HostId From;           ///< The asking host.
  std::string Instance;  ///< Instance of the target.
  uint64_t Identity = 0; ///< TargetEntry::identity of its process run.
};

/// Why a peer gives no tunnel. The numbers go over the wire.
enum class TunnelRefusal : uint8_t {
  UnknownHost,   ///< The peer does not know the asking host.
  UnknownTarget, ///< The peer does not know this run of the target.
  TargetBarred,  ///< The target leaves or pauses, as far as the peer knows.
  Unreachable,   ///< The peer, which reaches other targets, cannot connect.
  NoPath,        ///< The peer has lost its own path.
  NoRoom,        ///< The peer has no connection or memory to spare.
  Stopping,      ///< The peer stops.
};
constexpr uint8_t TunnelRefusalCount = 7;
const char *name(TunnelRefusal Why);

} // namespace shallotlatch
