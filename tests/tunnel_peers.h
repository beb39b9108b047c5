/// \file
/// What tests of tunnels over sockets need: targets and peers of the asking
/// host, on its event loop.
#pragma once

#include "relay_harness.h"
#include "sockets_p.h"
#include "tunnel_server_p.h"

#include <CppUTest/TestHarness.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <set>
#include <sys/socket.h>
#include <unistd.h>

namespace shallotlatch {

inline const HostId Asking{11};
inline const HostId Passing{22};
inline const HostId Scripted{33};

/// A port that refuses connections while it lives.
class RefusingPort {
public:
  RefusingPort() {
    sockaddr_in Any = toSockaddr(Address{"127.0.0.1", 0});
    CHECK_EQUAL(
        0, bind(this->Fd, reinterpret_cast<sockaddr *>(&Any), sizeof(Any)));
    this->At = boundAddress(this->Fd);
  }
  ~RefusingPort() { close(this->Fd); }
  RefusingPort(const RefusingPort &) = delete;
  RefusingPort &operator=(const RefusingPort &) = delete;
  Address At;

private:
  int Fd = socket(AF_INET, SOCK_STREAM, 0);
};

/// A target with small buffers that reads and writes only as a test says.
class RawTarget {
public:
  RawTarget() {
    int Small = 64 * 1024;
    setsockopt(this->Listener, SOL_SOCKET, SO_RCVBUF, &Small, sizeof(Small));
    setsockopt(this->Listener, SOL_SOCKET, SO_SNDBUF, &Small, sizeof(Small));
    sockaddr_in Any = toSockaddr(Address{"127.0.0.1", 0});
    CHECK_EQUAL(0, bind(this->Listener, reinterpret_cast<sockaddr *>(&Any),
                        sizeof(Any)));
    listen(this->Listener, 16);
    this->At = boundAddress(this->Listener);
  }
  ~RawTarget() {
    close(this->Listener);
    if (this->Fd >= 0) {
      close(this->Fd);
    }
  }
  RawTarget(const RawTarget &) = delete;
  RawTarget &operator=(const RawTarget &) = delete;
  bool accept() {
    this->Fd = accept4(this->Listener, nullptr, nullptr, SOCK_NONBLOCK);
    return this->Fd >= 0;
  }
  ssize_t read() {
    char Part[4096];
    return recv(this->Fd, Part, sizeof(Part), 0);
  }
  ssize_t write(const std::string &Text) {
    return ::send(this->Fd, Text.data(), Text.size(), MSG_NOSIGNAL);
  }
  Address At;

private:
  int Listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  int Fd = -1;
};

/// A peer whose relay decides on its tunnels.
class PassingPeer : public TunnelServerEvents {
public:
  PassingPeer(RelayHarness &H, uint32_t MaxTunnels, const MemoryBudgetInit &M)
      : Directory(H.Store, this->Ignored, 1), Budget(M) {
    FrontendInit Front;
    Front.ListenAddress = Address{"127.0.0.1", 0};
    this->Directory.start(FleetHost(), bootTime());
    this->Relay = std::make_unique<RequestRelay>(H.Base, Front, RelayInit(),
                                                 this->Directory);
    this->Relay->configure(H.Store.Config);
    this->startServer(H, MaxTunnels);
  }
  void startServer(RelayHarness &H, uint32_t MaxTunnels) {
    this->Server.reset();
    this->Server = std::make_unique<TunnelServer>(
        H.Base, TunnelServerInit{Address{"127.0.0.1", 0}, MaxTunnels}, *this,
        this->Budget);
  }
  std::variant<Address, TunnelRefusal>
  onTunnelRequest(const TunnelRequest &Request) override {
    CHECK(Request.From == Asking);
    return this->Relay->tunnelTo(Request);
  }
  TunnelRefusal onTunnelConnectFailed(const TunnelRequest &Request) override {
    return this->Relay->tunnelFailure(Request);
  }
  void onTunnelHead(const TunnelRequest &Request,
                    const HttpHead &Head) override {
    this->Relay->observeTunnelHead(Request, Head);
  }
  TunnelPeer entry() const { return {Passing, this->Server->address(), false}; }

private:
  IgnoringDirectoryEvents Ignored;
  FleetDirectory Directory;

public:
  MemoryBudget Budget;
  std::unique_ptr<RequestRelay> Relay;
  std::unique_ptr<TunnelServer> Server;
};

/// A peer that sends given bytes once it has a request for a tunnel.
class ScriptedPeer {
public:
  explicit ScriptedPeer(event_base *Base) : Base(Base) {
    sockaddr_in Any = toSockaddr(Address{"127.0.0.1", 0});
    auto OnAccept = [](evconnlistener *, evutil_socket_t Fd, sockaddr *, int,
                       void *Arg) {
      ScriptedPeer *P = static_cast<ScriptedPeer *>(Arg);
      bufferevent *Socket =
          bufferevent_socket_new(P->Base, Fd, BEV_OPT_CLOSE_ON_FREE);
      bufferevent_setcb(Socket, &ScriptedPeer::onRead, nullptr,
                        &ScriptedPeer::onEvent, P);
      bufferevent_enable(Socket, EV_READ | EV_WRITE);
      P->Open.insert(Socket);
    };
    this->Listener = evconnlistener_new_bind(
        Base, OnAccept, this, LEV_OPT_CLOSE_ON_FREE, 16,
        reinterpret_cast<sockaddr *>(&Any), sizeof(Any));
  }
  ~ScriptedPeer() {
    while (!this->Open.empty()) {
      this->end(*this->Open.begin(), false);
    }
    evconnlistener_free(this->Listener);
  }
  ScriptedPeer(const ScriptedPeer &) = delete;
  ScriptedPeer &operator=(const ScriptedPeer &) = delete;
  TunnelPeer entry() const {
    return {Scripted, boundAddress(evconnlistener_get_fd(this->Listener)),
            true};
  }
  /// Answers all that ask and were not answered.
  void answerWaiting() {
    for (bufferevent *Socket : std::set<bufferevent *>(this->Open)) {
      bufferevent_write(Socket, this->Bytes.data(), this->Bytes.size());
    }
  }

