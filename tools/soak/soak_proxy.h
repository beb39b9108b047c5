/// \file
/// A TCP proxy on loopback that injects faults into the connections through it.
#pragma once

#include "shallotlatch/settings.h"

#include <event2/event.h>

#include <memory>
#include <unordered_map>

struct bufferevent;
struct evconnlistener;

namespace shallotlatch::soak {

/// How the proxy treats its connections.
enum class LinkMode : uint8_t {
  Pass,     ///< The proxy forwards all bytes at once.
  Delay,    ///< The proxy forwards bytes 250 ms late.
  Silent,   ///< The proxy forwards nothing and closes nothing.
  OneWay,   ///< The proxy forwards only bytes to the upstream.
  ResetAll, ///< The proxy resets open and new connections.
};
constexpr int LinkModeCount = 5;
const char *linkModeName(LinkMode Mode);

/// What becomes of connections that are not open yet.
enum class NewLinks : uint8_t {
  Accepted,
  Refused,    ///< No socket listens.
  Unanswered, ///< Connecting takes until the client gives up.
};

/// Listens on one address and connects each accepted connection to an upstream.
class SoakProxy {
public:
  SoakProxy(event_base *Base, const Address &At, const Address &Upstream);
  ~SoakProxy();
  SoakProxy(const SoakProxy &) = delete;
  SoakProxy &operator=(const SoakProxy &) = delete;
  /// Applies \p Mode to open and to new connections.
  void setMode(LinkMode Mode);
  /// Leaves open connections alone.
  void setNewLinks(NewLinks Next);

private:
  struct Connection;
  void listen();
  /// Fills the listener's queue, so that the kernel drops further requests for
  /// a connection.
  void fillQueue();
  void closeConnection(Connection &P, bool Reset);
  static void onAccept(evconnlistener *, evutil_socket_t Fd, sockaddr *, int,
                       void *Self);

  event_base *Base;
  Address At;
  Address Upstream;
  evconnlistener *Listener = nullptr;
  int QueueFiller = -1; ///< Socket that takes the only place in the queue.
  LinkMode Mode = LinkMode::Pass;
  std::unordered_map<Connection *, std::unique_ptr<Connection>> Connections;
};

} // namespace shallotlatch::soak
