#include "standin_store.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace shallotlatch {

using nlohmann::json;

static constexpr Duration TickPeriod = millis(5);
static constexpr Duration LostAnswerDelay = seconds(8);
static const std::string ObjectPrefix = "/objects/";

StandinStore::StandinStore(event_base *Base, const StoreInit &Init)
    : Base(Base), Init(Init),
      Server(Base,
             HttpServerInit{Init.At, 16384, 2 * 1024 * 1024, seconds(600)},
             [this](evhttp_request *Http) { this->onRequest(Http); }),
      Random(Init.Seed), ReadTokens(Init.ReadsPerSecond),
      WriteTokens(Init.WritesPerSecond), Refilled(ProcessClock::now()),
      Ticker(event_new(
                 Base, -1, EV_PERSIST,
                 [](evutil_socket_t, short, void *Self) {
                   static_cast<StandinStore *>(Self)->tick();
                 },
                 this),
             event_free) {
  timeval Period{0, static_cast<suseconds_t>(TickPeriod.count())};
  event_add(this->Ticker.get(), &Period);
}

bool StandinStore::out() const { return ProcessClock::now() < this->OutUntil; }

void StandinStore::onRequest(evhttp_request *Http) {
  RawRequest Raw = readRequest(Http);
  if (Raw.Path == "/control") {
    this->control(Http);
    return;
  }
  if (Raw.Path.compare(0, ObjectPrefix.size(), ObjectPrefix) != 0) {
    sendText(Http, 404, "text/plain", "no such path\n");
    return;
  }
  ++this->Counts["calls"];
  if (this->out()) {
    ++this->Counts["refusedOut"];
    sendText(Http, 503, "text/plain", "out\n");
    return;
  }
  if (ProcessClock::now() < this->SlowUntil) {
    Pending P;
    P.Http = Http;
    P.Until = ProcessClock::now() + this->Slowness;
    this->Waiting.push_back(P);
    return;
  }
  this->serve(Http);
}

void StandinStore::serve(evhttp_request *Http) {
  std::string Name = readRequest(Http).Path.substr(ObjectPrefix.size());
  bool Write = methodOf(Http) == "PUT";
  if (!this->take(Write ? this->WriteTokens : this->ReadTokens)) {
    ++this->Counts["refusedRate"];
    sendText(Http, 429, "text/plain", "rate\n");
    return;
  }
  if (Write) {
    this->write(Http, Name);
  } else {
    this->read(Http, Name);
  }
}

bool StandinStore::take(double &Tokens) {
  if (Tokens < 1) {
    return false;
  }
  Tokens -= 1;
  return true;
}

void StandinStore::sendObject(evhttp_request *Http, const std::string &Name) {
  const Object &O = this->Objects[Name];
  addHeader(Http, "X-Version", std::to_string(O.Version));
  sendText(Http, O.Version == 0 ? 404 : 200, "application/json", O.Body);
}

void StandinStore::read(evhttp_request *Http, const std::string &Name) {
  ++this->Counts["reads"];
  std::string Watch = queryParameter(Http, "watch");
  if (Watch.empty() || std::stoull(Watch) != this->Objects[Name].Version) {
    this->sendObject(Http, Name);
    return;
  }
  std::string Wait = queryParameter(Http, "waitMs");
  Pending P;
  P.Http = Http;
  P.Name = Name;
  P.Watch = true;
  P.Since = std::stoull(Watch);
  P.Until =
      ProcessClock::now() + millis(Wait.empty() ? 20000 : std::stol(Wait));
  this->Waiting.push_back(P);
}

void StandinStore::write(evhttp_request *Http, const std::string &Name) {
  ++this->Counts["writes"];
  RawRequest Raw = readRequest(Http);
  Object &O = this->Objects[Name];
  if (Raw.Headers["if-match"] != std::to_string(O.Version)) {
    ++this->Counts["conflicts"];
    sendText(Http, 412, "text/plain",
             "version is " + std::to_string(O.Version) + "\n");
    return;
  }
  ++O.Version;
  O.Body = Raw.Body;
  this->wakeWatches(Name);
  std::uniform_real_distribution<double> Draw(0, 1);
  if (Draw(this->Random) < this->LoseAnswers) {
    ++this->Counts["lostAnswers"];
    Pending P;
    P.Http = Http;
    P.Name = Name;
    P.Watch = true;
    P.Since = O.Version;
    P.Until = ProcessClock::now() + LostAnswerDelay;
    this->Waiting.push_back(P);
    return;
  }
  addHeader(Http, "X-Version", std::to_string(O.Version));
  sendText(Http, 200, "application/json", "{}");
}

void StandinStore::wakeWatches(const std::string &Name) {
  std::deque<Pending> Rest;
  for (const Pending &P : this->Waiting) {
    if (P.Watch && P.Name == Name) {
      this->sendObject(P.Http, Name);
    } else {
      Rest.push_back(P);
    }
  }
  this->Waiting.swap(Rest);
}

void StandinStore::tick() {
  Time Now = ProcessClock::now();
  double Passed = toSeconds(Now - this->Refilled);
  this->Refilled = Now;
  this->ReadTokens =
      std::min(this->Init.ReadsPerSecond,
               this->ReadTokens + Passed * this->Init.ReadsPerSecond);
  this->WriteTokens =
      std::min(this->Init.WritesPerSecond,
               this->WriteTokens + Passed * this->Init.WritesPerSecond);
  std::deque<Pending> Due;
  std::deque<Pending> Rest;
  for (const Pending &P : this->Waiting) {
    bool Cut = P.Watch && this->out();
    (Now >= P.Until || Cut ? Due : Rest).push_back(P);
  }
  this->Waiting.swap(Rest);
  for (const Pending &P : Due) {
    if (!P.Watch) {
      this->serve(P.Http);
    } else {
      sendText(P.Http, this->out() ? 503 : 304, "text/plain", "");
    }
  }
}

// {"outageMs": N, "slowMs": N, "slowForMs": N, "loseAnswers": P}
void StandinStore::control(evhttp_request *Http) {
  json Root = json::parse(readRequest(Http).Body, nullptr, false);
  Time Now = ProcessClock::now();
  if (Root.is_object()) {
    if (Root.contains("outageMs")) {
      this->OutUntil = Now + millis(Root["outageMs"].get<int64_t>());
    }
    if (Root.contains("slowMs")) {
      this->Slowness = millis(Root["slowMs"].get<int64_t>());
      this->SlowUntil = Now + millis(Root.value("slowForMs", 10000));
    }
    this->LoseAnswers = Root.value("loseAnswers", this->LoseAnswers);
  }
  sendText(Http, 200, "application/json", json(this->Counts).dump());
}

} // namespace shallotlatch
