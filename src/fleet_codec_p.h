/// \file
/// Messages between hosts, and their form as datagrams.
#pragma once

#include "crash_guard_p.h"
#include "fleet_quota_p.h"
#include "place_books_p.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace shallotlatch {

/// One host's state, as its peers hear it.
struct HostState {
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
  /// Short names of runs of targets that are leaving or gone, as the sender
  /// heard from the store.
  std::vector<uint32_t> Departing;
};

/// Whether the echo in \p State is a stamp of this run, at the latest \p Now.
/// A stamp of a former run counts from another start of the clock.
bool echoIsOwn(const HostState &State, uint64_t OwnRun, Time Now);
using FleetMessage = std::variant<HostState, PlacementReport, PlacementReply>;

std::string encodeHostState(const HostState &State);
std::string encodePlaceBook(const PlacementReport &Book);
std::string encodePlaceReply(const PlacementReply &Reply);
/// False: the bytes are no message of these kinds.
bool decodeFleetMessage(std::string_view Bytes, FleetMessage &Message);

} // namespace shallotlatch
