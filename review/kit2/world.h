// Stand-ins of the platform: its store, servers, clients, and the machines that
// run the gateway's processes. All but those run in one thread.
#ifndef REVIEW_KIT2_WORLD_H
#define REVIEW_KIT2_WORLD_H

#include "http.h"
#include "loop.h"

#include <deque>
#include <fstream>
#include <list>
#include <nlohmann/json.hpp>
#include <set>
#include <sys/types.h>
#include <vector>

namespace review2 {

using nlohmann::json;

// Writes lines to record.txt in the folder of the case.
class Record {
public:
  explicit Record(const std::string &Path) : Out(Path) {}
  void line(const std::string &Text);

private:
  std::ofstream Out;
};

// The platform's metadata store.
class Store {
public:
  explicit Store(Loop &Owner);
  ~Store();
  uint16_t port() const { return this->Port; }
  // Writes as the operator or a server does.
  void put(const std::string &Kind, const std::string &Name,
           const json &Specification);
  void erase(const std::string &Kind, const std::string &Name);
  bool has(const std::string &Kind, const std::string &Name);
  // Calls get 503 while this is set.
  bool Busy = false;

private:
  struct Object {
    uint64_t Revision = 0;
    uint64_t Created = 0;
    json Specification;
    json Status;
  };
  struct Event {
    uint64_t Revision = 0;
    std::string Kind;
    json Shown;
  };
  struct Watch {
    Connection *At = nullptr;
    std::string Kind;
    uint64_t Since = 0;
    int64_t Until = 0;
  };
  void onRequest(Connection &C, const Message &M);
  void write(Connection &C, const Message &M, const std::string &Kind,
             const std::string &Name);
  json show(const std::string &Kind, const std::string &Name);
  void changed(const std::string &Kind, const std::string &Name, bool Deleted);
  bool answerWatch(const Watch &W, bool Final);
  void tick();
  static void answer(Connection &C, int Status, const std::string &Body);

  Loop &Owner;
  int Fd;
  uint16_t Port;
  uint64_t Revision = 10;
  std::map<std::string, std::map<std::string, Object>> Objects;
  std::deque<Event> History;
  std::list<std::unique_ptr<Connection>> Connections;
  std::vector<Watch> Watches;
};

struct ServerInit {
  std::string Identifier;
  std::string Service;
  std::string Zone;
  std::string Version = "v1";
  unsigned Slots = 8;
};

// A request that runs at a server.
struct Run {
  Message Request;
  Connection *At = nullptr;
  bool KeepAlive = true;
  uint64_t Number = 0;
};

// One server. It registers in the store and serves one request at a time on a
// connection.
class Server {
public:
  Server(Loop &Owner, Store &Registry, Record &Log, ServerInit Init);
  ~Server();
  const ServerInit &init() const { return this->Init; }
  // Begins to accept requests. The entry is written RegisterAfterMs later.
  void start(int64_t RegisterAfterMs);
  // The process ends: its sockets close, nothing is told to anybody.
  void crash();
  void setVersion(const std::string &Version) { this->Init.Version = Version; }
  bool isUp() const { return this->Fd >= 0; }
  size_t connections() const;
  size_t running() const { return this->Runs.size(); }
  // Returns a run that has not ended; otherwise nullptr.
  Run *find(uint64_t Number) {
    auto It = this->Runs.find(Number);
    return It == this->Runs.end() ? nullptr : &It->second;
  }
  // Called with each request that the server begins to run.
  std::function<void(Server &, Run &)> OnRun;
  // Keep-Alive timeout that answers name, in seconds; 0 names none. Idle
  // connections are closed after it.
  int KeepAliveS = 0;
  // Each run is recorded.
  bool LogsRuns = true;
  // Requests that wait for a slot; more are turned away.
  size_t MostWaiting = 0;
  // Header fields of all answers, each with its line end.
  std::string MoreFields;
  // Called when a request was turned away for want of room.
  std::function<void(Server &)> OnTurnedAway;

  std::string stamp(const Run &R) const;
  std::string head(const Run &R, int Status, const std::string &Framing) const;
  void answer(Run &R, int Status, const std::string &Body);
  // Sends events First..Last, one each GapMs, then the end of the stream.
  void stream(Run &R, unsigned First, unsigned Last, int64_t GapMs);

private:
  struct Peer {
    std::unique_ptr<Connection> At;
    bool Busy = false;
    int64_t IdleSince = 0;
  };
  void endProcess();
  void onAccept(int Accepted);
  void onData(Peer &P);
  void run(Peer &P, Message Request);
  void turnAway(Peer &P, const Message &Request, bool IsOther);
  void runWaiting();
  void beat();
  void nextEvent(uint64_t Number, unsigned Next, unsigned Last, int64_t GapMs);
  void ended(uint64_t Number, bool Close);
  Peer *peerOf(const Connection *At);
  void sweep();

  Loop &Owner;
  Store &Registry;
  Record &Log;
  ServerInit Init;
  int Fd = -1;
  uint16_t Port = 0;
  uint64_t Life = 0; // Number of the present start.
  uint64_t Sequence = 0;
  int64_t Born = 0;
  bool Registered = false;
  std::list<Peer> Peers;
  std::map<uint64_t, Run> Runs;
  std::deque<std::pair<Connection *, Message>> Waiting;
  uint64_t NextRun = 1;
};

// A client attempt on a connection of its own.
class Client {
public:
  Client(Loop &Owner, uint16_t Port, const std::string &Bytes);
  AnswerReader Reader;
  bool Closed = false; // The connection has ended.
  int64_t EndedAt = 0; // When the answer was complete or the connection ended.
  Connection &connection() { return *this->At; }
  bool done() const { return this->Closed || this->Reader.complete(); }

private:
  std::unique_ptr<Connection> At;
};

struct GatewayInit {
  std::string Name;
  std::string Zone;
  unsigned MemoryMb = 260;
  std::string Features =
      "base,drain,config,cost,retry,recover,engine,stream,tenants,quota,"
      "platform";
};

// A machine of the system with its process.
class Gateway {
public:
  Gateway(const std::string &Folder, const Store &Registry, GatewayInit Init);
  ~Gateway();
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;
  void start();
  void signal(int Number) const;
  // SIGKILL; waits for the end.
  void kill();
  bool isAlive();
  uint16_t port() const { return this->Caller; }
  uint16_t readyPort() const { return this->Ready; }
  const GatewayInit &init() const { return this->Init; }
  // Resident memory in MB; 0 if the process is gone.
  double memoryMb() const;
  std::string logPath() const;

private:
  std::string Folder;
  GatewayInit Init;
  uint16_t Store;
  uint16_t Caller;
  uint16_t Ready;
  uint16_t Peer;
  uint16_t Metrics;
  pid_t Pid = 0;
};

// Asks for readiness until it is 200.
bool waitReady(Loop &Owner, Gateway &G, int64_t Ms);

// A folder that is removed at the end.
class TemporaryFolder {
public:
  TemporaryFolder();
  ~TemporaryFolder();
  std::string Path;
};

std::string freshId();

} // namespace review2

#endif
