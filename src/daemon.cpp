#include "shallotlatch/daemon.h"

#include "admin_task_p.h"
#include "caller_task_p.h"
#include "metrics_p.h"
#include "node_p.h"
#include "peer_task_p.h"
#include "run_task_p.h"
#include "store_http_p.h"

#include <event2/event.h>
#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <random>

namespace shallotlatch {

// Interval between two calls of `tick`.
static constexpr Duration TickPeriod = millis(10);
// Minimum time that a stopping host keeps running, so that its peers learn of
// the new owner of its pools while this host still answers.
static constexpr Duration PoolHandoverTime = millis(1500);
// Time by which the timeout of a dispatch exceeds the request's deadline, so
// that the deadline in the scheduling core takes effect first.
static constexpr Duration RunTimeoutSlack = seconds(2);

static WallMillis wallNow() {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return WallMillis{
      std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch)
          .count()};
}

static Incarnation newIncarnation() {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  int64_t Micros = std::chrono::duration_cast<Duration>(SinceEpoch).count();
  return Incarnation{static_cast<uint64_t>(Micros)};
}

struct EventBaseFree {
  void operator()(event_base *Base) const { event_base_free(Base); }
};
struct EventFree {
  void operator()(event *E) const { event_free(E); }
};
using EventPtr = std::unique_ptr<event, EventFree>;

/// All tasks of one host and the event loop that they share.
struct Daemon::Parts {
  explicit Parts(const Settings &Host);

  NodeInit nodeInit() const;
  CallerServerEvents callerEvents();
  DispatcherEvents runEvents();
  PeerCallbacks peerEvents();
  AdminCallbacks adminEvents();
  void beginEvent();
  void flush();
  void execute(const Command &C);
  void dispatch(const DispatchCommand &C);
  void answer(const AnswerCommand &C);
  void onRunEnded(RequestHandle H, DispatchEnd End);
  void onToken(RequestHandle H, const std::string &Text);
  void measureFirstToken(RequestHandle H);
  RequestHandle submit(const CallerRequest &R);
  std::string requestId(RequestHandle H) const;
  std::vector<SloBurnRate> burnRates() const;
  void tick();
  void beginStop();
  EventPtr makeEvent(evutil_socket_t DescriptorOrSignal, short Flags,
                     void (*Callback)(Parts &));

  /// Function of a loop event and the object that it is called on.
  struct Callback {
    Parts *Owner;
    void (*Function)(Parts &);
  };

  Settings Host;
  Incarnation Run = newIncarnation();
  std::unique_ptr<event_base, EventBaseFree> Base{event_base_new()};
  HttpClient Client{Base.get()};
  StoreHttp Store;
  Node LocalNode;
  DaemonMetrics Metrics;
  SloWindow Slo;
  TargetDispatcher Runs;
  PeerTask Peers;
  CallerServer Callers;
  AdminTask Admin;
  std::vector<std::unique_ptr<Callback>> Callbacks;
  std::vector<EventPtr> Events;
  event *FlushEvent = nullptr;
  bool Stopping = false;
  bool Exiting = false;
  Time EarliestExit;
  Time StopDeadline;
  std::map<uint32_t, Time> SubmittedAt;
};

Daemon::Parts::Parts(const Settings &Host)
    : Host(Host), Store(this->Client, Host.Store), LocalNode(this->nodeInit()),
      Runs(this->Client, this->runEvents()),
      Peers(this->Base.get(), Host, this->Run, this->peerEvents()),
      Callers(this->Base.get(), Host, this->callerEvents()),
      Admin(this->Base.get(), Host, this->LocalNode, this->Store,
            this->adminEvents()) {
  this->Events.push_back(
      this->makeEvent(-1, EV_PERSIST, [](Parts &Self) { Self.tick(); }));
  timeval Period{0, static_cast<suseconds_t>(TickPeriod.count())};
  event_add(this->Events.back().get(), &Period);
  this->Events.push_back(
      this->makeEvent(-1, 0, [](Parts &Self) { Self.flush(); }));
  this->FlushEvent = this->Events.back().get();
  for (int Signal : {SIGTERM, SIGINT}) {
    this->Events.push_back(this->makeEvent(
        Signal, EV_SIGNAL | EV_PERSIST, [](Parts &Self) { Self.beginStop(); }));
    event_add(this->Events.back().get(), nullptr);
  }
  for (const Address &Seed : Host.Seeds) {
    this->Peers.dial(Seed);
  }
}

