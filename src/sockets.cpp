#include "sockets_p.h"

#include <arpa/inet.h>
#include <ctime>
#include <event2/bufferevent.h>
#include <nlohmann/json.hpp>

namespace shallotlatch {

sockaddr_in toSockaddr(const Address &Endpoint) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Endpoint.Port);
  inet_pton(AF_INET, Endpoint.Ip.c_str(), &Result.sin_addr);
  return Result;
}

Address boundAddress(int Fd) {
  sockaddr_in Bound{};
  socklen_t Length = sizeof(Bound);
  getsockname(Fd, reinterpret_cast<sockaddr *>(&Bound), &Length);
  char Text[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &Bound.sin_addr, Text, sizeof(Text));
  return Address{Text, ntohs(Bound.sin_port)};
}

timeval toTimeval(Duration D) {
  timeval Result;
  Result.tv_sec = D.count() / 1000000;
  Result.tv_usec = D.count() % 1000000;
  return Result;
}

void deferDelete(event_base *Base, std::shared_ptr<void> Object) {
  auto *Owner = new std::shared_ptr<void>(std::move(Object));
  timeval Now{0, 0};
  auto Destroy = [](evutil_socket_t, short, void *Arg) {
    delete static_cast<std::shared_ptr<void> *>(Arg);
  };
  event_base_once(Base, -1, EV_TIMEOUT, Destroy, Owner, &Now);
}

// libevent reports no event if connect() itself fails, as it does without a
// route or a free port.
void connectSocket(bufferevent *Socket, const Address &To) {
  sockaddr_in At = toSockaddr(To);
  if (bufferevent_socket_connect(Socket, reinterpret_cast<sockaddr *>(&At),
                                 sizeof(At)) != 0) {
    bufferevent_trigger_event(Socket, BEV_EVENT_ERROR, BEV_OPT_DEFER_CALLBACKS);
  }
}

std::string problemDocument(int Status, const std::string &Title,
                            const std::string &Detail) {
  nlohmann::ordered_json Body{
      {"title", Title}, {"status", Status}, {"detail", Detail}};
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Time bootTime() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return Time(seconds(Now.tv_sec) + Duration(Now.tv_nsec / 1000));
}

} // namespace shallotlatch
