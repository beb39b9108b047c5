// Tests of the encoding and decoding of messages between hosts.
#include "fleet_fake.h"
#include "peer_codec_p.h"

#include <CppUTest/TestHarness.h>

using namespace shallotlatch;

TEST_GROUP(PeerCodec){static PeerBatch roundTrip(const PeerBatch &In){
    std::string Frame = encodeFrame(In);
return std::get<PeerBatch>(
    decodeFrame(std::string_view(Frame).substr(FrameHeaderBytes)));
}
}
;

TEST(PeerCodec, keepsAnAskWhole) {
  PeerBatch In;
  SlotRequest A;
  A.Id = AskId{7};
  A.Pool = poolId("north", "engines");
  A.Customer = customerId("small");
  A.Tier = 2;
  A.PromptTokens = 4000;
  A.OutputTokens = 60;
  A.Slack = millis(1234);
  A.Prefix = hashPrefixes(std::string(9000, 'x'));
  In.SlotRequests.push_back(A);
  SlotRequest B = roundTrip(In).SlotRequests.at(0);
  CHECK(A.Id == B.Id && A.Pool == B.Pool && A.Customer == B.Customer);
  LONGS_EQUAL(A.Tier, B.Tier);
  LONGS_EQUAL(1234, toMillis(B.Slack));
  LONGS_EQUAL(A.Prefix.Count, B.Prefix.Count);
  CHECK(A.Prefix.Hashes == B.Prefix.Hashes);
}

TEST(PeerCodec, keepsClaimsAndOutcomes) {
  PeerBatch In;
  Claim SentClaim;
  SentClaim.Key = makeKeyName("key", customerId("small"), kindId("post"));
  SentClaim.Key.Date = WallMillis{1700000000000};
  SentClaim.BodyHash = 99;
  SentClaim.Owner = Claimant{HostId{5}, Incarnation{6}, AskId{7}};
  In.Claims.push_back(SentClaim);
  OutcomeReply Reply;
  Reply.Submission = AskId{8};
  Reply.Known = true;
  Reply.End = Verdict{Outcome::Failed, Reason::TargetError, millis(10)};
  Reply.Answer = std::string("a\0b", 3);
  In.OutcomeReplies.push_back(Reply);
  PeerBatch Out = roundTrip(In);
  CHECK(Out.Claims.at(0).Key == SentClaim.Key);
  LONGLONGS_EQUAL(SentClaim.Key.Date.Value, Out.Claims.at(0).Key.Date.Value);
  CHECK(Out.Claims.at(0).Owner == SentClaim.Owner);
  CHECK(Out.OutcomeReplies.at(0).End.Result == Outcome::Failed);
  CHECK(Out.OutcomeReplies.at(0).Answer == Reply.Answer);
}

TEST(PeerCodec, refusesBrokenBytes) {
  CHECK_THROWS(CodecError, decodeFrame("nonsense"));
  CHECK_THROWS(CodecError, decodeFrame(""));
  PeerBatch In;
  In.Grants.push_back(Grant{AskId{1}, TargetId{2}});
  std::string Frame = encodeFrame(In);
  for (size_t Cut = FrameHeaderBytes; Cut + 1 < Frame.size(); ++Cut) {
    CHECK_THROWS(CodecError, decodeFrame(std::string_view(Frame).substr(
                                 FrameHeaderBytes, Cut - FrameHeaderBytes)));
  }
}

TEST(PeerCodec, refusesValuesOutOfRange) {
  PeerBatch In;
  SlotRequest A;
  A.Tier = 200;
  In.SlotRequests.push_back(A);
  CHECK_THROWS(CodecError, roundTrip(In));
}

TEST(PeerCodec, refusesAHugeFrame) {
  unsigned char Header[FrameHeaderBytes] = {255, 255, 255, 255};
  CHECK_THROWS(CodecError, frameLength(Header));
}
