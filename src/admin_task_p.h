/// \file
/// The admin listener: health, metrics, state, and operators' orders.
#pragma once

#include "http_server_p.h"
#include "node_p.h"
#include "peer_task_p.h"
#include "slo_window_p.h"
#include "store_p.h"

#include <functional>
#include <string>

namespace shallotlatch {

/// What the task asks of its owner.
struct AdminCallbacks {
  std::function<std::string()> Metrics;
  std::function<std::vector<SloBurnRate>()> Burns;
  std::function<void()> Drain;
  std::function<PeerStats()> Peers;
};

class AdminTask {
public:
  AdminTask(event_base *Base, const Settings &Host, Node &LocalNode,
            Store &Platform, AdminCallbacks Callbacks);

private:
  void onRequest(evhttp_request *Http);
  bool authorized(const RawRequest &Raw) const;
  void readState(evhttp_request *Http, const std::string &Path);
  void handleCommand(evhttp_request *Http, const RawRequest &Raw);
  void readConfig(evhttp_request *Http);
  void applyConfig(evhttp_request *Http, const RawRequest &Raw);
  void onApplied(evhttp_request *Http, const StoreReply &Reply,
                 const std::string &Body, Version Expected);
  void confirmApplied(evhttp_request *Http, const std::string &Body,
                      Version Expected);

  Settings Host;
  Node &LocalNode;
  Store &Platform;
  AdminCallbacks Callbacks;
  HttpServer Server;
};

} // namespace shallotlatch
