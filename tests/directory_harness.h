/// \file
/// Harness for tests of a host's copy of the store: a scripted store that keeps
/// each call until the test replies to it.
#pragma once

#include "directory_p.h"

#include <CppUTest/TestHarness.h>

#include <deque>

namespace shallotlatch {

/// Store that keeps each call until the test replies to it.
struct ScriptedStore : public DirectoryStore {
  struct Call {
    /// 'l' is list, 'w' is watch, 'a' is registerHost and 'f' is removeHost.
    char Operation;
    DirectoryKind Kind;
    uint64_t Revision;
    Duration Wait;
    Reply Done;
    ReadConsistency Mode = ReadConsistency::Linearizable;
  };
  std::deque<Call> Calls;
  void list(DirectoryKind Kind, const std::string &, ReadConsistency,
            Reply Done) override {
    this->Calls.push_back({'l', Kind, 0, Duration(0), std::move(Done)});
  }
  void watch(DirectoryKind Kind, uint64_t Revision, Duration Wait,
             ReadConsistency Mode, Reply Done) override {
    this->Calls.push_back({'w', Kind, Revision, Wait, std::move(Done), Mode});
  }
  FleetHost Registered; ///< Argument of the last call of registerHost.
  void registerHost(const FleetHost &Self, Reply Done) override {
    this->Registered = Self;
    this->Calls.push_back(
        {'a', DirectoryKind::Hosts, 0, Duration(0), std::move(Done)});
  }
  void removeHost(const std::string &, Reply Done) override {
    this->Calls.push_back(
        {'f', DirectoryKind::Hosts, 0, Duration(0), std::move(Done)});
  }
  RolloutStatusWrite StatusWrite; ///< Of the last call.
  void writeRolloutStatus(const RolloutStatusWrite &Write,
                          Reply Done) override {
    this->StatusWrite = Write;
    this->Calls.push_back({'s', DirectoryKind::Rollouts, Write.Revision,
                           Duration(0), std::move(Done)});
  }
};

/// Records the events that the directory reports.
struct RecordedEvents : public DirectoryEvents {
  uint64_t Version = 0; ///< Version of the last configuration received.
  std::map<std::string, TargetEntry> Targets;
  /// Arguments of all onStoreReachable calls, the oldest first.
  std::vector<bool> ReachabilityChanges;
  void onConfig(std::shared_ptr<const RoutingConfig> C) override {
    this->Version = C->Version;
  }
  std::vector<std::string> TargetsSeen; ///< Of all onTarget calls.
  void onTarget(const TargetEntry &T) override {
    this->Targets[T.Instance] = T;
    this->TargetsSeen.push_back(T.Instance);
  }
  void onTargetGone(const std::string &Instance) override {
    this->Targets.erase(Instance);
  }
  std::set<std::string> Hosts;
  void onHost(const FleetHost &H) override { this->Hosts.insert(H.Name); }
  void onHostGone(const std::string &Name) override { this->Hosts.erase(Name); }
  std::map<std::string, RolloutOrder> Rollouts;
  bool RolloutAppeared = false; ///< Of the last onRollout call.
  void onRollout(const RolloutOrder &Order, bool Appeared) override {
    this->Rollouts[Order.Name] = Order;
    this->RolloutAppeared = Appeared;
  }
  void onRolloutGone(const std::string &Name) override {
    this->Rollouts.erase(Name);
  }
  void onStoreReachable(bool Reachable) override {
    this->ReachabilityChanges.push_back(Reachable);
  }
  void onConfirmStarted() override { ++this->ConfirmsStarted; }
  void onConfirmed(uint64_t ConfigVersion) override {
    this->ConfirmedVersion = ConfigVersion;
  }
  std::set<std::string> SoftwareSeen; ///< Of all onTargetSeen calls.
  void onTargetSeen(const TargetEntry &T) override {
    this->SoftwareSeen.insert(T.Software);
  }
  Time TargetsConfirmedAt;
  void onTargetsConfirmed(Time ReadAt) override {
    this->TargetsConfirmedAt = ReadAt;
  }
  int TargetsUnconfirmed = 0;
  void onTargetsUnconfirmed() override { ++this->TargetsUnconfirmed; }
  int ChangesMissed = 0;
  void onTargetChangesMissed() override { ++this->ChangesMissed; }
  int ConfirmsStarted = 0;
  uint64_t ConfirmedVersion = 0;
};
/// A directory, the store that it asks, and what it reported.
struct DirectoryHarness : public Utest {
  ScriptedStore Store;
  RecordedEvents Events;
  Time Now{seconds(1000)};
  std::unique_ptr<FleetDirectory> Directory;

