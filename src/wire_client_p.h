/// \file
/// HTTP/1.1 exchanges with targets and with the platform's store. Unlike
/// evhttp's client it tells a close from a reset, may pass over answers that
/// belong to another request, and survives an answer that comes before the
/// request's body has left.
#pragma once

#include "http_message_p.h"
#include "shallotlatch/settings.h"

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

/// How an exchange ended.
enum class OutboundCallEnd : uint8_t {
  Complete,      ///< A whole answer.
  ConnectFailed, ///< No byte of the request left.
  Broken,        ///< Closed or reset before the answer was whole.
  Malformed,     ///< Bytes that are no answer.
};

const char *name(OutboundCallEnd E);

/// What to do with an answer whose head was read.
enum class ResponseHeadAction : uint8_t {
  Take,
  Skip,   ///< Belongs to another request: read over it, wait for the next.
  Refuse, ///< Ends the exchange as Malformed.
};

/// Receives what happens in one exchange. After `onEnd` or `abort` no event
/// follows.
class OutboundCallEvents {
public:
  virtual ~OutboundCallEvents() = default;
  /// Bytes are about to leave. False: send nothing; no event follows.
  virtual bool onSending(OutboundCallId Call) = 0;
  virtual ResponseHeadAction onHead(OutboundCallId Call, HttpHead &Head) = 0;
  virtual void onBody(OutboundCallId Call, std::string_view Part) = 0;
  virtual void onEnd(OutboundCallId Call, OutboundCallEnd How) = 0;
};

/// One request, serialised.
struct OutboundCall {
  Address To;
  uint64_t ServerIdentity = 0; ///< Of the process at the address; pools differ.
  std::string Bytes;
  Duration ConnectTimeout = millis(500);
  /// Longest time that a kept connection may have been idle; zero: a new one.
  Duration MaxIdleTime = seconds(30);
};

struct PooledHttpClientStats {
  uint64_t Opened = 0;
  uint64_t Reused = 0;
  uint32_t Idle = 0;
  uint32_t Active = 0;
};

class PooledHttpClient {
public:
  PooledHttpClient(event_base *Base, OutboundCallEvents &Events);
  ~PooledHttpClient();
  PooledHttpClient(const PooledHttpClient &) = delete;
  PooledHttpClient &operator=(const PooledHttpClient &) = delete;

  OutboundCallId start(OutboundCall Call);
  /// Closes the exchange's connection.
  void abort(OutboundCallId Call);
  void pauseReading(OutboundCallId Call, bool Paused);
  /// Closes idle connections to an address.
  void dropIdle(const Address &To, uint64_t ServerIdentity);
  bool reused(OutboundCallId Call) const;
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
  Connection *takeIdle(const PoolKey &Key, Duration MaxIdleTime);
  void send(Connection &C);
  void finish(Connection &C, OutboundCallEnd How);
  void returnToPool(Connection &C);
  void discard(Connection &C);
  Connection *find(OutboundCallId Call) const;
  static void onSweep(evutil_socket_t, short, void *Self);

  event_base *Base;
  OutboundCallEvents &Events;
  event *SweepTimer = nullptr;
  uint64_t NextId = 1;
  std::unordered_map<OutboundCallId, Connection *> Active;
  std::unordered_map<uint64_t, std::unique_ptr<Connection>> Connections;
  std::map<PoolKey, std::deque<Connection *>> Idle;
  uint32_t IdleCount = 0;
  PooledHttpClientStats Counts;
};

} // namespace shallotlatch
