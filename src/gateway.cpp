#include "shallotlatch/gateway.h"

#include "directory_p.h"
#include "event_log_p.h"
#include "fleet_exchange_p.h"
#include "http_server_p.h"
#include "relay_p.h"
#include "sockets_p.h"
#include "stop_plan_p.h"
#include "tunnel_server_p.h"

#include "shallotlatch/model.h"

#include <event2/event.h>
#include <event2/http.h>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <fstream>
#include <sstream>

namespace shallotlatch {

// Interval at which timeouts are checked.
static constexpr Duration TickInterval = millis(20);
// Interval at which the settings file is checked for changes.
static constexpr Duration SettingsCheckInterval = seconds(2);
// Maximum age of the configuration up to which keys are trusted, as a share of
// the revocation limit.
static constexpr double MaxKeyAgeRatio = 0.62;
// Time until the news of a removal reach this host.
static constexpr Duration StoreNewsDelay = seconds(2);
// Number of file descriptors reserved for uses other than callers' connections.
static constexpr uint32_t ReservedDescriptors = 900;
// Number of file descriptors reserved for uses other than connections of
// callers and to targets: an idle process has 13 open; probes and store calls
// add some.
static constexpr uint32_t OwnDescriptors = 64;

// Number of descriptors for each tunnel that peers may have open here, which
// takes two of them, and the number of tunnels on a small host.
static constexpr uint32_t DescriptorsPerTunnel = 16;
static constexpr uint32_t MinTunnels = 16;

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

struct Gateway::Parts : public DirectoryEvents, public TunnelServerEvents {
  GatewaySettings Host;
  std::string SettingsPath;
  std::string SettingsText;
  event_base *Base;
  FleetHost Self;
  std::unique_ptr<DirectoryStore> Store;
  std::unique_ptr<FleetDirectory> Directory;
  std::unique_ptr<RequestRelay> Relay;
  std::unique_ptr<StreamArchive> Archive; ///< Empty: the store takes none.
  std::unique_ptr<FleetExchange> Exchange;
  std::unique_ptr<TunnelServer> Tunnels;
  std::unique_ptr<HttpServer> ReadyServer;
  std::unique_ptr<HttpServer> MetricsServer;
  std::vector<event *> LoopEvents;
  Time NextSettingsCheck;
  StopPlan Stop;
  bool Stopping = false;
  bool LoggedReady = false;
  bool KeysTrusted = true;

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
    this->Directory->setTargetHeartbeat(Host.TargetHeartbeat);
    FrontendInit FrontendOptions;
    FrontendOptions.ListenAddress = Host.Caller;
    FrontendOptions.MaxConnections =
        std::max(64U, Host.Descriptors -
                          std::min(Host.Descriptors / 2, ReservedDescriptors));
    RelayInit RelayOptions;
    RelayOptions.Memory.LimitBytes = memoryForCallers(Host.MemoryMb);
    RelayOptions.Memory.MaxConnections =
        Host.Descriptors - std::min(Host.Descriptors / 4, OwnDescriptors);
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
    RelayOptions.Crashes.DeathWindow =
        Host.TargetHeartbeat * HeartbeatsUntilRemoval + StoreNewsDelay;
    RelayOptions.Crashes.Seed = RelayOptions.Seed;
    if (Host.Features.count(RolloutFeature) != 0) {
      RolloutInit Rollouts;
      Rollouts.Bounds = {Host.ExposureShare, Host.ExposureTolerance,
                         Host.RollbackTimeout};
      Rollouts.Self = hostId(Host.Host);
      Rollouts.Run = this->Self.Run;
      Rollouts.Domain = hash64(Host.Domain);
      RelayOptions.Rollouts = Rollouts;
      this->Directory->readRollouts();
    }
    bool SharedTargets = Host.Features.count(SharedTargetsFeature) != 0;
    RelayOptions.Scheduling.PredictWaits = SharedTargets;
    RelayOptions.Scheduling.FairShares = SharedTargets;
    RelayOptions.Scheduling.LearnSpeed = SharedTargets;
    RelayOptions.Scheduling.DrainTimeout = Host.DrainTimeout;
    this->Relay = std::make_unique<RequestRelay>(
        this->Base, FrontendOptions, RelayOptions, *this->Directory);
    if (this->Store->records() != nullptr) {
      this->Archive = std::make_unique<StreamArchive>(
          *this->Store->records(), *this->Relay,
          Host.Host + "-" + std::to_string(this->Self.Run));
      this->Relay->setArchive(*this->Archive);
      this->Self.KeepsRecords = this->Self.AnnouncesVersions = true;
    }
    this->Exchange = std::make_unique<FleetExchange>(
        this->Base, this->Self, *this->Relay, *this->Directory);
    this->Relay->setPlacementChannel(this->Exchange->link());
    TunnelServerInit TunnelOptions;
    TunnelOptions.ListenAddress = Host.Peer;
    TunnelOptions.MaxTunnels =
        std::max(MinTunnels, Host.Descriptors / DescriptorsPerTunnel);
    this->Tunnels = std::make_unique<TunnelServer>(
        this->Base, TunnelOptions, *this, this->Relay->budget());
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
    this->Tunnels.reset();
    this->Exchange.reset();
    this->Relay.reset();
    this->Archive.reset();
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

