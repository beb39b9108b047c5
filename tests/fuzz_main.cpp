// Runs the stateful fuzz tests. Usage: shallot-fuzz [runs [seed [noshrink]]]
#include "fuzz.h"

#include <cstdlib>
#include <iostream>
#include <string>

int main(int Argc, char **Argv) {
  std::string Runs = Argc > 1 ? Argv[1] : "60";
  std::string Seed = Argc > 2 ? Argv[2] : "20261204";
  std::string Parameters = "max_success=" + Runs + " seed=" + Seed +
                           " max_size=60 verbose_progress=0";
  if (Argc > 3 && std::string(Argv[3]) == "noshrink") {
    Parameters += " noshrink=1";
  }
  setenv("RC_PARAMS", Parameters.c_str(), 1);
  int Failed = 0;
  int Passed = 0;
  auto Count = [&](const char *Name, bool PropertyHeld) {
    // scripts/known_red.sh reads these lines, in the form of CppUTest's.
    std::cout << (PropertyHeld ? "" : "Failure in ") << "TEST(Fuzz, " << Name
              << ")\n";
    (PropertyHeld ? Passed : Failed) += 1;
  };
  Count("pool", shallotlatch::fuzzPool());
  Count("fleet", shallotlatch::fuzzFleet());
  std::cout << Passed << " passed, " << Failed << " failed\n";
  return Failed == 0 ? 0 : 1;
}
