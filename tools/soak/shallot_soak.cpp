// A seeded soak: real gateways under faults from outside, judged by what
// callers and targets see.
#include "soak_world.h"

#include "sockets_p.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <csignal>
#include <filesystem>
#include <iostream>

using namespace shallotlatch;
using namespace shallotlatch::soak;

// Hosts list and hear each other before callers come.
static constexpr Duration WarmUp = seconds(3);
// The stated time in which service has to be back after the last fault.
static constexpr Duration RecoveryTime = seconds(12);
static constexpr Duration TickPeriod = millis(100);
// Callers' last requests end by their deadlines.
static constexpr Duration LastRequestTime = millis(2600);
// The grace of a stop, and what a busy machine may add.
static constexpr Duration StopTime = seconds(10);
static constexpr int ExitViolated = 1;

namespace {
class Soak {
public:
  Soak(event_base *Base, const EnvironmentInit &Init, Duration FaultPeriod,
       bool Quiet)
      : Base(Base), FaultPeriod(FaultPeriod), Quiet(Quiet), Random(Init.Seed),
        Environment(Base, Init) {}

  /// Runs to the end; the number of violations.
  size_t run();

private:
  using Action = std::function<void()>;
  void scheduleAfter(Duration After, const std::string &What, Action Do);
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

void Soak::scheduleAfter(Duration After, const std::string &What, Action Do) {
  struct ScheduledAction {
    Action Do;
    std::string What;
    Soak *Owner;
    int64_t AtMs;
  };
  ScheduledAction *Arg =
      new ScheduledAction{std::move(Do), What, this, toMillis(After)};
  timeval T = toTimeval(After);
  event_base_once(
      this->Base, -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void *Raw) {
        std::unique_ptr<ScheduledAction> Owned(
            static_cast<ScheduledAction *>(Raw));
        if (!Owned->Owner->Quiet && !Owned->What.empty()) {
          std::cout << "  " << Owned->AtMs << " ms: " << Owned->What << "\n";
        }
        Owned->Do();
      },
      Arg, &T);
}

void Soak::scheduleHostFault(Duration At) {
  uint32_t Host = static_cast<uint32_t>(this->drawBelow(HostCount));
  std::string Name = "host " + std::to_string(Host);
  Duration For = millis(static_cast<int64_t>(500 + this->drawBelow(4500)));
  SoakEnvironment &W = this->Environment;
  switch (this->drawBelow(6)) {
  case 0:
    this->scheduleAfter(At, "kill " + Name, [&W, Host] { W.killHost(Host); });
    break;
  case 1:
    this->scheduleAfter(At, "stop " + Name, [&W, Host] { W.stopHost(Host); });
    break;
  case 2:
    this->scheduleAfter(At, "freeze " + Name,
                        [&W, Host] { W.freezeHost(Host, true); });
    this->scheduleAfter(At + For, "wake " + Name,
                        [&W, Host] { W.freezeHost(Host, false); });
    break;
  case 3:
    this->scheduleAfter(At, "kill all hosts", [&W] {
      for (uint32_t I = 0; I < HostCount; ++I) {
        W.killHost(I);
      }
    });
    break;
  default: {
    LinkMode Mode =
        static_cast<LinkMode>(1 + this->drawBelow(LinkModeCount - 1));
    this->scheduleAfter(At, Name + " to store: " + linkModeName(Mode),
                        [&W, Host, Mode] { W.setStoreLinkMode(Host, Mode); });
    this->scheduleAfter(At + For, Name + " to store: pass", [&W, Host] {
      W.setStoreLinkMode(Host, LinkMode::Pass);
    });
  }
  }
}

// One trouble at a time for each target's place.
void Soak::scheduleTargetFault(Duration At) {
  uint32_t Slot = static_cast<uint32_t>(this->drawBelow(TargetCount));
  uint64_t Kind = this->drawBelow(4);
  Duration For = millis(static_cast<int64_t>(500 + this->drawBelow(2500)));
  LinkMode Mode = static_cast<LinkMode>(1 + this->drawBelow(LinkModeCount - 1));
  SoakEnvironment &W = this->Environment;
  std::string Name = "target " + std::to_string(Slot);
  this->scheduleAfter(At, "", [this, &W, Slot, Kind, For, Mode, Name] {
    if (this->TargetHasFault[Slot]) {
      return;
    }
    this->TargetHasFault[Slot] = true;
    Action Free = [this, Slot] { this->TargetHasFault[Slot] = false; };
    switch (Kind) {
    case 0:
      this->scheduleAfter(Duration(0), "crash " + Name,
                          [&W, Slot] { W.crashTarget(Slot); });
      this->scheduleAfter(For, "", [&W, Slot] { W.removeTargetEntry(Slot); });
      this->scheduleAfter(For + millis(100), "start " + Name, [&W, Slot, Free] {
        W.startTarget(Slot);
        Free();
      });
      break;
    case 1:
      this->scheduleAfter(Duration(0), "drain " + Name,
                          [&W, Slot] { W.drainTarget(Slot); });
      this->scheduleAfter(seconds(5), "end " + Name, [&W, Slot, Free] {
        W.endTarget(Slot);
        W.startTarget(Slot);
        Free();
      });
      break;
    case 2:
      this->scheduleAfter(Duration(0), Name + " loses answers",
                          [&W, Slot] { W.loseAnswers(Slot, 0.25); });
      this->scheduleAfter(For, "", [&W, Slot, Free] {
        W.loseAnswers(Slot, 0);
        Free();
      });
      break;
    default:
      this->scheduleAfter(
          Duration(0), Name + ": " + linkModeName(Mode),
          [&W, Slot, Mode] { W.setTargetLinkMode(Slot, Mode); });
      this->scheduleAfter(For, Name + ": pass", [&W, Slot, Free] {
        W.setTargetLinkMode(Slot, LinkMode::Pass);
        Free();
      });
    }
  });
}

void Soak::scheduleStoreFault(Duration At) {
  Duration For = millis(static_cast<int64_t>(500 + this->drawBelow(4500)));
  platform::StoreFaults &F = this->Environment.storeFaults();
  switch (this->drawBelow(4)) {
  case 0:
    this->scheduleAfter(At, "store out", [&F] { F.Unavailable = true; });
    this->scheduleAfter(At + For, "store back",
                        [&F] { F.Unavailable = false; });
    break;
  case 1:
    this->scheduleAfter(At, "store slow", [&F] { F.ReplyDelay = millis(400); });
    this->scheduleAfter(At + For, "store quick",
                        [&F] { F.ReplyDelay = Duration(0); });
    break;
  case 2:
    this->scheduleAfter(At, "store loses answers",
                        [&F] { F.LostReplyRatio = 0.5; });
    this->scheduleAfter(At + For, "store answers",
                        [&F] { F.LostReplyRatio = 0; });
    break;
  default:
    this->scheduleAfter(At, "store forgets", [&F] { F.HistoryGone = true; });
    this->scheduleAfter(At + millis(200), "store remembers",
                        [&F] { F.HistoryGone = false; });
  }
}

void Soak::scheduleChange(Duration At) {
  SoakEnvironment &W = this->Environment;
  uint32_t Host = static_cast<uint32_t>(this->drawBelow(HostCount));
  switch (this->drawBelow(5)) {
  case 0:
    this->scheduleAfter(At, "remove a key", [&W] { W.changeConfig(true); });
    break;
  case 1:
    this->scheduleAfter(At, "reload host " + std::to_string(Host),
                        [&W, Host] { W.reloadHost(Host, true); });
    break;
  case 2:
    this->scheduleAfter(At, "settings of host " + std::to_string(Host),
                        [&W, Host] { W.reloadHost(Host, false); });
    break;
  case 3:
    this->scheduleAfter(At, "unreadable entry",
                        [&W] { W.writeMalformedEntry(); });
    break;
  default:
    this->scheduleAfter(At, "new configuration",
                        [&W] { W.changeConfig(false); });
  }
}

// Everything follows from the seed; faults come in series and overlap.
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
  size_t ServedBefore = this->Environment.judge().completedCount();
  this->runFor(seconds(2));
  size_t SentRequests =
      this->Environment.judge().requestCount() - RequestsBefore;
  size_t Served = this->Environment.judge().completedCount() - ServedBefore;
  this->Environment.finishCallers();
  this->runFor(LastRequestTime);
  this->Environment.disableRestarts();
  for (uint32_t I = 0; I < HostCount; ++I) {
    this->Environment.stopHost(I);
  }
  this->runFor(StopTime);
  std::vector<Violation> Found = this->Environment.judge().violations();
  if (Served * 4 < SentRequests) {
    Found.push_back({"recover", std::to_string(Served) + " of " +
                                    std::to_string(SentRequests) + " served"});
  }
  for (uint32_t I = 0; I < HostCount; ++I) {
    if (this->Environment.isHostRunning(I)) {
      Found.push_back({"stop", "host " + std::to_string(I) + " did not end"});
    }
  }
  if (this->Environment.unexpectedExits() > 0) {
    Found.push_back(
        {"ends", std::to_string(this->Environment.unexpectedExits()) +
                     " host processes ended by themselves"});
  }
  for (const Violation &V : Found) {
    std::cout << "BROKEN " << V.Promise << ": " << V.What << "\n";
  }
  std::cout << "requests " << this->Environment.judge().requestCount()
            << ", completed " << this->Environment.judge().completedCount()
            << ", at the end " << Served << " of " << SentRequests
            << ", broken " << Found.size() << "\n";
  return Found.size();
}
} // namespace