  std::string Bytes;
  /// Number of bytes that are sent before the request comes.
  size_t BytesBeforeRequest = SIZE_MAX;
  TargetStep::Action AfterSend = TargetStep::Action::Hold;
  bool Answers = true;
  uint32_t Asked = 0;
  std::string Received; ///< What followed the requests for tunnels.

private:
  static void onRead(bufferevent *Socket, void *Arg) {
    ScriptedPeer *P = static_cast<ScriptedPeer *>(Arg);
    evbuffer *In = bufferevent_get_input(Socket);
    std::string Text(evbuffer_get_length(In), '\0');
    evbuffer_remove(In, Text.data(), Text.size());
    if (!P->Known.insert(Socket).second) {
      P->Received += Text;
      if (P->BytesBeforeRequest < P->Bytes.size()) {
        P->send(Socket, P->Bytes.substr(P->BytesBeforeRequest), true);
      }
      return;
    }
    // Loopback delivers so short a message whole.
    ++P->Asked;
    CHECK(decodeTunnelRequest(Text.substr(FrameHeadBytes)).has_value());
    if (!P->Answers) {
      return;
    }
    P->send(Socket, P->Bytes.substr(0, P->BytesBeforeRequest),
            P->BytesBeforeRequest >= P->Bytes.size());
  }
  void send(bufferevent *Socket, const std::string &Part, bool Last) {
    ::send(bufferevent_getfd(Socket), Part.data(), Part.size(), MSG_NOSIGNAL);
    if (Last && (this->AfterSend == TargetStep::Action::Close ||
                 this->AfterSend == TargetStep::Action::Reset)) {
      this->end(Socket, this->AfterSend == TargetStep::Action::Reset);
    }
  }
  static void onEvent(bufferevent *Socket, short, void *Arg) {
    static_cast<ScriptedPeer *>(Arg)->end(Socket, false);
  }
  void end(bufferevent *Socket, bool Reset) {
    if (Reset) {
      linger Now{1, 0};
      setsockopt(bufferevent_getfd(Socket), SOL_SOCKET, SO_LINGER, &Now,
                 sizeof(Now));
    }
    this->Open.erase(Socket);
    this->Known.erase(Socket);
    bufferevent_free(Socket);
  }
  event_base *Base;
  evconnlistener *Listener = nullptr;
  std::set<bufferevent *> Open;
  std::set<bufferevent *> Known;
};

} // namespace shallotlatch
