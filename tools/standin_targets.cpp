#include "standin_targets.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace shallotlatch {

using nlohmann::json;

static constexpr Duration RestartDelay = seconds(1);
static const std::string CrashMarker = "CRASH-ENGINE";

std::string findMarker(const std::string &Text) {
  static const std::string MarkerPrefix = "#req:";
  size_t Start = Text.find(MarkerPrefix);
  if (Start == std::string::npos) {
    return "";
  }
  Start += MarkerPrefix.size();
  size_t End = Text.find('#', Start);
  return End == std::string::npos ? "" : Text.substr(Start, End - Start);
}

std::string tokenText(const std::string &Prompt, uint32_t Index) {
  return " " + toHex(hash64(Prompt, Index + 1)).substr(10);
}

std::string serviceAnswer(const std::string &Body) {
  return json{{"done", toHex(hash64(Body))}}.dump();
}

void ExecutionLedger::add(const std::string &Text,
                          const std::string &RequestId) {
  std::string Marker = findMarker(Text);
  if (!Marker.empty()) {
    ++this->Markers[Marker];
  }
  // Calls that come straight from the load tool carry no request id.
  if (!RequestId.empty()) {
    ++this->RequestIds[RequestId];
  }
}

static void sendLedger(evhttp_request *Http, const ExecutionLedger &L,
                       const EngineCounts &Counts) {
  json Body{{"markers", L.Markers},
            {"requestIds", L.RequestIds},
            {"prefillTokens", Counts.PrefillTokens},
            {"cachedTokens", Counts.CachedTokens},
            {"uselessTokens", Counts.WastedPrefillTokens},
            {"outputTokens", Counts.OutputTokens}};
  sendText(Http, 200, "application/json", Body.dump());
}

static timeval toTimeval(double Us) {
  timeval T;
  T.tv_sec = static_cast<time_t>(Us / 1e6);
  T.tv_usec = static_cast<suseconds_t>(Us) % 1000000;
  return T;
}

StandinEngine::StandinEngine(event_base *Base, Address ListenAddress,
                             const EngineInit &Init)
    : Base(Base), ListenAddress(std::move(ListenAddress)), Model(Init),
      Stepper(event_new(
          Base, -1, 0,
          [](evutil_socket_t, short, void *Self) {
            static_cast<StandinEngine *>(Self)->step();
          },
          this)) {
  this->startServer();
}

StandinEngine::~StandinEngine() { event_free(this->Stepper); }

void StandinEngine::startServer() {
  this->Server = std::make_unique<HttpServer>(
      this->Base,
      HttpServerInit{this->ListenAddress, 16384, 16 * 1024 * 1024,
                     seconds(600)},
      [this](evhttp_request *Http) { this->onRequest(Http); });
  this->Restarting = false;
}

void StandinEngine::onRequest(evhttp_request *Http) {
  std::string Path = readRequest(Http).Path;
  if (Path == "/v1/completions") {
    this->complete(Http);
  } else if (Path == "/load") {
    json Body{{"running", this->Model.running()},
              {"queued", this->Model.queued()},
              {"leaving", this->Leaving},
              {"evicted", this->Model.takeEvicted()}};
    sendText(Http, 200, "application/json", Body.dump());
  } else if (Path == "/ledger") {
    sendLedger(Http, this->Executions, this->Model.counts());
  } else if (Path == "/control") {
    this->control(Http);
  } else {
    sendText(Http, 404, "text/plain", "no such path\n");
  }
}

// {"slowdown": F, "leaving": B, "crash": true}
void StandinEngine::control(evhttp_request *Http) {
  json Root = json::parse(readRequest(Http).Body, nullptr, false);
  if (Root.is_object()) {
    this->Slowdown = Root.value("slowdown", this->Slowdown);
    this->Leaving = Root.value("leaving", this->Leaving);
    this->CrashRequested = Root.value("crash", false);
  }
  sendText(Http, 200, "application/json", "{}");
  if (this->CrashRequested) {
    this->schedule();
  }
}

void StandinEngine::complete(evhttp_request *Http) {
  RawRequest Raw = readRequest(Http);
  json Root = json::parse(Raw.Body, nullptr, false);
  if (!Root.is_object() || !Root.contains("prompt")) {
    sendText(Http, 400, "text/plain", "no prompt\n");
    return;
  }
  Stream S;
  S.Http = Http;
  S.Owner = this;
  S.Number = this->NextNumber++;
  S.Prompt = Root["prompt"].get<std::string>();
  this->Executions.add(S.Prompt, Raw.Headers["x-request-id"]);
  uint32_t Tokens = static_cast<uint32_t>(
      S.Prompt.size() / SHALLOTLATCH_CONFIG_BYTES_PER_TOKEN + 1);
  this->Model.add(S.Number, Tokens, Root.value("max_tokens", 16),
                  hashPrefixes(S.Prompt));
  this->CrashRequested =
      this->CrashRequested || S.Prompt.find(CrashMarker) != std::string::npos;
  Stream &Stored = this->Streams[S.Number] = S;
  evhttp_connection *Connection = evhttp_request_get_connection(Http);
  Stored.CloseEvent = event_new(
      this->Base,
      bufferevent_getfd(evhttp_connection_get_bufferevent(Connection)),
      EV_CLOSED,
      [](evutil_socket_t, short, void *Arg) {
        Stream *Closed = static_cast<Stream *>(Arg);
        Closed->Owner->cancelStream(Closed->Number);
      },
      &Stored);
  event_add(Stored.CloseEvent, nullptr);
  this->schedule();
}

