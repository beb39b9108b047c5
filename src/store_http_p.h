/// \file
/// Client of the platform's object store over HTTP.
#pragma once

#include "http_client_p.h"
#include "store_p.h"

namespace shallotlatch {

/// Objects have the path `/objects/NAME`. The header `X-Version` carries an
/// object's current version, `If-Match` the version that a write expects.
class StoreHttp : public Store {
public:
  StoreHttp(HttpClient &Client, Address Server);
  void call(const StoreRequest &Request, Reply Done) override;

private:
  HttpClient &Client;
  Address Server;
};

} // namespace shallotlatch
