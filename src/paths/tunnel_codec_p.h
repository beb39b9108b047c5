/// \file
/// Messages of a tunnel: a TCP connection on which a peer passes the bytes of
/// one call on to a target and those of its answer back.
#pragma once

#include "shallotlatch/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

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

/// Answer of a peer: a reason, or nothing if the tunnel is open.
using TunnelAnswer = std::optional<TunnelRefusal>;

/// Encodes a message with its frame.
std::string encodeTunnelRequest(const TunnelRequest &Request);
std::string encodeTunnelAnswer(TunnelAnswer Answer);
/// Decode the content of a frame. They return nothing if it is no such message.
std::optional<TunnelRequest> decodeTunnelRequest(std::string_view Frame);
std::optional<TunnelAnswer> decodeTunnelAnswer(std::string_view Frame);

/// Length of the number of bytes that begins a frame, and the most bytes that
/// may follow it.
constexpr size_t FrameHeadBytes = 4;
constexpr size_t MaxTunnelFrameBytes = 64 * 1024;
/// Heads without a frame, which tell how the target's connection ended. The end
/// of the tunnel's own connection does not tell it.
enum class TunnelEnd : uint32_t {
  Closed = 0,          ///< The target closed it in order.
  Broken = UINT32_MAX, ///< It was reset.
};
std::string tunnelEnd(TunnelEnd End);
/// Returns the head of a frame of \p Length bytes, at least one.
std::string frameHead(size_t Length);
/// Length of a frame, or the end of the target's connection.
using FrameHead = std::variant<size_t, TunnelEnd>;
/// Decodes FrameHeadBytes bytes; nothing if no frame is so long.
std::optional<FrameHead> decodeFrameHead(std::string_view Head);

} // namespace shallotlatch
