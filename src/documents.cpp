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

const char *objectName(DocumentKind Kind) {
  return Kind == DocumentKind::Config ? "config" : "hosts";
}

// Number of versions whose hashes are kept to tell what an older copy of the
// store holds.
static constexpr size_t MaxPastHashes = 64;
// Position of the era in the versions that hosts compare. Those of the first
// era are the store's.
static constexpr uint32_t EraShift = 40;
static constexpr uint64_t StoreNumberMask = (uint64_t{1} << EraShift) - 1;

static Version versionInEra(uint64_t Era, Version Number) {
  return Era <= 1 ? Number : Version{((Era - 1) << EraShift) | Number.Value};
}

static uint64_t eraOf(Version Number) { return (Number.Value >> EraShift) + 1; }

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

// A version that an operator applies is validated before it is written. One
// that does not parse was written to the store directly: it is rejected, and
// the version in force stays.
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
  C.PastHashes[Version{Number.Value & StoreNumberMask}] = C.Hash;
  if (C.PastHashes.size() > MaxPastHashes) {
    C.PastHashes.erase(C.PastHashes.begin());
  }
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

// Patches are arrays of operations, so consecutive patches are concatenated.
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
  bool Chained = false;
  for (const Patch &P : C.Patches) {
    Chained = Chained || P.From == W.HeldVersion;
    if (Chained) {
      Operations.insert(Operations.end(), P.Operations.begin(),
                        P.Operations.end());
    }
  }
  if (Chained && W.HeldVersion.isValid()) {
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
  R.Expected = C.StoreNumber;
  this->Queue.push(std::move(R));
}

bool ReplicatedDocuments::isOfCopy(const Copy &C, Version Number,
                                   uint64_t Hash) {
  auto Past = C.PastHashes.find(Number);
  return Hash == C.Hash || (Past != C.PastHashes.end() && Past->second == Hash);
}

// What a store that came back from an older copy shows is either of the copy,
// and then not newer than what is in force, or was written since. A host that
// cannot tell ranks it below everything that its peers know.
void ReplicatedDocuments::onStoreBody(DocumentKind Kind,
                                      const StoreReply &Reply, json Body) {
  Copy &C = this->Copies[static_cast<int>(Kind)];
  if (Reply.Era < C.Era) {
    return; // A late reply of a former era.
  }
  bool IsFirst = C.Era == 0;
  bool IsReturn = !IsFirst && Reply.Era > C.Era;
  C.Era = Reply.Era;
  C.StoreNumber = Reply.Number;
  if (IsReturn &&
      ReplicatedDocuments::isOfCopy(C, Reply.Number, hashOf(Body))) {
    return;
  }
  bool WrittenInEra = !IsFirst || eraOf(C.Number) == Reply.Era;
  this->install(
      Kind, WrittenInEra ? versionInEra(Reply.Era, Reply.Number) : Reply.Number,
      std::move(Body));
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
      this->Copies[I].StoreNumber = Reply.Number;
      this->Copies[I].Rejected = Reply.Number;
      this->Copies[I].ParseErrors = "/: not valid JSON";
      return true;
    }
    this->onStoreBody(static_cast<DocumentKind>(I), Reply, std::move(Body));
  }
  return true;
}

// The first hosts by rank in each region watch the store. A host that has no
// copy yet watches it too, whatever its rank.
void ReplicatedDocuments::tick() {
  bool IsWatcher =
      this->Members.isAmongTopRanked(WatcherRankKey, WatchersPerRegion);
  for (uint32_t I = 0; I < DocumentKindCount; ++I) {
    Copy &C = this->Copies[I];
    if (!C.Watching && (IsWatcher || !C.Number.isValid())) {
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
  return DocumentStats{C.Number,   C.StoreNumber, C.Era,
                       C.Rejected, C.Watching,    C.ParseErrors};
}

} // namespace shallotlatch
