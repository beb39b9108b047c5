#include "documents_p.h"

namespace shallotlatch {

using nlohmann::json;

static constexpr uint32_t WatchersPerRegion = 2;
static constexpr uint32_t VersionFanout = 4;
static constexpr size_t MaxPatches = 32;
static constexpr uint32_t WatchTokenBase = 1;
static constexpr uint64_t WatcherRankKey = 0x726561646572;

const char *objectName(DocumentKind Kind) {
  return Kind == DocumentKind::Config ? "config" : "hosts";
}

static uint64_t hashOf(const json &Body) { return hash64(Body.dump()); }

ReplicatedDocuments::ReplicatedDocuments(NodeEnv &Env, Membership &Members,
                                         StoreQueue &Queue)
    : Env(Env), Members(Members), Queue(Queue) {}

std::array<Version, DocumentKindCount> ReplicatedDocuments::versions() const {
  std::array<Version, DocumentKindCount> All;
  for (uint32_t I = 0; I < DocumentKindCount; ++I) {
    All[I] = this->Copies[I].Number;
  }
  return All;
}

const json &ReplicatedDocuments::body(DocumentKind Kind) const {
  return this->Copies[static_cast<int>(Kind)].Body;
}

// Applied versions were validated before they were written; one that does not
// parse was written past us, and what is in force stays.
bool ReplicatedDocuments::applyContent(DocumentKind Kind,
                                       const std::string &Text, Copy &C,
                                       Version Number) {
  try {
    if (Kind == DocumentKind::Config) {
      this->Env.ActiveConfig = parseConfig(Text);
    } else {
      this->Members.setHosts(parseHosts(Text));
    }
  } catch (const ConfigError &E) {
    C.Rejected = Number;
    C.ParseErrors = E.what();
    return false;
  }
  return true;
}

bool ReplicatedDocuments::install(DocumentKind Kind, Version Number,
                                  json Body) {
  Copy &C = this->Copies[static_cast<int>(Kind)];
  if (!(C.Number < Number) || C.Rejected == Number) {
    return false;
  }
  std::string Text = Body.dump();
  if (!this->applyContent(Kind, Text, C, Number)) {
    return false;
  }
  if (C.Number.isValid()) {
    C.Patches.push_back(Patch{C.Number, Number, json::diff(C.Body, Body)});
    if (C.Patches.size() > MaxPatches) {
      C.Patches.pop_front();
    }
  }
  C.Number = Number;
  C.Body = std::move(Body);
  C.Hash = hash64(Text);
  this->Changed.push_back(Kind);
  this->sendVersions();
  return true;
}

void ReplicatedDocuments::sendVersions() {
  Heartbeat H;
  H.Run = this->Env.Run;
  H.Leaving = this->Members.leaving();
  H.Versions = this->versions();
  for (HostId Peer : this->Members.randomPeers(VersionFanout)) {
    this->Env.outboxFor(Peer).Heartbeats.push_back(H);
  }
}

void ReplicatedDocuments::onVersions(
    HostId From, const std::array<Version, DocumentKindCount> &Theirs) {
  for (uint32_t I = 0; I < DocumentKindCount; ++I) {
    const Copy &C = this->Copies[I];
    if (C.Number < Theirs[I] && C.Rejected != Theirs[I]) {
      this->Env.outboxFor(From).DocumentRequests.push_back(
          DocumentRequest{static_cast<DocumentKind>(I), C.Number});
    }
  }
}

void ReplicatedDocuments::requestAll(HostId Peer) {
  for (uint32_t I = 0; I < DocumentKindCount; ++I) {
    this->Env.outboxFor(Peer).DocumentRequests.push_back(
        DocumentRequest{static_cast<DocumentKind>(I), this->Copies[I].Number});
  }
}

// Patches are arrays of steps: consecutive ones are joined end to end.
void ReplicatedDocuments::onWant(HostId From, const DocumentRequest &W) {
  const Copy &C = this->Copies[static_cast<int>(W.Kind)];
  if (!(W.HeldVersion < C.Number)) {
    return;
  }
  DocumentUpdate B;
  B.Kind = W.Kind;
  B.Number = C.Number;
  B.Hash = C.Hash;
  json Operations = json::array();
  bool Joined = false;
  for (const Patch &P : C.Patches) {
    Joined = Joined || P.From == W.HeldVersion;
    if (Joined) {
      Operations.insert(Operations.end(), P.Operations.begin(),
                        P.Operations.end());
    }
  }
  if (Joined && W.HeldVersion.isValid()) {
    B.Base = W.HeldVersion;
    B.Text = Operations.dump();
  } else {
    B.Text = C.Body.dump();
  }
  this->Env.outboxFor(From).DocumentUpdates.push_back(std::move(B));
}

void ReplicatedDocuments::onBody(const DocumentUpdate &B) {
  Copy &C = this->Copies[static_cast<int>(B.Kind)];
  if (!(C.Number < B.Number)) {
    return;
  }
  json Body = json::parse(B.Text, nullptr, false);
  if (Body.is_discarded()) {
    return;
  }
  if (B.Base.isValid()) {
    if (B.Base != C.Number) {
      return;
    }
    try {
      Body = C.Body.patch(Body);
    } catch (const json::exception &) {
      return;
    }
  }
  if (hashOf(Body) == B.Hash) {
    this->install(B.Kind, B.Number, std::move(Body));
  }
}

void ReplicatedDocuments::watch(DocumentKind Kind) {
  Copy &C = this->Copies[static_cast<int>(Kind)];
  C.Watching = true;
  StoreRequest R;
  R.Kind = StoreRequest::Op::Watch;
  R.Token = WatchTokenBase + static_cast<uint32_t>(Kind);
  R.Name = objectName(Kind);
  R.Expected = C.Rejected < C.Number ? C.Number : C.Rejected;
  this->Queue.push(std::move(R));
}

bool ReplicatedDocuments::onStoreReply(const StoreReply &Reply) {
  uint32_t I = Reply.Token - WatchTokenBase;
  if (I >= DocumentKindCount) {
    return false;
  }
  this->Copies[I].Watching = false;
  if (Reply.Result == StoreReply::Status::Ok) {
    json Body = json::parse(Reply.Body, nullptr, false);
    if (Body.is_discarded()) {
      this->Copies[I].Rejected = Reply.Number;
      this->Copies[I].ParseErrors = "/: not valid JSON";
      return true;
    }
    this->install(static_cast<DocumentKind>(I), Reply.Number, std::move(Body));
  }
  return true;
}

// Readers watch. A host that has no copy yet reads too, whatever its rank.
void ReplicatedDocuments::tick() {
  bool Reader =
      this->Members.isAmongTopRanked(WatcherRankKey, WatchersPerRegion);
  for (uint32_t I = 0; I < DocumentKindCount; ++I) {
    Copy &C = this->Copies[I];
    if (!C.Watching && (Reader || !C.Number.isValid())) {
      this->watch(static_cast<DocumentKind>(I));
    }
  }
}

std::vector<DocumentKind> ReplicatedDocuments::takeChanged() {
  std::vector<DocumentKind> Taken;
  Taken.swap(this->Changed);
  return Taken;
}

DocumentStats ReplicatedDocuments::stats(DocumentKind Kind) const {
  const Copy &C = this->Copies[static_cast<int>(Kind)];
  return DocumentStats{C.Number, C.Rejected, C.Watching, C.ParseErrors};
}

} // namespace shallotlatch
