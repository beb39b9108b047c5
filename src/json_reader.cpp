#include "json_reader_p.h"

namespace shallotlatch {

static const nlohmann::json EmptyArray = nlohmann::json::array();
static const nlohmann::json EmptyObject = nlohmann::json::object();

ObjectReader::ObjectReader(const nlohmann::json &Source, std::string Path,
                           std::vector<std::string> &Mistakes)
    : Source(Source.is_object() ? Source : EmptyObject), Path(std::move(Path)),
      Mistakes(Mistakes) {
  if (!Source.is_object()) {
    this->Mistakes.push_back(this->Path + ": expected an object");
  }
}

const nlohmann::json *ObjectReader::find(const char *Field, bool Required) {
  this->RequestedFields.insert(Field);
  auto It = this->Source.find(Field);
  if (It != this->Source.end()) {
    return &*It;
  }
  if (Required) {
    this->addMistake(Field, "is missing");
  }
  return nullptr;
}

void ObjectReader::addMistake(const char *Field, const std::string &Expected) {
  this->Mistakes.push_back(this->Path + "/" + Field + ": " + Expected);
}

void ObjectReader::text(const char *Field, std::string &Value, bool Required) {
  const nlohmann::json *Found = this->find(Field, Required);
  if (Found == nullptr) {
    return;
  }
  if (!Found->is_string() || Found->get_ref<const std::string &>().empty()) {
    this->addMistake(Field, "expected a string that is not empty");
    return;
  }
  Value = Found->get<std::string>();
}

void ObjectReader::boolean(const char *Field, bool &Value) {
  const nlohmann::json *Found = this->find(Field, false);
  if (Found == nullptr) {
    return;
  }
  if (!Found->is_boolean()) {
    this->addMistake(Field, "expected true or false");
    return;
  }
  Value = Found->get<bool>();
}

static std::string formatNumber(double Value) {
  return nlohmann::json(Value).dump();
}

void ObjectReader::number(const char *Field, double &Value, double Min,
                          double Max) {
  const nlohmann::json *Found = this->find(Field, false);
  if (Found == nullptr) {
    return;
  }
  double Read = Found->is_number() ? Found->get<double>() : Min - 1;
  if (!(Read >= Min && Read <= Max)) {
    this->addMistake(Field, "expected a number from " + formatNumber(Min) +
                                " to " + formatNumber(Max));
    return;
  }
  Value = Read;
}

void ObjectReader::wholeNumber(const char *Field, uint32_t &Value, uint32_t Min,
                               uint32_t Max) {
  const nlohmann::json *Found = this->find(Field, false);
  if (Found == nullptr) {
    return;
  }
  bool Fits = Found->is_number_unsigned() && Found->get<uint64_t>() >= Min &&
              Found->get<uint64_t>() <= Max;
  if (!Fits) {
    this->addMistake(Field, "expected a whole number from " +
                                std::to_string(Min) + " to " +
                                std::to_string(Max));
    return;
  }
  Value = Found->get<uint32_t>();
}

void ObjectReader::duration(const char *Field, Duration &Value, int64_t MinMs,
                            int64_t MaxMs) {
  uint32_t Ms = static_cast<uint32_t>(toMillis(Value));
  this->wholeNumber(Field, Ms, static_cast<uint32_t>(MinMs),
                    static_cast<uint32_t>(MaxMs));
  Value = millis(Ms);
}

const nlohmann::json &ObjectReader::array(const char *Field) {
  const nlohmann::json *Found = this->find(Field, true);
  if (Found == nullptr) {
    return EmptyArray;
  }
  if (!Found->is_array()) {
    this->addMistake(Field, "expected an array");
    return EmptyArray;
  }
  return *Found;
}

const nlohmann::json &ObjectReader::optionalArray(const char *Field) {
  bool Present = this->Source.count(Field) != 0;
  return Present ? this->array(Field)
                 : (this->RequestedFields.insert(Field), EmptyArray);
}

const nlohmann::json &ObjectReader::object(const char *Field) {
  const nlohmann::json *Found = this->find(Field, false);
  return Found == nullptr ? EmptyObject : *Found;
}

void ObjectReader::rejectUnknownFields() {
  for (auto It = this->Source.begin(); It != this->Source.end(); ++It) {
    if (this->RequestedFields.count(It.key()) == 0) {
      this->Mistakes.push_back(this->Path + "/" + It.key() + ": no such field");
    }
  }
}

} // namespace shallotlatch