EventPtr Daemon::Parts::makeEvent(evutil_socket_t DescriptorOrSignal,
                                  short Flags, void (*Function)(Parts &)) {
  this->Callbacks.push_back(
      std::make_unique<Callback>(Callback{this, Function}));
  auto InvokeCallback = [](evutil_socket_t, short, void *Arg) {
    Callback *C = static_cast<Callback *>(Arg);
    C->Function(*C->Owner);
  };
  return EventPtr(event_new(this->Base.get(), DescriptorOrSignal, Flags,
                            InvokeCallback, this->Callbacks.back().get()));
}

NodeInit Daemon::Parts::nodeInit() const {
  NodeInit Init;
  Init.Name = this->Host.Host;
  Init.Region = this->Host.Region;
  Init.Run = this->Run;
  Init.Seed = std::random_device()();
  Init.StoreCallsPerSecond = this->Host.StoreCallsPerSecond;
  Init.Start = ProcessClock::now();
  return Init;
}

// Sets the node's time and schedules a flush. Every event calls this function
// first; the flush runs in the same pass of the loop, so that all messages
// caused in one pass leave in one batch per peer.
void Daemon::Parts::beginEvent() {
  this->LocalNode.setTime(ProcessClock::now(), wallNow());
  event_active(this->FlushEvent, 0, 0);
}

CallerServerEvents Daemon::Parts::callerEvents() {
  CallerServerEvents E;
  E.CurrentConfig = [this]() { return this->LocalNode.config(); };
  E.Submit = [this](const CallerRequest &R) { return this->submit(R); };
  E.RequestId = [this](RequestHandle H) { return this->requestId(H); };
  E.Cancel = [this](RequestHandle H) {
    this->beginEvent();
    this->LocalNode.cancel(H);
  };
  E.Ready = [this]() { return this->LocalNode.ready(); };
  return E;
}

DispatcherEvents Daemon::Parts::runEvents() {
  DispatcherEvents E;
  E.Sending = [this](RequestHandle H) {
    this->beginEvent();
    this->LocalNode.beginSend(H);
  };
  E.Unsent = [this](RequestHandle H) {
    this->beginEvent();
    this->LocalNode.onConnectFailed(H);
  };
  E.Token = [this](RequestHandle H, const std::string &Text) {
    this->onToken(H, Text);
  };
  E.Ended = [this](RequestHandle H, const DispatchEnd &End) {
    this->onRunEnded(H, End);
  };
  E.Report = [this](TargetId Target, const TargetReport &R) {
    this->beginEvent();
    this->LocalNode.report(Target, R);
  };
  return E;
}

PeerCallbacks Daemon::Parts::peerEvents() {
  PeerCallbacks E;
  E.Batch = [this](HostId From, const PeerBatch &Batch) {
    this->beginEvent();
    this->LocalNode.receive(From, Batch);
  };
  E.Linked = [this](HostId Peer) {
    this->beginEvent();
    this->LocalNode.onLinkUp(Peer);
  };
  E.Unreachable = [this](HostId Peer) {
    this->beginEvent();
    this->LocalNode.markUnreachable(Peer);
  };
  E.AddressOf = [this](HostId Peer) -> std::optional<Address> {
    const HostInfo *Info = this->LocalNode.membership().info(Peer);
    return Info == nullptr ? std::nullopt : std::optional<Address>(Info->Peer);
  };
  return E;
}

AdminCallbacks Daemon::Parts::adminEvents() {
  AdminCallbacks E;
  E.Metrics = [this]() {
    return this->Metrics.render(this->LocalNode, this->Peers.stats(),
                                this->burnRates());
  };
  E.Burns = [this]() { return this->burnRates(); };
  E.Drain = [this]() { this->beginStop(); };
  E.Peers = [this]() { return this->Peers.stats(); };
  return E;
}

