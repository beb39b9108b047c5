// Runs one host inside a program of your own: settings are filled in code
// instead of a file, and the daemon serves until it is asked to stop.
#include "shallotlatch/daemon.h"

#include <csignal>
#include <iostream>

using namespace shallotlatch;

int main() {
  signal(SIGPIPE, SIG_IGN);
  Settings Host;
  Host.Host = "embedded-0";
  Host.Region = "serra";
  Host.Domain = "serra-a";
  Host.Caller = parseAddress("127.0.0.1:7900");
  Host.Admin = parseAddress("127.0.0.1:7901");
  Host.Peer = parseAddress("127.0.0.1:7902");
  Host.Store = parseAddress("127.0.0.1:7100");
  Host.PeerKey = "embedded-peer-key-1";
  Host.AdminKey = "embedded-admin-key-1";
  try {
    Daemon D(Host);
    std::cout << "serving on " << Host.Caller.text()
              << "; stop with SIGTERM or SIGINT\n"
              << std::flush;
    D.run();
  } catch (const std::exception &E) {
    std::cerr << "embedded: " << E.what() << "\n";
    return 1;
  }
  return 0;
}