  void setup() override { this->startDirectory(); }
  /// Starts the directory as a new process does.
  void startDirectory() {
    Store.Calls.clear();
    Directory = std::make_unique<FleetDirectory>(Store, Events, 7);
    FleetHost Self;
    Self.Name = "a";
    Directory->start(Self, Now);
  }
  void advance(int64_t Ms) {
    for (int64_t Passed = 0; Passed < Ms; Passed += 20) {
      Now += millis(20);
      Directory->tick(Now);
    }
  }
  static DirectoryObject configObject(uint64_t Version, uint64_t Revision) {
    DirectoryObject O;
    O.Name = "main";
    O.Revision = Revision;
    std::shared_ptr<RoutingConfig> C = std::make_shared<RoutingConfig>();
    C->Version = Version;
    O.Config = C;
    return O;
  }
  static DirectoryObject targetObject(const std::string &Name,
                                      uint64_t Revision, bool Leaving = false) {
    DirectoryObject O;
    O.Name = Name;
    O.Revision = Revision;
    TargetEntry T;
    T.Instance = Name;
    T.Leaving = Leaving;
    O.Target = T;
    return O;
  }
  /// Removes and returns the oldest pending call with this operation and kind;
  /// fails the test if there is none.
  ScriptedStore::Call takeCall(char Operation, DirectoryKind Kind) {
    for (auto It = Store.Calls.begin(); It != Store.Calls.end(); ++It) {
      if (It->Operation == Operation && It->Kind == Kind) {
        ScriptedStore::Call Found = std::move(*It);
        Store.Calls.erase(It);
        return Found;
      }
    }
    FAIL("no call with the expected operation and kind is pending");
    return {};
  }
  bool hasPendingCall(char Operation, DirectoryKind Kind) {
    for (const ScriptedStore::Call &C : Store.Calls) {
      if (C.Operation == Operation && C.Kind == Kind) {
        return true;
      }
    }
    return false;
  }
  void reply(char Operation, DirectoryKind Kind,
             std::vector<DirectoryObject> List, uint64_t Revision) {
    DirectoryReply R;
    R.Result = DirectoryReply::Status::Ok;
    R.Objects = std::move(List);
    R.StoreRevision = Revision;
    takeCall(Operation, Kind).Done(std::move(R));
  }
  void reply(char Operation, DirectoryKind Kind,
             DirectoryReply::Status Status) {
    DirectoryReply R;
    R.Result = Status;
    takeCall(Operation, Kind).Done(std::move(R));
  }
  /// Replies with a page of the list of targets that others follow.
  void replyPage(std::vector<DirectoryObject> Page, uint64_t Revision) {
    DirectoryReply R;
    R.Result = DirectoryReply::Status::Ok;
    R.Objects = std::move(Page);
    R.StoreRevision = Revision;
    R.HasMore = true;
    takeCall('l', DirectoryKind::Targets).Done(std::move(R));
  }
  /// Completes the first list of every kind and lets the watches start.
  void replyToInitialLists() {
    reply('l', DirectoryKind::Config, {configObject(5, 10)}, 12);
    reply('l', DirectoryKind::Targets,
          {targetObject("t1", 11), targetObject("t2", 12)}, 12);
    reply('l', DirectoryKind::Hosts, {}, 12);
    advance(1100);
  }
  uint64_t Era = 1; ///< Era that the store names.
  /// Replies as the store does in the era \p Era.
  void replyInEra(char Operation, DirectoryKind Kind,
                  std::vector<DirectoryObject> List, uint64_t Revision) {
    DirectoryReply R;
    R.Result = DirectoryReply::Status::Ok;
    R.Objects = std::move(List);
    R.StoreRevision = Revision;
    R.Era = this->Era;
    takeCall(Operation, Kind).Done(std::move(R));
  }
  /// Replies to the calls that confirm the configuration for \p Ms.
  void answerConfirmations(int64_t Ms, uint64_t Revision) {
    for (int64_t Passed = 0; Passed < Ms; Passed += 20) {
      for (size_t I = 0; I < Store.Calls.size();) {
        ScriptedStore::Call &C = Store.Calls[I];
        if (C.Operation != 'w' || C.Wait.count() != 0) {
          ++I;
          continue;
        }
        DirectoryReply R;
        R.Result = DirectoryReply::Status::Ok;
        R.StoreRevision = Revision;
        R.Era = this->Era;
        ScriptedStore::Call Confirmation = std::move(C);
        Store.Calls.erase(Store.Calls.begin() + static_cast<long>(I));
        Confirmation.Done(std::move(R));
      }
      advance(20);
    }
  }
};

} // namespace shallotlatch
