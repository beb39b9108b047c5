// Entry point of the daemon of one host.
#include "shallotlatch/daemon.h"
#include "shallotlatch/model.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace shallotlatch;

static constexpr int ExitBadSettings = 2;
static constexpr int ExitFailed = 1;

static std::string readFile(const std::string &Path) {
  std::ifstream In(Path);
  std::stringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

int main(int Argc, char **Argv) {
  CLI::App App("Serves callers on one host and shares the work with the "
               "other hosts.");
  std::string Path;
  bool CheckOnly = false;
  App.add_option("--config", Path, "JSON file with this host's settings")
      ->required()
      ->check(CLI::ExistingFile);
  App.add_flag("--check", CheckOnly, "Check the settings file and exit");
  CLI11_PARSE(App, Argc, Argv);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(Argv[0]);
  signal(SIGPIPE, SIG_IGN);
  Settings HostSettings;
  try {
    HostSettings = parseSettings(readFile(Path));
  } catch (const ConfigError &E) {
    for (const std::string &Mistake : E.Mistakes) {
      std::cerr << Path << ": " << Mistake << "\n";
    }
    return ExitBadSettings;
  }
  if (CheckOnly) {
    std::cout << Path << ": settings of host " << HostSettings.Host
              << " are valid\n";
    return 0;
  }
  try {
    Daemon D(HostSettings);
    D.run();
  } catch (const std::exception &E) {
    LOG(ERROR) << "daemon of host " << HostSettings.Host
               << " failed: " << E.what();
    return ExitFailed;
  }
  return 0;
}
