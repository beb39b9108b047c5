/// \file
/// The listener for callers whose requests are passed on unchanged: owns their
/// connections, reads whole requests and writes answers.
#pragma once

#include "http_message_p.h"
#include "shallotlatch/settings.h"

#include <event2/event.h>

#include <memory>
#include <string>
#include <unordered_map>

struct bufferevent;
struct evconnlistener;

namespace shallotlatch {

/// One request of a caller and its answer, never reused.
using ExchangeId = Id<struct ExchangeTag, uint64_t>;

/// What a caller asks.
struct FrontendRequest {
  ExchangeId Exchange;
  HttpHead Head;
  std::string Body;
  Time ReceivedAt; ///< When its last byte was read.
};

/// What a caller is told, when the whole answer is known at once.
struct FrontendResponse {
  int Status = 503;
  std::vector<HttpField> Fields;
  std::string Body;
  bool Close = false; ///< Ends the connection after this answer.
};

/// Receives what callers do.
class FrontendEvents {
public:
  virtual ~FrontendEvents() = default;
  virtual void onCallerRequest(FrontendRequest &&Request) = 0;
  /// The caller left before its answer ended; nothing more can be sent.
  virtual void onCallerDisconnected(ExchangeId Exchange) = 0;
  /// Output that had grown over the high mark has left.
  virtual void onCallerWritable(ExchangeId Exchange) = 0;
};

/// Limits on what a caller may send, as configured.
struct CallerLimits {
  uint32_t MaxHeaderBytes = 16 * 1024;
  uint32_t MaxBodyBytes = 4 * 1024 * 1024;
  Duration HeaderTimeout = seconds(3);
  Duration IdleTimeout = seconds(15);
};

struct FrontendInit {
  Address ListenAddress;
  uint32_t MaxConnections = 3000;
  uint64_t MaxBufferedBytes = 64 * 1024 * 1024;
};

struct FrontendStats {
  uint32_t Connections = 0;
  uint32_t OpenExchanges = 0; ///< Exchanges without a whole answer.
  uint64_t Accepted = 0;
  uint64_t Refused = 0; ///< Requests refused while they were read.
  uint64_t Abandoned = 0;
};

class FrontendServer {
public:
  FrontendServer(event_base *Base, const FrontendInit &Init,
                 FrontendEvents &Events);
  ~FrontendServer();
  FrontendServer(const FrontendServer &) = delete;
  FrontendServer &operator=(const FrontendServer &) = delete;

  /// Where it listens; the port was chosen by the system if zero was asked.
  Address address() const;
  void setLimits(const CallerLimits &Limits) { this->Limits = Limits; }
  void respond(ExchangeId Exchange, const FrontendResponse &Answer);
  /// Begins an answer whose length is not known; parts follow.
  void beginResponse(ExchangeId Exchange, int Status,
                     const std::vector<HttpField> &Fields);
  /// False: the output is over its high mark; wait for `onCallerWritable`.
  bool writeChunk(ExchangeId Exchange, std::string_view Bytes);
  void endResponse(ExchangeId Exchange);
  /// Closes the connection so that the answer does not look complete.
  void abortResponse(ExchangeId Exchange);
  /// From now on every answer ends its connection, and idle ones are closed.
  void drain();
  void stopAccepting();
  FrontendStats stats() const;

  struct Connection;

private:
  friend struct Connection;
  static void onAccept(evconnlistener *, evutil_socket_t Fd, sockaddr *, int,
                       void *Self);
  static void onSweep(evutil_socket_t, short, void *Self);
  Connection *find(ExchangeId Exchange) const;
  void parse(Connection &C);
  void refuse(Connection &C, int Status, const char *Why);
  void finishResponse(Connection &C, bool Close);
  void writeHead(Connection &C, int Status,
                 const std::vector<HttpField> &Fields, const char *Framing,
                 bool Close);
  void remove(Connection &C);
  void handleDisconnect(Connection &C);

  event_base *Base;
  FrontendInit Init;
  FrontendEvents &Events;
  CallerLimits Limits;
  evconnlistener *Listener = nullptr;
  event *SweepTimer = nullptr;
  std::unordered_map<uint64_t, std::unique_ptr<Connection>> Connections;
  std::unordered_map<ExchangeId, Connection *> ConnectionByExchange;
  uint64_t NextId = 1;
  uint64_t BufferedBytes = 0;
  bool Draining = false;
  FrontendStats Counts;
};

/// Reason phrase of \p Status.
const char *reasonPhrase(int Status);

} // namespace shallotlatch
