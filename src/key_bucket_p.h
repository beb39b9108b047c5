/// \file
/// Content of one claim object in the platform's service.
#pragma once

#include "messages_p.h"
#include "shallotlatch/model.h"

#include <map>
#include <optional>
#include <string>

namespace shallotlatch {

/// One claim as stored.
struct StoredClaim {
  uint64_t BodyHash = 0;
  Claimant Owner;
  bool Ended = false;
  Outcome Result = Outcome::MayHaveRun; ///< With Ended.
};

/// Claims of one bucket in one dated slot. The slot number only grows, and
/// claims of lower slots have been dropped: it is the bucket's watermark.
struct KeyBucket {
  int64_t Slot = 0;
  std::map<IdempotencyKey, StoredClaim> Claims;
};

/// Reads an object; throws std::runtime_error on a malformed one.
KeyBucket parseKeyBucket(const std::string &Text);
std::string printKeyBucket(const KeyBucket &B);

/// Where a key's claim lives: decided by the key alone.
struct ClaimLocation {
  uint32_t Bucket = 0;
  int64_t Slot = 0; ///< Zero: undated.
  std::string ObjectName;
};
ClaimLocation claimLocation(const IdempotencyKey &Key,
                            const PolicySpec &Policy);

/// Date inside a UUIDv7 (RFC 9562, section 5.7); empty: not of that form.
std::optional<WallMillis> uuid7Date(const std::string &Text);
/// Hashes a key as one customer used it for one kind.
IdempotencyKey makeKeyName(const std::string &Text, CustomerId Customer,
                           KindId Kind);

} // namespace shallotlatch
