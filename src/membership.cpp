#include "membership_p.h"

#include "json_reader_p.h"

#include <algorithm>

namespace shallotlatch {

// Time between two heartbeats to the same monitor.
static constexpr Duration HeartbeatPeriod = millis(500);
// Time between two heartbeats that carry a digest to a random peer.
static constexpr Duration DigestExchangePeriod = millis(1000);
// Time without a message after which a monitor suspects a host.
static constexpr Duration SuspicionTimeout = millis(1800);
// Time for which a host counts as unreachable after a failed connection.
static constexpr Duration UnreachableHold = seconds(3);
static constexpr uint32_t MonitorsPerHost = 3;
// Number of live monitors that have to suspect a host before it counts as dead.
static constexpr uint32_t SuspicionQuorum = 2;
// Number of random peers to which a new liveness report is sent.
static constexpr uint32_t GossipFanout = 3;

std::vector<HostInfo> parseHosts(const std::string &Json) {
  nlohmann::json Root = nlohmann::json::parse(Json, nullptr, false);
  if (Root.is_discarded()) {
    throw ConfigError({"/: the list of hosts is not valid JSON"});
  }
  std::vector<std::string> Mistakes;
  std::vector<HostInfo> List;
  ObjectReader Top(Root, "", Mistakes);
  const nlohmann::json &Items = Top.array("hosts");
  for (size_t I = 0; I < Items.size(); ++I) {
    ObjectReader R(Items[I], "/hosts/" + std::to_string(I), Mistakes);
    HostInfo H;
    std::string Peer;
    R.text("name", H.Name);
    R.text("region", H.Region);
    R.text("domain", H.Domain);
    R.text("peer", Peer);
    R.boolean("leaving", H.Leaving);
    try {
      H.Peer = parseAddress(Peer);
    } catch (const std::invalid_argument &E) {
      R.addMistake("peer", E.what());
    }
    H.Id = hostId(H.Name);
    List.push_back(H);
  }
  if (!Mistakes.empty()) {
    throw ConfigError(Mistakes);
  }
  return List;
}

Membership::Membership(NodeEnv &Env) : Env(Env), StartTime(Env.Now) {}

void Membership::setHosts(const std::vector<HostInfo> &List) {
  std::map<HostId, HostRecord> Next;
  for (const HostInfo &Info : List) {
    auto Old = this->Hosts.find(Info.Id);
    HostRecord R;
    if (Old != this->Hosts.end()) {
      R = Old->second;
    } else {
      R.LastHeard = this->Env.Now;
    }
    R.Info = Info;
    Next[Info.Id] = R;
  }
  for (const auto &Item : this->Hosts) {
    if (Next.count(Item.first) == 0 && Item.second.WasLive) {
      this->DepartedHosts.push_back(Item.first);
    }
  }
  this->Hosts = std::move(Next);
  for (auto It = this->LivenessReports.begin();
       It != this->LivenessReports.end();) {
    bool Keep = this->Hosts.count(It->first.Subject) != 0;
    It = Keep ? std::next(It) : this->LivenessReports.erase(It);
  }
  this->updateLiveHosts();
  ++this->Epoch;
}

void Membership::recordContact(HostId From) {
  auto It = this->Hosts.find(From);
  if (It != this->Hosts.end()) {
    It->second.LastHeard = this->Env.Now;
    It->second.UnreachableUntil = Time();
  }
}

void Membership::onHeartbeat(HostId From, const Heartbeat &H) {
  auto It = this->Hosts.find(From);
  if (It == this->Hosts.end()) {
    return;
  }
  HostRecord &R = It->second;
  if (R.Run != H.Run) {
    // The restarted host has lost the state of its former run, so the parts of
    // the node handle the former run as a dead host.
    if (R.Run.isValid() && From != this->Env.Self) {
      this->DepartedHosts.push_back(From);
    }
    R.Run = H.Run;
    R.Dead = false;
    ++this->Epoch;
  }
  R.ConfigVersion = H.Versions[static_cast<int>(DocumentKind::Config)];
  if (R.Leaving != H.Leaving) {
    R.Leaving = H.Leaving;
    this->setOwnReport(R, H.Leaving ? LivenessReport::State::Leaving
                                    : LivenessReport::State::Live);
  }
  this->updateLiveHosts();
}

void Membership::markUnreachable(HostId Host) {
  auto It = this->Hosts.find(Host);
  if (It != this->Hosts.end() && Host != this->Env.Self) {
    It->second.UnreachableUntil = this->Env.Now + UnreachableHold;
    this->updateLiveHosts();
  }
}

const HostInfo *Membership::info(HostId Host) const {
  auto It = this->Hosts.find(Host);
  return It == this->Hosts.end() ? nullptr : &It->second.Info;
}

bool Membership::live(HostId Host) const {
  auto It = this->Hosts.find(Host);
  if (It == this->Hosts.end()) {
    return Host == this->Env.Self;
  }
  if (Host == this->Env.Self) {
    return !this->SelfLeaving;
  }
  const HostRecord &R = It->second;
  return !R.Dead && !R.Leaving && !R.Info.Leaving &&
         R.UnreachableUntil <= this->Env.Now;
}

HostId Membership::ownerOf(uint64_t Key, const std::string &Region) const {
  HostId Best[2];
  uint64_t BestRank[2] = {0, 0};
  for (const auto &Item : this->Hosts) {
    if (!this->live(Item.first)) {
      continue;
    }
    uint64_t Rank = hashPair(Item.first.Value, Key);
    int RegionClass = Item.second.Info.Region == Region ? 0 : 1;
    if (!Best[RegionClass].isValid() || Rank > BestRank[RegionClass]) {
      Best[RegionClass] = Item.first;
      BestRank[RegionClass] = Rank;
    }
  }
  if (Best[0].isValid()) {
    return Best[0];
  }
  return Best[1].isValid() ? Best[1] : this->Env.Self;
}

bool Membership::isAmongTopRanked(uint64_t Key, uint32_t Count) const {
  uint64_t OwnRank = hashPair(this->Env.Self.Value, Key);
  uint32_t HigherRanked = 0;
  for (const auto &Item : this->Hosts) {
    bool Competes = Item.first != this->Env.Self && this->live(Item.first) &&
                    Item.second.Info.Region == this->Env.Region;
    HigherRanked +=
        Competes && hashPair(Item.first.Value, Key) > OwnRank ? 1 : 0;
  }
  return HigherRanked < Count;
}

std::vector<HostId> Membership::randomPeers(uint32_t Count) {
  std::vector<HostId> Live;
  for (const auto &Item : this->Hosts) {
    if (Item.first != this->Env.Self && this->live(Item.first)) {
      Live.push_back(Item.first);
    }
  }
  std::vector<HostId> Picked;
  while (Picked.size() < Count && !Live.empty()) {
    uint32_t I = this->Env.randomBelow(static_cast<uint32_t>(Live.size()));
    Picked.push_back(Live[I]);
    Live[I] = Live.back();
    Live.pop_back();
  }
  return Picked;
}

uint32_t Membership::liveCount() const {
  uint32_t Count = 0;
  for (const auto &Item : this->Hosts) {
    Count += this->live(Item.first) ? 1 : 0;
  }
  return std::max<uint32_t>(Count, 1);
}

// Returns the hosts that follow the subject on a ring ordered by id. With this
// choice each host monitors about as many hosts as monitor it.
std::vector<HostId> Membership::monitorsOf(HostId Subject) const {
  std::vector<HostId> Monitors;
  auto It = this->Hosts.upper_bound(Subject);
  for (size_t Step = 0;
       Step < this->Hosts.size() && Monitors.size() < MonitorsPerHost; ++Step) {
    if (It == this->Hosts.end()) {
      It = this->Hosts.begin();
    }
    bool Usable = It->first == this->Env.Self || !It->second.Dead;
    if (It->first != Subject && Usable) {
      Monitors.push_back(It->first);
    }
    ++It;
  }
  return Monitors;
}

void Membership::gossip(const LivenessReport &O) {
  for (HostId Peer : this->randomPeers(GossipFanout)) {
    this->Env.outboxFor(Peer).LivenessReports.push_back(O);
  }
}

void Membership::setOwnReport(const HostRecord &R,
                              LivenessReport::State Status) {
  LivenessReport &O =
      this->LivenessReports[ReportKey{R.Info.Id, this->Env.Self}];
  if (O.Version != 0 && O.Status == Status && O.SubjectRun == R.Run) {
    return;
  }
  O.Subject = R.Info.Id;
  O.Monitor = this->Env.Self;
  O.SubjectRun = R.Run;
  // The version starts above a floor derived from the run, because a restarted
  // monitor must exceed every version that its earlier run published.
  uint32_t Floor = static_cast<uint32_t>(this->Env.Run.Value / 1000000);
  O.Version = std::max(O.Version, Floor) + 1;
  O.Status = Status;
  this->gossip(O);
  this->evaluateReports(R.Info.Id);
}

void Membership::onLivenessReport(const LivenessReport &O) {
  auto Subject = this->Hosts.find(O.Subject);
  if (Subject == this->Hosts.end() || O.Monitor == this->Env.Self) {
    return;
  }
  LivenessReport &Known =
      this->LivenessReports[ReportKey{O.Subject, O.Monitor}];
  if (O.Version <= Known.Version) {
    return;
  }
  Known = O;
  if (Subject->second.Run < O.SubjectRun) {
    Subject->second.Run = O.SubjectRun;
    Subject->second.Leaving = false;
  }
  this->gossip(O);
  this->evaluateReports(O.Subject);
}

void Membership::evaluateReports(HostId Subject) {
  auto It = this->Hosts.find(Subject);
  if (It == this->Hosts.end() || Subject == this->Env.Self) {
    return;
  }
  HostRecord &R = It->second;
  uint32_t SuspectVotes = 0;
  uint32_t LiveVotes = 0;
  bool Leaving = R.Leaving;
  for (auto O = this->LivenessReports.lower_bound(ReportKey{Subject, HostId()});
       O != this->LivenessReports.end() && O->first.Subject == Subject; ++O) {
    bool Counts =
        O->second.SubjectRun == R.Run &&
        (O->first.Monitor == this->Env.Self || this->live(O->first.Monitor));
    if (!Counts) {
      continue;
    }
    SuspectVotes += O->second.Status == LivenessReport::State::Suspect ? 1 : 0;
    LiveVotes += O->second.Status == LivenessReport::State::Live ? 1 : 0;
    Leaving = Leaving || O->second.Status == LivenessReport::State::Leaving;
  }
  uint32_t Others = this->liveCount() - (this->live(Subject) ? 1 : 0);
  uint32_t Needed = std::max<uint32_t>(1, std::min(SuspicionQuorum, Others));
  if (SuspectVotes >= Needed) {
    R.Dead = true;
  } else if (LiveVotes > 0) {
    // A dead host becomes live again only when a live monitor reports it as
    // live.
    R.Dead = false;
  }
  R.Leaving = Leaving;
  this->updateLiveHosts();
}

void Membership::updateLiveHosts() {
  for (auto &Item : this->Hosts) {
    bool Live = this->live(Item.first);
    if (Live == Item.second.WasLive) {
      continue;
    }
    Item.second.WasLive = Live;
    ++this->Epoch;
    if (!Live && Item.second.Dead) {
      this->DepartedHosts.push_back(Item.first);
    }
  }
}

void Membership::reportMonitoredHosts() {
  // A host that has just started has not received any heartbeats yet, so it
  // must not suspect the hosts that it monitors.
  if (this->Env.Now - this->StartTime < SuspicionTimeout) {
    return;
  }
  for (auto &Item : this->Hosts) {
    if (Item.first == this->Env.Self) {
      continue;
    }
    std::vector<HostId> Monitors = this->monitorsOf(Item.first);
    bool IsMonitor = std::find(Monitors.begin(), Monitors.end(),
                               this->Env.Self) != Monitors.end();
    if (!IsMonitor) {
      continue;
    }
    bool Overdue = this->Env.Now - Item.second.LastHeard > SuspicionTimeout;
    if (Overdue) {
      this->setOwnReport(Item.second, LivenessReport::State::Suspect);
    } else if (!Item.second.Leaving) {
      this->setOwnReport(Item.second, LivenessReport::State::Live);
    }
  }
}

void Membership::tick(const std::array<Version, DocumentKindCount> &Versions,
                      uint64_t CrashCountsDigest) {
  Heartbeat H;
  H.Run = this->Env.Run;
  H.Leaving = this->SelfLeaving;
  H.Versions = Versions;
  if (this->Env.Now >= this->NextHeartbeat) {
    this->NextHeartbeat = this->Env.Now + HeartbeatPeriod;
    for (HostId Monitor : this->monitorsOf(this->Env.Self)) {
      this->Env.outboxFor(Monitor).Heartbeats.push_back(H);
    }
    this->reportMonitoredHosts();
  }
  if (this->Env.Now >= this->NextDigestExchange) {
    this->NextDigestExchange = this->Env.Now + DigestExchangePeriod;
    H.Digest = this->digest() + CrashCountsDigest;
    for (HostId Peer : this->randomPeers(1)) {
      this->Env.outboxFor(Peer).Heartbeats.push_back(H);
    }
  }
  this->updateLiveHosts();
}

std::vector<HostId> Membership::takeDepartedHosts() {
  std::vector<HostId> Taken;
  Taken.swap(this->DepartedHosts);
  return Taken;
}

uint64_t Membership::digest() const {
  uint64_t Digest = 0;
  for (const auto &Item : this->LivenessReports) {
    const LivenessReport &O = Item.second;
    Digest += hashPair(hashPair(O.Subject.Value, O.Monitor.Value), O.Version);
  }
  return Digest;
}

void Membership::sendAll(HostId To) {
  for (const auto &Item : this->LivenessReports) {
    this->Env.outboxFor(To).LivenessReports.push_back(Item.second);
  }
}

std::vector<HostStats> Membership::stats() const {
  std::vector<HostStats> All;
  for (const auto &Item : this->Hosts) {
    const HostRecord &R = Item.second;
    All.push_back(HostStats{R.Info.Name, R.Info.Region, R.Info.Domain,
                            this->live(Item.first), R.Leaving || R.Info.Leaving,
                            R.Run, R.ConfigVersion});
  }
  return All;
}

} // namespace shallotlatch
