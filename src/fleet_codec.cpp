// Encodes messages between gateway hosts as Cap'n Proto datagrams.
#include "fleet_codec_p.h"

#include "fleet.capnp.h"
#include "rollout_codec_p.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>
#include <map>

namespace shallotlatch {

// Limits of the lists in one datagram. Entries beyond them are left out.
static constexpr size_t MaxTargets = 400;
static constexpr size_t MaxCustomers = 64;
static constexpr size_t MaxCrashReports = 24;
static constexpr size_t MaxCrashesOfPrint = 8;
static constexpr size_t MaxDeadTargets = 64;
static constexpr size_t MaxTargetLimits = 128;
static constexpr size_t MaxDeparting = 256;
static constexpr size_t MaxRelayed = 256;
static constexpr size_t MaxLevels = 1500;
// Limits for the requests of one service on one host. A host of the usual size
// holds some dozens.
static constexpr size_t MaxWaiting = 200;
static constexpr size_t MaxHeld = 600;
// Limit for the targets whose pace one report holds; the rest is dropped. At
// some 11 bytes each the datagram grows by 1.4 KB.
static constexpr size_t MaxPaces = 128;
static constexpr size_t MaxNotices = 32;

static std::string packMessage(capnp::MessageBuilder &Message) {
  kj::VectorOutputStream Out;
  capnp::writePackedMessage(Out, Message);
  auto Bytes = Out.getArray();
  return std::string(reinterpret_cast<const char *>(Bytes.begin()),
                     Bytes.size());
}

static uint32_t wireMillis(Duration D) {
  return static_cast<uint32_t>(std::clamp<int64_t>(toMillis(D), 0, UINT32_MAX));
}

static unsigned wireCount(size_t Count, size_t Max) {
  return static_cast<unsigned>(std::min(Count, Max));
}

static void writeCustomers(capnp::List<fleetwire::CustomerUse>::Builder List,
                           const std::vector<CustomerUse> &Customers) {
  for (unsigned I = 0; I < List.size(); ++I) {
    List[I].setCustomer(Customers[I].Customer.Value);
    List[I].setAdmitted(Customers[I].Admitted);
  }
}

static void writeCrashes(capnp::List<fleetwire::CrashReport>::Builder List,
                         const std::vector<CrashReport> &Reports) {
  for (unsigned I = 0; I < List.size(); ++I) {
    const CrashReport &Report = Reports[I];
    List[I].setPrint(Report.Print.Value);
    List[I].setSurvived(Report.Survived);
    List[I].setSinceSurvivedMs(wireMillis(Report.SinceSurvived));
    unsigned Crashes = wireCount(Report.Crashes.size(), MaxCrashesOfPrint);
    auto CrashList = List[I].initCrashes(Crashes);
    for (unsigned K = 0; K < Crashes; ++K) {
      CrashList[K].setTarget(Report.Crashes[K].Target);
      CrashList[K].setSinceSentMs(wireMillis(Report.Crashes[K].SinceSent));
      CrashList[K].setSinceBrokenMs(wireMillis(Report.Crashes[K].SinceBroken));
      CrashList[K].setContrasted(Report.Crashes[K].Contrasted);
    }
  }
}

bool echoIsOwn(const HostState &State, uint64_t OwnRun, Time Now) {
  return State.Echo != Time() && State.EchoRun == OwnRun && State.Echo <= Now;
}

std::string encodeHostState(const HostState &S) {
  capnp::MallocMessageBuilder Message;
  fleetwire::FleetState::Builder B =
      Message.initRoot<fleetwire::Datagram>().initState();
  B.setHost(S.Host.Value);
  B.setRun(S.Run);
  B.setSequence(S.Sequence);
  B.setLeaving(S.Leaving);
  B.setConfigVersion(S.ConfigVersion);
  B.setStoreEra(S.StoreEra);
  B.setStamp(static_cast<uint64_t>(S.Stamp.time_since_epoch().count()));
  B.setEcho(static_cast<uint64_t>(S.Echo.time_since_epoch().count()));
  B.setEchoRun(S.EchoRun);
  unsigned Targets =
      static_cast<unsigned>(std::min(S.Targets.size(), MaxTargets));
  auto TargetList = B.initTargets(Targets);
  for (unsigned I = 0; I < Targets; ++I) {
    TargetList[I].setTarget(S.Targets[I].Target);
    TargetList[I].setRunning(
        static_cast<uint8_t>(std::min(S.Targets[I].Running, 255U)));
    TargetList[I].setPromptTokens(S.Targets[I].PromptTokens);
  }
  writeCustomers(B.initCustomers(wireCount(S.Customers.size(), MaxCustomers)),
                 S.Customers);
  writeCrashes(B.initCrashReports(wireCount(S.Crashes.size(), MaxCrashReports)),
               S.Crashes);
  unsigned Limits = wireCount(S.Limits.size(), MaxTargetLimits);
  auto LimitList = B.initLimits(Limits);
  for (unsigned I = 0; I < Limits; ++I) {
    LimitList[I].setTarget(S.Limits[I].Target);
    LimitList[I].setLimited(S.Limits[I].Limited);
    LimitList[I].setPerSecond(S.Limits[I].PerSecond);
    LimitList[I].setSinceObservedMs(wireMillis(S.Limits[I].SinceObserved));
  }
  unsigned Dead = wireCount(S.DeadTargets.size(), MaxDeadTargets);
  auto DeadList = B.initDeadTargets(Dead);
  for (unsigned I = 0; I < Dead; ++I) {
    DeadList.set(I, S.DeadTargets[I]);
  }
  unsigned Relayed = wireCount(S.Relayed.size(), MaxRelayed);
  auto RelayedList = B.initRelayed(Relayed);
  for (unsigned I = 0; I < Relayed; ++I) {
    const HostCounts &Counts = S.Relayed[I];
    fleetwire::HostCounts::Builder H = RelayedList[I];
    H.setHost(Counts.Host.Value);
    H.setRun(Counts.Run);
    H.setWhole(Counts.Whole);
    writeCustomers(
        H.initCustomers(static_cast<unsigned>(Counts.Customers.size())),
        Counts.Customers);
  }
  unsigned Levels = wireCount(S.Levels.size(), MaxLevels);
  auto LevelList = B.initLevels(Levels);
  for (unsigned I = 0; I < Levels; ++I) {
    LevelList[I].setCustomer(S.Levels[I].Customer.Value);
    LevelList[I].setLevel(S.Levels[I].Level);
  }
  B.setEchoSequence(S.EchoSequence);
  B.setHeardHosts(S.HeardHosts);
  B.setServingHosts(S.ServingHosts);
  B.setLimitsOnly(S.LimitsOnly);
  if (!S.Rollouts.empty()) {
    writeRollouts(B.initRollouts(wireRollouts(S.Rollouts)), S.Rollouts);
  }
  unsigned Departing = wireCount(S.Departing.size(), MaxDeparting);
  auto DepartingList = B.initDeparting(Departing);
  for (unsigned I = 0; I < Departing; ++I) {
    DepartingList.set(I, S.Departing[I]);
  }
  return packMessage(Message);
}

std::string encodePlaceBook(const PlacementReport &S) {
  capnp::MallocMessageBuilder Message;
  fleetwire::PlaceBook::Builder B =
      Message.initRoot<fleetwire::Datagram>().initBook();
  B.setHost(S.Host.Value);
  B.setRun(S.Run);
  B.setSequence(S.Sequence);
  B.setService(S.Service.Value);
  unsigned Waiting = wireCount(S.Waiting.size(), MaxWaiting);
  auto WaitingList = B.initWaiting(Waiting);
  for (unsigned I = 0; I < Waiting; ++I) {
    const WaitingRequest &Ask = S.Waiting[I];
    fleetwire::WaitingAsk::Builder W = WaitingList[I];
    W.setSerial(Ask.Serial.Value);
    W.setRank(static_cast<uint8_t>(std::min(Ask.Rank, 255U)));
    W.setReturned(Ask.RefusedBefore);
    W.setRepeatable(Ask.Repeatable);
    W.setPromptTokens(static_cast<uint32_t>(Ask.PromptTokens));
    W.setOutputTokens(static_cast<uint32_t>(Ask.OutputTokens));
    W.setObjectiveMs(wireMillis(Ask.Objective));
    W.setWaitedMs(wireMillis(Ask.Waited));
    W.setSpentMs(wireMillis(Ask.SinceFirstAttempt));
    W.setLeftMs(wireMillis(Ask.TimeToDeadline));
    W.setSoftware(Ask.Software.Value);
    W.setCustomer(Ask.Customer.Value);
    W.setOutputHint(static_cast<uint32_t>(Ask.OutputHint));
    unsigned Tried = wireCount(Ask.Tried.size(), UINT8_MAX);
    auto TriedList = W.initTried(Tried);
    for (unsigned K = 0; K < Tried; ++K) {
      TriedList.set(K, Ask.Tried[K]);
    }
  }
  unsigned Held = wireCount(S.Held.size(), MaxHeld);
  auto HeldList = B.initHeld(Held);
  for (unsigned I = 0; I < Held; ++I) {
    HeldList[I].setSerial(S.Held[I].Serial.Value);
    HeldList[I].setTarget(S.Held[I].Target);
    HeldList[I].setPromptTokens(static_cast<uint32_t>(S.Held[I].PromptTokens));
    HeldList[I].setStarted(S.Held[I].Started);
  }
  unsigned Ended = wireCount(S.Ended.size(), MaxHeld);
  auto EndedList = B.initEnded(Ended);
  for (unsigned I = 0; I < Ended; ++I) {
    EndedList[I].setSerial(S.Ended[I].Serial.Value);
    EndedList[I].setSign(static_cast<uint8_t>(S.Ended[I].Result));
    EndedList[I].setEvents(
        static_cast<uint16_t>(std::min(S.Ended[I].Events, 65535U)));
  }
  unsigned Paces = wireCount(S.Paces.size(), MaxPaces);
  auto PaceList = B.initPaces(Paces);
  for (unsigned I = 0; I < Paces; ++I) {
    PaceList[I].setTarget(S.Paces[I].Target);
    PaceList[I].setEvents(
        static_cast<uint16_t>(std::min(S.Paces[I].Events, 65535U)));
    PaceList[I].setSpanMs(static_cast<uint16_t>(
        std::clamp<int64_t>(toMillis(S.Paces[I].Span), 0, 65535)));
  }
  unsigned Notices = wireCount(S.Notices.size(), MaxNotices);
  auto NoticeList = B.initNotices(Notices);
  for (unsigned I = 0; I < Notices; ++I) {
    const TargetNotice &N = S.Notices[I];
    NoticeList[I].setTarget(N.Target);
    NoticeList[I].setLeaving(N.SinceLeaving.has_value());
    NoticeList[I].setSinceLeavingMs(
        wireMillis(N.SinceLeaving.value_or(Duration(0))));
    NoticeList[I].setPaused(N.PauseLeft.has_value());
    NoticeList[I].setPauseLeftMs(wireMillis(N.PauseLeft.value_or(Duration(0))));
  }
  unsigned Loads = wireCount(S.Loads.size(), MaxPaces);
  auto LoadList = B.initLoads(Loads);
  for (unsigned I = 0; I < Loads; ++I) {
    const TargetLoad &Load = S.Loads[I];
    LoadList[I].setTarget(Load.Target);
    LoadList[I].setUse(static_cast<uint16_t>(std::min(Load.Use, 65535U)));
    LoadList[I].setSlots(static_cast<uint16_t>(std::min(Load.Slots, 65535U)));
    LoadList[I].setPercent(
        static_cast<uint16_t>(std::min(Load.Percent, 65535U)));
    LoadList[I].setAgeMs(static_cast<uint16_t>(
        std::clamp<int64_t>(toMillis(Load.Age), 0, 65535)));
  }
  return packMessage(Message);
}

std::string encodePlaceReply(const PlacementReply &S) {
  capnp::MallocMessageBuilder Message;
  fleetwire::PlaceReply::Builder B =
      Message.initRoot<fleetwire::Datagram>().initReply();
  B.setHost(S.Host.Value);
  B.setRun(S.Run);
  B.setService(S.Service.Value);
  B.setHolderRun(S.HolderRun);
  B.setSequence(S.Sequence);
  unsigned Grants = wireCount(S.Grants.size(), MaxHeld);
  auto GrantList = B.initGrants(Grants);
  for (unsigned I = 0; I < Grants; ++I) {
    GrantList[I].setSerial(S.Grants[I].Serial.Value);
    GrantList[I].setTarget(S.Grants[I].Target);
    GrantList[I].setPredictedMs(wireMillis(S.Grants[I].Predicted));
    GrantList[I].setRunning(
        static_cast<uint16_t>(std::min(S.Grants[I].Running, 65535U)));
  }
  unsigned Refusals = wireCount(S.Refusals.size(), MaxHeld);
  auto RefusalList = B.initRefusals(Refusals);
  for (unsigned I = 0; I < Refusals; ++I) {
    RefusalList[I].setSerial(S.Refusals[I].Serial.Value);
    RefusalList[I].setWhy(static_cast<uint8_t>(S.Refusals[I].Why));
    RefusalList[I].setReturnMs(wireMillis(S.Refusals[I].RetryAfter));
  }
  return packMessage(Message);
}

static std::vector<CustomerUse>
readCustomers(capnp::List<fleetwire::CustomerUse>::Reader List) {
  std::vector<CustomerUse> Customers;
  for (fleetwire::CustomerUse::Reader C : List) {
    Customers.push_back({CustomerId{C.getCustomer()}, C.getAdmitted()});
  }
  return Customers;
}

static std::vector<CrashReport>
readCrashes(capnp::List<fleetwire::CrashReport>::Reader List) {
  std::vector<CrashReport> Reports;
  for (fleetwire::CrashReport::Reader R : List) {
    CrashReport Report;
    Report.Print.Value = R.getPrint();
    Report.Survived = R.getSurvived();
    Report.SinceSurvived = millis(R.getSinceSurvivedMs());
    for (fleetwire::ReportedCrash::Reader C : R.getCrashes()) {
      Report.Crashes.push_back({C.getTarget(), millis(C.getSinceSentMs()),
                                millis(C.getSinceBrokenMs()),
                                C.getContrasted()});
    }
    Reports.push_back(std::move(Report));
  }
  return Reports;
}

static HostState readState(fleetwire::FleetState::Reader R) {
  HostState S;
  S.Host.Value = R.getHost();
  S.Run = R.getRun();
  S.Sequence = R.getSequence();
  S.Leaving = R.getLeaving();
  S.ConfigVersion = R.getConfigVersion();
  S.StoreEra = R.getStoreEra();
  S.Stamp = Time(Duration(static_cast<int64_t>(R.getStamp())));
  S.Echo = Time(Duration(static_cast<int64_t>(R.getEcho())));
  S.EchoRun = R.getEchoRun();
  for (fleetwire::TargetUse::Reader T : R.getTargets()) {
    S.Targets.push_back({T.getTarget(), T.getRunning(), T.getPromptTokens()});
  }
  S.Customers = readCustomers(R.getCustomers());
  S.Crashes = readCrashes(R.getCrashReports());
  for (uint32_t Target : R.getDeadTargets()) {
    S.DeadTargets.push_back(Target);
  }
  for (fleetwire::TargetLimit::Reader L : R.getLimits()) {
    S.Limits.push_back({L.getTarget(), L.getLimited(), L.getPerSecond(),
                        millis(L.getSinceObservedMs())});
  }
  for (fleetwire::HostCounts::Reader H : R.getRelayed()) {
    S.Relayed.push_back({HostId{H.getHost()}, H.getRun(), H.getWhole(),
                         readCustomers(H.getCustomers())});
  }
  for (fleetwire::CustomerLevel::Reader L : R.getLevels()) {
    S.Levels.push_back({CustomerId{L.getCustomer()}, L.getLevel()});
  }
  S.EchoSequence = R.getEchoSequence();
  S.HeardHosts = R.getHeardHosts();
  S.ServingHosts = R.getServingHosts();
  S.LimitsOnly = R.getLimitsOnly();
  S.Rollouts = readRollouts(R.getRollouts());
  for (uint32_t Run : R.getDeparting()) {
    S.Departing.push_back(Run);
  }
  return S;
}

static PlacementReport readBook(fleetwire::PlaceBook::Reader R) {
  PlacementReport S;
  S.Host.Value = R.getHost();
  S.Run = R.getRun();
  S.Sequence = R.getSequence();
  S.Service.Value = R.getService();
  for (fleetwire::WaitingAsk::Reader W : R.getWaiting()) {
    WaitingRequest Ask;
    Ask.Serial.Value = W.getSerial();
    Ask.Rank = W.getRank();
    Ask.RefusedBefore = W.getReturned();
    Ask.Repeatable = W.getRepeatable();
    Ask.PromptTokens = W.getPromptTokens();
    Ask.OutputTokens = W.getOutputTokens();
    Ask.Objective = millis(W.getObjectiveMs());
    Ask.Waited = millis(W.getWaitedMs());
    Ask.SinceFirstAttempt = millis(W.getSpentMs());
    Ask.TimeToDeadline = millis(W.getLeftMs());
    Ask.Software.Value = W.getSoftware();
    Ask.Customer.Value = W.getCustomer();
    Ask.OutputHint = W.getOutputHint();
    for (uint32_t Instance : W.getTried()) {
      Ask.Tried.push_back(Instance);
    }
    S.Waiting.push_back(std::move(Ask));
  }
  for (fleetwire::HeldRun::Reader H : R.getHeld()) {
    HeldRequest Run;
    Run.Serial.Value = H.getSerial();
    Run.Target = H.getTarget();
    Run.PromptTokens = H.getPromptTokens();
    Run.Started = H.getStarted();
    S.Held.push_back(Run);
  }
  for (fleetwire::EndedRun::Reader E : R.getEnded()) {
    AttemptResult Result = E.getSign() < AttemptResultCount
                               ? static_cast<AttemptResult>(E.getSign())
                               : AttemptResult::Unknown;
    S.Ended.push_back({RequestSerial{E.getSerial()}, Result, E.getEvents()});
  }
  for (fleetwire::TargetPace::Reader P : R.getPaces()) {
    S.Paces.push_back({P.getTarget(), P.getEvents(), millis(P.getSpanMs())});
  }
  for (fleetwire::TargetNotice::Reader N : R.getNotices()) {
    TargetNotice Notice;
    Notice.Target = N.getTarget();
    if (N.getLeaving()) {
      Notice.SinceLeaving = millis(N.getSinceLeavingMs());
    }
    if (N.getPaused()) {
      Notice.PauseLeft = millis(N.getPauseLeftMs());
    }
    S.Notices.push_back(Notice);
  }
  for (fleetwire::TargetLoad::Reader L : R.getLoads()) {
    S.Loads.push_back({L.getTarget(), L.getUse(), L.getSlots(), L.getPercent(),
                       millis(L.getAgeMs())});
  }
  return S;
}

static PlacementReply readReply(fleetwire::PlaceReply::Reader R) {
  PlacementReply S;
  S.Host.Value = R.getHost();
  S.Run = R.getRun();
  S.Service.Value = R.getService();
  S.HolderRun = R.getHolderRun();
  S.Sequence = R.getSequence();
  for (fleetwire::Grant::Reader G : R.getGrants()) {
    S.Grants.push_back({RequestSerial{G.getSerial()}, G.getTarget(),
                        millis(G.getPredictedMs()), G.getRunning()});
  }
  for (fleetwire::Refusal::Reader F : R.getRefusals()) {
    RefusalReason Why = F.getWhy() < RefusalReasonCount
                            ? static_cast<RefusalReason>(F.getWhy())
                            : RefusalReason::Overload;
    S.Refusals.push_back(
        {RequestSerial{F.getSerial()}, Why, millis(F.getReturnMs())});
  }
  return S;
}

using NotesByVersion = std::map<SoftwareId, std::vector<StreamId>>;

static NotesByVersion groupNotes(const std::vector<StreamNote> &Notes,
                                 bool Guesses = false) {
  NotesByVersion Groups;
  size_t Count = std::min(Notes.size(), MaxStreamNotes);
  for (size_t I = 0; I < Count; ++I) {
    if (Notes[I].IsGuess == Guesses) {
      Groups[Notes[I].Software].push_back(Notes[I].Stream);
    }
  }
  return Groups;
}

static void writeNotes(const NotesByVersion &Groups,
                       capnp::List<fleetwire::StreamGroup>::Builder List) {
  unsigned I = 0;
  for (const auto &Group : Groups) {
    List[I].setSoftware(Group.first.Value);
    auto Streams =
        List[I].initStreams(static_cast<unsigned>(Group.second.size()));
    for (unsigned K = 0; K < Streams.size(); ++K) {
      Streams.set(K, Group.second[K].Value);
    }
    ++I;
  }
}

std::string encodeStreamNews(const StreamNews &News) {
  capnp::MallocMessageBuilder Message;
  fleetwire::StreamNews::Builder B =
      Message.initRoot<fleetwire::Datagram>().initStreams();
  B.setHost(News.Host.Value);
  B.setLongestLifeMs(wireMillis(News.LongestLife));
  NotesByVersion Notes = groupNotes(News.Notes);
  writeNotes(Notes, B.initNotes(static_cast<unsigned>(Notes.size())));
  NotesByVersion Answers = groupNotes(News.Answers);
  writeNotes(Answers, B.initAnswers(static_cast<unsigned>(Answers.size())));
  NotesByVersion Guesses = groupNotes(News.Answers, true);
  writeNotes(Guesses, B.initGuesses(static_cast<unsigned>(Guesses.size())));
  auto Asks = B.initAsks(wireCount(News.Asks.size(), MaxStreamNotes));
  for (unsigned I = 0; I < Asks.size(); ++I) {
    Asks[I].setStream(News.Asks[I].Stream.Value);
    Asks[I].setService(News.Asks[I].Service.Value);
  }
  return packMessage(Message);
}

static std::vector<StreamNote>
readNotes(capnp::List<fleetwire::StreamGroup>::Reader List,
          bool Guesses = false) {
  std::vector<StreamNote> Notes;
  for (fleetwire::StreamGroup::Reader Group : List) {
    for (uint32_t Stream : Group.getStreams()) {
      Notes.push_back(
          {StreamId{Stream}, SoftwareId{Group.getSoftware()}, Guesses});
    }
  }
  return Notes;
}

static StreamNews readStreamNews(fleetwire::StreamNews::Reader R) {
  StreamNews News;
  News.Host.Value = R.getHost();
  News.LongestLife = millis(R.getLongestLifeMs());
  News.Notes = readNotes(R.getNotes());
  News.Answers = readNotes(R.getAnswers());
  std::vector<StreamNote> Guesses = readNotes(R.getGuesses(), true);
  News.Answers.insert(News.Answers.end(), Guesses.begin(), Guesses.end());
  for (fleetwire::StreamAsk::Reader A : R.getAsks()) {
    News.Asks.push_back({StreamId{A.getStream()}, ServiceId{A.getService()}});
  }
  return News;
}

bool decodeFleetMessage(std::string_view Bytes, FleetMessage &Message) {
  try {
    kj::ArrayInputStream In(kj::ArrayPtr<const kj::byte>(
        reinterpret_cast<const kj::byte *>(Bytes.data()), Bytes.size()));
    capnp::ReaderOptions Options;
    Options.traversalLimitInWords = 64 * 1024;
    capnp::PackedMessageReader Reader(In, Options);
    fleetwire::Datagram::Reader R = Reader.getRoot<fleetwire::Datagram>();
    switch (R.which()) {
    case fleetwire::Datagram::STATE:
      Message = readState(R.getState());
      return true;
    case fleetwire::Datagram::BOOK:
      Message = readBook(R.getBook());
      return true;
    case fleetwire::Datagram::REPLY:
      Message = readReply(R.getReply());
      return true;
    case fleetwire::Datagram::STREAMS:
      Message = readStreamNews(R.getStreams());
      return true;
    }
    return false; // The message is of a kind that a later release sends.
  } catch (const kj::Exception &) {
    return false; // The caller counts and logs the failure.
  }
}

} // namespace shallotlatch
