#include "retry_budget_p.h"

#include <algorithm>

namespace shallotlatch {

void RetryBudget::advance(Time Now) {
  int64_t Width = this->Init.Window.count() / static_cast<int64_t>(Buckets);
  int64_t Bucket = Now.time_since_epoch().count() / std::max<int64_t>(1, Width);
  int64_t Steps = std::min<int64_t>(Bucket - this->CurrentBucket, Buckets);
  for (int64_t I = 0; I < Steps; ++I) {
    Count &Old = this->Ring[static_cast<size_t>((Bucket - I) % Buckets)];
    this->Sum.Requests -= Old.Requests;
    this->Sum.Repeats -= Old.Repeats;
    Old = Count();
  }
  this->CurrentBucket = std::max(this->CurrentBucket, Bucket);
}

void RetryBudget::recordRequest(Time Now) {
  this->advance(Now);
  ++this->Ring[static_cast<size_t>(this->CurrentBucket % Buckets)].Requests;
  ++this->Sum.Requests;
}

double RetryBudget::available(Time Now, uint32_t Hosts) {
  this->advance(Now);
  return this->Init.Ratio * this->Sum.Requests +
         this->Init.Extra / std::max(1U, Hosts) - this->Sum.Repeats;
}

bool RetryBudget::take(Time Now, uint32_t Hosts) {
  if (this->available(Now, Hosts) < 1) {
    return false;
  }
  ++this->Ring[static_cast<size_t>(this->CurrentBucket % Buckets)].Repeats;
  ++this->Sum.Repeats;
  return true;
}

} // namespace shallotlatch
