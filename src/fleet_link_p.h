/// \file
/// Datagrams between hosts: each tells its peers what it has running, what it
/// admitted and what it believes.
#pragma once

#include "fleet_quota_p.h"
#include "place_pool_p.h"
#include "shallotlatch/settings.h"

#include <event2/event.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace shallotlatch {

/// Runs of one request's content that ended with the target's crash.
struct CrashTally {
  Fingerprint Print;
  uint32_t Count = 0;
};

/// One host's state, as its peers hear it.
struct FleetState {
  HostId Host;
  uint64_t Run = 0;
  uint32_t Sequence = 0;
  bool Leaving = false;
  uint64_t ConfigRevision = 0; ///< Newest that the store confirmed to it.
  Time Stamp; ///< Sender's clock; means something to the sender only.
  Time Echo;  ///< A stamp of the receiver, heard before the sender asked the
              ///< store for that confirmation; the epoch: none.
  uint64_t EchoRun = 0; ///< The receiver's run that sent that stamp.
  std::vector<TargetUse> Targets;
  std::vector<CustomerUse> Customers;
  std::vector<CrashTally> Crashes;
};

/// Whether the echo in \p State is a stamp of this run, at the latest \p Now.
/// A stamp of a former run counts from another start of the clock.
bool echoIsOwn(const FleetState &State, uint64_t OwnRun, Time Now);
std::string encodeFleetState(const FleetState &State);
/// False: the bytes are not a state.
bool decodeFleetState(std::string_view Bytes, FleetState &State);

struct FleetPeer {
  FleetHost Host;
  HostId Id;
  bool SameDomain = false;
  Time Known; ///< When its entry was read.
  Time Heard; ///< Last datagram; the epoch: never.
  uint64_t Run = 0;
  uint32_t Sequence = 0;
  bool Leaving = false;
  Time Stamp;    ///< Latest that it sent.
  Time AskStamp; ///< Latest before the confirmation under way was asked.
  Time Echo;     ///< Latest before the last confirmation was asked.
};

struct FleetLinkStats {
  uint64_t Sent = 0;
  uint64_t Received = 0;
  uint64_t BytesSent = 0;
  uint64_t Rejected = 0;
};

class FleetLink {
public:
  using Receive = std::function<void(const FleetState &)>;
  FleetLink(event_base *Base, const FleetHost &Self, Receive OnState);
  ~FleetLink();
  FleetLink(const FleetLink &) = delete;
  FleetLink &operator=(const FleetLink &) = delete;

  void setPeer(const FleetHost &Host, Time Now);
  void removePeer(const std::string &Name);
  /// The store is asked for a confirmation.
  void confirmAsked();
  /// It confirmed.
  void confirmed();
  /// Sends to peers of the own failure domain, or to all others.
  void send(FleetState &State, bool SameDomain);
  const std::map<HostId, FleetPeer> &peers() const { return this->Peers; }
  FleetLinkStats stats() const { return this->Counts; }

private:
  static void onReadable(evutil_socket_t Fd, short, void *Self);

  FleetHost Self;
  Receive OnState;
  int Fd = -1;
  event *Watch = nullptr;
  std::map<HostId, FleetPeer> Peers;
  FleetLinkStats Counts;
};

} // namespace shallotlatch
