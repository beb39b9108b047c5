#include "store_queue_p.h"

#include <algorithm>

namespace shallotlatch {

static constexpr Duration FirstBackoff = millis(200);
static constexpr uint32_t MaxBackoffDoublings = 5;

StoreQueue::StoreQueue(NodeEnv &Env, double CallsPerSecond)
    : Env(Env), CallsPerSecond(CallsPerSecond), Tokens(CallsPerSecond),
      LastRefill(Env.Now) {}

void StoreQueue::push(StoreRequest Request) {
  this->Queue.push_back(std::move(Request));
  this->tick();
}

// Full jitter: hosts that failed together do not come back together.
void StoreQueue::onReply(const StoreReply &Reply) {
  bool Failed = Reply.Result == StoreReply::Status::Unavailable ||
                Reply.Result == StoreReply::Status::Unknown;
  if (!Failed) {
    this->ConsecutiveFailures = 0;
    this->RetryAt = Time();
    return;
  }
  ++this->Counts.Failures;
  uint32_t Doublings = std::min(this->ConsecutiveFailures, MaxBackoffDoublings);
  ++this->ConsecutiveFailures;
  int64_t Bound = FirstBackoff.count() << Doublings;
  Duration Wait(Bound / 4 +
                this->Env.randomBelow(static_cast<uint32_t>(Bound)));
  this->RetryAt = std::max(this->RetryAt, this->Env.Now + Wait);
}

void StoreQueue::tick() {
  double Passed = toSeconds(this->Env.Now - this->LastRefill);
  this->LastRefill = this->Env.Now;
  this->Tokens = std::min(this->CallsPerSecond,
                          this->Tokens + Passed * this->CallsPerSecond);
  while (!this->Queue.empty() && this->Tokens >= 1 &&
         this->Env.Now >= this->RetryAt) {
    this->Tokens -= 1;
    ++this->Counts.Calls;
    this->Env.Commands.emplace_back(std::move(this->Queue.front()));
    this->Queue.pop_front();
  }
}

StoreStats StoreQueue::stats() const {
  StoreStats S = this->Counts;
  S.Queued = static_cast<uint32_t>(this->Queue.size());
  S.BackingOff = this->Env.Now < this->RetryAt;
  return S;
}

} // namespace shallotlatch
