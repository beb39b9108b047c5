#include "shallotlatch/settings.h"

#include "settings_reader_p.h"
#include "shallotlatch/model.h"

#include <arpa/inet.h>

#include <stdexcept>

namespace shallotlatch {

Address parseAddress(const std::string &Text) {
  size_t Colon = Text.rfind(':');
  Address A;
  in_addr Ignored;
  if (Colon != std::string::npos) {
    A.Ip = Text.substr(0, Colon);
    std::string Port = Text.substr(Colon + 1);
    bool Digits = !Port.empty() && Port.size() <= 5 &&
                  Port.find_first_not_of("0123456789") == std::string::npos;
    int Number = Digits ? std::stoi(Port) : 0;
    if (Number > 0 && Number <= 65535 &&
        inet_pton(AF_INET, A.Ip.c_str(), &Ignored) == 1) {
      A.Port = static_cast<uint16_t>(Number);
      return A;
    }
  }
  throw std::invalid_argument("expected IP:port, found \"" + Text + "\"");
}

void readAddress(ObjectReader &R, const char *Field, Address &Value) {
  std::string Text;
  R.text(Field, Text);
  if (Text.empty()) {
    return;
  }
  try {
    Value = parseAddress(Text);
  } catch (const std::invalid_argument &E) {
    R.addMistake(Field, E.what());
  }
}

static void readSeeds(ObjectReader &R, std::vector<Address> &Value) {
  for (const nlohmann::json &Item : R.optionalArray("seeds")) {
    try {
      Value.push_back(parseAddress(Item.is_string() ? Item.get<std::string>()
                                                    : Item.dump()));
    } catch (const std::invalid_argument &E) {
      R.addMistake("seeds", E.what());
    }
  }
}

static void readKey(ObjectReader &R, const char *Field, std::string &Value) {
  constexpr size_t MinKeyCharacters = 16;
  R.text(Field, Value);
  if (!Value.empty() && Value.size() < MinKeyCharacters) {
    R.addMistake(Field, "expected at least 16 characters");
  }
}

Settings parseSettings(const std::string &Json) {
  nlohmann::json Root = nlohmann::json::parse(Json, nullptr, false);
  if (Root.is_discarded()) {
    throw ConfigError({"/: not valid JSON"});
  }
  std::vector<std::string> Mistakes;
  ObjectReader R(Root, "", Mistakes);
  Settings S;
  R.text("host", S.Host);
  R.text("region", S.Region);
  R.text("domain", S.Domain);
  readAddress(R, "caller", S.Caller);
  readAddress(R, "admin", S.Admin);
  readAddress(R, "peer", S.Peer);
  readAddress(R, "store", S.Store);
  readSeeds(R, S.Seeds);
  readKey(R, "peerKey", S.PeerKey);
  readKey(R, "adminKey", S.AdminKey);
  R.wholeNumber("maxHeaderBytes", S.MaxHeaderBytes, 1024, 1 << 20);
  R.wholeNumber("maxBodyBytes", S.MaxBodyBytes, 1024, 64 << 20);
  R.wholeNumber("maxConnections", S.MaxConnections, 1, 100000);
  R.duration("idleTimeoutMs", S.IdleTimeout, 1000, 3600000);
  R.duration("drainTimeoutMs", S.DrainTimeout, 1000, 3600000);
  R.number("storeCallsPerSecond", S.StoreCallsPerSecond, 0.1, 1000);
  R.rejectUnknownFields();
  if (!Mistakes.empty()) {
    throw ConfigError(Mistakes);
  }
  return S;
}

} // namespace shallotlatch
