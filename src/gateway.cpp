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

// Timeouts are examined and peers of the own domain told this often.
static constexpr Duration TickInterval = millis(20);
// Peers in other domains are told this often: their bytes have a price.
static constexpr Duration RemoteInterval = millis(120);
// The number of peers up to which these intervals hold; with more peers they
// grow in proportion, so that a host's datagrams a second stay bounded.
static constexpr uint32_t NearPeers = 4;
static constexpr uint32_t RemotePeers = 8;
// With an owner, hosts of a domain need each other's counters only.
static constexpr Duration OwnedInterval = millis(60);
// An unchanged state is repeated this often.
static constexpr Duration RepeatInterval = millis(400);
// Peers' silence is examined this often.
static constexpr Duration WeighInterval = millis(200);
// A peer that was not heard for this long cannot be counted on.
static constexpr Duration PeerSilence = millis(1200);
// A silent peer may still be serving, cut off, for this long: after it, its
// keys are no longer trusted.
static constexpr Duration PeerServes = seconds(10);
// A host that was not heard for this long owns nothing. Remote hosts are told
// in turns, so this is longer than a round at the largest size that was run.
static constexpr Duration OwnerSilence = millis(1200);
// An entry of a peer that was silent for this long is removed from the store.
static constexpr Duration PeerForget = seconds(20);
// The settings file is examined this often.
static constexpr Duration SettingsInterval = seconds(2);
// After a request to stop, the balancer may send new connections for this
// long: it asks once a second and believes the second miss.
static constexpr Duration BalancerLag = millis(2600);
// Taken off the grace, for the last answers' way out.
static constexpr Duration StopMargin = millis(500);
// Share of the revocation limit up to which a key is trusted.
static constexpr double KeyAgeShare = 0.62;
// Descriptors that are not for callers' connections.
static constexpr uint32_t ReservedDescriptors = 900;

