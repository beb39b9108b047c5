/// \file
/// Customer limits over the whole fleet: one soft home a customer hands out
/// budget in small windows, so that no request needs a call of its own.
#pragma once

#include "membership_p.h"
#include "node_env_p.h"

#include <deque>
#include <map>
#include <vector>

namespace shallotlatch {

/// Home of some customers: refills their budgets and divides them.
class LimitOwner {
public:
  explicit LimitOwner(NodeEnv &Env);
  void onAsk(HostId From, const LimitAsk &A);
  void onHostLost(HostId Host);

private:
  struct HostShare {
    uint32_t Concurrency = 0;
    Time LastAskAt;
  };
  struct Budget {
    double Tokens = 0;
    Time RefilledAt;
    std::map<HostId, HostShare> Shares;
  };

  uint32_t takeTokens(const CustomerSpec &Spec, Budget &B, uint32_t Wanted);
  uint32_t allocateConcurrency(const CustomerSpec &Spec, Budget &B, HostId From,
                               const LimitAsk &A);

  NodeEnv &Env;
  std::map<CustomerId, Budget> Budgets;
};

/// What an entry host may admit now.
class LimitClient {
public:
  LimitClient(NodeEnv &Env, Membership &Members);

  /// Admits at once, or queues \p Request until a grant; true: admitted.
  bool admit(CustomerId Customer, RequestHandle Request);
  /// An admitted request ended.
  void release(CustomerId Customer);
  /// A queued request ended before it was admitted.
  void removeQueued(CustomerId Customer, RequestHandle Request);
  /// Fills \p Admitted and \p Refused from the queue.
  void onGrant(HostId From, const LimitGrant &G,
               std::vector<RequestHandle> &Admitted,
               std::vector<RequestHandle> &Refused);
  void tick();

private:
  struct Account {
    uint32_t Tokens = 0;
    uint32_t Concurrency = 0;
    uint32_t InFlight = 0;
    uint32_t Arrivals = 0;       ///< In this window.
    double ExpectedArrivals = 0; ///< Arrivals a window, smoothed.
    Time WindowEnd;
    Time AskedAt;
    Time NextReportAt;
    bool AskPending = false;
    HostId OwnerHost;
    std::deque<RequestHandle> Queue;
  };

  void sendAsk(CustomerId Customer, Account &A);
  bool tryAdmit(const CustomerSpec &Spec, Account &A);

  NodeEnv &Env;
  Membership &Members;
  std::map<CustomerId, Account> Accounts;
};

} // namespace shallotlatch
