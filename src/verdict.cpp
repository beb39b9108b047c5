#include "shallotlatch/verdict.h"

namespace shallotlatch {

const char *name(Outcome O) {
  switch (O) {
  case Outcome::Completed:
    return "completed";
  case Outcome::Failed:
    return "failed";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::MayHaveRun:
    return "may-have-run";
  }
  return "unknown";
}

namespace {
/// Texts of one reason and the status of its HTTP answer.
struct ReasonText {
  const char *Name;
  const char *Sentence;
  int Status;
};

// The entries are in the order of the enumeration `Reason`.
const ReasonText ReasonTexts[] = {
    {"none", "The request ended normally.", 200},
    {"overload", "No pool has room for this tier.", 503},
    {"deadline", "The deadline cannot be met.", 504},
    {"rate-limit", "The customer's limit is reached.", 429},
    {"quarantined", "This content crashed several targets.", 422},
    {"no-target", "No live target serves this kind.", 503},
    {"key-conflict", "The key was used before with another body.", 422},
    {"key-expired", "The key's date is older than the retention.", 409},
    {"key-in-future", "The key's date is too far ahead.", 400},
    {"key-duplicate", "An earlier submission of this key may have run.", 409},
    {"store-out", "The key could not be claimed in time.", 503},
    {"connect-failed", "No target accepted a connection.", 503},
    {"target-refused", "The target refused the request.", 503},
    {"target-error", "The target answered with an error.", 502},
    {"target-lost", "The connection to the target broke.", 502},
    {"truncated", "The answer ended before its end marker.", 502},
    {"cancelled", "The caller went away.", 499},
    {"shutting-down", "This host is stopping.", 503},
    {"host-full", "This host holds too many requests.", 503},
};
} // namespace

const char *name(Reason R) { return ReasonTexts[static_cast<int>(R)].Name; }
const char *explain(Reason R) {
  return ReasonTexts[static_cast<int>(R)].Sentence;
}

int httpStatus(const Verdict &V) {
  if (V.Result == Outcome::Completed) {
    return 200;
  }
  return ReasonTexts[static_cast<int>(V.Why)].Status;
}

} // namespace shallotlatch
