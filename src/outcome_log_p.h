/// \file
/// Recorded ends of keyed submissions, bounded in count and bytes.
#pragma once

#include "messages_p.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace shallotlatch {

/// Remembers how recent submissions ended, oldest forgotten first.
class OutcomeLog {
public:
  struct Record {
    Verdict FinalVerdict;
    std::string Answer;
  };

  void add(AskId Submission, const Verdict &FinalVerdict, std::string Answer);
  /// nullptr: not known, or forgotten.
  const Record *find(AskId Submission) const;

private:
  std::unordered_map<AskId, Record> Records;
  std::deque<AskId> Order;
  size_t Bytes = 0;
};

} // namespace shallotlatch
