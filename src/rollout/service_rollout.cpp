#include "service_rollout_p.h"

#include "event_log_p.h"

#include <algorithm>

namespace shallotlatch {

// Time for which a version that appears beside others is held back if no order
// is known: an order and the first target of its version may reach a host in
// either order. Owners pass orders on every 400 ms.
static constexpr Duration NewVersionHold = seconds(2);
// Time for which the fleet counts as heard. Peers are checked every 200 ms.
static constexpr Duration TouchTime = seconds(1);
// Time within the roll-back limit that reports, the judgement and its messages
// need. Without word from its owner for the rest of the limit, a host sends
// nothing to the new version.
static constexpr Duration VerdictDelay = seconds(3);
// Largest lag between the times at which two hosts learn of an order. News that
// are older belong to an earlier order of the same version.
static constexpr Duration MaxOrderLag = seconds(10);
// Time for which late news of a withdrawn order are ignored, and after which an
// order that nothing shows any more is dropped.
static constexpr Duration ForgetTime = seconds(30);
// Time after which a final status is written again that the store has lost.
// A host's own read of it may be late by this time.
static constexpr Duration RewriteDelay = seconds(2);
static constexpr Duration RewriterDelay = millis(1500);

void ServiceRollout::begin(const RolloutOrder &Order, SoftwareId To,
                           Time OrderedAt, Time Now) {
  this->abandon(Now);
  this->Current = std::make_unique<ActiveOrder>(this->Init, Order.Length);
  ActiveOrder &C = *this->Current;
  C.Order = Order;
  C.To = To;
  C.OrderedAt = OrderedAt;
  C.LastSign = Now;
  this->Blocked.erase(To);
  logImportantEvent("rollout-order", {{"service", this->Service.Value},
                                      {"to", Order.To},
                                      {"version", To.Value},
                                      {"age-ms", toMillis(Now - OrderedAt)},
                                      {"duration-ms", toMillis(Order.Length)}});
}

// A version that is not proven keeps getting nothing after its order has ended:
// its targets may serve for as long as it takes to stop them.
void ServiceRollout::abandon(Time Now) {
  if (!this->Current) {
    return;
  }
  ActiveOrder &C = *this->Current;
  bool Bad = C.Policy.verdict() == RolloutVerdict::Bad ||
             C.Known == RolloutState::RolledBack;
  if (C.Known != RolloutState::Completed && (C.SawOther || Bad)) {
    this->Blocked[C.To] = {C.OrderedAt + C.Order.Length, Bad, true};
  }
  this->Withdrawn = C.To;
  this->WithdrawnUntil = Now + ForgetTime;
  logImportantEvent("rollout-ended",
                    {{"service", this->Service.Value},
                     {"version", C.To.Value},
                     {"verdict", name(C.Policy.verdict())},
                     {"state", C.Known ? name(*C.Known) : "none"}});
  this->Current.reset();
}

void ServiceRollout::onOrder(const RolloutOrder &Order, bool Appeared,
                             uint64_t Era, Time Now) {
  SoftwareId To = Order.software();
  bool Same = this->Current && this->Current->To == To &&
              this->Current->Order.Length == Order.Length;
  // An order that is given again has lost its status without a return of the
  // store from an older copy.
  bool GivenAgain = Same && this->Current->InStore &&
                    this->Current->Era == Era &&
                    Order.Revision > this->Current->Order.Revision &&
                    this->Current->Order.Written && !Order.Written &&
                    *this->Current->Order.Written != RolloutState::Active;
  if (!Same || GivenAgain) {
    this->begin(Order, To, Now, Now);
    this->Current->Appeared = Appeared || GivenAgain;
    this->Withdrawn = SoftwareId();
  }
  ActiveOrder &C = *this->Current;
  C.Order = Order;
  C.InStore = true;
  C.Era = Era;
  C.LastSign = Now;
  C.SawOther = C.SawOther || this->hasOther(To);
  if (Order.Written) {
    this->learnState(*Order.Written, Now);
  }
}

// A store that came back from a copy may lack the order. It stays in force: its
// deadline has not changed, and the operator writes it again.
void ServiceRollout::onOrderGone(uint64_t Era, Time Now) {
  if (!this->Current || !this->Current->InStore) {
    return;
  }
  this->Current->InStore = false;
  if (Era > this->Current->Era) {
    this->Current->LastSign = Now;
    return;
  }
  this->abandon(Now);
}

void ServiceRollout::learnState(RolloutState State, Time Now) {
  ActiveOrder &C = *this->Current;
  if (C.Known == State || (C.Known && *C.Known != RolloutState::Active)) {
    return; // The first final status stands.
  }
  C.Known = State;
  C.KnownAt = Now;
  logImportantEvent("rollout-state", {{"service", this->Service.Value},
                                      {"version", C.To.Value},
                                      {"state", name(State)}});
}

void ServiceRollout::onTarget(const TargetEntry &Target, Time Now) {
  SoftwareId Software = softwareId(Target.Software);
  bool IsNewVersion = this->Versions.count(Software) == 0;
  bool Beside = !this->Versions.empty();
  for (auto It = this->Versions.begin(); It != this->Versions.end();) {
    It->second.erase(Target.Instance);
    bool Empty = It->second.empty() && It->first != Software;
    It = Empty ? this->Versions.erase(It) : std::next(It);
  }
  this->Versions[Software].insert(Target.Instance);
  if (this->Current) {
    this->Current->SawOther =
        this->Current->SawOther || this->hasOther(this->Current->To);
  } else if (IsNewVersion && Beside) {
    BlockedVersion &B = this->Blocked[Software];
    B.Until = std::max(B.Until, Now + NewVersionHold);
  }
}

void ServiceRollout::onTargetGone(const TargetEntry &Target) {
  SoftwareId Software = softwareId(Target.Software);
  auto It = this->Versions.find(Software);
  if (It == this->Versions.end()) {
    return;
  }
  It->second.erase(Target.Instance);
  if (It->second.empty()) {
    this->Versions.erase(It);
    this->Blocked.erase(Software);
  }
}

void ServiceRollout::setTouch(const RolloutTouch &Next, Time Now) {
  uint32_t Hosts = std::max(this->Touch.Hosts, Next.Hosts);
  this->Touch = Next;
  this->Touch.Hosts = Hosts;
  if (Next.HearsFleet && !Next.FollowsOwner) {
    this->TouchAt = Now;
  }
}

bool ServiceRollout::inTouch(Time Now) const {
  if (this->Touch.FollowsOwner) {
    return this->OwnerNewsAt != Time() &&
           Now - this->OwnerNewsAt <=
               std::max(TouchTime,
                        this->Init.Bounds.RollbackTimeout - VerdictDelay);
  }
  return this->TouchAt != Time() && Now - this->TouchAt <= TouchTime;
}

void ServiceRollout::receive(const RolloutNews &News, bool FromOwner,
                             Time Now) {
  bool Ignored = News.To == this->Withdrawn && Now < this->WithdrawnUntil;
  bool Newer = this->Current && this->Touch.FollowsOwner && FromOwner &&
               this->Current->To != News.To &&
               News.Revision > this->Current->Order.Revision;
  if ((!this->Current && !Ignored) || Newer) {
    RolloutOrder Order;
    Order.Service = News.Service;
    Order.Length = News.Length;
    Order.Revision = News.Revision;
    this->begin(Order, News.To, Now - News.Age, Now);
    this->Current->SawOther = this->hasOther(News.To);
  }
  if (!this->Current || this->Current->To != News.To ||
      this->Current->Order.Length != News.Length) {
    return;
  }
  ActiveOrder &C = *this->Current;
  if (C.Appeared && C.InStore && News.Age > Now - C.OrderedAt + MaxOrderLag) {
    return;
  }
  C.OrderedAt = std::min(C.OrderedAt, Now - News.Age);
  C.LastSign = Now;
  C.Policy.adopt(News.Verdict);
  if (News.Written) {
    this->learnState(*News.Written, Now);
  }
  if (News.Report) {
    C.Tally.merge(*News.Report);
  }
  if (FromOwner && News.InTouch) {
    this->OwnerNewsAt = Now;
  }
}

std::optional<RolloutNews> ServiceRollout::news(RolloutScope Scope,
                                                Time Now) const {
  if (!this->Current) {
    return std::nullopt;
  }
  const ActiveOrder &C = *this->Current;
  RolloutNews News;
  News.Service = this->Service;
  News.To = C.To;
  News.Length = C.Order.Length;
  News.Age = Now - C.OrderedAt;
  News.Revision = C.Order.Revision;
  News.Verdict = C.Policy.verdict();
  News.Written = C.Known;
  News.InTouch = this->inTouch(Now);
  if (Scope != RolloutScope::Verdict) {
    News.Report =
        Scope == RolloutScope::Own ? C.Tally.own() : C.Tally.ownDomain();
  }
  return News;
}

std::optional<uint32_t> ServiceRollout::writerRank() const {
  if (this->Touch.FollowsOwner || !this->Current->InStore) {
    return std::nullopt;
  }
  auto Claim = [this](HostId Host) {
    return hashPair(Host.Value, this->Current->To.Value);
  };
  uint32_t Rank = 0;
  for (HostId Host : this->Touch.Writers) {
    Rank += Claim(Host) < Claim(this->Init.Self) ? 1 : 0;
  }
  return Rank;
}

void ServiceRollout::tick(const VersionLoad &Load, Time Now) {
  for (auto It = this->Blocked.begin(); It != this->Blocked.end();) {
    const BlockedVersion &B = It->second;
    bool Ended = !B.Bad && Now >= B.Until && !(B.Unproven && this->Current);
    It = Ended ? this->Blocked.erase(It) : std::next(It);
  }
  if (!this->Current) {
    return;
  }
  ActiveOrder &C = *this->Current;
  RolloutView View;
  View.Age = Now - C.OrderedAt;
  C.Age = View.Age;
  View.InTouch = this->inTouch(Now);
  View.HasFleetCounts = !this->Touch.FollowsOwner;
  View.NewSlots = Load.NewSlots;
  View.Running = Load.Running;
  View.Written = C.Known;
  View.WriterRank = this->writerRank();
  C.Policy.update(C.Tally.fleet(), View, Now);
  if (C.Policy.verdict() != C.Logged) {
    C.Logged = C.Policy.verdict();
    RolloutPair Sum = sumOf(C.Tally.fleet());
    const RolloutCounts &New = Sum[static_cast<size_t>(RolloutSide::New)];
    const RolloutCounts &Old = Sum[static_cast<size_t>(RolloutSide::Old)];
    logImportantEvent("rollout-verdict", {{"service", this->Service.Value},
                                          {"version", C.To.Value},
                                          {"verdict", name(C.Logged)},
                                          {"why", C.Policy.reason()},
                                          {"age-ms", toMillis(View.Age)},
                                          {"new-answers", New.answers()},
                                          {"new-failed", New.Failed},
                                          {"new-slow", New.Slow},
                                          {"old-answers", Old.answers()},
                                          {"old-failed", Old.Failed},
                                          {"old-slow", Old.Slow}});
  }
  if (!C.InStore && Now - C.LastSign > ForgetTime &&
      Now > C.OrderedAt + C.Order.Length) {
    this->abandon(Now);
  }
}

// The condition on the revision makes a second write harmless, so hosts that
// disagree about the writer do no harm.
std::optional<RolloutStatusWrite> ServiceRollout::statusDue(Time Now) const {
  if (!this->Current) {
    return std::nullopt;
  }
  const ActiveOrder &C = *this->Current;
  std::optional<RolloutState> Due = C.Policy.statusDue();
  std::optional<uint32_t> Rank = this->writerRank();
  bool Lost =
      C.Known && *C.Known != RolloutState::Active && C.Order.Written != C.Known;
  if (Lost && Rank && Now - std::max(C.KnownAt, C.LastSign) >= Duration(0) &&
      Now - C.KnownAt >= RewriteDelay + RewriterDelay * int64_t{*Rank}) {
    Due = C.Known;
  }
  if (!Due || !Rank || C.Order.Written == Due) {
    return std::nullopt;
  }
  return RolloutStatusWrite{C.Order.Name, *Due, C.Order.To, C.Order.Revision};
}

RolloutSide ServiceRollout::sideOf(const TargetEntry &Target) const {
  return this->isNew(Target) ? RolloutSide::New : RolloutSide::Old;
}

void ServiceRollout::recordSent(RouteId Route, const TargetEntry &Target) {
  if (this->Current) {
    this->Current->Tally.recordSent(Route, this->sideOf(Target));
  }
}

void ServiceRollout::recordAnswer(RouteId Route, const TargetEntry &Target,
                                  bool Failed, Duration Elapsed, Time Now) {
  if (this->Current) {
    this->Current->Tally.recordAnswer(Route, this->sideOf(Target), Failed,
                                      Elapsed, Now);
  }
}

void ServiceRollout::recordAbandoned(RouteId Route, const TargetEntry &Target,
                                     Duration Elapsed, Time Now) {
  if (this->Current && this->Current->Tally.isSlow(Route, Elapsed, Now)) {
    this->recordAnswer(Route, Target, false, Elapsed, Now);
  }
}

// A machine that is lost breaks many connections at once, which says little
// about the version, so each run of a target counts once.
void ServiceRollout::recordLost(RouteId Route, const TargetEntry &Target,
                                Duration Elapsed, Time Now) {
  if (this->Current &&
      this->Current->LostTargets.insert(Target.shortIdentity()).second) {
    this->recordAnswer(Route, Target, true, Elapsed, Now);
  }
}

SoftwareId ServiceRollout::to() const {
  return this->Current ? this->Current->To : SoftwareId();
}

std::string ServiceRollout::orderName() const {
  return this->Current ? this->Current->Order.Name : "";
}

RolloutVerdict ServiceRollout::verdict() const {
  return this->Current ? this->Current->Policy.verdict() : RolloutVerdict::Open;
}

std::optional<RolloutState> ServiceRollout::state() const {
  return this->Current ? this->Current->Known : std::nullopt;
}

std::string ServiceRollout::reason() const {
  return this->Current ? this->Current->Policy.reason() : "";
}

double ServiceRollout::share() const {
  return this->Current ? this->Current->Policy.share() : 0;
}

bool ServiceRollout::drainsOld() const {
  return this->Current && this->Current->Policy.drainsOld();
}

const RolloutRoutes *ServiceRollout::evidence() const {
  return this->Current ? &this->Current->Tally.fleet() : nullptr;
}

} // namespace shallotlatch
