/// \file
/// The world of one soak: hosts as real processes, a store, targets and
/// callers on loopback, with a proxy on each link that may be harmed.
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

struct EnvironmentInit {
  std::string Program; ///< The gateway.
  std::string Folder;  ///< For settings and logs.
  uint16_t FirstPort = 20000;
  uint64_t Seed = 1;
  uint32_t Callers = 24;
};

constexpr uint32_t NorthHostCount = 5; ///< Enough for an owner of their domain.
constexpr uint32_t HostCount = 7;
constexpr uint32_t TargetCount = 7;

class SoakEnvironment {
public:
  SoakEnvironment(event_base *Base, const EnvironmentInit &Init);
  ~SoakEnvironment();
  SoakEnvironment(const SoakEnvironment &) = delete;
  SoakEnvironment &operator=(const SoakEnvironment &) = delete;

  // Faults.
  void startHost(uint32_t Host);
  void killHost(uint32_t Host);
  void stopHost(uint32_t Host);
  void freezeHost(uint32_t Host, bool Frozen);
  void reloadHost(uint32_t Host, bool Signal);
  void setStoreLinkMode(uint32_t Host, LinkMode Mode);
  void setTargetLinkMode(uint32_t Slot, LinkMode Mode);
  void crashTarget(uint32_t Slot);
  void removeTargetEntry(uint32_t Slot); ///< Of a crashed target.
  void startTarget(uint32_t Slot);       ///< A new instance in this place.
  void drainTarget(uint32_t Slot);
  void endTarget(uint32_t Slot);
  void loseAnswers(uint32_t Slot, double Share);
  void changeConfig(bool RemoveKey);
  void writeMalformedEntry();
  platform::StoreFaults &storeFaults() { return this->Store.Faults; }

  // Course of the run.
  void startCallers();
  void finishCallers();
  bool callersBusy() const;
  /// Marks what is harmed now as troubled, and restarts hosts that ended.
  void tick();
  bool isHostRunning(uint32_t Host) const {
    return this->HostProcesses[Host].Pid > 0;
  }
  SoakJudge &judge() { return this->Told; }
  /// Host processes that ended without being told to.
  uint32_t unexpectedExits() const { return this->UnexpectedExits; }
  /// No host is started again.
  void disableRestarts() { this->RestartsDisabled = true; }

private:
  struct Process {
    int Pid = 0;
    uint32_t StartCount = 0;
    bool Frozen = false;
    bool Told = false; ///< To end.
    Time StopRequestedAt;
    Time ExitedAt;
    LinkMode Link = LinkMode::Pass;
    std::unique_ptr<SoakProxy> StoreProxy;
    double StopGraceSeconds = 8;
  };
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
  SoakJudge Told;
  RelayHeaders Headers;
  platform::StoreStandin Store;
  std::vector<Process> HostProcesses;
  std::vector<TargetSlot> TargetSlots;
  std::vector<std::unique_ptr<SoakCaller>> Callers;
  RoutingConfig Config;
  std::vector<std::string> ActiveKeys; ///< In force.
  std::vector<std::string> RemovedKeys;
  uint16_t NextTargetPort = 0;
  uint32_t NextRequestNumber = 1;
  uint32_t UnexpectedExits = 0;
  bool RestartsDisabled = false;
};

} // namespace shallotlatch::soak
