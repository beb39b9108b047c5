// Tests of the limits that hold over all hosts together, quotas and the retry
// budget, and of the messages that carry their counts.
#include "fleet_codec_p.h"
#include "retry_budget_p.h"

#include <CppUTest/TestHarness.h>

using namespace shallotlatch;

TEST_GROUP(FleetLimits) {
  RoutingConfig Config;
  CustomerId Id = customerId("c");
  Time Now{seconds(100)};

  void setup() override {
    GatewayCustomer C;
    C.Id = Id;
    C.Name = "c";
    C.CountsTokens = true;
    C.RatePerSecond = 1000;
    C.Burst = 2000;
    Config.Customers[Id] = C;
  }
  /// Returns the amount that \p Hosts hosts admit together in \p Seconds, if
  /// each is asked for \p DemandPerSecond and they exchange their totals every
  /// \p ExchangeIntervalMs.
  double totalAdmitted(int Hosts, double DemandPerSecond,
                       int64_t ExchangeIntervalMs, int Seconds) {
    std::vector<FleetQuota> Quotas(static_cast<size_t>(Hosts),
                                   FleetQuota(QuotaSlack{}));
    for (FleetQuota &Q : Quotas) {
      Q.configure(Config, Now);
    }
    Now += seconds(10); // The processes run for 10 s before the first request.
    double Sum = 0;
    for (int64_t Ms = 0; Ms < Seconds * 1000; Ms += 10) {
      Now += millis(10);
      for (FleetQuota &Q : Quotas) {
        if (Q.admit(Id, DemandPerSecond / 100, Now).Admitted) {
          Sum += DemandPerSecond / 100;
        }
      }
      if (Ms % ExchangeIntervalMs == 0) {
        for (size_t From = 0; From < Quotas.size(); ++From) {
          for (size_t To = 0; To < Quotas.size(); ++To) {
            if (From != To) {
              Quotas[To].mergePeerUse(HostId{From + 1}, 1,
                                      Quotas[From].ownUse());
            }
          }
        }
      }
    }
    return Sum;
  }
};

TEST(FleetLimits, sixHostsTogetherKeepToTheQuota) {
  double Sum = totalAdmitted(6, 2000, 100, 8);
  double Limit = 1000 * 8 + 2000;
  CHECK(Sum <= Limit * 1.1 + 6 * 2000 * 0.1);
  CHECK(Sum >= Limit * 0.9);
}

// Guards against a second burst after a restart of the whole fleet. All hosts
// are killed within one window; the new processes do not know what the customer
// has used, and must not grant it the burst again.
TEST(FleetLimits, aFleetThatRestartsDoesNotGiveTheBurstAgain) {
  Config.Customers[Id].Burst = 4000;
  Now += seconds(60);
  double Sum = 0;
  std::vector<FleetQuota> Quotas;
  for (int64_t Ms = 0; Ms < 8000; Ms += 10) {
    if (Ms % 4000 == 0) {
      Quotas.assign(6, FleetQuota(QuotaSlack{}));
      for (FleetQuota &Q : Quotas) {
        Q.configure(Config, Now);
      }
      // The first processes run for 10 s before the first request, their
      // successors for 300 ms.
      Now += Ms == 0 ? Duration(seconds(10)) : Duration(millis(300));
    }
    Now += millis(10);
    for (size_t I = 0; I < Quotas.size(); ++I) {
      Sum += Quotas[I].admit(Id, 5, Now).Admitted ? 5 : 0;
      for (size_t To = 0; To < Quotas.size(); ++To) {
        if (To != I) {
          Quotas[To].mergePeerUse(HostId{I + 1}, 1, Quotas[I].ownUse());
        }
      }
    }
  }
  CHECK(Sum <= (1000 * 8.3 + 4000) * 1.1);
}

TEST(FleetLimits, nothingIsRefusedBelowTheQuota) {
  DOUBLES_EQUAL(6 * 150 * 10, totalAdmitted(6, 150, 100, 10), 1);
}

TEST(FleetLimits, aCutOffHostKeepsToItsShare) {
  FleetQuota Q{QuotaSlack{}};
  Q.configure(Config, Now);
  Q.setRateShare(0.25);
  double Sum = 0;
  for (int I = 0; I < 1000; ++I) {
    Now += millis(10);
    Sum += Q.admit(Id, 50, Now).Admitted ? 50 : 0;
  }
  CHECK(Sum <= 2000 + 0.25 * 1000 * 10 + 50);
}

