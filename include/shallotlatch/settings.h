/// \file
/// Settings of one host's daemon, from its JSON file.
#pragma once

#include "shallotlatch/types.h"

#include <string>
#include <vector>

namespace shallotlatch {

/// Where one process listens or connects, by IP number.
struct Address {
  std::string Ip;
  uint16_t Port = 0;
  std::string text() const {
    return this->Ip + ":" + std::to_string(this->Port);
  }
};

/// Parses `IP:port`; throws std::invalid_argument naming the text.
Address parseAddress(const std::string &Text);

/// Safe defaults for all that is not an address.
struct Settings {
  std::string Host;
  std::string Region;
  std::string Domain;
  Address Caller;
  Address Admin;
  Address Peer;
  Address Store;
  std::vector<Address> Seeds; ///< Peers to ask when the store is out at start.
  std::string PeerKey;        ///< Shared by all hosts; at least 16 characters.
  std::string AdminKey; ///< Bearer key of operators; at least 16 characters.
  uint32_t MaxHeaderBytes = 16 * 1024;
  uint32_t MaxBodyBytes = 4 * 1024 * 1024;
  uint32_t MaxConnections = 4096;
  Duration IdleTimeout = seconds(120);
  Duration DrainTimeout = seconds(120);
  double StoreCallsPerSecond = 20;
};

/// Parses and validates; throws ConfigError with all mistakes.
Settings parseSettings(const std::string &Json);

} // namespace shallotlatch
