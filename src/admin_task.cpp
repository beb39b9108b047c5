#include "admin_task_p.h"

#include "admin_state_p.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

namespace shallotlatch {

using nlohmann::json;

static HttpServerInit listenInit(const Settings &Host) {
  HttpServerInit Init;
  Init.ListenAddress = Host.Admin;
  Init.MaxBodyBytes = SHALLOTLATCH_CONFIG_MAX_OBJECT_BYTES + 4096;
  return Init;
}

AdminTask::AdminTask(event_base *Base, const Settings &Host, Node &LocalNode,
                     Store &Platform, AdminCallbacks Callbacks)
    : Host(Host), LocalNode(LocalNode), Platform(Platform),
      Callbacks(std::move(Callbacks)),
      Server(Base, listenInit(Host),
             [this](evhttp_request *Http) { this->onRequest(Http); }) {}

static void sendJson(evhttp_request *Http, const json &Body) {
  sendText(Http, 200, "application/json",
           Body.dump(2, ' ', false, json::error_handler_t::replace) + "\n");
}

bool AdminTask::authorized(const RawRequest &Raw) const {
  std::string Wanted = "Bearer " + this->Host.AdminKey;
  auto It = Raw.Headers.find("authorization");
  return It != Raw.Headers.end() && It->second.size() == Wanted.size() &&
         CRYPTO_memcmp(It->second.data(), Wanted.data(), Wanted.size()) == 0;
}

void AdminTask::onRequest(evhttp_request *Http) {
  RawRequest Raw = readRequest(Http);
  if (Raw.Path == "/healthz") {
    sendText(Http, 200, "text/plain", "ok\n");
    return;
  }
  if (Raw.Path == "/readyz") {
    bool Ready = this->LocalNode.ready();
    sendText(Http, Ready ? 200 : 503, "text/plain",
             Ready ? "ready\n" : "not ready\n");
    return;
  }
  if (Raw.Path == "/metrics") {
    sendText(Http, 200, "text/plain; version=0.0.4", this->Callbacks.Metrics());
    return;
  }
  if (!this->authorized(Raw)) {
    sendProblem(Http, 401, "unauthorized", "expected the admin bearer key",
                "Authorization");
    return;
  }
  if (evhttp_request_get_command(Http) == EVHTTP_REQ_GET) {
    this->readState(Http, Raw.Path);
  } else {
    this->handleCommand(Http, Raw);
  }
}

void AdminTask::readState(evhttp_request *Http, const std::string &Path) {
  if (Path == "/v1/status") {
    json Status = statusJson(this->LocalNode, this->Callbacks.Peers());
    Status["host"] = this->Host.Host;
    Status["region"] = this->Host.Region;
    Status["domain"] = this->Host.Domain;
    sendJson(Http, Status);
  } else if (Path == "/v1/config") {
    this->readConfig(Http);
  } else if (Path == "/v1/hosts") {
    sendJson(Http, hostsJson(this->LocalNode));
  } else if (Path == "/v1/pools") {
    sendJson(Http, poolsJson(this->LocalNode));
  } else if (Path == "/v1/targets") {
    sendJson(Http, targetsJson(this->LocalNode));
  } else if (Path == "/v1/requests") {
    sendJson(Http, requestsJson(this->LocalNode));
  } else if (Path == "/v1/quarantine") {
    sendJson(Http, quarantineJson(this->LocalNode));
  } else if (Path == "/v1/burn") {
    sendJson(Http, burnJson(this->Callbacks.Burns()));
  } else {
    sendProblem(Http, 404, "not found", "no such path: " + Path, "");
  }
}

void AdminTask::handleCommand(evhttp_request *Http, const RawRequest &Raw) {
  static const std::string QuarantinePrefix = "/v1/quarantine/";
  std::string Method = methodOf(Http);
  if (Method == "PUT" && Raw.Path == "/v1/config") {
    this->applyConfig(Http, Raw);
  } else if (Method == "POST" && Raw.Path == "/v1/drain") {
    LOG(INFO) << "admin: drain requested";
    this->Callbacks.Drain();
    sendJson(Http, json{{"draining", true}});
  } else if (Method == "DELETE" && Raw.Path.compare(0, QuarantinePrefix.size(),
                                                    QuarantinePrefix) == 0) {
    std::string Text = Raw.Path.substr(QuarantinePrefix.size());
    bool Hex = Text.size() == 16 &&
               Text.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!Hex) {
      sendProblem(Http, 400, "bad fingerprint",
                  "expected 16 hexadecimal digits, found \"" + Text + "\"",
                  "fingerprint");
      return;
    }
    this->LocalNode.crashCounts().clear(
        Fingerprint{std::stoull(Text, nullptr, 16)});
    LOG(INFO) << "admin: quarantine of fingerprint " << Text << " cleared";
    sendJson(Http, json{{"cleared", Text}});
  } else {
    sendProblem(Http, 404, "not found",
                "no such order: " + Method + " " + Raw.Path, "");
  }
}

