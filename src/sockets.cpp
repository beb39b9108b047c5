#include "sockets_p.h"

#include <arpa/inet.h>
#include <ctime>
#include <nlohmann/json.hpp>

namespace shallotlatch {

sockaddr_in toSockaddr(const Address &At) {
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(At.Port);
  inet_pton(AF_INET, At.Ip.c_str(), &To.sin_addr);
  return To;
}

Address boundAddress(int Fd) {
  sockaddr_in At{};
  socklen_t Length = sizeof(At);
  getsockname(Fd, reinterpret_cast<sockaddr *>(&At), &Length);
  char Text[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &At.sin_addr, Text, sizeof(Text));
  return Address{Text, ntohs(At.sin_port)};
}

timeval toTimeval(Duration D) {
  timeval T;
  T.tv_sec = D.count() / 1000000;
  T.tv_usec = D.count() % 1000000;
  return T;
}

void deferDelete(event_base *Base, std::shared_ptr<void> Object) {
  auto *Held = new std::shared_ptr<void>(std::move(Object));
  timeval Now{0, 0};
  auto Destroy = [](evutil_socket_t, short, void *Arg) {
    delete static_cast<std::shared_ptr<void> *>(Arg);
  };
  event_base_once(Base, -1, EV_TIMEOUT, Destroy, Held, &Now);
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
