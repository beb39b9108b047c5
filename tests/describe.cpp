// Describes the messages of a batch in readable lines, for golden files.
#include "fleet_fake.h"

namespace shallotlatch {

static std::string text(AskId Id) { return std::to_string(Id.Value); }

static const char *name(ClaimResult R) {
  static const char *const Names[] = {"granted", "taken", "conflict", "expired",
                                      "too new"};
  return Names[static_cast<int>(R)];
}

static const char *name(DispatchResult R) {
  static const char *const Names[] = {"done", "refused", "lost", "unsent",
                                      "stopped"};
  return Names[static_cast<int>(R)];
}

// Omits heartbeats, liveness reports and status reports, because they repeat
// all the time.
std::vector<std::string> describe(const PeerBatch &B) {
  std::vector<std::string> Lines;
  for (const SlotRequest &A : B.SlotRequests) {
    Lines.push_back("ask " + text(A.Id) + ", tier " + std::to_string(A.Tier));
  }
  for (const Grant &G : B.Grants) {
    Lines.push_back("grant " + text(G.Id));
  }
  for (const Refusal &R : B.Refusals) {
    Lines.push_back("refusal " + text(R.Id) + ", " + shallotlatch::name(R.Why));
  }
  for (const Withdrawal &W : B.Withdrawals) {
    Lines.push_back("withdraw " + text(W.Id));
  }
  for (const Release &R : B.Releases) {
    Lines.push_back("release " + text(R.Id) + ", " + name(R.Result));
  }
  for (const ResendRequest &A : B.ResendRequests) {
    (void)A;
    Lines.push_back("ask again");
  }
  for (const Claim &C : B.Claims) {
    Lines.push_back("claim for " + text(C.Owner.Submission));
  }
  for (const ClaimReply &C : B.ClaimReplies) {
    Lines.push_back("claim of " + text(C.Submission) + " is " + name(C.Result));
  }
  for (const ClaimCompletion &S : B.ClaimCompletions) {
    Lines.push_back("settle " + text(S.Owner.Submission) + ", " +
                    shallotlatch::name(S.Result));
  }
  for (const OutcomeRequest &J : B.OutcomeRequests) {
    Lines.push_back("join " + text(J.Holder.Submission));
  }
  for (const OutcomeReply &J : B.OutcomeReplies) {
    Lines.push_back(std::string("join reply, ") +
                    (J.Known ? shallotlatch::name(J.End.Result) : "unknown"));
  }
  for (const DocumentUpdate &D : B.DocumentUpdates) {
    Lines.push_back(
        "document " +
        std::string(D.Kind == DocumentKind::Config ? "config" : "hosts") +
        " version " + std::to_string(D.Number.Value) +
        (D.Base.isValid() ? " as a patch" : " whole"));
  }
  return Lines;
}

} // namespace shallotlatch
