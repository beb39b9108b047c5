/// \file
/// This host's copy of the configuration, the targets and the hosts, kept up to
/// date by lists and watches of the platform's store, with the age of each.
#pragma once

#include "record_store_p.h"
#include "rollout_order_p.h"
#include "routing_p.h"
#include "store_eras_p.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace shallotlatch {

/// Kind of objects in the store.
enum class DirectoryKind : uint8_t { Config, Targets, Hosts, Rollouts };
constexpr size_t DirectoryKinds = 4;
const char *name(DirectoryKind K);

/// Decoded object. At most one of `Config`, `Target`, `Host` and `Rollout` is
/// set; none is set if the object could not be parsed or was deleted.
struct DirectoryObject {
  std::string Name;
  uint64_t Revision = 0;
  bool Deleted = false;
  std::string ParseError; ///< Why the object could not be parsed.
  std::shared_ptr<const RoutingConfig> Config;
  std::optional<TargetEntry> Target;
  std::optional<FleetHost> Host;
  std::optional<RolloutOrder> Rollout;
};

/// Reply of the store to one call.
struct DirectoryReply {
  enum class Status : uint8_t {
    Ok,
    HistoryGone, ///< The store no longer has the revision; list again.
    Exists,      ///< An object of that name exists already.
    Conflict,    ///< The object has another revision; `Objects` may show it.
    Refused,     ///< The store refused the call; nothing was done.
    Failed,      ///< No reply came; the call may have taken effect.
  };
  Status Result = Status::Failed;
  std::vector<DirectoryObject> Objects;
  uint64_t StoreRevision = 0; ///< Store revision that the reply reflects.
  /// Era of the store's history: it rises each time the store comes back from
  /// an older copy. None if the store did not name it.
  std::optional<uint64_t> Era;
  bool HasMore = false; ///< The list continues after the last object.
};

/// Freshness that a read of the store requires.
enum class ReadConsistency : uint8_t {
  Linearizable, ///< Shows every write acknowledged before the call.
  MayBeStale,   ///< Costs less; the reply may be seconds behind.
};

/// Backend of the directory. Each function is one operation of the store, which
/// the backend does not retry.
class DirectoryStore {
public:
  using Reply = std::function<void(DirectoryReply &&)>;
  virtual ~DirectoryStore() = default;
  /// Lists objects in the order of their names, from the first name after
  /// \p After.
  virtual void list(DirectoryKind Kind, const std::string &After,
                    ReadConsistency Mode, Reply Done) = 0;
  /// Replies with the changes after \p Revision, or without any after \p Wait.
  virtual void watch(DirectoryKind Kind, uint64_t Revision, Duration Wait,
                     ReadConsistency Mode, Reply Done) = 0;
  /// Creates or replaces this host's entry.
  virtual void registerHost(const FleetHost &Self, Reply Done) = 0;
  /// Deletes a host's entry.
  virtual void removeHost(const std::string &HostName, Reply Done) = 0;
  /// Writes the status of an order if the object has the revision. The reply
  /// may show the object.
  virtual void writeRolloutStatus(const RolloutStatusWrite &Write,
                                  Reply Done) = 0;
  /// Returns the records that hosts keep in the same store, or nullptr if it
  /// takes none.
  virtual RecordStore *records() { return nullptr; }
};

/// Receives the changes of the directory.
class DirectoryEvents {
public:
  virtual ~DirectoryEvents() = default;
  virtual void onConfig(std::shared_ptr<const RoutingConfig> Config) = 0;
  /// A target appeared or changed.
  virtual void onTarget(const TargetEntry &Target) = 0;
  virtual void onTargetGone(const std::string &Instance) = 0;
  virtual void onHost(const FleetHost &Host) = 0;
  virtual void onHostGone(const std::string &Name) = 0;
  /// An order appeared or changed. \p Appeared: a list before did not show it.
  virtual void onRollout(const RolloutOrder &Order, bool Appeared) = 0;
  virtual void onRolloutGone(const std::string &Name) = 0;
  /// The store became reachable or unreachable.
  virtual void onStoreReachable(bool Reachable) = 0;
  /// A call was started that asks the store whether the configuration is the
  /// newest.
  virtual void onConfirmStarted() = 0;
  /// The store replied that \p ConfigVersion is the newest.
  virtual void onConfirmed(uint64_t ConfigVersion) = 0;
  /// An entry of a target was in the store, perhaps for a while only.
  virtual void onTargetSeen(const TargetEntry &Target) = 0;
  /// All entries of targets that were ever in the store up to \p ReadAt have
  /// been reported since the last onTargetChangesMissed.
  virtual void onTargetsConfirmed(Time ReadAt) = 0;
  /// The store did not answer a call of `confirmTargets`.
  virtual void onTargetsUnconfirmed() = 0;
  /// Entries of targets may have come and gone that were not reported.
  virtual void onTargetChangesMissed() = 0;
};

/// Time after the end of its wait at which a call without a reply is given up,
/// together with its connection.
constexpr Duration DirectoryCallTimeout = millis(900);
/// Heartbeats without a sign of life after which the store removes a target's
/// entry.
constexpr int HeartbeatsUntilRemoval = 3;

