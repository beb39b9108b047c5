// Configuration and idempotency keys of fake fleets.
#include "fleet_fake.h"

#include "shallotlatch/builder.h"

namespace shallotlatch {

std::string testConfig(uint32_t Revision) {
  ConfigBuilder B;
  B.tier({"urgent", 0.99}).tier({"normal", 0.95}).tier({"routine", 0.9});
  CustomerSpec Large;
  Large.Name = "large";
  Large.Weight = 1 + Revision;
  B.customer(Large, "key-of-large");
  CustomerSpec Small;
  Small.Name = "small";
  B.customer(Small, "key-of-small");
  CustomerSpec Capped;
  Capped.Name = "capped";
  Capped.RatePerSecond = 20;
  B.customer(Capped, "key-of-capped");
  for (const char *Region : {"north", "south"}) {
    for (int I = 0; I < 3; ++I) {
      TargetSpec T;
      T.Name = std::string(Region) + "-" + std::to_string(I);
      T.Type = I < 2 ? TargetType::Engine : TargetType::Service;
      T.Group = I < 2 ? "engines" : "services";
      T.Region = Region;
      T.Domain = std::string(Region) + "-a";
      T.Address = "127.0.0.1:1";
      T.Slots = 4;
      B.target(T);
    }
  }
  for (const char *Tier : {"urgent", "normal", "routine"}) {
    KindSpec K;
    K.Name = std::string("model-") + Tier;
    K.Group = "engines";
    K.Tier = Tier;
    B.kind(K);
  }
  KindSpec Post;
  Post.Name = "post";
  Post.Group = "services";
  Post.Tier = "urgent";
  Post.Idempotent = false;
  Post.RequireKey = true;
  B.kind(Post);
  PolicySpec P;
  P.PoolCapacity = 16;
  P.KeyBuckets = 2;
  P.KeySlotCount = 10;
  P.KeySlotWidth = seconds(10);
  P.LongPromptTokens = 4000;
  B.policy(P);
  return B.print();
}

std::string uuid7(int64_t Ms, uint32_t Number) {
  std::string Date = toHex(static_cast<uint64_t>(Ms)).substr(4);
  return Date.substr(0, 8) + "-" + Date.substr(8) + "-7000-8000-" +
         toHex(Number).substr(4);
}

} // namespace shallotlatch
