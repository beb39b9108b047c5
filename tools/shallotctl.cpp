// Command line for operators. It uses the administration API of the hosts.
#include "explain.h"
#include "http_once.h"
#include "report.h"
#include "shallotlatch/model.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace shallotlatch;
using nlohmann::json;

static constexpr int ExitBadInput = 2;
static constexpr int ExitFailed = 1;

namespace {
/// Addresses of the administration listeners and the operator's credentials.
struct AdminConnection {
  std::vector<std::string> AdminAddresses;
  std::string Key;
  std::string Operator = "unknown";
};
} // namespace

static std::string readFile(const std::string &Path) {
  std::ifstream In(Path);
  std::stringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

static HttpResult callAdmin(const AdminConnection &C,
                            const std::string &AdminAddress,
                            const std::string &Method, const std::string &Path,
                            const std::string &Body, HttpHeaders Headers) {
  HttpRequest Out;
  Out.To = parseAddress(AdminAddress);
  Out.Method = Method;
  Out.Path = Path;
  Out.Body = Body;
  Out.Headers = std::move(Headers);
  Out.Headers.emplace_back("Authorization", "Bearer " + C.Key);
  Out.Headers.emplace_back("X-Operator", C.Operator);
  return sendBlocking(Out);
}

static int printFailure(const std::string &AdminAddress, const HttpResult &R) {
  json Body = json::parse(R.Body, nullptr, false);
  if (R.Status == 0) {
    std::cerr << "shallotctl: " << AdminAddress
              << ": no HTTP response from this admin address\n";
  } else if (Body.is_object() && Body.contains("detail")) {
    std::cerr << "shallotctl: " << Body.value("title", "refused") << ": "
              << Body.value("detail", "") << "\n";
  } else {
    std::cerr << "shallotctl: " << AdminAddress << ": unexpected HTTP status "
              << R.Status << ", expected 200\n";
  }
  return ExitFailed;
}

static int checkFile(const std::string &Path) {
  try {
    std::shared_ptr<const Config> C = parseConfig(readFile(Path));
    std::cout << Path << ": valid, " << C->Customers.size() << " customers, "
              << C->Tiers.size() << " tiers, " << C->Targets.size()
              << " targets, " << C->Kinds.size() << " kinds\n";
    return 0;
  } catch (const ConfigError &E) {
    for (const std::string &Mistake : E.Mistakes) {
      std::cerr << Path << ": " << Mistake << "\n";
    }
    return ExitBadInput;
  }
}

// Replaces each list of the configuration by an object keyed by the entries'
// names, so that each difference refers to a customer, target or kind by name
// and not by index. The order of the tiers is kept as their rank.
static json indexByName(const json &Config) {
  json Result = json::object();
  for (auto It = Config.begin(); It != Config.end(); ++It) {
    if (It.key() == "meta") {
      continue;
    }
    if (!It->is_array()) {
      Result[It.key()] = *It;
      continue;
    }
    json Named = json::object();
    for (size_t I = 0; I < It->size(); ++I) {
      json Entry = (*It)[I];
      std::string Name = Entry.value("name", std::to_string(I));
      if (It.key() == "tiers") {
        Entry["rank"] = I;
      }
      Named[Name] = Entry;
    }
    Result[It.key()] = Named;
  }
  return Result;
}

static void printDifference(const json &Old, const json &New) {
  json Steps = json::diff(Old, New);
  if (Steps.empty()) {
    std::cout << "no difference\n";
  }
  for (const json &Step : Steps) {
    std::string Op = Step["op"];
    std::string Path = Step["path"];
    if (Op == "add") {
      std::cout << "+ " << Path << ": " << Step["value"].dump() << "\n";
    } else if (Op == "remove") {
      std::cout << "- " << Path << ": "
                << Old.at(json::json_pointer(Path)).dump() << "\n";
    } else {
      std::cout << "~ " << Path << ": "
                << Old.at(json::json_pointer(Path)).dump() << " -> "
                << Step["value"].dump() << "\n";
    }
  }
}

static int reviewFile(const AdminConnection &C, const std::string &Path) {
  int ExitCode = checkFile(Path);
  if (ExitCode != 0) {
    return ExitCode;
  }
  HttpResult R = callAdmin(C, C.AdminAddresses.front(), "GET", "/v1/config", "",
                           HttpHeaders());
  if (R.Status != 200) {
    return printFailure(C.AdminAddresses.front(), R);
  }
  json Old = json::parse(R.Body, nullptr, false);
  json New = json::parse(printConfig(*parseConfig(readFile(Path))));
  // Both sides are compared in canonical form, so that an omitted default is no
  // difference.
  if (Old.is_object() && !Old.empty()) {
    Old = json::parse(printConfig(*parseConfig(R.Body)));
  }
  printDifference(indexByName(Old), indexByName(New));
  if (R.Headers.count("x-from-copy") != 0) {
    std::cout << "the platform's configuration service does not respond: "
                 "compared with the copy on the host\n";
  }
  std::cout << "reviewed against version " << R.Headers["x-version"]
            << "; apply with: shallotctl apply " << Path << " --version "
            << R.Headers["x-version"] << "\n";
  return 0;
}

static int applyFile(const AdminConnection &C, const std::string &Path,
                     uint64_t ReviewedVersion) {
  int ExitCode = checkFile(Path);
  if (ExitCode != 0) {
    return ExitCode;
  }
  HttpResult R = callAdmin(C, C.AdminAddresses.front(), "PUT", "/v1/config",
                           readFile(Path),
                           {{"If-Match", std::to_string(ReviewedVersion)}});
  if (R.Status != 200) {
    return printFailure(C.AdminAddresses.front(), R);
  }
  std::cout << "applied as version " << json::parse(R.Body)["version"] << "\n";
  return 0;
}

static int printFromAllHosts(const AdminConnection &C,
                             const std::string &Path) {
  for (const std::string &AdminAddress : C.AdminAddresses) {
    HttpResult R = callAdmin(C, AdminAddress, "GET", Path, "", HttpHeaders());
    if (R.Status != 200) {
      return printFailure(AdminAddress, R);
    }
    std::cout << R.Body;
  }
  return 0;
}

static int sendToAllHosts(const AdminConnection &C, const std::string &Method,
                          const std::string &Path) {
  for (const std::string &AdminAddress : C.AdminAddresses) {
    HttpResult R = callAdmin(C, AdminAddress, Method, Path, "", HttpHeaders());
    if (R.Status != 200) {
      return printFailure(AdminAddress, R);
    }
    std::cout << R.Body;
  }
  return 0;
}

static int report(const AdminConnection &C, const std::string &HtmlPath) {
  std::vector<HostReport> Hosts;
  for (const std::string &AdminAddress : C.AdminAddresses) {
    HostReport H;
    H.AdminAddress = AdminAddress;
    for (const char *Part : {"status", "burn", "targets", "pools"}) {
      HttpResult R = callAdmin(C, AdminAddress, "GET",
                               std::string("/v1/") + Part, "", HttpHeaders());
      H.Parts[Part] = R.Status == 200 ? json::parse(R.Body) : json();
    }
    Hosts.push_back(H);
  }
  std::cout << reportText(Hosts);
  if (!HtmlPath.empty()) {
    std::ofstream(HtmlPath) << reportHtml(Hosts);
    std::cout << "report written to " << HtmlPath << "\n";
  }
  return 0;
}

static int explain(const std::string &RequestId,
                   const std::vector<std::string> &Logs) {
  std::string Text;
  for (const std::string &Path : Logs) {
    std::ifstream In(Path);
    Text += printLogEntries(explainRequest(In, RequestId));
  }
  std::cout << (Text.empty() ? "no log line has request id " + RequestId + "\n"
                             : Text);
  return Text.empty() ? ExitBadInput : 0;
}

int main(int Argc, char **Argv) {
  signal(SIGPIPE, SIG_IGN);
  CLI::App App("Checks, reviews and applies configurations, and shows what "
               "the hosts do.");
  App.require_subcommand(1);
  AdminConnection C;
  C.AdminAddresses = {"127.0.0.1:7500"};
  App.add_option("--admin", C.AdminAddresses,
                 "Admin addresses of the hosts, IP:port")
      ->delimiter(',')
      ->capture_default_str();
  App.add_option("--key", C.Key, "Admin key")->envname("SHALLOT_ADMIN_KEY");
  App.add_option("--as", C.Operator,
                 "Name of the operator, recorded with each change")
      ->envname("USER");
  std::string File;
  uint64_t ReviewedVersion = 0;
  CLI::App *Check = App.add_subcommand("check", "Check a configuration file");
  CLI::App *Review = App.add_subcommand(
      "review", "Show what a configuration file would change");
  CLI::App *Apply =
      App.add_subcommand("apply", "Apply a reviewed configuration file");
  for (CLI::App *Command : {Check, Review, Apply}) {
    Command->add_option("file", File, "Configuration file, JSON")
        ->required()
        ->check(CLI::ExistingFile);
  }
  Apply
      ->add_option("--version", ReviewedVersion,
                   "The version that was reviewed")
      ->required();
  CLI::App *Status =
      App.add_subcommand("status", "Show the state of the hosts");
  CLI::App *HostsCommand = App.add_subcommand(
      "hosts", "Show the hosts and their state as each queried host sees them");
  CLI::App *Targets =
      App.add_subcommand("targets", "Show the targets of owned pools");
  CLI::App *Pools = App.add_subcommand("pools", "Show owned pools");
  CLI::App *Requests =
      App.add_subcommand("requests", "Show the requests that the hosts hold");
  CLI::App *Quarantine = App.add_subcommand(
      "quarantine", "Show or clear request contents that crashed targets");
  std::string ClearFingerprint;
  Quarantine->add_option("--clear", ClearFingerprint,
                         "Fingerprint of the content to clear");
  CLI::App *Drain = App.add_subcommand("drain", "Stop hosts gracefully");
  std::string HtmlPath;
  CLI::App *Report = App.add_subcommand(
      "report", "Show the error budget burn of the service levels");
  Report->add_option("--html", HtmlPath,
                     "Also write the report as an HTML page to this file");
  CLI::App *Explain = App.add_subcommand(
      "explain", "Show the log entries of one request from the gateways' logs");
  std::string RequestId;
  std::vector<std::string> Logs;
  Explain->add_option("request-id", RequestId, "Id of the request")->required();
  Explain->add_option("log", Logs, "Log files")
      ->required()
      ->check(CLI::ExistingFile);
  CLI11_PARSE(App, Argc, Argv);
  try {
    if (Explain->parsed()) {
      return explain(RequestId, Logs);
    }
    if (Check->parsed()) {
      return checkFile(File);
    }
    if (Review->parsed()) {
      return reviewFile(C, File);
    }
    if (Apply->parsed()) {
      return applyFile(C, File, ReviewedVersion);
    }
    if (Drain->parsed()) {
      return sendToAllHosts(C, "POST", "/v1/drain");
    }
    if (Quarantine->parsed() && !ClearFingerprint.empty()) {
      return sendToAllHosts(C, "DELETE", "/v1/quarantine/" + ClearFingerprint);
    }
    if (Report->parsed()) {
      return report(C, HtmlPath);
    }
    for (CLI::App *Show :
         {Status, HostsCommand, Targets, Pools, Requests, Quarantine}) {
      if (Show->parsed()) {
        return printFromAllHosts(C, "/v1/" + Show->get_name());
      }
    }
  } catch (const std::exception &E) {
    std::cerr << "shallotctl: " << E.what() << "\n";
    return ExitBadInput;
  }
  return 0;
}