// Reads the configuration from the store where the store is reachable, because
// an operator who reviews against a local copy that lags would review against
// the wrong version. The local copy is the fallback.
void AdminTask::readConfig(evhttp_request *Http) {
  StoreRequest Read;
  Read.Name = objectName(DocumentKind::Config);
  this->Platform.call(Read, [this, Http](const StoreReply &Reply) {
    if (Reply.Result == StoreReply::Status::Ok) {
      addHeader(Http, "X-Version", std::to_string(Reply.Number.Value));
      sendText(Http, 200, "application/json", Reply.Body);
      return;
    }
    if (Reply.Result == StoreReply::Status::NotFound) {
      addHeader(Http, "X-Version", "0");
      sendText(Http, 200, "application/json", "{}");
      return;
    }
    const json &Body = this->LocalNode.documents().body(DocumentKind::Config);
    DocumentStats Copy =
        this->LocalNode.documents().stats(DocumentKind::Config);
    Version Number =
        Copy.StoreNumber.isValid() ? Copy.StoreNumber : Copy.Number;
    addHeader(Http, "X-Version", std::to_string(Number.Value));
    addHeader(Http, "X-From-Copy", "1");
    sendText(Http, Number.isValid() ? 200 : 503, "application/json",
             Body.dump());
  });
}

static std::string headerOr(const RawRequest &Raw, const char *Name,
                            const std::string &Fallback) {
  auto It = Raw.Headers.find(Name);
  return It == Raw.Headers.end() ? Fallback : It->second;
}

void AdminTask::applyConfig(evhttp_request *Http, const RawRequest &Raw) {
  std::string Match = headerOr(Raw, "if-match", "");
  bool Number = !Match.empty() && Match.size() < 19 &&
                Match.find_first_not_of("0123456789") == std::string::npos;
  if (!Number) {
    sendProblem(Http, 428, "no version", "expected the reviewed version",
                "If-Match");
    return;
  }
  std::shared_ptr<const Config> Parsed;
  try {
    Parsed = parseConfig(Raw.Body);
  } catch (const ConfigError &E) {
    sendProblem(Http, 422, "configuration refused", E.what(),
                E.Mistakes.front().substr(0, E.Mistakes.front().find(':')));
    return;
  }
  const std::shared_ptr<const Config> &Current = this->LocalNode.config();
  if (Current && !sameKeyLayout(*Current, *Parsed)) {
    sendProblem(Http, 422, "configuration refused",
                "/policy: keyBuckets, keySlots and keySlotMs cannot change "
                "while claims exist",
                "/policy");
    return;
  }
  json Body = json::parse(Raw.Body);
  Body["meta"] = {{"by", headerOr(Raw, "x-operator", "unknown")},
                  {"replaces", std::stoull(Match)}};
  StoreRequest Write;
  Write.Kind = StoreRequest::Op::Write;
  Write.Name = objectName(DocumentKind::Config);
  Write.Expected = Version{std::stoull(Match)};
  Write.Body = Body.dump();
  if (Write.Body.size() > SHALLOTLATCH_CONFIG_MAX_OBJECT_BYTES) {
    sendProblem(Http, 413, "configuration refused",
                "is larger than one object of the platform's service", "");
    return;
  }
  std::string Text = Write.Body;
  Version Expected = Write.Expected;
  LOG(INFO) << "admin: new configuration requested by " << appliedBy(Body)
            << ", to replace version " << Match;
  this->Platform.call(Write,
                      [this, Http, Text, Expected](const StoreReply &Reply) {
                        this->onApplied(Http, Reply, Text, Expected);
                      });
}

void AdminTask::onApplied(evhttp_request *Http, const StoreReply &Reply,
                          const std::string &Body, Version Expected) {
  switch (Reply.Result) {
  case StoreReply::Status::Ok:
    LOG(INFO) << "admin: configuration version " << Reply.Number.Value
              << " applied";
    sendJson(Http, json{{"version", Reply.Number.Value}});
    return;
  case StoreReply::Status::Unavailable:
    sendProblem(Http, 503, "not applied",
                "the platform's service refused the write", "");
    return;
  default:
    this->confirmApplied(Http, Body, Expected);
  }
}

// After a conflict or a lost answer, reads the stored object to find out
// whether the write took effect. The write is never repeated.
void AdminTask::confirmApplied(evhttp_request *Http, const std::string &Body,
                               Version Expected) {
  StoreRequest Read;
  Read.Name = objectName(DocumentKind::Config);
  this->Platform.call(Read, [Http, Body, Expected](const StoreReply &Reply) {
    bool Known = Reply.Result == StoreReply::Status::Ok;
    if (Known && Reply.Body == Body) {
      LOG(INFO) << "admin: configuration version " << Reply.Number.Value
                << " applied, confirmed by reading it from the store";
      sendJson(Http, json{{"version", Reply.Number.Value}});
      return;
    }
    if (Known && Reply.Number != Expected) {
      json Other = json::parse(Reply.Body, nullptr, false);
      std::string By =
          Other.is_object() ? appliedBy(Other) : std::string("unknown");
      sendProblem(Http, 409, "not applied",
                  "version " + std::to_string(Reply.Number.Value) +
                      " was applied first, by " + By + "; review again",
                  "If-Match");
      return;
    }
    sendProblem(Http, 503, "unconfirmed",
                "the write was not answered and is not in force as of "
                "the last read; review again before another apply",
                "");
  });
}

} // namespace shallotlatch
