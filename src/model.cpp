#include "shallotlatch/model.h"

#include "json_reader_p.h"
#include "shallotlatch/config.h"
#include "shallotlatch/settings.h"

#include <algorithm>

namespace shallotlatch {

using nlohmann::json;
using MistakeList = std::vector<std::string>;

static std::string joinLines(const MistakeList &Lines) {
  std::string All;
  for (const std::string &Line : Lines) {
    All += All.empty() ? "" : "\n";
    All += Line;
  }
  return All;
}

ConfigError::ConfigError(MistakeList Found)
    : std::runtime_error(joinLines(Found)), Mistakes(std::move(Found)) {}

static TierSpec parseTier(ObjectReader &R) {
  TierSpec T;
  R.text("name", T.Name);
  R.number("objective", T.Objective, 0, 0.99999);
  return T;
}

static CustomerSpec parseCustomer(ObjectReader &R) {
  CustomerSpec C;
  R.text("name", C.Name);
  R.text("keySha256", C.KeySha256);
  if (C.KeySha256.size() != 64 ||
      C.KeySha256.find_first_not_of("0123456789abcdef") != std::string::npos) {
    R.addMistake("keySha256", "expected 64 lower-case hexadecimal digits");
  }
  R.number("weight", C.Weight, 0.01, 1000);
  R.wholeNumber("ratePerSecond", C.RatePerSecond, 0, 1000000);
  R.wholeNumber("concurrency", C.Concurrency, 0, 1000000);
  return C;
}

static TargetSpec parseTarget(ObjectReader &R) {
  TargetSpec T;
  std::string Type = "engine";
  R.text("name", T.Name);
  R.text("type", Type);
  if (Type != "engine" && Type != "service") {
    R.addMistake("type",
                 "expected \"engine\" or \"service\", found \"" + Type + "\"");
  }
  T.Type = Type == "service" ? TargetType::Service : TargetType::Engine;
  R.text("group", T.Group);
  R.text("region", T.Region);
  R.text("domain", T.Domain);
  R.text("address", T.Address);
  try {
    parseAddress(T.Address);
  } catch (const std::invalid_argument &E) {
    R.addMistake("address", E.what());
  }
  R.wholeNumber("slots", T.Slots, 1, 4096);
  R.boolean("refusalProvesNotRun", T.RefusalProvesNotRun);
  R.boolean("checksFencing", T.ChecksFencing);
  R.number("prefillTokensPerSecond", T.PrefillTokensPerSecond, 1, 1e7);
  R.number("decodeMsPerToken", T.DecodeMsPerToken, 0.01, 10000);
  return T;
}

static KindSpec parseKind(ObjectReader &R) {
  KindSpec K;
  R.text("name", K.Name);
  R.text("group", K.Group);
  R.text("tier", K.Tier);
  R.boolean("idempotent", K.Idempotent);
  K.RequireKey = !K.Idempotent;
  R.boolean("requireKey", K.RequireKey);
  R.boolean("datedKeys", K.DatedKeys);
  R.boolean("crossRegion", K.CrossRegion);
  R.duration("deadlineMs", K.Deadline, 1, 86400000);
  R.wholeNumber("maxOutputTokens", K.MaxOutputTokens, 1, 1000000);
  return K;
}

static PolicySpec parsePolicy(ObjectReader &R) {
  PolicySpec P;
  R.number("prefillPrice", P.PrefillPrice, 0, 1000);
  R.number("crossRegionMsPerMb", P.CrossRegionMsPerMb, 0, 1e6);
  R.duration("crossRegionDelayMs", P.CrossRegionDelay, 0, 10000);
  R.wholeNumber("poisonCrashes", P.QuarantineCrashes, 1, 100);
  R.wholeNumber("poolCapacity", P.PoolCapacity, 1,
                SHALLOTLATCH_CONFIG_MAX_WAITING);
  R.wholeNumber("longPromptTokens", P.LongPromptTokens, 1, 10000000);
  R.number("longShare", P.LongPromptShare, 0.01, 1);
  R.duration("tokenIntervalMs", P.TokenInterval, 1, 10000);
  R.wholeNumber("keyBuckets", P.KeyBuckets, 1, 4096);
  R.duration("keySlotMs", P.KeySlotWidth, 1000, 86400000);
  R.wholeNumber("keySlots", P.KeySlotCount, 2, 10000);
  R.duration("quarantineMs", P.QuarantineTime, 1000, 86400000);
  return P;
}

template <typename Spec, typename Parse>
static void parseList(ObjectReader &Root, const char *Field,
                      std::vector<Spec> &Out, MistakeList &Found, Parse One) {
  const json &List = Root.array(Field);
  for (size_t I = 0; I < List.size(); ++I) {
    ObjectReader R(List[I], Root.path() + "/" + Field + "/" + std::to_string(I),
                   Found);
    Out.push_back(One(R));
    R.rejectUnknownFields();
  }
}

// Ids are hashes of names: a repeated name and a collision are both mistakes.
template <typename Key, typename Spec, typename MakeId>
static void indexList(const char *Field, const std::vector<Spec> &List,
                      std::unordered_map<Key, uint32_t> &Index,
                      MistakeList &Found, MakeId Make) {
  for (uint32_t I = 0; I < List.size(); ++I) {
    auto Added = Index.emplace(Make(List[I].Name), I);
    if (!Added.second) {
      Found.push_back("/" + std::string(Field) + "/" + std::to_string(I) +
                      "/name: \"" + List[I].Name +
                      "\" repeats or collides with \"" +
                      List[Added.first->second].Name + "\"");
    }
  }
}

static void indexCustomerKeys(Config &C, MistakeList &Found) {
  for (uint32_t I = 0; I < C.Customers.size(); ++I) {
    if (!C.KeyIndex.emplace(C.Customers[I].KeySha256, I).second) {
      Found.push_back("/customers/" + std::to_string(I) +
                      "/keySha256: another customer has the same key");
    }
  }
}

static bool hasTier(const Config &C, const std::string &Name) {
  return std::any_of(C.Tiers.begin(), C.Tiers.end(),
                     [&](const TierSpec &T) { return T.Name == Name; });
}

static const TargetSpec *firstTargetInGroup(const Config &C,
                                            const std::string &Group) {
  for (const TargetSpec &T : C.Targets) {
    if (T.Group == Group) {
      return &T;
    }
  }
  return nullptr;
}

static void checkReferences(const Config &C, MistakeList &Found) {
  for (size_t I = 0; I < C.Kinds.size(); ++I) {
    const KindSpec &K = C.Kinds[I];
    std::string Path = "/kinds/" + std::to_string(I);
    if (!hasTier(C, K.Tier)) {
      Found.push_back(Path + "/tier: tier \"" + K.Tier + "\" does not exist");
    }
    if (firstTargetInGroup(C, K.Group) == nullptr) {
      Found.push_back(Path + "/group: no target is in group \"" + K.Group +
                      "\"");
    }
  }
  for (size_t I = 0; I < C.Targets.size(); ++I) {
    const TargetSpec *First = firstTargetInGroup(C, C.Targets[I].Group);
    if (First->Type != C.Targets[I].Type) {
      Found.push_back("/targets/" + std::to_string(I) + "/type: group \"" +
                      C.Targets[I].Group + "\" mixes engines and services");
    }
  }
}

static void buildIndexes(Config &C, MistakeList &Found) {
  indexList("customers", C.Customers, C.CustomerIndex, Found, customerId);
  indexList("targets", C.Targets, C.TargetIndex, Found, targetId);
  indexList("kinds", C.Kinds, C.KindIndex, Found, kindId);
  indexCustomerKeys(C, Found);
  for (const TargetSpec &T : C.Targets) {
    if (std::find(C.Regions.begin(), C.Regions.end(), T.Region) ==
        C.Regions.end()) {
      C.Regions.push_back(T.Region);
    }
  }
}

std::shared_ptr<const Config> parseConfig(const std::string &Text) {
  json Root = json::parse(Text, nullptr, false);
  if (Root.is_discarded()) {
    throw ConfigError({"/: not valid JSON"});
  }
  MistakeList Found;
  std::shared_ptr<Config> C = std::make_shared<Config>();
  ObjectReader R(Root, "", Found);
  parseList(R, "tiers", C->Tiers, Found, parseTier);
  parseList(R, "customers", C->Customers, Found, parseCustomer);
  parseList(R, "targets", C->Targets, Found, parseTarget);
  parseList(R, "kinds", C->Kinds, Found, parseKind);
  ObjectReader PolicyReader(R.object("policy"), "/policy", Found);
  C->Policy = parsePolicy(PolicyReader);
  PolicyReader.rejectUnknownFields();
  R.object("meta"); // Who applied it; written by the admin listener.
  R.rejectUnknownFields();
  if (C->Tiers.empty() || C->Tiers.size() > SHALLOTLATCH_CONFIG_MAX_TIERS) {
    Found.push_back("/tiers: expected 1 to " +
                    std::to_string(SHALLOTLATCH_CONFIG_MAX_TIERS) + " tiers");
  }
  buildIndexes(*C, Found);
  checkReferences(*C, Found);
  if (!Found.empty()) {
    throw ConfigError(Found);
  }
  return C;
}

static json targetJson(const TargetSpec &T) {
  return json{{"name", T.Name},
              {"type", T.Type == TargetType::Engine ? "engine" : "service"},
              {"group", T.Group},
              {"region", T.Region},
              {"domain", T.Domain},
              {"address", T.Address},
              {"slots", T.Slots},
              {"refusalProvesNotRun", T.RefusalProvesNotRun},
              {"checksFencing", T.ChecksFencing},
              {"prefillTokensPerSecond", T.PrefillTokensPerSecond},
              {"decodeMsPerToken", T.DecodeMsPerToken}};
}

static json kindJson(const KindSpec &K) {
  return json{{"name", K.Name},
              {"group", K.Group},
              {"tier", K.Tier},
              {"idempotent", K.Idempotent},
              {"requireKey", K.RequireKey},
              {"datedKeys", K.DatedKeys},
              {"crossRegion", K.CrossRegion},
              {"deadlineMs", toMillis(K.Deadline)},
              {"maxOutputTokens", K.MaxOutputTokens}};
}

static json policyJson(const PolicySpec &P) {
  return json{{"prefillPrice", P.PrefillPrice},
              {"crossRegionMsPerMb", P.CrossRegionMsPerMb},
              {"crossRegionDelayMs", toMillis(P.CrossRegionDelay)},
              {"poisonCrashes", P.QuarantineCrashes},
              {"poolCapacity", P.PoolCapacity},
              {"longPromptTokens", P.LongPromptTokens},
              {"longShare", P.LongPromptShare},
              {"tokenIntervalMs", toMillis(P.TokenInterval)},
              {"keyBuckets", P.KeyBuckets},
              {"keySlotMs", toMillis(P.KeySlotWidth)},
              {"keySlots", P.KeySlotCount},
              {"quarantineMs", toMillis(P.QuarantineTime)}};
}

std::string printConfig(const Config &C) {
  json Root{{"tiers", json::array()},
            {"customers", json::array()},
            {"targets", json::array()},
            {"kinds", json::array()},
            {"policy", policyJson(C.Policy)}};
  for (const TierSpec &T : C.Tiers) {
    Root["tiers"].push_back({{"name", T.Name}, {"objective", T.Objective}});
  }
  for (const CustomerSpec &K : C.Customers) {
    Root["customers"].push_back({{"name", K.Name},
                                 {"keySha256", K.KeySha256},
                                 {"weight", K.Weight},
                                 {"ratePerSecond", K.RatePerSecond},
                                 {"concurrency", K.Concurrency}});
  }
  for (const TargetSpec &T : C.Targets) {
    Root["targets"].push_back(targetJson(T));
  }
  for (const KindSpec &K : C.Kinds) {
    Root["kinds"].push_back(kindJson(K));
  }
  return Root.dump(2) + "\n";
}

template <typename Spec, typename Key>
static const Spec *lookUp(const std::vector<Spec> &List,
                          const std::unordered_map<Key, uint32_t> &Index,
                          const Key &K) {
  auto It = Index.find(K);
  return It == Index.end() ? nullptr : &List[It->second];
}

const CustomerSpec *Config::customer(CustomerId Id) const {
  return lookUp(this->Customers, this->CustomerIndex, Id);
}
const TargetSpec *Config::target(TargetId Id) const {
  return lookUp(this->Targets, this->TargetIndex, Id);
}
const KindSpec *Config::kind(KindId Id) const {
  return lookUp(this->Kinds, this->KindIndex, Id);
}
const CustomerSpec *Config::customerByBearer(const std::string &Bearer) const {
  return lookUp(this->Customers, this->KeyIndex, sha256Hex(Bearer));
}

TierRank Config::rank(const KindSpec &Kind) const {
  for (size_t I = 0; I < this->Tiers.size(); ++I) {
    if (this->Tiers[I].Name == Kind.Tier) {
      return static_cast<TierRank>(I);
    }
  }
  return static_cast<TierRank>(this->Tiers.size() - 1);
}

} // namespace shallotlatch
