#include "world.h"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review2 {

static constexpr int64_t HeartbeatMs = 1200;
static constexpr int64_t SweepMs = 50;

static int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void Record::line(const std::string &Text) {
  char Time[32];
  snprintf(Time, sizeof(Time), "%8.3f ", static_cast<double>(nowMs()) / 1000);
  this->Out << Time << Text << std::endl;
}

std::string freshId() {
  static uint64_t Next = static_cast<uint64_t>(unixMs()) << 20;
  char Text[32];
  snprintf(Text, sizeof(Text), "%016llx",
           static_cast<unsigned long long>(++Next));
  return Text;
}

TemporaryFolder::TemporaryFolder() {
  char Name[] = "/tmp/review2-XXXXXX";
  this->Path = mkdtemp(Name);
}

TemporaryFolder::~TemporaryFolder() {
  if (getenv("KEEP") == nullptr) {
    std::string Command = "rm -rf '" + this->Path + "'";
    if (system(Command.c_str()) != 0) {
      fprintf(stderr, "cannot remove %s\n", this->Path.c_str());
    }
  }
}

Store::Store(Loop &Owner)
    : Owner(Owner), Fd(listenOn(freePort())), Port(portOf(this->Fd)) {
  Owner.listen(this->Fd, [this](int Accepted) {
    this->Connections.push_back(
        std::make_unique<Connection>(this->Owner, Accepted));
    Connection *C = this->Connections.back().get();
    C->OnData = [this, C] {
      while (std::optional<Message> M = takeRequest(C->In)) {
        this->onRequest(*C, *M);
      }
    };
  });
  this->tick();
}

Store::~Store() { this->Owner.unlisten(this->Fd); }