  // Sums over all services, since gauges have no labels.
  void setRolloutGauges(GatewayMetrics &M) {
    double Orders = 0;
    double Bad = 0;
    double Share = 0;
    RolloutPair Sum;
    for (const auto &Item : this->Relay->rollouts()->all()) {
      const ServiceRollout &R = *Item.second;
      Orders += R.hasOrder() ? 1 : 0;
      Bad += R.verdict() == RolloutVerdict::Bad ? 1 : 0;
      Share = std::max(Share, R.share());
      if (R.evidence() != nullptr) {
        RolloutPair Part = sumOf(*R.evidence());
        Sum[0].add(Part[0]);
        Sum[1].add(Part[1]);
      }
    }
    M.setGauge("rollout_orders", Orders);
    M.setGauge("rollout_bad", Bad);
    M.setGauge("rollout_share", Share);
    M.setGauge("rollout_new_answers", static_cast<double>(Sum[1].answers()));
    M.setGauge("rollout_new_bad", static_cast<double>(Sum[1].bad()));
    M.setGauge("rollout_old_answers", static_cast<double>(Sum[0].answers()));
    M.setGauge("rollout_old_bad", static_cast<double>(Sum[0].bad()));
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
    M.setGauge("store_era", static_cast<double>(this->Directory->storeEra()));
    M.setGauge("store_reachable", this->Directory->reachable() ? 1 : 0);
    M.setGauge("ready", this->ready() ? 1 : 0);
    ServiceSchedulerStats Pools = this->Relay->poolStats();
    M.setGauge("targets", Pools.Targets);
    M.setGauge("targets_usable", Pools.Usable);
    M.setGauge("slots", Pools.Slots);
    M.setGauge("running", Pools.Running);
    M.setGauge("waiting", Pools.Waiting);
    M.setGauge("predicted_wait_seconds", toSeconds(Pools.PredictedWait));
    M.setGauge("speed_limited_targets", Pools.SpeedLimited);
    M.setGauge("held", this->Relay->stats().HeldRequests);
    const MemoryBudget &Budget = this->Relay->budget();
    M.setGauge("memory_held_bytes", static_cast<double>(Budget.held()));
    M.setGauge("memory_limit_bytes", static_cast<double>(Budget.limit()));
    M.setGauge("connections", Budget.connections());
    FrontendStats Front = this->Relay->frontendStats();
    M.setGauge("callers_ended_for_memory",
               static_cast<double>(Front.EndedForMemory));
    M.setGauge("callers_ended_for_descriptors",
               static_cast<double>(Front.EndedForDescriptors));
    M.setGauge("callers_ended_unread", static_cast<double>(Front.EndedUnread));
    M.setGauge("caller_connections", this->Relay->frontendStats().Connections);
    CrashGuard &Crashes = this->Relay->crashes();
    M.setGauge("crash_suspects", static_cast<double>(Crashes.suspectCount()));
    M.setGauge("quarantined", static_cast<double>(Crashes.quarantineCount(
                                  ProcessClock::now())));
    M.setGauge("streams_known",
               static_cast<double>(this->Relay->knownStreams()));
    if (this->Archive) {
      ArchiveStats Records = this->Archive->stats();
      M.setGauge("stream_records_streams",
                 static_cast<double>(Records.Streams));
      M.setGauge("stream_records_unwritten",
                 static_cast<double>(Records.Unwritten));
      M.setGauge("stream_records_writes", static_cast<double>(Records.Writes));
      M.setGauge("stream_records_reads", static_cast<double>(Records.Reads));
      M.setGauge("stream_records_failures",
                 static_cast<double>(Records.Failures));
    }
    M.setGauge("limited_targets",
               static_cast<double>(this->Relay->limitedTargets()));
    uint32_t SaidLeaving = 0;
    uint32_t Paused = 0;
    this->Relay->countNotices(SaidLeaving, Paused);
    M.setGauge("targets_said_leaving", SaidLeaving);
    M.setGauge("targets_paused", Paused);
    TargetPathStats Paths = this->Relay->pathStats();
    M.setGauge("paths_lost", Paths.Lost);
    M.setGauge("isolated", Paths.Isolated ? 1 : 0);
    TunnelServerStats Tunnels = this->Tunnels->stats();
    M.setGauge("tunnels_open", Tunnels.Open);
    M.setGauge("tunnels_opened", static_cast<double>(Tunnels.Opened));
    M.setGauge("tunnels_refused", static_cast<double>(Tunnels.Refused));
    if (this->Relay->rollouts() != nullptr) {
      this->setRolloutGauges(M);
    }
    PooledHttpClientStats TargetClient = this->Relay->targetClientStats();
    M.setGauge("target_connections_opened",
               static_cast<double>(TargetClient.Opened));
    M.setGauge("target_connections_reused",
               static_cast<double>(TargetClient.Reused));
    FleetLinkStats Peers = this->Exchange->link().stats();
    M.setGauge("peers",
               static_cast<double>(this->Exchange->link().peers().size()));
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
    this->Stop = planStop(ProcessClock::now(), this->Host.StopGrace);
    this->Relay->drain(this->Stop);
    this->Tunnels->stop();
    logImportantEvent("stop", {{"why", Cause},
                               {"held", this->Relay->stats().HeldRequests},
                               {"grace-ms", toMillis(this->Host.StopGrace)}});
  }

