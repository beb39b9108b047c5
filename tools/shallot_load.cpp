// Sends load, checks every answer, and measures.
#include "load_judge.h"
#include "load_probe.h"
#include "load_run.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace shallotlatch;

static std::string readFile(const std::string &Path) {
  std::ifstream In(Path);
  std::stringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

static std::vector<Address> parseAll(const std::vector<std::string> &Texts) {
  std::vector<Address> All;
  for (const std::string &Text : Texts) {
    All.push_back(parseAddress(Text));
  }
  return All;
}

static int runMix(const LoadInit &Init, const std::string &ConfigPath,
                  const std::string &Label) {
  event_base *Base = event_base_new();
  LoadResult Result;
  {
    LoadRun Run(Base, Init);
    Run.run();
    Result = evaluateLoad(*parseConfig(readFile(ConfigPath)), Init.Requests,
                          Run.records());
  }
  event_base_free(Base);
  std::cout << formatResult(Result, toSeconds(Init.Length)) << Label << ": "
            << Result.Sent << " sent, " << Result.Completed << " completed, "
            << Result.Lost << " lost, " << Result.DuplicateRuns << " doubled, "
            << Result.FalseVerdicts << " untruthful\n";
  return Result.passed() && Result.Sent > 0 && Result.Completed > 0 ? 0 : 1;
}

int main(int Argc, char **Argv) {
  signal(SIGPIPE, SIG_IGN);
  CLI::App App("Sends load to shallotlatch hosts on loopback and counts.");
  App.require_subcommand(1);
  std::vector<std::string> Hosts;
  std::string Deployment = "pauta";
  std::string ConfigPath;
  std::string Label = "load";
  double Seconds = 20;
  LoadInit Init;
  CLI::App *MixCommand = App.add_subcommand("mix", "A deployment's mix");
  MixCommand->add_option("--hosts", Hosts, "Caller listeners, IP:port")
      ->delimiter(',')
      ->required();
  MixCommand->add_option("--deployment", Deployment, "pauta or haneul")
      ->capture_default_str();
  MixCommand->add_option("--config", ConfigPath, "The configuration in force")
      ->required()
      ->check(CLI::ExistingFile);
  MixCommand->add_option("--rate", Init.RatePerSecond, "Requests/s")
      ->check(CLI::Range(0.1, 2000.0))
      ->capture_default_str();
  MixCommand->add_option("--seconds", Seconds, "Length")
      ->check(CLI::Range(0.1, 600.0))
      ->capture_default_str();
  MixCommand->add_option("--seed", Init.Seed, "Seed")->capture_default_str();
  MixCommand->add_option("--label", Label, "Word before the last line")
      ->capture_default_str();

  ProbeInit Probe;
  std::string HostAddress;
  std::string TargetAddress;
  CLI::App *Latency = App.add_subcommand(
      "latency", "Added latency of an idle path, against direct calls");
  CLI::App *Flood = App.add_subcommand("flood", "Requests/s of one host");
  for (CLI::App *Command : {Latency, Flood}) {
    Command->add_option("--host", HostAddress, "Caller listener, IP:port")
        ->required();
    Command->add_option("--kind", Probe.Kind, "An idempotent service kind")
        ->required();
    Command->add_option("--customer", Probe.Customer, "Customer")->required();
    Command->add_option("--count", Probe.Count, "Calls")
        ->check(CLI::Range(1, 200000))
        ->capture_default_str();
  }
  Latency->add_option("--direct", TargetAddress, "The service itself, IP:port")
      ->required();
  Flood->add_option("--connections", Probe.Connections, "Calls at once")
      ->check(CLI::Range(1, 512))
      ->capture_default_str();
  CLI11_PARSE(App, Argc, Argv);
  try {
    if (MixCommand->parsed()) {
      Init.Hosts = parseAll(Hosts);
      Init.Requests = deploymentMix(Deployment);
      Init.Length = Duration(static_cast<int64_t>(Seconds * 1e6));
      return runMix(Init, ConfigPath, Label);
    }
    Probe.HostAddress = parseAddress(HostAddress);
    if (Latency->parsed()) {
      Probe.TargetAddress = parseAddress(TargetAddress);
      std::cout << probeLatency(Probe);
    } else {
      std::cout << probeFlood(Probe);
    }
  } catch (const std::exception &E) {
    std::cerr << "shallot-load: " << E.what() << "\n";
    return 2;
  }
  return 0;
}
