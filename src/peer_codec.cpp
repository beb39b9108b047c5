#include "peer_codec_p.h"

#include "claim_codec_p.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>

namespace shallotlatch {

namespace {

using shallotlatch::decode;
using shallotlatch::encode;

void encode(wire::Ask::Builder B, const SlotRequest &A) {
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

SlotRequest decode(wire::Ask::Reader R) {
  SlotRequest A;
  A.Id.Value = R.getId();
  A.Pool.Value = R.getPool();
  A.Customer.Value = R.getCustomer();
  A.PromptTokens = R.getPromptTokens();
  A.OutputTokens = R.getOutputTokens();
  A.Slack = millis(R.getSlackMs());
  A.Tier = R.getTier();
  if (A.Tier >= SHALLOTLATCH_CONFIG_MAX_TIERS) {
    throw CodecError("tier rank " + std::to_string(A.Tier) +
                     " is out of range, expected less than " +
                     std::to_string(SHALLOTLATCH_CONFIG_MAX_TIERS));
  }
  auto List = R.getPrefixes();
  uint32_t Count = std::min<uint32_t>(List.size(), A.Prefix.Hashes.size());
  A.Prefix.DeepestStep = R.getPrefixStep();
  if (Count > 0 &&
      (A.Prefix.DeepestStep + 1u < Count || A.Prefix.DeepestStep > 8)) {
    throw CodecError(
        "prefix depth step " + std::to_string(A.Prefix.DeepestStep) +
        " is out of range, expected " + std::to_string(Count - 1) + " to 8");
  }
  A.Prefix.Count = static_cast<uint8_t>(Count);
  for (uint32_t I = 0; I < Count; ++I) {
    A.Prefix.Hashes[I] = List[I];
  }
  return A;
}

void encode(wire::Grant::Builder B, const Grant &G) {
  B.setId(G.Id.Value);
  B.setTarget(G.Target.Value);
}
Grant decode(wire::Grant::Reader R) {
  return Grant{AskId{R.getId()}, TargetId{R.getTarget()}};
}

void encode(wire::Refusal::Builder B, const Refusal &F) {
  B.setId(F.Id.Value);
  B.setRetryMs(toWireMs(F.RetryAfter));
  B.setWhy(static_cast<uint8_t>(F.Why));
}
Refusal decode(wire::Refusal::Reader R) {
  return Refusal{AskId{R.getId()}, checkedEnum(R.getWhy(), Reason::HostFull),
                 millis(R.getRetryMs())};
}

void encode(wire::Withdraw::Builder B, const Withdrawal &W) {
  B.setId(W.Id.Value);
}
Withdrawal decode(wire::Withdraw::Reader R) {
  return Withdrawal{AskId{R.getId()}};
}

void encode(wire::Release::Builder B, const Release &L) {
  B.setId(L.Id.Value);
  B.setFirstTokenMs(toWireMs(L.FirstToken));
  B.setTotalMs(toWireMs(L.Total));
  B.setOutputTokens(
      static_cast<uint16_t>(std::min<uint32_t>(L.OutputTokens, 65535)));
  B.setResult(static_cast<uint8_t>(L.Result));
}
Release decode(wire::Release::Reader R) {
  Release L;
  L.Id.Value = R.getId();
  L.Result = checkedEnum(R.getResult(), DispatchResult::Stopped);
  L.FirstToken = millis(R.getFirstTokenMs());
  L.Total = millis(R.getTotalMs());
  L.OutputTokens = R.getOutputTokens();
  return L;
}

void encode(wire::Started::Builder B, const FirstTokenNotice &S) {
  B.setId(S.Id.Value);
}
FirstTokenNotice decode(wire::Started::Reader R) {
  return FirstTokenNotice{AskId{R.getId()}};
}

void encode(wire::Progress::Builder B, const StreamProgress &P) {
  B.setPool(P.Pool.Value);
  B.setTarget(P.Target.Value);
  B.setTokens(P.Tokens);
  B.setStreamMs(toWireMs(P.StreamTime));
  B.setStalled(
      static_cast<uint16_t>(std::min<uint32_t>(P.StalledStreams, 65535)));
}
StreamProgress decode(wire::Progress::Reader R) {
  return StreamProgress{PoolId{R.getPool()}, TargetId{R.getTarget()},
                        R.getTokens(), millis(R.getStreamMs()), R.getStalled()};
}

void encode(wire::HoldList::Builder B, const EntryStateReport &L) {
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
EntryStateReport decode(wire::HoldList::Reader R) {
  EntryStateReport L;
  L.Pool.Value = R.getPool();
  L.Complete = R.getComplete();
  L.Waiting = R.getWaiting();
  L.InFlight = R.getInFlight();
  L.Digest = R.getDigest();
  for (uint64_t Packed : R.getHeld()) {
    L.Held.push_back(HeldGrant{AskId{static_cast<uint32_t>(Packed >> 32)},
                               TargetId{static_cast<uint32_t>(Packed)}});
  }
  return L;
}

void encode(wire::Heartbeat::Builder B, const Heartbeat &H) {
  B.setRun(H.Run.Value);
  B.setLeaving(H.Leaving);
  B.setConfigVersion(H.Versions[0].Value);
  B.setHostsVersion(H.Versions[1].Value);
  B.setDigest(H.Digest);
}
Heartbeat decode(wire::Heartbeat::Reader R) {
  Heartbeat H;
  H.Run.Value = R.getRun();
  H.Leaving = R.getLeaving();
  H.Versions = {Version{R.getConfigVersion()}, Version{R.getHostsVersion()}};
  H.Digest = R.getDigest();
  return H;
}

void encode(wire::Opinion::Builder B, const LivenessReport &O) {
  B.setSubject(O.Subject.Value);
  B.setSubjectRun(O.SubjectRun.Value);
  B.setMonitor(O.Monitor.Value);
  B.setVersion(O.Version);
  B.setSeen(static_cast<uint8_t>(O.Status));
}
LivenessReport decode(wire::Opinion::Reader R) {
  return LivenessReport{
      HostId{R.getSubject()}, Incarnation{R.getSubjectRun()},
      HostId{R.getMonitor()}, R.getVersion(),
      checkedEnum(R.getSeen(), LivenessReport::State::Leaving)};
}

void encode(wire::CrashCount::Builder B, const CrashCount &C) {
  B.setPrint(C.Print.Value);
  B.setHost(C.Host.Value);
  B.setEpoch(C.Epoch);
  B.setHalves(C.Halves);
}
CrashCount decode(wire::CrashCount::Reader R) {
  return CrashCount{Fingerprint{R.getPrint()}, HostId{R.getHost()},
                    R.getEpoch(), R.getHalves()};
}

void encode(wire::TargetNote::Builder B, const TargetStatusUpdate &N) {
  B.setTarget(N.Target.Value);
  B.setVersion(N.Version);
  B.setLeaving(N.Leaving);
}
TargetStatusUpdate decode(wire::TargetNote::Reader R) {
  return TargetStatusUpdate{TargetId{R.getTarget()}, R.getVersion(),
                            R.getLeaving()};
}

// Expected waits grow with the tier's rank, so equal values at the end of the
// list are left out; the decoder repeats the last value.
void encode(wire::PoolLoad::Builder B, const PoolLoad &L) {
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
PoolLoad decode(wire::PoolLoad::Reader R) {
  PoolLoad L;
  L.Pool.Value = R.getPool();
  L.FreeSlots = R.getFreeSlots();
  auto List = R.getWaitMs();
  for (uint32_t I = 0; I < L.WaitMs.size() && List.size() > 0; ++I) {
    L.WaitMs[I] = List[std::min<uint32_t>(I, List.size() - 1)];
  }
  return L;
}

void encode(wire::DocumentWant::Builder B, const DocumentRequest &W) {
  B.setWhat(static_cast<uint8_t>(W.Kind));
  B.setHave(W.HeldVersion.Value);
}
DocumentRequest decode(wire::DocumentWant::Reader R) {
  return DocumentRequest{checkedEnum(R.getWhat(), DocumentKind::Hosts),
                         Version{R.getHave()}};
}

void encode(wire::DocumentBody::Builder B, const DocumentUpdate &D) {
  B.setWhat(static_cast<uint8_t>(D.Kind));
  B.setBase(D.Base.Value);
  B.setNumber(D.Number.Value);
  B.setHash(D.Hash);
  B.setText(dataOf(D.Text));
}
DocumentUpdate decode(wire::DocumentBody::Reader R) {
  return DocumentUpdate{checkedEnum(R.getWhat(), DocumentKind::Hosts),
                        Version{R.getBase()}, Version{R.getNumber()},
                        R.getHash(), textOf(R.getText())};
}

void encode(wire::LimitAsk::Builder B, const LimitRequest &A) {
  B.setCustomer(A.Customer.Value);
  B.setWanted(A.Wanted);
  B.setInFlight(A.InFlight);
}
LimitRequest decode(wire::LimitAsk::Reader R) {
  return LimitRequest{CustomerId{R.getCustomer()}, R.getWanted(),
                      R.getInFlight()};
}

void encode(wire::LimitGrant::Builder B, const LimitGrant &G) {
  B.setCustomer(G.Customer.Value);
  B.setTokens(G.Tokens);
  B.setConcurrency(G.Concurrency);
}
LimitGrant decode(wire::LimitGrant::Reader R) {
  return LimitGrant{CustomerId{R.getCustomer()}, R.getTokens(),
                    R.getConcurrency()};
}

/// Encodes \p Items into the list that \p Init creates; does not call \p Init
/// if there are no items.
template <typename Item, typename InitList>
void encodeList(const std::vector<Item> &Items, InitList Init) {
  if (Items.empty()) {
    return;
  }
  auto List = Init(static_cast<uint32_t>(Items.size()));
  for (uint32_t I = 0; I < Items.size(); ++I) {
    encode(List[I], Items[I]);
  }
}

template <typename Item, typename List>
void decodeList(List From, std::vector<Item> &To) {
  for (auto Element : From) {
    To.push_back(decode(Element));
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
  encodeList(In.SlotRequests, [&](uint32_t N) { return B.initAsks(N); });
  encodeList(In.Grants, [&](uint32_t N) { return B.initGrants(N); });
  encodeList(In.Refusals, [&](uint32_t N) { return B.initRefusals(N); });
  encodeList(In.Withdrawals, [&](uint32_t N) { return B.initWithdrawals(N); });
  encodeList(In.Releases, [&](uint32_t N) { return B.initReleases(N); });
  encodeList(In.FirstTokenNotices, [&](uint32_t N) { return B.initStarts(N); });
  encodeList(In.StreamProgressReports,
             [&](uint32_t N) { return B.initProgresses(N); });
  encodeList(In.EntryStateReports,
             [&](uint32_t N) { return B.initHoldLists(N); });
  if (!In.ResendRequests.empty()) {
    auto List =
        B.initAskAgains(static_cast<uint32_t>(In.ResendRequests.size()));
    for (uint32_t I = 0; I < In.ResendRequests.size(); ++I) {
      List.set(I, In.ResendRequests[I].Pool.Value);
    }
  }
  encodeList(In.Claims, [&](uint32_t N) { return B.initClaims(N); });
  encodeList(In.ClaimReplies,
             [&](uint32_t N) { return B.initClaimReplies(N); });
  encodeList(In.ClaimCompletions, [&](uint32_t N) { return B.initSettles(N); });
  encodeList(In.OutcomeRequests, [&](uint32_t N) { return B.initJoins(N); });
  encodeList(In.OutcomeReplies,
             [&](uint32_t N) { return B.initJoinReplies(N); });
  encodeList(In.Heartbeats, [&](uint32_t N) { return B.initHeartbeats(N); });
  encodeList(In.LivenessReports, [&](uint32_t N) { return B.initOpinions(N); });
  encodeList(In.CrashCounts, [&](uint32_t N) { return B.initCrashCounts(N); });
  encodeList(In.TargetStatusUpdates,
             [&](uint32_t N) { return B.initTargetNotes(N); });
  encodeList(In.PoolLoads, [&](uint32_t N) { return B.initPoolLoads(N); });
  encodeList(In.DocumentRequests,
             [&](uint32_t N) { return B.initDocumentWants(N); });
  encodeList(In.DocumentUpdates,
             [&](uint32_t N) { return B.initDocumentBodies(N); });
  encodeList(In.LimitRequests, [&](uint32_t N) { return B.initLimitAsks(N); });
  encodeList(In.LimitGrants, [&](uint32_t N) { return B.initLimitGrants(N); });
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

static PeerBatch decodeBatch(wire::PeerBatch::Reader R) {
  PeerBatch Out;
  decodeList(R.getAsks(), Out.SlotRequests);
  decodeList(R.getGrants(), Out.Grants);
  decodeList(R.getRefusals(), Out.Refusals);
  decodeList(R.getWithdrawals(), Out.Withdrawals);
  decodeList(R.getReleases(), Out.Releases);
  decodeList(R.getStarts(), Out.FirstTokenNotices);
  decodeList(R.getProgresses(), Out.StreamProgressReports);
  decodeList(R.getHoldLists(), Out.EntryStateReports);
  for (uint32_t Pool : R.getAskAgains()) {
    Out.ResendRequests.push_back(ResendRequest{PoolId{Pool}});
  }
  decodeList(R.getClaims(), Out.Claims);
  decodeList(R.getClaimReplies(), Out.ClaimReplies);
  decodeList(R.getSettles(), Out.ClaimCompletions);
  decodeList(R.getJoins(), Out.OutcomeRequests);
  decodeList(R.getJoinReplies(), Out.OutcomeReplies);
  decodeList(R.getHeartbeats(), Out.Heartbeats);
  decodeList(R.getOpinions(), Out.LivenessReports);
  decodeList(R.getCrashCounts(), Out.CrashCounts);
  decodeList(R.getTargetNotes(), Out.TargetStatusUpdates);
  decodeList(R.getPoolLoads(), Out.PoolLoads);
  decodeList(R.getDocumentWants(), Out.DocumentRequests);
  decodeList(R.getDocumentBodies(), Out.DocumentUpdates);
  decodeList(R.getLimitAsks(), Out.LimitRequests);
  decodeList(R.getLimitGrants(), Out.LimitGrants);
  return Out;
}

static Hello decodeHello(wire::Hello::Reader R) {
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
      return decodeHello(Root.getHello());
    }
    return decodeBatch(Root.getBatch());
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
                     " bytes exceeds the limit of " +
                     std::to_string(MaxFrameBytes) + " bytes");
  }
  return Length;
}

} // namespace shallotlatch
