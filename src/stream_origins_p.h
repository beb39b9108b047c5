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

/// Stands for the version of a process that is not known. No target has it,
/// since `softwareId` returns odd numbers only.
constexpr SoftwareId UndecidedSoftware{2};

/// Returns the id by which a host asks for the history of a service, that is
/// for the version at which all of its streams began that can still go on. It
/// differs from the ids of streams.
StreamId historyId(ServiceId Service);

/// What a host knows of a stream, or guesses.
struct StreamNote {
  StreamId Stream;
  /// Invalid if the host does not know it. Of a guess, the only version that
  /// the host has seen; invalid if it has seen several.
  SoftwareId Software;
  /// The host does not know the stream. It may have missed a version, so any
  /// other host may know better.
  bool IsGuess = false;
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
  /// Time for which streams may still go on, as far as the sender knows; 0 from
  /// earlier releases.
  Duration LongestLife{0};
};

/// Software versions of one service at which streams may have begun that can
/// still go on.
struct VersionSet {
  std::set<SoftwareId> Versions;
  bool IsComplete = false; ///< There are no others.
  /// While there are several: the version at which every process begins streams
  /// that has not announced others; invalid if there is none.
  SoftwareId Base;
  /// Era of the store in which the base version was the only one; nothing from
  /// earlier releases.
  std::optional<uint64_t> Era;
  bool operator==(const VersionSet &Other) const {
    return this->Versions == Other.Versions &&
           this->IsComplete == Other.IsComplete && this->Base == Other.Base &&
           this->Era == Other.Era;
  }
  /// Returns the base version as the store's record tells it in \p CurrentEra;
  /// invalid if it tells none.
  SoftwareId baseIn(uint64_t CurrentEra) const;
};
using ServiceVersions = std::map<ServiceId, VersionSet>;

/// What a host knows of the versions of all services.
struct KnownVersions {
  ServiceVersions Services;
  /// No other service has streams that can go on.
  bool CoversAllServices = false;
  /// What the store's record marks as complete is.
  bool TrustsRecord = false;
  uint64_t Era = 0; ///< Of the store.
};

/// Keeps the versions that began streams lately, the own ones and those that
/// peers noted here. Times are passed in.
class StreamOrigins {
public:
  explicit StreamOrigins(Time Start) : Start(Start) {}

  /// Sets the life of the streams that begin from now on: the longest time from
  /// the first event to the last attempt to go on.
  void setStreamLife(Duration Life, Time Now);
  /// Returns the time for which a stream that has begun by now may still go on,
  /// whichever configuration it began under; 0 while none is known.
  Duration longestLife(Time Now) const;
  /// Records that targets of \p Software serve in \p Service.
  void recordServing(ServiceId Service, SoftwareId Software, Time Now);
  /// Records the version that began a stream at this host. \p Until: time after
  /// which no attempt goes on with it.
  void recordBegun(ServiceId Service, StreamId Stream, SoftwareId Software,
                   Time Until, Time Now);
  /// Records a stream that a run in doubt began, so that it goes on nowhere.
  void recordUndecided(StreamId Stream, Time Until, Time Now);
  /// Records the time for which streams may still go on, as a peer knows it.
  void mergeLife(Duration PeerLife, Time Now);
  /// Records what peers told of streams.
  void merge(const std::vector<StreamNote> &Notes, Time Now);
  /// Records what a peer answered for the history of services. Returns the
  /// number of services whose history was not known before.
  size_t mergeHistory(const std::vector<StreamNote> &Answers, Time Now);
  /// Returns the questions for peers about the time before this process
  /// started, one for each of \p Services of which it does not know. Empty
  /// while no question is due.
  std::vector<StreamAsk> takeHistoryAsks(const std::set<ServiceId> &Services,
                                         Time Now);
  /// Returns the versions of those of \p Services of which targets were seen.
  KnownVersions knownVersions(const std::set<ServiceId> &Services,
                              Time Now) const;
  /// Records the versions that the store's record names. \p IsTrusted: those
  /// that it marks as complete are.
  void mergeVersions(const ServiceVersions &Recorded, bool IsTrusted, Time Now);
  /// Records that targets may have served up to \p Now that were not recorded.
  void recordGap(Time Now);
  /// Records the base versions that the store's record tells: invalid ones for
  /// services that have none, and nothing for those that it may get later.
  void setBases(const std::map<ServiceId, SoftwareId> &Bases);
  /// Forgets the base versions, since the store may have lost announcements.
  void forgetBases();
  /// Returns the base version of \p Service, invalid if there is none; nothing
  /// while this process does not know.
  std::optional<SoftwareId> base(ServiceId Service, Time Now) const;
  /// Returns whether the store's record tells no base version of \p Service and
  /// may tell one later.
  bool isBaseIndefinite(ServiceId Service) const;
  /// Returns whether the base version of some service has to be read.
  bool needsBases(const std::set<ServiceId> &Services, Time Now) const;
  /// Returns the other versions of \p Service at which streams may begin, each
  /// with the time at which it was first seen.
  const std::map<SoftwareId, Time> &versionsSeen(ServiceId Service) const;
  /// Returns the time since which no own stream of \p Service has waited to be
  /// told to peers; the latest time there is if none waits.
  Time oldestUntold(ServiceId Service) const;
  std::optional<SoftwareId> find(StreamId Stream) const;
  /// Returns the version at which every stream of \p Service must have begun
  /// that can still go on, or nothing if it may be one of several.
  std::optional<SoftwareId> soleVersion(ServiceId Service, Time Now) const;
  /// Returns the only version of \p Service that is known to serve or to have
  /// served lately. Says nothing of the time before this process started.
  std::optional<SoftwareId> onlyVersionSeen(ServiceId Service) const;
  /// Returns the number of versions of \p Service at which a stream that can
  /// still go on may have begun, as far as this process has seen.
  size_t versions(ServiceId Service) const;
  /// Answers a peer's question, by a guess if the stream is not known.
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
    Time Until;        ///< No attempt goes on with the stream later.
    Time Began;        ///< At this host.
  };
  /// What is known of the versions of one service.
  struct ServiceHistory {
    /// Versions that served, and the time after which no stream goes on that
    /// began at them.
    std::map<SoftwareId, Time> Versions;
    std::map<SoftwareId, Time> SeenAt; ///< Of each of `Versions`.
    /// See `VersionSet::Base`; nothing: not known.
    std::optional<SoftwareId> Base;
    bool BaseWasRead = false; ///< Since several versions serve.
    /// `Versions` covers the time before this process started, since a peer
    /// knew of one version alone or the store's record names them.
    bool Vouched = false;
  };
  /// Records that streams may have begun at a version and go on until then.
  void addVersion(ServiceId Service, SoftwareId Software, Time Until, Time Now);
  /// Returns the time after which no stream goes on that has begun by now.
  Time lifeEnd(Time Now) const;

  Time Start;
  std::optional<Duration> Life; ///< None before the first configuration.
  /// Time after which no stream goes on that began under an earlier
  /// configuration, here or at a peer.
  Time EarlierLifeEnd;
  /// Time after which no stream goes on that began before this process started,
  /// or before the last gap in what it has seen.
  Time UnseenLifeEnd = Time::max();
  std::unordered_map<StreamId, Entry> Known;
  std::map<ServiceId, ServiceHistory> Histories;
  Time NextHistoryAsk;
  Duration HistoryAskInterval{0}; ///< Between the last question and the next.
  /// Own streams that are to be given out, the oldest first.
  std::vector<StreamId> Unsent;
  Time NextPrune;
};

} // namespace shallotlatch
