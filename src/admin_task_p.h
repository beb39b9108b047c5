/// \file
/// Admin listener: serves health, metrics and state, and executes operators'
/// commands.
#pragma once

#include "http_server_p.h"
#include "node_p.h"
#include "peer_task_p.h"
#include "slo_window_p.h"
#include "store_p.h"

#include <functional>
#include <string>

namespace shallotlatch {

/// Callbacks through which the admin task reads from its owner and controls it.
struct AdminCallbacks {
  std::function<std::string()> Metrics; ///< Returns all metrics as text.
  std::function<std::vector<SloBurnRate>()> Burns; ///< Returns burn rates.
  std::function<void()> Drain;      ///< Starts to drain this host.
  std::function<PeerStats()> Peers; ///< Returns totals of the peer links.
};

/// Serves the admin API over HTTP. Every path but the ones of health and
/// metrics requires the admin key.
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
