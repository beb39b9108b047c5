// Tests of the choice of ways to targets, in virtual time: hosts that lose
// paths, targets that crash or fall silent, and fleets of several sizes.
#include "target_paths_p.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <set>

using namespace shallotlatch;

namespace {

constexpr Duration Step = millis(100);
// Time until a host has to serve what its peers serve, and until it uses its
// own paths again once they have healed.
constexpr Duration Bound = seconds(4);
constexpr size_t Domains = 3;

/// How the paths between some hosts and targets fail, and when.
struct Cut {
  Duration From;
  Duration To;
  std::set<size_t> Hosts;
  std::set<size_t> Targets; ///< Empty: all.
  PathFailure How = PathFailure::Silent;
  bool OpenOnesLive = false; ///< Connections that are open go on.
};

/// What one request met.
struct Result {
  bool Served = false;
  bool Direct = false;
  bool Slow = false; ///< It waited for a connection without an answer.
  bool Down = false; ///< A peer said that the target is down.
  size_t Asked = 0;  ///< Peers that have not lost their own paths.
};

/// Hosts and targets; requests take no time, connections without an answer
/// are told at once and counted as slow.
class Fleet {
public:
  Fleet(size_t Hosts, size_t Targets) : TargetCount(Targets) {
    for (size_t H = 0; H < Hosts; ++H) {
      this->Hosts.emplace_back(H + 1);
      for (size_t T = 0; T < Targets; ++T) {
        this->Hosts[H].addTarget(run(T));
      }
    }
    for (size_t H = 0; H < Hosts; ++H) {
      std::vector<TunnelPeer> Peers;
      size_t Near = 0;
      size_t Far = 0;
      for (size_t I = 1; I < Hosts; ++I) {
        size_t P = (H + I) % Hosts;
        bool Same = P % Domains == H % Domains;
        if ((Same ? Near : Far)++ < 6) {
          Peers.push_back({host(P), Address{"127.0.0.1", 1}, Same});
        }
      }
      this->Hosts[H].setPeers(std::move(Peers));
    }
  }
  static TargetRunId run(size_t T) {
    return TargetRunId{static_cast<uint32_t>(T + 1)};
  }
  static HostId host(size_t H) { return HostId{H + 1}; }

  const Cut *cutOf(size_t H, size_t T) const {
    for (const Cut &C : this->Cuts) {
      if (this->at() >= C.From && this->at() < C.To && C.Hosts.count(H) != 0 &&
          (C.Targets.empty() || C.Targets.count(T) != 0)) {
        return &C;
      }
    }
    return nullptr;
  }
  Duration at() const { return this->Now - Time(); }

  /// Whether an own connection is made, and what the paths take from it.
  bool connect(size_t H, size_t T, Result &R) {
    const Cut *C = this->cutOf(H, T);
    if (C == nullptr && this->Crashed.count(T) == 0) {
      this->Hosts[H].connected(run(T), this->Now);
      return true;
    }
    PathFailure How = C == nullptr ? PathFailure::Refused : C->How;
    R.Slow = R.Slow || How == PathFailure::Silent;
    this->Hosts[H].failed(run(T), How, this->Now);
    return false;
  }
  /// What a peer answers to a question for a tunnel (RequestRelay::tunnelTo and
  /// tunnelFailure).
  TunnelAnswer tunnel(size_t P, size_t T) {
    TargetPaths &Peer = this->Hosts[P];
    if (Peer.isLost(run(T)) || Peer.isIsolated(this->Now)) {
      return TunnelRefusal::NoPath;
    }
    const Cut *C = this->cutOf(P, T);
    if (C == nullptr && this->Crashed.count(T) == 0) {
      return TunnelAnswer();
    }
    Peer.failed(run(T), PathFailure::Refused, this->Now);
    return Peer.reachesTargets(this->Now) ? TunnelRefusal::Unreachable
                                          : TunnelRefusal::NoPath;
  }
  Result request(size_t H, size_t T) {
    Result R;
    RouteAttempts Tried;
    TargetPaths &Paths = this->Hosts[H];
    while (std::optional<TargetRoute> Way =
               Paths.choose(run(T), Tried, this->Now)) {
      if (!Way->Through) {
        if (this->connect(H, T, R)) {
          Paths.sent(run(T), this->Now);
          Paths.heard(run(T), this->Now);
          Paths.ended(run(T));
          R.Served = R.Direct = true;
          return R;
        }
        Tried.Direct = true;
        continue;
      }
      HostId Peer = Way->Through->Id;
      TunnelAnswer Answer = this->tunnel(Peer.Value - 1, T);
      R.Asked += Answer != TunnelRefusal::NoPath ? 1 : 0;
      if (!Answer) {
        Paths.tunnelOpened(run(T), Peer, this->Now);
        R.Served = true;
        return R;
      }
      Tried.noteRefusal(*Way->Through, Answer);
      Paths.tunnelRefused(run(T), Peer, Answer, this->Now);
    }
    R.Down = Tried.isDown();
    if (R.Down) {
      Paths.targetDown(run(T));
    }
    return R;
  }
  /// One step of a host: its probes, and bytes on connections that live on.
  size_t step(size_t H) {
    std::vector<TargetRunId> Probes = this->Hosts[H].takeProbes(this->Now);
    for (TargetRunId Id : Probes) {
      size_t T = Id.Value - 1;
      if (this->cutOf(H, T) == nullptr && this->Crashed.count(T) == 0) {
        this->Hosts[H].connected(Id, this->Now);
      } else {
        this->Hosts[H].probeFailed(Id, this->Now);
      }
    }
    const Cut *C = this->cutOf(H, 0);
    if (C != nullptr && C->OpenOnesLive && this->at().count() % 3 == 0) {
      this->Hosts[H].heard(run(0), this->Now);
    }
    return Probes.size();
  }

