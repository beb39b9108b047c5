#include "node_p.h"

namespace shallotlatch {

static NodeEnv makeEnv(const NodeInit &Init) {
  NodeEnv Env;
  Env.Now = Init.Start;
  Env.Self = hostId(Init.Name);
  Env.Run = Init.Run;
  Env.Region = Init.Region;
  Env.Random.seed(Init.Seed);
  return Env;
}

Node::Node(const NodeInit &Init)
    : Env(makeEnv(Init)), Members(this->Env),
      Queue(this->Env, Init.StoreCallsPerSecond),
      Copies(this->Env, this->Members, this->Queue),
      Shared(this->Env, this->Members), Keys(this->Env, this->Queue),
      Limits(this->Env), Pools(this->Env, this->Members, this->Shared),
      Requests(this->Env, this->Members, this->Shared) {}

void Node::setTime(Time Now, WallMillis Wall) {
  this->Env.Now = Now;
  this->Env.Wall = Wall;
}

RequestHandle Node::submit(const Submission &S) {
  RequestHandle H = this->Requests.submit(S);
  this->pump();
  return H;
}

void Node::cancel(RequestHandle H) {
  this->Requests.cancel(H);
  this->pump();
}

void Node::unsent(RequestHandle H) {
  this->Requests.onConnectFailed(H);
  this->pump();
}

bool Node::sending(RequestHandle H) { return this->Requests.beginSend(H); }

void Node::tokens(RequestHandle H, uint32_t Count) {
  this->Requests.onTokens(H, Count);
  this->pump();
}

void Node::ended(RequestHandle H, const DispatchEnd &E) {
  this->Requests.onDispatchEnded(H, E);
  this->pump();
}

void Node::receive(HostId From, const PeerBatch &Batch) {
  this->Members.heard(From);
  this->deliver(From, Batch);
  this->pump();
}

void Node::linked(HostId Host) {
  this->Members.heard(Host);
  this->Copies.askPeer(Host);
  this->pump();
}

void Node::unreachable(HostId Host) {
  this->Members.unreachable(Host);
  this->pump();
}

void Node::storeReply(const StoreReply &Reply) {
  this->Queue.onReply(Reply);
  if (!this->Copies.onStoreReply(Reply)) {
    this->Keys.onStoreReply(Reply);
  }
  this->pump();
}

void Node::report(TargetId Target, const TargetReport &R) {
  this->Pools.onReport(Target, R);
  this->pump();
}

void Node::tick() {
  this->Members.heard(this->Env.Self);
  this->Members.tick(this->Copies.versions(), this->Shared.digest());
  this->Copies.tick();
  this->Shared.tick();
  this->Pools.tick();
  this->Requests.tick();
  this->Keys.tick();
  this->Queue.tick();
  this->pump();
}

void Node::drain() {
  this->Draining = true;
  this->Members.setLeaving(true);
  this->Requests.drain();
}

bool Node::ready() const {
  return !this->Draining && this->Env.Conf != nullptr;
}

void Node::applyChanges() {
  for (Document What : this->Copies.takeChanged()) {
    if (What == Document::Config) {
      this->Requests.reconfigure();
      this->Pools.reconfigure();
    }
  }
  for (HostId Host : this->Members.takeGone()) {
    this->Pools.onHostLost(Host);
    this->Limits.onHostLost(Host);
    this->Requests.onHostLost(Host);
  }
}

// Messages to this node itself are delivered at once, in order; what they
// cause is delivered too, until nothing is left.
void Node::pump() {
  this->applyChanges();
  this->Env.joinDelayed();
  auto It = this->Env.Outbox.find(this->Env.Self);
  while (It != this->Env.Outbox.end()) {
    PeerBatch Batch = std::move(It->second);
    this->Env.Outbox.erase(It);
    this->deliver(this->Env.Self, Batch);
    this->applyChanges();
    this->Env.joinDelayed();
    It = this->Env.Outbox.find(this->Env.Self);
  }
}

void Node::deliver(HostId From, const PeerBatch &Batch) {
  this->deliverShared(From, Batch);
  this->deliverPool(From, Batch);
  this->deliverEntry(From, Batch);
}

void Node::deliverShared(HostId From, const PeerBatch &Batch) {
  for (const Heartbeat &H : Batch.Heartbeats) {
    this->Members.onHeartbeat(From, H);
    this->Copies.onVersions(From, H.Versions);
    uint64_t Mine = this->Members.digest() + this->Shared.digest();
    if (H.Digest != 0 && H.Digest != Mine) {
      this->Members.sendAll(From);
      this->Shared.sendAll(From);
    }
  }
  for (const Opinion &O : Batch.Opinions) {
    this->Members.onOpinion(O);
  }
  for (const CrashCount &C : Batch.CrashCounts) {
    this->Shared.onCount(C);
  }
  for (const TargetNote &N : Batch.TargetNotes) {
    this->Shared.onNote(N);
  }
  for (const DocumentWant &W : Batch.DocumentWants) {
    this->Copies.onWant(From, W);
  }
  for (const DocumentBody &B : Batch.DocumentBodies) {
    this->Copies.onBody(B);
  }
  for (const LimitAsk &A : Batch.LimitAsks) {
    this->Limits.onAsk(From, A);
  }
}

void Node::deliverPool(HostId From, const PeerBatch &Batch) {
  for (const Release &R : Batch.Releases) {
    this->Pools.onRelease(From, R);
  }
  for (const Withdraw &W : Batch.Withdrawals) {
    this->Pools.onWithdraw(From, W);
  }
  for (const Started &S : Batch.Starts) {
    this->Pools.onStarted(From, S);
  }
  for (const Progress &P : Batch.Progresses) {
    this->Pools.onProgress(P);
  }
  for (const HoldList &L : Batch.HoldLists) {
    this->Pools.onHoldList(From, L);
  }
  for (const Ask &A : Batch.Asks) {
    this->Pools.onAsk(From, A);
  }
  for (const Claim &C : Batch.Claims) {
    this->Keys.onClaim(From, C);
  }
  for (const Settle &S : Batch.Settles) {
    this->Keys.onSettle(S);
  }
}

void Node::deliverEntry(HostId From, const PeerBatch &Batch) {
  for (const Grant &G : Batch.Grants) {
    this->Requests.onGrant(From, G);
  }
  for (const Refusal &R : Batch.Refusals) {
    this->Requests.onRefusal(From, R);
  }
  for (const AskAgain &A : Batch.AskAgains) {
    this->Requests.onAskAgain(From, A);
  }
  for (const PoolLoad &L : Batch.PoolLoads) {
    this->Requests.onPoolLoad(From, L);
  }
  for (const ClaimReply &C : Batch.ClaimReplies) {
    this->Requests.onClaimReply(C);
  }
  for (const Join &J : Batch.Joins) {
    this->Requests.onJoin(From, J);
  }
  for (const JoinReply &J : Batch.JoinReplies) {
    this->Requests.onJoinReply(J);
  }
  for (const LimitGrant &G : Batch.LimitGrants) {
    this->Requests.onLimitGrant(From, G);
  }
}

std::map<HostId, PeerBatch> Node::takeOutbox() {
  std::map<HostId, PeerBatch> Taken;
  Taken.swap(this->Env.Outbox);
  return Taken;
}

std::vector<Command> Node::takeCommands() {
  std::vector<Command> Taken;
  Taken.swap(this->Env.Commands);
  return Taken;
}

} // namespace shallotlatch
