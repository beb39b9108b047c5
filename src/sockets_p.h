/// \file
/// Helper functions for sockets, the libevent loop and error responses.
#pragma once

#include "shallotlatch/settings.h"

#include <event2/event.h>

#include <memory>
#include <netinet/in.h>
#include <string>

struct bufferevent;

namespace shallotlatch {

sockaddr_in toSockaddr(const Address &Endpoint);
/// Returns the local address of a bound socket.
Address boundAddress(int Fd);
timeval toTimeval(Duration D);
/// Destroys \p Object in the next iteration of the event loop.
void deferDelete(event_base *Base, std::shared_ptr<void> Object);
/// Connects \p Socket. Each failure comes as an event from the event loop, one
/// that is known at once too.
void connectSocket(bufferevent *Socket, const Address &To);
/// Returns a problem document (RFC 9457) as JSON.
std::string problemDocument(int Status, const std::string &Title,
                            const std::string &Detail);
/// Returns the time since boot, including time in which the machine was
/// suspended. It measures the age of data read from the store.
Time bootTime();

} // namespace shallotlatch
