// Runs one host inside a program of your own: the program fills in the settings
// instead of reading a file, and the daemon serves until SIGTERM or SIGINT.
#include "shallotlatch/daemon.h"

#include <csignal>
#include <iostream>

using namespace shallotlatch;

int main() {
  signal(SIGPIPE, SIG_IGN);
  Settings HostSettings;
  HostSettings.Host = "embedded-0";
  HostSettings.Region = "serra";
  HostSettings.Domain = "serra-a";
  HostSettings.Caller = parseAddress("127.0.0.1:7900");
  HostSettings.Admin = parseAddress("127.0.0.1:7901");
  HostSettings.Peer = parseAddress("127.0.0.1:7902");
  HostSettings.Store = parseAddress("127.0.0.1:7100");
  HostSettings.PeerKey = "embedded-peer-key-1";
  HostSettings.AdminKey = "embedded-admin-key-1";
  try {
    Daemon D(HostSettings);
    std::cout << "serving on " << HostSettings.Caller.text()
              << "; stop with SIGTERM or SIGINT\n"
              << std::flush;
    D.run();
  } catch (const std::exception &E) {
    std::cerr << "embedded: " << E.what() << "\n";
    return 1;
  }
  return 0;
}