  // Ends the loop as soon as the load balancer opens no more connections, all
  // requests are finished and all connections closed. Late in the grace period,
  // ends the requests that are left. Their responses are written by later
  // iterations of the loop.
  void continueStop(Time Now) {
    if (Now <= this->Stop.EarliestExit) {
      return;
    }
    this->Relay->closeIdleConnections();
    if (Now >= this->Stop.EndRequestsAt) {
      this->Relay->stopAccepting();
      this->Relay->endAllRequests();
    }
    bool Done = this->Relay->idle() && this->Tunnels->idle() &&
                this->Relay->frontendStats().Connections == 0;
    if (Done || Now >= this->Stop.ExitAt) {
      event_base_loopbreak(this->Base);
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

  void tick() {
    Time Now = ProcessClock::now();
    this->Directory->tick(bootTime());
    this->Relay->tick();
    this->Exchange->tick(Now, this->Stopping);
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
                                 {"software", Target.Software},
                                 {"run", Target.shortIdentity()},
                                 {"leaving", Target.Leaving}});
    this->Relay->setTarget(Target);
  }
  void onTargetGone(const std::string &Instance) override {
    logImportantEvent("target-gone", {{"instance", Instance}});
    this->Relay->removeTarget(Instance);
  }
  void onHost(const FleetHost &Peer) override {
    logImportantEvent("peer", {{"name", Peer.Name},
                               {"at", Peer.At.text()},
                               {"keeps-records", Peer.KeepsRecords},
                               {"announces", Peer.AnnouncesVersions}});
    if (this->Archive) {
      this->Archive->recordHost(Peer);
    }
    this->Exchange->link().setPeer(Peer, ProcessClock::now());
  }
  void onHostGone(const std::string &Name) override {
    logImportantEvent("peer-gone", {{"name", Name}});
    this->Exchange->link().removePeer(Name);
  }
  void onRollout(const RolloutOrder &Order, bool Appeared) override {
    logImportantEvent("rollout",
                      {{"name", Order.Name},
                       {"to", Order.To},
                       {"duration-ms", toMillis(Order.Length)},
                       {"state", Order.Written ? name(*Order.Written) : ""},
                       {"revision", Order.Revision}});
    this->Relay->onRollout(Order, Appeared);
  }
  void onRolloutGone(const std::string &Name) override {
    logImportantEvent("rollout-gone", {{"name", Name}});
    this->Relay->onRolloutGone(Name);
  }
  void onConfirmStarted() override {
    this->Exchange->link().onConfirmationRequested();
  }
  void onConfirmed(uint64_t ConfigVersion) override {
    this->Exchange->onConfirmed(ConfigVersion);
  }
  void onTargetSeen(const TargetEntry &Target) override {
    this->Relay->recordTargetSeen(Target);
  }
  void onTargetsConfirmed(Time ReadAt) override {
    this->Relay->onVersionsConfirmed(ReadAt);
  }
  void onTargetsUnconfirmed() override { this->Relay->onVersionsUnconfirmed(); }
  void onTargetChangesMissed() override { this->Relay->onVersionsMissed(); }
  // Implementation of TunnelServerEvents.
  std::variant<Address, TunnelRefusal>
  onTunnelRequest(const TunnelRequest &Request) override {
    if (this->Exchange->link().peers().count(Request.From) == 0) {
      return TunnelRefusal::UnknownHost;
    }
    return this->Relay->tunnelTo(Request);
  }
  TunnelRefusal onTunnelConnectFailed(const TunnelRequest &Request) override {
    return this->Relay->tunnelFailure(Request);
  }
  void onTunnelHead(const TunnelRequest &Request,
                    const HttpHead &Head) override {
    this->Relay->observeTunnelHead(Request, Head);
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
