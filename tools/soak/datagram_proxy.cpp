#include "datagram_proxy.h"

#include "sockets_p.h"

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <sys/socket.h>

namespace shallotlatch::soak {

// Largest datagram in bytes.
static constexpr size_t MaxDatagramBytes = 64 * 1024;

DatagramProxy::DatagramProxy(event_base *Base, const Address &At,
                             const Address &Upstream)
    : Upstream(toSockaddr(Upstream)),
      Fd(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      ReadEvent(event_new(Base, this->Fd, EV_READ | EV_PERSIST,
                          &DatagramProxy::onReadable, this)) {
  sockaddr_in Own = toSockaddr(At);
  if (bind(this->Fd, reinterpret_cast<sockaddr *>(&Own), sizeof(Own)) != 0) {
    throw std::runtime_error("cannot bind " + At.text() + ": " +
                             std::strerror(errno));
  }
  event_add(this->ReadEvent, nullptr);
}

DatagramProxy::~DatagramProxy() {
  event_free(this->ReadEvent);
  evutil_closesocket(this->Fd);
}

void DatagramProxy::onReadable(evutil_socket_t Fd, short, void *Self) {
  DatagramProxy &P = *static_cast<DatagramProxy *>(Self);
  char Buffer[MaxDatagramBytes];
  ssize_t Length = 0;
  while ((Length = recv(Fd, Buffer, sizeof(Buffer), 0)) > 0) {
    if (P.Passing) {
      sendto(Fd, Buffer, static_cast<size_t>(Length), 0,
             reinterpret_cast<sockaddr *>(&P.Upstream), sizeof(P.Upstream));
    }
  }
}

} // namespace shallotlatch::soak
