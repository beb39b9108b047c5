/// \file
/// Small helpers over sockets and libevent's loop.
#pragma once

#include "shallotlatch/settings.h"

#include <event2/event.h>

#include <memory>
#include <netinet/in.h>
#include <string>

namespace shallotlatch {

sockaddr_in toSockaddr(const Address &Endpoint);
/// Local address of a bound socket.
Address boundAddress(int Fd);
timeval toTimeval(Duration D);
/// Destroys \p Object in the loop's next turn.
void deferDelete(event_base *Base, std::shared_ptr<void> Object);
/// A problem document (RFC 9457).
std::string problemDocument(int Status, const std::string &Title,
                            const std::string &Detail);
/// Time that goes on while the machine is suspended, for the age of beliefs.
Time bootTime();

} // namespace shallotlatch
