#include "claim_codec_p.h"

namespace shallotlatch {

void encode(wire::Key::Builder B, const IdempotencyKey &K) {
  B.setHigh(K.High);
  B.setLow(K.Low);
  B.setDateMs(K.Date.Value);
}
IdempotencyKey decode(wire::Key::Reader R) {
  return IdempotencyKey{R.getHigh(), R.getLow(), WallMillis{R.getDateMs()}};
}

void encode(wire::Claimant::Builder B, const Claimant &C) {
  B.setHost(C.Host.Value);
  B.setRun(C.Run.Value);
  B.setSubmission(C.Submission.Value);
  B.setRun(C.Run.Value);
}
Claimant decode(wire::Claimant::Reader R) {
  return Claimant{HostId{R.getHost()}, Incarnation{R.getRun()},
                  AskId{R.getSubmission()}};
}

void encode(wire::Claim::Builder B, const Claim &C) {
  encode(B.initKey(), C.Key);
  B.setBodyHash(C.BodyHash);
  encode(B.initOwner(), C.Owner);
}
Claim decode(wire::Claim::Reader R) {
  return Claim{decode(R.getKey()), R.getBodyHash(), decode(R.getOwner())};
}

void encode(wire::ClaimReply::Builder B, const ClaimReply &C) {
  B.setSubmission(C.Submission.Value);
  B.setRun(C.Run.Value);
  B.setResult(static_cast<uint8_t>(C.Result));
  B.setEnded(C.Ended);
  B.setEndedAs(static_cast<uint8_t>(C.EndedAs));
  if (C.Result == ClaimResult::Taken) {
    encode(B.initHolder(), C.Holder);
  }
}
ClaimReply decode(wire::ClaimReply::Reader R) {
  ClaimReply C;
  C.Submission.Value = R.getSubmission();
  C.Run.Value = R.getRun();
  C.Result = checkedEnum(R.getResult(), ClaimResult::TooNew);
  C.Ended = R.getEnded();
  C.EndedAs = checkedEnum(R.getEndedAs(), Outcome::MayHaveRun);
  C.Holder = decode(R.getHolder());
  return C;
}

void encode(wire::Settle::Builder B, const ClaimCompletion &S) {
  encode(B.initKey(), S.Key);
  encode(B.initOwner(), S.Owner);
  B.setResult(static_cast<uint8_t>(S.Result));
}
ClaimCompletion decode(wire::Settle::Reader R) {
  return ClaimCompletion{decode(R.getKey()), decode(R.getOwner()),
                         checkedEnum(R.getResult(), Outcome::MayHaveRun)};
}

void encode(wire::Join::Builder B, const OutcomeRequest &J) {
  B.setSubmission(J.Submission.Value);
  B.setRun(J.Run.Value);
  encode(B.initHolder(), J.Holder);
}
OutcomeRequest decode(wire::Join::Reader R) {
  return OutcomeRequest{AskId{R.getSubmission()}, Incarnation{R.getRun()},
                        decode(R.getHolder())};
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

void encode(wire::JoinReply::Builder B, const OutcomeReply &J) {
  B.setSubmission(J.Submission.Value);
  B.setRun(J.Run.Value);
  B.setKnown(J.Known);
  B.setOutcome(static_cast<uint8_t>(J.End.Result));
  B.setWhy(static_cast<uint8_t>(J.End.Why));
  B.setRetryMs(toWireMs(J.End.RetryAfter));
  B.setAnswer(dataOf(J.Answer));
}
OutcomeReply decode(wire::JoinReply::Reader R) {
  OutcomeReply J;
  J.Submission.Value = R.getSubmission();
  J.Run.Value = R.getRun();
  J.Known = R.getKnown();
  J.End.Result = checkedEnum(R.getOutcome(), Outcome::MayHaveRun);
  J.End.Why = checkedEnum(R.getWhy(), Reason::HostFull);
  J.End.RetryAfter = millis(R.getRetryMs());
  J.Answer = textOf(R.getAnswer());
  return J;
}

} // namespace shallotlatch
