// Roll-outs as the relay sees them: orders, evidence from answers, and what
// peers and the store are told.
#include "relay_p.h"

#include <algorithm>

namespace shallotlatch {

// Events of a stream that count for its speed: the time of an answer is that to
// its first event and of this many more at its mean pace, so that answers of
// different lengths compare.
static constexpr int64_t ComparedEvents = 8;

void RequestRelay::onRollout(const RolloutOrder &Order, bool Appeared) {
  if (!this->Rollouts) {
    return;
  }
  // The service has to exist so that its targets are known to the roll-out.
  this->service(Order.Service);
  this->Rollouts->onOrder(Order, this->isEngine(Order.Service), Appeared,
                          this->StoreView.storeEra(), ProcessClock::now());
}

void RequestRelay::onRolloutGone(const std::string &Name) {
  if (this->Rollouts) {
    this->Rollouts->onOrderGone(Name, this->StoreView.storeEra(),
                                ProcessClock::now());
  }
}

bool RequestRelay::isEngine(ServiceId Id) const {
  const ServiceSpec *Spec = this->Config ? this->Config->service(Id) : nullptr;
  return Spec != nullptr && Spec->Engine;
}

void RequestRelay::tickRollouts(Time Now) {
  if (!this->Rollouts) {
    return;
  }
  for (const auto &Item : this->Rollouts->all()) {
    if (Item.second->active()) {
      this->Rollouts->of(Item.first, this->isEngine(Item.first));
      Item.second->tick(
          this->service(Item.first).Places->scheduler().versionLoad(), Now);
    }
  }
}

void RequestRelay::receiveRollouts(const std::vector<RolloutNews> &News,
                                   bool FromOwner) {
  if (!this->Rollouts) {
    return;
  }
  for (const RolloutNews &Item : News) {
    this->service(Item.Service);
    this->Rollouts->of(Item.Service, this->isEngine(Item.Service))
        .receive(Item, FromOwner, ProcessClock::now());
  }
}

bool RequestRelay::rolloutAllows(const RelayedRequest &R) {
  ServiceRollout *Rollout =
      this->Rollouts ? this->Rollouts->find(R.Service) : nullptr;
  return Rollout == nullptr || Rollout->maySend(R.Target);
}

void RequestRelay::recordRolloutSent(const RelayedRequest &R) {
  ServiceRollout *Rollout =
      this->Rollouts ? this->Rollouts->find(R.Service) : nullptr;
  if (Rollout != nullptr) {
    Rollout->recordSent(R.MatchedRoute->Id, R.Target);
  }
}

void RequestRelay::recordRolloutEnd(const RelayedRequest &R, RolloutEnd End) {
  ServiceRollout *Rollout =
      this->Rollouts ? this->Rollouts->find(R.Service) : nullptr;
  if (Rollout == nullptr || !R.AttemptSent) {
    return;
  }
  Time Now = ProcessClock::now();
  Duration Elapsed = Now - R.SentAt;
  if (R.AnswerBegunAt != Time()) {
    int64_t Events = std::max<int64_t>(1, R.EventCount);
    Elapsed = R.AnswerBegunAt - R.SentAt +
              (R.LastEventAt - R.AnswerBegunAt) * ComparedEvents / Events;
  }
  RouteId Route = R.MatchedRoute->Id;
  switch (End) {
  case RolloutEnd::Answered:
    Rollout->recordAnswer(Route, R.Target, isFailure(R), Elapsed, Now);
    break;
  case RolloutEnd::TimedOut:
    Rollout->recordAnswer(Route, R.Target, true, Elapsed, Now);
    break;
  case RolloutEnd::Broken:
    Rollout->recordLost(Route, R.Target, Elapsed, Now);
    break;
  case RolloutEnd::Abandoned:
    Rollout->recordAbandoned(Route, R.Target, Elapsed, Now);
    break;
  }
}

} // namespace shallotlatch
