// A seeded soak: it runs real gateway processes, injects faults from outside
// and judges the gateways by what callers and targets observe.
#include "soak_world.h"

#include "sockets_p.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <csignal>
#include <filesystem>
#include <iostream>

using namespace shallotlatch;
using namespace shallotlatch::soak;

// Time for the hosts to discover each other and to exchange heartbeats before
// callers start.
static constexpr Duration WarmUp = seconds(3);
// Stated time after the last fault until service must have recovered.
static constexpr Duration RecoveryTime = seconds(12);
static constexpr Duration TickPeriod = millis(100);
// Time for the callers' last requests to end, by their deadlines at the latest.
static constexpr Duration LastRequestTime = millis(2600);
// Grace period of a stop plus the delay that a busy machine may add.
static constexpr Duration StopTime = seconds(10);
static constexpr int ExitViolated = 1;

namespace {
/// Schedules the faults of a soak, runs it and prints its outcome.
class Soak {
public:
  Soak(event_base *Base, const EnvironmentInit &Init, Duration FaultPeriod,
       bool Quiet)
      : Base(Base), FaultPeriod(FaultPeriod), Quiet(Quiet), Random(Init.Seed),
        Environment(Base, Init) {}

  /// Runs the whole soak and returns the number of violations.
  size_t run();

private:
  using Action = std::function<void()>;
  void scheduleAfter(Duration After, const std::string &Label, Action Do);
  void scheduleFaults();
  void scheduleHostFault(Duration At);
  void scheduleTargetFault(Duration At);
  void scheduleStoreFault(Duration At);
  void scheduleChange(Duration At);
  void runFor(Duration For);
  uint64_t drawBelow(uint64_t Below) { return this->Random() % Below; }

  event_base *Base;
  Duration FaultPeriod;
  bool Quiet;
  std::mt19937_64 Random;
  SoakEnvironment Environment;
  bool TargetHasFault[TargetCount] = {};
  Time Started;
};

void Soak::scheduleAfter(Duration After, const std::string &Label, Action Do) {
  struct ScheduledAction {
    Action Do;
    std::string Label;
    Soak *Owner;
    int64_t AtMs;
  };
  ScheduledAction *Arg =
      new ScheduledAction{std::move(Do), Label, this, toMillis(After)};
  timeval T = toTimeval(After);
  event_base_once(
      this->Base, -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void *Raw) {
        std::unique_ptr<ScheduledAction> Owned(
            static_cast<ScheduledAction *>(Raw));
        if (!Owned->Owner->Quiet && !Owned->Label.empty()) {
          std::cout << "  " << Owned->AtMs << " ms: " << Owned->Label << "\n";
        }
        Owned->Do();
      },
      Arg, &T);
}

void Soak::scheduleHostFault(Duration At) {
  uint32_t Host = static_cast<uint32_t>(this->drawBelow(HostCount));
  std::string Name = "host " + std::to_string(Host);
  Duration For = millis(static_cast<int64_t>(500 + this->drawBelow(4500)));
  SoakEnvironment &Env = this->Environment;
  switch (this->drawBelow(6)) {
  case 0:
    this->scheduleAfter(At, "kill " + Name,
                        [&Env, Host] { Env.killHost(Host); });
    break;
  case 1:
    this->scheduleAfter(At, "stop " + Name,
                        [&Env, Host] { Env.stopHost(Host); });
    break;
  case 2:
    this->scheduleAfter(At, "freeze " + Name,
                        [&Env, Host] { Env.freezeHost(Host, true); });
    this->scheduleAfter(At + For, "resume " + Name,
                        [&Env, Host] { Env.freezeHost(Host, false); });
    break;
  case 3:
    this->scheduleAfter(At, "kill all hosts", [&Env] {
      for (uint32_t I = 0; I < HostCount; ++I) {
        Env.killHost(I);
      }
    });
    break;
  default: {
    LinkMode Mode =
        static_cast<LinkMode>(1 + this->drawBelow(LinkModeCount - 1));
    this->scheduleAfter(
        At, Name + " to store: " + linkModeName(Mode),
        [&Env, Host, Mode] { Env.setStoreLinkMode(Host, Mode); });
    this->scheduleAfter(At + For, Name + " to store: pass", [&Env, Host] {
      Env.setStoreLinkMode(Host, LinkMode::Pass);
    });
  }
  }
}

