// Runs each policy under each scenario in virtual time and prints the results.
#include "policy_bench.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

using namespace shallotlatch;
using nlohmann::json;

namespace {
/// One line of the table of results.
struct Row {
  std::string Scenario;
  std::string Policy;
  BenchResult Result;
};
} // namespace

// Returns the share of requests that completed within their deadline.
static double goodShare(const TierResult &T) {
  return T.Offered == 0 ? 1 : static_cast<double>(T.Good) / T.Offered;
}

static void printRow(const Row &R) {
  std::cout << std::left << std::setw(15) << R.Scenario << std::setw(16)
            << R.Policy << std::right << std::fixed << std::setprecision(3);
  for (const TierResult &T : R.Result.Tiers) {
    std::cout << std::setw(8) << goodShare(T);
  }
  std::cout << std::setw(8) << R.Result.GoodWork / R.Result.UpperBoundWork
            << std::setw(10) << R.Result.WastedTokens / 1000 << std::setw(10)
            << R.Result.RecomputedTokens / 1000 << std::setw(7)
            << R.Result.PriorityInversions << std::setprecision(0);
  for (double Share : {0.5, 0.95, 0.99}) {
    std::cout << std::setw(8)
              << computeQuantile(R.Result.Tiers[1].FirstTokenMs, Share);
  }
  std::cout << "\n";
}

static json rowJson(const Row &R) {
  json Tiers = json::array();
  for (const TierResult &T : R.Result.Tiers) {
    Tiers.push_back(
        {{"tier", T.Name},
         {"offered", T.Offered},
         {"good", T.Good},
         {"firstTokenP50Ms", computeQuantile(T.FirstTokenMs, 0.5)},
         {"firstTokenP95Ms", computeQuantile(T.FirstTokenMs, 0.95)},
         {"firstTokenP99Ms", computeQuantile(T.FirstTokenMs, 0.99)}});
  }
  return json{{"scenario", R.Scenario},
              {"policy", R.Policy},
              {"tiers", Tiers},
              {"goodOverBound", R.Result.GoodWork / R.Result.UpperBoundWork},
              {"prefillTokens", R.Result.PrefillTokens},
              {"wastedTokens", R.Result.WastedTokens},
              {"recomputedTokens", R.Result.RecomputedTokens},
              {"inversions", R.Result.PriorityInversions}};
}

// Returns an SVG with one bar per scenario and policy: the share of requests of
// \p Tier that completed within their deadline.
static std::string plot(const std::vector<Row> &Rows, size_t Tier) {
  static const char *const Colors[] = {"#9e9e9e", "#8d6e63", "#5c6bc0",
                                       "#ef6c00", "#2e7d32"};
  constexpr int BarHeight = 12;
  constexpr int Left = 230;
  constexpr int Width = 400;
  std::stringstream Out;
  Out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
      << Left + Width + 70 << "\" height=\""
      << static_cast<int>(Rows.size()) * (BarHeight + 3) + 40
      << "\" font-family=\"sans-serif\" font-size=\"11\"><text x=\"8\" "
         "y=\"16\">Good share of tier "
      << Tier << ", by scenario and policy</text>";
  int Y = 28;
  for (size_t I = 0; I < Rows.size(); ++I) {
    double Share = goodShare(Rows[I].Result.Tiers[Tier]);
    Out << "<text x=\"" << Left - 6 << "\" y=\"" << Y + 10
        << "\" text-anchor=\"end\">" << Rows[I].Scenario << " "
        << Rows[I].Policy << "</text><rect x=\"" << Left << "\" y=\"" << Y
        << "\" width=\"" << Share * Width << "\" height=\"" << BarHeight
        << "\" fill=\"" << Colors[I % 5] << "\"/><text x=\""
        << Left + Share * Width + 5 << "\" y=\"" << Y + 10 << "\">"
        << std::fixed << std::setprecision(3) << Share << "</text>";
    Y += BarHeight + 3;
  }
  Out << "</svg>\n";
  return Out.str();
}

int main(int Argc, char **Argv) {
  CLI::App App("Compares schedulers on one pool of engines, in virtual time.");
  BenchInit Init;
  std::vector<std::string> Policies = policyNames();
  std::vector<std::string> WantedScenarios;
  std::string JsonPath;
  std::string SvgPath;
  double Seconds = 90;
  App.add_option("--deployment", Init.Deployment, "pauta or haneul")
      ->capture_default_str();
  App.add_option("--policies", Policies, "Policies to compare")->delimiter(',');
  App.add_option("--scenarios", WantedScenarios,
                 "Scenarios to run (default: all)")
      ->delimiter(',');
  App.add_option("--engines", Init.Engines, "Number of engines")
      ->check(CLI::Range(1, 200))
      ->capture_default_str();
  App.add_option("--prefill-price", Init.PrefillPrice,
                 "prefillPrice of the policy")
      ->capture_default_str();
  App.add_option("--seconds", Seconds, "Length of a run in virtual seconds")
      ->check(CLI::Range(10.0, 600.0))
      ->capture_default_str();
  App.add_option("--seed", Init.Seed, "Seed of the random requests")
      ->capture_default_str();
  App.add_option("--json", JsonPath,
                 "Also write the results as JSON to this file");
  App.add_option("--svg", SvgPath,
                 "Also write a plot of the middle tier to this file");
  CLI11_PARSE(App, Argc, Argv);
  Init.Length = Duration(static_cast<int64_t>(Seconds * 1e6));
  std::cout << "scenario       policy             top  middle     low  of max"
               "  wasted k  recomp k   inv  ft p50     p95     p99 ms\n";
  std::vector<Row> Rows;
  for (const Scenario &S : scenarios()) {
    bool Run = WantedScenarios.empty() ||
               std::find(WantedScenarios.begin(), WantedScenarios.end(),
                         S.Name) != WantedScenarios.end();
    for (const std::string &Policy : Policies) {
      if (Run) {
        Init.SelectedScenario = S;
        Init.Policy = Policy;
        Rows.push_back(Row{S.Name, Policy, runBench(Init)});
        printRow(Rows.back());
      }
    }
  }
  if (!JsonPath.empty()) {
    json All = json::array();
    for (const Row &R : Rows) {
      All.push_back(rowJson(R));
    }
    std::ofstream(JsonPath) << All.dump(2) << "\n";
  }
  if (!SvgPath.empty()) {
    std::ofstream(SvgPath) << plot(Rows, 1);
  }
  return 0;
}
