/// \file
/// The platform's object API over HTTP.
#pragma once

#include "http_client_p.h"
#include "store_p.h"

namespace shallotlatch {

/// Paths are `/objects/NAME`; versions travel in `X-Version` and `If-Match`.
class StoreHttp : public Store {
public:
  StoreHttp(HttpClient &Client, Address Server);
  void call(const StoreRequest &Request, Reply Done) override;

private:
  HttpClient &Client;
  Address Server;
};

} // namespace shallotlatch
