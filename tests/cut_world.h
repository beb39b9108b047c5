/// \file
/// A fleet of gateway processes in two failure domains, of which each reaches
/// the targets by proxies of its own, and callers at a steady rate. All parts
/// but the processes run in the caller's thread.
#pragma once

#include "gateway_process.h"
#include "soak_proxy.h"
#include "soak_target.h"
#include "store_standin.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace shallotlatch {

/// How a host loses its paths to all targets.
enum class PathCut : uint8_t {
  None,
  Silent,    ///< Open connections carry nothing, new ones are not answered.
  Reset,     ///< Open connections are reset, new ones are refused.
  RefuseNew, ///< Open connections go on, new ones are refused.
};

/// First tries at a group of hosts.
struct CutCounts {
  uint32_t Sent = 0;
  uint32_t Served = 0; ///< Answered with 200 and the whole body in time.
  double share() const;
};

/// Processes, their stores and proxies, targets and callers.
class CutWorld {
public:
  /// Hosts 0 and 1 are in one failure domain, 2 and 3 in the other.
  static constexpr uint32_t HostCount = 4;

  /// \p KeepConnections: targets keep connections open after an answer.
  explicit CutWorld(bool KeepConnections);
  ~CutWorld();
  CutWorld(const CutWorld &) = delete;
  CutWorld &operator=(const CutWorld &) = delete;

  /// Runs until all hosts hear each other and serve requests. Returns false if
  /// they do not.
  bool waitReady();
  /// Sends requests for \p For.
  void run(Duration For);
  /// Waits for the answers to all requests.
  void finish();
  void setPaths(uint32_t Host, PathCut Cut);
  /// Counts the requests sent in [\p From, \p To) to \p Hosts, or to all others
  /// if \p Others.
  CutCounts count(const std::vector<uint32_t> &Hosts, bool Others, Time From,
                  Time To) const;
  /// Counts the streams of \p Host that were under way \p At.
  CutCounts countStreamsAt(uint32_t Host, Time At) const;
  /// Lists how often each failure was seen in [\p From, \p To).
  std::string failures(Time From, Time To) const;
  /// Broken promises: requests that ran twice or after a refusal, streams with
  /// missing or repeated events, retries beyond the budget.
  std::vector<soak::Violation> violations() const;
  /// Number of requests refused for what they contain.
  uint32_t refusedContents() const;

private:
  struct Call;
  struct HostParts {
    std::unique_ptr<soak::GatewayProcess> Process;
    Address Caller, Ready, Peer, StoreAt;
    std::unique_ptr<platform::StoreStandin> Store;
    std::vector<std::unique_ptr<soak::SoakProxy>> Proxies;
    std::vector<bufferevent *> Idle; ///< Kept connections of callers.
  };

  /// \p Free: addresses for the targets and their proxies.
  void addTargets(bool KeepConnections, std::vector<Address> Free);
  void startHost(uint32_t Host);
  void sendNext();
  bufferevent *connect(uint32_t Host);
  void dropIdle(bufferevent *Socket);
  bool hearsAll(uint32_t Host) const;
  std::string logPath(uint32_t Host) const;
  /// Runs the event loop for \p For.
  void loop(Duration For);

  event_base *Base;
  std::string Folder;
  std::mt19937_64 Random;
  soak::SoakJudge Judge;
  RelayHeaders Headers;
  std::vector<std::unique_ptr<soak::SoakTarget>> Targets;
  std::vector<HostParts> Hosts;
  std::vector<std::unique_ptr<Call>> Calls; ///< In the order they were sent.
};

} // namespace shallotlatch
