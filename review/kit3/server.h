/// \file
/// Stand-in of a server of the platform. What it runs is up to a handler.
#pragma once

#include "net.h"
#include "record.h"
#include "store.h"

#include <atomic>
#include <functional>

namespace review3 {

struct ServerInit {
  std::string Id;
  std::string Service;
  std::string Zone;
  std::string Version = "v1";
  uint32_t Slots = 8;
  int64_t HeartbeatMs = 1200;
};

/// A request that a server has accepted, and the connection for its answer.
struct Run {
  const Head &Request;
  const std::string &Body;
  Wire &Out;
  std::string Id;      ///< Of the client attempt.
  std::string Server;  ///< Id of the server.
  std::string Version; ///< Of the process that runs it.
  /// Returns the fields that each answer of a server has.
  std::string fields(bool Stamped) const;
};

/// Answers a run. Returns whether the connection stays open.
using Handler = std::function<bool(const Run &)>;

class Server {
public:
  Server(Store &Platform, Record &Log, const ServerInit &Init, Handler Work);
  /// Starts a process at the server's address.
  void start(const std::string &Version);
  /// Writes the entry of the process that runs now, and renews it with each
  /// heartbeat.
  void enter();
  /// Ends the process: all its connections break, and nobody listens.
  void crash();
  const std::string &id() const { return this->Init.Id; }
  uint32_t runs() const { return this->Runs; }

private:
  void accept(int Listener, uint32_t Process, const std::string &Version);
  void serve(int Fd, uint32_t Process, const std::string &Version);
  void writeEntry();

  Store &Platform;
  Record &Log;
  ServerInit Init;
  Handler Work;
  uint16_t Port;
  OpenSockets Sockets;
  std::mutex Lock;
  int Listener = -1;
  std::atomic<uint32_t> Process{0}; ///< Even: none runs.
  std::atomic<uint32_t> Runs{0};
  std::string Version;
  int64_t Born = 0;
  uint64_t Sequence = 0;
  std::atomic<uint32_t> EnteredAs{0};
};

/// Returns a handler that answers with a short body after some time.
Handler plainWork(Record &Log, int64_t WorkMs);
/// Returns a handler that answers with a stream of \p Events events, one each
/// \p EventMs, which goes on after the event that the request names.
Handler streamWork(Record &Log, uint32_t Events, int64_t EventMs);

} // namespace review3
