#include "shallotlatch/gateway.h"

#include "directory_p.h"
#include "domain_owner_p.h"
#include "event_log_p.h"
#include "fleet_link_p.h"
#include "http_server_p.h"
#include "relay_p.h"
#include "sockets_p.h"

#include "shallotlatch/model.h"

#include <event2/event.h>
#include <event2/http.h>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <fstream>
#include <sstream>

namespace shallotlatch {

// Interval at which timeouts are checked and this host's state is sent to the
// peers of its own failure domain.
static constexpr Duration TickInterval = millis(20);
// Interval at which this host's state is sent to peers in other failure
// domains. It is longer because traffic between domains is charged.
static constexpr Duration RemoteSendInterval = millis(120);
// Numbers of peers up to which the send intervals hold. With more peers the
// intervals grow in proportion, so that the number of datagrams that a host
// sends per second stays bounded.
static constexpr uint32_t DomainPeersPerInterval = 4;
static constexpr uint32_t RemotePeersPerInterval = 8;
// Send interval within a failure domain that has an owner. Its hosts need only
// each other's counters.
static constexpr Duration OwnedDomainSendInterval = millis(60);
// Interval at which an unchanged state is sent again.
static constexpr Duration StateRepeatInterval = millis(400);
// Interval at which peers are checked for silence.
static constexpr Duration PeerCheckInterval = millis(200);
// Time without a message after which a peer is considered unavailable.
static constexpr Duration PeerTimeout = millis(1200);
// Time for which a silent peer may still serve requests while it is cut off
// from this host. After that time its copy of the callers' keys is no longer
// trusted.
static constexpr Duration SilentPeerServingTime = seconds(10);
// Time without a message after which a host is no candidate for the owner of
// its failure domain. Remote hosts are sent to in turns, so the time is longer
// than one round in the largest fleet that was run.
static constexpr Duration OwnerTimeout = millis(1200);
// Time of silence after which a peer's entry is removed from the store.
static constexpr Duration PeerRemovalDelay = seconds(20);
// Interval at which the settings file is checked for changes.
static constexpr Duration SettingsCheckInterval = seconds(2);
// Time after a request to stop during which the load balancer may still open
// new connections. It probes readiness once a second and removes a host after
// the second failed probe.
static constexpr Duration BalancerRemovalDelay = millis(2600);
// Time reserved before the end of the grace period for sending the last
// responses.
static constexpr Duration FinalResponseMargin = millis(500);
// Maximum age of the configuration up to which keys are trusted, as a share of
// the revocation limit.
static constexpr double MaxKeyAgeRatio = 0.62;
// Number of file descriptors reserved for uses other than callers' connections.
static constexpr uint32_t ReservedDescriptors = 900;

static std::string readFile(const std::string &Path) {
  std::ifstream In(Path);
  std::stringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

static uint64_t wallClockMillis() {
  timespec Now{};
  clock_gettime(CLOCK_REALTIME, &Now);
  return static_cast<uint64_t>(Now.tv_sec) * 1000 +
         static_cast<uint64_t>(Now.tv_nsec / 1000000);
}

struct Gateway::Parts : public DirectoryEvents, public FleetLinkEvents {
  GatewaySettings Host;
  std::string SettingsPath;
  std::string SettingsText;
  event_base *Base;
  FleetHost Self;
  std::unique_ptr<DirectoryStore> Store;
  std::unique_ptr<FleetDirectory> Directory;
  std::unique_ptr<RequestRelay> Relay;
  std::unique_ptr<FleetLink> Link;
  std::unique_ptr<HttpServer> ReadyServer;
  std::unique_ptr<HttpServer> MetricsServer;
  std::vector<event *> LoopEvents;
  uint32_t Sequence = 0;
  /// Configuration revision that the store itself confirmed last.
  uint64_t ConfirmedRevision = 0;
  Time NextDomainSend;
  Time NextRemoteSend;
  Time NextPlacingPeerSend;
  Time NextPeerCheck;
  /// Host that places requests for this host's failure domain; invalid: none.
  HostId Owner;
  uint32_t DomainPeers = 0; ///< Number of peers in this host's failure domain.
  uint32_t RemotePeers = 0; ///< Number of all other peers.
  Time NextStateRepeat;
  Time NextSettingsCheck;
  Time StopDeadline;
  Time StopRequestedAt;
  bool Stopping = false;
  bool LoggedReady = false;
  bool KeysTrusted = true;
  std::string LastSentUse;

  Parts(const GatewaySettings &Host, const std::string &SettingsPath,
        const RelayHeaders &Headers, const DirectoryStoreFactory &MakeStore)
      : Host(Host), SettingsPath(SettingsPath),
        SettingsText(readFile(SettingsPath)), Base(event_base_new()) {
    startLog(this->Base, 1, Host.Host);
    this->Self.Name = Host.Host;
    this->Self.At = Host.Peer;
    this->Self.Domain = Host.Domain;
    this->Self.Run = wallClockMillis();
    this->Self.Cores = Host.Cores;
    this->Store = MakeStore(this->Base);
    this->Directory = std::make_unique<FleetDirectory>(*this->Store, *this,
                                                       hash64(Host.Host));
    FrontendInit FrontendOptions;
    FrontendOptions.ListenAddress = Host.Caller;
    FrontendOptions.MaxConnections =
        std::max(64U, Host.Descriptors -
                          std::min(Host.Descriptors / 2, ReservedDescriptors));
    FrontendOptions.MaxBufferedBytes =
        uint64_t{Host.MemoryMb} * 1024 * 1024 / 4;
    RelayInit RelayOptions;
    RelayOptions.Headers = Headers;
    RelayOptions.Domain = Host.Domain;
    RelayOptions.Seed = hash64(Host.Host);
    RelayOptions.MaxConfigAgeForKeys = Duration(static_cast<int64_t>(
        static_cast<double>(Host.RevocationLimit.count()) * MaxKeyAgeRatio));
    RelayOptions.Budget.Ratio = Host.RetryRatio;
    RelayOptions.Budget.Extra = Host.RetryExtra;
    RelayOptions.Budget.Window = Host.RetryWindow;
    RelayOptions.Slack.Overage = Host.QuotaOverage;
    RelayOptions.Slack.Tolerance = Host.QuotaTolerance;
    RelayOptions.Slack.Window = Host.QuotaWindow;
    this->Relay = std::make_unique<RequestRelay>(
        this->Base, FrontendOptions, RelayOptions, *this->Directory);
    this->Link = std::make_unique<FleetLink>(
        this->Base, this->Self, static_cast<FleetLinkEvents &>(*this));
    this->Relay->setPlacementChannel(*this->Link);
    HttpServerInit Ready;
    Ready.ListenAddress = Host.Ready;
    this->ReadyServer = std::make_unique<HttpServer>(
        this->Base, Ready, [this](evhttp_request *Http) {
          bool IsReady = this->ready();
          sendText(Http, IsReady ? 200 : 503, "text/plain",
                   IsReady ? "ready\n" : "not ready\n");
        });
    if (Host.MetricsPort != 0) {
      HttpServerInit Metrics;
      Metrics.ListenAddress =
          Address{Host.Caller.Ip, static_cast<uint16_t>(Host.MetricsPort)};
      this->MetricsServer = std::make_unique<HttpServer>(
          this->Base, Metrics, [this](evhttp_request *Http) {
            sendText(Http, 200, "text/plain; version=0.0.4", this->metrics());
          });
    }
    this->watchSignal(SIGTERM, [](evutil_socket_t, short, void *Arg) {
      static_cast<Parts *>(Arg)->stop("SIGTERM");
    });
    this->watchSignal(SIGINT, [](evutil_socket_t, short, void *Arg) {
      static_cast<Parts *>(Arg)->stop("SIGINT");
    });
    this->watchSignal(SIGHUP, [](evutil_socket_t, short, void *Arg) {
      static_cast<Parts *>(Arg)->reload("SIGHUP");
    });
    event *Tick = event_new(
        this->Base, -1, EV_PERSIST,
        [](evutil_socket_t, short, void *Arg) {
          static_cast<Parts *>(Arg)->tick();
        },
        this);
    timeval Period = toTimeval(TickInterval);
    event_add(Tick, &Period);
    this->LoopEvents.push_back(Tick);
  }

  ~Parts() override {
    for (event *Event : this->LoopEvents) {
      event_free(Event);
    }
    this->ReadyServer.reset();
    this->MetricsServer.reset();
    this->Link.reset();
    this->Relay.reset();
    this->Store.reset();
  }

  void watchSignal(int Number, event_callback_fn Callback) {
    event *Event = evsignal_new(this->Base, Number, Callback, this);
    event_add(Event, nullptr);
    this->LoopEvents.push_back(Event);
  }

  bool ready() const {
    return !this->Stopping && this->Directory->config() != nullptr &&
           this->Directory->synced(DirectoryKind::Targets) && this->KeysTrusted;
  }

  std::string metrics() {
    GatewayMetrics &M = this->Relay->metrics();
    auto AgeSeconds = [this](DirectoryKind Kind) {
      Duration Age = this->Directory->age(Kind, bootTime());
      return Age == Duration::max() ? -1 : toSeconds(Age);
    };
    M.setGauge("config_age_seconds", AgeSeconds(DirectoryKind::Config));
    M.setGauge("targets_age_seconds", AgeSeconds(DirectoryKind::Targets));
    M.setGauge("config_revision", static_cast<double>(this->Directory->revision(
                                      DirectoryKind::Config)));
    M.setGauge("store_reachable", this->Directory->reachable() ? 1 : 0);
    M.setGauge("ready", this->ready() ? 1 : 0);
    ServiceSchedulerStats Pools = this->Relay->poolStats();
    M.setGauge("targets", Pools.Targets);
    M.setGauge("targets_usable", Pools.Usable);
    M.setGauge("slots", Pools.Slots);
    M.setGauge("running", Pools.Running);
    M.setGauge("waiting", Pools.Waiting);
    M.setGauge("held", this->Relay->stats().HeldRequests);
    M.setGauge("caller_connections", this->Relay->frontendStats().Connections);
    PooledHttpClientStats TargetClient = this->Relay->targetClientStats();
    M.setGauge("target_connections_opened",
               static_cast<double>(TargetClient.Opened));
    M.setGauge("target_connections_reused",
               static_cast<double>(TargetClient.Reused));
    FleetLinkStats Peers = this->Link->stats();
    M.setGauge("peers", static_cast<double>(this->Link->peers().size()));
    M.setGauge("peer_bytes_sent", static_cast<double>(Peers.BytesSent));
    LogStats Log = logStats();
    M.setGauge("log_lines", static_cast<double>(Log.Written));
    M.setGauge("log_lines_dropped", static_cast<double>(Log.Dropped));
    return M.render();
  }

  void run() {
    logImportantEvent("start", {{"run", this->Self.Run},
                                {"caller", this->Host.Caller.text()},
                                {"store", this->Host.Store.text()}});
    this->Directory->start(this->Self, bootTime());
    event_base_dispatch(this->Base);
    logImportantEvent("stopped", {{"asked", this->Relay->stats().Received}});
    stopLog();
  }

  void stop(const char *Cause) {
    if (this->Stopping) {
      return;
    }
    this->Stopping = true;
    this->StopRequestedAt = ProcessClock::now();
    this->StopDeadline =
        this->StopRequestedAt + this->Host.StopGrace - FinalResponseMargin;
    this->Relay->drain(this->StopRequestedAt + BalancerRemovalDelay);
    logImportantEvent("stop", {{"why", Cause},
                               {"held", this->Relay->stats().HeldRequests},
                               {"grace-ms", toMillis(this->Host.StopGrace)}});
  }

  // Waits until the load balancer opens no more connections, then ends the loop
  // as soon as all requests are finished and all connections closed. At the
  // deadline, ends the requests that are left.
  void continueStop(Time Now) {
    if (Now - this->StopRequestedAt > BalancerRemovalDelay) {
      this->Relay->closeIdleConnections();
      if (this->Relay->idle() &&
          this->Relay->frontendStats().Connections == 0) {
        event_base_loopbreak(this->Base);
        return;
      }
    }
    if (Now >= this->StopDeadline) {
      this->Relay->stopAccepting();
      this->Relay->endAllRequests();
      event_base_loopexit(this->Base, nullptr);
    }
  }

  void reload(const char *Cause) {
    std::string Text = readFile(this->SettingsPath);
    if (Text == this->SettingsText) {
      logImportantEvent("reload", {{"why", Cause}, {"changed", false}});
      return;
    }
    this->SettingsText = Text;
    try {
      GatewaySettings Next = parseGatewaySettings(Text);
      this->Host.StopGrace = Next.StopGrace;
      logImportantEvent("reload", {{"why", Cause}, {"changed", true}});
    } catch (const ConfigError &E) {
      logImportantEvent("reload-refused",
                        {{"why", Cause}, {"mistake", E.what()}});
    }
  }

  // Implementation of FleetLinkEvents.
  void onBook(const PlacementReport &Book) override {
    this->Relay->receive(Book);
  }
  void onReply(const PlacementReply &Reply) override {
    this->Relay->receive(Reply);
  }
  void onState(const HostState &State) override {
    this->Relay->peerUse(State.Host, State.Targets);
    if (State.Host == this->Owner) {
      this->Relay->setOwnerDepartingTargets(State.Departing);
    }
    this->Relay->quota().mergePeerUse(State.Host, State.Run, State.Customers);
    this->Relay->crashes().mergePeerCounts(State.Host, State.Crashes,
                                           ProcessClock::now());
    if (echoIsOwn(State, this->Self.Run, bootTime())) {
      this->Directory->onPeerConfirmation(State.ConfigRevision, State.Echo);
    }
  }

  // Sends this host's state to the peers whose send interval has elapsed.
  void sendState(Time Now) {
    if (Now < this->NextDomainSend && Now < this->NextRemoteSend &&
        Now < this->NextStateRepeat && Now < this->NextPlacingPeerSend) {
      return;
    }
    HostState State;
    State.Host = hostId(this->Self.Name);
    State.Run = this->Self.Run;
    State.Leaving = this->Stopping;
    State.ConfigRevision = this->ConfirmedRevision;
    State.Targets = this->Relay->ownUse();
    State.Customers = this->Relay->quota().ownUse();
    State.Crashes = this->Relay->crashes().localTallies(Now);
    State.Departing = this->Relay->departingTargets(Now);
    std::string Use;
    for (const TargetUse &U : State.Targets) {
      Use += std::to_string(U.Target) + ":" + std::to_string(U.Running) + ":" +
             std::to_string(U.PromptTokens) + " ";
    }
    for (const CustomerUse &U : State.Customers) {
      Use += std::to_string(U.Admitted) + " ";
    }
    for (uint32_t Run : State.Departing) {
      Use += "-" + std::to_string(Run);
    }
    bool RepeatDue = Now >= this->NextStateRepeat;
    bool Changed = Use != this->LastSentUse;
    if ((Changed && Now >= this->NextDomainSend) || RepeatDue) {
      this->LastSentUse = Use;
      State.Sequence = ++this->Sequence;
      this->Link->send(State, [](const FleetPeer &P) { return P.SameDomain; });
      Duration Interval =
          this->Owner.isValid() ? OwnedDomainSendInterval : TickInterval;
      this->NextDomainSend =
          Now + Interval * (this->DomainPeers / DomainPeersPerInterval);
    }
    // Departing targets are sent to hosts of the own failure domain only.
    State.Departing.clear();
    if (Now >= this->NextRemoteSend) {
      State.Sequence = ++this->Sequence;
      this->Link->send(State, [](const FleetPeer &P) { return !P.SameDomain; });
      this->NextRemoteSend =
          Now + RemoteSendInterval *
                    std::max(1U, this->RemotePeers / RemotePeersPerInterval);
      this->NextPlacingPeerSend = Now + RemoteSendInterval;
    }
    // Owners place requests on each other's targets, so they receive each
    // other's state more often than other remote hosts do.
    if (this->Owner == hostId(this->Self.Name) &&
        Now >= this->NextPlacingPeerSend) {
      State.Sequence = ++this->Sequence;
      this->Link->send(State, [](const FleetPeer &P) {
        return !P.SameDomain && P.PlacesRequests;
      });
      this->NextPlacingPeerSend = Now + RemoteSendInterval;
    }
    if (RepeatDue) {
      this->NextStateRepeat = Now + StateRepeatInterval;
    }
  }

  // Checks which peers are available and derives this host's share of each
  // customer's rate. Chooses the owners and removes peers that have been silent
  // for `PeerRemovalDelay`. A silent peer may still serve requests, so its
  // share of the rate is left to it until it must have stopped.
  void evaluatePeers(Time Now) {
    uint32_t ServingHosts = 1;
    uint32_t HeardHosts = 1;
    this->DomainPeers = 0;
    this->RemotePeers = 0;
    std::vector<std::string> RemovedPeers;
    for (const auto &Item : this->Link->peers()) {
      const FleetPeer &P = Item.second;
      this->DomainPeers += P.SameDomain ? 1 : 0;
      this->RemotePeers += P.SameDomain ? 0 : 1;
      Duration SilentFor = Now - std::max(P.LastHeard, P.AddedAt);
      if (Now - P.LastHeard < PeerTimeout) {
        ++ServingHosts;
        ++HeardHosts;
      } else {
        this->Relay->forgetPeer(P.Id);
        ServingHosts += SilentFor < SilentPeerServingTime ? 1 : 0;
        if (SilentFor > PeerRemovalDelay) {
          RemovedPeers.push_back(P.Host.Name);
        }
      }
    }
    double Share = HeardHosts == 1
                       ? 1.0 / ServingHosts
                       : static_cast<double>(HeardHosts) / ServingHosts;
    this->Relay->setRemoteHosts(this->chooseOwners(Now));
    this->Directory->setPeerCount(HeardHosts - 1);
    this->Relay->quota().setRateShare(Share);
    this->Relay->setHosts(ServingHosts);
    for (const std::string &Name : RemovedPeers) {
      this->Link->removePeer(Name);
      this->Directory->removeHost(Name);
    }
  }

  // Chooses the owner of each failure domain among the hosts that sent a
  // message within `OwnerTimeout`. Returns the number of hosts in other domains
  // that place requests.
  uint32_t chooseOwners(Time Now) {
    std::map<std::string, std::vector<OwnerCandidate>> Domains;
    if (!this->Stopping) {
      Domains[this->Self.Domain].push_back(
          {hostId(this->Self.Name), this->Self.Cores});
    }
    for (const auto &Item : this->Link->peers()) {
      const FleetPeer &P = Item.second;
      if (Now - P.LastHeard < OwnerTimeout && !P.Leaving) {
        Domains[P.Host.Domain].push_back({P.Id, P.Host.Cores});
      }
    }
    uint32_t RemotePlacingHosts = 0;
    std::map<std::string, HostId> Owners;
    for (const auto &Item : Domains) {
      HostId Chosen = chooseOwner(Item.second);
      Owners[Item.first] = Chosen;
      if (Item.first != this->Self.Domain) {
        RemotePlacingHosts +=
            Chosen.isValid() ? 1 : static_cast<uint32_t>(Item.second.size());
      }
    }
    this->Link->markPlacingPeers(Owners);
    this->Owner = Owners[this->Self.Domain];
    bool IsOwner = this->Owner == hostId(this->Self.Name);
    this->Relay->setOwner(IsOwner ? HostId() : this->Owner);
    bool OwnedByPeer = this->Owner.isValid() && !IsOwner;
    if (!OwnedByPeer) {
      this->Relay->setOwnerDepartingTargets({});
    }
    this->Directory->setLeader(!OwnedByPeer, bootTime());
    return RemotePlacingHosts;
  }

  void tick() {
    Time Now = ProcessClock::now();
    this->Directory->tick(bootTime());
    this->Relay->tick();
    if (Now >= this->NextPeerCheck) {
      this->NextPeerCheck = Now + PeerCheckInterval;
      this->evaluatePeers(Now);
    }
    this->sendState(Now);
    bool Trusted = this->Directory->age(DirectoryKind::Config, bootTime()) <
                   this->Host.RevocationLimit / 2;
    if (Trusted != this->KeysTrusted) {
      this->KeysTrusted = Trusted;
      logImportantEvent("keys",
                        {{"trusted", Trusted},
                         {"limit-ms", toMillis(this->Host.RevocationLimit)}});
    }
    bool IsReady = this->ready();
    if (IsReady != this->LoggedReady) {
      this->LoggedReady = IsReady;
      logImportantEvent("ready", {{"ready", IsReady}});
    }
    if (Now >= this->NextSettingsCheck) {
      if (this->NextSettingsCheck.time_since_epoch().count() != 0 &&
          readFile(this->SettingsPath) != this->SettingsText) {
        this->reload("the file changed");
      }
      this->NextSettingsCheck = Now + SettingsCheckInterval;
    }
    if (this->Stopping) {
      this->continueStop(Now);
    }
  }

  // Implementation of DirectoryEvents.
  void onConfig(std::shared_ptr<const RoutingConfig> Config) override {
    this->Relay->configure(std::move(Config));
  }
  void onTarget(const TargetEntry &Target) override {
    logImportantEvent("target", {{"instance", Target.Instance},
                                 {"at", Target.At.text()},
                                 {"domain", Target.Domain},
                                 {"slots", Target.Slots},
                                 {"leaving", Target.Leaving}});
    this->Relay->setTarget(Target);
  }
  void onTargetGone(const std::string &Instance) override {
    logImportantEvent("target-gone", {{"instance", Instance}});
    this->Relay->removeTarget(Instance);
  }
  void onHost(const FleetHost &Peer) override {
    logImportantEvent("peer", {{"name", Peer.Name}, {"at", Peer.At.text()}});
    this->Link->setPeer(Peer, ProcessClock::now());
  }
  void onHostGone(const std::string &Name) override {
    logImportantEvent("peer-gone", {{"name", Name}});
    this->Link->removePeer(Name);
  }
  void onConfirmStarted() override { this->Link->onConfirmationRequested(); }
  void onConfirmed(uint64_t ConfigRevision) override {
    this->ConfirmedRevision = ConfigRevision;
    this->Link->onConfirmationReceived();
  }
  void onStoreReachable(bool Reachable) override {
    logImportantEvent(Reachable ? "store-regained" : "store-lost",
                      LogFields::object());
  }
};

Gateway::Gateway(const GatewaySettings &Host, const std::string &SettingsPath,
                 const RelayHeaders &Headers,
                 const DirectoryStoreFactory &MakeStore)
    : Impl(std::make_unique<Parts>(Host, SettingsPath, Headers, MakeStore)) {}

Gateway::~Gateway() = default;

void Gateway::run() { this->Impl->run(); }

} // namespace shallotlatch
