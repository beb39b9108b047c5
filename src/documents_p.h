/// \file
/// Copies of the configuration and the host list: watched by a few hosts a
/// region, spread between peers as patches. A version only ever goes up.
#pragma once

#include "membership_p.h"
#include "store_queue_p.h"

#include <nlohmann/json.hpp>

#include <array>
#include <deque>

namespace shallotlatch {

/// Readable state of one document.
struct DocumentStats {
  Version Number;
  Version Rejected; ///< Newest version that could not be parsed.
  bool Watching = false;
  std::string ParseErrors; ///< Of the rejected version.
};

class ReplicatedDocuments {
public:
  ReplicatedDocuments(NodeEnv &Env, Membership &Members, StoreQueue &Queue);

  std::array<Version, DocumentCount> versions() const;
  const nlohmann::json &body(Document What) const;
  /// Versions in \p Theirs above ours are asked for.
  void onVersions(HostId From,
                  const std::array<Version, DocumentCount> &Theirs);
  void onWant(HostId From, const DocumentWant &W);
  void onBody(const DocumentBody &B);
  bool onStoreReply(const StoreReply &Reply);
  /// Asks \p Peer for everything, at start.
  void requestAll(HostId Peer);
  void tick();
  /// Documents that changed since the last call.
  std::vector<Document> takeChanged();
  DocumentStats stats(Document What) const;

private:
  struct Patch {
    Version From;
    Version To;
    nlohmann::json Operations;
  };
  struct Copy {
    Version Number;
    nlohmann::json Body;
    uint64_t Hash = 0;
    std::deque<Patch> Patches;
    bool Watching = false;
    Version Rejected;
    std::string ParseErrors;
  };

  bool install(Document What, Version Number, nlohmann::json Body);
  bool applyContent(Document What, const std::string &Text, Copy &C,
                    Version Number);
  void sendVersions();
  void watch(Document What);

  NodeEnv &Env;
  Membership &Members;
  StoreQueue &Queue;
  std::array<Copy, DocumentCount> Copies;
  std::vector<Document> Changed;
};

/// Names of the objects in the platform's service.
const char *objectName(Document What);

} // namespace shallotlatch
