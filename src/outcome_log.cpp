#include "outcome_log_p.h"

namespace shallotlatch {

// Total size of all recorded answers.
static constexpr size_t MaxAnswerBytes = 8 * 1024 * 1024;

void OutcomeLog::add(AskId Submission, const Verdict &FinalVerdict,
                     std::string Answer) {
  this->Bytes += Answer.size();
  this->Records[Submission] = Record{FinalVerdict, std::move(Answer)};
  this->Order.push_back(Submission);
  while (this->Order.size() > SHALLOTLATCH_CONFIG_MAX_OUTCOMES ||
         this->Bytes > MaxAnswerBytes) {
    auto It = this->Records.find(this->Order.front());
    this->Bytes -= It->second.Answer.size();
    this->Records.erase(It);
    this->Order.pop_front();
  }
}

const OutcomeLog::Record *OutcomeLog::find(AskId Submission) const {
  auto It = this->Records.find(Submission);
  return It == this->Records.end() ? nullptr : &It->second;
}

} // namespace shallotlatch
