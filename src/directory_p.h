/// \file
/// This host's copy of the configuration, the targets and the hosts, kept up to
/// date by lists and watches of the platform's store, with the age of each.
#pragma once

#include "routing_p.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace shallotlatch {

/// Kind of objects in the store.
enum class DirectoryKind : uint8_t { Config, Targets, Hosts };
constexpr size_t DirectoryKinds = 3;
const char *name(DirectoryKind K);

/// Decoded object. At most one of `Config`, `Target` and `Host` is set; none is
/// set if the object could not be parsed or was deleted.
struct DirectoryObject {
  std::string Name;
  uint64_t Revision = 0;
  bool Deleted = false;
  std::string ParseError; ///< Why the object could not be parsed.
  std::shared_ptr<const RoutingConfig> Config;
  std::optional<TargetEntry> Target;
  std::optional<FleetHost> Host;
};

/// Reply of the store to one call.
struct DirectoryReply {
  enum class Status : uint8_t {
    Ok,
    HistoryGone, ///< The store no longer has the revision; list again.
    Exists,      ///< An object of that name exists already.
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
  /// The store became reachable or unreachable.
  virtual void onStoreReachable(bool Reachable) = 0;
  /// A call was started that asks the store whether the configuration is the
  /// newest.
  virtual void onConfirmStarted() = 0;
  /// The store replied that \p ConfigRevision is the newest.
  virtual void onConfirmed(uint64_t ConfigRevision) = 0;
};

/// Lists and then watches the objects of each kind. Times are passed in; their
/// clock has to advance while the machine is suspended.
class FleetDirectory {
public:
  FleetDirectory(DirectoryStore &Store, DirectoryEvents &Events, uint64_t Seed);

  void start(const FleetHost &Self, Time Now);
  void tick(Time Now);
  /// Records a peer's confirmation that \p ConfigRevision is the newest. The
  /// peer asked the store after it had received the message that this host sent
  /// at \p SentAt, by this host's clock.
  void onPeerConfirmation(uint64_t ConfigRevision, Time SentAt);
  /// Sets the number of other hosts that watch the same store. With more of
  /// them, changes are gathered for longer, so that the number of calls that
  /// the fleet makes in a second stays bounded.
  void setPeerCount(uint32_t PeerCount) { this->PeerCount = PeerCount; }
  /// Sets whether this host reads urgent changes from the store itself. If not,
  /// another host of its failure domain does so and passes them on.
  /// \p HasFollowers: this host does so for others.
  void setLeader(bool IsLeader, bool HasFollowers, Time Now);
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
  uint64_t storeEra() const { return this->StoreEra; }
  const std::shared_ptr<const RoutingConfig> &config() const {
    return this->Config;
  }

private:
  /// State of the list and the watch of one kind.
  struct Feed {
    bool Synced = false;  ///< A complete list was read.
    bool Listing = false; ///< The next call is a list.
    bool CallInFlight = false;
    /// Number of the last call; replies to other calls are dropped.
    uint32_t CallNumber = 0;
    uint32_t Failures = 0;      ///< Consecutive failed calls.
    uint64_t WatchRevision = 0; ///< Revision from which the next watch starts.
    uint64_t Revision = 0;      ///< Revision of the newest object applied.
    Time CallStartedAt;
    bool Confirming = false; ///< A call without wait checks for changes.
    Time ConfirmStartedAt;
    /// Latest time at which the store was known to have nothing newer.
    Time ConfirmedAt{Duration::min()};
    Time NextCallAt;
    std::string ListAfter;             ///< Name after which the list continues.
    std::set<std::string> ListedNames; ///< Names in the list so far.
    std::map<std::string, uint64_t> Objects; ///< Revision of each object.
    /// Objects missing after an outage, and the time at which each is removed.
    std::map<std::string, Time> PendingRemovals;
  };

  static size_t index(DirectoryKind Kind) { return static_cast<size_t>(Kind); }
  Feed &feed(DirectoryKind Kind) { return this->Feeds[index(Kind)]; }
  ReadConsistency mode(DirectoryKind Kind) const;
  ReadConsistency listMode(DirectoryKind Kind) const;
  void call(DirectoryKind Kind, Time Now);
  void recordEra(DirectoryKind Kind, const DirectoryReply &Reply);
  void onReply(DirectoryKind Kind, uint32_t CallNumber, DirectoryReply &&Reply);
  void confirm(Time Now);
  void onConfirmReply(uint64_t FromRevision, DirectoryReply &&Reply);
  void markUnreachable();
  void restartList(Feed &F);
  void apply(DirectoryKind Kind, const DirectoryObject &Object);
  void removeUnlisted(DirectoryKind Kind, const std::string &Name);
  void remove(DirectoryKind Kind, const std::string &Name);
  void markReachable();
  void finishList(DirectoryKind Kind);
  void registerHost(Time Now);

  DirectoryStore &Store;
  DirectoryEvents &Events;
  uint64_t Seed;
  uint32_t PeerCount = 0;
  bool HasFollowers = false; ///< Passes urgent changes on to other hosts.
  bool Leader = true;        ///< Reads urgent changes from the store itself.
  Feed Feeds[DirectoryKinds];
  FleetHost Self;
  std::shared_ptr<const RoutingConfig> Config;
  bool Reachable = false;
  uint64_t StoreEra = 0;    ///< Era that the store named last; 0 if it did not.
  bool Registered = false;  ///< This host's entry is in the store.
  bool Registering = false; ///< The call that registers it is in flight.
  Time Now;
  Time RegisterAt;
  Time UnreachableSince;
  /// Newest configuration revision of which a peer knows, if it is newer than
  /// the own one, and when this host learned of it.
  uint64_t PeerRevision = 0;
  Time PeerRevisionAt;
  Time LapseGraceEnd; ///< End of the time for lapsed targets to renew.
};

} // namespace shallotlatch
