#include "pool_host_p.h"

namespace shallotlatch {

static constexpr Duration PollPeriod = seconds(2);
static constexpr Duration PoolIdleTime = seconds(60);

PoolHost::PoolHost(NodeEnv &Env, Membership &Members, CrashCounts &Shared)
    : Env(Env), Members(Members), Shared(Shared) {}

Pool *PoolHost::find(PoolId Id) {
  auto It = this->Pools.find(Id);
  return It == this->Pools.end() ? nullptr : It->second.Decisions.get();
}

static bool inPool(const TargetSpec &T, PoolId Id) {
  return poolId(T.Region, T.Group) == Id;
}

void PoolHost::configure(PoolId Id, Pool &P) {
  std::vector<const TargetSpec *> Specs;
  for (const TargetSpec &T : this->Env.ActiveConfig->Targets) {
    if (inPool(T, Id)) {
      Specs.push_back(&T);
    }
  }
  P.configure(Specs, this->Env.ActiveConfig->Policy);
  for (const TargetSpec *T : Specs) {
    TargetId Target = targetId(T->Name);
    P.setLeaving(Target, this->Shared.leaving(Target));
  }
}

Pool *PoolHost::open(PoolId Id) {
  Pool *Known = this->find(Id);
  if (Known != nullptr || !this->Env.ActiveConfig) {
    return Known;
  }
  for (const TargetSpec &T : this->Env.ActiveConfig->Targets) {
    if (inPool(T, Id)) {
      Owned &O = this->Pools[Id];
      O.Decisions = std::make_unique<Pool>(T.Region, T.Group,
                                           this->Env.ActiveConfig->Policy);
      O.LastAsk = this->Env.Now;
      this->configure(Id, *O.Decisions);
      return O.Decisions.get();
    }
  }
  return nullptr;
}

void PoolHost::send(PoolReplies &Replies) {
  for (const auto &Item : Replies.Grants) {
    this->Env.outboxFor(Item.first).Grants.push_back(Item.second);
  }
  for (const auto &Item : Replies.Refusals) {
    this->Env.outboxFor(Item.first).Refusals.push_back(Item.second);
  }
}

void PoolHost::onAsk(HostId From, const SlotRequest &A) {
  PoolReplies Replies;
  Pool *P = this->open(A.Pool);
  if (P == nullptr) {
    Replies.Refusals.emplace_back(From,
                                  Refusal{A.Id, Reason::NoTarget, seconds(1)});
  } else {
    const CustomerSpec *Spec = this->Env.ActiveConfig->customer(A.Customer);
    this->Pools[A.Pool].LastAsk = this->Env.Now;
    P->enqueue(this->Env.Now, From, A, Spec == nullptr ? 1 : Spec->Weight,
               Replies);
  }
  this->send(Replies);
}

// Ask numbers are unique on their host, so these need not name the pool: an
// owner has few, and the other ones do not know the number.
void PoolHost::onWithdraw(HostId From, const Withdrawal &W) {
  PoolReplies Replies;
  for (auto &Item : this->Pools) {
    Item.second.Decisions->withdraw(this->Env.Now, From, W.Id, Replies);
  }
  this->send(Replies);
}

void PoolHost::onRelease(HostId From, const Release &R) {
  PoolReplies Replies;
  for (auto &Item : this->Pools) {
    Item.second.Decisions->release(this->Env.Now, From, R, Replies);
  }
  this->send(Replies);
}

void PoolHost::onStarted(HostId From, const FirstTokenNotice &S) {
  PoolReplies Replies;
  for (auto &Item : this->Pools) {
    Item.second.Decisions->started(this->Env.Now, From, S.Id, Replies);
  }
  this->send(Replies);
}

void PoolHost::onProgress(const StreamProgress &P) {
  if (Pool *Owner = this->find(P.Pool)) {
    Owner->observe(this->Env.Now, P);
  }
}

void PoolHost::onHoldList(HostId From, const EntryStateReport &L) {
  PoolReplies Replies;
  Pool *P = this->open(L.Pool);
  if (P == nullptr) {
    return;
  }
  this->Pools[L.Pool].LastAsk = this->Env.Now;
  P->hold(this->Env.Now, From, L, Replies);
  this->send(Replies);
  if (!P->same(From, L)) {
    this->Env.outboxFor(From).ResendRequests.push_back(ResendRequest{L.Pool});
  }
  this->Env.outboxFor(From).PoolLoads.push_back(P->load(L.Pool));
}

void PoolHost::onReport(TargetId Target, const TargetReport &R) {
  if (R.Reached) {
    this->Shared.setTargetLeaving(Target, R.Leaving);
  }
  for (auto &Item : this->Pools) {
    for (uint32_t Hash : R.Evicted) {
      Item.second.Decisions->evictPrefix(Target, Hash);
    }
    Item.second.Decisions->setLeaving(Target, this->Shared.leaving(Target));
  }
}

void PoolHost::hostGone(HostId Host) {
  PoolReplies Replies;
  for (auto &Item : this->Pools) {
    Item.second.Decisions->hostGone(this->Env.Now, Host, Replies);
  }
  this->send(Replies);
}

void PoolHost::reconfigure() {
  for (auto &Item : this->Pools) {
    this->configure(Item.first, *Item.second.Decisions);
  }
}

void PoolHost::poll() {
  this->NextPoll = this->Env.Now + PollPeriod;
  for (const TargetSpec &T : this->Env.ActiveConfig->Targets) {
    if (this->find(poolId(T.Region, T.Group)) != nullptr) {
      this->Env.Commands.emplace_back(PollCommand{targetId(T.Name)});
    }
  }
}

// A pool that opens reads the notes itself; here is what changed since.
void PoolHost::applyNotes() {
  this->SeenNotes = this->Shared.notesEpoch();
  for (auto &Item : this->Pools) {
    Pool &P = *Item.second.Decisions;
    for (const TargetStats &T : P.targets()) {
      P.setLeaving(T.Id, this->Shared.leaving(T.Id));
    }
  }
}

void PoolHost::tick() {
  if (!this->Env.ActiveConfig) {
    return;
  }
  if (this->Env.Now >= this->NextPoll) {
    this->poll();
  }
  if (this->SeenNotes != this->Shared.notesEpoch()) {
    this->applyNotes();
  }
  PoolReplies Replies;
  for (auto It = this->Pools.begin(); It != this->Pools.end();) {
    Pool &P = *It->second.Decisions;
    P.tick(this->Env.Now, Replies);
    bool Idle = this->Env.Now - It->second.LastAsk > PoolIdleTime &&
                P.stats().InFlight == 0 && P.stats().Waiting == 0;
    It = Idle ? this->Pools.erase(It) : std::next(It);
  }
  this->send(Replies);
}

std::vector<PoolStats> PoolHost::stats() const {
  std::vector<PoolStats> All;
  for (const auto &Item : this->Pools) {
    All.push_back(Item.second.Decisions->stats());
  }
  return All;
}

std::vector<TargetStats> PoolHost::targets() const {
  std::vector<TargetStats> All;
  for (const auto &Item : this->Pools) {
    std::vector<TargetStats> Some = Item.second.Decisions->targets();
    All.insert(All.end(), Some.begin(), Some.end());
  }
  return All;
}

} // namespace shallotlatch
