#include "admin_state_p.h"

namespace shallotlatch {

using nlohmann::json;

json statusJson(const Node &N, const PeerStats &Peers) {
  EntryStats Entry = N.entry().stats();
  StoreStats Store = N.storeStats();
  ClaimWriterStats Claims = N.keyStats();
  DocumentStats ConfigCopy = N.documents().stats(DocumentKind::Config);
  DocumentStats HostList = N.documents().stats(DocumentKind::Hosts);
  return json{
      {"ready", N.ready()},
      {"draining", N.draining()},
      {"configVersion", ConfigCopy.Number.Value},
      {"storeEra", ConfigCopy.StoreEra},
      {"configRejected", ConfigCopy.Rejected.Value},
      {"configMistakes", ConfigCopy.ParseErrors},
      {"hostsVersion", HostList.Number.Value},
      {"watching", ConfigCopy.Watching},
      {"liveHosts", N.membership().liveCount()},
      {"requests",
       {{"held", Entry.Held},
        {"waiting", Entry.Waiting},
        {"inFlight", Entry.InFlight},
        {"submitted", Entry.Submitted},
        {"completed", Entry.Ended[static_cast<int>(Outcome::Completed)]},
        {"failed", Entry.Ended[static_cast<int>(Outcome::Failed)]},
        {"notRun", Entry.Ended[static_cast<int>(Outcome::NotRun)]},
        {"mayHaveRun", Entry.Ended[static_cast<int>(Outcome::MayHaveRun)]}}},
      {"store",
       {{"calls", Store.Calls},
        {"failures", Store.Failures},
        {"queued", Store.Queued},
        {"backingOff", Store.BackingOff}}},
      {"keys",
       {{"claims", Claims.Claims},
        {"granted", Claims.Granted},
        {"commits", Claims.Commits},
        {"conflicts", Claims.Conflicts},
        {"pending", Claims.Pending}}},
      {"peers",
       {{"links", Peers.Links},
        {"bytesSent", Peers.BytesSent},
        {"bytesReceived", Peers.BytesReceived},
        {"batchesSent", Peers.BatchesSent},
        {"batchesDropped", Peers.BatchesDropped}}}};
}

json hostsJson(const Node &N) {
  json All = json::array();
  for (const HostStats &H : N.membership().stats()) {
    All.push_back({{"name", H.Name},
                   {"region", H.Region},
                   {"domain", H.Domain},
                   {"live", H.Live},
                   {"leaving", H.Leaving},
                   {"run", H.Run.Value},
                   {"configVersion", H.ConfigVersion.Value}});
  }
  return json{{"hosts", All}};
}

json poolsJson(const Node &N) {
  json All = json::array();
  for (const PoolStats &P : N.pools().stats()) {
    json Tiers = json::array();
    size_t Count = N.config() ? N.config()->Tiers.size() : 0;
    for (size_t I = 0; I < Count; ++I) {
      Tiers.push_back(P.WaitingByTier[I]);
    }
    All.push_back({{"region", P.Region},
                   {"group", P.Group},
                   {"waiting", P.Waiting},
                   {"waitingByTier", Tiers},
                   {"inFlight", P.InFlight},
                   {"freeSlots", P.FreeSlots},
                   {"granted", P.Granted},
                   {"shed", P.Shed},
                   {"expired", P.Expired}});
  }
  return json{{"pools", All}};
}

json targetsJson(const Node &N) {
  json All = json::array();
  for (const TargetStats &T : N.pools().targets()) {
    All.push_back({{"name", T.Name},
                   {"inFlight", T.InFlight},
                   {"limit", T.Limit},
                   {"decodeUs", T.DecodeUs},
                   {"prefillUs", T.PrefillUs},
                   {"leaving", T.Leaving},
                   {"ejected", T.Ejected}});
  }
  return json{{"targets", All}};
}

json requestsJson(const Node &N) {
  json All = json::array();
  for (const RequestStats &R : N.entry().requests()) {
    const KindSpec *Kind = N.config() ? N.config()->kind(R.Kind) : nullptr;
    const TargetSpec *Target =
        N.config() ? N.config()->target(R.Target) : nullptr;
    All.push_back({{"submission", R.Id.Value},
                   {"state", name(R.State)},
                   {"kind", Kind == nullptr ? "" : Kind->Name},
                   {"target", Target == nullptr ? "" : Target->Name},
                   {"ageMs", toMillis(R.Age)}});
  }
  return json{{"requests", All}};
}

json quarantineJson(Node &N) {
  json All = json::array();
  for (const CrashStats &C : N.crashCounts().stats()) {
    All.push_back({{"fingerprint", toHex(C.Print.Value)},
                   {"crashes", C.Halves / 2.0},
                   {"quarantined", C.Quarantined}});
  }
  return json{{"fingerprints", All}};
}

json burnJson(const std::vector<SloBurnRate> &Burns) {
  json All = json::array();
  for (const SloBurnRate &B : Burns) {
    All.push_back({{"series", B.Series},
                   {"windowSeconds", B.Window.count() / 1000000},
                   {"good", B.Counts.Good},
                   {"total", B.Counts.Total},
                   {"objective", B.Objective},
                   {"burn", B.BurnRate}});
  }
  return json{{"burns", All}};
}

std::string appliedBy(const json &ConfigBody) {
  auto Meta = ConfigBody.find("meta");
  if (Meta == ConfigBody.end() || !Meta->is_object()) {
    return "unknown";
  }
  auto By = Meta->find("by");
  return By != Meta->end() && By->is_string() ? By->get<std::string>()
                                              : "unknown";
}

bool sameKeyLayout(const Config &Old, const Config &New) {
  return Old.Policy.KeyBuckets == New.Policy.KeyBuckets &&
         Old.Policy.KeySlotCount == New.Policy.KeySlotCount &&
         Old.Policy.KeySlotWidth == New.Policy.KeySlotWidth;
}

} // namespace shallotlatch
