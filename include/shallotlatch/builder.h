/// \file
/// The operators' library: builds a configuration with types and prints it.
#pragma once

#include "shallotlatch/model.h"

#include <string>

namespace shallotlatch {

/// Collects a configuration. Every method returns the builder.
class ConfigBuilder {
public:
  ConfigBuilder &tier(TierSpec Spec);
  /// \p BearerKey is hashed here; only the hash is printed.
  ConfigBuilder &customer(CustomerSpec Spec, const std::string &BearerKey);
  ConfigBuilder &target(TargetSpec Spec);
  ConfigBuilder &kind(KindSpec Spec);
  ConfigBuilder &policy(PolicySpec Spec);
  /// Validates whole and prints JSON; throws ConfigError.
  std::string print() const;

private:
  Config Draft;
};

} // namespace shallotlatch