/// Lists and then watches the objects of each kind. Times are passed in; their
/// clock has to advance while the machine is suspended.
class FleetDirectory {
public:
  FleetDirectory(DirectoryStore &Store, DirectoryEvents &Events, uint64_t Seed);

  void start(const FleetHost &Self, Time Now);
  void tick(Time Now);
  /// Records a peer's confirmation that \p ConfigVersion is the newest. The
  /// peer asked the store after it had received the message that this host sent
  /// at \p SentAt, by this host's clock.
  void onPeerConfirmation(uint64_t ConfigVersion, Time SentAt);
  /// Records the era of the store that a peer saw.
  void onPeerEra(uint64_t Era);
  /// Sets the number of other hosts that watch the same store. With more of
  /// them, changes are gathered for longer, so that the number of calls that
  /// the fleet makes in a second stays bounded.
  void setPeerCount(uint32_t PeerCount) { this->PeerCount = PeerCount; }
  /// Sets whether this host reads urgent changes from the store itself. If not,
  /// another host of its failure domain does so and passes them on.
  /// \p HasFollowers: this host does so for others.
  void setLeader(bool IsLeader, bool HasFollowers, Time Now);
  /// Sets the interval at which targets renew their entries.
  void setTargetHeartbeat(Duration Interval) { this->Heartbeat = Interval; }
  /// Reads the orders of roll-outs, too; to be called before `start`.
  void readRollouts() { this->RolloutsEnabled = true; }
  /// Writes the status of an order, unless a write is under way or the last one
  /// failed and the object has not been read since.
  void writeRolloutStatus(const RolloutStatusWrite &Write, Time Now);
  /// Removes the entry of a peer that is taken for gone.
  void removeHost(const std::string &Name);

  /// Returns the time since the store last confirmed this host's copy;
  /// Duration::max() if it never did.
  Duration age(DirectoryKind Kind, Time Now) const;
  /// Returns the revision of the newest object that was applied.
  uint64_t revision(DirectoryKind Kind) const {
    return this->Feeds[index(Kind)].Revision;
  }
  /// Returns whether a complete list was read.
  bool synced(DirectoryKind Kind) const {
    return this->Feeds[index(Kind)].Synced;
  }
  bool reachable() const { return this->Reachable; }
  /// Asks the store for the changes of targets up to now, unless a call for
  /// them is about to start anyway. `onTargetsConfirmed` or
  /// `onTargetsUnconfirmed` follows, perhaps from within this call.
  void confirmTargets(Time Now);
  uint64_t storeEra() const { return this->Eras.current(); }
  /// Returns whether the store shows again all that was written before its
  /// last return.
  bool eraSettled(Time Now) const { return this->Eras.settled(Now); }
  const std::shared_ptr<const RoutingConfig> &config() const {
    return this->Config;
  }

private:
  /// Returns the version of the configuration in force; 0 if there is none.
  uint64_t configVersion() const {
    return this->Config ? this->Config->Version : 0;
  }
  /// What is known of one object.
  struct KnownObject {
    uint64_t Revision = 0; ///< 0 until the current era has shown the object.
    uint64_t Content = 0;  ///< Hash of what the directory reports of it.
    TargetStamp Stamp;     ///< Of targets only.
  };
  /// Pages read so far of a list.
  struct ListProgress {
    std::string After; ///< Name after which the list continues.
    std::set<std::string> Names;
    /// Earliest revision that one of the pages reflects, and the time of the
    /// call for the first one.
    uint64_t Revision = UINT64_MAX;
    Time StartedAt;
    /// Returns whether a page was read.
    bool begun() const { return !this->After.empty(); }
  };
  /// State of the list and the watch of one kind.
  struct Feed {
    bool Synced = false;       ///< A complete list was read.
    bool Listing = false;      ///< The next call is a list.
    bool IsReturnList = false; ///< It is the first list of an era.
    bool CallInFlight = false;
    /// Number of the last call; replies to other calls are dropped.
    uint32_t CallNumber = 0;
    uint32_t Failures = 0;      ///< Consecutive failed calls.
    uint64_t WatchRevision = 0; ///< Revision from which the next watch starts.
    uint64_t Revision = 0;      ///< Revision of the newest object applied.
    Time CallStartedAt;
    ReadConsistency CallMode = ReadConsistency::Linearizable;
    bool Confirming = false; ///< A call without wait checks for changes.
    Time ConfirmStartedAt;
    /// Latest time at which the store was known to have nothing newer.
    Time ConfirmedAt{Duration::min()};
    Time NextCallAt;
    ListProgress List;
    std::map<std::string, KnownObject> Objects;
    /// Objects missing after an outage, and the time at which each is removed.
    std::map<std::string, Time> PendingRemovals;
  };

