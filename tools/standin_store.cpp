#include "standin_store.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace shallotlatch {

using nlohmann::json;

static constexpr Duration TickPeriod = millis(5);
// Time after which a write whose answer is lost is answered with 304; an outage
// or a change of the object ends it earlier.
static constexpr Duration LostAnswerDelay = seconds(8);
static const std::string ObjectPrefix = "/objects/";

StandinStore::StandinStore(event_base *Base, const StoreInit &Init)
    : Base(Base), Init(Init),
      Server(Base,
             HttpServerInit{Init.ListenAddress, 16384, 2 * 1024 * 1024,
                            seconds(600)},
             [this](evhttp_request *Http) { this->onRequest(Http); }),
      Random(Init.Seed), ReadTokens(Init.ReadsPerSecond),
      WriteTokens(Init.WritesPerSecond), LastRefill(ProcessClock::now()),
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

bool StandinStore::inOutage() const {
  return ProcessClock::now() < this->OutageUntil;
}

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
  if (this->inOutage()) {
    ++this->Counts["refusedOut"];
    sendText(Http, 503, "text/plain", "out\n");
    return;
  }
  if (ProcessClock::now() < this->SlowdownUntil) {
    DelayedRequest P;
    P.Http = Http;
    P.DueAt = ProcessClock::now() + this->AddedDelay;
    this->DelayedRequests.push_back(P);
    return;
  }
  this->serve(Http);
}

void StandinStore::serve(evhttp_request *Http) {
  std::string Name = readRequest(Http).Path.substr(ObjectPrefix.size());
  bool Write = methodOf(Http) == "PUT";
  if (!this->takeToken(Write ? this->WriteTokens : this->ReadTokens)) {
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

bool StandinStore::takeToken(double &Tokens) {
  if (Tokens < 1) {
    return false;
  }
  Tokens -= 1;
  return true;
}

void StandinStore::sendObject(evhttp_request *Http, const std::string &Name) {
  const Object &O = this->Objects[Name];
  addHeader(Http, "X-Era", std::to_string(this->Era));
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
  DelayedRequest P;
  P.Http = Http;
  P.Name = Name;
  P.Watch = true;
  P.WatchedVersion = std::stoull(Watch);
  P.DueAt =
      ProcessClock::now() + millis(Wait.empty() ? 20000 : std::stol(Wait));
  this->DelayedRequests.push_back(P);
}

void StandinStore::write(evhttp_request *Http, const std::string &Name) {
  ++this->Counts["writes"];
  RawRequest Raw = readRequest(Http);
  Object &O = this->Objects[Name];
  if (Raw.Headers["if-match"] != std::to_string(O.Version)) {
    ++this->Counts["conflicts"];
    addHeader(Http, "X-Era", std::to_string(this->Era));
    sendText(Http, 412, "text/plain",
             "version is " + std::to_string(O.Version) + "\n");
    return;
  }
  ++O.Version;
  O.Body = Raw.Body;
  this->answerWatches(Name);
  std::uniform_real_distribution<double> Draw(0, 1);
  if (Draw(this->Random) < this->AnswerLossShare) {
    ++this->Counts["lostAnswers"];
    DelayedRequest P;
    P.Http = Http;
    P.Name = Name;
    P.Watch = true;
    P.WatchedVersion = O.Version;
    P.DueAt = ProcessClock::now() + LostAnswerDelay;
    this->DelayedRequests.push_back(P);
    return;
  }
  addHeader(Http, "X-Era", std::to_string(this->Era));
  addHeader(Http, "X-Version", std::to_string(O.Version));
  sendText(Http, 200, "application/json", "{}");
}

void StandinStore::answerWatches(const std::string &Name) {
  std::deque<DelayedRequest> Remaining;
  for (const DelayedRequest &P : this->DelayedRequests) {
    if (P.Watch && P.Name == Name) {
      this->sendObject(P.Http, Name);
    } else {
      Remaining.push_back(P);
    }
  }
  this->DelayedRequests.swap(Remaining);
}

void StandinStore::tick() {
  Time Now = ProcessClock::now();
  double Elapsed = toSeconds(Now - this->LastRefill);
  this->LastRefill = Now;
  this->ReadTokens =
      std::min(this->Init.ReadsPerSecond,
               this->ReadTokens + Elapsed * this->Init.ReadsPerSecond);
  this->WriteTokens =
      std::min(this->Init.WritesPerSecond,
               this->WriteTokens + Elapsed * this->Init.WritesPerSecond);
  std::deque<DelayedRequest> Due;
  std::deque<DelayedRequest> Remaining;
  for (const DelayedRequest &P : this->DelayedRequests) {
    bool AbortWatch = P.Watch && this->inOutage();
    (Now >= P.DueAt || AbortWatch ? Due : Remaining).push_back(P);
  }
  this->DelayedRequests.swap(Remaining);
  for (const DelayedRequest &P : Due) {
    if (!P.Watch) {
      this->serve(P.Http);
    } else {
      sendText(P.Http, this->inOutage() ? 503 : 304, "text/plain", "");
    }
  }
}

// Sets faults from a JSON body and answers with the counters:
// {"outageMs": N, "slowMs": N, "slowForMs": N, "loseAnswers": P}, where P is a
// probability.
void StandinStore::control(evhttp_request *Http) {
  json Root = json::parse(readRequest(Http).Body, nullptr, false);
  Time Now = ProcessClock::now();
  if (Root.is_object()) {
    if (Root.contains("outageMs")) {
      this->OutageUntil = Now + millis(Root["outageMs"].get<int64_t>());
    }
    if (Root.contains("slowMs")) {
      this->AddedDelay = millis(Root["slowMs"].get<int64_t>());
      this->SlowdownUntil = Now + millis(Root.value("slowForMs", 10000));
    }
    if (Root.value("copy", false)) {
      this->Copied = this->Objects;
    }
    if (Root.value("restore", false)) {
      this->Objects = this->Copied;
      ++this->Era;
    }
    this->AnswerLossShare = Root.value("loseAnswers", this->AnswerLossShare);
  }
  sendText(Http, 200, "application/json", json(this->Counts).dump());
}

} // namespace shallotlatch