void Store::answer(Connection &C, int Status, const std::string &Body) {
  C.send("HTTP/1.1 " + std::to_string(Status) +
         " X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
         "Content-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body);
}

json Store::show(const std::string &Kind, const std::string &Name) {
  const Object &O = this->Objects[Kind][Name];
  return json{{"metadata",
               {{"name", Name},
                {"revision", O.Revision},
                {"created", O.Created},
                {"finalizers", json::array()},
                {"deletion-pending", false}}},
              {"specification", O.Specification},
              {"status", O.Status}};
}

void Store::changed(const std::string &Kind, const std::string &Name,
                    bool Deleted) {
  Object &O = this->Objects[Kind][Name];
  O.Revision = ++this->Revision;
  this->History.push_back(
      {this->Revision, Kind,
       json{{"object", this->show(Kind, Name)}, {"deleted", Deleted}}});
  if (Deleted) {
    this->Objects[Kind].erase(Name);
  }
  std::vector<Watch> Open;
  Open.swap(this->Watches);
  for (const Watch &W : Open) {
    if (W.At->isOpen() && !this->answerWatch(W, false)) {
      this->Watches.push_back(W);
    }
  }
}

void Store::put(const std::string &Kind, const std::string &Name,
                const json &Specification) {
  bool Exists = this->has(Kind, Name);
  Object &O = this->Objects[Kind][Name];
  if (Exists && O.Specification == Specification) {
    return;
  }
  if (!Exists) {
    O.Created = this->Revision + 1;
  }
  O.Specification = Specification;
  this->changed(Kind, Name, false);
}

void Store::erase(const std::string &Kind, const std::string &Name) {
  if (this->has(Kind, Name)) {
    this->changed(Kind, Name, true);
  }
}

bool Store::has(const std::string &Kind, const std::string &Name) {
  return this->Objects[Kind].count(Name) != 0;
}

bool Store::answerWatch(const Watch &W, bool Final) {
  json Events = json::array();
  for (const Event &E : this->History) {
    if (E.Kind == W.Kind && E.Revision > W.Since) {
      Events.push_back(E.Shown);
    }
  }
  if (Events.empty() && !Final) {
    return false;
  }
  Store::answer(*W.At, 200,
                json{{"events", Events}, {"at", this->Revision}}.dump());
  return true;
}

void Store::tick() {
  int64_t Now = nowMs();
  std::vector<Watch> Open;
  Open.swap(this->Watches);
  for (const Watch &W : Open) {
    if (W.At->isOpen() && !this->answerWatch(W, Now >= W.Until)) {
      this->Watches.push_back(W);
    }
  }
  this->Connections.remove_if([this](const std::unique_ptr<Connection> &C) {
    for (const Watch &W : this->Watches) {
      if (W.At == C.get()) {
        return false;
      }
    }
    return !C->isOpen();
  });
  this->Owner.after(SweepMs, [this] { this->tick(); });
}

void Store::onRequest(Connection &C, const Message &M) {
  static const std::string Prefix = "/objects/";
  std::string Path = M.Target.substr(0, M.Target.find('?'));
  if (this->Busy) {
    Store::answer(C, 503, "{}");
    return;
  }
  if (Path.compare(0, Prefix.size(), Prefix) != 0) {
    Store::answer(C, 404, "{}");
    return;
  }
  std::string Rest = Path.substr(Prefix.size());
  size_t Slash = Rest.find('/');
  std::string Kind = Rest.substr(0, Slash);
  std::string Name = Slash == std::string::npos ? "" : Rest.substr(Slash + 1);
  if (M.Method != "GET") {
    this->write(C, M, Kind, Name);
    return;
  }
  std::string Since = queryOf(M.Target, "watch");
  if (!Since.empty()) {
    Watch W;
    W.At = &C;
    W.Kind = Kind;
    W.Since = strtoull(Since.c_str(), nullptr, 10);
    int64_t Wait = atoll(queryOf(M.Target, "wait-timeout-ms").c_str());
    W.Until = nowMs() + Wait;
    if (!this->answerWatch(W, Wait == 0)) {
      this->Watches.push_back(W);
    }
    return;
  }
  if (!Name.empty()) {
    bool Exists = this->has(Kind, Name);
    Store::answer(C, Exists ? 200 : 404,
                  Exists ? this->show(Kind, Name).dump() : "{}");
    return;
  }
  std::string After = queryOf(M.Target, "after");
  json Entries = json::array();
  for (const auto &Item : this->Objects[Kind]) {
    if (Item.first > After) {
      Entries.push_back(this->show(Kind, Item.first));
    }
  }
  Store::answer(
      C, 200,
      json{{"entries", Entries}, {"has-more", false}, {"at", this->Revision}}
          .dump());
}

void Store::write(Connection &C, const Message &M, const std::string &Kind,
                  const std::string &Name) {
  json Body = json::parse(M.Body, nullptr, false);
  if (M.Method == "DELETE") {
    bool Exists = this->has(Kind, Name);
    this->erase(Kind, Name);
    Store::answer(C, Exists ? 200 : 404, "{}");
    return;
  }
  if (!Body.is_object()) {
    Store::answer(C, 400, "{}");
    return;
  }
  if (M.Method == "POST") {
    std::string Created = Body["metadata"].value("name", "");
    if (this->has(Kind, Created)) {
      Store::answer(C, 409, this->show(Kind, Created).dump());
      return;
    }
    this->put(Kind, Created, Body["specification"]);
    Store::answer(C, 200, this->show(Kind, Created).dump());
    return;
  }
  if (!this->has(Kind, Name)) {
    Store::answer(C, 404, "{}");
    return;
  }
  this->put(Kind, Name, Body["specification"]);
  Store::answer(C, 200, this->show(Kind, Name).dump());
}

Server::Server(Loop &Owner, Store &Registry, Record &Log, ServerInit Init)
    : Owner(Owner), Registry(Registry), Log(Log), Init(std::move(Init)) {
  this->sweep();
}

Server::~Server() { this->endProcess(); }

void Server::start(int64_t RegisterAfterMs) {
  this->Port = this->Port == 0 ? freePort() : this->Port;
  this->Fd = listenOn(this->Port);
  if (this->Fd < 0) {
    fprintf(stderr, "a server cannot listen\n");
    exit(2);
  }
  this->Born = unixMs();
  this->Sequence = 0;
  uint64_t Present = ++this->Life;
  this->Owner.listen(this->Fd,
                     [this](int Accepted) { this->onAccept(Accepted); });
  this->Log.line("server " + this->Init.Identifier + " starts, version " +
                 this->Init.Version);
  this->Owner.after(RegisterAfterMs, [this, Present] {
    if (this->Life == Present && this->isUp()) {
      this->Registered = true;
      this->beat();
    }
  });
}

void Server::beat() {
  uint64_t Present = this->Life;
  bool First = this->Sequence == 0;
  // The entry changes only when more than the sequence number does.
  this->Sequence = 1;
  this->Registry.put(
      "servers", this->Init.Identifier,
      json{{"service", this->Init.Service},
           {"address", "127.0.0.1:" + std::to_string(this->Port)},
           {"availability-zone", this->Init.Zone},
           {"version", this->Init.Version},
           {"concurrency-slots", this->Init.Slots},
           {"lifecycle-state", "ready"},
           {"cold-remaining-ms", 0},
           {"sequence-number", this->Sequence},
           {"born", this->Born}});
  if (First) {
    this->Log.line("server " + this->Init.Identifier +
                   " has registered, version " + this->Init.Version);
  }
  this->Owner.after(HeartbeatMs, [this, Present] {
    if (this->Life == Present && this->isUp()) {
      this->beat();
    }
  });
}

void Server::endProcess() {
  if (this->Fd < 0) {
    return;
  }
  this->Owner.unlisten(this->Fd);
  this->Fd = -1;
  ++this->Life;
  this->Runs.clear();
  this->Waiting.clear();
  for (Peer &P : this->Peers) {
    P.At->OnData = nullptr;
    P.At->OnClose = nullptr;
    P.At->reset();
  }
}

void Server::crash() {
  this->endProcess();
  this->Log.line("server " + this->Init.Identifier + " crashes");
  // The store removes the entry after three beats of silence.
  uint64_t Present = this->Life;
  this->Owner.after(3 * HeartbeatMs, [this, Present] {
    if (this->Life == Present) {
      this->Registry.erase("servers", this->Init.Identifier);
    }
  });
}

size_t Server::connections() const {
  size_t Count = 0;
  for (const Peer &P : this->Peers) {
    Count += P.At->isOpen() ? 1 : 0;
  }
  return Count;
}

Server::Peer *Server::peerOf(const Connection *At) {
  for (Peer &P : this->Peers) {
    if (P.At.get() == At) {
      return &P;
    }
  }
  return nullptr;
}

void Server::sweep() {
  this->Peers.remove_if([](const Peer &P) { return !P.At->isOpen(); });
  for (Peer &P : this->Peers) {
    if (this->KeepAliveS > 0 && !P.Busy &&
        nowMs() - P.IdleSince > 1000 * this->KeepAliveS) {
      P.At->closeNow();
    }
  }
  this->Owner.after(SweepMs, [this] { this->sweep(); });
}

void Server::onAccept(int Accepted) {
  this->Peers.emplace_back();
  Peer &P = this->Peers.back();
  P.At = std::make_unique<Connection>(this->Owner, Accepted);
  P.IdleSince = nowMs();
  P.At->OnData = [this, &P] { this->onData(P); };
  P.At->OnClose = [this, &P] {
    // A server drops a request when its connection closes.
    for (auto It = this->Runs.begin(); It != this->Runs.end();) {
      It = It->second.At == P.At.get() ? this->Runs.erase(It) : std::next(It);
    }
    for (auto It = this->Waiting.begin(); It != this->Waiting.end();) {
      It = It->first == P.At.get() ? this->Waiting.erase(It) : std::next(It);
    }
    this->runWaiting();
  };
}

void Server::onData(Peer &P) {
  if (P.Busy) {
    return;
  }
  std::optional<Message> M = takeRequest(P.At->In);
  if (!M) {
    return;
  }
  const std::string &Expected = M->field("shallotlatch-expect-instance");
  bool IsOther = !Expected.empty() && Expected != this->Init.Identifier;
  bool IsFull = this->Runs.size() >= this->Init.Slots;
  if (IsOther || (IsFull && this->Waiting.size() >= this->MostWaiting)) {
    this->turnAway(P, *M, IsOther);
    return;
  }
  P.Busy = true;
  if (IsFull) {
    this->Waiting.emplace_back(P.At.get(), std::move(*M));
  } else {
    this->run(P, std::move(*M));
  }
}

void Server::turnAway(Peer &P, const Message &Request, bool IsOther) {
  const std::string &Id = Request.field("shallotlatch-request-id");
  this->Log.line("server " + this->Init.Identifier + " turns " + Id +
                 " away with " + (IsOther ? "421" : "503"));
  P.At->send(std::string("HTTP/1.1 ") + (IsOther ? "421" : "503") +
             " X\r\nShallotlatch-Request-Id: " + Id +
             "\r\nShallotlatch-Not-Executed: 1\r\n" + this->MoreFields +
             "Content-Length: 0\r\n\r\n");
  P.IdleSince = nowMs();
  if (!IsOther && this->OnTurnedAway) {
    this->OnTurnedAway(*this);
  }
}

void Server::runWaiting() {
  while (!this->Waiting.empty() && this->Runs.size() < this->Init.Slots) {
    Peer *P = this->peerOf(this->Waiting.front().first);
    Message Request = std::move(this->Waiting.front().second);
    this->Waiting.pop_front();
    if (P != nullptr && P->At->isOpen()) {
      this->run(*P, std::move(Request));
    }
  }
}

void Server::run(Peer &P, Message Request) {
  uint64_t Number = this->NextRun++;
  Run &R = this->Runs[Number];
  R.Request = std::move(Request);
  R.At = P.At.get();
  R.Number = Number;
  if (this->LogsRuns) {
    const std::string &After = R.Request.field("last-event-id");
    this->Log.line("server " + this->Init.Identifier + " (" +
                   this->Init.Version + ") runs " +
                   R.Request.field("shallotlatch-request-id") + " " +
                   R.Request.Method + " " + R.Request.Target +
                   (After.empty() ? "" : " after event " + After));
  }
  this->OnRun(*this, R);
}

std::string Server::stamp(const Run &R) const {
  return this->Init.Identifier + "." + this->Init.Version + "." +
         std::to_string(R.Number);
}

std::string Server::head(const Run &R, int Status,
                         const std::string &Framing) const {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) +
                     " X\r\nShallotlatch-Request-Id: " +
                     R.Request.field("shallotlatch-request-id") +
                     "\r\nShallotlatch-Server-Stamp: " + this->stamp(R) +
                     "\r\n" + Framing + "\r\n";
  if (this->KeepAliveS > 0) {
    Text += "Keep-Alive: timeout=" + std::to_string(this->KeepAliveS) + "\r\n";
  }
  return Text + this->MoreFields + "\r\n";
}

