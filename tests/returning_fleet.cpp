#include "returning_fleet.h"

#include <algorithm>

namespace shallotlatch {

static constexpr Duration StepTime = millis(20);
static constexpr Duration RevocationLimit = seconds(5);
static constexpr double MaxKeyAgeRatio = 0.62;
static constexpr Duration InTouchAfter = seconds(4);
static constexpr Duration ConfigApplyTime = millis(2500);
static constexpr Duration DrainTime = millis(2500);

/// One host: its directory, and what it knew at any time.
class ReturningHost : public DirectoryStore, public DirectoryEvents {
public:
  ReturningHost(ReturningFleet &Fleet, size_t Number, size_t Domain)
      : Fleet(Fleet), Number(Number), Domain(Domain) {}

  void start(Time Now, uint32_t PeerCount) {
    this->Directory =
        std::make_unique<FleetDirectory>(*this, *this, 31 * this->Number + 7);
    this->Alive = true;
    ++this->Run;
    this->AliveSince = Now;
    this->Version = 0;
    this->Usable.clear();
    this->KnownLeaving.clear();
    this->Stamps.clear();
    this->Echoes.clear();
    this->ConfirmedVersion = 0;
    FleetHost Self;
    Self.Name = "h" + std::to_string(this->Number);
    Self.Run = this->Run;
    this->Directory->setPeerCount(PeerCount);
    this->Directory->start(Self, Now);
  }
  void kill() {
    this->Directory.reset();
    this->Alive = false;
  }

  void list(DirectoryKind Kind, const std::string &After, ReadConsistency Mode,
            Reply Done) override {
    this->call(Kind, 0, Duration(0), false, Mode, std::move(Done), After);
  }
  void watch(DirectoryKind Kind, uint64_t Revision, Duration Wait,
             ReadConsistency Mode, Reply Done) override {
    this->call(Kind, Revision, Wait, true, Mode, std::move(Done));
  }
  void registerHost(const FleetHost &Self, Reply Done) override {
    this->Fleet.countCall(true, ReadConsistency::Linearizable);
    DirectoryReply R;
    if (this->Fleet.reaches(this->Number) && !this->Fleet.store().Away) {
      DirectoryObject O;
      O.Name = Self.Name;
      O.Host = Self;
      this->Fleet.store().put(DirectoryKind::Hosts, O);
      R.Result = DirectoryReply::Status::Ok;
    }
    ReturningFleet::Call C;
    C.IsReply = true;
    C.At = this->Fleet.now() + millis(40);
    C.Host = this->Number;
    C.Run = this->Run;
    C.Reply = std::move(R);
    C.Done = std::move(Done);
    this->Fleet.send(std::move(C));
  }
  void removeHost(const std::string &, Reply) override {}
  void writeRolloutStatus(const RolloutStatusWrite &, Reply) override {}

  void onConfig(std::shared_ptr<const RoutingConfig> C) override {
    this->Fleet.Counts.Regressions += C->Version < this->Version ? 1 : 0;
    this->Version = C->Version;
  }
  void onTarget(const TargetEntry &T) override {
    if (T.Leaving) {
      this->Usable.erase(T.Instance);
      this->KnownLeaving.insert(T.Instance);
      return;
    }
    if (this->KnownLeaving.count(T.Instance) != 0) {
      this->Returned.insert(T.Instance);
    }
    this->Usable.insert(T.Instance);
  }
  /// Counts the targets that are used although this host knew that they leave.
  /// One reply may hold several states of a target; only the last one is used.
  void countReturned() {
    for (const std::string &Instance : this->Returned) {
      this->Fleet.Counts.ReturnedTargets +=
          this->Usable.count(Instance) != 0 && !this->Fleet.serves(Instance)
              ? 1
              : 0;
    }
    this->Returned.clear();
  }
  void onTargetGone(const std::string &Instance) override {
    this->Usable.erase(Instance);
    if (!this->Fleet.serves(Instance)) {
      this->KnownLeaving.insert(Instance);
    }
  }
  void onHost(const FleetHost &) override {}
  void onHostGone(const std::string &) override {}
  void onRollout(const RolloutOrder &, bool) override {}
  void onRolloutGone(const std::string &) override {}
  void onStoreReachable(bool) override {}
  void onConfirmStarted() override { this->PendingEchoes = this->Stamps; }
  void onConfirmed(uint64_t ConfigVersion) override {
    this->ConfirmedVersion = ConfigVersion;
    this->Echoes = this->PendingEchoes;
  }
  void onTargetSeen(const TargetEntry &) override {}
  void onTargetsConfirmed(Time) override {}
  void onTargetsUnconfirmed() override {}
  void onTargetChangesMissed() override {}

