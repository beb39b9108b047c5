#include "report.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace shallotlatch {

using nlohmann::json;

namespace {
/// Counts of one service-level series in one window, summed over all hosts.
struct BurnRow {
  std::string Series;
  int64_t WindowSeconds = 0;
  uint64_t Good = 0;
  uint64_t Total = 0;
  double Objective = 0;
  /// Returns the share of failures relative to the share that the objective
  /// allows, so that 1 means that the objective is just met.
  double burn() const {
    if (this->Total == 0) {
      return 0;
    }
    double Bad =
        1 - static_cast<double>(this->Good) / static_cast<double>(this->Total);
    return Bad / (1 - this->Objective);
  }
};
} // namespace

static std::vector<BurnRow> sumBurns(const std::vector<HostReport> &Hosts) {
  std::vector<BurnRow> Rows;
  for (const HostReport &H : Hosts) {
    auto Part = H.Parts.find("burn");
    if (Part == H.Parts.end() || !Part->second.is_object()) {
      continue;
    }
    for (const json &B : Part->second["burns"]) {
      std::string Series = B["series"];
      int64_t Window = B["windowSeconds"];
      auto Row = std::find_if(Rows.begin(), Rows.end(), [&](const BurnRow &R) {
        return R.Series == Series && R.WindowSeconds == Window;
      });
      if (Row == Rows.end()) {
        Rows.push_back(BurnRow{Series, Window, 0, 0, B["objective"]});
        Row = Rows.end() - 1;
      }
      Row->Good += B["good"].get<uint64_t>();
      Row->Total += B["total"].get<uint64_t>();
    }
  }
  return Rows;
}

std::string reportText(const std::vector<HostReport> &Hosts) {
  std::stringstream Out;
  Out << std::left << std::setw(32) << "series" << std::right << std::setw(8)
      << "window" << std::setw(9) << "good" << std::setw(9) << "total"
      << std::setw(11) << "objective" << std::setw(8) << "burn"
      << "\n";
  for (const BurnRow &R : sumBurns(Hosts)) {
    Out << std::left << std::setw(32) << R.Series << std::right << std::setw(7)
        << R.WindowSeconds << "s" << std::setw(9) << R.Good << std::setw(9)
        << R.Total << std::setw(11) << R.Objective << std::setw(8) << std::fixed
        << std::setprecision(2) << R.burn() << std::defaultfloat << "\n";
  }
  for (const HostReport &H : Hosts) {
    auto Part = H.Parts.find("status");
    if (Part == H.Parts.end() || !Part->second.is_object()) {
      Out << H.AdminAddress << ": no valid response to GET /v1/status\n";
      continue;
    }
    const json &S = Part->second;
    Out << S["host"].get<std::string>() << " (" << H.AdminAddress
        << "): version " << S["configVersion"] << ", held "
        << S["requests"]["held"] << ", completed " << S["requests"]["completed"]
        << ", failed " << S["requests"]["failed"] << ", not run "
        << S["requests"]["notRun"] << ", may have run "
        << S["requests"]["mayHaveRun"] << ", store calls "
        << S["store"]["calls"] << "\n";
  }
  return Out.str();
}

static std::string escapeHtml(const std::string &Text) {
  std::string Out;
  for (char C : Text) {
    switch (C) {
    case '<':
      Out += "&lt;";
      break;
    case '>':
      Out += "&gt;";
      break;
    case '&':
      Out += "&amp;";
      break;
    case '"':
      Out += "&quot;";
      break;
    default:
      Out += C;
    }
  }
  return Out;
}

// Returns an SVG with one horizontal bar per series. The dashed line marks a
// burn of 1, where the objective is just met.
static std::string burnPlot(const std::vector<BurnRow> &Rows,
                            int64_t WindowSeconds) {
  constexpr int RowHeight = 24;
  constexpr int Left = 240;
  constexpr int Width = 420;
  double MaxBurn = 2;
  int Count = 0;
  for (const BurnRow &R : Rows) {
    if (R.WindowSeconds == WindowSeconds) {
      MaxBurn = std::max(MaxBurn, R.burn());
      ++Count;
    }
  }
  std::stringstream Out;
  Out << "<svg width=\"" << Left + Width + 80 << "\" height=\""
      << Count * RowHeight + 10 << "\" role=\"img\">";
  int Y = 4;
  for (const BurnRow &R : Rows) {
    if (R.WindowSeconds != WindowSeconds) {
      continue;
    }
    double Length = R.burn() / MaxBurn * Width;
    const char *Color = R.burn() > 1 ? "#b3261e" : "#2e7d32";
    Out << "<text x=\"" << Left - 8 << "\" y=\"" << Y + 15
        << "\" text-anchor=\"end\">" << escapeHtml(R.Series) << "</text>"
        << "<rect x=\"" << Left << "\" y=\"" << Y << "\" height=\""
        << RowHeight - 8 << "\" width=\"" << std::max(Length, 1.0)
        << "\" fill=\"" << Color << "\"/><text x=\""
        << Left + static_cast<int>(Length) + 6 << "\" y=\"" << Y + 14 << "\">"
        << std::fixed << std::setprecision(2) << R.burn() << "</text>";
    Y += RowHeight;
  }
  int ObjectiveX = Left + static_cast<int>(Width / MaxBurn);
  Out << "<line x1=\"" << ObjectiveX << "\" x2=\"" << ObjectiveX
      << "\" y1=\"0\" y2=\"" << Y
      << "\" stroke=\"#555\" stroke-dasharray=\"4 3\"/></svg>";
  return Out.str();
}

static std::string targetTable(const std::vector<HostReport> &Hosts) {
  std::stringstream Out;
  Out << "<table><tr><th>target</th><th>in flight</th><th>limit</th>"
         "<th>ms per token</th><th>state</th></tr>";
  for (const HostReport &H : Hosts) {
    auto Part = H.Parts.find("targets");
    if (Part == H.Parts.end() || !Part->second.is_object()) {
      continue;
    }
    for (const json &T : Part->second["targets"]) {
      std::string State = T["ejected"].get<bool>()   ? "ejected"
                          : T["leaving"].get<bool>() ? "leaving"
                                                     : "in use";
      Out << "<tr><td>" << escapeHtml(T["name"]) << "</td><td>" << T["inFlight"]
          << "</td><td>" << T["limit"] << "</td><td>" << std::fixed
          << std::setprecision(1) << T["decodeUs"].get<double>() / 1000
          << "</td><td>" << State << "</td></tr>";
    }
  }
  Out << "</table>";
  return Out.str();
}

std::string reportHtml(const std::vector<HostReport> &Hosts) {
  std::vector<BurnRow> Rows = sumBurns(Hosts);
  std::stringstream Out;
  Out << "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">"
         "<title>Service-level burn</title><style>body{font:15px sans-serif;"
         "margin:2em}svg text{font:13px sans-serif}table{border-collapse:"
         "collapse}td,th{padding:3px 10px;border-bottom:1px solid #ddd;"
         "text-align:left}pre{background:#f4f4f4;padding:1em}</style>"
         "<h1>Service-level burn</h1><p>Above 1.00 a series misses its "
         "objective.</p>";
  for (int64_t Window : {300, 3600}) {
    Out << "<h2>Last " << Window / 60 << " minutes</h2>"
        << burnPlot(Rows, Window);
  }
  Out << "<h2>Targets</h2>" << targetTable(Hosts) << "<h2>Figures</h2><pre>"
      << escapeHtml(reportText(Hosts)) << "</pre></html>\n";
  return Out.str();
}

} // namespace shallotlatch