RequestHandle Daemon::Parts::submit(const CallerRequest &R) {
  this->beginEvent();
  RequestHandle H = this->LocalNode.submit(R.Sub);
  if (H.isValid()) {
    this->SubmittedAt[H.Index] = ProcessClock::now();
  }
  return H;
}

std::string Daemon::Parts::requestId(RequestHandle H) const {
  return toHex(this->LocalNode.self().Value).substr(8) + "-" +
         toHex(this->Run.Value).substr(4) + "-" +
         std::to_string(this->LocalNode.submissionOf(H).Value);
}

void Daemon::Parts::onToken(RequestHandle H, const std::string &Text) {
  this->beginEvent();
  this->LocalNode.onTokens(H, 1);
  if (this->Callers.tokenCount(H) == 0) {
    this->measureFirstToken(H);
  }
  this->Callers.sendToken(H, Text);
}

void Daemon::Parts::measureFirstToken(RequestHandle H) {
  const CallerRequest *R = this->Callers.find(H);
  auto Submitted = this->SubmittedAt.find(H.Index);
  if (R == nullptr || Submitted == this->SubmittedAt.end()) {
    return;
  }
  const KindSpec *Kind = this->LocalNode.config()->kind(R->Sub.Kind);
  this->Metrics.recordFirstToken(Kind == nullptr ? "unknown" : Kind->Tier,
                                 ProcessClock::now() - Submitted->second);
}

void Daemon::Parts::onRunEnded(RequestHandle H, DispatchEnd End) {
  this->beginEvent();
  const CallerRequest *R = this->Callers.find(H);
  bool IsModelRequest = R != nullptr && !R->Service;
  if (End.Result == DispatchResult::Done && IsModelRequest) {
    std::string Text = this->Callers.collectedText(H);
    End.Answer = CallerServer::completionBody(this->requestId(H), Text,
                                              this->Callers.tokenCount(H));
  }
  this->LocalNode.onDispatchEnded(H, End);
}

void Daemon::Parts::dispatch(const DispatchCommand &C) {
  const CallerRequest *R = this->Callers.find(C.Request);
  const TargetSpec *Target = this->LocalNode.config()->target(C.Target);
  if (R == nullptr || Target == nullptr) {
    this->LocalNode.onConnectFailed(C.Request);
    return;
  }
  DispatchRequest Order;
  Order.Request = C.Request;
  Order.Target = Target;
  Order.Path = R->TargetPath;
  Order.Body = R->TargetBody;
  Order.Key = R->KeyText;
  Order.RequestId = this->requestId(C.Request);
  Order.Timeout = R->Sub.Deadline + RunTimeoutSlack;
  Order.Idempotent = R->Idempotent;
  this->Runs.start(Order);
}

void Daemon::Parts::answer(const AnswerCommand &C) {
  const CallerRequest *R = this->Callers.find(C.Request);
  auto Submitted = this->SubmittedAt.find(C.Request.Index);
  if (R != nullptr && this->LocalNode.config()) {
    const KindSpec *Kind = this->LocalNode.config()->kind(R->Sub.Kind);
    std::string Tier = Kind == nullptr ? "unknown" : Kind->Tier;
    Time Now = ProcessClock::now();
    Duration Total = Submitted == this->SubmittedAt.end()
                         ? Duration(0)
                         : Now - Submitted->second;
    // Ends that the caller itself caused do not count against the objective.
    bool CountsForObjective = C.End.Why != Reason::Cancelled &&
                              C.End.Why != Reason::KeyConflict &&
                              C.End.Why != Reason::RateLimit;
    bool Good = C.End.Result == Outcome::Completed && Total <= R->Sub.Deadline;
    if (CountsForObjective) {
      this->Slo.add("tier/" + Tier, Good, Now);
      this->Slo.add("customer/" + R->CustomerName, Good, Now);
    }
    this->Metrics.recordRequestEnd(Tier, C.End, Total);
  }
  if (Submitted != this->SubmittedAt.end()) {
    this->SubmittedAt.erase(Submitted);
  }
  this->Callers.sendResponse(C.Request, C.End, C.Answer);
}

