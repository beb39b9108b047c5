#include "pool_host_p.h"

namespace shallotlatch {

// Period of polling the targets for load reports.
static constexpr Duration PollPeriod = seconds(2);
// Time without messages after which an empty pool is destroyed.
static constexpr Duration PoolIdleTimeout = seconds(60);

PoolOwner::PoolOwner(NodeEnv &Env, Membership &Members,
                     CrashCounts &SharedState)
    : Env(Env), Members(Members), SharedState(SharedState) {}

Pool *PoolOwner::find(PoolId Id) {
  auto It = this->Pools.find(Id);
  return It == this->Pools.end() ? nullptr : It->second.Scheduler.get();
}

static bool inPool(const TargetSpec &T, PoolId Id) {
  return poolId(T.Region, T.Group) == Id;
}

void PoolOwner::configure(PoolId Id, Pool &P) {
  std::vector<const TargetSpec *> Specs;
  for (const TargetSpec &T : this->Env.ActiveConfig->Targets) {
    if (inPool(T, Id)) {
      Specs.push_back(&T);
    }
  }
  P.configure(Specs, this->Env.ActiveConfig->Policy);
  for (const TargetSpec *T : Specs) {
    TargetId Target = targetId(T->Name);
    P.setLeaving(Target, this->SharedState.leaving(Target));
  }
}

Pool *PoolOwner::findOrCreate(PoolId Id) {
  Pool *Known = this->find(Id);
  if (Known != nullptr || !this->Env.ActiveConfig) {
    return Known;
  }
  for (const TargetSpec &T : this->Env.ActiveConfig->Targets) {
    if (inPool(T, Id)) {
      OwnedPool &O = this->Pools[Id];
      O.Scheduler = std::make_unique<Pool>(T.Region, T.Group,
                                           this->Env.ActiveConfig->Policy);
      O.LastUsed = this->Env.Now;
      this->configure(Id, *O.Scheduler);
      return O.Scheduler.get();
    }
  }
  return nullptr;
}

void PoolOwner::sendReplies(PoolReplies &Replies) {
  for (const auto &Item : Replies.Grants) {
    this->Env.outboxFor(Item.first).Grants.push_back(Item.second);
  }
  for (const auto &Item : Replies.Refusals) {
    this->Env.outboxFor(Item.first).Refusals.push_back(Item.second);
  }
}

void PoolOwner::onAsk(HostId From, const SlotRequest &A) {
  PoolReplies Replies;
  Pool *P = this->findOrCreate(A.Pool);
  if (P == nullptr) {
    Replies.Refusals.emplace_back(From,
                                  Refusal{A.Id, Reason::NoTarget, seconds(1)});
  } else {
    const CustomerSpec *Spec = this->Env.ActiveConfig->customer(A.Customer);
    this->Pools[A.Pool].LastUsed = this->Env.Now;
    P->enqueue(this->Env.Now, From, A, Spec == nullptr ? 1 : Spec->Weight,
               Replies);
  }
  this->sendReplies(Replies);
}

// Ask ids are unique on their entry host, so withdrawals, releases and
// first-token messages do not name the pool. They are given to all pools of
// this owner: there are few, and the others do not know the id.
void PoolOwner::onWithdraw(HostId From, const Withdrawal &W) {
  PoolReplies Replies;
  for (auto &Item : this->Pools) {
    Item.second.Scheduler->withdraw(this->Env.Now, From, W.Id, Replies);
  }
  this->sendReplies(Replies);
}

void PoolOwner::onRelease(HostId From, const Release &R) {
  PoolReplies Replies;
  for (auto &Item : this->Pools) {
    Item.second.Scheduler->release(this->Env.Now, From, R, Replies);
  }
  this->sendReplies(Replies);
}

void PoolOwner::onStarted(HostId From, const FirstTokenNotice &S) {
  PoolReplies Replies;
  for (auto &Item : this->Pools) {
    Item.second.Scheduler->recordFirstToken(this->Env.Now, From, S.Id, Replies);
  }
  this->sendReplies(Replies);
}

void PoolOwner::onProgress(const StreamProgress &P) {
  if (Pool *Owner = this->find(P.Pool)) {
    Owner->recordProgress(this->Env.Now, P);
  }
}

void PoolOwner::onHoldList(HostId From, const EntryStateReport &L) {
  PoolReplies Replies;
  Pool *P = this->findOrCreate(L.Pool);
  if (P == nullptr) {
    return;
  }
  this->Pools[L.Pool].LastUsed = this->Env.Now;
  P->reconcile(this->Env.Now, From, L, Replies);
  this->sendReplies(Replies);
  if (!P->matchesDigest(From, L)) {
    this->Env.outboxFor(From).ResendRequests.push_back(ResendRequest{L.Pool});
  }
  this->Env.outboxFor(From).PoolLoads.push_back(P->load(L.Pool));
}

void PoolOwner::onReport(TargetId Target, const TargetReport &R) {
  if (R.Reached) {
    this->SharedState.setTargetLeaving(Target, R.Leaving);
  }
  for (auto &Item : this->Pools) {
    for (uint32_t Hash : R.Evicted) {
      Item.second.Scheduler->evictPrefix(Target, Hash);
    }
    Item.second.Scheduler->setLeaving(Target,
                                      this->SharedState.leaving(Target));
  }
}

void PoolOwner::onHostLost(HostId Host) {
  PoolReplies Replies;
  for (auto &Item : this->Pools) {
    Item.second.Scheduler->onHostLost(this->Env.Now, Host, Replies);
  }
  this->sendReplies(Replies);
}

void PoolOwner::reconfigure() {
  for (auto &Item : this->Pools) {
    this->configure(Item.first, *Item.second.Scheduler);
  }
}

void PoolOwner::poll() {
  this->NextPoll = this->Env.Now + PollPeriod;
  for (const TargetSpec &T : this->Env.ActiveConfig->Targets) {
    if (this->find(poolId(T.Region, T.Group)) != nullptr) {
      this->Env.Commands.emplace_back(PollCommand{targetId(T.Name)});
    }
  }
}

// A new pool reads the target notes when it is configured. This function
// applies changes to the existing pools.
void PoolOwner::applyTargetNotes() {
  this->SeenNotesEpoch = this->SharedState.notesEpoch();
  for (auto &Item : this->Pools) {
    Pool &P = *Item.second.Scheduler;
    for (const TargetStats &T : P.targets()) {
      P.setLeaving(T.Id, this->SharedState.leaving(T.Id));
    }
  }
}

void PoolOwner::tick() {
  if (!this->Env.ActiveConfig) {
    return;
  }
  if (this->Env.Now >= this->NextPoll) {
    this->poll();
  }
  if (this->SeenNotesEpoch != this->SharedState.notesEpoch()) {
    this->applyTargetNotes();
  }
  PoolReplies Replies;
  for (auto It = this->Pools.begin(); It != this->Pools.end();) {
    Pool &P = *It->second.Scheduler;
    P.tick(this->Env.Now, Replies);
    bool Idle = this->Env.Now - It->second.LastUsed > PoolIdleTimeout &&
                P.stats().InFlight == 0 && P.stats().Waiting == 0;
    It = Idle ? this->Pools.erase(It) : std::next(It);
  }
  this->sendReplies(Replies);
}

std::vector<PoolStats> PoolOwner::stats() const {
  std::vector<PoolStats> All;
  for (const auto &Item : this->Pools) {
    All.push_back(Item.second.Scheduler->stats());
  }
  return All;
}

std::vector<TargetStats> PoolOwner::targets() const {
  std::vector<TargetStats> All;
  for (const auto &Item : this->Pools) {
    std::vector<TargetStats> Some = Item.second.Scheduler->targets();
    All.insert(All.end(), Some.begin(), Some.end());
  }
  return All;
}

} // namespace shallotlatch
