#include "deployment.h"

namespace review2 {

json configuration() {
  return json::parse(R"({
    "version": 3,
    "routes": [
      {"name": "r-reply", "host": "shop.example", "path-prefix": "/reply/",
       "route-kind": "streaming", "timeout-ms": 15000,
       "target-latency-ms": 1000, "priority": 0, "service": "reply-engine",
       "max-attempts": 2, "anonymous-access": false, "session-affinity": true,
       "stream-resumption": true, "gap-target-ms": 500},
      {"name": "r-order", "host": "shop.example", "path-prefix": "/order/",
       "route-kind": "non_idempotent", "timeout-ms": 2000,
       "target-latency-ms": 200, "priority": 2, "service": "order-service",
       "max-attempts": 1, "anonymous-access": false, "session-affinity": false,
       "stream-resumption": false}
    ],
    "services": [
      {"name": "reply-engine", "health-check-path": "/health",
       "connection-limit": 370, "protocol": "h1", "tls-enabled": false,
       "inference-engine": {"concurrency-slots": 8,
         "kv-capacity-tokens": 588717, "kv-bytes": 18432,
         "models": [{"name": "m"}]}},
      {"name": "order-service", "health-check-path": "/health",
       "connection-limit": 110, "protocol": "h1", "tls-enabled": false}
    ],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
               "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    "tenants": [
      {"name": "shop-a", "api-keys": ["key-of-shop-a"], "priority": 1,
       "unit": "token_count", "uncached-tokens": 200, "rate-per-s": 0,
       "burst-size": 0}
    ]
  })");
}

std::string streamRequest(const std::string &Id, int64_t DeadlineMs,
                          const std::string &Resumes,
                          const std::string &LastEvent) {
  std::string Body = "prompt " + Id;
  std::string Text = "POST /reply/2f HTTP/1.1\r\nHost: shop.example\r\n"
                     "Shallotlatch-Request-Id: " +
                     Id +
                     "\r\nShallotlatch-Model: m\r\n"
                     "Shallotlatch-Token-Count: 700,300\r\n"
                     "Shallotlatch-Prompt-Prefix: 5c1e07a2:60," +
                     Id.substr(8) + ":640\r\nShallotlatch-Deadline-Ms: " +
                     std::to_string(DeadlineMs) +
                     "\r\nAuthorization: Token key-of-shop-a\r\n";
  if (!LastEvent.empty()) {
    Text += "Resumes: " + Resumes + "\r\nLast-Event-Id: " + LastEvent + "\r\n";
  }
  return Text + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

std::string orderRequest(const std::string &Id, int64_t DeadlineMs,
                         const std::string &Body) {
  return "POST /order/2f HTTP/1.1\r\nHost: shop.example\r\n"
         "Shallotlatch-Request-Id: " +
         Id + "\r\nShallotlatch-Deadline-Ms: " + std::to_string(DeadlineMs) +
         "\r\nAuthorization: Token key-of-shop-a\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string takenUpLine(const std::string &Stream, const std::string &LastEvent,
                        const std::string &Id, const std::string &Machine) {
  return "client takes " + Stream + " up after event " + LastEvent + " as " +
         Id + " at " + Machine;
}

// Events are "id: N\ndata: N VERSION SERVER\n\n".
std::vector<std::string> versionsOf(const std::string &Body) {
  std::vector<std::string> Versions;
  size_t At = Body.find("data: ");
  while (At != std::string::npos) {
    size_t Version = Body.find(' ', At + 6);
    size_t End = Body.find(' ', Version + 1);
    if (Version == std::string::npos || End == std::string::npos) {
      break;
    }
    Versions.push_back(Body.substr(Version + 1, End - Version - 1));
    At = Body.find("data: ", End);
  }
  return Versions;
}

std::string lastEventOf(const std::string &Body) {
  size_t End = Body.rfind("\n\n");
  size_t At = End == std::string::npos ? End : Body.rfind("id: ", End);
  return At == std::string::npos
             ? ""
             : Body.substr(At + 4, Body.find('\n', At) - At - 4);
}

} // namespace review2