static std::string readText(const std::string &Path) {
  std::ifstream In(Path);
  std::stringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

static uint64_t wallMillis() {
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
  std::unique_ptr<FleetDirectory> Beliefs;
  std::unique_ptr<RequestRelay> Relays;
  std::unique_ptr<FleetLink> Link;
  std::unique_ptr<HttpServer> ReadyServer;
  std::unique_ptr<HttpServer> MetricsServer;
  std::vector<event *> Watches;
  uint32_t Sequence = 0;
  uint64_t ConfirmedRevision = 0; ///< By the store itself.
  Time NextNear;
  Time NextRemote;
  Time NextPlacers;
  Time NextWeigh;
  HostId Owner;        ///< Places for this host's domain; invalid: none.
  uint32_t Near = 0;   ///< Peers of the own failure domain.
  uint32_t Remote = 0; ///< All other peers.
  Time NextRepeat;
  Time NextSettings;
  Time StopAt;
  Time StopAsked;
  bool Stopping = false;
  bool LastReady = false;
  bool KeysTrusted = true;
  std::string LastUse;

  Parts(const GatewaySettings &Host, const std::string &SettingsPath,
        const RelayHeaders &Headers, const DirectoryStoreFactory &MakeStore)
      : Host(Host), SettingsPath(SettingsPath),
        SettingsText(readText(SettingsPath)), Base(event_base_new()) {
    startLog(this->Base, 1, Host.Host);
    this->Self.Name = Host.Host;
    this->Self.At = Host.Peer;
    this->Self.Domain = Host.Domain;
    this->Self.Run = wallMillis();
    this->Self.Cores = Host.Cores;
    this->Store = MakeStore(this->Base);
    this->Beliefs = std::make_unique<FleetDirectory>(*this->Store, *this,
                                                     hash64(Host.Host));
    FrontendInit Front;
    Front.ListenAddress = Host.Caller;
    Front.MaxConnections =
        std::max(64U, Host.Descriptors -
                          std::min(Host.Descriptors / 2, ReservedDescriptors));
    Front.MaxBufferedBytes = uint64_t{Host.MemoryMb} * 1024 * 1024 / 4;
    RelayInit Relay;
    Relay.Headers = Headers;
    Relay.Domain = Host.Domain;
    Relay.Seed = hash64(Host.Host);
    Relay.MaxConfigAgeForKeys = Duration(static_cast<int64_t>(
        static_cast<double>(Host.RevocationLimit.count()) * KeyAgeShare));
    Relay.Budget.Ratio = Host.RetryRatio;
    Relay.Budget.Extra = Host.RetryExtra;
    Relay.Budget.Window = Host.RetryWindow;
    Relay.Slack.Overage = Host.QuotaOverage;
    Relay.Slack.Tolerance = Host.QuotaTolerance;
    Relay.Slack.Window = Host.QuotaWindow;
    this->Relays = std::make_unique<RequestRelay>(this->Base, Front, Relay,
                                                  *this->Beliefs);
    this->Link = std::make_unique<FleetLink>(
        this->Base, this->Self, static_cast<FleetLinkEvents &>(*this));
    this->Relays->setPlacementChannel(*this->Link);
    HttpServerInit Ready;
    Ready.At = Host.Ready;
    this->ReadyServer = std::make_unique<HttpServer>(
        this->Base, Ready, [this](evhttp_request *Http) {
          bool IsReady = this->ready();
          sendText(Http, IsReady ? 200 : 503, "text/plain",
                   IsReady ? "ready\n" : "not ready\n");
        });
    if (Host.MetricsPort != 0) {
      HttpServerInit Metrics;
      Metrics.At =
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
    timeval Every = toTimeval(TickInterval);
    event_add(Tick, &Every);
    this->Watches.push_back(Tick);
  }

  ~Parts() override {
    for (event *Watch : this->Watches) {
      event_free(Watch);
    }
    this->ReadyServer.reset();
    this->MetricsServer.reset();
    this->Link.reset();
    this->Relays.reset();
    this->Store.reset();
  }

  void watchSignal(int Number, event_callback_fn Call) {
    event *Watch = evsignal_new(this->Base, Number, Call, this);
    event_add(Watch, nullptr);
    this->Watches.push_back(Watch);
  }

  bool ready() const {
    return !this->Stopping && this->Beliefs->config() != nullptr &&
           this->Beliefs->synced(DirectoryKind::Targets) && this->KeysTrusted;
  }

  std::string metrics() {
    GatewayMetrics &M = this->Relays->metrics();
    auto AgeSeconds = [this](DirectoryKind Kind) {
      Duration Age = this->Beliefs->age(Kind, bootTime());
      return Age == Duration::max() ? -1 : toSeconds(Age);
    };
    M.setGauge("config_age_seconds", AgeSeconds(DirectoryKind::Config));
    M.setGauge("targets_age_seconds", AgeSeconds(DirectoryKind::Targets));
    M.setGauge("config_revision", static_cast<double>(this->Beliefs->revision(
                                      DirectoryKind::Config)));
    M.setGauge("store_reachable", this->Beliefs->reachable() ? 1 : 0);
    M.setGauge("ready", this->ready() ? 1 : 0);
    ServiceSchedulerStats Pools = this->Relays->poolStats();
    M.setGauge("targets", Pools.Targets);
    M.setGauge("targets_usable", Pools.Usable);
    M.setGauge("slots", Pools.Slots);
    M.setGauge("running", Pools.Running);
    M.setGauge("waiting", Pools.Waiting);
    M.setGauge("held", this->Relays->stats().HeldRequests);
    M.setGauge("caller_connections", this->Relays->frontendStats().Connections);
    PooledHttpClientStats Wire = this->Relays->targetClientStats();
    M.setGauge("target_connections_opened", static_cast<double>(Wire.Opened));
    M.setGauge("target_connections_reused", static_cast<double>(Wire.Reused));
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
    this->Beliefs->start(this->Self, bootTime());
    event_base_dispatch(this->Base);
    logImportantEvent("stopped", {{"asked", this->Relays->stats().Received}});
    stopLog();
  }

  void stop(const char *Why) {
    if (this->Stopping) {
      return;
    }
    this->Stopping = true;
    this->StopAsked = ProcessClock::now();
    this->StopAt = this->StopAsked + this->Host.StopGrace - StopMargin;
    this->Relays->drain(this->StopAsked + BalancerLag);
    logImportantEvent("stop", {{"why", Why},
                               {"held", this->Relays->stats().HeldRequests},
                               {"grace-ms", toMillis(this->Host.StopGrace)}});
  }

  // Once the balancer sends nothing more, what is held is finished.
  void stopStep(Time Now) {
    if (Now - this->StopAsked > BalancerLag) {
      this->Relays->closeIdleConnections();
      if (this->Relays->idle() &&
          this->Relays->frontendStats().Connections == 0) {
        event_base_loopbreak(this->Base);
        return;
      }
    }
    if (Now >= this->StopAt) {
      this->Relays->stopAccepting();
      this->Relays->endAllRequests();
      event_base_loopexit(this->Base, nullptr);
    }
  }

  void reload(const char *Why) {
    std::string Text = readText(this->SettingsPath);
    if (Text == this->SettingsText) {
      logImportantEvent("reload", {{"why", Why}, {"changed", false}});
      return;
    }
    this->SettingsText = Text;
    try {
      GatewaySettings Next = parseGatewaySettings(Text);
      this->Host.StopGrace = Next.StopGrace;
      logImportantEvent("reload", {{"why", Why}, {"changed", true}});
    } catch (const ConfigError &E) {
      logImportantEvent("reload-refused",
                        {{"why", Why}, {"mistake", E.what()}});
    }
  }

  // FleetLinkEvents
  void onBook(const PlacementReport &Book) override {
    this->Relays->receive(Book);
  }
  void onReply(const PlacementReply &Reply) override {
    this->Relays->receive(Reply);
  }
  void onState(const HostState &State) override {
    this->Relays->peerUse(State.Host, State.Targets);
    if (State.Host == this->Owner) {
      this->Relays->setOwnerDepartingTargets(State.Departing);
    }
    this->Relays->quota().mergePeerUse(State.Host, State.Run, State.Customers);
    this->Relays->crashes().mergePeerCounts(State.Host, State.Crashes,
                                            ProcessClock::now());
    if (echoIsOwn(State, this->Self.Run, bootTime())) {
      this->Beliefs->onPeerConfirmation(State.ConfigRevision, State.Echo);
    }
  }

  void tell(Time Now) {
    if (Now < this->NextNear && Now < this->NextRemote &&
        Now < this->NextRepeat && Now < this->NextPlacers) {
      return;
    }
    HostState State;
    State.Host = hostId(this->Self.Name);
    State.Run = this->Self.Run;
    State.Leaving = this->Stopping;
    State.ConfigRevision = this->ConfirmedRevision;
    State.Targets = this->Relays->ownUse();
    State.Customers = this->Relays->quota().ownUse();
    State.Crashes = this->Relays->crashes().localTallies(Now);
    State.Departing = this->Relays->departingTargets(Now);
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
    bool Repeat = Now >= this->NextRepeat;
    bool Changed = Use != this->LastUse;
    if ((Changed && Now >= this->NextNear) || Repeat) {
      this->LastUse = Use;
      State.Sequence = ++this->Sequence;
      this->Link->send(State, [](const FleetPeer &P) { return P.SameDomain; });
      Duration Interval = this->Owner.isValid() ? OwnedInterval : TickInterval;
      this->NextNear = Now + Interval * (this->Near / NearPeers);
    }
    State.Departing.clear(); // For the hosts of the own domain only.
    if (Now >= this->NextRemote) {
      State.Sequence = ++this->Sequence;
      this->Link->send(State, [](const FleetPeer &P) { return !P.SameDomain; });
      this->NextRemote =
          Now + RemoteInterval * std::max(1U, this->Remote / RemotePeers);
      this->NextPlacers = Now + RemoteInterval;
    }
    // Owners place on each other's targets, so they hear of each other sooner.
    if (this->Owner == hostId(this->Self.Name) && Now >= this->NextPlacers) {
      State.Sequence = ++this->Sequence;
      this->Link->send(State, [](const FleetPeer &P) {
        return !P.SameDomain && P.PlacesRequests;
      });
      this->NextPlacers = Now + RemoteInterval;
    }
    if (Repeat) {
      this->NextRepeat = Now + RepeatInterval;
    }
  }

  // Peers that cannot be heard may be serving all the same: their share of
  // each customer's rate is left to them until they must have stopped.
  void weighPeers(Time Now) {
    uint32_t Hosts = 1;
    uint32_t Heard = 1;
    this->Near = 0;
    this->Remote = 0;
    std::vector<std::string> Gone;
    for (const auto &Item : this->Link->peers()) {
      const FleetPeer &P = Item.second;
      this->Near += P.SameDomain ? 1 : 0;
      this->Remote += P.SameDomain ? 0 : 1;
      Duration Silent = Now - std::max(P.LastHeard, P.AddedAt);
      if (Now - P.LastHeard < PeerSilence) {
        ++Hosts;
        ++Heard;
      } else {
        this->Relays->forgetPeer(P.Id);
        Hosts += Silent < PeerServes ? 1 : 0;
        if (Silent > PeerForget) {
          Gone.push_back(P.Host.Name);
        }
      }
    }
    double Share =
        Heard == 1 ? 1.0 / Hosts : static_cast<double>(Heard) / Hosts;
    this->Relays->setRemoteHosts(this->chooseOwners(Now));
    this->Beliefs->setPeerCount(Heard - 1);
    this->Relays->quota().setRateShare(Share);
    this->Relays->setHosts(Hosts);
    for (const std::string &Name : Gone) {
      this->Link->removePeer(Name);
      this->Beliefs->removeHost(Name);
    }
  }

  // Chooses the owner of each domain from the hosts that are heard; returns
  // the number of remote hosts that place requests.
  uint32_t chooseOwners(Time Now) {
    std::map<std::string, std::vector<OwnerCandidate>> Domains;
    if (!this->Stopping) {
      Domains[this->Self.Domain].push_back(
          {hostId(this->Self.Name), this->Self.Cores});
    }
    for (const auto &Item : this->Link->peers()) {
      const FleetPeer &P = Item.second;
      if (Now - P.LastHeard < OwnerSilence && !P.Leaving) {
        Domains[P.Host.Domain].push_back({P.Id, P.Host.Cores});
      }
    }
    uint32_t Placers = 0;
    std::map<std::string, HostId> Owners;
    for (const auto &Item : Domains) {
      HostId Chosen = chooseOwner(Item.second);
      Owners[Item.first] = Chosen;
      if (Item.first != this->Self.Domain) {
        Placers +=
            Chosen.isValid() ? 1 : static_cast<uint32_t>(Item.second.size());
      }
    }
    this->Link->markPlacingPeers(Owners);
    this->Owner = Owners[this->Self.Domain];
    bool Own = this->Owner == hostId(this->Self.Name);
    this->Relays->setOwner(Own ? HostId() : this->Owner);
    bool Led = this->Owner.isValid() && !Own;
    if (!Led) {
      this->Relays->setOwnerDepartingTargets({});
    }
    this->Beliefs->setLeader(!Led, bootTime());
    return Placers;
  }

  void tick() {
    Time Now = ProcessClock::now();
    this->Beliefs->tick(bootTime());
    this->Relays->tick();
    if (Now >= this->NextWeigh) {
      this->NextWeigh = Now + WeighInterval;
      this->weighPeers(Now);
    }
    this->tell(Now);
    bool Trusted = this->Beliefs->age(DirectoryKind::Config, bootTime()) <
                   this->Host.RevocationLimit / 2;
    if (Trusted != this->KeysTrusted) {
      this->KeysTrusted = Trusted;
      logImportantEvent("keys",
                        {{"trusted", Trusted},
                         {"limit-ms", toMillis(this->Host.RevocationLimit)}});
    }
    bool IsReady = this->ready();
    if (IsReady != this->LastReady) {
      this->LastReady = IsReady;
      logImportantEvent("ready", {{"ready", IsReady}});
    }
    if (Now >= this->NextSettings) {
      if (this->NextSettings.time_since_epoch().count() != 0 &&
          readText(this->SettingsPath) != this->SettingsText) {
        this->reload("the file changed");
      }
      this->NextSettings = Now + SettingsInterval;
    }
    if (this->Stopping) {
      this->stopStep(Now);
    }
  }

  // DirectoryEvents
  void onConfig(std::shared_ptr<const RoutingConfig> Config) override {
    this->Relays->configure(std::move(Config));
  }
  void onTarget(const TargetEntry &Target) override {
    logImportantEvent("target", {{"instance", Target.Instance},
                                 {"at", Target.At.text()},
                                 {"domain", Target.Domain},
                                 {"slots", Target.Slots},
                                 {"leaving", Target.Leaving}});
    this->Relays->setTarget(Target);
  }
  void onTargetGone(const std::string &Instance) override {
    logImportantEvent("target-gone", {{"instance", Instance}});
    this->Relays->removeTarget(Instance);
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
