/// \file
/// The twelve engines and three services that both example deployments run.
#pragma once

#include "shallotlatch/builder.h"

#include <string>
#include <vector>

namespace shallotlatch {

/// Ports of the targets; a real deployment lists its own addresses.
struct FleetInit {
  std::string Ip = "127.0.0.1";
  uint16_t EnginePort = 7200;
  uint16_t ServicePort = 7300;
  std::vector<std::string> Regions;
  std::string LongDocumentGroup; ///< Engines for long documents.
  std::string QuickAnswerGroup;  ///< Engines for quick answers.
  std::string ServiceGroup;      ///< Plain services.
};

/// Adds four engines and one service a region.
inline void addFleet(ConfigBuilder &Builder, const FleetInit &Init) {
  constexpr int EnginesPerRegion = 4;
  constexpr int LongPerRegion = 2;
  for (size_t R = 0; R < Init.Regions.size(); ++R) {
    const std::string &Region = Init.Regions[R];
    for (int E = 0; E < EnginesPerRegion; ++E) {
      TargetSpec T;
      T.Name = Region + "-engine-" + std::to_string(E + 1);
      T.Group =
          E < LongPerRegion ? Init.LongDocumentGroup : Init.QuickAnswerGroup;
      T.Region = Region;
      T.Domain = Region + (E % 2 == 0 ? "-a" : "-b");
      int Port = Init.EnginePort + static_cast<int>(R) * EnginesPerRegion + E;
      T.Address = Init.Ip + ":" + std::to_string(Port);
      T.Slots = 16;
      T.PrefillTokensPerSecond = 20000;
      T.DecodeMsPerToken = 8;
      Builder.target(T);
    }
    TargetSpec S;
    S.Name = Region + "-service";
    S.Type = TargetType::Service;
    S.Group = Init.ServiceGroup;
    S.Region = Region;
    S.Domain = Region + "-a";
    int Port = Init.ServicePort + static_cast<int>(R);
    S.Address = Init.Ip + ":" + std::to_string(Port);
    S.Slots = 64;
    S.RefusalProvesNotRun = true;
    Builder.target(S);
  }
}

/// Adds one customer with a fair share and a bearer key.
inline void addCustomer(ConfigBuilder &Builder, const std::string &Name,
                        double Weight) {
  CustomerSpec C;
  C.Name = Name;
  C.Weight = Weight;
  Builder.customer(C, "key-of-" + Name);
}

/// Adds one kind of model work.
inline void addModelKind(ConfigBuilder &Builder, const std::string &Name,
                         const std::string &Group, const std::string &Tier,
                         Duration Deadline) {
  KindSpec K;
  K.Name = Name;
  K.Group = Group;
  K.Tier = Tier;
  K.Deadline = Deadline;
  Builder.kind(K);
}

/// Adds one kind of plain service call.
inline void addServiceKind(ConfigBuilder &Builder, const std::string &Name,
                           const std::string &Group, const std::string &Tier,
                           bool Idempotent) {
  KindSpec K;
  K.Name = Name;
  K.Group = Group;
  K.Tier = Tier;
  K.Idempotent = Idempotent;
  K.RequireKey = !Idempotent;
  K.Deadline = seconds(10);
  Builder.kind(K);
}

} // namespace shallotlatch
