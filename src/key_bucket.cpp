#include "key_bucket_p.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace shallotlatch {

using nlohmann::json;

// A claim is stored as an array: high, low, date, body, host, run, submission,
// ended, result. Arrays take tens of bytes a claim, which matters because an
// object is limited to a megabyte.
static constexpr size_t ClaimFields = 9;

KeyBucket parseKeyBucket(const std::string &Text) {
  json Root = json::parse(Text, nullptr, false);
  if (!Root.is_object() || !Root.contains("slot") ||
      !Root["slot"].is_number_integer() || !Root.contains("claims") ||
      !Root["claims"].is_array()) {
    throw std::runtime_error(
        "claim object: expected an integer \"slot\" and an array \"claims\"");
  }
  KeyBucket B;
  B.Slot = Root["slot"].get<int64_t>();
  for (const json &Row : Root["claims"]) {
    if (!Row.is_array() || Row.size() != ClaimFields) {
      throw std::runtime_error("claim object: each entry of \"claims\" must be "
                               "an array of 9 fields");
    }
    for (const json &Field : Row) {
      if (!Field.is_number_integer()) {
        throw std::runtime_error(
            "claim object: each field of a claim must be an integer");
      }
    }
    IdempotencyKey Key{Row[0].get<uint64_t>(), Row[1].get<uint64_t>(),
                       WallMillis{Row[2].get<int64_t>()}};
    StoredClaim &C = B.Claims[Key];
    C.BodyHash = Row[3].get<uint64_t>();
    C.Owner.Host = HostId{Row[4].get<uint64_t>()};
    C.Owner.Run = Incarnation{Row[5].get<uint64_t>()};
    C.Owner.Submission = AskId{Row[6].get<uint32_t>()};
    C.Ended = Row[7].get<int>() != 0;
    C.Result = static_cast<Outcome>(Row[8].get<uint8_t>() & 3);
  }
  return B;
}

std::string printKeyBucket(const KeyBucket &B) {
  json Rows = json::array();
  for (const auto &Item : B.Claims) {
    const StoredClaim &C = Item.second;
    Rows.push_back({Item.first.High, Item.first.Low, Item.first.Date.Value,
                    C.BodyHash, C.Owner.Host.Value, C.Owner.Run.Value,
                    C.Owner.Submission.Value, C.Ended ? 1 : 0,
                    static_cast<int>(C.Result)});
  }
  return json{{"slot", B.Slot}, {"claims", Rows}}.dump();
}

ClaimLocation claimLocation(const IdempotencyKey &Key,
                            const PolicySpec &Policy) {
  ClaimLocation P;
  P.Bucket = static_cast<uint32_t>(Key.High % Policy.KeyBuckets);
  P.Slot = Key.Date.Value / toMillis(Policy.KeySlotWidth);
  std::string SlotName =
      P.Slot == 0 ? "undated" : std::to_string(P.Slot % Policy.KeySlotCount);
  P.ObjectName = "claims/" + std::to_string(P.Bucket) + "/" + SlotName;
  return P;
}

std::optional<WallMillis> uuid7Date(const std::string &Text) {
  constexpr size_t UuidLength = 36;
  if (Text.size() != UuidLength) {
    return std::nullopt;
  }
  uint64_t Value = 0;
  uint32_t Digits = 0;
  for (size_t I = 0; I < UuidLength; ++I) {
    char C = Text[I];
    bool Dash = I == 8 || I == 13 || I == 18 || I == 23;
    if (Dash ? C != '-' : isxdigit(static_cast<unsigned char>(C)) == 0) {
      return std::nullopt;
    }
    if (!Dash && Digits < 12) {
      Value = Value * 16 +
              static_cast<uint64_t>(std::stoi(std::string(1, C), nullptr, 16));
      ++Digits;
    }
  }
  char Variant = Text[19];
  bool ValidVariant = Variant == '8' || Variant == '9' || Variant == 'a' ||
                      Variant == 'b' || Variant == 'A' || Variant == 'B';
  if (Text[14] != '7' || !ValidVariant || Value == 0) {
    return std::nullopt;
  }
  return WallMillis{static_cast<int64_t>(Value)};
}

IdempotencyKey makeKeyName(const std::string &Text, CustomerId Customer,
                           KindId Kind) {
  uint64_t Seed = hashPair(Customer.Value, Kind.Value);
  IdempotencyKey Key;
  Key.High = hash64(Text, Seed);
  Key.Low = hash64(Text, ~Seed);
  return Key;
}

} // namespace shallotlatch
