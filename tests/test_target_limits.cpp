// Tests of the limits that targets name for themselves, with fleets of three
// sizes under a replayed load.
#include "target_limits_p.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

using namespace shallotlatch;

static constexpr uint32_t Target = 9;

TEST_GROUP(TargetLimits) {
  Time Now{seconds(100)};
  TargetLimits Limits;

  /// Number of requests that are allowed in \p For, asked every 10 ms.
  int allowed(TargetLimits & L, Duration For) {
    int Count = 0;
    for (Time End = Now + For; Now < End; Now += millis(10)) {
      if (L.allows(Target, Now)) {
        L.take(Target, Now);
        ++Count;
      }
    }
    return Count;
  }
};

TEST(TargetLimits, aHostAloneGetsTheWholeLimit) {
  CHECK_EQUAL(200, this->allowed(Limits, seconds(2)));
  Limits.observe(Target, 2.5, Now);
  int Count = this->allowed(Limits, seconds(20));
  CHECK(Count >= 48 && Count <= 51);
}

TEST(TargetLimits, anAnswerThatNamesNoLimitEndsIt) {
  Limits.observe(Target, 0.5, Now);
  CHECK_FALSE(Limits.allows(Target, Now));
  TargetLimits Peer;
  Peer.merge(Limits.report(Now), Now);
  CHECK(Peer.isLimited(Target));
  Now += seconds(1);
  Limits.observeNone(Target, Now);
  CHECK(Limits.allows(Target, Now));
  Peer.merge(Limits.report(Now), Now);
  CHECK(Peer.allows(Target, Now));
}

// Guards against a limit that a host keeps for minutes after its end, since the
// host saw it named shortly before and may not send there itself.
TEST(TargetLimits, aHostThatSawALimitJustBeforeItsEndLearnsOfTheEnd) {
  TargetLimits Peer;
  Limits.observe(Target, 2, Now);
  Peer.observe(Target, 2, Now + millis(300));
  for (int I = 0; I < 10; ++I) {
    Now += millis(400);
    Limits.observeNone(Target, Now);
    Peer.merge(Limits.report(Now), Now + millis(20));
  }
  CHECK_FALSE(Peer.isLimited(Target));
}

TEST(TargetLimits, aTargetThatTakesNothingIsStillAskedNowAndThen) {
  Limits.observe(Target, 0, Now);
  int Count = this->allowed(Limits, seconds(100));
  CHECK(Count >= 8 && Count <= 10);
}

// Guards against a limit that ended but lives on in reports that go round.
TEST(TargetLimits, reportsThatGoRoundDoNotMakeALimitYounger) {
  TargetLimits A;
  TargetLimits B;
  A.observe(Target, 1, Now);
  for (int I = 0; I < 100; ++I) {
    B.merge(A.report(Now), Now + millis(80));
    A.merge(B.report(Now + millis(80)), Now + millis(160));
    Now += millis(200);
  }
  CHECK(A.report(Now)[0].SinceObserved > seconds(19));
  CHECK(B.report(Now)[0].SinceObserved > seconds(19));
}

TEST(TargetLimits, onlyDecimalNumbersAreLimits) {
  double Value = -1;
  CHECK(parseTargetLimit("2.1", Value));
  DOUBLES_EQUAL(2.1, Value, 1e-9);
  CHECK(parseTargetLimit("0", Value));
  for (const char *Text :
       {"", "-1", "nan", "inf", "1e3", "2,1", "1.2.3", " 1"}) {
    CHECK_FALSE(parseTargetLimit(Text, Value));
  }
}

TEST(TargetLimits, aPeersInvalidLimitIsIgnored) {
  Limits.merge({{Target, true, -1, millis(1)}}, Now);
  CHECK_FALSE(Limits.isLimited(Target));
}