void Server::ended(uint64_t Number, bool Close) {
  auto It = this->Runs.find(Number);
  if (It == this->Runs.end()) {
    return;
  }
  Connection *At = It->second.At;
  this->Runs.erase(It);
  if (Peer *P = this->peerOf(At)) {
    P->Busy = false;
    P->IdleSince = nowMs();
    if (Close) {
      P->At->closeWhenSent();
    } else {
      this->onData(*P);
    }
  }
  this->runWaiting();
}

void Server::answer(Run &R, int Status, const std::string &Body) {
  R.At->send(this->head(R, Status,
                        "Content-Type: text/plain\r\nContent-Length: " +
                            std::to_string(Body.size())) +
             Body);
  this->ended(R.Number, false);
}

void Server::stream(Run &R, unsigned First, unsigned Last, int64_t GapMs) {
  R.At->send(this->head(
      R, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"));
  this->nextEvent(R.Number, First, Last, GapMs);
}

void Server::nextEvent(uint64_t Number, unsigned Next, unsigned Last,
                       int64_t GapMs) {
  auto It = this->Runs.find(Number);
  if (It == this->Runs.end()) {
    return;
  }
  if (Next > Last) {
    It->second.At->send("0\r\n\r\n");
    this->ended(Number, false);
    return;
  }
  // The data name the software version that wrote the event.
  It->second.At->send(
      chunk("id: " + std::to_string(Next) + "\ndata: " + std::to_string(Next) +
            " " + this->Init.Version + " " + this->Init.Identifier + "\n\n"));
  uint64_t Present = this->Life;
  this->Owner.after(GapMs, [this, Present, Number, Next, Last, GapMs] {
    if (this->Life == Present) {
      this->nextEvent(Number, Next + 1, Last, GapMs);
    }
  });
}

Client::Client(Loop &Owner, uint16_t Port, const std::string &Bytes)
    : At(std::make_unique<Connection>(Owner, connectTo(Port))) {
  this->At->OnData = [this] {
    if (this->Reader.feed(this->At->In) && this->EndedAt == 0) {
      this->EndedAt = nowMs();
    }
  };
  this->At->OnClose = [this] {
    this->Closed = true;
    if (this->EndedAt == 0) {
      this->EndedAt = nowMs();
    }
  };
  this->At->send(Bytes);
}

Gateway::Gateway(const std::string &Folder, const review2::Store &Registry,
                 GatewayInit Init)
    : Folder(Folder), Init(std::move(Init)), Store(Registry.port()),
      Caller(freePort()), Ready(freePort()), Peer(freePort()),
      Metrics(freePort()) {}

Gateway::~Gateway() { this->kill(); }

std::string Gateway::logPath() const {
  return this->Folder + "/" + this->Init.Name + ".log";
}

void Gateway::start() {
  auto At = [](uint16_t Port) { return "127.0.0.1:" + std::to_string(Port); };
  // The fields of deploy/settings.json with the bounds of a small deployment.
  json Settings{{"host", this->Init.Name},
                {"failureDomain", this->Init.Zone},
                {"region", "region-" + this->Init.Zone},
                {"caller", At(this->Caller)},
                {"ready", At(this->Ready)},
                {"peer", At(this->Peer)},
                {"store", At(this->Store)},
                {"metricsPort", this->Metrics},
                {"revocationMs", 5000},
                {"targetHeartbeatMs", HeartbeatMs},
                {"stopGraceSeconds", 8},
                {"drainTimeoutMs", "2500"},
                {"retryRatio", 0.2},
                {"retryExtra", 56},
                {"retryWindowSeconds", 10},
                {"quotaWindowSeconds", 8},
                {"quotaOverage", 0.1},
                {"quotaTolerance", 140000},
                {"exposureShare", ""},
                {"exposureTolerance", ""},
                {"rollbackTimeoutMs", ""},
                {"features", this->Init.Features},
                {"cores", 0.25},
                {"memoryMb", this->Init.MemoryMb},
                {"descriptors", 4100}};
  std::string File = this->Folder + "/" + this->Init.Name + ".json";
  std::ofstream(File) << Settings.dump(1);
  this->Pid = fork();
  if (this->Pid == 0) {
    int Out =
        open(this->logPath().c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
    dup2(Out, 1);
    dup2(Out, 2);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("SHALLOTLATCH_SETTINGS", File.c_str(), 1);
    const char *Program = "target/platform/shallotlatch-gateway";
    execl(Program, Program, static_cast<char *>(nullptr));
    _exit(127);
  }
}

void Gateway::signal(int Number) const {
  if (this->Pid > 0) {
    ::kill(this->Pid, Number);
  }
}

void Gateway::kill() {
  if (this->Pid > 0) {
    ::kill(this->Pid, SIGKILL);
    waitpid(this->Pid, nullptr, 0);
    this->Pid = 0;
  }
}

bool Gateway::isAlive() {
  if (this->Pid > 0 && waitpid(this->Pid, nullptr, WNOHANG) == this->Pid) {
    this->Pid = 0;
  }
  return this->Pid > 0;
}

double Gateway::memoryMb() const {
  std::ifstream In("/proc/" + std::to_string(this->Pid) + "/status");
  std::string Line;
  while (std::getline(In, Line)) {
    if (Line.compare(0, 6, "VmRSS:") == 0) {
      return atof(Line.c_str() + 6) / 1024;
    }
  }
  return 0;
}

bool waitReady(Loop &Owner, Gateway &G, int64_t Ms) {
  int64_t End = nowMs() + Ms;
  while (nowMs() < End) {
    Client Probe(Owner, G.readyPort(),
                 "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    Owner.runUntil([&Probe] { return Probe.done(); }, 1000);
    if (Probe.Reader.complete() && Probe.Reader.Answer.Status == 200) {
      return true;
    }
    Owner.runFor(100);
  }
  return false;
}

} // namespace review2
