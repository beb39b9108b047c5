/// \file
/// Failure detector. Decides which hosts are live from the platform's list of
/// hosts, from the liveness reports that monitors gossip between peers, and
/// from the hosts that this host itself cannot reach.
#pragma once

#include "node_env_p.h"
#include "shallotlatch/settings.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace shallotlatch {

/// One host as the platform lists it.
struct HostInfo {
  HostId Id;
  std::string Name;
  std::string Region;
  std::string Domain; ///< Failure domain of the host.
  Address Peer;       ///< Address on which the host accepts links from peers.
  bool Leaving = false;
};

/// Parses the platform's list of hosts; throws ConfigError.
std::vector<HostInfo> parseHosts(const std::string &Json);

/// State of one host as the admin listener shows it.
struct HostStats {
  std::string Name;
  std::string Region;
  std::string Domain;
  bool Live = false;
  bool Leaving = false;
  Incarnation Run;
  Version ConfigVersion;
};

/// Every host sends heartbeats to a few monitors. A host counts as dead once
/// two live monitors suspect it, so that one broken link is never enough. While
/// fewer than two hosts other than the suspected one are live, one suspicion is
/// enough.
class Membership {
public:
  explicit Membership(NodeEnv &Env);

  /// Replaces the list of hosts and keeps what is known of those that stay.
  void setHosts(const std::vector<HostInfo> &List);
  /// Records that a message from \p From has arrived.
  void recordContact(HostId From);
  void onHeartbeat(HostId From, const Heartbeat &H);
  void onLivenessReport(const LivenessReport &O);
  /// Excludes \p Host on this host for some seconds, because this host could
  /// not connect to it. Other hosts may still reach it.
  void markUnreachable(HostId Host);
  void setLeaving(bool Value) { this->SelfLeaving = Value; }
  /// Whether this host itself is leaving.
  bool leaving() const { return this->SelfLeaving; }
  /// Sends the heartbeats that are due and reports on the monitored hosts.
  /// \p Versions and \p CrashCountsDigest, the digest of CrashCounts, go into
  /// the heartbeats.
  void tick(const std::array<Version, DocumentKindCount> &Versions,
            uint64_t CrashCountsDigest);

  bool live(HostId Host) const;
  bool known(HostId Host) const { return this->Hosts.count(Host) != 0; }
  const HostInfo *info(HostId Host) const;
  /// Returns the highest-ranked live host for \p Key, by rendezvous hashing,
  /// among the hosts of \p Region, or among all hosts if that region has no
  /// live host.
  HostId ownerOf(uint64_t Key, const std::string &Region) const;
  /// Returns whether this host is among the \p Count highest-ranked live hosts
  /// of its own region for \p Key.
  bool isAmongTopRanked(uint64_t Key, uint32_t Count) const;
  /// Returns up to \p Count distinct random live peers.
  std::vector<HostId> randomPeers(uint32_t Count);
  /// Returns the number of live hosts, at least 1.
  uint32_t liveCount() const;
  /// Returns a number that changes whenever an owner may have changed.
  uint64_t epoch() const { return this->Epoch; }
  /// Returns the hosts that died, restarted or were removed from the platform's
  /// list since the last call.
  std::vector<HostId> takeDepartedHosts();
  /// Returns a digest over the versions of all liveness reports.
  uint64_t digest() const;
  /// Sends all liveness reports to \p To.
  void sendAll(HostId To);
  std::vector<HostStats> stats() const;

private:
  struct HostRecord {
    HostInfo Info;
    Incarnation Run;       ///< Latest known run of the host's process.
    Time LastHeard;        ///< Time of the last message from the host.
    Time UnreachableUntil; ///< End of the exclusion on this host.
    /// Whether a quorum of monitors suspected the host and none of them has
    /// reported it as live since.
    bool Dead = false;
    bool WasLive = false; ///< Whether the host was live at the last update.
    /// Whether the host announced that it leaves, to this host or to a monitor.
    bool Leaving = false;
    Version ConfigVersion;
  };
  struct ReportKey {
    HostId Subject;
    HostId Monitor;
    friend bool operator<(const ReportKey &A, const ReportKey &B) {
      return A.Subject != B.Subject ? A.Subject < B.Subject
                                    : A.Monitor < B.Monitor;
    }
  };

  std::vector<HostId> monitorsOf(HostId Subject) const;
  /// Derives from the liveness reports whether \p Subject is dead or leaving.
  void evaluateReports(HostId Subject);
  /// Sets and gossips this host's own report; an unchanged one is not sent.
  void setOwnReport(const HostRecord &R, LivenessReport::State Status);
  void gossip(const LivenessReport &O);
  /// Compares the live hosts with those at the last call, and records changes.
  void updateLiveHosts();
  /// Reports on each host that this host monitors.
  void reportMonitoredHosts();

  NodeEnv &Env;
  std::map<HostId, HostRecord> Hosts;
  std::map<ReportKey, LivenessReport> LivenessReports;
  std::vector<HostId> DepartedHosts;
  uint64_t Epoch = 1;
  bool SelfLeaving = false;
  Time NextHeartbeat;
  Time NextDigestExchange;
  Time StartTime;
};

} // namespace shallotlatch
