/// \file
/// Recorded outcomes of submissions with an idempotency key, bounded in count
/// and bytes.
#pragma once

#include "messages_p.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace shallotlatch {

/// Keeps the outcomes of recent submissions and evicts the oldest first.
class OutcomeLog {
public:
  struct Record {
    Verdict FinalVerdict;
    std::string Answer; ///< Whole answer body; empty if there is none.
  };

  /// Records an outcome and evicts old ones beyond the bounds.
  void add(AskId Submission, const Verdict &FinalVerdict, std::string Answer);
  /// Returns nullptr if \p Submission is unknown or its record was evicted.
  const Record *find(AskId Submission) const;

private:
  std::unordered_map<AskId, Record> Records;
  std::deque<AskId> Order; ///< Submissions in the order they were added.
  size_t Bytes = 0;        ///< Total size of the recorded answers.
};

} // namespace shallotlatch