namespace {

/// Hosts that all send to one limited target as often as they may. Answers come
/// back after 100 ms; every 100 ms a few hosts send their reports to others.
class LimitedFleet {
public:
  LimitedFleet(size_t Hosts, double PerSecond) : PerSecond(PerSecond) {
    for (size_t I = 0; I < Hosts; ++I) {
      this->join();
    }
    this->tellHosts();
  }
  void join() {
    this->Ids.push_back(HostId{this->Ids.size() + 1});
    this->Fleet.push_back(std::make_unique<TargetLimits>());
    this->FrozenUntil.emplace_back();
  }
  void restart(size_t Host) {
    this->Fleet[Host] = std::make_unique<TargetLimits>();
    this->Fleet[Host]->setHosts(this->Ids[Host], this->Ids, this->Now);
  }
  void freeze(size_t Host) { this->FrozenUntil[Host] = this->Now + seconds(3); }
  void tellHosts() {
    for (size_t I = 0; I < this->Fleet.size(); ++I) {
      this->Fleet[I]->setHosts(this->Ids[I], this->Ids, this->Now);
    }
  }
  void step() {
    this->Now += millis(20);
    ++this->Steps;
    for (size_t Host = 0; Host < this->Fleet.size(); ++Host) {
      TargetLimits &L = *this->Fleet[Host];
      bool Wants =
          this->Random() % 10 == 0 && this->Now >= this->FrozenUntil[Host];
      if (!Wants || !L.allows(Target, this->Now)) {
        continue;
      }
      // A host that has not heard of the limit yet has not been told.
      if (L.isLimited(Target)) {
        this->Arrivals.push_back(this->Now + millis(this->Random() % 60));
      }
      L.take(Target, this->Now);
      this->Answers.push_back({this->Now + millis(100), Host});
    }
    while (!this->Answers.empty() && this->Answers.front().first <= this->Now) {
      size_t Host = this->Answers.front().second;
      this->Answers.pop_front();
      if (this->Named) {
        this->Fleet[Host]->observe(Target, this->PerSecond, this->Now);
      } else {
        this->Fleet[Host]->observeNone(Target, this->Now);
      }
    }
    for (size_t I = 0; I < this->Fleet.size() && this->Steps % 5 == 0; ++I) {
      for (int K = 0; K < 3; ++K) {
        size_t To = this->Random() % this->Fleet.size();
        if (this->Now >= this->FrozenUntil[I]) {
          this->Fleet[To]->merge(this->Fleet[I]->report(this->Now), this->Now);
        }
      }
    }
  }
  /// Most arrivals in any four seconds after \p From.
  size_t most(Time From) {
    std::sort(this->Arrivals.begin(), this->Arrivals.end());
    size_t Most = 0;
    auto First =
        std::lower_bound(this->Arrivals.begin(), this->Arrivals.end(), From);
    for (auto It = First; It != this->Arrivals.end(); ++It) {
      auto End = std::lower_bound(It, this->Arrivals.end(), *It + seconds(4));
      Most = std::max(Most, static_cast<size_t>(End - It));
    }
    return Most;
  }
  size_t total(Time From) const {
    return static_cast<size_t>(
        std::count_if(this->Arrivals.begin(), this->Arrivals.end(),
                      [From](Time At) { return At >= From; }));
  }

  std::vector<std::unique_ptr<TargetLimits>> Fleet;
  std::vector<HostId> Ids;
  Time Now{seconds(100)};
  bool Named = true;
  std::vector<Time> Arrivals;

private:
  double PerSecond;
  std::vector<Time> FrozenUntil;
  std::deque<std::pair<Time, size_t>> Answers;
  uint64_t Steps = 0;
  std::mt19937_64 Random{11};
};

} // namespace

TEST_GROUP(LimitedFleet){
    /// For a minute, hosts restart and freeze, and a few join.
    void replay(size_t Hosts,
                double PerSecond){LimitedFleet F(Hosts, PerSecond);
Time Start = F.Now;
for (int Step = 0; Step < 3000; ++Step) {
  if (Step % 300 == 299) {
    F.freeze(static_cast<size_t>(Step) % Hosts);
    F.restart(static_cast<size_t>(Step / 7) % Hosts);
  }
  if (Step == 1000 || Step == 2000) {
    F.join();
    F.tellHosts();
  }
  F.step();
}
double Allowed = 1.5 * PerSecond * 4 + 5;
CHECK(static_cast<double>(F.most(Start + seconds(4))) <= Allowed);
// The target gets at least half of what it takes.
CHECK(static_cast<double>(F.total(Start + seconds(4))) >= 0.5 * PerSecond * 56);
F.Named = false;
for (int Step = 0; Step < 1000; ++Step) {
  F.step();
}
for (const auto &Host : F.Fleet) {
  CHECK(Host->allows(Target, F.Now));
}
}
}
;

TEST(LimitedFleet, eightHostsKeepToATargetsLimit) {
  for (double PerSecond : {0.5, 2.0, 7.3, 40.0}) {
    this->replay(8, PerSecond);
  }
}
TEST(LimitedFleet, seventyHostsKeepToATargetsLimit) {
  for (double PerSecond : {0.5, 2.0, 7.3}) {
    this->replay(70, PerSecond);
  }
}
TEST(LimitedFleet, threeHundredHostsKeepToATargetsLimit) {
  this->replay(295, 2.0);
}
