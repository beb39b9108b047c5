#include "peer_codec_p.h"

#include "peer.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>

namespace shallotlatch {

template <typename T> static uint32_t toWireMs(T D) {
  int64_t Ms = std::max<int64_t>(0, toMillis(D));
  return static_cast<uint32_t>(std::min<int64_t>(Ms, UINT32_MAX));
}

// Enumerations arrive as bytes; one out of range is a broken message.
template <typename Enum> static Enum checkedEnum(uint8_t Value, Enum Last) {
  if (Value > static_cast<uint8_t>(Last)) {
    throw CodecError("enumeration value " + std::to_string(Value) +
                     " is out of range");
  }
  return static_cast<Enum>(Value);
}

namespace {

void put(wire::Ask::Builder B, const Ask &A) {
  B.setId(A.Id.Value);
  B.setPool(A.Pool.Value);
  B.setCustomer(A.Customer.Value);
  B.setPromptTokens(A.PromptTokens);
  B.setOutputTokens(A.OutputTokens);
  B.setSlackMs(toWireMs(A.Slack));
  B.setTier(A.Tier);
  B.setPrefixStep(A.Prefix.DeepestStep);
  auto List = B.initPrefixes(A.Prefix.Count);
  for (uint32_t I = 0; I < A.Prefix.Count; ++I) {
    List.set(I, A.Prefix.Hashes[I]);
  }
}

Ask get(wire::Ask::Reader R) {
  Ask A;
  A.Id.Value = R.getId();
  A.Pool.Value = R.getPool();
  A.Customer.Value = R.getCustomer();
  A.PromptTokens = R.getPromptTokens();
  A.OutputTokens = R.getOutputTokens();
  A.Slack = millis(R.getSlackMs());
  A.Tier = R.getTier();
  if (A.Tier >= SHALLOTLATCH_CONFIG_MAX_TIERS) {
    throw CodecError("tier rank is out of range");
  }
  auto List = R.getPrefixes();
  uint32_t Count = std::min<uint32_t>(List.size(), A.Prefix.Hashes.size());
  A.Prefix.DeepestStep = R.getPrefixStep();
  if (Count > 0 &&
      (A.Prefix.DeepestStep + 1u < Count || A.Prefix.DeepestStep > 8)) {
    throw CodecError("prefix depth is out of range");
  }
  A.Prefix.Count = static_cast<uint8_t>(Count);
  for (uint32_t I = 0; I < Count; ++I) {
    A.Prefix.Hashes[I] = List[I];
  }
  return A;
}

void put(wire::Grant::Builder B, const Grant &G) {
  B.setId(G.Id.Value);
  B.setTarget(G.Target.Value);
}
Grant get(wire::Grant::Reader R) {
  return Grant{AskId{R.getId()}, TargetId{R.getTarget()}};
}

void put(wire::Refusal::Builder B, const Refusal &F) {
  B.setId(F.Id.Value);
  B.setRetryMs(toWireMs(F.RetryAfter));
  B.setWhy(static_cast<uint8_t>(F.Why));
}
Refusal get(wire::Refusal::Reader R) {
  return Refusal{AskId{R.getId()}, checkedEnum(R.getWhy(), Reason::HostFull),
                 millis(R.getRetryMs())};
}

void put(wire::Withdraw::Builder B, const Withdraw &W) { B.setId(W.Id.Value); }
Withdraw get(wire::Withdraw::Reader R) { return Withdraw{AskId{R.getId()}}; }

void put(wire::Release::Builder B, const Release &L) {
  B.setId(L.Id.Value);
  B.setFirstTokenMs(toWireMs(L.FirstToken));
  B.setTotalMs(toWireMs(L.Total));
  B.setOutputTokens(
      static_cast<uint16_t>(std::min<uint32_t>(L.OutputTokens, 65535)));
  B.setResult(static_cast<uint8_t>(L.Result));
}
Release get(wire::Release::Reader R) {
  Release L;
  L.Id.Value = R.getId();
  L.Result = checkedEnum(R.getResult(), DispatchResult::Stopped);
  L.FirstToken = millis(R.getFirstTokenMs());
  L.Total = millis(R.getTotalMs());
  L.OutputTokens = R.getOutputTokens();
  return L;
}

void put(wire::Started::Builder B, const Started &S) { B.setId(S.Id.Value); }
Started get(wire::Started::Reader R) { return Started{AskId{R.getId()}}; }

void put(wire::Progress::Builder B, const Progress &P) {
  B.setPool(P.Pool.Value);
  B.setTarget(P.Target.Value);
  B.setTokens(P.Tokens);
  B.setStreamMs(toWireMs(P.StreamTime));
  B.setStalled(
      static_cast<uint16_t>(std::min<uint32_t>(P.StalledStreams, 65535)));
}
Progress get(wire::Progress::Reader R) {
  return Progress{PoolId{R.getPool()}, TargetId{R.getTarget()}, R.getTokens(),
                  millis(R.getStreamMs()), R.getStalled()};
}

void put(wire::HoldList::Builder B, const HoldList &L) {
  B.setPool(L.Pool.Value);
  B.setComplete(L.Complete);
  B.setWaiting(L.Waiting);
  B.setInFlight(L.InFlight);
  B.setDigest(L.Digest);
  auto List = B.initHeld(static_cast<uint32_t>(L.Held.size()));
  for (uint32_t I = 0; I < L.Held.size(); ++I) {
    List.set(I, (uint64_t(L.Held[I].Id.Value) << 32) | L.Held[I].Target.Value);
  }
}
HoldList get(wire::HoldList::Reader R) {
  HoldList L;
  L.Pool.Value = R.getPool();
  L.Complete = R.getComplete();
  L.Waiting = R.getWaiting();
  L.InFlight = R.getInFlight();
  L.Digest = R.getDigest();
  for (uint64_t Both : R.getHeld()) {
    L.Held.push_back(HeldGrant{AskId{static_cast<uint32_t>(Both >> 32)},
                               TargetId{static_cast<uint32_t>(Both)}});
  }
  return L;
}

void put(wire::Key::Builder B, const IdempotencyKey &K) {
  B.setHigh(K.High);
  B.setLow(K.Low);
  B.setDateMs(K.Date.Value);
}
IdempotencyKey get(wire::Key::Reader R) {
  return IdempotencyKey{R.getHigh(), R.getLow(), WallMillis{R.getDateMs()}};
}

void put(wire::Claimant::Builder B, const Claimant &C) {
  B.setHost(C.Host.Value);
  B.setRun(C.Run.Value);
  B.setSubmission(C.Submission.Value);
  B.setRun(C.Run.Value);
}
Claimant get(wire::Claimant::Reader R) {
  return Claimant{HostId{R.getHost()}, Incarnation{R.getRun()},
                  AskId{R.getSubmission()}};
}

void put(wire::Claim::Builder B, const Claim &C) {
  put(B.initKey(), C.Key);
  B.setBodyHash(C.BodyHash);
  put(B.initOwner(), C.Owner);
}
Claim get(wire::Claim::Reader R) {
  return Claim{get(R.getKey()), R.getBodyHash(), get(R.getOwner())};
}

void put(wire::ClaimReply::Builder B, const ClaimReply &C) {
  B.setSubmission(C.Submission.Value);
  B.setRun(C.Run.Value);
  B.setResult(static_cast<uint8_t>(C.Result));
  B.setEnded(C.Ended);
  B.setEndedAs(static_cast<uint8_t>(C.EndedAs));
  if (C.Result == ClaimResult::Taken) {
    put(B.initHolder(), C.Holder);
  }
}
ClaimReply get(wire::ClaimReply::Reader R) {
  ClaimReply C;
  C.Submission.Value = R.getSubmission();
  C.Run.Value = R.getRun();
  C.Result = checkedEnum(R.getResult(), ClaimResult::TooNew);
  C.Ended = R.getEnded();
  C.EndedAs = checkedEnum(R.getEndedAs(), Outcome::MayHaveRun);
  C.Holder = get(R.getHolder());
  return C;
}

void put(wire::Settle::Builder B, const Settle &S) {
  put(B.initKey(), S.Key);
  put(B.initOwner(), S.Owner);
  B.setResult(static_cast<uint8_t>(S.Result));
}
Settle get(wire::Settle::Reader R) {
  return Settle{get(R.getKey()), get(R.getOwner()),
                checkedEnum(R.getResult(), Outcome::MayHaveRun)};
}

void put(wire::Join::Builder B, const Join &J) {
  B.setSubmission(J.Submission.Value);
  B.setRun(J.Run.Value);
  put(B.initHolder(), J.Holder);
}
Join get(wire::Join::Reader R) {
  return Join{AskId{R.getSubmission()}, Incarnation{R.getRun()},
              get(R.getHolder())};
}

capnp::Data::Reader dataOf(const std::string &Text) {
  return capnp::Data::Reader(reinterpret_cast<const kj::byte *>(Text.data()),
                             Text.size());
}
std::string textOf(capnp::Data::Reader D) {
  return std::string(reinterpret_cast<const char *>(D.begin()), D.size());
}
std::string textOf(capnp::Text::Reader T) {
  return std::string(T.cStr(), T.size());
}

void put(wire::JoinReply::Builder B, const JoinReply &J) {
  B.setSubmission(J.Submission.Value);
  B.setRun(J.Run.Value);
  B.setKnown(J.Known);
  B.setOutcome(static_cast<uint8_t>(J.End.Result));
  B.setWhy(static_cast<uint8_t>(J.End.Why));
  B.setRetryMs(toWireMs(J.End.RetryAfter));
  B.setAnswer(dataOf(J.Answer));
}
JoinReply get(wire::JoinReply::Reader R) {
  JoinReply J;
  J.Submission.Value = R.getSubmission();
  J.Run.Value = R.getRun();
  J.Known = R.getKnown();
  J.End.Result = checkedEnum(R.getOutcome(), Outcome::MayHaveRun);
  J.End.Why = checkedEnum(R.getWhy(), Reason::HostFull);
  J.End.RetryAfter = millis(R.getRetryMs());
  J.Answer = textOf(R.getAnswer());
  return J;
}

void put(wire::Heartbeat::Builder B, const Heartbeat &H) {
  B.setRun(H.Run.Value);
  B.setLeaving(H.Leaving);
  B.setConfigVersion(H.Versions[0].Value);
  B.setHostsVersion(H.Versions[1].Value);
  B.setDigest(H.Digest);
}
Heartbeat get(wire::Heartbeat::Reader R) {
  Heartbeat H;
  H.Run.Value = R.getRun();
  H.Leaving = R.getLeaving();
  H.Versions = {Version{R.getConfigVersion()}, Version{R.getHostsVersion()}};
  H.Digest = R.getDigest();
  return H;
}

void put(wire::Opinion::Builder B, const Opinion &O) {
  B.setSubject(O.Subject.Value);
  B.setSubjectRun(O.SubjectRun.Value);
  B.setMonitor(O.Monitor.Value);
  B.setVersion(O.Version);
  B.setSeen(static_cast<uint8_t>(O.Status));
}
Opinion get(wire::Opinion::Reader R) {
  return Opinion{HostId{R.getSubject()}, Incarnation{R.getSubjectRun()},
                 HostId{R.getMonitor()}, R.getVersion(),
                 checkedEnum(R.getSeen(), Opinion::State::Leaving)};
}

void put(wire::CrashCount::Builder B, const CrashCount &C) {
  B.setPrint(C.Print.Value);
  B.setHost(C.Host.Value);
  B.setEpoch(C.Epoch);
  B.setHalves(C.Halves);
}
CrashCount get(wire::CrashCount::Reader R) {
  return CrashCount{Fingerprint{R.getPrint()}, HostId{R.getHost()},
                    R.getEpoch(), R.getHalves()};
}

void put(wire::TargetNote::Builder B, const TargetNote &N) {
  B.setTarget(N.Target.Value);
  B.setVersion(N.Version);
  B.setLeaving(N.Leaving);
}
TargetNote get(wire::TargetNote::Reader R) {
  return TargetNote{TargetId{R.getTarget()}, R.getVersion(), R.getLeaving()};
}

// Waits grow with the rank, so the equal ones at the end are left out.
void put(wire::PoolLoad::Builder B, const PoolLoad &L) {
  B.setPool(L.Pool.Value);
  B.setFreeSlots(L.FreeSlots);
  uint32_t Count = static_cast<uint32_t>(L.WaitMs.size());
  while (Count > 1 && L.WaitMs[Count - 1] == L.WaitMs[Count - 2]) {
    --Count;
  }
  auto List = B.initWaitMs(Count);
  for (uint32_t I = 0; I < Count; ++I) {
    List.set(I, L.WaitMs[I]);
  }
}
PoolLoad get(wire::PoolLoad::Reader R) {
  PoolLoad L;
  L.Pool.Value = R.getPool();
  L.FreeSlots = R.getFreeSlots();
  auto List = R.getWaitMs();
  for (uint32_t I = 0; I < L.WaitMs.size() && List.size() > 0; ++I) {
    L.WaitMs[I] = List[std::min<uint32_t>(I, List.size() - 1)];
  }
  return L;
}

void put(wire::DocumentWant::Builder B, const DocumentWant &W) {
  B.setWhat(static_cast<uint8_t>(W.Kind));
  B.setHave(W.HeldVersion.Value);
}
DocumentWant get(wire::DocumentWant::Reader R) {
  return DocumentWant{checkedEnum(R.getWhat(), DocumentKind::Hosts),
                      Version{R.getHave()}};
}

void put(wire::DocumentBody::Builder B, const DocumentBody &D) {
  B.setWhat(static_cast<uint8_t>(D.Kind));
  B.setBase(D.Base.Value);
  B.setNumber(D.Number.Value);
  B.setHash(D.Hash);
  B.setText(dataOf(D.Text));
}
DocumentBody get(wire::DocumentBody::Reader R) {
  return DocumentBody{checkedEnum(R.getWhat(), DocumentKind::Hosts),
                      Version{R.getBase()}, Version{R.getNumber()}, R.getHash(),
                      textOf(R.getText())};
}

void put(wire::LimitAsk::Builder B, const LimitAsk &A) {
  B.setCustomer(A.Customer.Value);
  B.setWanted(A.Wanted);
  B.setInFlight(A.InFlight);
}
LimitAsk get(wire::LimitAsk::Reader R) {
  return LimitAsk{CustomerId{R.getCustomer()}, R.getWanted(), R.getInFlight()};
}

void put(wire::LimitGrant::Builder B, const LimitGrant &G) {
  B.setCustomer(G.Customer.Value);
  B.setTokens(G.Tokens);
  B.setConcurrency(G.Concurrency);
}
LimitGrant get(wire::LimitGrant::Reader R) {
  return LimitGrant{CustomerId{R.getCustomer()}, R.getTokens(),
                    R.getConcurrency()};
}

/// Fills a list through \p Init, which is not called for an empty one.
template <typename Item, typename InitList>
void putList(const std::vector<Item> &Items, InitList Init) {
  if (Items.empty()) {
    return;
  }
  auto List = Init(static_cast<uint32_t>(Items.size()));
  for (uint32_t I = 0; I < Items.size(); ++I) {
    put(List[I], Items[I]);
  }
}

template <typename Item, typename List>
void getList(List From, std::vector<Item> &To) {
  for (auto One : From) {
    To.push_back(get(One));
  }
}

std::string packFrame(capnp::MallocMessageBuilder &Message) {
  kj::VectorOutputStream Out;
  capnp::writePackedMessage(Out, Message);
  auto Bytes = Out.getArray();
  uint32_t Length = static_cast<uint32_t>(Bytes.size());
  std::string Frame;
  Frame.reserve(Length + FrameHeaderBytes);
  for (size_t I = 0; I < FrameHeaderBytes; ++I) {
    Frame += static_cast<char>((Length >> (8 * I)) & 255);
  }
  Frame.append(reinterpret_cast<const char *>(Bytes.begin()), Length);
  return Frame;
}

} // namespace

std::string encodeFrame(const PeerBatch &In) {
  capnp::MallocMessageBuilder Message;
  wire::PeerBatch::Builder B = Message.initRoot<wire::Frame>().initBatch();
  putList(In.SlotRequests, [&](uint32_t N) { return B.initAsks(N); });
  putList(In.Grants, [&](uint32_t N) { return B.initGrants(N); });
  putList(In.Refusals, [&](uint32_t N) { return B.initRefusals(N); });
  putList(In.Withdrawals, [&](uint32_t N) { return B.initWithdrawals(N); });
  putList(In.Releases, [&](uint32_t N) { return B.initReleases(N); });
  putList(In.FirstTokenNotices, [&](uint32_t N) { return B.initStarts(N); });
  putList(In.StreamProgressReports,
          [&](uint32_t N) { return B.initProgresses(N); });
  putList(In.EntryStateReports, [&](uint32_t N) { return B.initHoldLists(N); });
  if (!In.ResendRequests.empty()) {
    auto List =
        B.initAskAgains(static_cast<uint32_t>(In.ResendRequests.size()));
    for (uint32_t I = 0; I < In.ResendRequests.size(); ++I) {
      List.set(I, In.ResendRequests[I].Pool.Value);
    }
  }
  putList(In.Claims, [&](uint32_t N) { return B.initClaims(N); });
  putList(In.ClaimReplies, [&](uint32_t N) { return B.initClaimReplies(N); });
  putList(In.ClaimCompletions, [&](uint32_t N) { return B.initSettles(N); });
  putList(In.OutcomeRequests, [&](uint32_t N) { return B.initJoins(N); });
  putList(In.OutcomeReplies, [&](uint32_t N) { return B.initJoinReplies(N); });
  putList(In.Heartbeats, [&](uint32_t N) { return B.initHeartbeats(N); });
  putList(In.LivenessReports, [&](uint32_t N) { return B.initOpinions(N); });
  putList(In.CrashCounts, [&](uint32_t N) { return B.initCrashCounts(N); });
  putList(In.TargetStatusUpdates,
          [&](uint32_t N) { return B.initTargetNotes(N); });
  putList(In.PoolLoads, [&](uint32_t N) { return B.initPoolLoads(N); });
  putList(In.DocumentRequests,
          [&](uint32_t N) { return B.initDocumentWants(N); });
  putList(In.DocumentUpdates,
          [&](uint32_t N) { return B.initDocumentBodies(N); });
  putList(In.LimitRequests, [&](uint32_t N) { return B.initLimitAsks(N); });
  putList(In.LimitGrants, [&](uint32_t N) { return B.initLimitGrants(N); });
  return packFrame(Message);
}

std::string encodeFrame(const Hello &H) {
  capnp::MallocMessageBuilder Message;
  wire::Hello::Builder B = Message.initRoot<wire::Frame>().initHello();
  B.setHost(H.Host);
  B.setRegion(H.Region);
  B.setDomain(H.Domain);
  B.setRun(H.Run.Value);
  B.setNonce(H.Nonce);
  B.setProof(dataOf(H.Proof));
  return packFrame(Message);
}

static PeerBatch getBatch(wire::PeerBatch::Reader R) {
  PeerBatch Out;
  getList(R.getAsks(), Out.SlotRequests);
  getList(R.getGrants(), Out.Grants);
  getList(R.getRefusals(), Out.Refusals);
  getList(R.getWithdrawals(), Out.Withdrawals);
  getList(R.getReleases(), Out.Releases);
  getList(R.getStarts(), Out.FirstTokenNotices);
  getList(R.getProgresses(), Out.StreamProgressReports);
  getList(R.getHoldLists(), Out.EntryStateReports);
  for (uint32_t Pool : R.getAskAgains()) {
    Out.ResendRequests.push_back(ResendRequest{PoolId{Pool}});
  }
  getList(R.getClaims(), Out.Claims);
  getList(R.getClaimReplies(), Out.ClaimReplies);
  getList(R.getSettles(), Out.ClaimCompletions);
  getList(R.getJoins(), Out.OutcomeRequests);
  getList(R.getJoinReplies(), Out.OutcomeReplies);
  getList(R.getHeartbeats(), Out.Heartbeats);
  getList(R.getOpinions(), Out.LivenessReports);
  getList(R.getCrashCounts(), Out.CrashCounts);
  getList(R.getTargetNotes(), Out.TargetStatusUpdates);
  getList(R.getPoolLoads(), Out.PoolLoads);
  getList(R.getDocumentWants(), Out.DocumentRequests);
  getList(R.getDocumentBodies(), Out.DocumentUpdates);
  getList(R.getLimitAsks(), Out.LimitRequests);
  getList(R.getLimitGrants(), Out.LimitGrants);
  return Out;
}

static Hello getHello(wire::Hello::Reader R) {
  Hello H;
  H.Host = textOf(R.getHost());
  H.Region = textOf(R.getRegion());
  H.Domain = textOf(R.getDomain());
  H.Run.Value = R.getRun();
  H.Nonce = R.getNonce();
  H.Proof = textOf(R.getProof());
  return H;
}

PeerFrame decodeFrame(std::string_view Bytes) {
  try {
    kj::ArrayInputStream In(kj::arrayPtr(
        reinterpret_cast<const kj::byte *>(Bytes.data()), Bytes.size()));
    capnp::ReaderOptions Options;
    Options.traversalLimitInWords = MaxFrameBytes;
    capnp::PackedMessageReader Message(In, Options);
    wire::Frame::Reader Root = Message.getRoot<wire::Frame>();
    if (Root.isHello()) {
      return getHello(Root.getHello());
    }
    return getBatch(Root.getBatch());
  } catch (const kj::Exception &E) {
    throw CodecError(E.getDescription().cStr());
  }
}

size_t frameLength(const unsigned char Header[FrameHeaderBytes]) {
  size_t Length = 0;
  for (size_t I = 0; I < FrameHeaderBytes; ++I) {
    Length |= static_cast<size_t>(Header[I]) << (8 * I);
  }
  if (Length > MaxFrameBytes) {
    throw CodecError("frame of " + std::to_string(Length) +
                     " bytes is above the limit");
  }
  return Length;
}

} // namespace shallotlatch
