/// \file
/// State that the parts of one node share: time, identity, configuration, and
/// the outgoing messages and commands.
#pragma once

#include "messages_p.h"
#include "shallotlatch/model.h"
#include "store_p.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <variant>

namespace shallotlatch {

/// Tells the host to connect to the target and to send the request.
struct DispatchCommand {
  RequestHandle Request;
  TargetId Target;
};

/// Tells the host to answer the caller of a request that has ended.
struct AnswerCommand {
  RequestHandle Request;
  Verdict End;
  std::string Answer; ///< Recorded complete answer, if the request waited for
                      ///< an earlier submission with the same key.
};

/// Tells the host to abort the dispatch at its target, because nobody waits for
/// the result.
struct AbortCommand {
  RequestHandle Request;
};

/// Tells the host to request the target's load report and cache events.
struct PollCommand {
  TargetId Target;
};

using Command = std::variant<DispatchCommand, AnswerCommand, AbortCommand,
                             PollCommand, StoreRequest>;

/// Messages to one host that may be delayed until they can share a frame with
/// other messages.
struct DelayedBatch {
  std::vector<FirstTokenNotice> FirstTokenNotices;
  std::vector<Release> Releases;
  std::vector<StreamProgress> StreamProgressReports;
  Time Due; ///< Time at which the messages are sent in a frame of their own.
};

/// Environment shared by the parts of one node. Only the node changes Now and
/// WallTime.
struct NodeEnv {
  Time Now; ///< Time of the event that is being handled.
  WallMillis WallTime;
  HostId Self;
  Incarnation Run; ///< Process run of this host.
  std::string Region;
  std::shared_ptr<const Config> ActiveConfig; ///< Null until one was accepted.
  std::map<HostId, PeerBatch> Outbox;
  std::map<HostId, DelayedBatch> Delayed;
  std::vector<Command> Commands;
  std::mt19937_64 Random;

  /// Returns the messages to \p Host that are sent in this pass.
  PeerBatch &outboxFor(HostId Host) { return this->Outbox[Host]; }
  /// Returns the messages to \p Host that are sent with the next frame to it,
  /// or in a frame of their own after at most \p Wait.
  DelayedBatch &delayedBatchFor(HostId Host, Duration Wait) {
    auto Added = this->Delayed.emplace(Host, DelayedBatch());
    DelayedBatch &Batch = Added.first->second;
    Time Due = this->Now + Wait;
    Batch.Due = Added.second ? Due : std::min(Batch.Due, Due);
    return Batch;
  }
  /// Moves delayed messages to the outbox if they are due, if a frame to the
  /// same host is sent now anyway, or if they are for this host itself.
  void mergeDelayed();
  /// Returns a random number distributed uniformly in [0, \p Bound).
  uint32_t randomBelow(uint32_t Bound) {
    return std::uniform_int_distribution<uint32_t>(0, Bound - 1)(this->Random);
  }
};

} // namespace shallotlatch
