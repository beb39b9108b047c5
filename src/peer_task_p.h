/// \file
/// Manages the links to the other hosts: owns their sockets, authenticates both
/// sides with the shared key, and passes batches in both directions. Batches
/// may be lost when a link breaks.
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

/// Counters over all links.
struct PeerStats {
  uint32_t Links = 0; ///< Number of open links, authenticated or not.
  uint64_t BytesSent = 0;
  uint64_t BytesReceived = 0;
  uint64_t BatchesSent = 0;
  uint64_t BatchesDropped = 0;
};

/// Calls from the task to its owner.
struct PeerCallbacks {
  /// A batch from this host arrived.
  std::function<void(HostId, const PeerBatch &)> Batch;
  /// A link to this host is authenticated.
  std::function<void(HostId)> Linked;
  /// A link to this host could not be established.
  std::function<void(HostId)> Unreachable;
  /// Returns the peer address of this host, if it is known.
  std::function<std::optional<Address>(HostId)> AddressOf;
};

/// Event-loop task that owns the links to the other hosts.
class PeerTask {
public:
  PeerTask(event_base *Base, const Settings &Host, Incarnation Run,
           PeerCallbacks Events);
  ~PeerTask();
  PeerTask(const PeerTask &) = delete;
  PeerTask &operator=(const PeerTask &) = delete;

  /// Sends a batch over the link to \p To and opens the link if there is none.
  /// The batch is dropped if no link can be opened or the link's queue is full.
  void send(HostId To, const PeerBatch &Batch);
  /// Opens a link to an address whose host is not known yet.
  void dial(const Address &To);
  PeerStats stats() const;

  struct Link;

private:
  friend struct Link;
  /// Registers a link on \p Socket. \p Expected is the host at the other end,
  /// or invalid if any host may be there.
  Link &open(bufferevent *Socket, HostId Expected);
  /// Opens a link to \p To; returns null if the address is not known, if the
  /// last link to \p To closed too recently, or if the connection fails at
  /// once.
  Link *dialHost(HostId To);
  void sendHello(Link &L);
  void onHello(Link &L, const Hello &H);
  /// Handles one frame; returns false if the link has to be closed.
  bool onFrame(Link &L, std::string_view Bytes);
  void onReadable(Link &L);
  /// Closes and destroys \p L. With \p ReportUnreachable, a link that was never
  /// authenticated is reported to the owner.
  void close(Link &L, bool ReportUnreachable);
  void write(Link &L, const std::string &Frame);
  /// Returns the HMAC-SHA256 under the peer key over the prover's name and the
  /// verifier's nonce.
  std::string computeProof(const std::string &Prover, uint64_t Nonce) const;

  event_base *Base;
  Settings Host;
  Incarnation Run;
  PeerCallbacks Events;
  evconnlistener *Listener = nullptr;
  std::map<uint32_t, std::unique_ptr<Link>> Links; ///< Links by link id.
  std::map<HostId, uint32_t> LinkByHost;           ///< Link id by host.
  std::map<HostId, Time> RetryAt; ///< Earliest time of the next attempt.
  uint32_t NextLink = 1;          ///< Id of the next link.
  std::mt19937_64 Random;
  PeerStats Counts;
};

} // namespace shallotlatch
