#include "tcp_options_p.h"

#include <cerrno>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace shallotlatch {

// A server that answers no TCP keepalive probe for about three seconds is
// considered lost. Callers leave a stream after a pause; these options take
// whole seconds, so detection within half of that pause is not possible.
static constexpr int TcpKeepAliveIdleSeconds = 1;
static constexpr int TcpKeepAliveIntervalSeconds = 1;
static constexpr int TcpKeepAliveProbeCount = 2;
static constexpr unsigned TcpUserTimeoutMs = 2500;

void setTcpOptions(int Fd) {
  int One = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  setsockopt(Fd, SOL_SOCKET, SO_KEEPALIVE, &One, sizeof(One));
  setsockopt(Fd, IPPROTO_TCP, TCP_KEEPIDLE, &TcpKeepAliveIdleSeconds,
             sizeof(int));
  setsockopt(Fd, IPPROTO_TCP, TCP_KEEPINTVL, &TcpKeepAliveIntervalSeconds,
             sizeof(int));
  setsockopt(Fd, IPPROTO_TCP, TCP_KEEPCNT, &TcpKeepAliveProbeCount,
             sizeof(int));
  setsockopt(Fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &TcpUserTimeoutMs,
             sizeof(TcpUserTimeoutMs));
}

bool isAllReceived(int Fd) {
  int Unconfirmed = 0;
  int Error = 0;
  socklen_t Length = sizeof(Error);
  bool Pending = ioctl(Fd, SIOCOUTQ, &Unconfirmed) == 0 && Unconfirmed > 0;
  bool Failed =
      getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Error, &Length) == 0 && Error != 0;
  return !Pending && !Failed;
}

bool isUnanswered(int Error) {
  return Error == ETIMEDOUT || Error == EHOSTUNREACH || Error == ENETUNREACH;
}

} // namespace shallotlatch
