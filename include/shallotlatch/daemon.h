/// \file
/// One host's daemon as an object, for programs that embed it.
#pragma once

#include "shallotlatch/settings.h"

#include <memory>

namespace shallotlatch {

/// Runs all of the system's roles on one host. Single-threaded: everything
/// happens inside `run`, apart from `requestStop`.
class Daemon {
public:
  /// Binds the three listeners; throws std::runtime_error when it cannot.
  explicit Daemon(const Settings &Host);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Serves until a graceful stop has ended; SIGTERM and SIGINT request one.
  void run();
  /// Requests a graceful stop, from the loop's own thread.
  void requestStop();

private:
  struct Parts;
  std::unique_ptr<Parts> Impl;
};

} // namespace shallotlatch