// Each target slot has at most one fault at a time.
void Soak::scheduleTargetFault(Duration At) {
  uint32_t Slot = static_cast<uint32_t>(this->drawBelow(TargetCount));
  uint64_t Kind = this->drawBelow(6);
  Duration For = millis(static_cast<int64_t>(500 + this->drawBelow(2500)));
  LinkMode Mode = static_cast<LinkMode>(1 + this->drawBelow(LinkModeCount - 1));
  SoakEnvironment &Env = this->Environment;
  std::string Name = "target " + std::to_string(Slot);
  this->scheduleAfter(At, "", [this, &Env, Slot, Kind, For, Mode, Name] {
    if (this->TargetHasFault[Slot]) {
      return;
    }
    this->TargetHasFault[Slot] = true;
    Action ClearFault = [this, Slot] { this->TargetHasFault[Slot] = false; };
    switch (Kind) {
    case 0:
      this->scheduleAfter(Duration(0), "crash " + Name,
                          [&Env, Slot] { Env.crashTarget(Slot); });
      this->scheduleAfter(For, "",
                          [&Env, Slot] { Env.removeTargetEntry(Slot); });
      this->scheduleAfter(For + millis(100), "start " + Name,
                          [&Env, Slot, ClearFault] {
                            Env.startTarget(Slot);
                            ClearFault();
                          });
      break;
    case 1:
      this->scheduleAfter(Duration(0), "drain " + Name,
                          [&Env, Slot] { Env.drainTarget(Slot); });
      this->scheduleAfter(seconds(5), "end " + Name, [&Env, Slot, ClearFault] {
        Env.endTarget(Slot);
        Env.startTarget(Slot);
        ClearFault();
      });
      break;
    case 4:
      this->scheduleAfter(Duration(0), Name + " says that it leaves",
                          [&Env, Slot] { Env.announceLeaving(Slot); });
      this->scheduleAfter(seconds(6), "end " + Name, [&Env, Slot, ClearFault] {
        Env.endTarget(Slot);
        Env.startTarget(Slot);
        ClearFault();
      });
      break;
    case 5:
      this->scheduleAfter(Duration(0), Name + " pauses",
                          [&Env, Slot, For] { Env.pauseTarget(Slot, For); });
      this->scheduleAfter(For, "", ClearFault);
      break;
    case 2:
      this->scheduleAfter(Duration(0), Name + " loses answers",
                          [&Env, Slot] { Env.loseAnswers(Slot, 0.25); });
      this->scheduleAfter(For, "", [&Env, Slot, ClearFault] {
        Env.loseAnswers(Slot, 0);
        ClearFault();
      });
      break;
    default:
      this->scheduleAfter(
          Duration(0), Name + ": " + linkModeName(Mode),
          [&Env, Slot, Mode] { Env.setTargetLinkMode(Slot, Mode); });
      this->scheduleAfter(For, Name + ": pass", [&Env, Slot, ClearFault] {
        Env.setTargetLinkMode(Slot, LinkMode::Pass);
        ClearFault();
      });
    }
  });
}

void Soak::scheduleStoreFault(Duration At) {
  Duration For = millis(static_cast<int64_t>(500 + this->drawBelow(4500)));
  platform::StoreFaults &F = this->Environment.storeFaults();
  switch (this->drawBelow(4)) {
  case 0:
    this->scheduleAfter(At, "store refuses all calls",
                        [&F] { F.Unavailable = true; });
    this->scheduleAfter(At + For, "store accepts calls",
                        [&F] { F.Unavailable = false; });
    break;
  case 1:
    this->scheduleAfter(At, "store slow", [&F] { F.ReplyDelay = millis(400); });
    this->scheduleAfter(At + For, "store no longer slow",
                        [&F] { F.ReplyDelay = Duration(0); });
    break;
  case 2:
    this->scheduleAfter(At, "store loses answers",
                        [&F] { F.LostReplyRatio = 0.5; });
    this->scheduleAfter(At + For, "store loses no answers",
                        [&F] { F.LostReplyRatio = 0; });
    break;
  default:
    this->scheduleAfter(At, "store discards its watch history",
                        [&F] { F.HistoryGone = true; });
    this->scheduleAfter(At + millis(200), "store keeps its watch history",
                        [&F] { F.HistoryGone = false; });
  }
}

void Soak::scheduleChange(Duration At) {
  SoakEnvironment &Env = this->Environment;
  uint32_t Host = static_cast<uint32_t>(this->drawBelow(HostCount));
  switch (this->drawBelow(5)) {
  case 0:
    this->scheduleAfter(At, "remove an API key",
                        [&Env] { Env.changeConfig(true); });
    break;
  case 1:
    this->scheduleAfter(At, "reload host " + std::to_string(Host),
                        [&Env, Host] { Env.reloadHost(Host, true); });
    break;
  case 2:
    this->scheduleAfter(
        At, "write changed settings of host " + std::to_string(Host),
        [&Env, Host] { Env.reloadHost(Host, false); });
    break;
  case 3:
    this->scheduleAfter(At, "write a malformed target entry",
                        [&Env] { Env.writeMalformedEntry(); });
    break;
  default:
    this->scheduleAfter(At, "publish a configuration version",
                        [&Env] { Env.changeConfig(false); });
  }
}

