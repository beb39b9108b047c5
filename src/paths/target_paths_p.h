/// \file
/// Which way a host reaches its targets: by its own connections, or through a
/// peer while the path between this host and a target is lost. The code does no
/// input or output: it takes what connections show and gives routes and probes.
/// Load: one call for each request, connection and answer; the state grows with
/// the targets, the work of a call does not.
#pragma once

#include "tunnel_codec_p.h"

#include "shallotlatch/settings.h"

#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace shallotlatch {

/// Short identity of one process run of a target (TargetEntry::shortIdentity).
using TargetRunId = Id<struct TargetRunTag, uint32_t>;

/// A peer that may pass requests on to targets.
struct TunnelPeer {
  HostId Id;
  Address At; ///< Listener for the tunnels of peers.
  bool SameDomain = false;
};

/// Way of one attempt to a target.
struct TargetRoute {
  /// Peer that passes the request on; nothing: an own connection.
  std::optional<TunnelPeer> Through;
};

/// What one request has tried on its way to its present target.
struct RouteAttempts {
  bool Direct = false;       ///< An own connection failed.
  std::vector<HostId> Peers; ///< They gave no tunnel.
  /// Peers that reach other targets, but not this one.
  uint32_t SaidDown = 0;
  /// They are enough to take the target for down.
  bool TargetDown = false;
  /// The target takes nothing now, as a peer knows.
  bool TargetBarred = false;

  /// Records that \p Peer gave no tunnel. \p Why: its answer; nothing if none
  /// came.
  void noteRefusal(const TunnelPeer &Peer, std::optional<TunnelRefusal> Why);
  /// Whether the target is down, once no way is left: all peers that were asked
  /// say so, or there was none to ask.
  bool isDown() const {
    return this->TargetDown || this->SaidDown == this->Peers.size();
  }
};

/// How an own connection to a target failed.
enum class PathFailure : uint8_t {
  Refused, ///< The network or the target refused it at once.
  Silent,  ///< Nothing came back in time.
};

/// What is known of the own paths, for metrics.
struct TargetPathStats {
  uint32_t Lost = 0;     ///< Targets without an own path.
  bool Isolated = false; ///< This host has lost the paths to all targets.
};

/// State of the paths to all targets of this host.
class TargetPaths {
public:
  explicit TargetPaths(uint64_t Seed) : Random(Seed) {}

  void addTarget(TargetRunId Target);
  void removeTarget(TargetRunId Target);
  /// Replaces the peers that are asked for tunnels.
  void setPeers(std::vector<TunnelPeer> Next);

  /// Returns the next way to \p Target of a request that has tried \p Tried, or
  /// nothing if none is left.
  std::optional<TargetRoute> choose(TargetRunId Target,
                                    const RouteAttempts &Tried, Time Now);

  /// A request was sent on an own connection, and awaits its answer.
  void sent(TargetRunId Target, Time Now);
  /// Bytes came on an own connection.
  void heard(TargetRunId Target, Time Now);
  /// A request that was sent on an own connection has ended.
  void ended(TargetRunId Target);
  /// An own connection was established.
  void connected(TargetRunId Target, Time Now);
  /// An own connection failed, or one that was open fell silent.
  void failed(TargetRunId Target, PathFailure How, Time Now);
  /// A peer gave a tunnel. Returns whether this shows that the own path is
  /// lost, which was not known before.
  bool tunnelOpened(TargetRunId Target, HostId Peer, Time Now);
  /// A peer gave no tunnel. \p Why: its answer; nothing if none came.
  void tunnelRefused(TargetRunId Target, HostId Peer,
                     std::optional<TunnelRefusal> Why, Time Now);

  /// Returns the targets to which a connection is to be made now, to learn
  /// whether the path is lost or has come back. The result of each is told by
  /// `connected` or `probeFailed`.
  std::vector<TargetRunId> takeProbes(Time Now);
  void probeFailed(TargetRunId Target, Time Now);
  /// The target itself is down, so its failures tell nothing of the path.
  void targetDown(TargetRunId Target);

  /// Whether the own path to \p Target is lost.
  bool isLost(TargetRunId Target) const;
  /// Whether this host has lost the paths to all targets, as far as it knows.
  bool isIsolated(Time Now) const;
  /// Whether this host has made connections to targets lately, so that a
  /// failure to connect to one of them is that target's.
  bool reachesTargets(Time Now) const;
  TargetPathStats stats(Time Now) const;

private:
  struct Path {
    bool Lost = false;
    uint32_t Awaited = 0; ///< Requests on own connections without an end.
    Time AwaitedSince;    ///< No byte has come since; valid if any is awaited.
    std::optional<Time> FailedAt; ///< Last failure since the last success.
    Time NextProbeAt;
    Duration ProbeDelay{0};
  };
  struct PeerState {
    TunnelPeer Peer;
    Time RefusesUntil; ///< It is asked before only if no other is left.
  };

  Path *find(TargetRunId Target);
  void setLost(Path &P, bool Lost);
  std::optional<TunnelPeer> choosePeer(const std::vector<HostId> &Asked,
                                       Time Now);
  void scheduleProbe(Path &P, Time Now);

  std::mt19937_64 Random;
  std::unordered_map<TargetRunId, Path> Paths;
  std::map<HostId, PeerState> Peers;
  uint32_t LostCount = 0;
  std::optional<Time> LastSign;    ///< Last success on any own connection.
  std::optional<Time> LastConnect; ///< Last own connection established.
  Time NextSilenceProbeAt;
  bool WasIsolated = false; ///< No connection has been established since.
};

} // namespace shallotlatch
