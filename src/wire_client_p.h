/// \file
/// HTTP/1.1 client with a connection pool, for calls to targets and to the
/// platform's store. Unlike evhttp's client it distinguishes a close from a
/// reset, can skip responses that belong to another request, and handles a
/// response that arrives before the request's body is sent.
#pragma once

#include "http_message_p.h"
#include "memory_budget_p.h"
#include "shallotlatch/settings.h"
#include "tunnel_codec_p.h"

#include <event2/event.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

struct bufferevent;

namespace shallotlatch {

using OutboundCallId = Id<struct OutboundCallTag, uint64_t>;

/// Result of a call.
enum class OutboundCallEnd : uint8_t {
  Complete,      ///< The whole response was received.
  ConnectFailed, ///< Refused or reset; no byte of the request was sent.
  /// No connection was made in time; no byte of the request was sent.
  ConnectTimedOut,
  Broken, ///< Closed or reset before the whole response came.
  /// The connection was given up, as the server's machine stopped answering.
  TimedOut,
  Malformed, ///< The bytes received are not a valid response.
  /// The peer gave no tunnel; no byte of the request was sent.
  TunnelRefused,
  /// The tunnel broke, which says nothing of the server.
  TunnelLost,
};
/// Whether \p E shows that no byte of the request was sent.
constexpr bool isUnsent(OutboundCallEnd E) {
  return E == OutboundCallEnd::ConnectFailed ||
         E == OutboundCallEnd::ConnectTimedOut ||
         E == OutboundCallEnd::TunnelRefused;
}

const char *name(OutboundCallEnd E);

/// What the client does with a response whose head was read.
enum class ResponseHeadAction : uint8_t {
  Take,
  Skip,   ///< It belongs to another request: discard it, wait for the next.
  Refuse, ///< Ends the call as Malformed.
};

/// Receives the events of calls. No event follows `onEnd` or `abort`.
class OutboundCallEvents {
public:
  virtual ~OutboundCallEvents() = default;
  /// A new connection for the call was established in the given time.
  virtual void onConnected(OutboundCallId, Duration) {}
  /// A peer answered whether it gives a tunnel for the call; nothing: it could
  /// not be reached or did not answer. A refusal is followed by `onEnd`.
  virtual void onTunnelAnswer(OutboundCallId,
                              const std::optional<TunnelAnswer> &) {}
  /// Bytes of the request are about to be sent. If this returns false, nothing
  /// is sent and no event follows.
  virtual bool onSending(OutboundCallId Call) = 0;
  virtual ResponseHeadAction onHead(OutboundCallId Call, HttpHead &Head) = 0;
  virtual void onBody(OutboundCallId Call, std::string_view Part) = 0;
  virtual void onEnd(OutboundCallId Call, OutboundCallEnd End) = 0;
  /// The server process closed an idle connection before its keep-alive time
  /// was over.
  virtual void onIdleLost(uint64_t /*ServerIdentity*/) {}
};

/// A peer through which a call goes, and what it is asked for.
struct TunnelHop {
  Address Peer;
  TunnelRequest Request;
};

/// A serialized request and where to send it.
struct OutboundCall {
  Address To;
  /// Identifies the server process at the address; each has its own pool.
  uint64_t ServerIdentity = 0;
  std::string Bytes; ///< Head of the request, or all of it.
  /// Body of the request, which is sent after Bytes; may be nullptr.
  std::shared_ptr<const std::string> Body;
  /// Hash of the id that the answer names; 0 if it names none. The call uses no
  /// connection that carried an error to a call with the same tag, since the
  /// server may write that answer again.
  uint64_t Tag = 0;
  /// Time until the request can be sent, that of a tunnel's opening included.
  Duration ConnectTimeout = millis(500);
  /// Set if a peer passes the call on. It gets a connection of its own, and the
  /// address is not used.
  std::optional<TunnelHop> Through;
  /// Longest time for which a reused connection may have been idle. Zero forces
  /// a new connection.
  Duration MaxIdleTime = seconds(30);
};

struct PooledHttpClientStats {
  uint64_t Opened = 0;
  uint64_t Reused = 0;
  uint32_t Idle = 0;
  uint32_t Active = 0;
};

/// Runs one call at a time on each connection and keeps idle connections.
class PooledHttpClient {
public:
  /// \p Budget counts the connections and their memory; nullptr: not counted.
  PooledHttpClient(event_base *Base, OutboundCallEvents &Events,
                   MemoryBudget *Budget = nullptr);
  ~PooledHttpClient();
  PooledHttpClient(const PooledHttpClient &) = delete;
  PooledHttpClient &operator=(const PooledHttpClient &) = delete;

  OutboundCallId start(OutboundCall Call);
  /// Cancels the call and closes its connection.
  void abort(OutboundCallId Call);
  void pauseReading(OutboundCallId Call, bool Paused);
  /// Closes the idle connections to one server process.
  void dropIdle(const Address &To, uint64_t ServerIdentity);
  /// Closes the connection that has been idle for longest. Returns whether
  /// there was one.
  bool dropOldestIdle();
  bool reused(OutboundCallId Call) const;
  /// Returns the time since which the oldest open connection to each server
  /// process has been established, by the process's identity.
  std::unordered_map<uint64_t, Time> oldestConnections() const;
  PooledHttpClientStats stats() const;

  struct Connection;

private:
  friend struct Connection;
  struct PoolKey {
    std::string Address;
    uint64_t ServerIdentity;
    friend bool operator<(const PoolKey &A, const PoolKey &B) {
      return A.ServerIdentity != B.ServerIdentity
                 ? A.ServerIdentity < B.ServerIdentity
                 : A.Address < B.Address;
    }
  };
  /// Returns an idle connection that the call may use; nullptr if there is
  /// none.
  Connection *takeIdle(const PoolKey &Key, const OutboundCall &Call);
  void send(Connection &C);
  void finish(Connection &C, OutboundCallEnd End);
  void returnToPool(Connection &C);
  /// Removes the connection from the list of idle ones, if it is there, and
  /// erases a list that is empty then.
  void removeIdle(Connection &C);
  void discard(Connection &C);
  void setPaused(Connection &C, bool Paused);
  Connection *find(OutboundCallId Call) const;
  static void onSweep(evutil_socket_t, short, void *Self);

  event_base *Base;
  OutboundCallEvents &Events;
  MemoryBudget *Budget;
  event *SweepTimer = nullptr;
  uint64_t NextId = 1;
  std::unordered_map<OutboundCallId, Connection *> Active;
  std::unordered_map<uint64_t, std::unique_ptr<Connection>> Connections;
  std::map<PoolKey, std::deque<Connection *>> Idle;
  uint32_t IdleCount = 0;
  PooledHttpClientStats Counts;
};

} // namespace shallotlatch
