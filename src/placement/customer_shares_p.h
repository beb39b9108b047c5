/// \file
/// Shares of the customers in the slots of one service, for the load in which
/// one customer sends many times its usual amount while slots are short. The
/// code does no input or output.
#pragma once

#include "shallotlatch/types.h"

#include <unordered_map>

namespace shallotlatch {

/// Tells which customers have had their max-min fair share of the work lately.
/// Work is counted in prompt tokens, not in requests, so that customers with
/// large requests gain nothing by it.
class CustomerShares {
public:
  /// Records that a customer asked for \p Work.
  void recordDemand(CustomerId Customer, double Work, Time Now);
  /// Records that \p Work of a customer got a slot.
  void recordPlaced(CustomerId Customer, double Work, Time Now);
  /// Whether the customer has had more than its share. Never true of a customer
  /// without an id.
  bool isOverShare(CustomerId Customer, Time Now);
  /// Returns the share in tokens per second above which customers are over it;
  /// zero if it is not known.
  double share() const { return this->Share; }
  size_t size() const { return this->Customers.size(); }

private:
  struct Use {
    double Demand = 0; ///< Tokens asked for, decaying, as of `UpdatedAt`.
    double Placed = 0; ///< Tokens that got a slot, decaying.
    Time UpdatedAt;
  };
  Use &use(CustomerId Customer, Time Now);
  /// Computes the share anew and drops customers that have sent nothing lately.
  void update(Time Now);

  std::unordered_map<CustomerId, Use> Customers;
  double Share = 0;
  Time NextUpdate;
};

} // namespace shallotlatch
