/// \file
/// HTTP/1.1 server for callers whose requests are forwarded unchanged. It owns
/// the callers' connections, reads whole requests and writes responses.
#pragma once

#include "http_message_p.h"
#include "memory_budget_p.h"
#include "shallotlatch/settings.h"

#include <event2/event.h>

#include <memory>
#include <string>
#include <unordered_map>

struct bufferevent;
struct evconnlistener;

namespace shallotlatch {

/// Identifies one request of a caller and its response. Ids are never reused.
using ExchangeId = Id<struct ExchangeTag, uint64_t>;

/// A caller's request, read whole.
struct FrontendRequest {
  ExchangeId Exchange;
  HttpHead Head;
  std::string Body;
  Time ReceivedAt; ///< Time at which the last byte was read.
};

/// A response whose whole content is known when it is sent.
struct FrontendResponse {
  int Status = 503;
  std::vector<HttpField> Fields;
  std::string Body;
  bool Close = false; ///< Closes the connection after this response.
};

/// Receives the events of callers' connections.
class FrontendEvents {
public:
  virtual ~FrontendEvents() = default;
  virtual void onCallerRequest(FrontendRequest &&Request) = 0;
  /// The caller disconnected before the response was complete. Nothing more
  /// can be sent on this exchange.
  virtual void onCallerDisconnected(ExchangeId Exchange) = 0;
  /// The output buffer had exceeded its high-water mark and is empty again.
  virtual void onCallerWritable(ExchangeId Exchange) = 0;
  /// The memory budget is short and the exchange, whose response has not begun,
  /// holds most of it. It is to be ended.
  virtual void onCallerOverBudget(ExchangeId Exchange) = 0;
  /// A new connection finds no free descriptor. Returns whether one was freed.
  virtual bool onConnectionsFull() = 0;
};

/// Configured limits on what a caller may send and how slowly.
struct CallerLimits {
  uint32_t MaxHeaderBytes = 16 * 1024;
  uint32_t MaxBodyBytes = 4 * 1024 * 1024;
  /// Longest time from the first byte of a request to the end of its header.
  Duration HeaderTimeout = seconds(3);
  /// Longest time from the first byte of a request to its last one, and longest
  /// time that a connection may be idle between requests.
  Duration IdleTimeout = seconds(15);
};

struct FrontendInit {
  Address ListenAddress;
  uint32_t MaxConnections = 3000;
};

struct FrontendStats {
  uint32_t Connections = 0;
  uint32_t OpenExchanges = 0; ///< Exchanges whose response is not complete.
  uint64_t Accepted = 0;
  uint64_t Refused = 0;   ///< Requests refused while they were being read.
  uint64_t Abandoned = 0; ///< Callers that left before their response ended.
  /// Connections closed or ended because the memory budget was short.
  uint64_t EndedForMemory = 0;
  uint64_t EndedForDescriptors = 0; ///< Idle connections closed for others.
  uint64_t EndedUnread = 0;         ///< Connections whose caller read nothing.
};

/// Serves callers' connections. One connection carries one exchange at a time.
class FrontendServer {
public:
  FrontendServer(event_base *Base, const FrontendInit &Init,
                 FrontendEvents &Events, MemoryBudget &Budget);
  ~FrontendServer();
  FrontendServer(const FrontendServer &) = delete;
  FrontendServer &operator=(const FrontendServer &) = delete;

  /// Address that the server listens on. The system chose the port if the
  /// configured port is zero.
  Address address() const;
  void setLimits(const CallerLimits &Limits) { this->Limits = Limits; }
  void respond(ExchangeId Exchange, FrontendResponse Response);
  /// Sets the bytes that the handler holds for the exchange.
  void setHeldBytes(ExchangeId Exchange, uint64_t Bytes);
  /// Closes the connection that has been idle for longest, or else one whose
  /// caller has not finished a head. Returns whether there was one.
  bool closeIdlest();
  /// Begins a chunked response, whose length is not known in advance.
  void beginResponse(ExchangeId Exchange, int Status,
                     const std::vector<HttpField> &Fields);
  /// Writes one chunk. Returns false if the output buffer is over its
  /// high-water mark; the sender should then wait for `onCallerWritable`.
  bool writeChunk(ExchangeId Exchange, std::string Bytes);
  void endResponse(ExchangeId Exchange);
  /// Closes the connection without the last chunk, so that the caller sees an
  /// incomplete response.
  void abortResponse(ExchangeId Exchange);
  /// Closes connections that are idle and whose last response was delivered;
  /// from now on, each response closes its connection. To be called again while
  /// connections are left.
  void drain();
  void stopAccepting();
  FrontendStats stats() const;

  struct Connection;

private:
  friend struct Connection;
  static void onAccept(evconnlistener *, evutil_socket_t Fd, sockaddr *, int,
                       void *Self);
  static void onSweep(evutil_socket_t, short, void *Self);
  static void onRelief(evutil_socket_t, short, void *Self);
  /// Reports to the budget what the connection holds.
  void account(Connection &C);
  /// Ends connections until the budget suffices.
  void relieve();
  void endForMemory(Connection &C);
  bool isStalled(Connection &C, Time Now) const;
  Connection *find(ExchangeId Exchange) const;
  void parse(Connection &C);
  void refuse(Connection &C, int Status, const char *Detail);
  void finishResponse(Connection &C, bool Close);
  void writeHead(Connection &C, int Status,
                 const std::vector<HttpField> &Fields, const char *Framing,
                 bool Close);
  void remove(Connection &C);
  void handleDisconnect(Connection &C);

  event_base *Base;
  FrontendInit Init;
  FrontendEvents &Events;
  MemoryBudget &Budget;
  CallerLimits Limits;
  evconnlistener *Listener = nullptr;
  event *SweepTimer = nullptr;
  event *ReliefEvent = nullptr;
  std::unordered_map<uint64_t, std::unique_ptr<Connection>> Connections;
  std::unordered_map<ExchangeId, Connection *> ConnectionByExchange;
  uint64_t NextId = 1;
  bool Draining = false;
  FrontendStats Counts;
};

/// Reason phrase of \p Status.
const char *reasonPhrase(int Status);

} // namespace shallotlatch
