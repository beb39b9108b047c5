#include "record_codec_p.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <map>
#include <stdexcept>

namespace shallotlatch {

using nlohmann::json;

static constexpr size_t StreamBytes = 4;
static constexpr const char *StreamsField = "streams";
static constexpr const char *ServicesField = "services";
static constexpr const char *VersionsField = "versions";
static constexpr const char *CompleteField = "complete";
static constexpr const char *BaseField = "base";
static constexpr const char *EraField = "era";
static constexpr const char *RenewalField = "renewal";

static std::string encodeBase64(const std::string &Bytes) {
  std::string Text(4 * ((Bytes.size() + 2) / 3) + 1, '\0');
  int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(&Text[0]),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Text.resize(static_cast<size_t>(Length));
  return Text;
}

// EVP_DecodeBlock counts the padding as bytes.
static std::string decodeBase64(const std::string &Text) {
  std::string Bytes(3 * (Text.size() / 4) + 1, '\0');
  int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(&Bytes[0]),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Length < 0) {
    throw std::runtime_error("the streams are not base64");
  }
  size_t Padding =
      Text.size() - std::min(Text.size(), Text.find_last_not_of('=') + 1);
  Bytes.resize(static_cast<size_t>(Length) - Padding);
  return Bytes;
}

static std::string encodeId(uint32_t Value) { return std::to_string(Value); }

static uint32_t decodeId(const std::string &Text) {
  size_t Used = 0;
  unsigned long Value = std::stoul(Text, &Used);
  if (Used != Text.size() || Value == 0 || Value > UINT32_MAX) {
    throw std::runtime_error("\"" + Text.substr(0, 20) + "\" is no id");
  }
  return static_cast<uint32_t>(Value);
}

std::string encodeStreamRecord(const std::vector<StreamNote> &Streams) {
  std::map<SoftwareId, std::string> Packed;
  for (const StreamNote &Note : Streams) {
    std::string &Bytes = Packed[Note.Software];
    for (size_t I = 0; I < StreamBytes; ++I) {
      Bytes += static_cast<char>(Note.Stream.Value >> (8 * I));
    }
  }
  json Out = json::object();
  for (const auto &Item : Packed) {
    Out[encodeId(Item.first.Value)] = encodeBase64(Item.second);
  }
  return json{{StreamsField, Out}}.dump();
}

std::vector<StreamNote> decodeStreamRecord(const std::string &Content) {
  std::vector<StreamNote> Streams;
  json Record = json::parse(Content);
  for (const auto &Item : Record.at(StreamsField).items()) {
    SoftwareId Software{decodeId(Item.key())};
    std::string Bytes = decodeBase64(Item.value().get<std::string>());
    if (Bytes.size() % StreamBytes != 0) {
      throw std::runtime_error("the streams are cut off");
    }
    for (size_t At = 0; At < Bytes.size(); At += StreamBytes) {
      uint32_t Value = 0;
      for (size_t I = 0; I < StreamBytes; ++I) {
        Value |= static_cast<uint32_t>(static_cast<uint8_t>(Bytes[At + I]))
                 << (8 * I);
      }
      Streams.push_back({StreamId{Value}, Software});
    }
  }
  return Streams;
}

static json servicesOf(const ServiceVersions &Versions) {
  json Services = json::object();
  for (const auto &Item : Versions) {
    json Ids = json::array();
    for (SoftwareId Software : Item.second.Versions) {
      Ids.push_back(encodeId(Software.Value));
    }
    json &Out = Services[encodeId(Item.first.Value)];
    Out = {{VersionsField, Ids}, {CompleteField, Item.second.IsComplete}};
    if (Item.second.Base.isValid()) {
      Out[BaseField] = encodeId(Item.second.Base.Value);
    }
    if (Item.second.Era) {
      Out[EraField] = *Item.second.Era;
    }
  }
  return Services;
}

std::string encodeVersions(const ServiceVersions &Versions) {
  return json{{ServicesField, servicesOf(Versions)}}.dump();
}

std::string encodeAnnouncement(const ServiceVersions &Versions,
                               uint64_t Renewal) {
  return json{{ServicesField, servicesOf(Versions)}, {RenewalField, Renewal}}
      .dump();
}

ServiceVersions decodeVersions(const std::string &Content) {
  ServiceVersions Versions;
  json Record = json::parse(Content);
  for (const auto &Item : Record.at(ServicesField).items()) {
    VersionSet &Set = Versions[ServiceId{decodeId(Item.key())}];
    for (const json &Software : Item.value().at(VersionsField)) {
      Set.Versions.insert(SoftwareId{decodeId(Software.get<std::string>())});
    }
    Set.IsComplete = Item.value().at(CompleteField).get<bool>();
    if (Item.value().contains(BaseField)) {
      Set.Base =
          SoftwareId{decodeId(Item.value().at(BaseField).get<std::string>())};
    }
    if (Item.value().contains(EraField)) {
      Set.Era = Item.value().at(EraField).get<uint64_t>();
    }
  }
  return Versions;
}

} // namespace shallotlatch
