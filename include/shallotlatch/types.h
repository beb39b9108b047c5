/// \file
/// Strong types for time, ids and handles that every part shares.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace shallotlatch {

/// All durations, in microseconds.
using Duration = std::chrono::microseconds;

/// Clock of one process: monotonic, never compared between hosts. The decision
/// core never reads it; the surrounding task passes the time in.
struct ProcessClock {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<ProcessClock, Duration>;
  // The standard names this member.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
  static time_point now();
};

using Time = ProcessClock::time_point;

/// Milliseconds since the Unix epoch, as carried inside a dated key.
struct WallMillis {
  int64_t Value = 0;
};

constexpr Duration millis(int64_t Count) {
  return std::chrono::milliseconds(Count);
}
constexpr Duration seconds(int64_t Count) {
  return std::chrono::seconds(Count);
}
constexpr int64_t toMillis(Duration D) { return D.count() / 1000; }
constexpr double toSeconds(Duration D) {
  return static_cast<double>(D.count()) / 1e6;
}

/// An id derived from a name by hashing: equal on every host for equal names.
/// Zero is the invalid value.
template <typename Tag, typename Rep> struct Id {
  Rep Value = 0;
  bool isValid() const { return this->Value != 0; }
  friend bool operator==(Id A, Id B) { return A.Value == B.Value; }
  friend bool operator!=(Id A, Id B) { return A.Value != B.Value; }
  friend bool operator<(Id A, Id B) { return A.Value < B.Value; }
};

using HostId = Id<struct HostTag, uint64_t>;
using TargetId = Id<struct TargetTag, uint32_t>;
using CustomerId = Id<struct CustomerTag, uint32_t>;
using KindId = Id<struct KindTag, uint32_t>;
/// One pool: all targets of one group in one region.
using PoolId = Id<struct PoolTag, uint32_t>;
/// One submission's number on its entry host; never reused by an incarnation.
using AskId = Id<struct AskTag, uint32_t>;
/// One run of a host's process. A later run has a larger value.
using Incarnation = Id<struct IncarnationTag, uint64_t>;
/// Version of an object in the platform's service; zero: does not exist.
using Version = Id<struct VersionTag, uint64_t>;
/// Hash of a request's content, the same wherever it is submitted.
using Fingerprint = Id<struct FingerprintTag, uint64_t>;

/// Index into a fixed table. `Invalid` marks no entry.
template <typename Tag> struct Handle {
  static constexpr uint32_t Invalid = UINT32_MAX;
  uint32_t Index = Invalid;
  bool isValid() const { return this->Index != Invalid; }
  friend bool operator==(Handle A, Handle B) { return A.Index == B.Index; }
  friend bool operator!=(Handle A, Handle B) { return A.Index != B.Index; }
};

/// A request held by an entry host.
using RequestHandle = Handle<struct RequestTag>;

/// Tier rank: 0 is the highest.
using TierRank = uint8_t;

/// Seedless 64-bit hash of \p Text.
uint64_t hash64(std::string_view Text);
/// Seeded 64-bit hash of \p Text.
uint64_t hash64(std::string_view Text, uint64_t Seed);
/// Mixes two words into one hash.
uint64_t hashPair(uint64_t A, uint64_t B);

HostId hostId(std::string_view Name);
TargetId targetId(std::string_view Name);
CustomerId customerId(std::string_view Name);
KindId kindId(std::string_view Name);
PoolId poolId(std::string_view Region, std::string_view Group);

/// Hexadecimal text of \p Value, 16 digits.
std::string toHex(uint64_t Value);
/// Lower-case hexadecimal SHA-256 of \p Text.
std::string sha256Hex(std::string_view Text);

} // namespace shallotlatch

namespace std {
template <typename Tag, typename Rep> struct hash<shallotlatch::Id<Tag, Rep>> {
  size_t operator()(shallotlatch::Id<Tag, Rep> V) const {
    return std::hash<Rep>()(V.Value);
  }
};
} // namespace std