std::vector<SloBurnRate> Daemon::Parts::burnRates() const {
  std::vector<SloBurnRate> Rates;
  const std::shared_ptr<const Config> &Conf = this->LocalNode.config();
  if (!Conf) {
    return Rates;
  }
  Time Now = ProcessClock::now();
  double Strictest = 0;
  for (Duration Window : SloWindow::windows()) {
    for (const TierSpec &T : Conf->Tiers) {
      Rates.push_back(
          this->Slo.burnRate("tier/" + T.Name, T.Objective, Window, Now));
      Strictest = std::max(Strictest, T.Objective);
    }
    for (const CustomerSpec &C : Conf->Customers) {
      Rates.push_back(
          this->Slo.burnRate("customer/" + C.Name, Strictest, Window, Now));
    }
  }
  return Rates;
}

void Daemon::Parts::execute(const Command &C) {
  if (const DispatchCommand *D = std::get_if<DispatchCommand>(&C)) {
    this->dispatch(*D);
  } else if (const AnswerCommand *A = std::get_if<AnswerCommand>(&C)) {
    this->answer(*A);
  } else if (const AbortCommand *B = std::get_if<AbortCommand>(&C)) {
    this->Runs.abort(B->Request);
  } else if (const PollCommand *P = std::get_if<PollCommand>(&C)) {
    const TargetSpec *Target = this->LocalNode.config()->target(P->Target);
    if (Target != nullptr) {
      this->Runs.pollLoad(*Target);
    }
  } else if (const StoreRequest *S = std::get_if<StoreRequest>(&C)) {
    this->Store.call(*S, [this](const StoreReply &Reply) {
      this->beginEvent();
      this->LocalNode.storeReply(Reply);
    });
  }
}

void Daemon::Parts::flush() {
  std::vector<Command> Commands = this->LocalNode.takeCommands();
  while (!Commands.empty()) {
    for (const Command &C : Commands) {
      this->execute(C);
    }
    Commands = this->LocalNode.takeCommands();
  }
  for (const auto &Item : this->LocalNode.takeOutbox()) {
    this->Peers.send(Item.first, Item.second);
  }
}

void Daemon::Parts::tick() {
  this->beginEvent();
  this->LocalNode.tick();
  if (!this->Stopping || this->Exiting) {
    return;
  }
  Time Now = ProcessClock::now();
  bool Done = this->LocalNode.idle() && this->Callers.openExchanges() == 0 &&
              Now > this->EarliestExit;
  if (Done || Now > this->StopDeadline) {
    this->Exiting = true;
    LOG(INFO) << "daemon: host " << this->Host.Host << " stopped with "
              << this->Callers.openExchanges() << " open requests";
    // The loop runs 50 ms longer, so that the last responses and messages are
    // sent.
    timeval ExitDelay{0, 50000};
    event_base_loopexit(this->Base.get(), &ExitDelay);
  }
}

// Reports the host as not ready at once and lets accepted requests finish;
// `tick` ends the loop afterwards.
void Daemon::Parts::beginStop() {
  if (this->Stopping) {
    return;
  }
  LOG(INFO) << "daemon: host " << this->Host.Host << " is draining with "
            << this->Callers.openExchanges() << " open requests";
  this->Stopping = true;
  this->EarliestExit = ProcessClock::now() + PoolHandoverTime;
  this->StopDeadline = ProcessClock::now() + this->Host.DrainTimeout;
  this->beginEvent();
  this->LocalNode.drain();
}

Daemon::Daemon(const Settings &Host) : Impl(std::make_unique<Parts>(Host)) {}
Daemon::~Daemon() = default;

void Daemon::run() {
  LOG(INFO) << "daemon: host " << this->Impl->Host.Host << " serves callers on "
            << this->Impl->Host.Caller.text();
  event_base_dispatch(this->Impl->Base.get());
}

void Daemon::requestStop() { this->Impl->beginStop(); }

} // namespace shallotlatch
