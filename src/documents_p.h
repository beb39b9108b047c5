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

  std::array<Version, DocumentKindCount> versions() const;
  const nlohmann::json &body(DocumentKind Kind) const;
  /// Versions in \p Theirs above ours are asked for.
  void onVersions(HostId From,
                  const std::array<Version, DocumentKindCount> &Theirs);
  void onWant(HostId From, const DocumentRequest &W);
  void onBody(const DocumentUpdate &B);
  bool onStoreReply(const StoreReply &Reply);
  /// Asks \p Peer for everything, at start.
  void requestAll(HostId Peer);
  void tick();
  /// Documents that changed since the last call.
  std::vector<DocumentKind> takeChanged();
  DocumentStats stats(DocumentKind Kind) const;

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

  bool install(DocumentKind Kind, Version Number, nlohmann::json Body);
  bool applyContent(DocumentKind Kind, const std::string &Text, Copy &C,
                    Version Number);
  void sendVersions();
  void watch(DocumentKind Kind);

  NodeEnv &Env;
  Membership &Members;
  StoreQueue &Queue;
  std::array<Copy, DocumentKindCount> Copies;
  std::vector<DocumentKind> Changed;
};

/// Names of the objects in the platform's service.
const char *objectName(DocumentKind Kind);

} // namespace shallotlatch
