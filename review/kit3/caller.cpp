#include "caller.h"

#include <algorithm>

namespace review3 {

// Longest time for a new connection (PROTOCOL.md).
static constexpr int64_t ConnectLimitMs = 1000;
static constexpr int64_t StopCheckMs = 20;

std::vector<Event> Answer::events() const {
  std::vector<Event> All;
  size_t At = 0;
  size_t End = 0;
  while ((End = this->Body.find("\n\n", At)) != std::string::npos) {
    std::string Text = this->Body.substr(At, End - At);
    Event E;
    if (Text.compare(0, 4, "id: ") == 0) {
      E.Number = strtoull(Text.c_str() + 4, nullptr, 10);
    }
    size_t Data = Text.find("data: ");
    E.Data = Data == std::string::npos ? "" : Text.substr(Data + 6);
    All.push_back(E);
    At = End + 2;
  }
  return All;
}

std::string Answer::text() const {
  return "status " + std::to_string(this->Status) +
         (this->Received.has("Shallotlatch-Server-Stamp") ? " stamped"
                                                          : " unstamped") +
         " bytes " + std::to_string(this->Body.size()) +
         (this->Complete ? " whole" : " not whole");
}

std::string requestBytes(const Attempt &A) {
  std::string Text =
      A.Method + " " + A.Path +
      " HTTP/1.1\r\nHost: front.example\r\n"
      "Shallotlatch-Request-Id: " +
      A.Id + "\r\nShallotlatch-Deadline-Ms: " + std::to_string(A.DeadlineMs) +
      "\r\n";
  if (!A.Key.empty()) {
    Text += "Authorization: Token " + A.Key + "\r\n";
  }
  for (const auto &Item : A.Extra) {
    Text += Item.first + ": " + Item.second + "\r\n";
  }
  if (!A.Body.empty()) {
    Text += "Content-Length: " + std::to_string(A.Body.size()) + "\r\n";
  }
  return Text + "\r\n" + A.Body;
}

// Reads more, and notices a stop while it waits.
static bool fillUnlessStopped(Wire &W, int64_t UntilMs,
                              const std::atomic<bool> *Stop) {
  while (nowMs() < UntilMs && (Stop == nullptr || !*Stop)) {
    W.setLimit(std::min(UntilMs, nowMs() + StopCheckMs));
    if (W.fill()) {
      return true;
    }
    if (W.closed()) {
      return false;
    }
  }
  return false;
}

void readAnswer(Wire &W, int64_t UntilMs, Answer &Out,
                const std::atomic<bool> *Stop) {
  while (W.Buffer.find("\r\n\r\n") == std::string::npos) {
    if (!fillUnlessStopped(W, UntilMs, Stop)) {
      Out.ClosedByPeer = W.closed();
      return;
    }
  }
  W.readHead(Out.Received);
  Out.Status = Out.Received.status();
  if (!Out.Received.has("transfer-encoding")) {
    size_t Length =
        strtoull(Out.Received.value("content-length").c_str(), nullptr, 10);
    while (W.Buffer.size() < Length && fillUnlessStopped(W, UntilMs, Stop)) {
    }
    Out.ClosedByPeer = W.closed();
    Out.Complete = W.Buffer.size() >= Length;
    Out.Body = W.Buffer.substr(0, Length);
    W.Buffer.erase(0, Length);
    return;
  }
  while (true) {
    size_t End = W.Buffer.find("\r\n");
    size_t Size = strtoull(W.Buffer.c_str(), nullptr, 16);
    if (End != std::string::npos && W.Buffer.size() >= End + 2 + Size + 2) {
      Out.Body += W.Buffer.substr(End + 2, Size);
      W.Buffer.erase(0, End + 2 + Size + 2);
      if (Size == 0) {
        Out.Complete = true;
        return;
      }
      continue;
    }
    if (!fillUnlessStopped(W, UntilMs, Stop)) {
      Out.ClosedByPeer = W.closed();
      return;
    }
  }
}

Answer send(uint16_t Port, const Attempt &A, const std::atomic<bool> *Stop) {
  Answer Out;
  int64_t Until = nowMs() + A.DeadlineMs;
  int Fd = connectTo(Port, ConnectLimitMs);
  if (Fd < 0) {
    return Out;
  }
  Out.Connected = true;
  Wire W(Fd);
  if (W.write(requestBytes(A))) {
    readAnswer(W, Until, Out, Stop);
  }
  return Out;
}

} // namespace review3
