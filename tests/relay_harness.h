/// \file
/// A harness that runs a relay between scripted callers and scripted targets on
/// one event loop, over loopback. No step waits for a fixed time: the loop runs
/// until the awaited condition holds, or gives up after a number of iterations,
/// so that the test's check fails.
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

/// The response of a scripted target to the next request that it reads.
struct TargetStep {
  /// What the target does with the connection after it sent the bytes. Keep and
  /// Hold leave it open; Hold marks a response that is not complete. HalfClose
  /// sends nothing more and leaves the rest of the request unread.
  enum class Action : uint8_t { Keep, Close, Reset, Hold, HalfClose };
  std::string Bytes; ///< Bytes to send; each `@ID@` becomes the request's id.
  Action AfterSend = Action::Keep;
  bool EarlyAnswer = false; ///< The target answers before it reads the body.
};

/// A target on loopback that answers requests by a list of steps.
class ScriptedTarget {
public:
  ScriptedTarget(event_base *Base, std::string Instance);
  ~ScriptedTarget();
  ScriptedTarget(const ScriptedTarget &) = delete;
  ScriptedTarget &operator=(const ScriptedTarget &) = delete;

  TargetEntry entry() const;
  /// Resets all connections, as the end of the process does. The target then
  /// answers new ones like a process that started in its place.
  void breakConnections();
  std::deque<TargetStep> Steps; ///< Steps in order of use; the last repeats.
  std::vector<std::string> Requests; ///< Requests read, as received.
  uint32_t AcceptedConnections = 0;
  uint32_t ClosedConnections = 0; ///< Connections that the relay ended.
  /// A connection that the target accepted.
  struct TargetConnection;

private:
  friend struct TargetConnection;
  event_base *Base;
  std::string Instance;
  evconnlistener *Listener = nullptr;
  Address ListenAddress;
  std::vector<std::unique_ptr<TargetConnection>> TargetConnections;
};

/// A store that lists one configuration, in which nothing changes.
class FixedStore : public DirectoryStore {
public:
  std::shared_ptr<const RoutingConfig> Config;
  bool Answers = true; ///< Whether it answers questions for changes.
  void list(DirectoryKind Kind, const std::string &After, ReadConsistency Mode,
            Reply Done) override;
  void watch(DirectoryKind Kind, uint64_t Revision, Duration Wait,
             ReadConsistency Mode, Reply Done) override;
  void registerHost(const FleetHost &, Reply) override {}
  void removeHost(const std::string &, Reply) override {}
  void writeRolloutStatus(const RolloutStatusWrite &, Reply) override {}
};

/// A receiver that ignores all directory events but one.
class IgnoringDirectoryEvents : public DirectoryEvents {
public:
  void onConfig(std::shared_ptr<const RoutingConfig>) override {}
  void onTarget(const TargetEntry &) override {}
  void onTargetGone(const std::string &) override {}
  void onHost(const FleetHost &) override {}
  void onHostGone(const std::string &) override {}
  void onRollout(const RolloutOrder &, bool) override {}
  void onRolloutGone(const std::string &) override {}
  void onStoreReachable(bool) override {}
  void onConfirmStarted() override {}
  void onConfirmed(uint64_t) override {}
  void onTargetSeen(const TargetEntry &) override {}
  void onTargetsConfirmed(Time ReadAt) override {
    if (this->Relay != nullptr) {
      this->Relay->onVersionsConfirmed(ReadAt);
    }
  }
  void onTargetsUnconfirmed() override {}
  void onTargetChangesMissed() override {}
  RequestRelay *Relay = nullptr; ///< Is told that its view is confirmed.
};

/// A relay with one service, one customer and a route of each kind, and the
/// callers and targets of a test.
class RelayHarness {
public:
  /// \p MaxConfigAge: age of the configuration at and above which the relay
  /// neither trusts its keys nor assumes that it contains every route and key.
  /// \p DrainTimeout: time after a target said that it leaves within which
  /// callers may still send requests that reach it. \p Objective: of all
  /// routes; requests wait for some time of it.
  explicit RelayHarness(Duration MaxConfigAge = seconds(3600),
                        Duration DrainTimeout = millis(2500),
                        Duration Objective = seconds(1),
                        std::optional<RolloutInit> Rollouts = std::nullopt);
  ~RelayHarness();
  RelayHarness(const RelayHarness &) = delete;
  RelayHarness &operator=(const RelayHarness &) = delete;

  /// Starts a target and adds it to the relay. \p Software: version of the
  /// target's software.
  ScriptedTarget &target(const std::string &Instance,
                         const std::string &Software = "v1");
  /// Opens a connection to the relay; returns the caller's index.
  size_t connect();
  size_t connect(const Address &To);
  void send(size_t Caller, const std::string &Bytes);
  void close(size_t Caller);
  /// Returns all bytes that a caller received so far.
  const std::string &received(size_t Caller) const;
  bool closed(size_t Caller) const;
  /// Runs the loop until \p Condition holds; returns false if the limit of
  /// iterations was reached first.
  bool runUntil(const std::function<bool()> &Condition);
  /// Sends a request on a new connection, waits until the answer contains
  /// \p AwaitedText or the connection ends, and returns the bytes received.
  /// \p Extra: further header lines, each with its line end.
  std::string sendRequest(const std::string &Path, const std::string &Id,
                          const std::string &AwaitedText,
                          const std::string &Extra = "",
                          const std::string &Key = "good");

  /// Does the same as \c sendRequest at another relay.
  std::string sendRequestTo(const Address &To, const std::string &Path,
                            const std::string &Id,
                            const std::string &AwaitedText,
                            const std::string &Extra = "",
                            const std::string &Key = "good");

  RequestRelay &relay() { return *this->Relay; }
  event_base *Base;
  FixedStore Store;

private:
  /// A caller's connection and the bytes received on it.
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

/// Returns an answer with a length, the request's id and the server stamp that
/// prove its origin.
std::string validAnswer(const std::string &Body, const char *Status = "200 OK");
/// Returns the head of a chunked event stream.
std::string streamAnswerHead();
/// Returns one chunk that holds one event.
std::string streamEventChunk(int Number);

} // namespace shallotlatch
