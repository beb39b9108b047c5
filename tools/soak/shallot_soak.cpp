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
static constexpr Duration LastRequests = millis(2600);
// The grace of a stop, and what a busy machine may add.
static constexpr Duration StopTime = seconds(10);
static constexpr int ExitViolated = 1;

namespace {
class Soak {
public:
  Soak(event_base *Base, const WorldInit &Init, Duration Length, bool Quiet)
      : Base(Base), Length(Length), Quiet(Quiet), Random(Init.Seed),
        Earth(Base, Init) {}

  /// Runs to the end; the number of violations.
  size_t run();

private:
  using Step = std::function<void()>;
  void later(Duration After, const std::string &What, Step Do);
  void schedule();
  void hostFault(Duration At);
  void targetFault(Duration At);
  void storeFault(Duration At);
  void change(Duration At);
  void turn(Duration For);
  uint64_t draw(uint64_t Below) { return this->Random() % Below; }

  event_base *Base;
  Duration Length;
  bool Quiet;
  std::mt19937_64 Random;
  World Earth;
  bool TargetBusy[TargetsAtOnce] = {};
  Time Started;
};

void Soak::later(Duration After, const std::string &What, Step Do) {
  struct Once {
    Step Do;
    std::string What;
    Soak *Of;
    int64_t AtMs;
  };
  Once *Arg = new Once{std::move(Do), What, this, toMillis(After)};
  timeval T = toTimeval(After);
  event_base_once(
      this->Base, -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void *Raw) {
        std::unique_ptr<Once> Owned(static_cast<Once *>(Raw));
        if (!Owned->Of->Quiet && !Owned->What.empty()) {
          std::cout << "  " << Owned->AtMs << " ms: " << Owned->What << "\n";
        }
        Owned->Do();
      },
      Arg, &T);
}

void Soak::hostFault(Duration At) {
  uint32_t Host = static_cast<uint32_t>(this->draw(Hosts));
  std::string Name = "host " + std::to_string(Host);
  Duration For = millis(static_cast<int64_t>(500 + this->draw(4500)));
  World &W = this->Earth;
  switch (this->draw(6)) {
  case 0:
    this->later(At, "kill " + Name, [&W, Host] { W.killHost(Host); });
    break;
  case 1:
    this->later(At, "stop " + Name, [&W, Host] { W.stopHost(Host); });
    break;
  case 2:
    this->later(At, "freeze " + Name, [&W, Host] { W.freezeHost(Host, true); });
    this->later(At + For, "wake " + Name,
                [&W, Host] { W.freezeHost(Host, false); });
    break;
  case 3:
    this->later(At, "kill all hosts", [&W] {
      for (uint32_t I = 0; I < Hosts; ++I) {
        W.killHost(I);
      }
    });
    break;
  default: {
    LinkMode Mode = static_cast<LinkMode>(1 + this->draw(LinkModes - 1));
    this->later(At, Name + " to store: " + name(Mode),
                [&W, Host, Mode] { W.storeLink(Host, Mode); });
    this->later(At + For, Name + " to store: pass",
                [&W, Host] { W.storeLink(Host, LinkMode::Pass); });
  }
  }
}

// One trouble at a time for each target's place.
void Soak::targetFault(Duration At) {
  uint32_t Slot = static_cast<uint32_t>(this->draw(TargetsAtOnce));
  uint64_t Kind = this->draw(4);
  Duration For = millis(static_cast<int64_t>(500 + this->draw(2500)));
  LinkMode Mode = static_cast<LinkMode>(1 + this->draw(LinkModes - 1));
  World &W = this->Earth;
  std::string Name = "target " + std::to_string(Slot);
  this->later(At, "", [this, &W, Slot, Kind, For, Mode, Name] {
    if (this->TargetBusy[Slot]) {
      return;
    }
    this->TargetBusy[Slot] = true;
    Step Free = [this, Slot] { this->TargetBusy[Slot] = false; };
    switch (Kind) {
    case 0:
      this->later(Duration(0), "crash " + Name,
                  [&W, Slot] { W.crashTarget(Slot); });
      this->later(For, "", [&W, Slot] { W.removeEntry(Slot); });
      this->later(For + millis(100), "start " + Name, [&W, Slot, Free] {
        W.startTarget(Slot);
        Free();
      });
      break;
    case 1:
      this->later(Duration(0), "drain " + Name,
                  [&W, Slot] { W.drainTarget(Slot); });
      this->later(seconds(5), "end " + Name, [&W, Slot, Free] {
        W.endTarget(Slot);
        W.startTarget(Slot);
        Free();
      });
      break;
    case 2:
      this->later(Duration(0), Name + " loses answers",
                  [&W, Slot] { W.loseAnswers(Slot, 0.25); });
      this->later(For, "", [&W, Slot, Free] {
        W.loseAnswers(Slot, 0);
        Free();
      });
      break;
    default:
      this->later(Duration(0), Name + ": " + name(Mode),
                  [&W, Slot, Mode] { W.targetLink(Slot, Mode); });
      this->later(For, Name + ": pass", [&W, Slot, Free] {
        W.targetLink(Slot, LinkMode::Pass);
        Free();
      });
    }
  });
}

