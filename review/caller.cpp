#include "caller.h"

namespace review {

const char *const HostName = "ficu95.example";

std::string serialize(const CallerRequest &R) {
  std::string Text =
      R.Method + " " + R.Path + " HTTP/1.1\r\nHost: " + HostName +
      "\r\nShallotlatch-Request-Id: " + R.Id +
      "\r\nShallotlatch-Deadline-Ms: " + std::to_string(R.DeadlineMs) + "\r\n";
  for (const HeaderField &F : R.Fields) {
    Text += F.Name + ": " + F.Value + "\r\n";
  }
  if (!R.Body.empty() || R.Method != "GET") {
    Text += "Content-Length: " + std::to_string(R.Body.size()) + "\r\n";
  }
  return Text + "\r\n" + R.Body;
}

CallerAnswer call(Link &L, const CallerRequest &R,
                  const std::function<void(const std::string &)> &OnEvent) {
  CallerAnswer A;
  Message M;
  Millis Limit(R.DeadlineMs + 500);
  if (!L.write(serialize(R)) || !L.readHead(M, Limit)) {
    return A;
  }
  A.Status = M.status();
  A.Stamp = M.field("Shallotlatch-Server-Stamp");
  if (M.field("transfer-encoding").empty()) {
    A.Complete = L.readBody(M, Limit);
    A.Body = M.Body;
    return A;
  }
  std::string Pending;
  std::string Chunk;
  while (L.readChunk(Chunk, Limit)) {
    if (Chunk.empty()) {
      A.Complete = Pending.empty();
      return A;
    }
    Pending += Chunk;
    for (size_t End = Pending.find("\n\n"); End != std::string::npos;
         End = Pending.find("\n\n")) {
      std::string Event = Pending.substr(0, End + 2);
      Pending.erase(0, End + 2);
      A.Body += Event;
      if (OnEvent) {
        OnEvent(Event);
      }
    }
  }
  return A;
}

CallerAnswer callOnce(const Endpoint &To, const CallerRequest &R,
                      const std::function<void(const std::string &)> &OnEvent) {
  int Fd = connectTo(To);
  if (Fd < 0) {
    return CallerAnswer();
  }
  Link L(Fd);
  return call(L, R, OnEvent);
}

} // namespace review
