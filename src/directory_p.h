/// \file
/// What this host believes of the configuration, the targets and its peers,
/// from lists and watches of the platform's store, and how old each belief is.
#pragma once

#include "routing_p.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace shallotlatch {

enum class DirectoryKind : uint8_t { Config, Targets, Hosts };
constexpr size_t DirectoryKinds = 3;
const char *name(DirectoryKind K);

/// One object, decoded. At most one of the pointers is set; none: unreadable.
struct DirectoryObject {
  std::string Name;
  uint64_t Revision = 0;
  bool Deleted = false;
  std::string ParseError; ///< Why it could not be read.
  std::shared_ptr<const RoutingConfig> Config;
  std::optional<TargetEntry> Target;
  std::optional<FleetHost> Host;
};

struct DirectoryReply {
  enum class Status : uint8_t {
    Ok,
    HistoryGone, ///< The watch has to begin with a new list.
    Exists,      ///< Creating: the name is taken.
    Refused,     ///< The store said no; nothing was done.
    Failed,      ///< No answer: unknown whether anything was done.
  };
  Status Result = Status::Failed;
  std::vector<DirectoryObject> Objects;
  uint64_t At = 0; ///< The store's revision that the answer reflects.
  bool HasMore = false;
};

/// How new what the store tells has to be.
enum class ReadConsistency : uint8_t {
  Linearizable, ///< All that was acknowledged before the call.
  MayBeStale,   ///< Cheaper; may be seconds behind.
};

/// Backend of the directory: one call each, no retries of its own.
class DirectoryStore {
public:
  using Reply = std::function<void(DirectoryReply &&)>;
  virtual ~DirectoryStore() = default;
  virtual void list(DirectoryKind Kind, const std::string &After,
                    Reply Done) = 0;
  virtual void watch(DirectoryKind Kind, uint64_t Revision, Duration Wait,
                     ReadConsistency Mode, Reply Done) = 0;
  virtual void registerHost(const FleetHost &Self, Reply Done) = 0;
  virtual void removeHost(const std::string &HostName, Reply Done) = 0;
};

/// Receives changes of belief.
class DirectoryEvents {
public:
  virtual ~DirectoryEvents() = default;
  virtual void onConfig(std::shared_ptr<const RoutingConfig> Config) = 0;
  /// A target appeared or changed.
  virtual void onTarget(const TargetEntry &Target) = 0;
  virtual void onTargetGone(const std::string &Instance) = 0;
  virtual void onHost(const FleetHost &Host) = 0;
  virtual void onHostGone(const std::string &Name) = 0;
  /// The store answers again, or does not.
  virtual void onStoreReachable(bool Reachable) = 0;
  /// The store is asked whether the configuration is the newest.
  virtual void onConfirmStarted() = 0;
  /// It said so.
  virtual void onConfirmed(uint64_t ConfigRevision) = 0;
};

/// Lists, then watches each kind. Time is passed in, as time that goes on
/// while the machine is suspended.
class FleetDirectory {
public:
  FleetDirectory(DirectoryStore &Store, DirectoryEvents &Events, uint64_t Seed);

  void start(const FleetHost &Self, Time Now);
  void tick(Time Now);
  /// A peer asked the store after it had heard from this host at \p Heard, by
  /// this host's clock, and was told that \p ConfigRevision is the newest.
  void onPeerConfirmation(uint64_t ConfigRevision, Time Heard);
  /// Hosts that watch the same store: with more of them, changes are gathered
  /// for longer, so that the calls a second of the fleet stay bounded.
  void setPeerCount(uint32_t PeerCount) { this->PeerCount = PeerCount; }
  /// Whether this host asks the store itself for what is urgent; otherwise it
  /// hears of it from another host of its failure domain that does.
  void setLeader(bool Lead, Time Now);
  /// Removes a peer's entry; peers agreed that it is gone.
  void removeHost(const std::string &Name);

  /// Time since the store last confirmed the belief; maximum: never.
  Duration age(DirectoryKind Kind, Time Now) const;
  uint64_t revision(DirectoryKind Kind) const {
    return this->Feeds[index(Kind)].Revision;
  }
  bool synced(DirectoryKind Kind) const {
    return this->Feeds[index(Kind)].Synced;
  }
  bool reachable() const { return this->Reachable; }
  const std::shared_ptr<const RoutingConfig> &config() const {
    return this->Config;
  }

private:
  /// State of one kind's list and watch.
  struct Feed {
    bool Synced = false;       ///< A whole list was read once.
    bool Listing = false;      ///< The next call is a list.
    bool CallInFlight = false; ///< A call is out.
    uint32_t CallNumber =
        0; ///< Numbers calls; late answers of older ones drop.
    uint32_t Failures = 0;
    uint64_t At = 0;       ///< Watch from here.
    uint64_t Revision = 0; ///< Of the newest object that was applied.
    Time CallStartedAt;
    bool Confirming = false; ///< A short call checks that nothing changed.
    Time ConfirmStartedAt;
    Time ConfirmedAt{Duration::min()};
    Time NextCallAt;
    std::string After;
    std::set<std::string> ListedNames;
    std::map<std::string, uint64_t> Objects;     ///< Revision by name.
    std::map<std::string, Time> PendingRemovals; ///< Unlisted after an outage.
  };

  static size_t index(DirectoryKind Kind) { return static_cast<size_t>(Kind); }
  Feed &feed(DirectoryKind Kind) { return this->Feeds[index(Kind)]; }
  ReadConsistency mode(DirectoryKind Kind) const;
  void call(DirectoryKind Kind, Time Now);
  void onReply(DirectoryKind Kind, uint32_t CallNumber, DirectoryReply &&Reply);
  void confirm(Time Now);
  void onConfirmReply(uint64_t From, DirectoryReply &&Reply);
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
  bool Lead = true;
  Feed Feeds[DirectoryKinds];
  FleetHost Self;
  std::shared_ptr<const RoutingConfig> Config;
  bool Reachable = false;
  bool Registered = false;
  bool Registering = false;
  Time Now;
  Time RegisterAt;
  Time UnreachableSince;
  Time LapseGraceEnd; ///< Until then a missing target may only have lapsed.
};

} // namespace shallotlatch