  std::vector<TargetPaths> Hosts;
  std::vector<Cut> Cuts;
  std::set<size_t> Crashed;
  size_t TargetCount;
  Time Now = Time();
};

struct Row {
  const char *Name;
  size_t Hosts;
  size_t Targets;
  std::vector<Cut> Cuts;
  std::set<size_t> Crashed = {};
};

/// Hosts 0, 3, 6 and so on, which are one failure domain.
std::set<size_t> domain(size_t Hosts) {
  std::set<size_t> In;
  for (size_t H = 0; H < Hosts; H += Domains) {
    In.insert(H);
  }
  return In;
}

void check(bool Holds, const Row &R, const std::string &What) {
  if (!Holds) {
    FAIL((std::string(R.Name) + ": " + What).c_str());
  }
}

/// Plays \p R: each host sends some requests in each step.
void play(const Row &R, size_t PerStep) {
  Fleet F(R.Hosts, R.Targets);
  F.Cuts = R.Cuts;
  F.Crashed = R.Crashed;
  std::mt19937_64 Random(7);
  Duration End = Duration(0);
  std::set<size_t> Watched;
  for (const Cut &C : R.Cuts) {
    End = std::max(End, C.To);
    Watched.insert(C.Hosts.begin(), C.Hosts.end());
  }
  for (; F.at() < End + Bound + seconds(2); F.Now += Step) {
    for (size_t H = 0; H < R.Hosts; ++H) {
      size_t Probes = F.step(H);
      check(Probes <= 4, R, "too many probes in one step");
      for (size_t I = 0; I < PerStep; ++I) {
        size_t T = Random() % R.Targets;
        Result Met = F.request(H, T);
        std::string At = " at " + std::to_string(toMillis(F.at())) +
                         " ms, host " + std::to_string(H);
        if (R.Crashed.count(T) != 0) {
          check(!Met.Served, R, "served by a crashed target" + At);
          check(Watched.count(H) != 0 || Met.Down || F.at() < seconds(1), R,
                "a crashed target is not known to be down" + At);
          check(Watched.count(H) != 0 || Met.Asked <= 2, R,
                "more than two peers asked about a crashed target" + At);
          continue;
        }
        check(Met.Served || F.cutOf(H, T) != nullptr, R, "not served" + At);
        check(!Met.Down, R, "a target that runs counts as down" + At);
        bool Settled = true;
        for (const Cut &C : R.Cuts) {
          Settled = Settled && (F.at() < C.From || F.at() >= C.From + Bound) &&
                    (F.at() < C.To || F.at() >= C.To + Bound);
        }
        check(Met.Served || !Settled, R, "not served" + At);
        check(!Met.Slow || !Settled, R, "waited for a lost path" + At);
        check(Watched.count(H) != 0 || Met.Direct, R,
              "an uncut host asked a peer" + At);
        check(Met.Direct || F.at() < End + Bound, R, "not healed" + At);
      }
    }
  }
}

} // namespace

TEST_GROUP(TargetPaths){};

TEST(TargetPaths, cutHostsServeWhatTheirPeersServe) {
  const Duration From = seconds(2);
  const Duration To = seconds(14);
  const PathFailure Silent = PathFailure::Silent;
  const PathFailure Refused = PathFailure::Refused;
  const std::vector<Row> Rows = {
      {"silent", 6, 12, {{From, To, {1}, {}, Silent}}},
      {"refused", 6, 12, {{From, To, {1}, {}, Refused}}},
      {"open ones live", 6, 12, {{From, To, {1}, {}, Refused, true}}},
      {"one link", 6, 12, {{From, To, {1}, {4}, Silent}}},
      {"one link refused", 6, 12, {{From, To, {1}, {4}, Refused}}},
      {"domain", 6, 12, {{From, To, domain(6), {}, Silent}}},
      {"domain refused", 6, 12, {{From, To, domain(6), {}, Refused}}},
      {"owner and a member", 8, 15, {{From, To, {0, 3}, {}, Silent}}},
      {"series",
       8,
       15,
       {{From, seconds(8), {0, 4}, {}, Silent},
        {seconds(5), To, {3, 4}, {}, Refused},
        {seconds(13), seconds(22), domain(8), {}, Silent}}},
      {"crashed", 6, 12, {{From, To, {1}, {3}, Silent}}, {5}},
      {"crashed and cut", 6, 12, {{From, To, {1}, {}, Refused}}, {5}}};
  for (const Row &R : Rows) {
    play(R, 10);
  }
}

