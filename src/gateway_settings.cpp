#include "shallotlatch/gateway.h"

#include "settings_reader_p.h"
#include "shallotlatch/model.h"

#include <sstream>

namespace shallotlatch {

// Time within which a settings file that is being written becomes whole, and
// the interval at which it is read again.
static constexpr Duration MaxWriteTime = seconds(1);
static constexpr Duration RereadInterval = millis(50);

static bool isJsonObject(const std::string &Text) {
  return nlohmann::json::parse(Text, nullptr, false).is_object();
}

static void readSeconds(ObjectReader &R, const char *Field, Duration &Value) {
  double Count = toSeconds(Value);
  R.number(Field, Count, 0.1, 3600);
  Value = Duration(static_cast<int64_t>(Count * 1e6));
}

static void readNames(ObjectReader &R, const char *Field,
                      std::set<std::string> &Names) {
  for (const nlohmann::json &Item : R.optionalArray(Field)) {
    if (Item.is_string()) {
      Names.insert(Item.get<std::string>());
    } else {
      R.addMistake(Field, "a name is not a string");
    }
  }
}

// Fields that a template fills in text form, since not every platform has a
// value for them. Text that is empty or a placeholder that was not filled
// counts as absent.
static constexpr const char *TemplateFields[] = {
    "drainTimeoutMs", "exposureShare", "exposureTolerance", "rollbackTimeoutMs",
    "features"};

/// Turns the text of a template's field into the value that it stands for.
static void convertTemplateFields(nlohmann::json &Root) {
  for (const char *Field : TemplateFields) {
    auto It = Root.find(Field);
    if (It == Root.end() || !It->is_string()) {
      continue;
    }
    std::string Text = It->get<std::string>();
    if (Text.empty() || Text.compare(0, 2, "{{") == 0) {
      Root.erase(It);
    } else if (std::string(Field) == "features") {
      nlohmann::json Names = nlohmann::json::array();
      std::istringstream In(Text);
      for (std::string Name; std::getline(In, Name, ',');) {
        Names.push_back(Name);
      }
      *It = Names;
    } else {
      nlohmann::json Number = nlohmann::json::parse(Text, nullptr, false);
      if (Number.is_number()) {
        *It = Number;
      }
    }
  }
}

GatewaySettings parseGatewaySettings(const std::string &Json) {
  nlohmann::json Root = nlohmann::json::parse(Json, nullptr, false);
  if (Root.is_discarded() || !Root.is_object()) {
    throw ConfigError({"/: the gateway settings are not a valid JSON object"});
  }
  convertTemplateFields(Root);
  std::vector<std::string> Mistakes;
  ObjectReader R(Root, "", Mistakes);
  GatewaySettings S;
  R.text("host", S.Host);
  R.text("failureDomain", S.Domain);
  R.text("region", S.Region);
  readAddress(R, "caller", S.Caller);
  readAddress(R, "ready", S.Ready);
  readAddress(R, "peer", S.Peer);
  readAddress(R, "store", S.Store);
  R.wholeNumber("metricsPort", S.MetricsPort, 0, 65535);
  R.duration("revocationMs", S.RevocationLimit, 100, 3600 * 1000);
  R.duration("targetHeartbeatMs", S.TargetHeartbeat, 10, 600 * 1000);
  readSeconds(R, "stopGraceSeconds", S.StopGrace);
  R.duration("drainTimeoutMs", S.DrainTimeout, 100, 3600 * 1000);
  R.number("retryRatio", S.RetryRatio, 0, 10);
  R.number("retryExtra", S.RetryExtra, 0, 1e6);
  readSeconds(R, "retryWindowSeconds", S.RetryWindow);
  readSeconds(R, "quotaWindowSeconds", S.QuotaWindow);
  R.number("quotaOverage", S.QuotaOverage, 0, 10);
  R.number("quotaTolerance", S.QuotaTolerance, 0, 1e12);
  R.number("exposureShare", S.ExposureShare, 0, 1);
  R.number("exposureTolerance", S.ExposureTolerance, 0, 1e9);
  R.duration("rollbackTimeoutMs", S.RollbackTimeout, 100, 600 * 1000);
  readNames(R, "features", S.Features);
  R.number("cores", S.Cores, 0.001, 1024);
  R.wholeNumber("memoryMb", S.MemoryMb, 32, 1U << 20);
  R.wholeNumber("descriptors", S.Descriptors, 64, 1U << 20);
  R.rejectUnknownFields();
  if (!Mistakes.empty()) {
    throw ConfigError(Mistakes);
  }
  return S;
}

GatewaySettings loadGatewaySettings(const std::function<std::string()> &Read,
                                    const std::function<void(Duration)> &Wait) {
  std::string Text = Read();
  for (Duration Waited{0}; !isJsonObject(Text) && Waited < MaxWriteTime;
       Waited += RereadInterval) {
    Wait(RereadInterval);
    Text = Read();
  }
  return parseGatewaySettings(Text);
}

} // namespace shallotlatch
