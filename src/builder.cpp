#include "shallotlatch/builder.h"

namespace shallotlatch {

ConfigBuilder &ConfigBuilder::tier(TierSpec Spec) {
  this->Draft.Tiers.push_back(std::move(Spec));
  return *this;
}

ConfigBuilder &ConfigBuilder::customer(CustomerSpec Spec,
                                       const std::string &BearerKey) {
  Spec.KeySha256 = sha256Hex(BearerKey);
  this->Draft.Customers.push_back(std::move(Spec));
  return *this;
}

ConfigBuilder &ConfigBuilder::target(TargetSpec Spec) {
  this->Draft.Targets.push_back(std::move(Spec));
  return *this;
}

ConfigBuilder &ConfigBuilder::kind(KindSpec Spec) {
  this->Draft.Kinds.push_back(std::move(Spec));
  return *this;
}

ConfigBuilder &ConfigBuilder::policy(PolicySpec Spec) {
  this->Draft.Policy = Spec;
  return *this;
}

// Parses the printed text, so that a program can print only configurations that
// a daemon accepts.
std::string ConfigBuilder::print() const {
  std::string Text = printConfig(this->Draft);
  parseConfig(Text);
  return Text;
}

} // namespace shallotlatch
