// Tests of the time in which a second software version enters: streams of hosts
// that are lost then go on, and none goes on at another version.
#include "entry_fleet.h"
#include "record_codec_p.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <iostream>

using namespace shallotlatch;

static const ServiceId Engines = serviceId("engines");
static const SoftwareId V1 = softwareId("v1");
static const SoftwareId V2 = softwareId("v2");

/// Prints the figures of a run if the environment asks for them.
static std::string describe(const EntryPlan &Plan, const EntryCounts &C) {
  std::string Run =
      std::to_string(Plan.Domains * Plan.HostsPerDomain) + " hosts, " +
      std::to_string(Plan.Killed) + " killed, entry after " +
      std::to_string(toMillis(Plan.EntryAfter)) + " ms, seed " +
      std::to_string(Plan.Seed) + ": " + std::to_string(C.GoOn) + " of " +
      std::to_string(C.Returned) + " go on, " + std::to_string(C.Wrong) +
      " at another version; " + std::to_string(C.BegunAtNew) +
      " began at the new one, the first after " +
      std::to_string(toMillis(C.FirstAtNew)) + " ms; " +
      std::to_string(C.WritesAtEntry) + " writes in 5 s, at most " +
      std::to_string(C.MostWrites) + " writes and " +
      std::to_string(C.MostReads) + " reads in a second; lost by age";
  for (const auto &Item : C.ByAge) {
    if (Item.second.first != Item.second.second) {
      Run += " " + std::to_string(Item.first * 250) + ":" +
             std::to_string(Item.second.first - Item.second.second) + "/" +
             std::to_string(Item.second.first);
    }
  }
  if (getenv("FIGURES") != nullptr) {
    std::cout << Run << std::endl;
  }
  return Run;
}

TEST_GROUP(VersionEntryReplay){
    /// The users allow two streams at another version, and half to be lost.
    static EntryCounts play(const EntryPlan &Plan){
        EntryCounts C = EntryFleet(Plan).run();
std::string Run = describe(Plan, C);
CHECK_EQUAL_TEXT(0, C.Wrong, Run.c_str());
CHECK_TEXT(C.Returned >= 12, Run.c_str());
CHECK_TEXT(2 * C.GoOn > C.Returned, Run.c_str());
CHECK_TEXT(C.MostWrites <= 400, Run.c_str());
CHECK_TEXT(C.MostReads <= 2000, Run.c_str());
return C;
}
}
;

// Guards against streams that nobody can take up once their hosts are killed
// and another version has entered before their callers return.
TEST(VersionEntryReplay, streamsOfLostHostsGoOnWheneverTheVersionEnters) {
  for (int64_t EntryAfter : {-5000, -4000, -3000, -2500, -2000, -1000, -500,
                             -300, -100, 0, 100, 200, 500, 1000, 2000, 5000}) {
    for (size_t Killed : {1, 3, 5}) {
      for (uint64_t Seed = 1; Seed <= 3; ++Seed) {
        EntryPlan Plan;
        Plan.EntryAfter = millis(EntryAfter);
        Plan.Killed = Killed;
        Plan.Seed = Seed;
        play(Plan);
      }
    }
  }
}

TEST(VersionEntryReplay, streamsGoOnOnceAllHostsHaveStartedAgain) {
  for (int64_t EntryAfter : {-3000, -500, 200, 1500}) {
    for (uint64_t Seed = 1; Seed <= 3; ++Seed) {
      EntryPlan Plan;
      Plan.EntryAfter = millis(EntryAfter);
      Plan.Killed = 6;
      Plan.StartsAgain = true;
      Plan.ReturnAfter = millis(3500);
      Plan.Seed = Seed;
      play(Plan);
    }
  }
}

TEST(VersionEntryReplay, streamsOfADomainOrHalfOfSixtyHostsGoOn) {
  for (size_t Killed : {11, 33}) {
    for (int64_t EntryAfter : {-3000, -1000, -100, 200, 1000}) {
      EntryPlan Plan;
      Plan.Domains = 6;
      Plan.HostsPerDomain = 11;
      Plan.Killed = Killed;
      Plan.EntryAfter = millis(EntryAfter);
      play(Plan);
    }
  }
}

// Guards against streams that begin at the new version while those of before
// are still taken for the old one.
TEST(VersionEntryReplay, streamsOfTheNewVersionNeverGoOnAtTheOldOne) {
  for (int64_t EntryAfter : {-1000, 200, 1000}) {
    for (int64_t LaterAfter : {20, 100, 300, 700}) {
      for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
        EntryPlan Plan;
        Plan.Killed = 2;
        Plan.KilledLater = 2;
        Plan.KilledLaterAfter = millis(LaterAfter);
        Plan.EntryAfter = millis(EntryAfter);
        Plan.Seed = Seed;
        EntryCounts C = EntryFleet(Plan).run();
        std::string Run = describe(Plan, C);
        CHECK_EQUAL_TEXT(0, C.Wrong, Run.c_str());
        CHECK_TEXT(C.BegunAtNew > 0, Run.c_str());
      }
    }
  }
}

