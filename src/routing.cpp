#include "routing_p.h"

#include <algorithm>

namespace shallotlatch {

SoftwareId softwareId(std::string_view Software) {
  return SoftwareId{static_cast<uint32_t>(hash64(Software)) | 1U};
}

ServiceId serviceId(std::string_view Name) {
  uint32_t Value = static_cast<uint32_t>(hash64(Name));
  return ServiceId{Value == 0 ? 1 : Value};
}

void RoutingConfig::buildIndex() {
  this->ByHost.clear();
  for (uint32_t I = 0; I < this->Routes.size(); ++I) {
    const Route &R = this->Routes[I];
    this->ByHost[R.Host][R.PathPrefix] = I;
  }
}

// Configured path prefixes end with a slash, so only the parts of the path up
// to one of its slashes can match. They are tried from the longest to the
// shortest.
const Route *RoutingConfig::match(std::string_view Host,
                                  std::string_view Path) const {
  size_t Colon = Host.find(':');
  auto It = this->ByHost.find(std::string(Host.substr(0, Colon)));
  if (It == this->ByHost.end()) {
    return nullptr;
  }
  std::string_view Remaining = Path.substr(0, Path.find_first_of("?#"));
  while (!Remaining.empty()) {
    size_t Slash = Remaining.rfind('/');
    if (Slash == std::string_view::npos) {
      return nullptr;
    }
    auto Found = It->second.find(std::string(Remaining.substr(0, Slash + 1)));
    if (Found != It->second.end()) {
      return &this->Routes[Found->second];
    }
    Remaining = Remaining.substr(0, Slash);
  }
  return nullptr;
}

const GatewayCustomer *RoutingConfig::customer(CustomerId Id) const {
  auto It = this->Customers.find(Id);
  return It == this->Customers.end() ? nullptr : &It->second;
}

const ServiceSpec *RoutingConfig::service(ServiceId Id) const {
  auto It = this->Services.find(Id);
  return It == this->Services.end() ? nullptr : &It->second;
}

} // namespace shallotlatch
