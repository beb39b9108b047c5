/// \file
/// The configuration that operators write: aggregates, parsed and validated
/// whole. The JSON form is documented in docs/OPERATIONS.md.
#pragma once

#include "shallotlatch/types.h"

#include <memory>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallotlatch {

/// What a target is.
enum class TargetType : uint8_t { Engine, Service };

/// One level of urgency; the order in the configuration is the rank.
struct TierSpec {
  std::string Name;
  /// Share of requests to be completed within their deadline, 0 to 1.
  double Objective = 0.99;
};

/// One customer. Limits hold over the whole fleet; zero: no limit.
struct CustomerSpec {
  std::string Name;
  std::string KeySha256; ///< Lower-case hex SHA-256 of the bearer key.
  double Weight = 1;     ///< Fair share within a tier.
  uint32_t RatePerSecond = 0;
  uint32_t Concurrency = 0;
};

/// One server that runs requests.
struct TargetSpec {
  std::string Name;
  TargetType Type = TargetType::Engine;
  std::string Group;
  std::string Region;
  std::string Domain;
  std::string Address; ///< IP:port.
  uint32_t Slots = 16; ///< Requests it may run at once, at the most.
  bool RefusalProvesNotRun = false; ///< 429 and 503 mean that nothing ran.
  bool ChecksFencing = false;       ///< Refuses orders with an old number.
  double PrefillTokensPerSecond = 8000;
  double DecodeMsPerToken = 20;
};

/// One kind of work.
struct KindSpec {
  std::string Name;
  std::string Group;
  std::string Tier;
  bool Idempotent = true;
  bool RequireKey = false; ///< Refuse requests that carry no key.
  bool DatedKeys = true;   ///< Keys must be UUIDv7 (RFC 9562).
  bool CrossRegion = true; ///< May use a pool of another region.
  Duration Deadline = seconds(60);
  uint32_t MaxOutputTokens = 1024;
};

/// Prices and limits of the decisions.
struct PolicySpec {
  double PrefillPrice = 1;        ///< Weight of uncached prefill time.
  double CrossRegionMsPerMb = 40; ///< Price of shipped bytes, in milliseconds.
  Duration CrossRegionDelay = millis(40);
  uint32_t QuarantineCrashes = 2;   ///< Crashes fleet-wide before refusal.
  uint32_t PoolCapacity = 4096;     ///< Waiting asks a pool keeps.
  uint32_t LongPromptTokens = 8192; ///< From here a prompt counts as long.
  double LongPromptShare =
      0.5; ///< Share of a pool's targets that long prompts use.
  Duration TokenInterval = millis(37); ///< Objective between tokens.
  uint32_t KeyBuckets = 16;
  Duration KeySlotWidth = seconds(60); ///< Width of one dated slot.
  uint32_t KeySlotCount = 60; ///< Slots kept; the product is the retention.
  Duration QuarantineTime = seconds(600);
};

/// The whole configuration, immutable once parsed.
struct Config {
  std::vector<TierSpec> Tiers;
  std::vector<CustomerSpec> Customers;
  std::vector<TargetSpec> Targets;
  std::vector<KindSpec> Kinds;
  PolicySpec Policy;

  /// Indexes, filled by the parse function.
  std::unordered_map<CustomerId, uint32_t> CustomerIndex;
  std::unordered_map<TargetId, uint32_t> TargetIndex;
  std::unordered_map<KindId, uint32_t> KindIndex;
  std::unordered_map<std::string, uint32_t> KeyIndex; ///< By key hash.
  std::vector<std::string> Regions;                   ///< Of all targets.

  const CustomerSpec *customer(CustomerId Id) const;
  const TargetSpec *target(TargetId Id) const;
  const KindSpec *kind(KindId Id) const;
  /// Customer of a bearer key; nullptr: unknown.
  const CustomerSpec *customerByBearer(const std::string &Bearer) const;
  TierRank rank(const KindSpec &Kind) const;
};

/// Every mistake found in a document, one line each.
class ConfigError : public std::runtime_error {
public:
  explicit ConfigError(std::vector<std::string> Found);
  std::vector<std::string> Mistakes;
};

/// Parses and validates; throws ConfigError with all mistakes.
std::shared_ptr<const Config> parseConfig(const std::string &Json);
/// Prints as canonical JSON, two spaces of indentation.
std::string printConfig(const Config &C);

} // namespace shallotlatch
