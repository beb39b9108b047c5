/// \file
/// A relay between a scripted caller and scripted targets, all on one loop on
/// loopback. Nothing is timed: the loop runs until what is awaited happens, or
/// fails the test after a number of turns.
#pragma once

#include "relay_p.h"

#include <event2/event.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct bufferevent;
struct evconnlistener;

namespace shallotlatch {

/// What a scripted target does with the next request that it reads.
struct TargetStep {
  enum class Action : uint8_t { Keep, Close, Reset, Hold };
  std::string Bytes; ///< `@ID@` stands for the request's id.
  Action AfterSend = Action::Keep;
  bool EarlyAnswer = false; ///< Answers once the head was read.
};

class ScriptedTarget {
public:
  ScriptedTarget(event_base *Base, std::string Instance);
  ~ScriptedTarget();
  ScriptedTarget(const ScriptedTarget &) = delete;
  ScriptedTarget &operator=(const ScriptedTarget &) = delete;

  TargetEntry entry() const;
  std::deque<TargetStep> Steps;      ///< Taken in order; the last repeats.
  std::vector<std::string> Requests; ///< Every request, whole, as it came.
  uint32_t AcceptedConnections = 0;
  uint32_t ClosedConnections = 0;
  struct TargetConnection;

private:
  friend struct TargetConnection;
  event_base *Base;
  std::string Instance;
  evconnlistener *Listener = nullptr;
  Address ListenAddress;
  std::vector<std::unique_ptr<TargetConnection>> TargetConnections;
};

/// A store that holds one configuration, confirmed when the test says so.
class FixedStore : public DirectoryStore {
public:
  std::shared_ptr<const RoutingConfig> Config;
  void list(DirectoryKind Kind, const std::string &After, Reply Done) override;
  void watch(DirectoryKind, uint64_t, Duration, ReadConsistency,
             Reply) override {}
  void registerHost(const FleetHost &, Reply) override {}
  void removeHost(const std::string &, Reply) override {}
};

/// Directory events that lead nowhere.
class IgnoringDirectoryEvents : public DirectoryEvents {
public:
  void onConfig(std::shared_ptr<const RoutingConfig>) override {}
  void onTarget(const TargetEntry &) override {}
  void onTargetGone(const std::string &) override {}
  void onHost(const FleetHost &) override {}
  void onHostGone(const std::string &) override {}
  void onStoreReachable(bool) override {}
  void onConfirmStarted() override {}
  void onConfirmed(uint64_t) override {}
};

class RelayHarness {
public:
  /// \p TrustedAge: age up to which the relay trusts its configuration.
  explicit RelayHarness(Duration MaxConfigAge = seconds(3600));
  ~RelayHarness();
  RelayHarness(const RelayHarness &) = delete;
  RelayHarness &operator=(const RelayHarness &) = delete;

  ScriptedTarget &target(const std::string &Instance);
  /// Opens a caller's connection; returns its number.
  size_t connect();
  size_t connect(const Address &To);
  void send(size_t Caller, const std::string &Bytes);
  void close(size_t Caller);
  /// Everything that a caller received so far.
  const std::string &received(size_t Caller) const;
  bool closed(size_t Caller) const;
  /// Runs the loop until \p Condition holds; false: it never did.
  bool runUntil(const std::function<bool()> &Condition);
  /// Sends a request on a new connection and waits for text in its answer, or
  /// for the connection's end.
  std::string sendRequest(const std::string &Path, const std::string &Id,
                          const std::string &AwaitedText,
                          const std::string &Extra = "",
                          const std::string &Key = "good");

  /// The same at another relay.
  std::string sendRequestTo(const Address &To, const std::string &Path,
                            const std::string &Id,
                            const std::string &AwaitedText,
                            const std::string &Extra = "",
                            const std::string &Key = "good");

  RequestRelay &relay() { return *this->Relay; }
  event_base *Base;
  FixedStore Store;

private:
  struct Caller {
    bufferevent *Socket = nullptr;
    std::string Received;
    bool Closed = false;
  };
  IgnoringDirectoryEvents Ignored;
  std::unique_ptr<FleetDirectory> Directory;
  std::unique_ptr<RequestRelay> Relay;
  std::vector<std::unique_ptr<ScriptedTarget>> Targets;
  std::vector<std::unique_ptr<Caller>> Callers;
};

/// An answer with length and proof of origin.
std::string validAnswer(const std::string &Body, const char *Status = "200 OK");
std::string streamAnswerHead();
/// One chunk that holds one event.
std::string streamEventChunk(int Number);

} // namespace shallotlatch