  /// Which changes of targets were reported. The list after an outage shows
  /// only the entries that are left.
  struct TargetHistory {
    /// All changes up to this revision were reported; 0 until the first list.
    uint64_t Revision = 0;
    /// Since when changes may have been made that no watch has shown, and when
    /// this was noticed; none while the changes are followed.
    std::optional<Time> InterruptedAt;
    Time NoticedAt;
    bool Wanted = false;
    Time WantedAt;
    /// Time at which the changes before the last list are read.
    std::optional<Time> FillAt;
    bool CallInFlight = false;
    /// Number of the last call; replies to other calls are dropped.
    uint32_t CallNumber = 0;
    Time CallStartedAt;
  };

  /// Returns the time until the changes before a list are read, which differs
  /// between hosts.
  Duration historyFillDelay() const;
  void callTargetHistory();
  void onTargetHistory(DirectoryReply &&Reply);
  /// Reports the targets in \p Changes, which follow on \p From, and were read
  /// by a call that started at \p ReadAt.
  void recordTargetChanges(const std::vector<DirectoryObject> &Changes,
                           uint64_t From, uint64_t To, Time ReadAt);
  /// Records that the changes of targets were not followed since \p Since.
  void interruptTargetHistory(Time Since, Time NoticedAt);
  void tickTargetHistory();
  void endTargetHistoryCall();

  bool isRead(DirectoryKind Kind) const {
    return Kind != DirectoryKind::Rollouts || this->RolloutsEnabled;
  }
  void onStatusReply(DirectoryReply &&Reply);
  static size_t index(DirectoryKind Kind) { return static_cast<size_t>(Kind); }
  Feed &feed(DirectoryKind Kind) { return this->Feeds[index(Kind)]; }
  ReadConsistency mode(DirectoryKind Kind) const;
  ReadConsistency listMode(DirectoryKind Kind) const;
  void call(DirectoryKind Kind, Time Now);
  EraChange recordEra(const DirectoryReply &Reply, ReadConsistency Mode);
  void startEra();
  /// Returns whether the store's word at \p ReadAt shows that the configuration
  /// in force is the newest.
  bool confirmsConfig(Time ReadAt) const;
  bool isOutdated(const DirectoryObject &Object, bool Listed) const;
  Time graceEnd(DirectoryKind Kind) const;
  void applyConfig(const DirectoryObject &Object);
  void onReply(DirectoryKind Kind, uint32_t CallNumber, DirectoryReply &&Reply);
  void confirm(Time Now);
  /// Returns whether a call has to be made to confirm the configuration.
  bool confirmDue(Time Now) const;
  void onConfirmReply(uint64_t FromRevision, DirectoryReply &&Reply);
  void markUnreachable();
  void restartList(Feed &F);
  void apply(DirectoryKind Kind, const DirectoryObject &Object);
  /// Applies the newest of the changes of each object.
  void applyChanges(DirectoryKind Kind,
                    const std::vector<DirectoryObject> &Changes);
  /// Applies a page of a list. Returns whether it is the last one.
  bool applyPage(DirectoryKind Kind, const DirectoryReply &Page);
  void removeUnlisted(DirectoryKind Kind, const std::string &Name);
  void remove(DirectoryKind Kind, const std::string &Name);
  void markReachable();
  /// Keeps missing objects until \p Earliest at least.
  void postponeRemovals(Time Earliest);
  void finishList(DirectoryKind Kind);
  void registerHost(Time Now);
  /// Registers this host again after a delay that differs between hosts.
  void registerLater();
  void markSettledEra();

  DirectoryStore &Store;
  DirectoryEvents &Events;
  uint64_t Seed;
  uint32_t PeerCount = 0;
  bool HasFollowers = false; ///< Passes urgent changes on to other hosts.
  bool Leader = true;        ///< Reads urgent changes from the store itself.
  Feed Feeds[DirectoryKinds];
  FleetHost Self;
  std::shared_ptr<const RoutingConfig> Config;
  bool RolloutsEnabled = false;
  bool StatusWriteInFlight = false;
  Time NextStatusWriteAt;
  bool Reachable = false;
  bool Registered = false;     ///< This host's entry is in the store.
  bool Registering = false;    ///< The call that registers it is in flight.
  uint32_t RegisterNumber = 0; ///< Number of the last call that registers it.
  Time Now;
  Time RegisterAt;
  Time UnreachableSince;
  /// Newest configuration version of which a peer knows, if it is newer than
  /// the own one, and when this host learned of it.
  uint64_t PeerVersion = 0;
  Time PeerVersionAt;
  StoreEras Eras;
  uint64_t PeerEra = 0; ///< Latest era that a peer saw.
  /// The store came back from a copy and has not shown the configuration in
  /// force or a newer one since.
  bool CopyBehind = false;
  uint64_t ConfigEra = 0; ///< Era in which the store last showed it.
  DepartedTargets Departed;
  TargetHistory History;
  Duration Heartbeat = millis(1200);
  /// End of the time in which entries may be those of the copy, and whether all
  /// targets are still to be read again then.
  Time CopyGraceEnd;
  bool ReadAgain = false;
  Time HostGraceEnd;  ///< End of the time for hosts to register again.
  Time LapseGraceEnd; ///< End of the time for lapsed targets to renew.
};

} // namespace shallotlatch
