#include "store.h"

#include <chrono>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review3 {

using nlohmann::json;

static constexpr size_t EntriesOnAPage = 500;
static constexpr size_t MaxHistory = 100000;

static std::string parameter(const std::string &Query, const std::string &Key) {
  size_t At = 0;
  while (At < Query.size()) {
    size_t End = std::min(Query.find('&', At), Query.size());
    std::string Item = Query.substr(At, End - At);
    if (Item.compare(0, Key.size() + 1, Key + "=") == 0) {
      return Item.substr(Key.size() + 1);
    }
    At = End + 1;
  }
  return "";
}

Store::Store() : Port(freePort()) {
  int Listener = listenOn(this->Port);
  std::thread([this, Listener] {
    while (true) {
      int Fd = accept(Listener, nullptr, nullptr);
      if (Fd >= 0) {
        std::thread([this, Fd] { this->serve(Fd); }).detach();
      }
    }
  }).detach();
}

void Store::setSilent(bool Silent) {
  std::lock_guard<std::mutex> Guard(this->Lock);
  this->IsSilent = Silent;
  this->Changed.notify_all();
}

void Store::copy() {
  std::lock_guard<std::mutex> Guard(this->Lock);
  this->CopiedRevision = this->Revision;
  this->Copied = this->Objects;
}

void Store::returnFromCopy(int64_t AwayMs) {
  {
    std::lock_guard<std::mutex> Guard(this->Lock);
    this->IsAway = true;
    this->Changed.notify_all();
  }
  this->Sockets.shutdownAll(true);
  sleepMs(AwayMs);
  std::lock_guard<std::mutex> Guard(this->Lock);
  this->Objects = this->Copied;
  this->Revision = this->CopiedRevision;
  this->History.clear();
  ++this->Era;
  this->IsAway = false;
}

bool Store::isAway() {
  std::lock_guard<std::mutex> Guard(this->Lock);
  return this->IsAway;
}

json Store::encode(const std::string &Name, const Object &O) {
  return json{{"metadata",
               {{"name", Name},
                {"revision", O.Revision},
                {"created", O.Created},
                {"finalizers", O.Finalizers},
                {"deletion-pending", false}}},
              {"specification", O.Specification},
              {"status", O.Status}};
}

// Called with the lock held, before a deleted object is erased.
void Store::note(const std::string &Kind, const std::string &Name,
                 bool Deleted) {
  Object &O = this->Objects[Kind][Name];
  O.Revision = ++this->Revision;
  O.Created = O.Created == 0 ? O.Revision : O.Created;
  this->History.push_back(
      {O.Revision, Kind,
       json{{"deleted", Deleted}, {"object", encode(Name, O)}}});
  if (this->History.size() > MaxHistory) {
    this->History.pop_front();
  }
  this->Changed.notify_all();
}

void Store::put(const std::string &Kind, const std::string &Name,
                const json &Specification) {
  std::lock_guard<std::mutex> Guard(this->Lock);
  Object &O = this->Objects[Kind][Name];
  if (O.Revision != 0 && O.Specification == Specification) {
    return;
  }
  O.Specification = Specification;
  this->note(Kind, Name, false);
}

void Store::erase(const std::string &Kind, const std::string &Name) {
  std::lock_guard<std::mutex> Guard(this->Lock);
  if (this->Objects[Kind].count(Name) != 0) {
    this->note(Kind, Name, true);
    this->Objects[Kind].erase(Name);
  }
}

void Store::serve(int Fd) {
  Wire W(Fd);
  this->Sockets.add(Fd);
  Head H;
  std::string Body;
  bool Keep = !this->isAway();
  while (Keep && W.readHead(H) && readBody(W, H, Body) && !this->isAway()) {
    Reply R = this->answer(H, Body);
    uint64_t NamedEra = 0;
    {
      std::unique_lock<std::mutex> Guard(this->Lock);
      this->Changed.wait(Guard, [this] { return !this->IsSilent; });
      NamedEra = this->Era;
    }
    std::string Text = R.Body.dump();
    Keep = !this->isAway() &&
           W.write("HTTP/1.1 " + std::to_string(R.Status) +
                   " Status\r\nContent-Type: application/json\r\n"
                   "Store-Era: " +
                   std::to_string(NamedEra) + "\r\nContent-Length: " +
                   std::to_string(Text.size()) + "\r\n\r\n" + Text);
  }
  this->Sockets.remove(Fd);
}

