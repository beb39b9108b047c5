// The way of a request to its target: by an own connection, or through a peer
// while the path is lost.
#include "relay_p.h"

#include "event_log_p.h"
#include "relay_limits_p.h"

#include <algorithm>

namespace shallotlatch {

// Longest idle time of a connection that is reused for a request that must not
// run twice. The target may have closed a connection that was idle for longer,
// and then it is unknown whether the request ran.
static constexpr Duration NonRepeatableMaxIdleTime = millis(1000);
// Longest idle time of a connection that is reused for a repeatable request.
static constexpr Duration RepeatableMaxIdleTime = seconds(20);
// A reachable target in the local failure domain accepts a connection within
// this time. A lost packet is retransmitted only after one second.
static constexpr Duration ConnectTimeout = millis(600);
// Time for a peer's tunnel: it waits up to 500 ms for the target, and a round
// trip to another region follows.
static constexpr Duration TunnelTimeout = millis(800);
// Failed connection attempts after which a request is refused.
static constexpr uint32_t MaxConnectFailures = 4;
// Time without a byte after which a call on an own connection is given up, once
// this host has lost its paths.
static constexpr Duration MaxSilence = seconds(1);
// Interval at which lost paths are looked at.
static constexpr Duration PathTickInterval = millis(100);

static TargetRunId runOf(const TargetEntry &Target) {
  return TargetRunId{Target.shortIdentity()};
}

bool RequestRelay::startCall(RelayedRequest &R) {
  Time Now = ProcessClock::now();
  std::optional<TargetRoute> Way =
      this->Paths.choose(runOf(R.Target), R.Ways, Now);
  if (!Way) {
    return false;
  }
  R.Through = Way->Through;
  OutboundCall Call;
  Call.To = R.Target.At;
  Call.ServerIdentity = R.Target.identity();
  Call.Bytes = this->serializeRequest(R);
  Call.Body = R.RequestBody;
  Call.Tag = hash64(R.RequestId);
  Call.ConnectTimeout = ConnectTimeout;
  Call.MaxIdleTime = R.MatchedRoute->repeatable() ? RepeatableMaxIdleTime
                                                  : NonRepeatableMaxIdleTime;
  if (R.Through) {
    Call.Through = TunnelHop{
        R.Through->At, {this->Self, R.Target.Instance, R.Target.identity()}};
    Call.ConnectTimeout = TunnelTimeout;
  }
  PlacementId Id = R.Id;
  uint32_t Serial = ++R.SendSerial;
  // On a reused connection, `start` calls `onSending` before it returns the
  // call's id, so `onSending` finds the request through StartingRun.
  this->StartingRun = Id;
  OutboundCallId CallId = this->TargetClient.start(std::move(Call));
  this->StartingRun = PlacementId();
  RelayedRequest *Current = this->find(Id);
  if (Current != nullptr && Current->Placed && Current->SendSerial == Serial) {
    Current->Call = CallId;
    this->RunByCall[CallId] = Id;
  }
  return true;
}

void RequestRelay::onConnected(OutboundCallId Call, Duration Elapsed) {
  const RelayedRequest *R = this->findByCall(Call);
  if (R != nullptr && !R->Through) {
    this->Paths.connected(runOf(R->Target), ProcessClock::now());
    this->service(R->Service).Places->scheduler().connected(R->Id, Elapsed);
  }
}

void RequestRelay::onTunnelAnswer(OutboundCallId Call,
                                  const std::optional<TunnelAnswer> &Answer) {
  RelayedRequest *R = this->findByCall(Call);
  if (R == nullptr || !R->Through) {
    return;
  }
  Time Now = ProcessClock::now();
  HostId Peer = R->Through->Id;
  TargetRunId Run = runOf(R->Target);
  if (Answer && !*Answer) {
    if (this->Paths.tunnelOpened(Run, Peer, Now)) {
      logImportantEvent("path-lost", {{"target", R->Target.Instance},
                                      {"peer", toHex(Peer.Value)}});
    }
    return;
  }
  std::optional<TunnelRefusal> Why = Answer ? *Answer : std::nullopt;
  R->Ways.noteRefusal(*R->Through, Why);
  this->Paths.tunnelRefused(Run, Peer, Why, Now);
  logEvent("no-tunnel", {{"id", R->RequestId},
                         {"target", R->Target.Instance},
                         {"peer", toHex(Peer.Value)},
                         {"why", Why ? name(*Why) : "no-answer"}});
}

// A target is taken for dead only on the word of a peer that reaches others, or
// where there is no peer to ask: a lost path looks the same from here.
void RequestRelay::retryUnsent(RelayedRequest &R, OutboundCallEnd End) {
  Time Now = ProcessClock::now();
  TargetRunId Run = runOf(R.Target);
  logEvent(
      "connect-failed",
      {{"id", R.RequestId}, {"target", R.Target.Instance}, {"how", name(End)}});
  if (End != OutboundCallEnd::TunnelRefused) {
    R.Ways.Direct = true;
    bool TimedOut = End == OutboundCallEnd::ConnectTimedOut;
    this->Paths.failed(
        Run, TimedOut ? PathFailure::Silent : PathFailure::Refused, Now);
    if (TimedOut) {
      this->TargetClient.dropIdle(R.Target.At, R.Target.identity());
    }
  }
  R.Call = OutboundCallId();
  if (Now < R.Deadline && this->startCall(R)) {
    return;
  }
  R.Tried.push_back(R.Target.Instance);
  if (!R.Ways.TargetBarred && R.Ways.isDown()) {
    // A tunnel that opens shows that a process lives, so a connection that was
    // refused before it was the path's.
    this->Crashes.onTargetDied(R.Target.shortIdentity(), Now);
    this->suspectRun(R.Target.shortIdentity(), name(End));
    this->Paths.targetDown(Run);
  }
  this->releasePlace(R, R.Ways.TargetBarred ? AttemptResult::Unknown
                                            : AttemptResult::Unreachable);
  if (++R.ConnectFailures < MaxConnectFailures) {
    this->place(R);
  } else {
    this->refuseOrFail(R, "no target could be reached",
                       this->retryAfterNotRun(R));
  }
}

void RequestRelay::recordSentDirectly(RelayedRequest &R, Time Now) {
  if (!R.Through) {
    R.AwaitedDirectly = true;
    R.HeardAt = Now;
    this->Paths.sent(runOf(R.Target), Now);
  }
}

void RequestRelay::recordHeard(RelayedRequest &R, Time Now) {
  if (R.AwaitedDirectly) {
    R.HeardAt = Now;
    this->Paths.heard(runOf(R.Target), Now);
  }
}

void RequestRelay::endDirectAttempt(RelayedRequest &R) {
  if (R.AwaitedDirectly) {
    R.AwaitedDirectly = false;
    this->Paths.ended(runOf(R.Target));
  }
}

// All connections on the path share its fate, the idle ones too.
void RequestRelay::recordSilence(const RelayedRequest &R) {
  this->Paths.failed(runOf(R.Target), PathFailure::Silent, ProcessClock::now());
  this->TargetClient.dropIdle(R.Target.At, R.Target.identity());
}

const TargetEntry *RequestRelay::targetOfRun(TargetRunId Run) const {
  for (const auto &Item : this->Targets) {
    if (runOf(Item.second) == Run) {
      return &Item.second;
    }
  }
  return nullptr;
}

void RequestRelay::tickPaths(Time Now) {
  if (Now < this->NextPathTick) {
    return;
  }
  this->NextPathTick = Now + PathTickInterval;
  for (TargetRunId Run : this->Paths.takeProbes(Now)) {
    const TargetEntry *Target = this->targetOfRun(Run);
    if (Target != nullptr) {
      this->Probes.start(Run, Target->At);
    }
  }
  bool Isolated = this->Paths.isIsolated(Now);
  if (Isolated != this->LoggedIsolated) {
    this->LoggedIsolated = Isolated;
    logImportantEvent("isolated", {{"isolated", Isolated},
                                   {"lost", this->Paths.stats(Now).Lost}});
  }
  if (Isolated) {
    this->abandonSilentCalls(Now);
  }
}

void RequestRelay::abandonSilentCalls(Time Now) {
  std::vector<OutboundCallId> Silent;
  for (const auto &Item : this->Requests) {
    const RelayedRequest &R = *Item.second;
    if (R.AwaitedDirectly && R.Call.isValid() && !R.ReadingPaused &&
        R.MatchedRoute->repeatable() && Now - R.HeardAt > MaxSilence) {
      Silent.push_back(R.Call);
    }
  }
  for (OutboundCallId Call : Silent) {
    this->TargetClient.abort(Call);
    this->onEnd(Call, OutboundCallEnd::TimedOut);
  }
}

void RequestRelay::onProbeEnd(TargetRunId Target, bool Connected) {
  Time Now = ProcessClock::now();
  const TargetEntry *Entry = this->targetOfRun(Target);
  if (Connected) {
    if (this->Paths.isLost(Target) && Entry != nullptr) {
      logImportantEvent("path-restored", {{"target", Entry->Instance}});
    }
    this->Paths.connected(Target, Now);
    return;
  }
  this->Paths.probeFailed(Target, Now);
  if (Entry != nullptr) {
    this->TargetClient.dropIdle(Entry->At, Entry->identity());
  }
}

std::variant<Address, TunnelRefusal>
RequestRelay::tunnelTo(const TunnelRequest &Request) const {
  Time Now = ProcessClock::now();
  auto It = this->Targets.find(Request.Instance);
  if (It == this->Targets.end() || It->second.identity() != Request.Identity) {
    return TunnelRefusal::UnknownTarget;
  }
  const TargetEntry &Target = It->second;
  auto Service = this->Services.find(Target.Service);
  bool Noticed = Service != this->Services.end() &&
                 !Service->second->Places->scheduler().notices().maySend(
                     incarnationKey(Target), Now, Now);
  if (this->withOwnerDeparture(Target).Leaving || Noticed) {
    return TunnelRefusal::TargetBarred;
  }
  if (this->Stop.has_value()) {
    return TunnelRefusal::Stopping;
  }
  if (this->Paths.isLost(runOf(Target)) || this->Paths.isIsolated(Now)) {
    return TunnelRefusal::NoPath;
  }
  return Target.At;
}

TunnelRefusal RequestRelay::tunnelFailure(const TunnelRequest &Request) {
  Time Now = ProcessClock::now();
  auto It = this->Targets.find(Request.Instance);
  if (It != this->Targets.end()) {
    this->Paths.failed(runOf(It->second), PathFailure::Refused, Now);
  }
  return this->Paths.reachesTargets(Now) ? TunnelRefusal::Unreachable
                                         : TunnelRefusal::NoPath;
}

// What a target says of itself concerns all requests that reach it from this
// host.
void RequestRelay::observeTunnelHead(const TunnelRequest &Request,
                                     const HttpHead &Head) {
  auto It = this->Targets.find(Request.Instance);
  if (It == this->Targets.end() || It->second.identity() != Request.Identity) {
    return;
  }
  TargetEntry Target = It->second;
  std::string Peer = toHex(Request.From.Value);
  this->observeNotices(Target, Peer, Head);
  this->observeLimit(Target, Peer, Head);
}

} // namespace shallotlatch
