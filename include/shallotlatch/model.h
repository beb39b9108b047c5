/// \file
/// Aggregates of the configuration that operators write. A configuration is
/// parsed and validated as a whole. docs/OPERATIONS.md documents its JSON form.
#pragma once

#include "shallotlatch/types.h"

#include <memory>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallotlatch {

/// Type of server behind a target: an inference engine or another service.
enum class TargetType : uint8_t { Engine, Service };

/// One priority tier. The position in the configuration is the rank: the first
/// tier is the highest.
struct TierSpec {
  std::string Name;
  /// Objective: share of requests that complete within their deadline, 0 to 1.
  double Objective = 0.99;
};

/// One customer. Its limits apply to the whole fleet; zero means no limit.
struct CustomerSpec {
  std::string Name;
  std::string KeySha256; ///< Lower-case hex SHA-256 of the bearer key.
  double Weight = 1;     ///< Weight of the customer's fair share within a tier.
  uint32_t RatePerSecond = 0; ///< Limit of requests per second.
  uint32_t Concurrency = 0;   ///< Limit of requests in flight at once.
};

/// One server that runs requests.
struct TargetSpec {
  std::string Name;
  TargetType Type = TargetType::Engine;
  std::string Group;
  std::string Region;
  std::string Domain;  ///< Failure domain.
  std::string Address; ///< Address in the form `IP:port`.
  uint32_t Slots = 16; ///< Maximum number of requests that run at once.
  /// HTTP 429 and 503 from the target mean that the request did not run.
  bool RefusalProvesNotRun = false;
  /// The target rejects requests that carry an outdated fencing number.
  bool ChecksFencing = false;
  /// Initial estimate of the prefill rate.
  double PrefillTokensPerSecond = 8000;
  /// Initial estimate of the decode time of one token.
  double DecodeMsPerToken = 20;
};

/// One kind of request, with the group of targets that serves it.
struct KindSpec {
  std::string Name;
  std::string Group;
  std::string Tier;
  bool Idempotent = true;
  bool RequireKey = false; ///< Requests without an idempotency key are refused.
  bool DatedKeys = true;   ///< Idempotency keys must be UUIDv7 (RFC 9562).
  bool CrossRegion = true; ///< Requests may use a pool of another region.
  Duration Deadline = seconds(60); ///< Time allowed for a request by default.
  uint32_t MaxOutputTokens = 1024; ///< Default and maximum of `max_tokens`.
};

/// Costs and limits that scheduling decisions use.
struct PolicySpec {
  /// Factor applied to the prefill time of uncached tokens.
  double PrefillPrice = 1;
  /// Cost of sending a request to another region, in milliseconds per megabyte.
  double CrossRegionMsPerMb = 40;
  /// Fixed cost of sending a request to another region.
  Duration CrossRegionDelay = millis(40);
  /// Number of crashes in the whole fleet at which content is quarantined:
  /// further requests with the content are refused.
  uint32_t QuarantineCrashes = 2;
  /// Maximum number of waiting asks in one pool.
  uint32_t PoolCapacity = 4096;
  /// Minimum length of a long prompt, in tokens.
  uint32_t LongPromptTokens = 8192;
  /// Share of a pool's targets that serve long prompts, 0.01 to 1.
  double LongPromptShare = 0.5;
  /// Objective of the time between two tokens.
  Duration TokenInterval = millis(37);
  /// Number of buckets over which idempotency keys are distributed.
  uint32_t KeyBuckets = 16;
  /// Time span of the key dates that share one slot.
  Duration KeySlotWidth = seconds(60);
  /// Number of slots kept. The retention of keys is this number times the slot
  /// width.
  uint32_t KeySlotCount = 60;
  /// Time after its last change for which a crash count, and so a quarantine,
  /// is kept.
  Duration QuarantineTime = seconds(600);
};

/// A whole configuration. It does not change after it is parsed.
struct Config {
  std::vector<TierSpec> Tiers;
  std::vector<CustomerSpec> Customers;
  std::vector<TargetSpec> Targets;
  std::vector<KindSpec> Kinds;
  PolicySpec Policy;

  /// Indexes of the lists above, by id. The parse function fills all indexes.
  std::unordered_map<CustomerId, uint32_t> CustomerIndex;
  std::unordered_map<TargetId, uint32_t> TargetIndex;
  std::unordered_map<KindId, uint32_t> KindIndex;
  /// Index of the customers by the hash of their bearer key.
  std::unordered_map<std::string, uint32_t> KeyIndex;
  /// Distinct regions of all targets.
  std::vector<std::string> Regions;

  /// The lookups return nullptr if the configuration has no such entry.
  const CustomerSpec *customer(CustomerId Id) const;
  const TargetSpec *target(TargetId Id) const;
  const KindSpec *kind(KindId Id) const;
  /// Returns the customer with this bearer key, or nullptr if the key is
  /// unknown.
  const CustomerSpec *customerByBearer(const std::string &Bearer) const;
  /// Returns the rank of the kind's tier.
  TierRank rank(const KindSpec &Kind) const;
};

/// Error that reports every mistake found in a document, one line each.
class ConfigError : public std::runtime_error {
public:
  explicit ConfigError(std::vector<std::string> Found);
  std::vector<std::string> Mistakes;
};

/// Parses and validates a configuration. Throws ConfigError with all mistakes.
std::shared_ptr<const Config> parseConfig(const std::string &Json);
/// Prints the configuration as canonical JSON with an indentation of two
/// spaces.
std::string printConfig(const Config &C);

} // namespace shallotlatch
