// Stand-ins of the platform's store, engines and services, for tests.
#include "standin_store.h"
#include "standin_targets.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

using namespace shallotlatch;

static void runUntilSignal(event_base *Base) {
  event *SignalEvents[2] = {nullptr, nullptr};
  int Signals[2] = {SIGTERM, SIGINT};
  for (int I = 0; I < 2; ++I) {
    SignalEvents[I] = evsignal_new(
        Base, Signals[I],
        [](evutil_socket_t, short, void *Arg) {
          event_base_loopbreak(static_cast<event_base *>(Arg));
        },
        Base);
    event_add(SignalEvents[I], nullptr);
  }
  event_base_dispatch(Base);
  event_free(SignalEvents[0]);
  event_free(SignalEvents[1]);
}

int main(int Argc, char **Argv) {
  CLI::App App("Stand-ins for what shallotlatch talks to. For tests only.");
  App.require_subcommand(1);
  std::string Ip = "127.0.0.1";
  App.add_option("--ip", Ip, "IP number to listen on");

  StoreInit Store;
  uint16_t StorePort = 7100;
  CLI::App *StoreCommand = App.add_subcommand("store", "The object API");
  StoreCommand->add_option("--port", StorePort, "Port")->capture_default_str();
  StoreCommand->add_option("--writes", Store.WritesPerSecond, "Writes/s")
      ->capture_default_str();
  StoreCommand->add_option("--reads", Store.ReadsPerSecond, "Reads/s")
      ->capture_default_str();
  StoreCommand->add_option("--seed", Store.Seed, "Seed of its faults")
      ->capture_default_str();

  EngineInit Engine;
  std::vector<uint16_t> EnginePorts;
  std::vector<uint16_t> ServicePorts;
  uint32_t WorkMs = 5;
  CLI::App *Targets =
      App.add_subcommand("targets", "Engines and services, a port each");
  Targets->add_option("--engine", EnginePorts, "Ports of engines");
  Targets->add_option("--service", ServicePorts, "Ports of services");
  Targets
      ->add_option("--prefill", Engine.PrefillTokensPerSecond,
                   "Prompt tokens/s")
      ->capture_default_str();
  Targets->add_option("--decode-ms", Engine.DecodeMs, "Step time, ms")
      ->capture_default_str();
  Targets->add_option("--batch", Engine.MaxBatch, "Largest batch")
      ->capture_default_str();
  Targets->add_option("--work-ms", WorkMs, "Time of a service call, ms")
      ->capture_default_str();
  CLI11_PARSE(App, Argc, Argv);

  signal(SIGPIPE, SIG_IGN);
  event_base *Base = event_base_new();
  try {
    std::unique_ptr<StandinStore> StoreServer;
    std::vector<std::unique_ptr<StandinEngine>> Engines;
    std::vector<std::unique_ptr<StandinService>> Services;
    if (StoreCommand->parsed()) {
      Store.ListenAddress = Address{Ip, StorePort};
      StoreServer = std::make_unique<StandinStore>(Base, Store);
    }
    for (uint16_t Port : EnginePorts) {
      Engines.push_back(
          std::make_unique<StandinEngine>(Base, Address{Ip, Port}, Engine));
    }
    for (uint16_t Port : ServicePorts) {
      Services.push_back(std::make_unique<StandinService>(
          Base, Address{Ip, Port}, millis(WorkMs)));
    }
    runUntilSignal(Base);
  } catch (const std::exception &E) {
    std::cerr << "shallot-standin: " << E.what() << "\n";
    return 1;
  }
  return 0;
}
