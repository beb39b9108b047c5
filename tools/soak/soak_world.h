/// \file
/// The environment of a soak on loopback: gateway hosts as real processes, a
/// stand-in of the store, targets and callers. Each link that can get a fault
/// passes through a proxy.
#pragma once

#include "soak_caller.h"
#include "soak_proxy.h"
#include "soak_target.h"
#include "store_standin.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace shallotlatch::soak {

/// Parameters of the environment.
struct EnvironmentInit {
  std::string Program; ///< Path of the gateway executable.
  std::string Folder;  ///< Folder of the hosts' settings and logs.
  uint16_t FirstPort = 20000;
  uint64_t Seed = 1;
  uint32_t Callers = 24; ///< Number of concurrent callers.
};

/// Hosts in failure domain north: enough for the domain to have an owner.
constexpr uint32_t NorthHostCount = 5;
constexpr uint32_t HostCount = 7;
constexpr uint32_t TargetCount = 7; ///< Targets that exist at the same time.

/// Starts and stops the parts of a soak, injects faults and reports them to the
/// judge.
class SoakEnvironment {
public:
  SoakEnvironment(event_base *Base, const EnvironmentInit &Init);
  ~SoakEnvironment();
  SoakEnvironment(const SoakEnvironment &) = delete;
  SoakEnvironment &operator=(const SoakEnvironment &) = delete;

  // Faults and changes.
  void startHost(uint32_t Host);
  void killHost(uint32_t Host);
  void stopHost(uint32_t Host);
  void freezeHost(uint32_t Host, bool Frozen);
  /// Writes changed settings for the host. If \p Signal is true, tells the host
  /// with SIGHUP to reload them.
  void reloadHost(uint32_t Host, bool Signal);
  void setStoreLinkMode(uint32_t Host, LinkMode Mode);
  void setTargetLinkMode(uint32_t Slot, LinkMode Mode);
  void crashTarget(uint32_t Slot);
  /// Removes the store entry of a crashed target.
  void removeTargetEntry(uint32_t Slot);
  /// Starts a target with a new instance name in the slot.
  void startTarget(uint32_t Slot);
  void drainTarget(uint32_t Slot);
  /// Lets the target say in its answers that it leaves, which the store does
  /// not say.
  void announceLeaving(uint32_t Slot);
  /// Lets the target accept nothing for \p For, which it says in its answers.
  void pauseTarget(uint32_t Slot, Duration For);
  /// Removes the target's store entry and ends the target.
  void endTarget(uint32_t Slot);
  /// Lets the target close the connection instead of answering \p Share of its
  /// requests.
  void loseAnswers(uint32_t Slot, double Share);
  /// Publishes a new configuration version, without one of the keys if
  /// \p RemoveKey is true and more than two keys are left.
  void changeConfig(bool RemoveKey);
  void writeMalformedEntry();
  platform::StoreFaults &storeFaults() { return this->Store.Faults; }

  // Control of the run.
  void startCallers();
  void finishCallers();
  bool callersBusy() const;
  /// Reports each lasting fault to the judge and restarts hosts that ended.
  void tick();
  bool isHostRunning(uint32_t Host) const {
    return this->HostProcesses[Host].Pid > 0;
  }
  SoakJudge &judge() { return this->Judge; }
  /// Returns the number of host processes that ended without a request to end,
  /// or with an error status.
  uint32_t unexpectedExits() const { return this->UnexpectedExits; }
  /// Keeps tick() from restarting hosts.
  void disableRestarts() { this->RestartsDisabled = true; }

private:
  struct HostProcess {
    int Pid = 0;
    uint32_t StartCount = 0; ///< Number of processes started so far.
    bool Frozen = false;
    bool EndRequested = false; ///< Whether it was killed or stopped.
    Time StopRequestedAt;
    Time ExitedAt;
    LinkMode Link = LinkMode::Pass; ///< Mode of the store link.
    std::unique_ptr<SoakProxy> StoreProxy;
    double StopGraceSeconds = 8; ///< Grace period in the host's settings.
  };
  /// A target, its proxy and its store entry.
  struct TargetSlot {
    std::unique_ptr<SoakTarget> Target;
    std::unique_ptr<SoakProxy> Proxy;
    TargetEntry Entry;
    LinkMode Link = LinkMode::Pass;
    std::string ServiceName;
  };

  Address addressAt(uint16_t Offset) const;
  void writeSettings(uint32_t Host) const;
  void writeConfig();
  RequestPlan planRequest();
  CallerHost chooseHost();
  void onHostExit(uint32_t Host, int Status);

  event_base *Base;
  EnvironmentInit Init;
  std::mt19937_64 Random;
  std::mt19937_64 SoftwareRandom; ///< For the versions of targets only.
  SoakJudge Judge;
  RelayHeaders Headers;
  platform::StoreStandin Store;
  std::vector<HostProcess> HostProcesses;
  std::vector<TargetSlot> TargetSlots;
  std::vector<std::unique_ptr<SoakCaller>> Callers;
  RoutingConfig Config;
  std::vector<std::string> ActiveKeys; ///< Keys of customer large.
  std::vector<std::string> RemovedKeys;
  uint16_t NextTargetPort = 0; ///< Offset from the first target port.
  uint32_t NextRequestNumber = 1;
  uint32_t StartedTargets = 0;
  uint32_t UnexpectedExits = 0;
  bool RestartsDisabled = false;
};

} // namespace shallotlatch::soak
