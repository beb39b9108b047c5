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
      DocumentCopies(this->Env, this->Members, this->Queue),
      SharedCrashCounts(this->Env, this->Members), Keys(this->Env, this->Queue),
      Limits(this->Env),
      Pools(this->Env, this->Members, this->SharedCrashCounts),
      Requests(this->Env, this->Members, this->SharedCrashCounts) {}

void Node::setTime(Time Now, WallMillis WallTime) {
  this->Env.Now = Now;
  this->Env.WallTime = WallTime;
}

RequestHandle Node::submit(const Submission &S) {
  RequestHandle H = this->Requests.submit(S);
  this->deliverLocalMessages();
  return H;
}

void Node::cancel(RequestHandle H) {
  this->Requests.cancel(H);
  this->deliverLocalMessages();
}

void Node::onConnectFailed(RequestHandle H) {
  this->Requests.onConnectFailed(H);
  this->deliverLocalMessages();
}

bool Node::beginSend(RequestHandle H) { return this->Requests.beginSend(H); }

void Node::onTokens(RequestHandle H, uint32_t Count) {
  this->Requests.onTokens(H, Count);
  this->deliverLocalMessages();
}

void Node::onDispatchEnded(RequestHandle H, const DispatchEnd &E) {
  this->Requests.onDispatchEnded(H, E);
  this->deliverLocalMessages();
}

void Node::receive(HostId From, const PeerBatch &Batch) {
  this->Members.recordContact(From);
  this->deliver(From, Batch);
  this->deliverLocalMessages();
}

void Node::onLinkUp(HostId Host) {
  this->Members.recordContact(Host);
  this->DocumentCopies.requestAll(Host);
  this->deliverLocalMessages();
}

void Node::markUnreachable(HostId Host) {
  this->Members.markUnreachable(Host);
  this->deliverLocalMessages();
}

void Node::storeReply(const StoreReply &Reply) {
  this->Queue.onReply(Reply);
  this->Keys.recordEra(Reply.Era);
  if (!this->DocumentCopies.onStoreReply(Reply)) {
    this->Keys.onStoreReply(Reply);
  }
  this->deliverLocalMessages();
}

void Node::report(TargetId Target, const TargetReport &R) {
  this->Pools.onReport(Target, R);
  this->deliverLocalMessages();
}

void Node::tick() {
  this->Members.recordContact(this->Env.Self);
  this->Members.tick(this->DocumentCopies.versions(),
                     this->SharedCrashCounts.digest());
  this->DocumentCopies.tick();
  this->SharedCrashCounts.tick();
  this->Pools.tick();
  this->Requests.tick();
  this->Keys.tick();
  this->Queue.tick();
  this->deliverLocalMessages();
}

void Node::drain() {
  this->Draining = true;
  this->Members.setLeaving(true);
  this->Requests.drain();
}

bool Node::ready() const {
  return !this->Draining && this->Env.ActiveConfig != nullptr;
}

void Node::applyChanges() {
  for (DocumentKind Kind : this->DocumentCopies.takeChanged()) {
    if (Kind == DocumentKind::Config) {
      this->Requests.reconfigure();
      this->Pools.reconfigure();
    }
  }
  for (HostId Host : this->Members.takeDepartedHosts()) {
    this->Pools.onHostLost(Host);
    this->Limits.onHostLost(Host);
    this->Requests.onHostLost(Host);
  }
}

// The node delivers the messages to itself at once and in order. Messages that
// this causes are delivered too, until none is left.
void Node::deliverLocalMessages() {
  this->applyChanges();
  this->Env.mergeDelayed();
  auto It = this->Env.Outbox.find(this->Env.Self);
  while (It != this->Env.Outbox.end()) {
    PeerBatch Batch = std::move(It->second);
    this->Env.Outbox.erase(It);
    this->deliver(this->Env.Self, Batch);
    this->applyChanges();
    this->Env.mergeDelayed();
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
    this->DocumentCopies.onVersions(From, H.Versions);
    uint64_t OwnDigest =
        this->Members.digest() + this->SharedCrashCounts.digest();
    if (H.Digest != 0 && H.Digest != OwnDigest) {
      this->Members.sendAll(From);
      this->SharedCrashCounts.sendAll(From);
    }
  }
  for (const LivenessReport &O : Batch.LivenessReports) {
    this->Members.onLivenessReport(O);
  }
  for (const CrashCount &C : Batch.CrashCounts) {
    this->SharedCrashCounts.onCount(C);
  }
  for (const TargetStatusUpdate &N : Batch.TargetStatusUpdates) {
    this->SharedCrashCounts.onNote(N);
  }
  for (const DocumentRequest &W : Batch.DocumentRequests) {
    this->DocumentCopies.onWant(From, W);
  }
  for (const DocumentUpdate &B : Batch.DocumentUpdates) {
    this->DocumentCopies.onBody(B);
  }
  for (const LimitRequest &A : Batch.LimitRequests) {
    this->Limits.onAsk(From, A);
  }
}

void Node::deliverPool(HostId From, const PeerBatch &Batch) {
  for (const Release &R : Batch.Releases) {
    this->Pools.onRelease(From, R);
  }
  for (const Withdrawal &W : Batch.Withdrawals) {
    this->Pools.onWithdraw(From, W);
  }
  for (const FirstTokenNotice &S : Batch.FirstTokenNotices) {
    this->Pools.onStarted(From, S);
  }
  for (const StreamProgress &P : Batch.StreamProgressReports) {
    this->Pools.onProgress(P);
  }
  for (const EntryStateReport &L : Batch.EntryStateReports) {
    this->Pools.onHoldList(From, L);
  }
  for (const SlotRequest &A : Batch.SlotRequests) {
    this->Pools.onAsk(From, A);
  }
  for (const Claim &C : Batch.Claims) {
    this->Keys.onClaim(From, C);
  }
  for (const ClaimCompletion &S : Batch.ClaimCompletions) {
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
  for (const ResendRequest &A : Batch.ResendRequests) {
    this->Requests.onAskAgain(From, A);
  }
  for (const PoolLoad &L : Batch.PoolLoads) {
    this->Requests.onPoolLoad(From, L);
  }
  for (const ClaimReply &C : Batch.ClaimReplies) {
    this->Requests.onClaimReply(C);
  }
  for (const OutcomeRequest &J : Batch.OutcomeRequests) {
    this->Requests.onJoin(From, J);
  }
  for (const OutcomeReply &J : Batch.OutcomeReplies) {
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
