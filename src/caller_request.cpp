#include "caller_request_p.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace shallotlatch {

using nlohmann::json;

static const std::string CompletionsPath = "/v1/completions";
static const std::string ServicesPrefix = "/v1/services/";
static constexpr size_t MaxKeyBytes = 256;
static constexpr uint32_t MaxDeadlineMs = 86400000;

static std::string headerOf(const RawRequest &Raw, const char *Name) {
  auto It = Raw.Headers.find(Name);
  return It == Raw.Headers.end() ? std::string() : It->second;
}

static const CustomerSpec &authenticateCustomer(const Config &C,
                                                const RawRequest &Raw) {
  static const std::string Scheme = "Bearer ";
  std::string Value = headerOf(Raw, "authorization");
  if (Value.compare(0, Scheme.size(), Scheme) != 0) {
    throw CallerError(401, "Authorization", "expected a bearer key");
  }
  const CustomerSpec *Customer =
      C.customerByBearer(Value.substr(Scheme.size()));
  if (Customer == nullptr) {
    throw CallerError(401, "Authorization", "no customer has this key");
  }
  return *Customer;
}

static const KindSpec &findKind(const Config &C, const std::string &Name,
                                TargetType Wanted) {
  const KindSpec *Kind = C.kind(kindId(Name));
  if (Kind == nullptr || Kind->Name != Name) {
    throw CallerError(404, "kind", "kind \"" + Name + "\" does not exist");
  }
  for (const TargetSpec &T : C.Targets) {
    if (T.Group == Kind->Group && T.Type != Wanted) {
      throw CallerError(400, "kind",
                        "kind \"" + Name + "\" is served under " +
                            (T.Type == TargetType::Service
                                 ? ServicesPrefix + Name
                                 : CompletionsPath));
    }
  }
  return *Kind;
}

static Duration parseDeadline(const RawRequest &Raw, const KindSpec &Kind) {
  std::string Text = headerOf(Raw, "x-deadline-ms");
  if (Text.empty()) {
    return Kind.Deadline;
  }
  bool Digits = Text.size() <= 8 &&
                Text.find_first_not_of("0123456789") == std::string::npos;
  uint32_t Ms = Digits ? static_cast<uint32_t>(std::stoul(Text)) : 0;
  if (Ms == 0 || Ms > MaxDeadlineMs) {
    throw CallerError(400, "X-Deadline-Ms",
                      "expected whole milliseconds from 1 to 86400000, found "
                      "\"" +
                          Text + "\"");
  }
  return millis(Ms);
}

static void readIdempotencyKey(const RawRequest &Raw, const KindSpec &Kind,
                               CallerRequest &Out) {
  Out.KeyText = headerOf(Raw, "idempotency-key");
  if (Out.KeyText.empty()) {
    if (Kind.RequireKey) {
      throw CallerError(400, "Idempotency-Key",
                        "kind \"" + Kind.Name + "\" requires a key");
    }
    return;
  }
  if (Out.KeyText.size() > MaxKeyBytes) {
    throw CallerError(400, "Idempotency-Key", "is longer than 256 bytes");
  }
  if (Kind.Idempotent) {
    return;
  }
  Out.Sub.HasKey = true;
  Out.Sub.Key = makeKeyName(Out.KeyText, Out.Sub.Customer, Out.Sub.Kind);
  if (Kind.DatedKeys) {
    std::optional<WallMillis> Date = uuid7Date(Out.KeyText);
    if (!Date) {
      throw CallerError(400, "Idempotency-Key",
                        "expected a UUIDv7 (RFC 9562), found \"" + Out.KeyText +
                            "\"");
    }
    Out.Sub.Key.Date = *Date;
  }
}