  ReturningFleet &Fleet;
  size_t Number;
  size_t Domain;
  bool Alive = false;
  uint64_t Run = 0;
  Time AliveSince, FrozenUntil, CutUntil;
  std::unique_ptr<FleetDirectory> Directory;
  uint64_t Version = 0;
  std::set<std::string> Usable, KnownLeaving, Returned;
  /// Newest stamp of each peer, and those that a confirmation covers.
  std::map<size_t, Time> Stamps, PendingEchoes, Echoes;
  uint64_t ConfirmedVersion = 0;

private:
  void call(DirectoryKind Kind, uint64_t Since, Duration Wait, bool IsWatch,
            ReadConsistency Mode, Reply Done, const std::string &After = "") {
    this->Fleet.countCall(false, Mode);
    ReturningFleet::Call C;
    C.After = After;
    C.At = this->Fleet.now() + millis(20);
    C.Until = this->Fleet.now() + Wait;
    C.IsWatch = IsWatch;
    C.Host = this->Number;
    C.Run = this->Run;
    C.Kind = Kind;
    C.Since = Since;
    C.Done = std::move(Done);
    this->Fleet.send(std::move(C));
  }
};

ReturningFleet::ReturningFleet(const ReturningFleetInit &Init)
    : Init(Init), Random(Init.Seed), Now(seconds(1000)), Start(seconds(1000)) {
  this->StableSince = this->Now;
  for (size_t I = 0; I < Init.Targets; ++I) {
    this->Targets.emplace_back();
    this->Targets.back().Entry.Instance =
        "t" + std::to_string(++this->TargetNumber);
  }
  this->writeConfig();
  this->writeTargets(true);
  this->Store.copy(this->Now);
  for (size_t I = 0; I < Init.Domains * Init.HostsPerDomain; ++I) {
    this->Hosts.push_back(
        std::make_unique<ReturningHost>(*this, I, I / Init.HostsPerDomain));
    this->Hosts.back()->start(
        this->Now,
        static_cast<uint32_t>(this->Init.Domains * this->Init.HostsPerDomain) -
            1);
  }
  this->NextConfig = this->Now + seconds(3);
  this->NextTarget = this->Now + seconds(2);
  this->ReturnsAt = this->Now + seconds(12);
}

ReturningFleet::~ReturningFleet() = default;

bool ReturningFleet::chance(double PerSecond) {
  return std::uniform_real_distribution<double>(0, 1)(this->Random) <
         PerSecond * toSeconds(StepTime);
}

int64_t ReturningFleet::draw(int64_t From, int64_t To) {
  return std::uniform_int_distribution<int64_t>(From, To)(this->Random);
}

void ReturningFleet::send(Call C) { this->Calls.push_back(std::move(C)); }

void ReturningFleet::countCall(bool IsWrite, ReadConsistency Mode) {
  if (IsWrite) {
    ++this->WritesThisSecond;
  } else if (Mode == ReadConsistency::Linearizable) {
    ++this->CallsThisSecond;
  }
}

bool ReturningFleet::reaches(size_t Host) const {
  return this->Now >= this->Hosts[Host]->CutUntil;
}

bool ReturningFleet::serves(const std::string &Instance) const {
  for (const Target &T : this->Targets) {
    if (T.Entry.Instance == Instance) {
      return T.Listed && !T.Entry.Leaving;
    }
  }
  return false;
}

// Each version revokes a key, so that a host that trusts its keys under an
// older one lets a revoked key pass.
void ReturningFleet::writeConfig() {
  std::shared_ptr<RoutingConfig> C = std::make_shared<RoutingConfig>();
  C->Version = this->Version;
  DirectoryObject O;
  O.Name = "main";
  O.Config = C;
  this->Store.put(DirectoryKind::Config, O);
  if (this->Acknowledged.empty() ||
      this->Acknowledged.back().first != this->Version) {
    this->Acknowledged.push_back({this->Version, this->Now});
  }
}

void ReturningFleet::writeTargets(bool All) {
  for (Target &T : this->Targets) {
    bool Held = this->Store.holds(DirectoryKind::Targets, T.Entry.Instance);
    if (!T.Listed) {
      this->Store.erase(DirectoryKind::Targets, T.Entry.Instance);
    } else if (All || !Held) {
      ++T.Entry.Sequence;
      DirectoryObject O;
      O.Name = T.Entry.Instance;
      O.Target = T.Entry;
      this->Store.put(DirectoryKind::Targets, O);
      T.RegisteredAt = this->Now;
    }
  }
}

void ReturningFleet::operate() {
  if (this->Store.Away) {
    return;
  }
  if (this->Rewriting && this->Now >= this->RewriteAt) {
    this->Rewriting = false;
    this->writeConfig();
  }
  if (this->TargetsRewriting && this->Now >= this->RewriteAt) {
    this->TargetsRewriting = false;
    this->writeTargets(true);
  }
  if (!this->Rewriting && this->Now >= this->NextConfig) {
    this->NextConfig = this->Now + millis(this->draw(500, 4000));
    this->Version += static_cast<uint64_t>(this->draw(1, 3));
    this->writeConfig();
  }
  if (this->TargetsRewriting || this->Now < this->NextTarget) {
    return;
  }
  this->NextTarget = this->Now + millis(this->draw(300, 2000));
  Target &T = this->Targets[static_cast<size_t>(
      this->draw(0, static_cast<int64_t>(this->Targets.size()) - 1))];
  if (!T.Listed) {
    return;
  }
  if (!T.Entry.Leaving) {
    T.Entry.Leaving = true;
    T.LeavesAt = this->Now + DrainTime;
    ++T.Entry.Sequence;
    DirectoryObject O;
    O.Name = T.Entry.Instance;
    O.Target = T.Entry;
    this->Store.put(DirectoryKind::Targets, O);
  } else if (this->Now >= T.LeavesAt) {
    this->Store.erase(DirectoryKind::Targets, T.Entry.Instance);
    T.Listed = false;
    Target Next;
    Next.Entry.Instance = "t" + std::to_string(++this->TargetNumber);
    this->Targets.push_back(Next);
    this->writeTargets(false);
  }
}

// Some calls in flight at a return are answered late, some watches never.
void ReturningFleet::disturb() {
  if (this->Store.Away && this->Now >= this->ReturnsAt) {
    this->Store.Away = false;
    this->Store.restore(millis(this->draw(500, 10000)), this->Now);
    this->Rewriting = this->TargetsRewriting = true;
    this->RewriteAt = this->Now + millis(this->draw(0, 1800));
    this->StableSince = this->Now;
    this->ReturnsAt = this->Now + millis(this->draw(1500, 14000));
  } else if (!this->Store.Away && this->Now >= this->ReturnsAt) {
    this->Store.Away = true;
    this->ReturnsAt = this->Now + millis(this->draw(100, 6000));
    for (Call &C : this->Calls) {
      if (!C.IsReply && this->draw(0, 9) < 8) {
        C.IsReply = true;
        C.At = this->Now + millis(40);
        C.Reply = DirectoryReply();
      } else if (C.IsReply) {
        C.At += millis(this->draw(0, 6000));
      }
    }
  }
  for (const auto &H : this->Hosts) {
    if (!H->Alive) {
      if (this->chance(1)) {
        H->start(this->Now, static_cast<uint32_t>(this->Init.Domains *
                                                  this->Init.HostsPerDomain) -
                                1);
      }
    } else if (this->chance(0.01)) {
      H->kill();
    } else if (this->Now > H->FrozenUntil && this->chance(0.01)) {
      H->FrozenUntil = this->Now + millis(this->draw(500, 12000));
    } else if (this->Now > H->CutUntil && this->chance(0.01)) {
      H->CutUntil = this->Now + millis(this->draw(500, 12000));
    }
  }
}

// A host that is frozen reads its replies when it wakes.
void ReturningFleet::serveCalls() {
  std::deque<Call> Pending;
  Pending.swap(this->Calls);
  for (Call &C : Pending) {
    ReturningHost &H = *this->Hosts[C.Host];
    if (!H.Alive || C.Run != H.Run) {
      continue;
    }
    if (C.IsReply) {
      if (this->Now >= C.At && this->Now >= H.FrozenUntil) {
        C.Done(std::move(C.Reply));
      } else {
        this->Calls.push_back(std::move(C));
      }
      continue;
    }
    bool Served = this->Now >= C.At;
    if (Served && (this->Store.Away || !this->reaches(C.Host))) {
      C.Reply = DirectoryReply();
    } else if (Served && C.IsWatch) {
      DirectoryReply R;
      Served = this->Store.watch(C.Kind, C.Since, this->Now >= C.Until, R);
      C.Reply = std::move(R);
    } else if (Served) {
      C.Reply = this->Store.list(C.Kind, C.After, this->Init.PageSize);
    }
    if (Served) {
      C.IsReply = true;
      C.At = this->Now + millis(20);
    }
    this->Calls.push_back(std::move(C));
  }
}

// Hosts of a domain exchange with its first live host, and these with each
// other. A message in 50 is lost; a frozen host reads late.
void ReturningFleet::exchange() {
  std::vector<size_t> Owners(this->Init.Domains, this->Hosts.size());
  for (size_t I = this->Hosts.size(); I-- > 0;) {
    if (this->Hosts[I]->Alive && this->Now >= this->Hosts[I]->FrozenUntil) {
      Owners[this->Hosts[I]->Domain] = I;
    }
  }
  for (const auto &H : this->Hosts) {
    if (!H->Alive || this->Now < H->FrozenUntil) {
      continue;
    }
    bool IsOwner = Owners[H->Domain] == H->Number;
    bool Large = this->Init.HostsPerDomain >= 4;
    H->Directory->setLeader(IsOwner || !Large, IsOwner && Large, this->Now);
    for (const auto &To : this->Hosts) {
      bool Wanted =
          To->Domain == H->Domain
              ? IsOwner || Owners[H->Domain] == To->Number || !Large
              : Owners[To->Domain] == To->Number && (IsOwner || !Large);
      if (To == H || !Wanted || this->draw(0, 49) == 0) {
        continue;
      }
      auto Echo = H->Echoes.find(To->Number);
      this->Messages.push_back(
          {this->Now + millis(20), H->Number, To->Number, H->Run, To->Run,
           H->ConfirmedVersion, H->Directory->storeEra(), this->Now,
           Echo == H->Echoes.end() ? Time() : Echo->second});
    }
  }
  std::deque<Message> Later;
  for (const Message &M : this->Messages) {
    ReturningHost &To = *this->Hosts[M.To];
    if (!To.Alive || To.Run != M.ToRun) {
      continue;
    }
    if (this->Now < M.At || this->Now < To.FrozenUntil) {
      Later.push_back(M);
      continue;
    }
    To.Stamps[M.From] = M.Stamp;
    if (M.Echo >= To.AliveSince) {
      To.Directory->onPeerConfirmation(M.Version, M.Echo);
    }
    To.Directory->onPeerEra(M.Era);
  }
  this->Messages.swap(Later);
}

void ReturningFleet::check() {
  for (const auto &H : this->Hosts) {
    if (!H->Alive || this->Now < H->FrozenUntil) {
      continue;
    }
    Duration Limit(static_cast<int64_t>(
        static_cast<double>(RevocationLimit.count()) * MaxKeyAgeRatio));
    Duration Age = H->Directory->age(DirectoryKind::Config, this->Now);
    bool Trusted = H->Version != 0 && Age < Limit;
    uint64_t Due = 0;
    for (const auto &Item : this->Acknowledged) {
      if (this->Now - Item.second > RevocationLimit && Trusted &&
          Item.first > H->Version) {
        ++this->Counts.RevokedKeyUses;
        break;
      }
      Due = this->Now - Item.second > ConfigApplyTime + StepTime ? Item.first
                                                                 : Due;
    }
    Time Quiet = std::max({H->AliveSince, H->FrozenUntil, H->CutUntil,
                           this->StableSince, this->Start});
    if (this->Store.Away || this->Now - Quiet < InTouchAfter) {
      continue;
    }
    ++(Trusted ? this->Counts.TrustedChecks : this->Counts.UntrustedChecks);
    this->Counts.StaleConfigs += H->Version < Due ? 1 : 0;
    for (const Target &T : this->Targets) {
      if (T.Listed && !T.Entry.Leaving &&
          this->Now - T.RegisteredAt > ConfigApplyTime &&
          H->Usable.count(T.Entry.Instance) == 0) {
        ++this->Counts.MissingTargets;
      }
      Time LeftAt = std::max(T.LeavesAt - DrainTime, Quiet);
      if (T.Entry.Leaving && this->Now - LeftAt > ConfigApplyTime &&
          H->Usable.count(T.Entry.Instance) != 0) {
        ++this->Counts.UnseenDepartures;
      }
    }
  }
}

void ReturningFleet::step() {
  this->Now += StepTime;
  ++this->Steps;
  this->disturb();
  this->operate();
  this->serveCalls();
  if (this->Steps % 6 == 0) {
    this->exchange();
  }
  for (const auto &H : this->Hosts) {
    if (H->Alive && this->Now >= H->FrozenUntil) {
      H->Directory->tick(this->Now);
      H->countReturned();
    }
  }
  if (this->Steps % 5 == 0) {
    this->check();
  }
  if (this->Steps % 25 == 0 && !this->Store.Away) {
    this->Store.copy(this->Now);
  }
  if (this->Steps % 50 == 0) {
    this->Counts.MaxCallsPerSecond =
        std::max(this->Counts.MaxCallsPerSecond, this->CallsThisSecond);
    this->Counts.MaxWritesPerSecond =
        std::max(this->Counts.MaxWritesPerSecond, this->WritesThisSecond);
    this->CallsThisSecond = this->WritesThisSecond = 0;
  }
}

ReturningFleetCounts ReturningFleet::run(Duration Length) {
  for (Time End = this->Now + Length; this->Now < End;) {
    this->step();
  }
  return this->Counts;
}

} // namespace shallotlatch
