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

static constexpr Duration TickPeriod = millis(10);
// A stopping host stays this long, so that its peers learn that its pools
// have a new owner while it still answers.
static constexpr Duration HandOverTime = millis(1500);
// Added to a request's time left, so that the core's deadline decides.
static constexpr Duration RunTimeoutSlack = seconds(2);

static WallMillis wallNow() {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  return WallMillis{
      std::chrono::duration_cast<std::chrono::milliseconds>(Since).count()};
}

static Incarnation newIncarnation() {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  int64_t Us = std::chrono::duration_cast<Duration>(Since).count();
  return Incarnation{static_cast<uint64_t>(Us)};
}

struct EventBaseFree {
  void operator()(event_base *Base) const { event_base_free(Base); }
};
struct EventFree {
  void operator()(event *E) const { event_free(E); }
};
using EventPtr = std::unique_ptr<event, EventFree>;

/// All tasks of one host and the loop that they share.
struct Daemon::Parts {
  explicit Parts(const Settings &Host);

  NodeInit nodeInit() const;
  CallerServerEvents callerEvents();
  DispatcherEvents runEvents();
  PeerCallbacks peerEvents();
  AdminCallbacks adminEvents();
  void enter();
  void flush();
  void execute(const Command &C);
  void dispatch(const DispatchCommand &C);
  void answer(const AnswerCommand &C);
  void runEnded(RequestHandle H, DispatchEnd End);
  void token(RequestHandle H, const std::string &Text);
  void noteFirstToken(RequestHandle H);
  RequestHandle submit(const CallerRequest &R);
  std::string requestId(RequestHandle H) const;
  std::vector<SloBurnRate> burns() const;
  void tick();
  void beginStop();
  EventPtr makeEvent(evutil_socket_t What, short Flags,
                     void (*Callback)(Parts &));

  /// A loop event's function and the parts that it is called on.
  struct Callback {
    Parts *Owner;
    void (*Function)(Parts &);
  };

  Settings Host;
  Incarnation Run = newIncarnation();
  std::unique_ptr<event_base, EventBaseFree> Base{event_base_new()};
  HttpClient Client{Base.get()};
  StoreHttp Platform;
  Node Decisions;
  Metrics Counters;
  SloWindow Slo;
  TargetDispatcher Runs;
  PeerTask Peers;
  CallerServer Callers;
  AdminTask Admin;
  std::vector<std::unique_ptr<Callback>> Callbacks;
  std::vector<EventPtr> Events;
  event *Flusher = nullptr;
  bool Stopping = false;
  bool Exiting = false;
  Time StopEarliest;
  Time StopLimit;
  std::map<uint32_t, Time> SubmittedAt;
};

Daemon::Parts::Parts(const Settings &Host)
    : Host(Host), Platform(this->Client, Host.Store),
      Decisions(this->nodeInit()), Runs(this->Client, this->runEvents()),
      Peers(this->Base.get(), Host, this->Run, this->peerEvents()),
      Callers(this->Base.get(), Host, this->callerEvents()),
      Admin(this->Base.get(), Host, this->Decisions, this->Platform,
            this->adminEvents()) {
  this->Events.push_back(
      this->makeEvent(-1, EV_PERSIST, [](Parts &Self) { Self.tick(); }));
  timeval Period{0, static_cast<suseconds_t>(TickPeriod.count())};
  event_add(this->Events.back().get(), &Period);
  this->Events.push_back(
      this->makeEvent(-1, 0, [](Parts &Self) { Self.flush(); }));
  this->Flusher = this->Events.back().get();
  for (int Signal : {SIGTERM, SIGINT}) {
    this->Events.push_back(this->makeEvent(
        Signal, EV_SIGNAL | EV_PERSIST, [](Parts &Self) { Self.beginStop(); }));
    event_add(this->Events.back().get(), nullptr);
  }
  for (const Address &Seed : Host.Seeds) {
    this->Peers.dial(Seed);
  }
}

