/// \file
/// Settings of the daemon on one host, read from its JSON file.
#pragma once

#include "shallotlatch/types.h"

#include <string>
#include <vector>

namespace shallotlatch {

/// IPv4 address and port on which a process listens or to which it connects.
struct Address {
  std::string Ip;
  uint16_t Port = 0;
  std::string text() const {
    return this->Ip + ":" + std::to_string(this->Port);
  }
};

/// Parses `IP:port`. Throws std::invalid_argument with the text in its message.
Address parseAddress(const std::string &Text);

/// Settings of one host. Names, addresses and keys are required; every other
/// setting has a safe default.
struct Settings {
  std::string Host; ///< Name of the host.
  std::string Region;
  std::string Domain; ///< Failure domain of the host.
  Address Caller;     ///< Listen address for callers.
  Address Admin;      ///< Listen address for operators.
  Address Peer;       ///< Listen address for peers.
  Address Store;      ///< Address of the platform's store.
  /// Peers to which the daemon connects at start, for the case that the store
  /// is unavailable then. Optional.
  std::vector<Address> Seeds;
  std::string PeerKey;  ///< Key shared by all hosts, at least 16 characters.
  std::string AdminKey; ///< Bearer key of operators, at least 16 characters.
  uint32_t MaxHeaderBytes = 16 * 1024;
  uint32_t MaxBodyBytes = 4 * 1024 * 1024;
  uint32_t MaxConnections = 4096; ///< Maximum number of open caller requests.
  Duration IdleTimeout = seconds(120);
  /// Maximum time from the request to stop to the end of the process.
  Duration DrainTimeout = seconds(120);
  double StoreCallsPerSecond = 20; ///< Rate limit of calls to the store.
};

/// Parses and validates settings. Throws ConfigError with all mistakes.
Settings parseSettings(const std::string &Json);

} // namespace shallotlatch
