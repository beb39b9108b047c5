#include "load_run.h"

#include "standin_targets.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace shallotlatch {

using nlohmann::json;

static constexpr Duration ResubmitDelay = millis(300);
static constexpr Duration ReadinessProbePeriod = millis(250);
static constexpr Duration RequestTimeout = seconds(150);

LoadRun::LoadRun(event_base *Base, const LoadInit &Init)
    : Base(Base), Init(Init), Client(Base), Random(Init.Seed) {}

LoadRun::~LoadRun() = default;

void LoadRun::runAfter(Duration Wait, std::function<void()> Function) {
  struct DelayedCall {
    std::function<void()> Function;
  };
  DelayedCall *Arg = new DelayedCall{std::move(Function)};
  timeval T{Wait.count() / 1000000,
            static_cast<suseconds_t>(Wait.count() % 1000000)};
  event_base_once(
      this->Base, -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void *Raw) {
        std::unique_ptr<DelayedCall> Owned(static_cast<DelayedCall *>(Raw));
        Owned->Function();
      },
      Arg, &T);
}

void LoadRun::run() {
  this->Start = ProcessClock::now();
  for (size_t I = 0; I < this->Init.Hosts.size(); ++I) {
    this->ReadyHosts.insert(I);
    this->probeReadiness(I);
  }
  this->onArrival();
  event_base_dispatch(this->Base);
}

// The platform's balancer: hosts that say they are not ready get nothing new.
void LoadRun::probeReadiness(size_t Host) {
  HttpRequest R;
  R.To = this->Init.Hosts[Host];
  R.Method = "GET";
  R.Path = "/readyz";
  R.ConnectTimeout = millis(300);
  R.Timeout = millis(500);
  HttpEvents E;
  E.Done = [this, Host](const HttpResult &Result) {
    if (Result.Status == 200) {
      this->ReadyHosts.insert(Host);
    } else {
      this->ReadyHosts.erase(Host);
    }
    if (this->Sending || this->OpenRequests > 0) {
      this->runAfter(ReadinessProbePeriod,
                     [this, Host]() { this->probeReadiness(Host); });
    }
  };
  this->Client.start(R, E);
}

const Address &LoadRun::nextHost() {
  size_t Count = this->Init.Hosts.size();
  for (size_t Step = 0; Step < Count; ++Step) {
    size_t I = this->NextHostIndex++ % Count;
    if (this->ReadyHosts.count(I) != 0) {
      return this->Init.Hosts[I];
    }
  }
  return this->Init.Hosts[this->NextHostIndex++ % Count];
}

// RFC 9562, section 5.7.
static std::string makeUuid7(std::mt19937_64 &Random) {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  uint64_t Ms = static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Since).count());
  std::string Date = toHex(Ms).substr(4);
  std::string A = toHex(Random());
  std::string B = toHex(Random());
  return Date.substr(0, 8) + "-" + Date.substr(8) + "-7" + A.substr(0, 3) +
         "-8" + A.substr(3, 3) + "-" + B.substr(0, 12);
}

void LoadRun::onArrival() {
  Time Now = ProcessClock::now();
  if (Now - this->Start >= this->Init.Length) {
    this->Sending = false;
    return;
  }
  LoadRecord Record;
  Record.Drawn = drawRequest(this->Init.Requests, this->Random);
  Record.Marker = std::to_string(this->Init.Seed) + "-" +
                  std::to_string(this->Records.size());
  if (this->Init.Requests.Entries[Record.Drawn.Entry].Keyed) {
    Record.Key = makeUuid7(this->Random);
  }
  this->Records.push_back(Record);
  ++this->OpenRequests;
  this->submit(this->Records.size() - 1);
  double Gap = std::exponential_distribution<double>(this->Init.RatePerSecond)(
      this->Random);
  this->runAfter(Duration(static_cast<int64_t>(Gap * 1e6)),
                 [this]() { this->onArrival(); });
}

