#include "limits_p.h"

#include <algorithm>
#include <cmath>

namespace shallotlatch {

// Validity of granted tokens, and period of the reports to the limit owner.
static constexpr Duration GrantWindow = millis(500);
// Time without an answer after which another limit owner is asked.
static constexpr Duration AskTimeout = millis(600);
// Time without a report after which the owner reclaims a host's concurrency.
static constexpr Duration ShareLifetime = seconds(3);
// Capacity of a customer's token bucket, as time at the customer's rate.
static constexpr double BurstSeconds = 0.5;
// Initial content of the bucket, as time at the customer's rate. It is smaller
// than the capacity because a new owner cannot know what the previous owner
// granted.
static constexpr double InitialBurstSeconds = 0.1;

LimitOwner::LimitOwner(NodeEnv &Env) : Env(Env) {}

uint32_t LimitOwner::takeTokens(const CustomerSpec &Spec, Budget &B,
                                uint32_t Wanted) {
  if (Spec.RatePerSecond == 0) {
    return Wanted;
  }
  double Elapsed = toSeconds(this->Env.Now - B.RefilledAt);
  B.RefilledAt = this->Env.Now;
  double Burst = std::max(1.0, Spec.RatePerSecond * BurstSeconds);
  B.Tokens = std::min(Burst, B.Tokens + Elapsed * Spec.RatePerSecond);
  uint32_t Granted = std::min(Wanted, static_cast<uint32_t>(B.Tokens));
  B.Tokens -= Granted;
  return Granted;
}

uint32_t LimitOwner::allocateConcurrency(const CustomerSpec &Spec, Budget &B,
                                         HostId From, const LimitRequest &A) {
  if (Spec.Concurrency == 0) {
    return UINT32_MAX;
  }
  uint32_t Others = 0;
  for (auto It = B.Shares.begin(); It != B.Shares.end();) {
    bool Stale = this->Env.Now - It->second.LastAskAt > ShareLifetime;
    if (!Stale && It->first != From) {
      Others += It->second.Concurrency;
    }
    It = Stale ? B.Shares.erase(It) : std::next(It);
  }
  uint32_t Free = Spec.Concurrency - std::min(Others, Spec.Concurrency);
  HostShare &Requester = B.Shares[From];
  Requester.Concurrency = std::min(Free, A.InFlight + A.Wanted);
  Requester.LastAskAt = this->Env.Now;
  return Requester.Concurrency;
}

void LimitOwner::onAsk(HostId From, const LimitRequest &A) {
  const CustomerSpec *Spec = this->Env.ActiveConfig
                                 ? this->Env.ActiveConfig->customer(A.Customer)
                                 : nullptr;
  if (Spec == nullptr) {
    return;
  }
  auto Added = this->Budgets.emplace(A.Customer, Budget());
  Budget &B = Added.first->second;
  if (Added.second) {
    B.Tokens = std::ceil(Spec->RatePerSecond * InitialBurstSeconds);
    B.RefilledAt = this->Env.Now;
  }
  LimitGrant G;
  G.Customer = A.Customer;
  G.Concurrency = this->allocateConcurrency(*Spec, B, From, A);
  uint32_t Available = G.Concurrency - std::min(G.Concurrency, A.InFlight);
  G.Tokens = this->takeTokens(*Spec, B, std::min(A.Wanted, Available));
  this->Env.outboxFor(From).LimitGrants.push_back(G);
}

void LimitOwner::onHostLost(HostId Host) {
  for (auto &Item : this->Budgets) {
    Item.second.Shares.erase(Host);
  }
}

LimitClient::LimitClient(NodeEnv &Env, Membership &Members)
    : Env(Env), Members(Members) {}

bool LimitClient::tryAdmit(const CustomerSpec &Spec, Account &A) {
  bool TokensLeft =
      Spec.RatePerSecond == 0 || (A.Tokens > 0 && this->Env.Now < A.WindowEnd);
  bool Available = Spec.Concurrency == 0 || A.InFlight < A.Concurrency;
  if (!TokensLeft || !Available) {
    return false;
  }
  A.Tokens -= A.Tokens > 0 ? 1 : 0;
  ++A.InFlight;
  return true;
}

bool LimitClient::admit(CustomerId Customer, RequestHandle Request) {
  const CustomerSpec *Spec = this->Env.ActiveConfig->customer(Customer);
  if (Spec == nullptr || (Spec->RatePerSecond == 0 && Spec->Concurrency == 0)) {
    return true;
  }
  Account &A = this->Accounts[Customer];
  ++A.Arrivals;
  if (A.Queue.empty() && this->tryAdmit(*Spec, A)) {
    return true;
  }
  A.Queue.push_back(Request);
  if (!A.AskPending) {
    this->sendAsk(Customer, A);
  }
  return false;
}

void LimitClient::sendAsk(CustomerId Customer, Account &A) {
  A.AskPending = true;
  A.AskedAt = this->Env.Now;
  A.OwnerHost = this->Members.ownerOf(hashPair(Customer.Value, 7), "");
  LimitRequest Wanted;
  Wanted.Customer = Customer;
  Wanted.Wanted = static_cast<uint32_t>(
      A.Queue.size() + static_cast<size_t>(A.ExpectedArrivals * 0.9));
  Wanted.InFlight = A.InFlight;
  this->Env.outboxFor(A.OwnerHost).LimitRequests.push_back(Wanted);
}

void LimitClient::release(CustomerId Customer) {
  auto It = this->Accounts.find(Customer);
  if (It != this->Accounts.end() && It->second.InFlight > 0) {
    --It->second.InFlight;
  }
}

void LimitClient::removeQueued(CustomerId Customer, RequestHandle Request) {
  auto It = this->Accounts.find(Customer);
  if (It == this->Accounts.end()) {
    return;
  }
  std::deque<RequestHandle> &Q = It->second.Queue;
  Q.erase(std::remove(Q.begin(), Q.end(), Request), Q.end());
}

void LimitClient::onGrant(HostId From, const LimitGrant &G,
                          std::vector<RequestHandle> &Admitted,
                          std::vector<RequestHandle> &Refused) {
  const CustomerSpec *Spec = this->Env.ActiveConfig
                                 ? this->Env.ActiveConfig->customer(G.Customer)
                                 : nullptr;
  auto It = this->Accounts.find(G.Customer);
  if (It == this->Accounts.end() || It->second.OwnerHost != From ||
      !It->second.AskPending) {
    return;
  }
  Account &A = It->second;
  A.AskPending = false;
  A.Tokens = G.Tokens;
  A.Concurrency = G.Concurrency;
  A.WindowEnd = this->Env.Now + GrantWindow;
  while (!A.Queue.empty()) {
    bool IsAdmitted = Spec == nullptr || this->tryAdmit(*Spec, A);
    (IsAdmitted ? Admitted : Refused).push_back(A.Queue.front());
    A.Queue.pop_front();
  }
}

// An owner that does not answer is reported as unreachable, and the next host
// in rendezvous order is asked. Requests in flight are reported every window
// so that the owner keeps this host's concurrency share.
void LimitClient::tick() {
  for (auto &Item : this->Accounts) {
    Account &A = Item.second;
    if (A.AskPending && this->Env.Now - A.AskedAt > AskTimeout) {
      this->Members.markUnreachable(A.OwnerHost);
      this->sendAsk(Item.first, A);
    }
    if (this->Env.Now < A.NextReportAt) {
      continue;
    }
    A.NextReportAt = this->Env.Now + GrantWindow;
    A.ExpectedArrivals += 0.5 * (A.Arrivals - A.ExpectedArrivals);
    A.Arrivals = 0;
    if (!A.AskPending && A.InFlight > 0) {
      this->sendAsk(Item.first, A);
    }
  }
}

} // namespace shallotlatch
