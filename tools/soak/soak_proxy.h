/// \file
/// A proxy on loopback that harms the connections that pass through it.
#pragma once

#include "shallotlatch/settings.h"

#include <event2/event.h>

#include <memory>
#include <unordered_map>

struct bufferevent;
struct evconnlistener;

namespace shallotlatch::soak {

enum class LinkMode : uint8_t {
  Pass,
  Delay,    ///< Bytes pass a quarter of a second late.
  Silent,   ///< Nothing passes, nothing is closed.
  OneWay,   ///< Only bytes towards the upstream pass.
  ResetAll, ///< Open connections are reset, new ones too.
};
constexpr int LinkModeCount = 5;
const char *linkModeName(LinkMode Mode);

class SoakProxy {
public:
  SoakProxy(event_base *Base, const Address &At, const Address &Upstream);
  ~SoakProxy();
  SoakProxy(const SoakProxy &) = delete;
  SoakProxy &operator=(const SoakProxy &) = delete;
  void setMode(LinkMode Mode);

private:
  struct Connection;
  void closeConnection(Connection &P, bool Reset);
  static void onAccept(evconnlistener *, evutil_socket_t Fd, sockaddr *, int,
                       void *Self);

  event_base *Base;
  Address Upstream;
  evconnlistener *Listener = nullptr;
  LinkMode Mode = LinkMode::Pass;
  std::unordered_map<Connection *, std::unique_ptr<Connection>> Connections;
};

} // namespace shallotlatch::soak
