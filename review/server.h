/// \file
/// Stand-in of a server behind the system.
#pragma once

#include "record.h"
#include "store.h"
#include "wire.h"

#include <condition_variable>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review {

class Server;

/// What a server is, and where.
struct ServerInit {
  std::string Id;
  std::string Service;
  std::string Version = "v1";
  std::string Zone = "zone-a";
  Endpoint At;
  uint32_t Slots = 8;
  uint32_t Queue = 48; ///< Requests that may wait for a slot.
  bool IsEngine = false;
  bool RecordsArrivals = true;
};

/// A request as its server sees it.
struct Arrival {
  Server &At;
  const Message &Request;
  Link &Caller;
  std::string Id;
};

/// Answers a request that has a slot. Returns false if the connection cannot be
/// used any more.
using Work = std::function<bool(Arrival &)>;

/// Runs requests, as many at once as it has slots, one at a time on each
/// connection. Rejects requests for another instance and those for which its
/// queue is full.
class Server {
public:
  Server(ServerInit Init, Store &Registry, Record &Log, Work Run);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  const ServerInit &init() const { return this->Init; }
  /// Listens, and then registers itself. Returns false if it cannot listen.
  bool start();
  /// Reports `draining` to the store, which has accepted it on return.
  void reportDraining();
  /// Removes the entry.
  void removeEntry();
  /// Ends the process: all its connections break and nothing listens.
  void end();
  /// Time at which the store accepted that the server is draining or gone; the
  /// epoch if it is neither.
  TimePoint leftAt();
  bool ended();

private:
  void accept();
  void serve(Link &Caller);
  bool handle(Arrival &A);
  void registerEntry(const char *State);

  ServerInit Init;
  Store &Registry;
  Record &Log;
  Work Run;
  uint64_t Born = 0;
  int Listener = -1;
  std::mutex Mutex;
  std::condition_variable SlotFree;
  uint32_t Running = 0;
  uint32_t Waiting = 0;
  bool Ended = false;
  bool Leaving = false;
  TimePoint LeftAt;
  std::set<Link *> Links;
  uint32_t Serving = 0; ///< Threads that serve a connection.
  std::condition_variable Served;
  std::thread Acceptor;
};

/// Fields that every answer of a server has.
std::vector<HeaderField> answerFields(const Arrival &A);

} // namespace review
