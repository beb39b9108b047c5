#include "store.h"

#include <algorithm>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

using nlohmann::json;

// Longest wait of a watch.
static constexpr Millis MaxWatchWait(30000);
// Time for which an idle connection stays open.
static constexpr Millis IdleTime(30000);
static const std::string Prefix = "/objects/";

Store::Store(const Endpoint &At, size_t PageSize, Millis AnswerTime)
    : PageSize(PageSize), AnswerTime(AnswerTime), Listener(listenOn(At)) {
  if (this->Listener >= 0) {
    this->Acceptor = std::thread([this] { this->accept(); });
  }
}

Store::~Store() {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Stopping = true;
    for (Link *L : this->Links) {
      L->cut();
    }
  }
  this->Changed.notify_all();
  if (this->Acceptor.joinable()) {
    shutdown(this->Listener, SHUT_RDWR);
    this->Acceptor.join();
    close(this->Listener);
  }
  std::unique_lock<std::mutex> Lock(this->Mutex);
  this->Served.wait(Lock, [this] { return this->Serving == 0; });
}

void Store::accept() {
  while (true) {
    int Fd = ::accept(this->Listener, nullptr, nullptr);
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (Fd < 0 || this->Stopping) {
      if (Fd >= 0) {
        close(Fd);
      }
      return;
    }
    ++this->Serving;
    std::thread([this, Fd] {
      auto Caller = std::make_unique<Link>(Fd);
      std::unique_lock<std::mutex> Inner(this->Mutex);
      this->Links.insert(Caller.get());
      Inner.unlock();
      this->serve(*Caller);
      Inner.lock();
      this->Links.erase(Caller.get());
      Caller.reset();
      --this->Serving;
      this->Served.notify_all();
    }).detach();
  }
}

void Store::serve(Link &Caller) {
  Message Call;
  while (Caller.readHead(Call, IdleTime) && Caller.readBody(Call, IdleTime)) {
    std::this_thread::sleep_for(this->AnswerTime);
    if (!Caller.write(this->answer(Call))) {
      return;
    }
  }
}

static std::string respond(int Status, const json &Body) {
  return makeResponse(
      Status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
      Body.dump());
}

static std::string queryValue(const std::string &Query,
                              const std::string &Name) {
  std::string Text = "&" + Query;
  size_t At = Text.find("&" + Name + "=");
  if (At == std::string::npos) {
    return "";
  }
  size_t Begin = At + Name.size() + 2;
  return Text.substr(Begin, Text.find('&', Begin) - Begin);
}

std::string Store::answer(const Message &Call) {
  std::string Target = Call.target();
  size_t Mark = Target.find('?');
  std::string Path = Target.substr(0, Mark);
  std::string Query = Mark == std::string::npos ? "" : Target.substr(Mark + 1);
  if (Path.compare(0, Prefix.size(), Prefix) != 0) {
    return respond(404, json::object());
  }
  std::string Rest = Path.substr(Prefix.size());
  size_t Slash = Rest.find('/');
  std::string Kind = Rest.substr(0, Slash);
  std::string Name = Slash == std::string::npos ? "" : Rest.substr(Slash + 1);
  if (Call.method() != "GET") {
    return this->write(Call, Kind, Name);
  }
  std::string Since = queryValue(Query, "watch");
  if (Since.empty()) {
    return this->list(Kind, queryValue(Query, "after"));
  }
  int64_t Wait = atoll(queryValue(Query, "wait-timeout-ms").c_str());
  return this->watch(Kind, strtoull(Since.c_str(), nullptr, 10),
                     std::min(MaxWatchWait, Millis(Wait)));
}

json Store::encode(const std::string &Name, const Object &O) const {
  return json{{"metadata",
               {{"name", Name},
                {"revision", O.Revision},
                {"created", O.Created},
                {"finalizers", json::array()},
                {"deletion-pending", false}}},
              {"specification", O.Specification},
              {"status", O.Status}};
}

std::string Store::list(const std::string &Kind, const std::string &After) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  json Entries = json::array();
  const std::map<std::string, Object> &All = this->Objects[Kind];
  auto It = After.empty() ? All.begin() : All.upper_bound(After);
  for (; It != All.end() && Entries.size() < this->PageSize; ++It) {
    Entries.push_back(this->encode(It->first, It->second));
  }
  return respond(200, json{{"entries", Entries},
                           {"has-more", It != All.end()},
                           {"at", this->Revision}});
}

std::string Store::watch(const std::string &Kind, uint64_t Since, Millis Wait) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  if (Since > this->Revision) {
    return respond(410, json::object());
  }
  TimePoint Until = Clock::now() + Wait;
  json Events = json::array();
  while (true) {
    for (const Event &E : this->History) {
      if (E.Kind == Kind && E.Revision > Since) {
        Events.push_back(E.Encoded);
      }
    }
    if (!Events.empty() || this->Stopping ||
        this->Changed.wait_until(Lock, Until) == std::cv_status::timeout) {
      return respond(200, json{{"events", Events}, {"at", this->Revision}});
    }
  }
}

void Store::replace(const std::string &Kind, const std::string &Name,
                    const json &Specification) {
  Object &O = this->Objects[Kind][Name];
  if (O.Revision != 0 && O.Specification == Specification) {
    return;
  }
  O.Specification = Specification;
  O.Revision = ++this->Revision;
  O.Created = O.Created == 0 ? O.Revision : O.Created;
  this->History.push_back(
      {O.Revision, Kind,
       json{{"deleted", false}, {"object", this->encode(Name, O)}}});
  this->Changed.notify_all();
}

void Store::erase(const std::string &Kind, const std::string &Name) {
  auto It = this->Objects[Kind].find(Name);
  if (It == this->Objects[Kind].end()) {
    return;
  }
  It->second.Revision = ++this->Revision;
  this->History.push_back(
      {this->Revision, Kind,
       json{{"deleted", true}, {"object", this->encode(Name, It->second)}}});
  this->Objects[Kind].erase(It);
  this->Changed.notify_all();
}

void Store::put(const std::string &Kind, const std::string &Name,
                const json &Specification) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->replace(Kind, Name, Specification);
}

void Store::remove(const std::string &Kind, const std::string &Name) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->erase(Kind, Name);
}

std::string Store::write(const Message &Call, const std::string &Kind,
                         const std::string &Name) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::map<std::string, Object> &All = this->Objects[Kind];
  if (Call.method() == "DELETE") {
    bool Known = All.count(Name) != 0;
    this->erase(Kind, Name);
    return respond(Known ? 200 : 404, json::object());
  }
  json Body = json::parse(Call.Body, nullptr, false);
  if (!Body.is_object()) {
    return respond(400, json::object());
  }
  std::string Written =
      Call.method() == "POST" ? Body["metadata"].value("name", "") : Name;
  auto It = All.find(Written);
  if (Call.method() == "POST" && It != All.end()) {
    return respond(409, this->encode(Written, It->second));
  }
  if (Call.method() == "PUT" && It == All.end()) {
    return respond(404, json::object());
  }
  this->replace(Kind, Written, Body["specification"]);
  return respond(200, this->encode(Written, All[Written]));
}

} // namespace review
