/// \file
/// Messages between gateway hosts, and their encoding as datagrams.
#pragma once

#include "count_relay_p.h"
#include "crash_guard_p.h"
#include "fleet_quota_p.h"
#include "place_books_p.h"
#include "service_rollout_p.h"
#include "stream_origins_p.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace shallotlatch {

/// State of one host as it is sent to its peers.
struct HostState {
  HostId Host;
  uint64_t Run = 0;      ///< Process run of the sender.
  uint32_t Sequence = 0; ///< Number of the message within the run.
  bool Leaving = false;
  /// Newest configuration version that the store confirmed to the sender.
  uint64_t ConfigVersion = 0;
  /// Latest era of the store that the sender saw; 0 if none was named.
  uint64_t StoreEra = 0;
  /// Time at which the message was sent, by the sender's clock. Only the sender
  /// can compare it with other times.
  Time Stamp;
  /// Latest stamp of the receiver that had reached the sender before the sender
  /// asked the store to confirm the configuration; the epoch if there is none.
  Time Echo;
  uint64_t EchoRun = 0; ///< Process run of the receiver that sent `Echo`.
  std::vector<TargetUse> Targets;
  std::vector<CustomerUse> Customers;
  /// What the sender knows of crashes, from its own requests and its peers.
  std::vector<CrashReport> Crashes;
  /// Short identities of targets that the sender found dead itself.
  std::vector<uint32_t> DeadTargets;
  /// Limits that targets name, from the sender's own requests and its peers.
  std::vector<TargetLimitReport> Limits;
  /// Changes with the news of crashes and limits; it is not sent.
  uint64_t NewsVersion = 0;
  /// Hashes that name the runs of targets that the sender knows from the store
  /// to be leaving or gone.
  std::vector<uint32_t> Departing;
  /// From an owner to other failure domains: counts of its domain's hosts.
  std::vector<HostCounts> Relayed;
  /// From an owner to the hosts of its failure domain.
  std::vector<CustomerLevel> Levels;
  /// Sequence of the receiver's newest state that the sender has read in the
  /// run `EchoRun`.
  uint32_t EchoSequence = 0;
  uint32_t HeardHosts = 0; ///< Hosts that the sender hears, itself included.
  /// `HeardHosts` and the silent hosts that may still serve.
  uint32_t ServingHosts = 0;
  bool LimitsOnly = false;           ///< `Targets` is left out.
  std::vector<RolloutNews> Rollouts; ///< Only while orders are active.
};

/// Returns whether the echo in \p State is a stamp that this host sent in the
/// run \p OwnRun, not later than \p Now. A stamp of a former run counts from
/// another start of the clock.
bool echoIsOwn(const HostState &State, uint64_t OwnRun, Time Now);
using FleetMessage =
    std::variant<HostState, PlacementReport, PlacementReply, StreamNews>;

std::string encodeHostState(const HostState &State);
std::string encodePlaceBook(const PlacementReport &Book);
std::string encodePlaceReply(const PlacementReply &Reply);
std::string encodeStreamNews(const StreamNews &News);
/// Decodes \p Bytes into \p Message; returns false if they are not a message of
/// one of these kinds.
bool decodeFleetMessage(std::string_view Bytes, FleetMessage &Message);

} // namespace shallotlatch
