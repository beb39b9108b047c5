// One fuzz entry point for every parser of outside input. libFuzzer drives it
// by coverage (cmake -DSHALLOTLATCH_FUZZ=ON, clang). Without libFuzzer,
// parse_corpus.cpp drives it with the committed corpus and seeded mutations.
#include "caller_request_p.h"
#include "fleet_fake.h"
#include "key_bucket_p.h"
#include "membership_p.h"
#include "peer_codec_p.h"
#include "shallotlatch/settings.h"

#include <cstddef>
#include <cstdint>
#include <string>

using namespace shallotlatch;

static void parseCallerInput(const std::string &Text) {
  static const std::shared_ptr<const Config> TestConfig =
      parseConfig(testConfig());
  RawRequest Raw;
  size_t Line = Text.find('\n');
  Raw.Path = Text.substr(0, Line);
  Raw.Body = Line == std::string::npos ? "" : Text.substr(Line + 1);
  Raw.Headers["authorization"] = "Bearer key-of-small";
  Raw.Headers["idempotency-key"] = Raw.Body.substr(0, 36);
  Raw.Headers["x-deadline-ms"] = Raw.Body.substr(0, 5);
  parseCallerRequest(*TestConfig, Raw);
}

// For any input, a parser returns or throws its own error type. Any other
// exception ends the process and so fails the test.
static void parseInput(uint8_t ParserNumber, const std::string &Text) {
  try {
    switch (ParserNumber % 6) {
    case 0:
      parseConfig(Text);
      return;
    case 1:
      parseSettings(Text);
      return;
    case 2:
      parseHosts(Text);
      return;
    case 3:
      parseKeyBucket(Text);
      return;
    case 4:
      decodeFrame(Text);
      return;
    default:
      parseCallerInput(Text);
    }
  } catch (const ConfigError &) {
  } catch (const CodecError &) {
  } catch (const CallerError &) {
  } catch (const std::runtime_error &E) {
    // The parser of claim objects throws std::runtime_error with a text that
    // contains "claim object".
    if (std::string(E.what()).find("claim object") == std::string::npos) {
      throw;
    }
  }
}

// libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size) {
  if (Size > 0) {
    parseInput(Data[0],
               std::string(reinterpret_cast<const char *>(Data) + 1, Size - 1));
  }
  return 0;
}
