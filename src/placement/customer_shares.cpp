#include "customer_shares_p.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace shallotlatch {

// Time constant with which use is forgotten. It is longer than most requests
// run, so that a customer is not over its share by two of them.
static constexpr double UseSeconds = 2;
// Interval at which the share is computed; sorting hundreds of customers for
// each request would cost more than the placement itself.
static constexpr Duration UpdateInterval = millis(100);
// Use below this number of tokens is forgotten.
static constexpr double MinUse = 1;
// A customer is over its share only beyond this factor, because work comes in
// whole requests.
static constexpr double ShareTolerance = 1.1;

CustomerShares::Use &CustomerShares::use(CustomerId Customer, Time Now) {
  Use &U = this->Customers[Customer];
  double Elapsed = toSeconds(Now - U.UpdatedAt);
  if (U.UpdatedAt == Time() || Elapsed > 0) {
    double Left = U.UpdatedAt == Time() ? 0 : std::exp(-Elapsed / UseSeconds);
    U.Demand *= Left;
    U.Placed *= Left;
    U.UpdatedAt = Now;
  }
  return U;
}

void CustomerShares::recordDemand(CustomerId Customer, double Work, Time Now) {
  this->use(Customer, Now).Demand += Work;
}

void CustomerShares::recordPlaced(CustomerId Customer, double Work, Time Now) {
  this->use(Customer, Now).Placed += Work;
}

// The max-min fair share S is the one at which the sum of min(demand, S) over
// all customers is the work that was placed.
void CustomerShares::update(Time Now) {
  this->NextUpdate = Now + UpdateInterval;
  std::vector<double> Demands;
  double Left = 0;
  for (auto It = this->Customers.begin(); It != this->Customers.end();) {
    const Use &U = this->use(It->first, Now);
    if (U.Demand < MinUse && U.Placed < MinUse) {
      It = this->Customers.erase(It);
      continue;
    }
    // A request may wait between its arrival and its slot.
    Demands.push_back(std::max(U.Demand, U.Placed));
    Left += U.Placed;
    ++It;
  }
  std::sort(Demands.begin(), Demands.end());
  this->Share = 0;
  for (size_t I = 0; I < Demands.size(); ++I) {
    double Equal = Left / static_cast<double>(Demands.size() - I);
    this->Share = Equal;
    if (Demands[I] > Equal) {
      return;
    }
    Left -= Demands[I];
  }
  // Everything that was asked for got a slot, so nobody is over its share.
  this->Share = Demands.empty() ? 0 : Demands.back();
}

bool CustomerShares::isOverShare(CustomerId Customer, Time Now) {
  if (Now >= this->NextUpdate) {
    this->update(Now);
  }
  auto It = this->Customers.find(Customer);
  return Customer.isValid() && It != this->Customers.end() && this->Share > 0 &&
         this->use(Customer, Now).Placed > this->Share * ShareTolerance;
}

} // namespace shallotlatch
