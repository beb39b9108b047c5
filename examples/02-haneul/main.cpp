// Prints the configuration of a workshop: pattern briefs for painters,
// replies to buyers, order tagging, order placing that must run at most once,
// and stock lookups.
#include "../fleet.h"

#include <iostream>

using namespace shallotlatch;

int main() {
  ConfigBuilder Builder;
  Builder.tier({"workshop", 0.999})
      .tier({"reply", 0.99})
      .tier({"lookup", 0.99})
      .tier({"tagging", 0.95});
  addCustomer(Builder, "workshop", 4);
  addCustomer(Builder, "shop", 2);
  addCustomer(Builder, "temple-counters", 1);
  addCustomer(Builder, "wedding-planners", 1);
  addCustomer(Builder, "clerks", 1);

  FleetInit Fleet;
  Fleet.Regions = {"jeonju", "seoul", "busan"};
  Fleet.LongDocumentGroup = "briefs";
  Fleet.QuickAnswerGroup = "replies";
  Fleet.ServiceGroup = "orders";
  addFleet(Builder, Fleet);

  addModelKind(Builder, "pattern-brief", "briefs", "workshop", seconds(120));
  addModelKind(Builder, "reply", "replies", "reply", seconds(20));
  addModelKind(Builder, "tag-order", "replies", "tagging", seconds(30));
  addServiceKind(Builder, "place-order", "orders", "workshop", false);
  addServiceKind(Builder, "stock-lookup", "orders", "lookup", true);

  // Recomputed briefs cost engine time and paid traffic: prefill weighs more.
  PolicySpec Policy;
  Policy.PrefillPrice = 3;
  Builder.policy(Policy);
  std::cout << Builder.print();
  return 0;
}
