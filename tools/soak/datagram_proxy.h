/// \file
/// A proxy of datagrams on loopback that can lose them.
#pragma once

#include "shallotlatch/settings.h"

#include <event2/event.h>

#include <netinet/in.h>

namespace shallotlatch::soak {

/// Listens on one address and sends each datagram on to an upstream. Nothing
/// goes back, since hosts answer to the addresses that they read in the store.
class DatagramProxy {
public:
  /// Throws std::runtime_error if \p At cannot be bound.
  DatagramProxy(event_base *Base, const Address &At, const Address &Upstream);
  ~DatagramProxy();
  DatagramProxy(const DatagramProxy &) = delete;
  DatagramProxy &operator=(const DatagramProxy &) = delete;
  /// Whether datagrams are sent on; they are lost otherwise.
  void setPassing(bool Passes) { this->Passing = Passes; }

private:
  static void onReadable(evutil_socket_t Fd, short, void *Self);

  sockaddr_in Upstream;
  int Fd;
  event *ReadEvent;
  bool Passing = true;
};

} // namespace shallotlatch::soak
