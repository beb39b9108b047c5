/// \file
/// Which software version began a stream. Streams go on only at that version,
/// at whichever host their callers return to.
#pragma once

#include "routing_p.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace shallotlatch {

/// Hash of the id of the caller's attempt that brought a stream's first event.
using StreamId = Id<struct StreamTag, uint32_t>;
StreamId streamId(std::string_view RequestId);

/// What a host knows of a stream.
struct StreamNote {
  StreamId Stream;
  SoftwareId Software; ///< Invalid if the host does not know it.
};

/// A host's question for the version that began a stream.
struct StreamAsk {
  StreamId Stream;
  ServiceId Service;
};

/// Largest number of notes, asks and answers in one message each.
constexpr size_t MaxStreamNotes = 100;

/// A message about streams between two hosts.
struct StreamNews {
  HostId Host; ///< The sender.
  std::vector<StreamNote> Notes;
  std::vector<StreamAsk> Asks;
  std::vector<StreamNote> Answers;
};

/// Keeps the versions that began streams lately, the own ones and those that
/// peers noted here. Times are passed in.
class StreamOrigins {
public:
  explicit StreamOrigins(Time Start) : Start(Start) {}

  /// Sets the longest time from a stream's first event to the last attempt to
  /// go on with it.
  void setStreamLife(Duration Life) { this->Life = Life; }
  /// Records that targets of \p Software serve in \p Service.
  void recordServing(ServiceId Service, SoftwareId Software, Time Now);
  /// Records the version that began a stream at this host.
  void recordBegun(ServiceId Service, StreamId Stream, SoftwareId Software,
                   Time Now);
  /// Records what peers told.
  void merge(const std::vector<StreamNote> &Notes, Time Now);
  std::optional<SoftwareId> find(StreamId Stream) const;
  /// Returns the version at which every stream of \p Service must have begun
  /// that can still go on, or nothing if it may be one of several.
  std::optional<SoftwareId> soleVersion(ServiceId Service, Time Now) const;
  /// Returns the only version of \p Service that is known to serve or to have
  /// served lately. Says nothing of the time before this process started.
  std::optional<SoftwareId> onlyVersionSeen(ServiceId Service) const;
  /// Answers a peer's question.
  StreamNote answer(const StreamAsk &Ask, bool ViewIsFresh, Time Now) const;
  /// Takes at most \p Limit notes for the hosts that replace this one. Empty
  /// while `soleVersion` tells the version without them.
  std::vector<StreamNote> takeNotes(size_t Limit, Time Now);
  void tick(Time Now);
  size_t size() const { return this->Known.size(); }

private:
  struct Entry {
    SoftwareId Software;
    ServiceId Service; ///< Invalid if a peer told it.
    Time At;
  };
  Time Start;
  Duration Life = seconds(60);
  std::unordered_map<StreamId, Entry> Known;
  /// Versions of each service and when targets of them were last known.
  std::map<ServiceId, std::map<SoftwareId, Time>> Serving;
  /// Own streams that are to be given out, the oldest first.
  std::vector<StreamId> Unsent;
  Time NextPrune;
};

} // namespace shallotlatch
