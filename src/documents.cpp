#include "documents_p.h"

namespace shallotlatch {

using nlohmann::json;

// Number of hosts in a region that watch the store.
static constexpr uint32_t WatchersPerRegion = 2;
// Number of random peers that are told of a new version.
static constexpr uint32_t VersionFanout = 4;
// Number of patches kept for peers that lack the latest versions.
static constexpr size_t MaxPatches = 32;
static constexpr uint32_t WatchTokenBase = 1;
// Key that ranks the hosts of a region for the choice of its watchers.
static constexpr uint64_t WatcherRankKey = 0x726561646572;

const char *objectName(Document What) {
  return What == Document::Config ? "config" : "hosts";
}

static uint64_t hashOf(const json &Body) { return hash64(Body.dump()); }

ReplicatedDocuments::ReplicatedDocuments(NodeEnv &Env, Membership &Members,
                                         StoreQueue &Queue)
    : Env(Env), Members(Members), Queue(Queue) {}

std::array<Version, DocumentCount> ReplicatedDocuments::versions() const {
  std::array<Version, DocumentCount> All;
  for (uint32_t I = 0; I < DocumentCount; ++I) {
    All[I] = this->Copies[I].Number;
  }
  return All;
}

const json &ReplicatedDocuments::body(Document What) const {
  return this->Copies[static_cast<int>(What)].Body;
}

// A version that an operator applies is validated before it is written. One
// that does not parse was written to the store directly: it is rejected, and
// the version in force stays.
bool ReplicatedDocuments::applyContent(Document What, const std::string &Text,
                                       Copy &C, Version Number) {
  try {
    if (What == Document::Config) {
      this->Env.Conf = parseConfig(Text);
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

bool ReplicatedDocuments::install(Document What, Version Number, json Body) {
  Copy &C = this->Copies[static_cast<int>(What)];
  if (!(C.Number < Number) || C.Rejected == Number) {
    return false;
  }
  std::string Text = Body.dump();
  if (!this->applyContent(What, Text, C, Number)) {
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
  this->Changed.push_back(What);
  this->sendVersions();
  return true;
}

void ReplicatedDocuments::sendVersions() {
  Heartbeat H;
  H.Run = this->Env.Run;
  H.Leaving = this->Members.leaving();
  H.Versions = this->versions();
  for (HostId Peer : this->Members.randomPeers(VersionFanout)) {
    this->Env.to(Peer).Heartbeats.push_back(H);
  }
}

void ReplicatedDocuments::onVersions(
    HostId From, const std::array<Version, DocumentCount> &Theirs) {
  for (uint32_t I = 0; I < DocumentCount; ++I) {
    const Copy &C = this->Copies[I];
    if (C.Number < Theirs[I] && C.Rejected != Theirs[I]) {
      this->Env.to(From).DocumentWants.push_back(
          DocumentWant{static_cast<Document>(I), C.Number});
    }
  }
}

void ReplicatedDocuments::requestAll(HostId Peer) {
  for (uint32_t I = 0; I < DocumentCount; ++I) {
    this->Env.to(Peer).DocumentWants.push_back(
        DocumentWant{static_cast<Document>(I), this->Copies[I].Number});
  }
}

// Patches are arrays of operations, so consecutive patches are concatenated.
void ReplicatedDocuments::onWant(HostId From, const DocumentWant &W) {
  const Copy &C = this->Copies[static_cast<int>(W.What)];
  if (!(W.Have < C.Number)) {
    return;
  }
  DocumentBody B;
  B.What = W.What;
  B.Number = C.Number;
  B.Hash = C.Hash;
  json Operations = json::array();
  bool Chained = false;
  for (const Patch &P : C.Patches) {
    Chained = Chained || P.From == W.Have;
    if (Chained) {
      Operations.insert(Operations.end(), P.Operations.begin(),
                        P.Operations.end());
    }
  }
  if (Chained && W.Have.isValid()) {
    B.Base = W.Have;
    B.Text = Operations.dump();
  } else {
    B.Text = C.Body.dump();
  }
  this->Env.to(From).DocumentBodies.push_back(std::move(B));
}

void ReplicatedDocuments::onBody(const DocumentBody &B) {
  Copy &C = this->Copies[static_cast<int>(B.What)];
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
    this->install(B.What, B.Number, std::move(Body));
  }
}

void ReplicatedDocuments::watch(Document What) {
  Copy &C = this->Copies[static_cast<int>(What)];
  C.Watching = true;
  StoreRequest R;
  R.Kind = StoreRequest::Op::Watch;
  R.Token = WatchTokenBase + static_cast<uint32_t>(What);
  R.Name = objectName(What);
  R.Expected = C.Rejected < C.Number ? C.Number : C.Rejected;
  this->Queue.push(std::move(R));
}

bool ReplicatedDocuments::onStoreReply(const StoreReply &Reply) {
  uint32_t I = Reply.Token - WatchTokenBase;
  if (I >= DocumentCount) {
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
    this->install(static_cast<Document>(I), Reply.Number, std::move(Body));
  }
  return true;
}

// The first hosts by rank in each region watch the store. A host that has no
// copy yet watches it too, whatever its rank.
void ReplicatedDocuments::tick() {
  bool IsWatcher = this->Members.amongFirst(WatcherRankKey, WatchersPerRegion);
  for (uint32_t I = 0; I < DocumentCount; ++I) {
    Copy &C = this->Copies[I];
    if (!C.Watching && (IsWatcher || !C.Number.isValid())) {
      this->watch(static_cast<Document>(I));
    }
  }
}

std::vector<Document> ReplicatedDocuments::takeChanged() {
  std::vector<Document> Taken;
  Taken.swap(this->Changed);
  return Taken;
}

DocumentStats ReplicatedDocuments::stats(Document What) const {
  const Copy &C = this->Copies[static_cast<int>(What)];
  return DocumentStats{C.Number, C.Rejected, C.Watching, C.ParseErrors};
}

} // namespace shallotlatch