void LoadRun::submit(size_t Index) {
  const LoadRecord &Record = this->Records[Index];
  const MixEntry &Entry = this->Init.Requests.Entries[Record.Drawn.Entry];
  std::shared_ptr<Submission> F = std::make_shared<Submission>();
  F->Record = Index;
  F->Start = ProcessClock::now();
  F->Prompt = makePrompt(this->Init.Requests, Record.Drawn, Record.Marker);
  F->Stream = !Entry.Service && (Index % 2 == 0);
  HttpRequest R;
  R.To = this->nextHost();
  R.Timeout = RequestTimeout;
  R.ReuseConnection = Record.Key.empty();
  R.Headers = {
      {"Authorization",
       "Bearer key-of-" + this->Init.Requests.Customers[Record.Drawn.Customer]},
      {"Content-Type", "application/json"}};
  if (!Record.Key.empty()) {
    R.Headers.emplace_back("Idempotency-Key", Record.Key);
  }
  if (Entry.Service) {
    R.Path = "/v1/services/" + Entry.Kind;
    R.Body = F->Prompt;
  } else {
    R.Path = "/v1/completions";
    R.Body = json{{"kind", Entry.Kind},
                  {"prompt", F->Prompt},
                  {"max_tokens", Entry.OutputTokens},
                  {"stream", F->Stream}}
                 .dump();
  }
  HttpEvents E;
  if (F->Stream) {
    E.Chunk = [this, F](const std::string &Part) { this->onChunk(*F, Part); };
  }
  E.Done = [this, F](const HttpResult &Result) { this->onDone(F, Result); };
  this->Client.start(std::move(R), std::move(E));
}

void LoadRun::onChunk(Submission &F, const std::string &Part) {
  if (F.FirstTokenTime.count() == 0) {
    F.FirstTokenTime = ProcessClock::now() - F.Start;
  }
  F.UnparsedText += Part;
  size_t End = F.UnparsedText.find("\n\n");
  for (; End != std::string::npos; End = F.UnparsedText.find("\n\n")) {
    std::string Line = F.UnparsedText.substr(0, End);
    F.UnparsedText.erase(0, End + 2);
    if (Line == "data: [DONE]") {
      F.SawDone = true;
      continue;
    }
    size_t Data = Line.find("data: ");
    json Event = Data == std::string::npos
                     ? json()
                     : json::parse(Line.substr(Data + 6), nullptr, false);
    if (!Event.is_object()) {
      continue;
    }
    if (Event.contains("verdict")) {
      F.Verdict = Event["verdict"];
      F.Reason = Event.value("reason", "");
    } else {
      F.Text += Event.value("text", "");
    }
  }
}

static std::string expectedText(const std::string &Prompt, uint32_t Tokens) {
  std::string Text;
  for (uint32_t I = 0; I < Tokens; ++I) {
    Text += tokenText(Prompt, I);
  }
  return Text;
}

void LoadRun::checkAnswer(Submission &F, const HttpResult &R,
                          LoadRecord &Out) const {
  const MixEntry &Entry = this->Init.Requests.Entries[Out.Drawn.Entry];
  bool Streamed = F.Stream && R.Status == 200;
  if (!Streamed) {
    auto Header = R.Headers.find("shallot-verdict");
    F.Verdict = Header == R.Headers.end() || !R.Complete ? "" : Header->second;
    json Body = json::parse(R.Body, nullptr, false);
    if (Body.is_object()) {
      F.Reason = Body.value("reason", "");
      F.Text = Body.value("text", "");
    }
  }
  if (F.Verdict != "completed" || F.Reason == "key-duplicate") {
    return;
  }
  if (Entry.Service) {
    Out.WrongAnswer = R.Body != serviceAnswer(F.Prompt);
  } else {
    Out.WrongAnswer = F.Text != expectedText(F.Prompt, Entry.OutputTokens) ||
                      (Streamed && !F.SawDone);
  }
}

void LoadRun::onDone(const std::shared_ptr<Submission> &F,
                     const HttpResult &R) {
  LoadRecord &Record = this->Records[F->Record];
  if (!R.Sent) {
    // Nobody was there: the balancer takes another host.
    this->resubmitAfter(F->Record, millis(50));
    return;
  }
  this->checkAnswer(*F, R, Record);
  Record.Verdicts.push_back(F->Verdict);
  Record.Reason = F->Reason;
  if (F->Verdict.empty() &&
      Record.Verdicts.size() < this->Init.MaxSubmissions) {
    this->resubmitAfter(F->Record, ResubmitDelay);
    return;
  }
  Record.Ended = true;
  Record.FirstTokenTime = F->FirstTokenTime;
  Record.TotalTime = ProcessClock::now() - F->Start;
  Record.EndedAt = ProcessClock::now() - this->Start;
  --this->OpenRequests;
  if (!this->Sending && this->OpenRequests == 0) {
    event_base_loopbreak(this->Base);
  }
}

void LoadRun::resubmitAfter(size_t Record, Duration Wait) {
  if (ProcessClock::now() - this->Start > this->Init.Length + RequestTimeout) {
    --this->OpenRequests;
    if (this->OpenRequests == 0) {
      event_base_loopbreak(this->Base);
    }
    return;
  }
  this->runAfter(Wait, [this, Record]() { this->submit(Record); });
}

} // namespace shallotlatch