Store::Reply Store::answer(const Head &H, const std::string &Body) {
  std::string Target = H.target();
  size_t Mark = Target.find('?');
  std::string Query = Mark == std::string::npos ? "" : Target.substr(Mark + 1);
  std::string Path = Target.substr(0, Mark);
  static const std::string Prefix = "/objects/";
  if (Path.compare(0, Prefix.size(), Prefix) != 0) {
    return {404, json::object()};
  }
  std::string Rest = Path.substr(Prefix.size());
  size_t Slash = Rest.find('/');
  std::string Kind = Rest.substr(0, Slash);
  std::string Name = Slash == std::string::npos ? "" : Rest.substr(Slash + 1);
  if (H.method() != "GET") {
    return this->write(H.method(), Kind, Name, parameter(Query, "revision"),
                       Body);
  }
  std::string Since = parameter(Query, "watch");
  if (!Since.empty()) {
    return this->watch(
        Kind, strtoull(Since.c_str(), nullptr, 10),
        strtoll(parameter(Query, "wait-timeout-ms").c_str(), nullptr, 10));
  }
  if (Name.empty()) {
    return this->list(Kind, parameter(Query, "after"));
  }
  std::lock_guard<std::mutex> Guard(this->Lock);
  auto It = this->Objects[Kind].find(Name);
  return It == this->Objects[Kind].end() ? Reply{404, json::object()}
                                         : Reply{200, encode(Name, It->second)};
}

Store::Reply Store::list(const std::string &Kind, const std::string &After) {
  std::lock_guard<std::mutex> Guard(this->Lock);
  json Entries = json::array();
  bool More = false;
  for (const auto &Item : this->Objects[Kind]) {
    if (Item.first > After) {
      More = Entries.size() >= EntriesOnAPage;
      if (More) {
        break;
      }
      Entries.push_back(encode(Item.first, Item.second));
    }
  }
  return {200,
          {{"entries", Entries}, {"has-more", More}, {"at", this->Revision}}};
}

Store::Reply Store::watch(const std::string &Kind, uint64_t Since,
                          int64_t WaitMs) {
  std::unique_lock<std::mutex> Guard(this->Lock);
  bool IsGone = this->History.empty()
                    ? Since < this->Revision
                    : Since + 1 < this->History.front().Revision;
  if (IsGone || Since > this->Revision) {
    return {410, json::object()};
  }
  json Events = json::array();
  auto HasEvents = [&] {
    Events = json::array();
    for (auto It = this->History.rbegin();
         It != this->History.rend() && It->Revision > Since; ++It) {
      if (It->Kind == Kind) {
        Events.insert(Events.begin(), It->Content);
      }
    }
    return this->IsAway || !Events.empty();
  };
  this->Changed.wait_for(Guard, std::chrono::milliseconds(WaitMs), HasEvents);
  return {200, {{"events", Events}, {"at", this->Revision}}};
}

Store::Reply Store::write(const std::string &Method, const std::string &Kind,
                          std::string Name, const std::string &Condition,
                          const std::string &Body) {
  std::lock_guard<std::mutex> Guard(this->Lock);
  json Sent = json::parse(Body, nullptr, false);
  json Metadata = Sent.is_object() ? Sent.value("metadata", json::object())
                                   : json::object();
  static const std::string StatusPart = "/status";
  bool OfStatus = Name.size() > StatusPart.size() &&
                  Name.compare(Name.size() - StatusPart.size(),
                               std::string::npos, StatusPart) == 0;
  if (OfStatus) {
    Name.resize(Name.size() - StatusPart.size());
  }
  if (Method == "POST") {
    Name = Metadata.value("name", "");
  }
  auto Held = this->Objects[Kind].find(Name);
  bool Exists = Held != this->Objects[Kind].end();
  if (Method == "POST" ? Exists : !Exists) {
    return Exists ? Reply{409, encode(Name, Held->second)}
                  : Reply{404, json::object()};
  }
  uint64_t Expected =
      !Condition.empty()              ? strtoull(Condition.c_str(), nullptr, 10)
      : Metadata.contains("revision") ? Metadata["revision"].get<uint64_t>()
                                      : 0;
  if (Exists && Expected != 0 && Expected != Held->second.Revision) {
    return {409, encode(Name, Held->second)};
  }
  if (Method == "DELETE") {
    this->note(Kind, Name, true);
    json Last = encode(Name, this->Objects[Kind][Name]);
    this->Objects[Kind].erase(Name);
    return {200, Last};
  }
  Object &O = this->Objects[Kind][Name];
  json &Part = OfStatus ? O.Status : O.Specification;
  json Next = Sent.is_object()
                  ? Sent.value(OfStatus ? "status" : "specification", json())
                  : json();
  if (!Exists || Part != Next) {
    Part = Next;
    this->note(Kind, Name, false);
  }
  return {200, encode(Name, O)};
}

} // namespace review3
