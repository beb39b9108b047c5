// Tests of the counts that hosts pass on over two levels, and of the quotas
// that rest on them, with hundreds of hosts in virtual time over a lossy link.
#include "count_relay_p.h"
#include "fleet_codec_p.h"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <functional>
#include <memory>
#include <random>

using namespace shallotlatch;

namespace {

/// One host of the simulated fleet.
struct SimulatedHost {
  HostId Id;
  size_t Domain = 0;
  bool Alive = true;
  FleetQuota Quota;
  explicit SimulatedHost(const QuotaSlack &Slack) : Quota(Slack) {}
  CountRelay DomainCounts;
  RelayedHosts Relayed;
  uint32_t Sequence = 0;
  std::map<HostId, uint32_t> LastSequence; ///< Newest report of each host.
  uint64_t BytesSent = 0;
};

/// Hosts in failure domains. The first live host of each is its owner. Every
/// message is lost with a probability of 1 in 50.
class SimulatedFleet {
public:
  SimulatedFleet(size_t Domains, size_t HostsPerDomain,
                 const RoutingConfig &Config, const QuotaSlack &Slack,
                 Time Start)
      : HostsPerDomain(HostsPerDomain), Now(Start) {
    for (size_t I = 0; I < Domains * HostsPerDomain; ++I) {
      this->Hosts.push_back(std::make_unique<SimulatedHost>(Slack));
      this->Hosts.back()->Id = HostId{I + 1};
      this->Hosts.back()->Domain = I / HostsPerDomain;
      this->Hosts.back()->Quota.configure(Config, Start);
      this->Hosts.back()->Quota.setHosts(
          static_cast<uint32_t>(Domains * HostsPerDomain), I);
    }
  }

  /// Advances by 20 ms: hosts report every 60 ms, owners send every 120 ms.
  void step() {
    this->Now += millis(20);
    ++this->Steps;
    this->deliver();
    for (size_t D = 0; D * this->HostsPerDomain < this->Hosts.size(); ++D) {
      SimulatedHost *Owner = this->owner(D);
      if (Owner == nullptr) {
        continue;
      }
      if (this->Steps % 3 == 0) {
        this->report(D, *Owner);
      }
      if (this->Steps % 6 == 0) {
        this->exchange(D, *Owner);
      }
    }
  }

  SimulatedHost *owner(size_t Domain) {
    for (size_t I = 0; I < this->HostsPerDomain; ++I) {
      SimulatedHost &H = *this->Hosts[Domain * this->HostsPerDomain + I];
      if (H.Alive) {
        return &H;
      }
    }
    return nullptr;
  }

  std::vector<std::unique_ptr<SimulatedHost>> Hosts;
  size_t HostsPerDomain;
  Time Now;
  Duration LinkDelay{0}; ///< From sending to the end of reading.

private:
  void post(std::function<void()> Read) {
    if (this->LinkDelay.count() == 0) {
      Read();
    } else {
      this->Mail.emplace_back(this->Now + this->LinkDelay, std::move(Read));
    }
  }
  void deliver() {
    while (!this->Mail.empty() && this->Mail.front().first <= this->Now) {
      this->Mail.front().second();
      this->Mail.pop_front();
    }
  }
  bool lost() { return this->Random() % 50 == 0; }

  /// Share of the live hosts of which the owner has the counts.
  double rateShare(const SimulatedHost &Owner) const {
    double Alive = 0;
    double Heard = 0;
    for (const auto &Host : this->Hosts) {
      if (Host->Alive) {
        ++Alive;
        bool IsHeard =
            Host->Domain == Owner.Domain ||
            this->Now - Owner.Relayed.lastHeard(Host->Id) < millis(1200);
        Heard += IsHeard ? 1 : 0;
      }
    }
    return Heard / Alive;
  }