void Soak::storeFault(Duration At) {
  Duration For = millis(static_cast<int64_t>(500 + this->draw(4500)));
  platform::StoreFaults &F = this->Earth.storeFaults();
  switch (this->draw(4)) {
  case 0:
    this->later(At, "store out", [&F] { F.Unavailable = true; });
    this->later(At + For, "store back", [&F] { F.Unavailable = false; });
    break;
  case 1:
    this->later(At, "store slow", [&F] { F.ReplyDelay = millis(400); });
    this->later(At + For, "store quick", [&F] { F.ReplyDelay = Duration(0); });
    break;
  case 2:
    this->later(At, "store loses answers", [&F] { F.LostReplyRatio = 0.5; });
    this->later(At + For, "store answers", [&F] { F.LostReplyRatio = 0; });
    break;
  default:
    this->later(At, "store forgets", [&F] { F.HistoryGone = true; });
    this->later(At + millis(200), "store remembers",
                [&F] { F.HistoryGone = false; });
  }
}

void Soak::change(Duration At) {
  World &W = this->Earth;
  uint32_t Host = static_cast<uint32_t>(this->draw(Hosts));
  switch (this->draw(5)) {
  case 0:
    this->later(At, "remove a key", [&W] { W.changeConfig(true); });
    break;
  case 1:
    this->later(At, "reload host " + std::to_string(Host),
                [&W, Host] { W.reloadHost(Host, true); });
    break;
  case 2:
    this->later(At, "settings of host " + std::to_string(Host),
                [&W, Host] { W.reloadHost(Host, false); });
    break;
  case 3:
    this->later(At, "unreadable entry", [&W] { W.writeForeignEntry(); });
    break;
  default:
    this->later(At, "new configuration", [&W] { W.changeConfig(false); });
  }
}

// Everything follows from the seed; faults come in series and overlap.
void Soak::schedule() {
  Duration At = WarmUp + millis(500);
  while (At < WarmUp + this->Length) {
    uint64_t Kind = this->draw(10);
    if (Kind < 3) {
      this->hostFault(At);
    } else if (Kind < 6) {
      this->targetFault(At);
    } else if (Kind < 7) {
      this->storeFault(At);
    } else {
      this->change(At);
    }
    At += millis(
        static_cast<int64_t>(this->draw(3) == 0 ? 20 : 200 + this->draw(900)));
  }
}

void Soak::turn(Duration For) {
  Time Until = ProcessClock::now() + For;
  while (ProcessClock::now() < Until) {
    timeval Tick = toTimeval(TickPeriod);
    event_base_loopexit(this->Base, &Tick);
    event_base_loop(this->Base, 0);
    this->Earth.tick();
  }
}

size_t Soak::run() {
  this->schedule();
  this->turn(WarmUp);
  this->Earth.startCallers();
  this->turn(this->Length + RecoveryTime);
  size_t Before = this->Earth.judge().requests();
  size_t ServedBefore = this->Earth.judge().completed();
  this->turn(seconds(2));
  size_t Asked = this->Earth.judge().requests() - Before;
  size_t Served = this->Earth.judge().completed() - ServedBefore;
  this->Earth.finishCallers();
  this->turn(LastRequests);
  this->Earth.letHostsEnd();
  for (uint32_t I = 0; I < Hosts; ++I) {
    this->Earth.stopHost(I);
  }
  this->turn(StopTime);
  std::vector<Violation> Found = this->Earth.judge().verdict();
  if (Served * 4 < Asked) {
    Found.push_back({"recover", std::to_string(Served) + " of " +
                                    std::to_string(Asked) + " served"});
  }
  for (uint32_t I = 0; I < Hosts; ++I) {
    if (this->Earth.hostRuns(I)) {
      Found.push_back({"stop", "host " + std::to_string(I) + " did not end"});
    }
  }
  if (this->Earth.ownEnds() > 0) {
    Found.push_back({"ends", std::to_string(this->Earth.ownEnds()) +
                                 " host processes ended by themselves"});
  }
  for (const Violation &V : Found) {
    std::cout << "BROKEN " << V.Promise << ": " << V.What << "\n";
  }
  std::cout << "requests " << this->Earth.judge().requests() << ", completed "
            << this->Earth.judge().completed() << ", at the end " << Served
            << " of " << Asked << ", broken " << Found.size() << "\n";
  return Found.size();
}
} // namespace

int main(int Argc, char **Argv) {
  CLI::App App("Runs gateways under seeded faults and judges their promises.");
  WorldInit Init;
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
