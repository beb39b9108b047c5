/// \file
/// Passing on the counts of hosts over two levels. The hosts of a failure
/// domain report to its owner, the owners pass the reports on to each other,
/// and each owner tells its hosts what they need of the whole fleet. Counts
/// stay counts per host and run on the whole way, so that a message that is
/// lost, repeated or overtaken, or a change of owner, loses and doubles none.
#pragma once

#include "fleet_quota_p.h"

#include <map>
#include <vector>

namespace shallotlatch {

/// Counts of one host, as another host passes them on.
struct HostCounts {
  HostId Host;
  uint64_t Run = 0; ///< Process run of the host.
  /// Whether `Customers` is complete; otherwise it has what changed lately.
  bool Whole = false;
  std::vector<CustomerUse> Customers;
};

/// The sender's side: collects the reports of the hosts of a failure domain and
/// builds the messages to other domains. A change is sent twice, and every host
/// is sent whole in turns.
class CountRelay {
public:
  /// Records a host's own report.
  void record(HostId Host, uint64_t Run,
              const std::vector<CustomerUse> &Customers, Time Now);
  /// Builds the next message. It has every host that reported within
  /// \p Timeout.
  std::vector<HostCounts> collect(Time Now, Duration Timeout);
  /// Sends every host whole again, for a receiver that is new.
  void restart();

private:
  struct Count {
    uint64_t Admitted = 0;
    uint8_t SendsLeft = 0; ///< Messages that still have to contain it.
  };
  struct ReportedHost {
    uint64_t Run = 0;
    Time LastReport;
    uint8_t WholeSendsLeft = 0; ///< Messages that have to contain it whole.
    std::map<CustomerId, Count> Customers;
  };
  static HostCounts take(HostId Host, ReportedHost &Reported, size_t &Room);

  std::map<HostId, ReportedHost> Hosts;
  uint32_t Messages = 0; ///< Number of messages built.
};

/// The receiver's side: which hosts are alive by what others passed on, and
/// which of their counts may be merged.
class RelayedHosts {
public:
  /// Records a host's entry. Returns whether its counts may be merged: changes
  /// alone do not say where the host's counts started.
  bool accept(const HostCounts &Counts, Time Now);
  /// Time of the host's last entry whose counts could be merged; the epoch if
  /// there was none.
  Time lastHeard(HostId Host) const;
  void forget(HostId Host) { this->Hosts.erase(Host); }

private:
  struct RelayedHost {
    uint64_t WholeRun = 0; ///< Run of which a whole entry was read.
    Time LastHeard;
  };
  std::map<HostId, RelayedHost> Hosts;
};

} // namespace shallotlatch
