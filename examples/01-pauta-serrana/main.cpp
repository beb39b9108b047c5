// Prints the configuration of an accounting firm: rulings on ledgers with
// filing deadlines, quick questions, tagging, and posting confirmations that
// must run at most once.
#include "../fleet.h"

#include <iostream>

using namespace shallotlatch;

int main() {
  ConfigBuilder Builder;
  Builder.tier({"filing", 0.999})
      .tier({"question", 0.99})
      .tier({"tagging", 0.95});
  addCustomer(Builder, "cooperativa-uva", 4);
  addCustomer(Builder, "cooperativa-leite", 3);
  addCustomer(Builder, "malharia-stella", 1);
  addCustomer(Builder, "vinhos-rossi", 1);
  addCustomer(Builder, "moveis-tondo", 1);

  FleetInit Fleet;
  Fleet.Regions = {"serra", "litoral", "capital"};
  Fleet.LongDocumentGroup = "rulings";
  Fleet.QuickAnswerGroup = "quick";
  Fleet.ServiceGroup = "ledger";
  addFleet(Builder, Fleet);

  addModelKind(Builder, "ruling", "rulings", "filing", seconds(120));
  addModelKind(Builder, "question", "quick", "question", seconds(20));
  addModelKind(Builder, "tag-accounts", "quick", "tagging", seconds(30));
  addServiceKind(Builder, "confirm-posting", "ledger", "filing", false);

  PolicySpec Policy;
  Policy.PrefillPrice = 1;
  Builder.policy(Policy);
  std::cout << Builder.print();
  return 0;
}
