/// \file
/// Strong types for time, ids and handles, and the hash functions behind ids.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace shallotlatch {

/// Type of all durations, in microseconds.
using Duration = std::chrono::microseconds;

/// Monotonic clock of one process. Its values must not be compared between
/// hosts. The decision core never reads the clock: the task around it passes
/// the time in.
struct ProcessClock {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<ProcessClock, Duration>;
  // The C++ standard prescribes the name of this member.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
  static time_point now();
};

using Time = ProcessClock::time_point;

/// Wall-clock time in milliseconds since the Unix epoch, as in a dated key.
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

/// Strong type of an id. An id that is the hash of a name is the same on every
/// host. Zero is the invalid value.
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
/// Id of a pool: all targets of one group in one region.
using PoolId = Id<struct PoolTag, uint32_t>;
/// Number of a submission or of one of its asks on its entry host. An
/// incarnation never reuses a number.
using AskId = Id<struct AskTag, uint32_t>;
/// Number of one run of a host's process. A later run has a larger number.
using Incarnation = Id<struct IncarnationTag, uint64_t>;
/// Version of an object in the platform's store. Zero means that the object
/// does not exist.
using Version = Id<struct VersionTag, uint64_t>;
/// Hash of a request's content. It is the same on every host.
using Fingerprint = Id<struct FingerprintTag, uint64_t>;

/// Index into a table of fixed size. `Invalid` refers to no entry.
template <typename Tag> struct Handle {
  static constexpr uint32_t Invalid = UINT32_MAX;
  uint32_t Index = Invalid;
  bool isValid() const { return this->Index != Invalid; }
  friend bool operator==(Handle A, Handle B) { return A.Index == B.Index; }
  friend bool operator!=(Handle A, Handle B) { return A.Index != B.Index; }
};

/// Refers to a request in the table of its entry host.
using RequestHandle = Handle<struct RequestTag>;

/// Rank of a tier. Rank 0 is the highest.
using TierRank = uint8_t;

/// Returns the 64-bit hash of \p Text with seed 0.
uint64_t hash64(std::string_view Text);
/// Returns the 64-bit hash of \p Text with the given seed.
uint64_t hash64(std::string_view Text, uint64_t Seed);
/// Returns one hash of two words. The order of the words matters.
uint64_t hashPair(uint64_t A, uint64_t B);

/// Return the id of a name. A pool has its id from its region and group.
HostId hostId(std::string_view Name);
TargetId targetId(std::string_view Name);
CustomerId customerId(std::string_view Name);
KindId kindId(std::string_view Name);
PoolId poolId(std::string_view Region, std::string_view Group);

/// Returns \p Value as 16 lower-case hexadecimal digits.
std::string toHex(uint64_t Value);
/// Returns the SHA-256 hash of \p Text in lower-case hexadecimal digits.
std::string sha256Hex(std::string_view Text);

} // namespace shallotlatch

namespace std {
template <typename Tag, typename Rep> struct hash<shallotlatch::Id<Tag, Rep>> {
  size_t operator()(shallotlatch::Id<Tag, Rep> V) const {
    return std::hash<Rep>()(V.Value);
  }
};
} // namespace std
