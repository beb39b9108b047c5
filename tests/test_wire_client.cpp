// Tests of the client of targets and of the store, over sockets.
#include "sockets_p.h"
#include "wire_client_p.h"

#include <CppUTest/TestHarness.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace shallotlatch;

namespace {

struct CallRecorder : public OutboundCallEvents {
  bool onSending(OutboundCallId) override { return this->MaySend; }
  ResponseHeadAction onHead(OutboundCallId, HttpHead &) override {
    return ResponseHeadAction::Take;
  }
  void onBody(OutboundCallId, std::string_view) override {}
  void onEnd(OutboundCallId, OutboundCallEnd End) override {
    this->Ends.push_back(End);
  }
  std::vector<OutboundCallEnd> Ends;
  bool MaySend = true;
};

} // namespace

TEST_GROUP(WireClient) {
  event_base *Base = event_base_new();
  CallRecorder Calls;
  std::unique_ptr<PooledHttpClient> Client =
      std::make_unique<PooledHttpClient>(Base, Calls);
  int Listener = socket(AF_INET, SOCK_STREAM, 0);
  Address At;

  void setup() override {
    sockaddr_in Any = toSockaddr(Address{"127.0.0.1", 0});
    CHECK_EQUAL(
        0, bind(Listener, reinterpret_cast<sockaddr *>(&Any), sizeof(Any)));
    CHECK_EQUAL(0, listen(Listener, 16));
    At = boundAddress(Listener);
  }
  void teardown() override {
    Client.reset();
    event_base_loop(Base, EVLOOP_NONBLOCK);
    event_base_free(Base);
    close(Listener);
  }
  void start() {
    OutboundCall Call;
    Call.To = At;
    Call.Bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    Client->start(std::move(Call));
  }
  /// Accepts a connection and answers the call on it.
  int answer(int Fd = -1, const std::string &Extra = "") {
    for (int I = 0; I < 20; ++I) {
      event_base_loop(Base, EVLOOP_NONBLOCK);
    }
    if (Fd < 0) {
      Fd = accept(Listener, nullptr, nullptr);
    }
    std::string Bytes =
        "HTTP/1.1 200 OK\r\n" + Extra + "Content-Length: 0\r\n\r\n";
    CHECK_EQUAL(static_cast<ssize_t>(Bytes.size()),
                ::send(Fd, Bytes.data(), Bytes.size(), 0));
    size_t Before = Calls.Ends.size();
    for (int I = 0; I < 1000 && Calls.Ends.size() == Before; ++I) {
      event_base_loop(Base, EVLOOP_ONCE);
    }
    CHECK(Calls.Ends.back() == OutboundCallEnd::Complete);
    return Fd;
  }
};

// Guards against the use of a freed list of idle connections: the server has
// closed the last ones, and the loop has not seen it yet.
TEST(WireClient, aCallAfterAllIdleConnectionsWereClosedOpensAnother) {
  for (int Count = 1; Count <= 3; ++Count) {
    std::vector<int> Open;
    for (int I = 0; I < Count; ++I) {
      start();
    }
    for (int I = 0; I < Count; ++I) {
      Open.push_back(answer());
    }
    CHECK_EQUAL(Count, static_cast<int>(Client->stats().Idle));
    for (int Fd : Open) {
      close(Fd);
    }
    start();
    CHECK_EQUAL(0, Client->stats().Idle);
    close(answer());
    for (int I = 0; I < 20; ++I) {
      event_base_loop(Base, EVLOOP_NONBLOCK);
    }
  }
}

// Guards against the same where the connections are too old.
TEST(WireClient, aCallAfterAllIdleConnectionsExpiredOpensAnother) {
  start();
  int Fd = answer(-1, "Keep-Alive: timeout=0\r\n");
  start();
  close(answer());
  close(Fd);
}

// libevent reports nothing if connect() itself fails, here for want of a route.
TEST(WireClient, aConnectionThatFailsAtOnceEndsItsCall) {
  OutboundCall Call;
  Call.To = Address{"224.0.0.1", 9};
  Call.ConnectTimeout = seconds(3600);
  Client->start(std::move(Call));
  CHECK(Calls.Ends.empty());
  for (int I = 0; I < 20; ++I) {
    event_base_loop(Base, EVLOOP_NONBLOCK);
  }
  CHECK_EQUAL(1, Calls.Ends.size());
  CHECK(isUnsent(Calls.Ends.back()));
}

// Guards against the use of a freed connection (seen by the sanitizer).
TEST(WireClient, aTunnelThatOpensForARequestThatMayNotBeSentIsClosed) {
  Calls.MaySend = false;
  OutboundCall Call;
  Call.Through = TunnelHop{At, {HostId{1}, "a", 1}};
  Client->start(std::move(Call));
  event_base_loop(Base, EVLOOP_NONBLOCK);
  int Fd = accept(Listener, nullptr, nullptr);
  std::string Open = encodeTunnelAnswer(TunnelAnswer());
  CHECK_EQUAL(static_cast<ssize_t>(Open.size()),
              ::send(Fd, Open.data(), Open.size(), 0));
  for (int I = 0; I < 1000 && Client->stats().Active > 0; ++I) {
    event_base_loop(Base, EVLOOP_ONCE);
  }
  CHECK_EQUAL(0, Client->stats().Active);
  CHECK(Calls.Ends.empty());
  close(Fd);
}

// Guards against a time that overflows.
TEST(WireClient, aKeepAliveTimeOutOfRangeIsBounded) {
  for (const char *Timeout : {"9223372036854775807", "-9223372036854775808",
                              "99999999999999999999", "x", ""}) {
    start();
    close(answer(-1, std::string("Keep-Alive: timeout=") + Timeout + "\r\n"));
    for (int I = 0; I < 20; ++I) {
      event_base_loop(Base, EVLOOP_NONBLOCK);
    }
  }
}
