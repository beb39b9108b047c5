/// \file
/// Content of one claim object in the platform's object store.
#pragma once

#include "messages_p.h"
#include "shallotlatch/model.h"

#include <map>
#include <optional>
#include <string>

namespace shallotlatch {

/// Claim on one idempotency key, as stored in its bucket object.
struct StoredClaim {
  uint64_t BodyHash = 0; ///< Hash of the claimed request's body.
  Claimant Owner;
  bool Ended = false; ///< The owner reported the end of its run.
  /// Result of the run; valid if `Ended`.
  Outcome Result = Outcome::MayHaveRun;
};

/// Claims of one bucket in one dated slot. The slot number only grows, and
/// claims of lower slots have been dropped, so that the number is the bucket's
/// watermark.
struct KeyBucket {
  int64_t Slot = 0;
  std::map<IdempotencyKey, StoredClaim> Claims;
};

/// Parses a claim object; throws std::runtime_error if it is malformed.
KeyBucket parseKeyBucket(const std::string &Text);
/// Serializes \p B in the format that `parseKeyBucket` reads.
std::string printKeyBucket(const KeyBucket &B);

/// Location of a key's claim. It depends on nothing but the key and the
/// policy, so that every host finds the same object.
struct ClaimLocation {
  uint32_t Bucket = 0;
  int64_t Slot = 0; ///< Dated slot of the key; 0 if the key has no date.
  std::string ObjectName;
};
ClaimLocation claimLocation(const IdempotencyKey &Key,
                            const PolicySpec &Policy);

/// Returns the date inside a UUIDv7 (RFC 9562, section 5.7), or nothing if
/// \p Text is not a UUIDv7.
std::optional<WallMillis> uuid7Date(const std::string &Text);
/// Hashes a key together with the customer that used it and the kind of the
/// request.
IdempotencyKey makeKeyName(const std::string &Text, CustomerId Customer,
                           KindId Kind);

} // namespace shallotlatch