static void fillCommonFields(const Config &C, const RawRequest &Raw,
                             const KindSpec &Kind, CallerRequest &Out) {
  const CustomerSpec &Customer = authenticateCustomer(C, Raw);
  Out.CustomerName = Customer.Name;
  Out.KindName = Kind.Name;
  Out.Idempotent = Kind.Idempotent;
  Out.Sub.Customer = customerId(Customer.Name);
  Out.Sub.Kind = kindId(Kind.Name);
  Out.Sub.Deadline = parseDeadline(Raw, Kind);
  Out.Sub.BodyHash = hash64(Raw.Body, Out.Sub.Kind.Value);
  Out.Sub.Bytes = static_cast<uint32_t>(Raw.Body.size());
  readIdempotencyKey(Raw, Kind, Out);
}

static uint32_t parseMaxTokens(const json &Root, const KindSpec &Kind) {
  auto It = Root.find("max_tokens");
  if (It == Root.end()) {
    return Kind.MaxOutputTokens;
  }
  bool Fits = It->is_number_unsigned() && It->get<uint64_t>() >= 1 &&
              It->get<uint64_t>() <= Kind.MaxOutputTokens;
  if (!Fits) {
    throw CallerError(400, "max_tokens",
                      "expected a whole number from 1 to " +
                          std::to_string(Kind.MaxOutputTokens));
  }
  return It->get<uint32_t>();
}

static std::string requiredString(const json &Root, const char *Field) {
  auto It = Root.find(Field);
  if (It == Root.end() || !It->is_string() ||
      It->get_ref<const std::string &>().empty()) {
    throw CallerError(400, Field, "expected a string that is not empty");
  }
  return It->get<std::string>();
}

static CallerRequest parseCompletion(const Config &C, const RawRequest &Raw) {
  json Root = json::parse(Raw.Body, nullptr, false);
  if (!Root.is_object()) {
    throw CallerError(400, "", "expected a JSON object");
  }
  const KindSpec &Kind =
      findKind(C, requiredString(Root, "kind"), TargetType::Engine);
  CallerRequest Out;
  fillCommonFields(C, Raw, Kind, Out);
  std::string Prompt = requiredString(Root, "prompt");
  uint32_t MaxTokens = parseMaxTokens(Root, Kind);
  auto Stream = Root.find("stream");
  if (Stream != Root.end() && !Stream->is_boolean()) {
    throw CallerError(400, "stream", "expected true or false");
  }
  Out.Stream = Stream != Root.end() && Stream->get<bool>();
  Out.TargetPath = CompletionsPath;
  Out.TargetBody = json{
      {"prompt", Prompt},
      {"max_tokens", MaxTokens},
      {"stream", true}}.dump(-1, ' ', false, json::error_handler_t::replace);
  Out.Sub.PromptTokens = static_cast<uint32_t>(
      Prompt.size() / SHALLOTLATCH_CONFIG_BYTES_PER_TOKEN + 1);
  Out.Sub.OutputTokens = MaxTokens;
  Out.Sub.Prefix = hashPrefixes(Prompt);
  Out.Sub.ContentFingerprint =
      Fingerprint{hash64(Prompt, Out.Sub.Kind.Value) | 1};
  return Out;
}

static CallerRequest parseService(const Config &C, const RawRequest &Raw) {
  std::string Name = Raw.Path.substr(ServicesPrefix.size());
  const KindSpec &Kind = findKind(C, Name, TargetType::Service);
  CallerRequest Out;
  fillCommonFields(C, Raw, Kind, Out);
  Out.Service = true;
  Out.TargetPath = "/run/" + Name;
  Out.TargetBody = Raw.Body;
  Out.Sub.ContentFingerprint =
      Fingerprint{hash64(Raw.Body, Out.Sub.Kind.Value) | 1};
  return Out;
}

CallerRequest parseCallerRequest(const Config &C, const RawRequest &Raw) {
  // Whoever has no key learns nothing else.
  authenticateCustomer(C, Raw);
  if (Raw.Path == CompletionsPath) {
    return parseCompletion(C, Raw);
  }
  if (Raw.Path.compare(0, ServicesPrefix.size(), ServicesPrefix) == 0) {
    return parseService(C, Raw);
  }
  throw CallerError(404, "", "no such path: " + Raw.Path);
}

} // namespace shallotlatch
