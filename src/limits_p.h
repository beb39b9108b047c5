/// \file
/// Customer limits over the whole fleet. One owner host per customer, without
/// durable state, grants budget for short windows, so that no request needs a
/// remote call of its own.
#pragma once

#include "membership_p.h"
#include "node_env_p.h"

#include <deque>
#include <map>
#include <vector>

namespace shallotlatch {

/// Owner of some customers' limits: refills their budgets and divides them
/// among the entry hosts.
class LimitOwner {
public:
  explicit LimitOwner(NodeEnv &Env);
  /// Answers a request for budget with a LimitGrant to \p From.
  void onAsk(HostId From, const LimitRequest &A);
  /// Frees the concurrency that the lost host has in every customer's budget.
  void onHostLost(HostId Host);

private:
  /// Part of a customer's concurrency limit that one entry host has.
  struct HostShare {
    uint32_t Concurrency = 0;
    Time LastAskAt; ///< Time of the host's last request for budget.
  };
  /// Token bucket and concurrency shares of one customer.
  struct Budget {
    double Tokens = 0; ///< Admissions left in the bucket.
    Time RefilledAt;   ///< Time of the bucket's last refill.
    std::map<HostId, HostShare> Shares;
  };

  /// Refills the bucket and takes up to \p Wanted tokens; returns the number
  /// taken.
  uint32_t takeTokens(const CustomerSpec &Spec, Budget &B, uint32_t Wanted);
  /// Sets and returns the concurrency share of \p From.
  uint32_t allocateConcurrency(const CustomerSpec &Spec, Budget &B, HostId From,
                               const LimitRequest &A);

  NodeEnv &Env;
  std::map<CustomerId, Budget> Budgets;
};

/// Admits an entry host's requests within the budget that the limit owners
/// granted to this host.
class LimitClient {
public:
  LimitClient(NodeEnv &Env, Membership &Members);

  /// Admits \p Request now and returns true, or queues it until the next grant
  /// and returns false.
  bool admit(CustomerId Customer, RequestHandle Request);
  /// Frees the concurrency of an admitted request that ended.
  void release(CustomerId Customer);
  /// Removes a queued request that ended before it was admitted.
  void removeQueued(CustomerId Customer, RequestHandle Request);
  /// Applies a grant and empties the queue into \p Admitted and \p Refused.
  void onGrant(HostId From, const LimitGrant &G,
               std::vector<RequestHandle> &Admitted,
               std::vector<RequestHandle> &Refused);
  /// Repeats unanswered requests for budget and reports the requests in flight.
  void tick();

private:
  /// Budget and queue of one customer on this host.
  struct Account {
    uint32_t Tokens = 0;         ///< Admissions left until `WindowEnd`.
    uint32_t Concurrency = 0;    ///< Requests that may be in flight at once.
    uint32_t InFlight = 0;       ///< Admitted requests that have not ended.
    uint32_t Arrivals = 0;       ///< Requests received in the current window.
    double ExpectedArrivals = 0; ///< Smoothed arrivals per window.
    Time WindowEnd;              ///< End of the last grant's validity.
    Time AskedAt;                ///< Time of the last request for budget.
    Time NextReportAt;           ///< Time of the next report to the owner.
    bool AskPending = false;     ///< The owner has not answered yet.
    HostId OwnerHost;            ///< Limit owner that was asked last.
    std::deque<RequestHandle> Queue; ///< Requests that wait for a grant.
  };

  void sendAsk(CustomerId Customer, Account &A);
  bool tryAdmit(const CustomerSpec &Spec, Account &A);

  NodeEnv &Env;
  Membership &Members;
  std::map<CustomerId, Account> Accounts;
};

} // namespace shallotlatch
