/// \file
/// Library for operators' programs that build a configuration from typed
/// aggregates and print it as JSON.
#pragma once

#include "shallotlatch/model.h"

#include <string>

namespace shallotlatch {

/// Collects the parts of a configuration. Every method that adds a part returns
/// the builder.
class ConfigBuilder {
public:
  ConfigBuilder &tier(TierSpec Spec);
  /// Adds a customer. The configuration holds only the SHA-256 hash of
  /// \p BearerKey, never the key.
  ConfigBuilder &customer(CustomerSpec Spec, const std::string &BearerKey);
  ConfigBuilder &target(TargetSpec Spec);
  ConfigBuilder &kind(KindSpec Spec);
  ConfigBuilder &policy(PolicySpec Spec);
  /// Returns the validated configuration as JSON. Throws ConfigError if the
  /// configuration is invalid.
  std::string print() const;

private:
  Config Draft;
};

} // namespace shallotlatch
