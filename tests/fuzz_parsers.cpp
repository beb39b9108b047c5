// One fuzz entry point for every parser of outside input. libFuzzer drives it
// by coverage (cmake -DSHALLOTLATCH_FUZZ=ON, clang). Without libFuzzer,
// parse_corpus.cpp drives it with the committed corpus and seeded mutations.
#include "caller_request_p.h"
#include "fleet_fake.h"
#include "key_bucket_p.h"
#include "membership_p.h"
#include "peer_codec_p.h"
#include "shallotlatch/settings.h"
#include "tunnel_codec_p.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
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

// What is read of a tunnel's frames can be written again and reads the same.
static void parseTunnelInput(const std::string &Text) {
  std::optional<TunnelRequest> Request = decodeTunnelRequest(Text);
  if (Request) {
    std::optional<TunnelRequest> Again = decodeTunnelRequest(
        encodeTunnelRequest(*Request).substr(FrameHeadBytes));
    if (!Again || Again->From != Request->From ||
        Again->Instance != Request->Instance ||
        Again->Identity != Request->Identity) {
      std::abort();
    }
  }
  std::optional<TunnelAnswer> Answer = decodeTunnelAnswer(Text);
  if (Answer && decodeTunnelAnswer(encodeTunnelAnswer(*Answer).substr(
                    FrameHeadBytes)) != Answer) {
    std::abort();
  }
  if (Text.size() >= FrameHeadBytes) {
    std::optional<FrameHead> Head =
        decodeFrameHead(std::string_view(Text).substr(0, FrameHeadBytes));
    const size_t *Length = Head ? std::get_if<size_t>(&*Head) : nullptr;
    if (Length != nullptr && (*Length == 0 || *Length > MaxTunnelFrameBytes)) {
      std::abort();
    }
  }
}

// For any input, a parser returns or throws its own error type. Any other
// exception ends the process and so fails the test.
static void parseInput(uint8_t ParserNumber, const std::string &Text) {
  try {
    switch (ParserNumber % 7) {
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
    case 5:
      parseCallerInput(Text);
      return;
    default:
      parseTunnelInput(Text);
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
