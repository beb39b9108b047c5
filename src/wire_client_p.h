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

using WireCallId = Id<struct WireCallTag, uint64_t>;

/// How an exchange ended.
enum class WireEnd : uint8_t {
  Complete,      ///< A whole answer.
  ConnectFailed, ///< No byte of the request left.
  Broken,        ///< Closed or reset before the answer was whole.
  Malformed,     ///< Bytes that are no answer.
};

const char *name(WireEnd E);

/// What to do with an answer whose head was read.
enum class HeadAction : uint8_t {
  Take,
  Skip,   ///< Belongs to another request: read over it, wait for the next.
  Refuse, ///< Ends the exchange as Malformed.
};

/// Receives what happens in one exchange. After `onEnd` or `abort` no event
/// follows.
class WireCallEvents {
public:
  virtual ~WireCallEvents() = default;
  /// Bytes are about to leave. False: send nothing; no event follows.
  virtual bool onSending(WireCallId Call) = 0;
  virtual HeadAction onHead(WireCallId Call, HttpHead &Head) = 0;
  virtual void onBody(WireCallId Call, std::string_view Part) = 0;
  virtual void onEnd(WireCallId Call, WireEnd How) = 0;
};

/// One request, serialised.
struct WireCall {
  Address To;
  uint64_t Identity = 0; ///< Of the process at the address; pools differ.
  std::string Bytes;
  Duration ConnectTimeout = millis(500);
  /// Longest time that a kept connection may have been idle; zero: a new one.
  Duration MaxIdle = seconds(30);
};

struct WireStats {
  uint64_t Opened = 0;
  uint64_t Reused = 0;
  uint32_t Idle = 0;
  uint32_t Active = 0;
};

class WireClient {
public:
  WireClient(event_base *Base, WireCallEvents &Events);
  ~WireClient();
  WireClient(const WireClient &) = delete;
  WireClient &operator=(const WireClient &) = delete;

  WireCallId start(WireCall Call);
  /// Closes the exchange's connection.
  void abort(WireCallId Call);
  void pauseReading(WireCallId Call, bool Paused);
  /// Closes idle connections to an address.
  void dropIdle(const Address &To, uint64_t Identity);
  bool reused(WireCallId Call) const;
  WireStats stats() const;

  struct Connection;

private:
  friend struct Connection;
  struct PoolKey {
    std::string Address;
    uint64_t Identity;
    friend bool operator<(const PoolKey &A, const PoolKey &B) {
      return A.Identity != B.Identity ? A.Identity < B.Identity
                                      : A.Address < B.Address;
    }
  };
  Connection *takeIdle(const PoolKey &Key, Duration MaxIdle);
  void send(Connection &C);
  void finish(Connection &C, WireEnd How);
  void keep(Connection &C);
  void discard(Connection &C);
  Connection *find(WireCallId Call) const;
  static void onSweep(evutil_socket_t, short, void *Self);

  event_base *Base;
  WireCallEvents &Events;
  event *Sweep = nullptr;
  uint64_t NextId = 1;
  std::unordered_map<WireCallId, Connection *> Active;
  std::unordered_map<uint64_t, std::unique_ptr<Connection>> All;
  std::map<PoolKey, std::deque<Connection *>> Idle;
  uint32_t IdleCount = 0;
  WireStats Counts;
};

} // namespace shallotlatch