  /// The hosts of a domain tell the owner and its two successors, so that a
  /// successor starts with knowledge.
  void report(size_t Domain, SimulatedHost &Owner) {
    for (auto &Host : this->Hosts) {
      if (Host->Domain != Domain || !Host->Alive) {
        continue;
      }
      Host->Quota.recordReport(++Host->Sequence);
      std::vector<CustomerUse> Use = Host->Quota.ownUse();
      size_t Receivers = 0;
      for (auto &To : this->Hosts) {
        if (To->Domain != Domain || !To->Alive || To == Host ||
            Receivers == 3) {
          continue;
        }
        ++Receivers;
        if (!this->lost()) {
          SimulatedHost *Receiver = To.get();
          HostId From = Host->Id;
          uint32_t Sequence = Host->Sequence;
          this->post([this, Receiver, From, Use, Sequence] {
            Receiver->Quota.mergePeerUse(From, 1, Use);
            Receiver->DomainCounts.record(From, 1, Use, this->Now);
            Receiver->LastSequence[From] = Sequence;
          });
        }
      }
    }
    Owner.LastSequence[Owner.Id] = Owner.Sequence;
  }

  /// An owner tells the other owners its domain's counts, its own among them,
  /// and the hosts of its domain the levels.
  void exchange(size_t Domain, SimulatedHost &Owner) {
    Owner.Quota.setFollowsOwner(false);
    Owner.Quota.setRateShare(this->rateShare(Owner));
    if (this->Owners[Domain] != Owner.Id) {
      this->Owners[Domain] = Owner.Id;
      for (auto &Host : this->Hosts) {
        Host->DomainCounts.restart();
      }
    }
    Owner.DomainCounts.record(Owner.Id, 1, Owner.Quota.ownUse(), this->Now);
    HostState State;
    State.Relayed = Owner.DomainCounts.collect(this->Now, seconds(2));
    size_t Bytes = encodeHostState(State).size();
    for (size_t D = 0; D * this->HostsPerDomain < this->Hosts.size(); ++D) {
      SimulatedHost *To = D == Domain ? nullptr : this->owner(D);
      if (To == nullptr) {
        continue;
      }
      Owner.BytesSent += Bytes;
      if (this->lost()) {
        continue;
      }
      this->post([this, To, State] {
        for (const HostCounts &Counts : State.Relayed) {
          if (To->Relayed.accept(Counts, this->Now)) {
            To->Quota.mergePeerUse(Counts.Host, Counts.Run, Counts.Customers);
          }
        }
      });
    }
    std::vector<CustomerLevel> Levels = Owner.Quota.levels(this->Now);
    for (auto &Host : this->Hosts) {
      if (Host->Domain == Domain && Host->Alive && Host.get() != &Owner &&
          !this->lost()) {
        SimulatedHost *To = Host.get();
        uint32_t Sequence = Owner.LastSequence[Host->Id];
        this->post([this, To, Levels, Sequence] {
          To->Quota.syncLevels(Levels, Sequence, this->Now);
          To->Quota.setFollowsOwner(true);
        });
      }
    }
  }

  std::mt19937_64 Random{5};
  std::deque<std::pair<Time, std::function<void()>>> Mail;
  uint64_t Steps = 0;
  std::map<size_t, HostId> Owners; ///< Owner of each domain.
};

} // namespace

TEST_GROUP(CountRelay) {
  RoutingConfig Config;
  CustomerId Id = customerId("c");
  QuotaSlack Slack;
  Time Now{seconds(100)};

  void setup() override {
    GatewayCustomer C;
    C.Id = Id;
    C.Name = "c";
    C.CountsTokens = true;
    C.RatePerSecond = 600000;
    C.Burst = 600000;
    Config.Customers[Id] = C;
  }

  /// Returns the amount that the fleet admits in \p Seconds after ten quiet
  /// seconds, if every host is asked for its part of \p Demand a second. With
  /// \p OwnersDie, the owner of one domain after the other dies.
  double admitted(size_t Domains, size_t HostsPerDomain, double Demand,
                  int Seconds, bool OwnersDie) {
    SimulatedFleet Fleet(Domains, HostsPerDomain, Config, Slack, Now);
    for (int I = 0; I < 500; ++I) {
      Fleet.step();
    }
    std::mt19937_64 Random(3);
    double Sum = 0;
    double PerRequest = 2000;
    double Chance = Demand / 50 / PerRequest /
                    static_cast<double>(Domains * HostsPerDomain);
    for (int I = 0; I < Seconds * 50; ++I) {
      Fleet.step();
      if (OwnersDie && I % 50 == 25) {
        SimulatedHost *Owner =
            Fleet.owner(static_cast<size_t>(I) / 50 % Domains);
        Owner->Alive = false;
      }
      for (auto &Host : Fleet.Hosts) {
        std::bernoulli_distribution Asks(Chance);
        if (Host->Alive && Asks(Random)) {
          Sum += Host->Quota.admit(Id, PerRequest, Fleet.Now).Admitted
                     ? PerRequest
                     : 0;
        }
      }
    }
    return Sum;
  }
};