// The caller went away: the engine cancels its request.
void StandinEngine::cancelStream(uint64_t Number) {
  auto It = this->Streams.find(Number);
  if (It == this->Streams.end()) {
    return;
  }
  Stream S = It->second;
  this->Streams.erase(It);
  event_free(S.CloseEvent);
  this->Model.cancel(Number);
  if (!S.Started) {
    evhttp_send_reply_start(S.Http, 200, "OK");
  }
  evhttp_send_reply_end(S.Http);
}

void StandinEngine::schedule() {
  if (this->Scheduled) {
    return;
  }
  this->Scheduled = true;
  double Us =
      this->CrashRequested ? 1000 : this->Model.beginStep(this->Slowdown);
  timeval T = toTimeval(Us);
  event_add(this->Stepper, &T);
}

void StandinEngine::step() {
  this->Scheduled = false;
  if (this->Restarting) {
    this->startServer();
    return;
  }
  if (this->CrashRequested) {
    this->crash();
    return;
  }
  for (const EngineEvent &E : this->Model.step()) {
    this->sendEvent(E);
  }
  if (!this->Model.idle()) {
    this->schedule();
  }
}

void StandinEngine::sendEvent(const EngineEvent &E) {
  auto It = this->Streams.find(E.Request);
  if (It == this->Streams.end()) {
    return;
  }
  Stream &S = It->second;
  if (!S.Started) {
    S.Started = true;
    addHeader(S.Http, "Content-Type", "text/event-stream");
    evhttp_send_reply_start(S.Http, 200, "OK");
  }
  std::string Text =
      "data: " + json{{"text", tokenText(S.Prompt, E.TokenIndex)}}.dump() +
      "\n\n";
  if (E.Last) {
    Text += "data: [DONE]\n\n";
  }
  evbuffer *Out = evbuffer_new();
  evbuffer_add(Out, Text.data(), Text.size());
  evhttp_send_reply_chunk(S.Http, Out);
  evbuffer_free(Out);
  if (E.Last) {
    evhttp_request *Http = S.Http;
    event_free(S.CloseEvent);
    this->Streams.erase(It);
    evhttp_send_reply_end(Http);
  }
}

// Every connection breaks; the engine is back after a restart, cache empty.
void StandinEngine::crash() {
  this->CrashRequested = false;
  for (auto &Item : this->Streams) {
    event_free(Item.second.CloseEvent);
  }
  this->Streams.clear();
  this->Model.crash();
  this->Server.reset();
  this->Restarting = true;
  this->Scheduled = true;
  timeval T = toTimeval(static_cast<double>(RestartDelay.count()));
  event_add(this->Stepper, &T);
}

StandinService::StandinService(event_base *Base, Address ListenAddress,
                               Duration WorkTime)
    : Base(Base), WorkTime(WorkTime),
      Server(Base,
             HttpServerInit{std::move(ListenAddress), 16384, 16 * 1024 * 1024,
                            seconds(600)},
             [this](evhttp_request *Http) { this->onRequest(Http); }),
      Ticker(event_new(
          Base, -1, EV_PERSIST,
          [](evutil_socket_t, short, void *Self) {
            static_cast<StandinService *>(Self)->tick();
          },
          this)) {
  timeval Period{0, 1000};
  event_add(this->Ticker, &Period);
}

StandinService::~StandinService() { event_free(this->Ticker); }

void StandinService::onRequest(evhttp_request *Http) {
  RawRequest Raw = readRequest(Http);
  if (Raw.Path == "/ledger") {
    sendLedger(Http, this->Executions, EngineCounts());
    return;
  }
  if (Raw.Path == "/load") {
    sendText(Http, 200, "application/json",
             json{{"running", this->Jobs.size()}, {"leaving", false}}.dump());
    return;
  }
  this->Executions.add(Raw.Body, Raw.Headers["x-request-id"]);
  if (this->WorkTime.count() == 0) {
    sendText(Http, 200, "application/json", serviceAnswer(Raw.Body));
    return;
  }
  this->Jobs.push_back(
      Job{Http, Raw.Body, ProcessClock::now() + this->WorkTime});
}

void StandinService::tick() {
  Time Now = ProcessClock::now();
  std::vector<Job> Due;
  auto FirstDue =
      std::stable_partition(this->Jobs.begin(), this->Jobs.end(),
                            [&](const Job &J) { return J.DueAt > Now; });
  Due.assign(FirstDue, this->Jobs.end());
  this->Jobs.erase(FirstDue, this->Jobs.end());
  for (const Job &J : Due) {
    sendText(J.Http, 200, "application/json", serviceAnswer(J.Body));
  }
}

} // namespace shallotlatch
