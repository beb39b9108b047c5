#include "place_pool_p.h"

#include <algorithm>
#include <cmath>

namespace shallotlatch {

// Time to the first event of an engine at speed one: base, and per prompt
// token. Published figures of the engines served today; observed slowness
// corrects them for each target.
static constexpr double EngineBaseMs = 20;
static constexpr double PromptTokensPerMs = 55;
// Expected answer time of a plain service at speed one.
static constexpr double ServiceBaseMs = 30;
// One way out and back to a target in another failure domain.
static constexpr double RemoteDomainMs = 40;
// Weight of one new observation of a target's slowness.
static constexpr double SlownessWeight = 0.2;
static constexpr double MinSlowness = 0.3;
static constexpr double MaxSlowness = 20;
// Failures of a target are forgotten with this time constant.
static constexpr double TroubleDecaySeconds = 3;
// From this many recent failures on a target is avoided.
static constexpr double TroubleLimit = 2;
static constexpr Duration AvoidTime = millis(1500);
// A plain service's short calls wait at most this share of their objective.
static constexpr double ServiceWaitShare = 0.6;
// Waiting requests past their objective are kept this long when their late
// answer is still worth something.
static constexpr Duration LateWait = seconds(2);
// Requests that wait at the most, of one service.
static constexpr size_t MaxWaiting = 512;

PlacePool::PlacePool(bool Engine, std::string OwnDomain)
    : Engine(Engine), OwnDomain(std::move(OwnDomain)) {}

static uint32_t targetHash(const std::string &Instance) {
  return static_cast<uint32_t>(hash64(Instance));
}

void PlacePool::setTarget(const TargetEntry &Entry, Time) {
  bool New = this->Targets.count(Entry.Instance) == 0;
  Target &T = this->Targets[Entry.Instance];
  if (T.Entry.BornMs != Entry.BornMs || !(T.Entry.At.text() == Entry.At.text())) {
    Target Fresh;
    Fresh.Own = T.Own;
    Fresh.OwnPrompt = T.OwnPrompt;
    Fresh.Peers = T.Peers;
    Fresh.PeerPrompt = T.PeerPrompt;
    T = Fresh;
  }
  T.Entry = Entry;
  if (New) {
    this->sumPeers();
  }
}

void PlacePool::removeTarget(const std::string &Instance) {
  if (this->Targets.erase(Instance) != 0) {
    this->sumPeers();
  }
}

Duration PlacePool::unitTime(const PlaceAsk &Ask) const {
  double Ms = this->Engine
                  ? EngineBaseMs + Ask.PromptTokens / PromptTokensPerMs
                  : ServiceBaseMs;
  return Duration(static_cast<int64_t>(Ms * 1000));
}

void PlacePool::enqueue(const PlaceAsk &Ask) {
  Order Place{Ask.Rank, (Ask.Arrived + Ask.Objective).time_since_epoch().count(),
              this->NextSerial++};
  this->Queue[Place] = Ask;
  this->Places[Ask.Run] = Place;
}

void PlacePool::withdraw(RunId Run) {
  auto It = this->Places.find(Run);
  if (It != this->Places.end()) {
    this->Queue.erase(It->second);
    this->Places.erase(It);
  }
}

PlacePool::Choice PlacePool::choose(const PlaceAsk &Ask, Time Now) {
  Choice Best;
  bool BestAvoided = true;
  for (auto &Item : this->Targets) {
    Target &T = Item.second;
    if (T.Entry.Leaving || T.Own + T.Peers >= T.Entry.Slots ||
        std::find(Ask.Tried.begin(), Ask.Tried.end(), Item.first) !=
            Ask.Tried.end()) {
      continue;
    }
    bool Avoided = Now < T.AvoidUntil;
    double Ms = T.Entry.Domain == this->OwnDomain ? 0 : RemoteDomainMs;
    if (this->Engine) {
      double Pending = T.OwnPrompt + T.PeerPrompt + Ask.PromptTokens;
      Ms += (EngineBaseMs + Pending / PromptTokensPerMs) * T.Slowness;
    } else {
      Ms += ServiceBaseMs * T.Slowness;
    }
    double Fill = static_cast<double>(T.Own + T.Peers) / T.Entry.Slots;
    double Cost = Ms * (1 + Fill) + 50 * T.Trouble;
    if (Best.At == nullptr || (BestAvoided && !Avoided) ||
        (BestAvoided == Avoided && Cost < Best.Cost)) {
      Best.At = &T;
      Best.Cost = Cost;
      Best.Predicted = Duration(static_cast<int64_t>(Ms * 1000));
      BestAvoided = Avoided;
    }
  }
  return Best;
}

Duration PlacePool::returnTime(const PlaceAsk &Ask) const {
  // Less urgent requests return later, behind those that go first.
  Duration Base = millis(150) + millis(250) * Ask.Rank;
  uint64_t Spread = hashPair(Ask.Run.Value, Ask.Rank) % 200;
  return Base + millis(static_cast<int64_t>(Spread));
}

void PlacePool::decide(Time Now, std::vector<Placement> &Placed,
                       std::vector<PlaceRefusal> &Refused) {
  std::vector<Order> Done;
  for (auto &Item : this->Queue) {
    PlaceAsk &Ask = Item.second;
    if (Now >= Ask.Deadline) {
      Refused.push_back({Ask.Run, "deadline", this->returnTime(Ask)});
      Done.push_back(Item.first);
      continue;
    }
    Choice Best = this->choose(Ask, Now);
    if (Best.At != nullptr) {
      Placement P;
      P.Run = Ask.Run;
      P.Target = Best.At->Entry;
      P.Predicted = Best.Predicted;
      P.Waited = Now - Ask.Arrived;
      P.Running = Best.At->Own + Best.At->Peers;
      Placed.push_back(P);
      ++Best.At->Own;
      Best.At->OwnPrompt += Ask.PromptTokens;
      Running R;
      R.Instance = Best.At->Entry.Instance;
      R.PromptTokens = Ask.PromptTokens;
      R.Unit = this->unitTime(Ask);
      R.Sent = Now;
      this->Runs[Ask.Run] = R;
      Done.push_back(Item.first);
      continue;
    }
    Duration Wait = Now - Ask.Arrived;
    Duration Limit =
        this->Engine
            ? Ask.Objective + LateWait
            : Duration(static_cast<int64_t>(
                  static_cast<double>(Ask.Objective.count()) *
                  ServiceWaitShare));
    if (this->Targets.empty()) {
      Refused.push_back({Ask.Run, "no-target", millis(500)});
      Done.push_back(Item.first);
    } else if (Wait > Limit) {
      Refused.push_back({Ask.Run, "overload", this->returnTime(Ask)});
      Done.push_back(Item.first);
    }
  }
  for (const Order &Place : Done) {
    auto It = this->Queue.find(Place);
    this->Places.erase(It->second.Run);
    this->Queue.erase(It);
  }
  while (this->Queue.size() > MaxWaiting) {
    auto Last = std::prev(this->Queue.end());
    Refused.push_back(
        {Last->second.Run, "queue-full", this->returnTime(Last->second)});
    this->Places.erase(Last->second.Run);
    this->Queue.erase(Last);
  }
}

void PlacePool::started(RunId Run, Time Now) {
  auto It = this->Runs.find(Run);
  if (It == this->Runs.end() || It->second.Started) {
    return;
  }
  Running &R = It->second;
  R.Started = true;
  auto Place = this->Targets.find(R.Instance);
  if (Place == this->Targets.end()) {
    return;
  }
  Target &T = Place->second;
  T.OwnPrompt = std::max(0.0, T.OwnPrompt - R.PromptTokens);
  double Seen = toSeconds(Now - R.Sent) / toSeconds(R.Unit);
  Seen = std::clamp(Seen, MinSlowness, MaxSlowness);
  T.Slowness += SlownessWeight * (Seen - T.Slowness);
}

void PlacePool::note(Target &T, RunSign Sign, Time Now) {
  double Past = toSeconds(Now - T.TroubleAt);
  T.Trouble *= std::exp(-std::max(0.0, Past) / TroubleDecaySeconds);
  T.TroubleAt = Now;
  if (Sign == RunSign::Failed || Sign == RunSign::Lost) {
    T.Trouble += 1;
  } else if (Sign == RunSign::Full) {
    T.Trouble += 0.5;
  } else if (Sign == RunSign::Served) {
    T.Trouble *= 0.8;
  }
  if (T.Trouble >= TroubleLimit) {
    T.AvoidUntil = Now + AvoidTime;
  }
}

void PlacePool::ended(RunId Run, RunSign Sign, Time Now) {
  auto It = this->Runs.find(Run);
  if (It == this->Runs.end()) {
    return;
  }
  if (Sign == RunSign::Served) {
    this->started(Run, Now);
  }
  Running R = It->second;
  this->Runs.erase(It);
  auto Place = this->Targets.find(R.Instance);
  if (Place == this->Targets.end()) {
    return;
  }
  Target &T = Place->second;
  T.Own -= T.Own > 0 ? 1 : 0;
  if (!R.Started) {
    T.OwnPrompt = std::max(0.0, T.OwnPrompt - R.PromptTokens);
  }
  this->note(T, Sign, Now);
}

void PlacePool::addUses(const std::vector<TargetUse> &Uses, int Sign) {
  for (const TargetUse &U : Uses) {
    auto It = this->ByHash.find(U.Target);
    if (It != this->ByHash.end()) {
      Target &T = *It->second;
      T.Peers += static_cast<uint32_t>(Sign) * U.Running;
      T.PeerPrompt += Sign * static_cast<double>(U.PromptTokens);
    }
  }
}

void PlacePool::peerUse(HostId Peer, const std::vector<TargetUse> &Uses,
                        Time) {
  std::vector<TargetUse> &Known = this->PeerUses[Peer];
  this->addUses(Known, -1);
  Known = Uses;
  this->addUses(Known, 1);
}

void PlacePool::forgetPeer(HostId Peer) {
  auto It = this->PeerUses.find(Peer);
  if (It != this->PeerUses.end()) {
    this->addUses(It->second, -1);
    this->PeerUses.erase(It);
  }
}

// Needed only when the set of targets changes.
void PlacePool::sumPeers() {
  this->ByHash.clear();
  for (auto &Item : this->Targets) {
    Item.second.Peers = 0;
    Item.second.PeerPrompt = 0;
    this->ByHash[targetHash(Item.first)] = &Item.second;
  }
  for (const auto &Peer : this->PeerUses) {
    this->addUses(Peer.second, 1);
  }
}

std::vector<TargetUse> PlacePool::ownUse() const {
  std::vector<TargetUse> Uses;
  for (const auto &Item : this->Targets) {
    const Target &T = Item.second;
    if (T.Own > 0) {
      Uses.push_back({targetHash(Item.first), T.Own,
                      static_cast<uint32_t>(T.OwnPrompt)});
    }
  }
  return Uses;
}

PlacePoolStats PlacePool::stats() const {
  PlacePoolStats S;
  for (const auto &Item : this->Targets) {
    const Target &T = Item.second;
    ++S.Targets;
    S.Usable += T.Entry.Leaving ? 0 : 1;
    S.Slots += T.Entry.Leaving ? 0 : T.Entry.Slots;
    S.Running += T.Own + T.Peers;
  }
  S.Waiting = static_cast<uint32_t>(this->Queue.size());
  return S;
}

} // namespace shallotlatch