TEST(CountRelay, threeHundredHostsKeepToAQuotaWhileOwnersDie) {
  double Limit = 600000.0 * 8 + 600000;
  CHECK(admitted(6, 50, 3 * 600000, 8, false) <= Limit * 1.1);
  CHECK(admitted(6, 50, 3 * 600000, 8, true) <= Limit * 1.1);
  CHECK(admitted(6, 50, 3 * 600000, 8, false) >= Limit * 0.9);
}

// A customer that sends many times its usual: while owners pass the counts on,
// every host admits by the same old level.
TEST(CountRelay, aCustomerFarBeyondItsQuotaStaysWithinTheToleratedExcess) {
  Slack.Overage = 0.1;
  Slack.Tolerance = 190000;
  Slack.Window = seconds(8);
  double Limit = 600000.0 * 8 + 600000;
  CHECK(admitted(6, 10, 7.5 * 600000, 8, false) <= Limit * 1.1 + 190000);
}

// The hosts of a fleet learn of each other's admissions some time later, and
// each request is a good part of a host's share.
TEST(CountRelay, aCustomerFarBeyondItsQuotaIsNotAdmittedInPulses) {
  Slack.Overage = 0.1;
  Slack.Tolerance = 190000;
  Slack.Window = seconds(8);
  Config.Customers[Id].RatePerSecond = 400000;
  Config.Customers[Id].Burst = 400000;
  SimulatedFleet Fleet(6, 10, Config, Slack, Now);
  Fleet.LinkDelay = millis(60);
  for (int I = 0; I < 500; ++I) {
    Fleet.step();
  }
  std::mt19937_64 Random(3);
  std::exponential_distribution<double> Size(1 / 8000.0);
  std::bernoulli_distribution Asks(8 * 400000.0 / 50 / 8000 / 60);
  std::deque<double> Window;
  double Sum = 0;
  double Most = 0;
  double Total = 0;
  for (int I = 0; I < 30 * 50; ++I) {
    Fleet.step();
    double Admitted = 0;
    for (auto &Host : Fleet.Hosts) {
      if (Asks(Random)) {
        double Amount = 500 + Size(Random);
        Admitted +=
            Host->Quota.admit(Id, Amount, Fleet.Now).Admitted ? Amount : 0;
      }
    }
    Window.push_back(Admitted);
    Sum += Admitted;
    Total += Admitted;
    if (Window.size() > 8 * 50) {
      Sum -= Window.front();
      Window.pop_front();
    }
    Most = std::max(Most, Sum);
  }
  CHECK(Most <= (400000.0 * 8 + 400000) * 1.1 + 190000);
  CHECK(Total >= 400000.0 * 30 * 0.97);
}

