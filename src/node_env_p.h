/// \file
/// What the parts of one node share: time, identity, configuration, and the
/// places where messages and commands are collected.
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

/// Connect to the target and send the request.
struct DispatchCommand {
  RequestHandle Request;
  TargetId Target;
};

/// Tell the caller how its request ended.
struct AnswerCommand {
  RequestHandle Request;
  Verdict End;
  std::string Answer; ///< Recorded whole answer, for a joined submission.
};

/// Stop the dispatch at its target: nobody waits for it.
struct AbortCommand {
  RequestHandle Request;
};

/// Ask the target for its load report and cache events.
struct PollCommand {
  TargetId Target;
};

using Command = std::variant<DispatchCommand, AnswerCommand, AbortCommand,
                             PollCommand, StoreRequest>;

/// Messages that may wait for others to share their frame.
struct DelayedBatch {
  std::vector<FirstTokenNotice> FirstTokenNotices;
  std::vector<Release> Releases;
  std::vector<StreamProgress> StreamProgressReports;
  Time Due; ///< When they leave alone.
};

/// Shared by the parts of one node. Only the node changes Now and Wall.
struct NodeEnv {
  Time Now;
  WallMillis WallTime;
  HostId Self;
  Incarnation Run;
  std::string Region;
  std::shared_ptr<const Config> ActiveConfig;
  std::map<HostId, PeerBatch> Outbox;
  std::map<HostId, DelayedBatch> Delayed;
  std::vector<Command> Commands;
  std::mt19937_64 Random;

  PeerBatch &outboxFor(HostId Host) { return this->Outbox[Host]; }
  /// Messages for \p Host that leave with its next frame, or alone after
  /// \p Wait.
  DelayedBatch &delayedBatchFor(HostId Host, Duration Wait) {
    auto Added = this->Delayed.emplace(Host, DelayedBatch());
    DelayedBatch &Batch = Added.first->second;
    Time Due = this->Now + Wait;
    Batch.Due = Added.second ? Due : std::min(Batch.Due, Due);
    return Batch;
  }
  /// Moves delayed messages to frames that leave now anyway, and those due.
  void mergeDelayed();
  /// Uniform in [0, Bound).
  uint32_t randomBelow(uint32_t Bound) {
    return std::uniform_int_distribution<uint32_t>(0, Bound - 1)(this->Random);
  }
};

} // namespace shallotlatch
