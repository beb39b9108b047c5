/// \file
/// Encoding of the parts of messages between hosts that concern idempotency
/// keys: claims, their completion, and outcomes that are asked for.
#pragma once

#include "peer.capnp.h"
#include "peer_codec_p.h"

#include <algorithm>
#include <string>

namespace shallotlatch {

template <typename T> uint32_t toWireMs(T D) {
  int64_t Ms = std::max<int64_t>(0, toMillis(D));
  return static_cast<uint32_t>(std::min<int64_t>(Ms, UINT32_MAX));
}

// Enumerations are sent as bytes. A value above the last enumerator makes the
// whole message invalid.
template <typename Enum> Enum checkedEnum(uint8_t Value, Enum Last) {
  if (Value > static_cast<uint8_t>(Last)) {
    throw CodecError("enumeration value " + std::to_string(Value) +
                     " is out of range, expected at most " +
                     std::to_string(static_cast<uint8_t>(Last)));
  }
  return static_cast<Enum>(Value);
}

void encode(wire::Key::Builder B, const IdempotencyKey &K);
IdempotencyKey decode(wire::Key::Reader R);
void encode(wire::Claimant::Builder B, const Claimant &C);
Claimant decode(wire::Claimant::Reader R);
void encode(wire::Claim::Builder B, const Claim &C);
Claim decode(wire::Claim::Reader R);
void encode(wire::ClaimReply::Builder B, const ClaimReply &C);
ClaimReply decode(wire::ClaimReply::Reader R);
void encode(wire::Settle::Builder B, const ClaimCompletion &S);
ClaimCompletion decode(wire::Settle::Reader R);
void encode(wire::Join::Builder B, const OutcomeRequest &J);
OutcomeRequest decode(wire::Join::Reader R);
capnp::Data::Reader dataOf(const std::string &Text);
std::string textOf(capnp::Data::Reader D);
std::string textOf(capnp::Text::Reader T);
void encode(wire::JoinReply::Builder B, const OutcomeReply &J);
OutcomeReply decode(wire::JoinReply::Reader R);

} // namespace shallotlatch