// The connections of a customer may reach few hosts only.
TEST(CountRelay, aCustomerAtThreeHostsUsesItsWholeQuota) {
  for (double Load : {0.8, 4.0}) {
    SimulatedFleet Fleet(6, 10, Config, Slack, Now);
    Fleet.LinkDelay = millis(60);
    for (int I = 0; I < 500; ++I) {
      Fleet.step();
    }
    std::mt19937_64 Random(4);
    std::exponential_distribution<double> Size(1 / 8000.0);
    std::bernoulli_distribution Asks(Load * 600000.0 / 50 / 8500 / 3);
    double Asked = 0;
    double Admitted = 0;
    for (int I = 0; I < 20 * 50; ++I) {
      Fleet.step();
      for (size_t At : {1, 2, 33}) {
        if (Asks(Random)) {
          double Amount = 500 + Size(Random);
          Asked += Amount;
          Admitted +=
              Fleet.Hosts[At]->Quota.admit(Id, Amount, Fleet.Now).Admitted
                  ? Amount
                  : 0;
        }
      }
    }
    CHECK(Admitted >= 0.97 * std::min(Asked, 20 * 600000.0));
  }
}

TEST(CountRelay, threeHundredNinetyHostsRefuseNothingBelowTheQuota) {
  double Demand = 0.8 * 600000;
  double Sum = admitted(6, 65, Demand, 10, false);
  CHECK(Sum > Demand * 10 * 0.99);
}

TEST(CountRelay, whatOwnersSendEachOtherStaysBounded) {
  for (size_t HostsPerDomain : {17, 50, 65}) {
    SimulatedFleet Fleet(6, HostsPerDomain, Config, Slack, Now);
    for (int I = 0; I < 500; ++I) {
      Fleet.step();
      for (auto &Host : Fleet.Hosts) {
        Host->Quota.admit(Id, 1, Fleet.Now);
      }
    }
    // Five receivers; the state of one host takes 4 KB/s at most.
    double PerReceiver =
        static_cast<double>(Fleet.owner(0)->BytesSent) / 10 / 5;
    CHECK(PerReceiver <= 4096.0 * static_cast<double>(HostsPerDomain));
  }
}

TEST(CountRelay, changesCountOnlyAfterTheWhole) {
  RelayedHosts Relayed;
  HostCounts Part{HostId{7}, 1, false, {{Id, 5000}}};
  CHECK_FALSE(Relayed.accept(Part, Now));
  CHECK(Relayed.lastHeard(HostId{7}) == Time());
  Part.Whole = true;
  CHECK(Relayed.accept(Part, Now));
  Part.Whole = false;
  CHECK(Relayed.accept(Part, Now));
  Part.Run = 2; // A new process counts from zero.
  CHECK_FALSE(Relayed.accept(Part, Now));
}

TEST(CountRelay, aHostThatNoLongerReportsIsNotPassedOn) {
  CountRelay Relay;
  Relay.record(HostId{1}, 1, {{Id, 10}}, Now);
  CHECK_EQUAL(1, Relay.collect(Now, seconds(1)).size());
  CHECK_EQUAL(0, Relay.collect(Now + seconds(1), seconds(1)).size());
}

TEST(CountRelay, aStateWithRelayedCountsAndLevelsIsDecodedAsItWas) {
  HostState State;
  State.Host = HostId{3};
  State.Relayed.push_back({HostId{7}, 9, true, {{Id, 5000}}});
  State.Levels.push_back({Id, -250});
  State.EchoSequence = 12;
  State.HeardHosts = 290;
  State.ServingHosts = 295;
  State.LimitsOnly = true;
  FleetMessage Message;
  CHECK(decodeFleetMessage(encodeHostState(State), Message));
  const HostState &Read = std::get<HostState>(Message);
  CHECK_EQUAL(1, Read.Relayed.size());
  CHECK(Read.Relayed[0].Host == HostId{7});
  CHECK_EQUAL(9, Read.Relayed[0].Run);
  CHECK(Read.Relayed[0].Whole);
  CHECK_EQUAL(5000, Read.Relayed[0].Customers[0].Admitted);
  CHECK_EQUAL(-250, Read.Levels[0].Level);
  CHECK_EQUAL(12, Read.EchoSequence);
  CHECK_EQUAL(290, Read.HeardHosts);
  CHECK_EQUAL(295, Read.ServingHosts);
  CHECK(Read.LimitsOnly);
}
