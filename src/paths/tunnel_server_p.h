/// \file
/// Passes calls of peers on to targets that they cannot reach themselves. It
/// opens and splices connections, and leaves all decisions on the calls to the
/// peers: it changes nothing of what a tunnel carries, and reads the head of
/// the answer only for what the target says of itself.
#pragma once

#include "http_message_p.h"
#include "memory_budget_p.h"
#include "tunnel_codec_p.h"

#include "shallotlatch/settings.h"

#include <event2/event.h>

#include <memory>
#include <unordered_map>
#include <variant>

struct evconnlistener;

namespace shallotlatch {

/// Decides on the tunnels that peers ask for.
class TunnelServerEvents {
public:
  virtual ~TunnelServerEvents() = default;
  /// Returns the address of the target, or why there is no tunnel to it.
  virtual std::variant<Address, TunnelRefusal>
  onTunnelRequest(const TunnelRequest &Request) = 0;
  /// The connection to the target failed. Returns what the peer is told.
  virtual TunnelRefusal onTunnelConnectFailed(const TunnelRequest &Request) = 0;
  /// The target began its answer.
  virtual void onTunnelHead(const TunnelRequest &Request,
                            const HttpHead &Head) = 0;
};

struct TunnelServerInit {
  Address ListenAddress;
  /// Tunnels at a time; each takes two connections.
  uint32_t MaxTunnels = 64;
};

struct TunnelServerStats {
  uint32_t Open = 0;
  uint64_t Opened = 0;
  uint64_t Refused = 0;
};

/// Serves the tunnels of peers.
class TunnelServer {
public:
  /// Throws std::runtime_error if it cannot listen. \p Budget counts the
  /// connections and their memory.
  TunnelServer(event_base *Base, const TunnelServerInit &Init,
               TunnelServerEvents &Events, MemoryBudget &Budget);
  ~TunnelServer();
  TunnelServer(const TunnelServer &) = delete;
  TunnelServer &operator=(const TunnelServer &) = delete;

  /// Address that the server listens on.
  Address address() const;
  /// From now on refuses new tunnels; those that are open go on.
  void stop() { this->Stopping = true; }
  bool idle() const { return this->Tunnels.empty(); }
  TunnelServerStats stats() const;

  struct Tunnel;

private:
  friend struct Tunnel;
  static void onAccept(evconnlistener *, evutil_socket_t Fd, sockaddr *, int,
                       void *Self);
  void remove(Tunnel &T);

  event_base *Base;
  TunnelServerInit Init;
  TunnelServerEvents &Events;
  MemoryBudget &Budget;
  evconnlistener *Listener = nullptr;
  std::unordered_map<uint64_t, std::unique_ptr<Tunnel>> Tunnels;
  uint64_t NextId = 1;
  bool Stopping = false;
  TunnelServerStats Counts;
};

} // namespace shallotlatch