// The seed determines the whole schedule. Faults come in bursts and overlap.
void Soak::scheduleFaults() {
  Duration At = WarmUp + millis(500);
  while (At < WarmUp + this->FaultPeriod) {
    uint64_t Kind = this->drawBelow(10);
    if (Kind < 3) {
      this->scheduleHostFault(At);
    } else if (Kind < 6) {
      this->scheduleTargetFault(At);
    } else if (Kind < 7) {
      this->scheduleStoreFault(At);
    } else {
      this->scheduleChange(At);
    }
    At += millis(static_cast<int64_t>(
        this->drawBelow(3) == 0 ? 20 : 200 + this->drawBelow(900)));
  }
}

void Soak::runFor(Duration For) {
  Time Until = ProcessClock::now() + For;
  while (ProcessClock::now() < Until) {
    timeval Tick = toTimeval(TickPeriod);
    event_base_loopexit(this->Base, &Tick);
    event_base_loop(this->Base, 0);
    this->Environment.tick();
  }
}

size_t Soak::run() {
  this->scheduleFaults();
  this->runFor(WarmUp);
  this->Environment.startCallers();
  this->runFor(this->FaultPeriod + RecoveryTime);
  size_t RequestsBefore = this->Environment.judge().requestCount();
  size_t CompletedBefore = this->Environment.judge().completedCount();
  this->runFor(seconds(2));
  size_t SentRequests =
      this->Environment.judge().requestCount() - RequestsBefore;
  size_t ServedRequests =
      this->Environment.judge().completedCount() - CompletedBefore;
  this->Environment.finishCallers();
  this->runFor(LastRequestTime);
  this->Environment.disableRestarts();
  for (uint32_t I = 0; I < HostCount; ++I) {
    this->Environment.stopHost(I);
  }
  this->runFor(StopTime);
  std::vector<Violation> Found = this->Environment.judge().violations();
  if (ServedRequests * 4 < SentRequests) {
    Found.push_back({"recover", std::to_string(ServedRequests) + " of " +
                                    std::to_string(SentRequests) +
                                    " requests served after the recovery time, "
                                    "expected at least a quarter"});
  }
  for (uint32_t I = 0; I < HostCount; ++I) {
    if (this->Environment.isHostRunning(I)) {
      Found.push_back({"stop", "host " + std::to_string(I) +
                                   " still runs after the stop time"});
    }
  }
  if (this->Environment.unexpectedExits() > 0) {
    Found.push_back(
        {"ends", std::to_string(this->Environment.unexpectedExits()) +
                     " host processes ended unasked or with an error status"});
  }
  for (const Violation &V : Found) {
    std::cout << "BROKEN " << V.Promise << ": " << V.Details << "\n";
  }
  std::cout << "requests " << this->Environment.judge().requestCount()
            << ", completed " << this->Environment.judge().completedCount()
            << ", resumed " << this->Environment.judge().resumedCounts().first
            << ", gone on " << this->Environment.judge().resumedCounts().second
            << ", at the end " << ServedRequests << " of " << SentRequests
            << ", broken " << Found.size() << "\n";
  return Found.size();
}
} // namespace

int main(int Argc, char **Argv) {
  CLI::App App(
      "Runs gateways under seeded faults and reports broken promises.");
  EnvironmentInit Init;
  Init.Folder = "soak";
  uint64_t Seconds = 12;
  bool Quiet = false;
  App.add_option("--program", Init.Program, "Path of the gateway executable")
      ->required();
  App.add_option("--folder", Init.Folder,
                 "Folder of the hosts' settings and logs");
  App.add_option("--seed", Init.Seed,
                 "Seed of the fault schedule and the requests");
  App.add_option("--seconds", Seconds, "Length of the fault period in seconds");
  App.add_option("--first-port", Init.FirstPort,
                 "First of the 200 ports that are used");
  App.add_option("--callers", Init.Callers, "Number of concurrent callers");
  App.add_flag("--quiet", Quiet,
               "Print only the seed, broken promises and the summary");
  CLI11_PARSE(App, Argc, Argv);
  signal(SIGPIPE, SIG_IGN);
  google::InstallFailureSignalHandler();
  std::filesystem::create_directories(Init.Folder);
  std::cout << "seed " << Init.Seed << "\n";
  event_base *Base = event_base_new();
  size_t ViolationCount = 0;
  try {
    Soak Run(Base, Init, seconds(static_cast<int64_t>(Seconds)), Quiet);
    ViolationCount = Run.run();
  } catch (const std::exception &E) {
    std::cerr << "soak failed: " << E.what() << "\n";
    ViolationCount = 1;
  }
  event_base_free(Base);
  return ViolationCount == 0 ? 0 : ExitViolated;
}