TEST(FleetLimits, aPeersRestartCountsFromZero) {
  FleetQuota Q{QuotaSlack{}};
  Q.configure(Config, Now);
  Now += seconds(10);
  Q.mergePeerUse(HostId{2}, 1, {{Id, 50000}});
  CHECK(Q.admit(Id, 100, Now).Admitted);
  Q.mergePeerUse(HostId{2}, 2, {{Id, 1800}});
  CHECK(Q.admit(Id, 100, Now).Admitted);
  CHECK_FALSE(Q.admit(Id, 100, Now).Admitted);
}

TEST(FleetLimits, repeatsStayWithinRatioAndShare) {
  RetryBudgetInit Init;
  Init.Ratio = 0.2;
  Init.Extra = 52;
  RetryBudget Budget(Init);
  uint32_t Taken = 0;
  for (int I = 0; I < 100; ++I) {
    Budget.recordRequest(Now);
    Taken += Budget.take(Now, 4) ? 1 : 0;
  }
  CHECK_EQUAL(33, Taken); // 0.2 * 100 + 52 / 4
  Now += seconds(11);
  CHECK(Budget.take(Now, 4));
}

TEST(FleetLimits, aStateSurvivesItsDatagram) {
  HostState S;
  S.Host = HostId{7};
  S.Run = 3;
  S.Sequence = 9;
  S.ConfigVersion = 44;
  S.Stamp = Time(millis(120));
  S.Echo = Time(millis(90));
  S.EchoRun = 8;
  S.Targets = {{5, 2, 800}};
  S.Customers = {{Id, 123456789}};
  S.Crashes = {
      {Fingerprint{77}, {{11, millis(30), millis(20)}}, true, millis(10)}};
  S.DeadTargets = {13};
  S.Limits = {{17, true, 2.1, millis(40)}};
  FleetMessage Message;
  CHECK(decodeFleetMessage(encodeHostState(S), Message));
  const HostState &T = std::get<HostState>(Message);
  CHECK(T.Host == S.Host && T.Run == 3 && T.Sequence == 9);
  CHECK_EQUAL(800, T.Targets[0].PromptTokens);
  CHECK_EQUAL(123456789, T.Customers[0].Admitted);
  CHECK(T.Crashes[0].Print == Fingerprint{77});
  CHECK_EQUAL(11, T.Crashes[0].Crashes[0].Target);
  CHECK(T.Crashes[0].Crashes[0].SinceSent == millis(30));
  CHECK(T.Crashes[0].Crashes[0].SinceBroken == millis(20));
  CHECK(T.Crashes[0].Survived && T.Crashes[0].SinceSurvived == millis(10));
  CHECK_EQUAL(13, T.DeadTargets[0]);
  CHECK(T.Limits[0].Target == 17 && T.Limits[0].Limited);
  DOUBLES_EQUAL(2.1, T.Limits[0].PerSecond, 1e-9);
  CHECK(T.Limits[0].SinceObserved == millis(40));
  CHECK(T.Stamp == S.Stamp);
  CHECK(T.Echo == S.Echo);
  CHECK_EQUAL(8, T.EchoRun);
}

TEST(FleetLimits, bytesThatAreNoMessageAreRefused) {
  FleetMessage T;
  CHECK_FALSE(
      decodeFleetMessage(std::string("\xff\xff\xff\xff\xff\xff", 6), T));
}

// Guards against an echo from before a restart. A host that lost power started
// a new clock, while a peer still echoed a stamp of the host's former run. That
// stamp lay hours ahead, so the host trusted its keys forever.
TEST(FleetLimits, anEchoOfAFormerRunIsNotTaken) {
  HostState S;
  S.Echo = Time(seconds(50));
  S.EchoRun = 8;
  CHECK(echoIsOwn(S, 8, Time(seconds(60))));
  CHECK_FALSE(echoIsOwn(S, 9, Time(seconds(60))));
  CHECK_FALSE(echoIsOwn(S, 8, Time(seconds(40))));
  S.Echo = Time();
  CHECK_FALSE(echoIsOwn(S, 8, Time(seconds(60))));
}