// Guards against streams that go on at another version after any series of
// entries, departures, losses of hosts and failures of the store. SEEDS and
// FIRST_SEED in the environment ask for other days.
TEST(VersionEntryReplay, streamsGoOnAtTheirVersionsThroughRandomDays) {
  const char *Seeds = getenv("SEEDS");
  const char *First = getenv("FIRST_SEED");
  uint64_t From = First == nullptr ? 1 : strtoull(First, nullptr, 10);
  uint64_t Count = Seeds == nullptr ? 10 : strtoull(Seeds, nullptr, 10);
  int GoOn = 0;
  for (uint64_t Seed = From; Seed < From + Count; ++Seed) {
    EntryPlan Plan;
    Plan.RandomFor = seconds(150);
    Plan.Seed = Seed;
    EntryCounts C = EntryFleet(Plan).run();
    std::string Run = describe(Plan, C);
    CHECK_TEXT(C.Wrong <= 2, Run.c_str());
    GoOn += C.GoOn;
  }
  CHECK(GoOn > 0);
}

TEST_GROUP(VersionAnnouncements) {
  std::shared_ptr<FakeRecordStore> Store = std::make_shared<FakeRecordStore>(7);
  Time Now{seconds(1000)};
  VersionAnnouncer Announcer{"h-1"};

  /// Lets the announcer write what is due.
  bool write() {
    std::optional<StoredRecord> Record = Announcer.takeWrite(Now);
    if (Record) {
      Announcer.onWritten(Store->write(*Record).Records.at(0).Revision);
    }
    return Record.has_value();
  }
};

TEST(VersionAnnouncements, holdOnceTheStoreHasAcknowledgedThem) {
  Announcer.announce(Engines, V2);
  std::optional<StoredRecord> Record = Announcer.takeWrite(Now);
  CHECK(Record.has_value());
  CHECK_FALSE(Announcer.isAnnounced(Engines, V2, Now));
  CHECK_FALSE(Announcer.takeWrite(Now).has_value());
  Announcer.onWritten(7);
  CHECK(Announcer.isAnnounced(Engines, V2, Now));
  CHECK_FALSE(Announcer.isAnnounced(Engines, V1, Now));
  CHECK_FALSE(Announcer.isAnnounced(serviceId("x"), V2, Now));
}

// The time counts from the sending, since the store may have had the record
// from then on.
TEST(VersionAnnouncements, runOutUnlessTheyAreWrittenAgain) {
  Announcer.announce(Engines, V2);
  std::optional<StoredRecord> Record = Announcer.takeWrite(Now);
  Now += seconds(3);
  Announcer.onWritten(7);
  Now += AnnouncementLife - seconds(3) - millis(1);
  CHECK(Announcer.isAnnounced(Engines, V2, Now));
  Now += millis(1);
  CHECK_FALSE(Announcer.isAnnounced(Engines, V2, Now));
  CHECK(Announcer.takeWrite(Now).has_value());
}

TEST(VersionAnnouncements, areWrittenThreeTimesALife) {
  Announcer.announce(Engines, V2);
  int Writes = 0;
  for (Time End = Now + AnnouncementLife; Now < End; Now += millis(100)) {
    Writes += write() ? 1 : 0;
    CHECK(Announcer.isAnnounced(Engines, V2, Now));
  }
  CHECK_EQUAL(3, Writes);
  Announcer.withdraw(Engines);
  Now += AnnouncementLife;
  CHECK_FALSE(write());
}

// A write without a reply may be carried out late, so its name is left alone.
TEST(VersionAnnouncements, goToAnotherRecordAfterALostReply) {
  Announcer.announce(Engines, V2);
  std::string First = Announcer.takeWrite(Now)->Name;
  Announcer.onUncertain(Now);
  CHECK_FALSE(Announcer.isAnnounced(Engines, V2, Now));
  std::optional<StoredRecord> Second = Announcer.takeWrite(Now);
  CHECK(Second->Name != First);
  CHECK_EQUAL(0, Second->Revision);
  CHECK(Announcer.isOwn(First) && Announcer.isOwn(Second->Name));
  CHECK_FALSE(Announcer.isOwn("announced-h-10-0"));
}

