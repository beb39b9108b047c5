// Messages between hosts as Cap'n Proto datagrams.
#include "fleet_codec_p.h"

#include "fleet.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>

namespace shallotlatch {

static constexpr size_t MaxTargets = 400;
static constexpr size_t MaxCustomers = 64;
static constexpr size_t MaxCrashes = 16;
static constexpr size_t MaxDeparting = 256;
// Of one service on one host; a host of the usual size holds some dozens.
static constexpr size_t MaxWaiting = 200;
static constexpr size_t MaxHeld = 600;

static std::string pack(capnp::MessageBuilder &Message) {
  kj::VectorOutputStream Out;
  capnp::writePackedMessage(Out, Message);
  auto Bytes = Out.getArray();
  return std::string(reinterpret_cast<const char *>(Bytes.begin()),
                     Bytes.size());
}

static uint32_t wireMillis(Duration D) {
  return static_cast<uint32_t>(std::clamp<int64_t>(toMillis(D), 0, UINT32_MAX));
}

static unsigned wireCount(size_t Count, size_t Most) {
  return static_cast<unsigned>(std::min(Count, Most));
}

bool echoIsOwn(const FleetState &State, uint64_t OwnRun, Time Now) {
  return State.Echo != Time() && State.EchoRun == OwnRun && State.Echo <= Now;
}

std::string encodeHostState(const FleetState &S) {
  capnp::MallocMessageBuilder Message;
  fleetwire::FleetState::Builder B =
      Message.initRoot<fleetwire::Datagram>().initState();
  B.setHost(S.Host.Value);
  B.setRun(S.Run);
  B.setSequence(S.Sequence);
  B.setLeaving(S.Leaving);
  B.setConfigRevision(S.ConfigRevision);
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
  unsigned Customers =
      static_cast<unsigned>(std::min(S.Customers.size(), MaxCustomers));
  auto CustomerList = B.initCustomers(Customers);
  for (unsigned I = 0; I < Customers; ++I) {
    CustomerList[I].setCustomer(S.Customers[I].Customer.Value);
    CustomerList[I].setAdmitted(S.Customers[I].Admitted);
  }
  unsigned Crashes =
      static_cast<unsigned>(std::min(S.Crashes.size(), MaxCrashes));
  auto CrashList = B.initCrashes(Crashes);
  for (unsigned I = 0; I < Crashes; ++I) {
    CrashList[I].setFingerprint(S.Crashes[I].Print.Value);
    CrashList[I].setCount(
        static_cast<uint8_t>(std::min(S.Crashes[I].Count, 255U)));
  }
  unsigned Departing = wireCount(S.Departing.size(), MaxDeparting);
  auto DepartingList = B.initDeparting(Departing);
  for (unsigned I = 0; I < Departing; ++I) {
    DepartingList.set(I, S.Departing[I]);
  }
  return pack(Message);
}

std::string encodePlaceBook(const PlaceBook &S) {
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
    const WaitingAsk &Ask = S.Waiting[I];
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
  }
  return pack(Message);
}

std::string encodePlaceReply(const PlaceReply &S) {
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
  return pack(Message);
}

static FleetState readState(fleetwire::FleetState::Reader R) {
  FleetState S;
  S.Host.Value = R.getHost();
  S.Run = R.getRun();
  S.Sequence = R.getSequence();
  S.Leaving = R.getLeaving();
  S.ConfigRevision = R.getConfigRevision();
  S.Stamp = Time(Duration(static_cast<int64_t>(R.getStamp())));
  S.Echo = Time(Duration(static_cast<int64_t>(R.getEcho())));
  S.EchoRun = R.getEchoRun();
  for (fleetwire::TargetUse::Reader T : R.getTargets()) {
    S.Targets.push_back({T.getTarget(), T.getRunning(), T.getPromptTokens()});
  }
  for (fleetwire::CustomerUse::Reader C : R.getCustomers()) {
    S.Customers.push_back({CustomerId{C.getCustomer()}, C.getAdmitted()});
  }
  for (fleetwire::CrashTally::Reader C : R.getCrashes()) {
    S.Crashes.push_back({Fingerprint{C.getFingerprint()}, C.getCount()});
  }
  for (uint32_t Run : R.getDeparting()) {
    S.Departing.push_back(Run);
  }
  return S;
}

static PlaceBook readBook(fleetwire::PlaceBook::Reader R) {
  PlaceBook S;
  S.Host.Value = R.getHost();
  S.Run = R.getRun();
  S.Sequence = R.getSequence();
  S.Service.Value = R.getService();
  for (fleetwire::WaitingAsk::Reader W : R.getWaiting()) {
    WaitingAsk Ask;
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
    for (uint32_t Instance : W.getTried()) {
      Ask.Tried.push_back(Instance);
    }
    S.Waiting.push_back(std::move(Ask));
  }
  for (fleetwire::HeldRun::Reader H : R.getHeld()) {
    HeldRun Run;
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
    S.Ended.push_back({RequestSerial{E.getSerial()}, Result});
  }
  return S;
}

static PlaceReply readReply(fleetwire::PlaceReply::Reader R) {
  PlaceReply S;
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
    }
    return false; // A kind that a later release sends.
  } catch (const kj::Exception &) {
    return false; // Counted and logged by the caller.
  }
}

} // namespace shallotlatch
