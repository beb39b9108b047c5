/// \file
/// One host of a failure domain, the owner, places the requests of an engine
/// service for all hosts of the domain. The others, the holders, keep the
/// requests and tell the owner about them. Both sides here are pure: messages
/// and time in, messages and decisions out.
///
/// Every message holds the sender's whole state, so it may be lost, repeated
/// or overtaken. An owner that does not answer costs its holders exact
/// knowledge and nothing else: they place by themselves until it answers.
#pragma once

#include "place_pool_p.h"

#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace shallotlatch {

/// Numbers the asks of one holder's process.
using AskSerial = Id<struct AskSerialTag, uint32_t>;

/// A request that waits for a place; durations, since clocks differ.
struct WaitingAsk {
  AskSerial Serial;
  uint32_t Rank = 0;
  bool Returned = false;
  bool Repeatable = false;
  double PromptTokens = 0;
  double OutputTokens = 0;
  Duration Objective{0};
  Duration Waited{0};          ///< At its holder.
  Duration Spent{0};           ///< Since its caller's first attempt.
  Duration Left{0};            ///< Until nobody waits for it.
  std::vector<uint32_t> Tried; ///< Hashes of instances.
};

/// A request that has a place, granted or taken by the holder itself.
struct HeldRun {
  AskSerial Serial;
  uint32_t Target = 0; ///< Hash of the instance.
  double PromptTokens = 0;
  bool Started = false; ///< Its first event came.
};

struct EndedRun {
  AskSerial Serial;
  RunSign Sign = RunSign::Unknown;
};

/// All of one holder's requests of one service.
struct PlaceBook {
  HostId Host;
  uint64_t Run = 0; ///< Of the holder's process.
  uint32_t Sequence = 0;
  ServiceId Service;
  std::vector<WaitingAsk> Waiting;
  std::vector<HeldRun> Held;
  std::vector<EndedRun> Ended; ///< Since the book before the last.
};

struct PlaceGrant {
  AskSerial Serial;
  uint32_t Target = 0; ///< Hash of the instance.
  Duration Predicted{0};
  uint32_t Running = 0;
};

struct AskRefusal {
  AskSerial Serial;
  RefusalReason Why = RefusalReason::Overload;
  Duration RetryAfter{0};
};

/// The owner's answer: what it decided about the asks of the book that it read
/// last.
struct PlaceReply {
  HostId Host;
  uint64_t Run = 0; ///< Of the owner's process.
  ServiceId Service;
  uint64_t HolderRun = 0;
  uint32_t Sequence = 0; ///< Of the newest book read.
  std::vector<PlaceGrant> Grants;
  std::vector<AskRefusal> Refusals;
};

/// The owner's side, for one service.
class PlaceOwner {
public:
  using NewRun = std::function<RunId()>;
  /// \p Make numbers runs, in one sequence with the owner's own.
  PlaceOwner(PlacePool &Pool, NewRun Make)
      : Pool(Pool), Make(std::move(Make)) {}

  void receive(const PlaceBook &Book, Time Now);
  /// Whether \p Run belongs to a holder; takes the pool's decision about it.
  bool placed(const PlacedRun &Run);
  bool refused(const PlaceRefusal &Refusal);
  /// Releases what silent holders had, and fills the replies that are due.
  void collect(Time Now, std::vector<std::pair<HostId, PlaceReply>> &Replies);
  size_t holders() const { return this->Holders.size(); }

private:
  struct Entry {
    enum class State : uint8_t { Waiting, Granted, Held, Refused };
    State Is = State::Waiting;
    RunId Run;
    PlaceGrant Grant;
    AskRefusal Refusal;
  };
  struct Holder {
    uint64_t Run = 0;
    uint32_t Sequence = 0;
    Time Heard;
    bool Due = false; ///< A reply has to go out.
    std::map<AskSerial, Entry> Entries;
  };
  struct Owned {
    HostId Host;
    AskSerial Serial;
  };

  void release(Entry &E, RunSign Sign, Time Now);
  void takeHeld(HostId Host, Holder &H, const HeldRun &Run, Time Now);
  void takeWaiting(HostId Host, Holder &H, const WaitingAsk &Ask, Time Now);
  Entry *find(RunId Run, HostId *Host);

  PlacePool &Pool;
  NewRun Make;
  std::map<HostId, Holder> Holders;
  std::unordered_map<RunId, Owned> Runs;
};

/// The holder's side, for one service.
class PlaceHolder {
public:
  /// Whether the owner has answered lately enough to be asked.
  bool answering(Time Now) const;
  /// Another owner, or none: nothing that was asked is answered any more.
  void setOwner(HostId Owner);
  HostId owner() const { return this->Owner; }

  void ask(const PlaceAsk &Ask, Time Now);
  void withdraw(RunId Run);
  /// The holder itself has placed \p Run, or took a grant for it.
  void placed(RunId Run, uint32_t Target, double PromptTokens);
  void started(RunId Run);
  void ended(RunId Run, RunSign Sign);

  /// Takes the owner's answer; fills what it decided about asks that still
  /// wait here.
  void receive(const PlaceReply &Reply, Time Now,
               std::vector<std::pair<PlaceAsk, PlaceGrant>> &Granted,
               std::vector<PlaceRefusal> &Refused);
  /// The asks to be placed here since the owner does not answer.
  std::vector<PlaceAsk> takeBack(Time Now);
  bool waiting() const { return !this->Asks.empty(); }
  /// Whether an ask has been out for longer than \p Limit.
  bool waitedSince(Time Now, Duration Limit) const;
  /// Whether a book has to go out now.
  bool due(Time Now) const;
  PlaceBook book(Time Now);

private:
  struct Asked {
    AskSerial Serial;
    PlaceAsk Ask;
    Time At;
  };

  HostId Owner;
  uint32_t NextSerial = 1;
  uint32_t Sequence = 0;
  std::unordered_map<RunId, Asked> Asks;
  std::unordered_map<RunId, HeldRun> Held;
  std::vector<EndedRun> Ended;       ///< Since the last book.
  std::vector<EndedRun> EndedBefore; ///< In the last book.
  Time Answered;                     ///< Last reply; the epoch: never.
  Time UnansweredSince; ///< Sending of the oldest book without a reply.
  uint32_t AnsweredSequence = 0;
  Time Sent;
  bool Urgent = false;  ///< Something changed that frees or wants a place.
  bool Changed = false; ///< Something else changed.
};

} // namespace shallotlatch