TEST(TargetPaths, aLargeFleetServesToo) {
  play({"large",
        390,
        2900,
        {{seconds(1), seconds(7), domain(390), {}, PathFailure::Silent}}},
       10);
}

// A sound target may fall silent for a second.
TEST(TargetPaths, aSilentTargetChangesNothing) {
  Fleet F(6, 12);
  TargetPaths &Paths = F.Hosts[0];
  for (size_t T = 0; T < 12; ++T) {
    Paths.connected(Fleet::run(T), F.Now);
    Paths.sent(Fleet::run(T), F.Now);
  }
  for (; F.at() < millis(1500); F.Now += Step) {
    for (size_t T = 1; T < 12; ++T) {
      Paths.heard(Fleet::run(T), F.Now);
    }
    CHECK(Paths.takeProbes(F.Now).empty());
    std::optional<TargetRoute> Way =
        Paths.choose(Fleet::run(0), RouteAttempts(), F.Now);
    CHECK(Way && !Way->Through);
  }
  CHECK_EQUAL(0, Paths.stats(F.Now).Lost);
}

// All fall silent with requests under way; no connection is made for them.
TEST(TargetPaths, silenceOfAllIsProbed) {
  Fleet F(6, 12);
  F.Cuts = {{seconds(0), seconds(9), {0}, {}, PathFailure::Silent}};
  for (size_t T = 0; T < 12; ++T) {
    F.Hosts[0].connected(Fleet::run(T), F.Now);
    F.Hosts[0].sent(Fleet::run(T), F.Now);
  }
  for (; F.at() < Bound; F.Now += Step) {
    F.step(0);
  }
  CHECK(F.Hosts[0].isIsolated(F.Now));
}

// Bytes on an open connection do not show that new ones can be made.
TEST(TargetPaths, aConnectionThatLivesOnRestoresNoPath) {
  Fleet F(6, 12);
  TargetPaths &Paths = F.Hosts[0];
  for (size_t T = 0; T < 4; ++T) {
    Paths.failed(Fleet::run(T), PathFailure::Silent, F.Now);
  }
  F.Now += seconds(2);
  CHECK(Paths.isIsolated(F.Now));
  Paths.heard(Fleet::run(9), F.Now);
  CHECK_EQUAL(4, Paths.stats(F.Now).Lost);
  Paths.connected(Fleet::run(9), F.Now + Step);
  CHECK_EQUAL(0, Paths.stats(F.Now + Step).Lost);
}

TEST(TargetPaths, theCostOfACallDoesNotGrowWithTargets) {
  auto TimeOf = [](size_t Targets) {
    Fleet F(13, Targets);
    for (size_t T = 0; T < Targets; ++T) {
      F.Hosts[0].failed(Fleet::run(T), PathFailure::Silent, F.Now);
    }
    F.Now += millis(10);
    F.Hosts[0].heard(Fleet::run(0), F.Now);
    auto Start = std::chrono::steady_clock::now();
    for (size_t I = 0; I < 50000; ++I) {
      F.Hosts[0].heard(Fleet::run(I % Targets), F.Now);
      F.Hosts[0].failed(Fleet::run(I % Targets), PathFailure::Silent, F.Now);
      F.Hosts[0].choose(Fleet::run(I % Targets), RouteAttempts(), F.Now);
    }
    return toSeconds(std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now() - Start));
  };
  // Work that grew with the targets would take 290 times as long.
  double Few = TimeOf(10);
  CHECK(TimeOf(2900) < 30 * Few);
}

TEST(TargetPaths, probesAreBoundedHoweverManyPathsAreLost) {
  Fleet F(1, 2900);
  F.Cuts = {{seconds(0), seconds(60), {0}, {}, PathFailure::Silent}};
  for (size_t T = 0; T < 2900; ++T) {
    F.Hosts[0].failed(Fleet::run(T), PathFailure::Silent, F.Now);
  }
  size_t Probes = 0;
  for (; F.at() < seconds(10); F.Now += Step) {
    Probes += F.step(0);
  }
  CHECK(Probes <= 10 * 20);
}
