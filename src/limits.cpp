#include "limits_p.h"

#include <algorithm>
#include <cmath>

namespace shallotlatch {

static constexpr Duration Window = millis(500);
static constexpr Duration AskTimeout = millis(600);
static constexpr Duration ShareLifetime = seconds(3);
// Budget that a home may hand out at once, as time at the customer's rate.
static constexpr double BurstSeconds = 0.5;
// A home that is new to a customer cannot know what its predecessor gave.
static constexpr double FirstBurstSeconds = 0.1;

LimitHome::LimitHome(NodeEnv &Env) : Env(Env) {}

uint32_t LimitHome::takeTokens(const CustomerSpec &Spec, Budget &B,
                               uint32_t Wanted) {
  if (Spec.RatePerSecond == 0) {
    return Wanted;
  }
  double Passed = toSeconds(this->Env.Now - B.Refilled);
  B.Refilled = this->Env.Now;
  double Burst = std::max(1.0, Spec.RatePerSecond * BurstSeconds);
  B.Tokens = std::min(Burst, B.Tokens + Passed * Spec.RatePerSecond);
  uint32_t Given = std::min(Wanted, static_cast<uint32_t>(B.Tokens));
  B.Tokens -= Given;
  return Given;
}

uint32_t LimitHome::share(const CustomerSpec &Spec, Budget &B, HostId From,
                          const LimitRequest &A) {
  if (Spec.Concurrency == 0) {
    return UINT32_MAX;
  }
  uint32_t Others = 0;
  for (auto It = B.Shares.begin(); It != B.Shares.end();) {
    bool Stale = this->Env.Now - It->second.Heard > ShareLifetime;
    if (!Stale && It->first != From) {
      Others += It->second.Concurrency;
    }
    It = Stale ? B.Shares.erase(It) : std::next(It);
  }
  uint32_t Free = Spec.Concurrency - std::min(Others, Spec.Concurrency);
  Share &Mine = B.Shares[From];
  Mine.Concurrency = std::min(Free, A.InFlight + A.Wanted);
  Mine.Heard = this->Env.Now;
  return Mine.Concurrency;
}

void LimitHome::onAsk(HostId From, const LimitRequest &A) {
  const CustomerSpec *Spec = this->Env.ActiveConfig
                                 ? this->Env.ActiveConfig->customer(A.Customer)
                                 : nullptr;
  if (Spec == nullptr) {
    return;
  }
  auto Added = this->Budgets.emplace(A.Customer, Budget());
  Budget &B = Added.first->second;
  if (Added.second) {
    B.Tokens = std::ceil(Spec->RatePerSecond * FirstBurstSeconds);
    B.Refilled = this->Env.Now;
  }
  LimitGrant G;
  G.Customer = A.Customer;
  G.Concurrency = this->share(*Spec, B, From, A);
  uint32_t Room = G.Concurrency - std::min(G.Concurrency, A.InFlight);
  G.Tokens = this->takeTokens(*Spec, B, std::min(A.Wanted, Room));
  this->Env.outboxFor(From).LimitGrants.push_back(G);
}

void LimitHome::hostGone(HostId Host) {
  for (auto &Item : this->Budgets) {
    Item.second.Shares.erase(Host);
  }
}

LimitClient::LimitClient(NodeEnv &Env, Membership &Members)
    : Env(Env), Members(Members) {}

bool LimitClient::take(const CustomerSpec &Spec, Account &A) {
  bool TokensLeft =
      Spec.RatePerSecond == 0 || (A.Tokens > 0 && this->Env.Now < A.WindowEnd);
  bool Room = Spec.Concurrency == 0 || A.InFlight < A.Concurrency;
  if (!TokensLeft || !Room) {
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
  if (A.Queue.empty() && this->take(*Spec, A)) {
    return true;
  }
  A.Queue.push_back(Request);
  if (!A.Asking) {
    this->ask(Customer, A);
  }
  return false;
}

void LimitClient::ask(CustomerId Customer, Account &A) {
  A.Asking = true;
  A.AskedAt = this->Env.Now;
  A.Home = this->Members.ownerOf(hashPair(Customer.Value, 7), "");
  LimitRequest Wanted;
  Wanted.Customer = Customer;
  Wanted.Wanted = static_cast<uint32_t>(A.Queue.size() +
                                        static_cast<size_t>(A.Expected * 0.9));
  Wanted.InFlight = A.InFlight;
  this->Env.outboxFor(A.Home).LimitRequests.push_back(Wanted);
}

void LimitClient::release(CustomerId Customer) {
  auto It = this->Accounts.find(Customer);
  if (It != this->Accounts.end() && It->second.InFlight > 0) {
    --It->second.InFlight;
  }
}

void LimitClient::forget(CustomerId Customer, RequestHandle Request) {
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
  if (It == this->Accounts.end() || It->second.Home != From ||
      !It->second.Asking) {
    return;
  }
  Account &A = It->second;
  A.Asking = false;
  A.Tokens = G.Tokens;
  A.Concurrency = G.Concurrency;
  A.WindowEnd = this->Env.Now + Window;
  while (!A.Queue.empty()) {
    bool Taken = Spec == nullptr || this->take(*Spec, A);
    (Taken ? Admitted : Refused).push_back(A.Queue.front());
    A.Queue.pop_front();
  }
}

// A home that does not answer is taken for unreachable, and the next one in
// rank is asked.
void LimitClient::tick() {
  for (auto &Item : this->Accounts) {
    Account &A = Item.second;
    if (A.Asking && this->Env.Now - A.AskedAt > AskTimeout) {
      this->Members.markUnreachable(A.Home);
      this->ask(Item.first, A);
    }
    if (this->Env.Now < A.ReportAt) {
      continue;
    }
    A.ReportAt = this->Env.Now + Window;
    A.Expected += 0.5 * (A.Arrivals - A.Expected);
    A.Arrivals = 0;
    if (!A.Asking && A.InFlight > 0) {
      this->ask(Item.first, A);
    }
  }
}

} // namespace shallotlatch