TEST(VersionAnnouncements, areWrittenAgainToAStoreThatCameBack) {
  Announcer.announce(Engines, V2);
  CHECK(write());
  Announcer.onStoreReturned();
  CHECK_FALSE(Announcer.isAnnounced(Engines, V2, Now));
  CHECK(write());
  CHECK(Announcer.isAnnounced(Engines, V2, Now));
}

TEST_GROUP(BaseVersions) {
  std::shared_ptr<FakeRecordStore> Store = std::make_shared<FakeRecordStore>(7);
  std::map<std::string, std::unique_ptr<RecordHost>> Hosts;
  Time Now{seconds(1000)};

  RecordHost &start(const std::string &Name) {
    auto &H = Hosts[Name];
    H = std::make_unique<RecordHost>(Store, Name, Now);
    H->Origins.setStreamLife(seconds(20), Now);
    H->Services = {Engines};
    H->Archive.setRole({true, true, 1});
    return *H;
  }
  void pass(Duration For, const std::vector<SoftwareId> &Versions) {
    for (Time End = Now + For; Now < End;) {
      Now += millis(20);
      Store->advance(Now);
      for (auto &Item : Hosts) {
        for (SoftwareId V : Versions) {
          Item.second->Origins.recordServing(Engines, V, Now);
        }
        Item.second->tick(Now);
      }
    }
  }
  VersionSet recorded() {
    return decodeVersions(Store->Records[VersionRecordName].Content)[Engines];
  }
  /// Returns the version of streams that are in no record, as a process reads
  /// it that starts now; invalid if it is not known.
  SoftwareId unrecorded() {
    RecordHost &H = start("reader");
    H.Archive.setRole({});
    H.Archive.requestRead(streamId("none"), Now);
    pass(millis(500), {V1, V2});
    SoftwareId Found = H.Unrecorded[Engines];
    Hosts.erase("reader");
    return Found;
  }
};

TEST(BaseVersions, areTheOnlyVersionsOfBefore) {
  RecordHost &H = start("h");
  pass(seconds(30), {V1});
  CHECK(recorded().baseIn(Store->Era) == V1);
  pass(seconds(5), {V1, V2});
  CHECK(recorded().Base == V1);
  CHECK(H.Origins.base(Engines, Now) == V1);
  CHECK(unrecorded() == V1);
  // The version has gone, and with it the streams that began there.
  pass(seconds(30), {V2});
  CHECK(recorded().baseIn(Store->Era) == V2);
}

// Guards against streams that go on at another version because the only version
// of a record from before the copy counted as the only one until now.
TEST(BaseVersions, aRecordThatTheStoreCameBackWithVouchesForNoHistory) {
  start("h");
  pass(seconds(30), {V1});
  Store->copy();
  pass(seconds(5), {V1, V2});
  Hosts.clear();
  Store->restore();
  pass(seconds(3), {});
  RecordHost &Later = start("later");
  pass(seconds(5), {V1});
  CHECK_FALSE(Later.Origins.soleVersion(Engines, Now).has_value());
}

TEST(BaseVersions, aRecordOfTheSameEraVouchesForTheHistory) {
  start("h");
  pass(seconds(30), {V1});
  Hosts.clear();
  pass(seconds(3), {});
  RecordHost &Later = start("later");
  pass(seconds(5), {V1});
  CHECK(Later.Origins.soleVersion(Engines, Now) == V1);
}

TEST(BaseVersions, endWithTheFirstAnnouncementOfAnother) {
  RecordHost &H = start("h");
  pass(seconds(30), {V1});
  pass(seconds(1), {V1, V2});
  H.Archive.announcer().announce(Engines, V1);
  pass(seconds(1), {V1, V2});
  CHECK(unrecorded() == V1);
  H.Archive.announcer().announce(Engines, V2);
  pass(seconds(1), {V1, V2});
  CHECK_FALSE(unrecorded().isValid());
  // Also after the process that announced it is gone.
  Hosts.clear();
  start("i");
  pass(seconds(30), {V1, V2});
  CHECK_FALSE(unrecorded().isValid());
  // Its streams have ended once its record is cleaned.
  pass(seconds(120), {V1, V2});
  CHECK(unrecorded() == V1);
}

// Guards against the announcement of a process that lives and is cleaned like
// that of one that is gone.
TEST(BaseVersions, doNotComeBackWhileAnAnnouncementIsRenewed) {
  RecordHost &H = start("h");
  pass(seconds(30), {V1});
  pass(seconds(1), {V1, V2});
  H.Archive.announcer().announce(Engines, V2);
  pass(seconds(1), {V1, V2});
  for (Time End = Now + seconds(300); Now < End;) {
    pass(millis(100), {V1, V2});
    CHECK(H.Archive.announcer().isAnnounced(Engines, V2, Now));
    auto It = Store->Records.lower_bound(AnnouncementPrefix);
    CHECK(It != Store->Records.end() && H.Archive.announcer().isOwn(It->first));
  }
}

