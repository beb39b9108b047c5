/// \file
/// Daemon of one host, as a class for programs that embed it.
#pragma once

#include "shallotlatch/settings.h"

#include <memory>

namespace shallotlatch {

/// Runs all roles of the system on one host. The class is single-threaded: all
/// work except that of `requestStop` is done inside `run`.
class Daemon {
public:
  /// Binds the three listeners. Throws std::runtime_error if one cannot be
  /// bound.
  explicit Daemon(const Settings &Host);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Serves until a graceful stop is complete. SIGTERM and SIGINT request a
  /// graceful stop.
  void run();
  /// Requests a graceful stop. Must be called on the thread of the event loop.
  void requestStop();

private:
  struct Parts;
  std::unique_ptr<Parts> Impl;
};

} // namespace shallotlatch