EventPtr Daemon::Parts::makeEvent(evutil_socket_t What, short Flags,
                                  void (*Function)(Parts &)) {
  this->Callbacks.push_back(
      std::make_unique<Callback>(Callback{this, Function}));
  auto Call = [](evutil_socket_t, short, void *Arg) {
    Callback *C = static_cast<Callback *>(Arg);
    C->Function(*C->Owner);
  };
  return EventPtr(event_new(this->Base.get(), What, Flags, Call,
                            this->Callbacks.back().get()));
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

// Every event starts with the time and ends with a flush in the same pass of
// the loop, so that what one pass causes leaves in one batch a peer.
void Daemon::Parts::enter() {
  this->Decisions.setTime(ProcessClock::now(), wallNow());
  event_active(this->Flusher, 0, 0);
}

CallerServerEvents Daemon::Parts::callerEvents() {
  CallerServerEvents E;
  E.CurrentConfig = [this]() { return this->Decisions.config(); };
  E.Submit = [this](const CallerRequest &R) { return this->submit(R); };
  E.RequestId = [this](RequestHandle H) { return this->requestId(H); };
  E.Cancel = [this](RequestHandle H) {
    this->enter();
    this->Decisions.cancel(H);
  };
  E.Ready = [this]() { return this->Decisions.ready(); };
  return E;
}

DispatcherEvents Daemon::Parts::runEvents() {
  DispatcherEvents E;
  E.Sending = [this](RequestHandle H) {
    this->enter();
    this->Decisions.beginSend(H);
  };
  E.Unsent = [this](RequestHandle H) {
    this->enter();
    this->Decisions.onConnectFailed(H);
  };
  E.Token = [this](RequestHandle H, const std::string &Text) {
    this->token(H, Text);
  };
  E.Ended = [this](RequestHandle H, const DispatchEnd &End) {
    this->runEnded(H, End);
  };
  E.Report = [this](TargetId Target, const TargetReport &R) {
    this->enter();
    this->Decisions.report(Target, R);
  };
  return E;
}

PeerCallbacks Daemon::Parts::peerEvents() {
  PeerCallbacks E;
  E.Batch = [this](HostId From, const PeerBatch &Batch) {
    this->enter();
    this->Decisions.receive(From, Batch);
  };
  E.Linked = [this](HostId Peer) {
    this->enter();
    this->Decisions.onLinkUp(Peer);
  };
  E.Unreachable = [this](HostId Peer) {
    this->enter();
    this->Decisions.markUnreachable(Peer);
  };
  E.AddressOf = [this](HostId Peer) -> std::optional<Address> {
    const HostInfo *Info = this->Decisions.membership().info(Peer);
    return Info == nullptr ? std::nullopt : std::optional<Address>(Info->Peer);
  };
  return E;
}

AdminCallbacks Daemon::Parts::adminEvents() {
  AdminCallbacks E;
  E.Metrics = [this]() {
    return this->Counters.render(this->Decisions, this->Peers.stats(),
                                 this->burns());
  };
  E.Burns = [this]() { return this->burns(); };
  E.Drain = [this]() { this->beginStop(); };
  E.Peers = [this]() { return this->Peers.stats(); };
  return E;
}

RequestHandle Daemon::Parts::submit(const CallerRequest &R) {
  this->enter();
  RequestHandle H = this->Decisions.submit(R.Sub);
  if (H.isValid()) {
    this->SubmittedAt[H.Index] = ProcessClock::now();
  }
  return H;
}

std::string Daemon::Parts::requestId(RequestHandle H) const {
  return toHex(this->Decisions.self().Value).substr(8) + "-" +
         toHex(this->Run.Value).substr(4) + "-" +
         std::to_string(this->Decisions.submissionOf(H).Value);
}

void Daemon::Parts::token(RequestHandle H, const std::string &Text) {
  this->enter();
  this->Decisions.onTokens(H, 1);
  if (this->Callers.tokens(H) == 0) {
    this->noteFirstToken(H);
  }
  this->Callers.token(H, Text);
}

void Daemon::Parts::noteFirstToken(RequestHandle H) {
  const CallerRequest *R = this->Callers.find(H);
  auto Since = this->SubmittedAt.find(H.Index);
  if (R == nullptr || Since == this->SubmittedAt.end()) {
    return;
  }
  const KindSpec *Kind = this->Decisions.config()->kind(R->Sub.Kind);
  this->Counters.recordFirstToken(Kind == nullptr ? "unknown" : Kind->Tier,
                                  ProcessClock::now() - Since->second);
}

void Daemon::Parts::runEnded(RequestHandle H, DispatchEnd End) {
  this->enter();
  const CallerRequest *R = this->Callers.find(H);
  bool Model = R != nullptr && !R->Service;
  if (End.Result == DispatchResult::Done && Model) {
    std::string Text = this->Callers.collectedText(H);
    End.Answer = CallerServer::completionBody(this->requestId(H), Text,
                                              this->Callers.tokens(H));
  }
  this->Decisions.onDispatchEnded(H, End);
}

void Daemon::Parts::dispatch(const DispatchCommand &C) {
  const CallerRequest *R = this->Callers.find(C.Request);
  const TargetSpec *Target = this->Decisions.config()->target(C.Target);
  if (R == nullptr || Target == nullptr) {
    this->Decisions.onConnectFailed(C.Request);
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
  auto Since = this->SubmittedAt.find(C.Request.Index);
  if (R != nullptr && this->Decisions.config()) {
    const KindSpec *Kind = this->Decisions.config()->kind(R->Sub.Kind);
    std::string Tier = Kind == nullptr ? "unknown" : Kind->Tier;
    Time Now = ProcessClock::now();
    Duration Total =
        Since == this->SubmittedAt.end() ? Duration(0) : Now - Since->second;
    // What callers do to themselves is not held against the service.
    bool Counts = C.End.Why != Reason::Cancelled &&
                  C.End.Why != Reason::KeyConflict &&
                  C.End.Why != Reason::RateLimit;
    bool Good = C.End.Result == Outcome::Completed && Total <= R->Sub.Deadline;
    if (Counts) {
      this->Slo.add("tier/" + Tier, Good, Now);
      this->Slo.add("customer/" + R->CustomerName, Good, Now);
    }
    this->Counters.recordRequestEnd(Tier, C.End, Total);
  }
  if (Since != this->SubmittedAt.end()) {
    this->SubmittedAt.erase(Since);
  }
  this->Callers.answer(C.Request, C.End, C.Answer);
}

std::vector<SloBurnRate> Daemon::Parts::burns() const {
  std::vector<SloBurnRate> All;
  const std::shared_ptr<const Config> &Conf = this->Decisions.config();
  if (!Conf) {
    return All;
  }
  Time Now = ProcessClock::now();
  double Strictest = 0;
  for (Duration Window : SloWindow::windows()) {
    for (const TierSpec &T : Conf->Tiers) {
      All.push_back(
          this->Slo.burnRate("tier/" + T.Name, T.Objective, Window, Now));
      Strictest = std::max(Strictest, T.Objective);
    }
    for (const CustomerSpec &C : Conf->Customers) {
      All.push_back(
          this->Slo.burnRate("customer/" + C.Name, Strictest, Window, Now));
    }
  }
  return All;
}

void Daemon::Parts::execute(const Command &C) {
  if (const DispatchCommand *D = std::get_if<DispatchCommand>(&C)) {
    this->dispatch(*D);
  } else if (const AnswerCommand *A = std::get_if<AnswerCommand>(&C)) {
    this->answer(*A);
  } else if (const AbortCommand *B = std::get_if<AbortCommand>(&C)) {
    this->Runs.abort(B->Request);
  } else if (const PollCommand *P = std::get_if<PollCommand>(&C)) {
    const TargetSpec *Target = this->Decisions.config()->target(P->Target);
    if (Target != nullptr) {
      this->Runs.poll(*Target);
    }
  } else if (const StoreRequest *S = std::get_if<StoreRequest>(&C)) {
    this->Platform.call(*S, [this](const StoreReply &Reply) {
      this->enter();
      this->Decisions.storeReply(Reply);
    });
  }
}

void Daemon::Parts::flush() {
  std::vector<Command> Commands = this->Decisions.takeCommands();
  while (!Commands.empty()) {
    for (const Command &C : Commands) {
      this->execute(C);
    }
    Commands = this->Decisions.takeCommands();
  }
  for (const auto &Item : this->Decisions.takeOutbox()) {
    this->Peers.send(Item.first, Item.second);
  }
}

void Daemon::Parts::tick() {
  this->enter();
  this->Decisions.tick();
  if (!this->Stopping || this->Exiting) {
    return;
  }
  Time Now = ProcessClock::now();
  bool Done = this->Decisions.idle() && this->Callers.open() == 0 &&
              Now > this->StopEarliest;
  if (Done || Now > this->StopLimit) {
    this->Exiting = true;
    LOG(INFO) << "daemon: stopped, " << this->Callers.open()
              << " requests were open";
    // One more pass lets the last answers and messages leave.
    timeval Soon{0, 50000};
    event_base_loopexit(this->Base.get(), &Soon);
  }
}

// Not ready at once; what was taken is finished; then the loop ends.
void Daemon::Parts::beginStop() {
  if (this->Stopping) {
    return;
  }
  LOG(INFO) << "daemon: draining, " << this->Callers.open()
            << " requests are open";
  this->Stopping = true;
  this->StopEarliest = ProcessClock::now() + HandOverTime;
  this->StopLimit = ProcessClock::now() + this->Host.DrainTimeout;
  this->enter();
  this->Decisions.drain();
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