// What was announced since the copy is lost with it.
TEST(BaseVersions, ofAStoreThatCameBackFromACopyTellNothing) {
  start("h");
  pass(seconds(30), {V1});
  Store->copy();
  pass(seconds(1), {V1, V2});
  CHECK(unrecorded() == V1);
  Store->restore();
  CHECK_FALSE(unrecorded().isValid());
  pass(seconds(2), {V1, V2});
  CHECK_FALSE(unrecorded().isValid());
}

TEST(BaseVersions, tellNothingBesideHostsThatDoNotAnnounce) {
  start("h");
  pass(seconds(30), {V1});
  pass(seconds(1), {V1, V2});
  RecordHost &H = start("old");
  FleetHost Earlier;
  Earlier.KeepsRecords = true;
  H.Archive.recordHost(Earlier);
  H.Archive.requestRead(streamId("none"), Now);
  pass(millis(500), {V1, V2});
  CHECK_EQUAL(1, H.WholeReads);
  CHECK(H.Unrecorded.empty());
}

// Where several versions served from the start, a process uses them all.
TEST(BaseVersions, doNotComeUpWhileSeveralVersionsServe) {
  RecordHost &H = start("h");
  pass(seconds(5), {V1, V2});
  CHECK_EQUAL(2, recorded().Versions.size());
  CHECK_FALSE(recorded().baseIn(Store->Era).isValid());
  CHECK(H.Origins.base(Engines, Now) == SoftwareId());
  pass(seconds(30), {V1, V2});
  CHECK_FALSE(recorded().baseIn(Store->Era).isValid());
  CHECK_FALSE(unrecorded().isValid());
}

TEST_GROUP(VersionOpeningTimes) {
  Time Now{seconds(1000)};
  VersionOpenings Openings{Now};
  ServiceVersionsView View;
  void setup() override {
    Now += seconds(60);
    View.Base = V1;
    View.BaseServes = true;
    View.SeenAt = {{V1, Now - seconds(50)}, {V2, Now}};
  }
  /// Returns the time from now to the announcement.
  int64_t dueAfter(Duration Limit = seconds(20)) {
    Time Start = Now;
    for (; Now < Start + Limit; Now += millis(20)) {
      if (!Openings.takeDue(Engines, View, Now).empty()) {
        return toMillis(Now - Start);
      }
    }
    return -1;
  }
};

TEST(VersionOpeningTimes, leaveCallersOfLostHostsTimeToReturn) {
  CHECK_EQUAL(2500, dueAfter());
  CHECK_EQUAL(-1, dueAfter()); // It is announced once.
}

TEST(VersionOpeningTimes, followLossesOfHosts) {
  Openings.recordHostsLost(Now + millis(1000));
  CHECK_EQUAL(6000, dueAfter());
}

TEST(VersionOpeningTimes, followTheNotesOfEarlierStreams) {
  View.OldestUntold = Now - seconds(1);
  CHECK_EQUAL(-1, dueAfter(seconds(5)));
  View.OldestUntold = Now;
  CHECK_EQUAL(700, dueAfter());
}

TEST(VersionOpeningTimes, areLimited) {
  View.OldestUntold = Now - seconds(1);
  CHECK_EQUAL(6000, dueAfter());
}

// Guards against a process that starts again and leaves the targets of a
// version empty that all others use.
TEST(VersionOpeningTimes, doNotWaitOnceAnotherProcessHasAnnouncedTheVersion) {
  Openings.recordHostsLost(Now);
  View.Announced = {V2};
  CHECK_EQUAL(0, dueAfter());
}

// Guards against full targets of one version beside empty ones of another.
TEST(VersionOpeningTimes, doNotWaitForCallersWhileRequestsWait) {
  Openings.recordHostsLost(Now + millis(1000));
  View.IsCrowded = true;
  CHECK_EQUAL(2500, dueAfter());
}

TEST(VersionOpeningTimes, doNotWaitWhereStreamsHaveNowhereElseToBegin) {
  View.BaseServes = false;
  CHECK_EQUAL(0, dueAfter());
}

TEST(VersionOpeningTimes, areNeverWhereThereIsNoBaseVersion) {
  View.Base = SoftwareId();
  CHECK_EQUAL(-1, dueAfter());
  View.Base.reset();
  CHECK_EQUAL(-1, dueAfter());
  View.IsIndefinite = true;
  CHECK_EQUAL(2U, Openings.takeDue(Engines, View, Now).size());
}
