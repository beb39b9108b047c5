/// \file
/// Copies of the configuration and the list of hosts. A few hosts of each
/// region watch the store, and peers pass the changes on as patches. The
/// version of a copy only increases.
#pragma once

#include "membership_p.h"
#include "store_queue_p.h"

#include <nlohmann/json.hpp>

#include <array>
#include <deque>

namespace shallotlatch {

/// State of one document, for status reports.
struct DocumentStats {
  Version Number;
  Version StoreNumber;     ///< Version that the store showed last.
  uint64_t StoreEra = 0;   ///< Era in which it did.
  Version Rejected;        ///< Newest version that could not be parsed.
  bool Watching = false;   ///< A watch at the store is in flight.
  std::string ParseErrors; ///< Errors in the rejected version.
};

/// This host's copies of the documents that all hosts share.
class ReplicatedDocuments {
public:
  ReplicatedDocuments(NodeEnv &Env, Membership &Members, StoreQueue &Queue);

  std::array<Version, DocumentKindCount> versions() const;
  const nlohmann::json &body(DocumentKind Kind) const;
  /// Requests from \p From the documents whose versions in \p Theirs are newer
  /// than this host's.
  void onVersions(HostId From,
                  const std::array<Version, DocumentKindCount> &Theirs);
  void onWant(HostId From, const DocumentRequest &W);
  void onBody(const DocumentUpdate &B);
  bool onStoreReply(const StoreReply &Reply);
  /// Requests from \p Peer every document that is newer than this host's copy.
  void requestAll(HostId Peer);
  void tick();
  /// Returns the documents that changed since the last call.
  std::vector<DocumentKind> takeChanged();
  DocumentStats stats(DocumentKind Kind) const;

private:
  /// JSON patch (RFC 6902) between two versions.
  struct Patch {
    Version From;
    Version To;
    nlohmann::json Operations;
  };
  struct Copy {
    Version Number;
    nlohmann::json Body;
    uint64_t Hash = 0;   ///< Hash of the serialized body.
    Version StoreNumber; ///< Version that the store showed last.
    uint64_t Era = 0;    ///< Era in which it did; 0 if it never did.
    /// Hashes of the bodies that the store had under its latest versions.
    std::map<Version, uint64_t> PastHashes;
    /// Patches to the latest versions, oldest first.
    std::deque<Patch> Patches;
    bool Watching = false;
    Version Rejected;
    std::string ParseErrors;
  };

  bool install(DocumentKind Kind, Version Number, nlohmann::json Body);
  bool applyContent(DocumentKind Kind, const std::string &Text, Copy &C,
                    Version Number);
  void sendVersions();
  /// Returns whether an older copy of the store holds \p Hash under \p Number.
  static bool isOfCopy(const Copy &C, Version Number, uint64_t Hash);
  void onStoreBody(DocumentKind Kind, const StoreReply &Reply,
                   nlohmann::json Body);
  void watch(DocumentKind Kind);

  NodeEnv &Env;
  Membership &Members;
  StoreQueue &Queue;
  std::array<Copy, DocumentKindCount> Copies;
  std::vector<DocumentKind> Changed;
};

/// Returns the name of a document's object in the platform's store.
const char *objectName(DocumentKind Kind);

} // namespace shallotlatch
