/// \file
/// Which hosts are live: the platform's list, monitors' opinions that spread
/// between peers, and what this host itself cannot reach.
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
  std::string Domain;
  Address Peer;
  bool Leaving = false;
};

/// Parses the platform's list; throws ConfigError.
std::vector<HostInfo> parseHosts(const std::string &Json);

/// Readable state of one host, for the admin listener.
struct HostStats {
  std::string Name;
  std::string Region;
  std::string Domain;
  bool Live = false;
  bool Leaving = false;
  Incarnation Run;
  Version ConfigVersion;
};

/// Each host sends heartbeats to a few monitors. A host is dead once two live
/// monitors suspect it; one bad link is never enough.
class Membership {
public:
  explicit Membership(NodeEnv &Env);

  void setHosts(const std::vector<HostInfo> &List);
  /// Any message of \p From arrived.
  void recordContact(HostId From);
  void onHeartbeat(HostId From, const Heartbeat &H);
  void onLivenessReport(const LivenessReport &O);
  /// This host could not reach \p Host; others may.
  void markUnreachable(HostId Host);
  void setLeaving(bool Value) { this->SelfLeaving = Value; }
  /// Whether this host itself is leaving.
  bool leaving() const { return this->SelfLeaving; }
  /// Sends heartbeats and forms opinions; collects hosts that died or left.
  void tick(const std::array<Version, DocumentKindCount> &Versions,
            uint64_t OtherDigest);

  bool live(HostId Host) const;
  bool known(HostId Host) const { return this->Hosts.count(Host) != 0; }
  const HostInfo *info(HostId Host) const;
  /// Highest-ranked live host for \p Key, by rendezvous hashing, among the
  /// hosts of \p Region; of all hosts where that region has none.
  HostId ownerOf(uint64_t Key, const std::string &Region) const;
  /// Whether this host ranks below \p Count for \p Key in its own region.
  bool isAmongTopRanked(uint64_t Key, uint32_t Count) const;
  /// Up to \p Count different random live peers.
  std::vector<HostId> randomPeers(uint32_t Count);
  uint32_t liveCount() const;
  /// Changes whenever an owner may have changed.
  uint64_t epoch() const { return this->Epoch; }
  /// Hosts that were live and are not any more, since the last call.
  std::vector<HostId> takeDepartedHosts();
  uint64_t digest() const;
  /// Sends every opinion to \p To.
  void sendAll(HostId To);
  std::vector<HostStats> stats() const;

private:
  struct HostRecord {
    HostInfo Info;
    Incarnation Run;
    Time LastHeard;
    Time UnreachableUntil;
    bool Dead = false;
    bool WasLive = false;
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
  void evaluateReports(HostId Subject);
  void setOwnReport(const HostRecord &R, LivenessReport::State Status);
  void gossip(const LivenessReport &O);
  void updateLiveHosts();
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
