/// \file
/// Links to the other hosts: owns their sockets, proves the shared key, and
/// passes batches both ways. Batches may be lost with a link.
#pragma once

#include "peer_codec_p.h"
#include "shallotlatch/settings.h"

#include <event2/event.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>

struct bufferevent;
struct evconnlistener;

namespace shallotlatch {

/// Readable figures of all links.
struct PeerStats {
  uint32_t Links = 0;
  uint64_t BytesSent = 0;
  uint64_t BytesReceived = 0;
  uint64_t BatchesSent = 0;
  uint64_t BatchesDropped = 0;
};

/// What the task tells its owner.
struct PeerCallbacks {
  std::function<void(HostId, const PeerBatch &)> Batch;
  std::function<void(HostId)> Linked;
  std::function<void(HostId)> Unreachable;
  std::function<std::optional<Address>(HostId)> AddressOf;
};

class PeerTask {
public:
  PeerTask(event_base *Base, const Settings &Host, Incarnation Run,
           PeerCallbacks Events);
  ~PeerTask();
  PeerTask(const PeerTask &) = delete;
  PeerTask &operator=(const PeerTask &) = delete;

  void send(HostId To, const PeerBatch &Batch);
  /// Opens a link to an address whose host is not known yet.
  void dial(const Address &To);
  PeerStats stats() const;

  struct Link;

private:
  friend struct Link;
  Link &open(bufferevent *Socket, HostId Expected);
  Link *dialHost(HostId To);
  void sendHello(Link &L);
  void onHello(Link &L, const Hello &H);
  bool onFrame(Link &L, std::string_view Bytes);
  void onReadable(Link &L);
  void close(Link &L, bool TellUnreachable);
  void write(Link &L, const std::string &Frame);
  std::string computeProof(const std::string &Prover, uint64_t Nonce) const;

  event_base *Base;
  Settings Host;
  Incarnation Run;
  PeerCallbacks Events;
  evconnlistener *Listener = nullptr;
  std::map<uint32_t, std::unique_ptr<Link>> Links;
  std::map<HostId, uint32_t> ByHost;
  std::map<HostId, Time> RetryAt;
  uint32_t NextLink = 1;
  std::mt19937_64 Random;
  PeerStats Counts;
};

} // namespace shallotlatch