int main(int Argc, char **Argv) {
  CLI::App App("Runs gateways under seeded faults and judges their promises.");
  EnvironmentInit Init;
  Init.Folder = "soak";
  uint64_t Seconds = 12;
  bool Quiet = false;
  App.add_option("--program", Init.Program, "The gateway")->required();
  App.add_option("--folder", Init.Folder, "For settings and logs");
  App.add_option("--seed", Init.Seed, "Of the schedule and the callers");
  App.add_option("--seconds", Seconds, "Length of the faults");
  App.add_option("--first-port", Init.FirstPort, "200 ports are used");
  App.add_option("--callers", Init.Callers, "Connections at once");
  App.add_flag("--quiet", Quiet, "Print the outcome only");
  CLI11_PARSE(App, Argc, Argv);
  signal(SIGPIPE, SIG_IGN);
  google::InstallFailureSignalHandler();
  std::filesystem::create_directories(Init.Folder);
  std::cout << "seed " << Init.Seed << "\n";
  event_base *Base = event_base_new();
  size_t Broken = 0;
  try {
    Soak Run(Base, Init, seconds(static_cast<int64_t>(Seconds)), Quiet);
    Broken = Run.run();
  } catch (const std::exception &E) {
    std::cerr << "soak: " << E.what() << "\n";
    Broken = 1;
  }
  event_base_free(Base);
  return Broken == 0 ? 0 : ExitViolated;
}
