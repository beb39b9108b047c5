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

struct WorldInit {
  std::string Program; ///< The gateway.
  std::string Folder;  ///< For settings and logs.
  uint16_t FirstPort = 20000;
  uint64_t Seed = 1;
  uint32_t Callers = 24;
};

constexpr uint32_t NorthHosts = 5; ///< Enough for an owner of their domain.
constexpr uint32_t Hosts = 7;
constexpr uint32_t TargetsAtOnce = 7;

class World {
public:
  World(event_base *Base, const WorldInit &Init);
  ~World();
  World(const World &) = delete;
  World &operator=(const World &) = delete;

  // Faults.
  void startHost(uint32_t Host);
  void killHost(uint32_t Host);
  void stopHost(uint32_t Host);
  void freezeHost(uint32_t Host, bool Frozen);
  void reloadHost(uint32_t Host, bool Signal);
  void storeLink(uint32_t Host, LinkMode Mode);
  void targetLink(uint32_t Slot, LinkMode Mode);
  void crashTarget(uint32_t Slot);
  void removeEntry(uint32_t Slot); ///< Of a crashed target.
  void startTarget(uint32_t Slot); ///< A new instance in this place.
  void drainTarget(uint32_t Slot);
  void endTarget(uint32_t Slot);
  void loseAnswers(uint32_t Slot, double Share);
  void changeConfig(bool RemoveKey);
  void writeForeignEntry();
  platform::StoreFaults &storeFaults() { return this->Store.Faults; }

  // Course of the run.
  void startCallers();
  void finishCallers();
  bool callersBusy() const;
  /// Marks what is harmed now as troubled, and restarts hosts that ended.
  void tick();
  bool hostRuns(uint32_t Host) const { return this->Fleet[Host].Pid > 0; }
  Judge &judge() { return this->Told; }
  /// Host processes that ended without being told to.
  uint32_t ownEnds() const { return this->OwnEnds; }
  /// No host is started again.
  void letHostsEnd() { this->Ending = true; }

private:
  struct Process {
    int Pid = 0;
    uint32_t Count = 0;
    bool Frozen = false;
    bool Told = false; ///< To end.
    Time StoppedAt;
    Time EndedAt;
    LinkMode Link = LinkMode::Pass;
    std::unique_ptr<SoakProxy> StoreProxy;
    double Grace = 8;
  };
  struct Place {
    std::unique_ptr<SoakTarget> Target;
    std::unique_ptr<SoakProxy> Proxy;
    TargetEntry Entry;
    LinkMode Link = LinkMode::Pass;
    std::string ServiceName;
  };

  Address at(uint16_t Offset) const;
  void writeSettings(uint32_t Host) const;
  void writeConfig();
  CallerPlan plan();
  CallerHost choose();
  void hostEnded(uint32_t Host, int Status);

  event_base *Base;
  WorldInit Init;
  std::mt19937_64 Random;
  Judge Told;
  RelayHeaders Headers;
  platform::StoreStandin Store;
  std::vector<Process> Fleet;
  std::vector<Place> Places;
  std::vector<std::unique_ptr<SoakCaller>> Callers;
  RoutingConfig Config;
  std::vector<std::string> Keys; ///< In force.
  std::vector<std::string> OldKeys;
  uint16_t NextTarget = 0;
  uint32_t NextRequest = 1;
  uint32_t OwnEnds = 0;
  bool Ending = false;
};

} // namespace shallotlatch::soak
