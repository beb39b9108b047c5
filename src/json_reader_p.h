/// \file
/// Reader that reads a JSON object field by field and collects every mistake
/// with its path.
#pragma once

#include "shallotlatch/types.h"

#include <nlohmann/json.hpp>

#include <set>
#include <string>
#include <vector>

namespace shallotlatch {

/// Reads the fields of one JSON object. A field that is absent or has a mistake
/// leaves its value unchanged. A field that is never requested is a mistake.
class ObjectReader {
public:
  ObjectReader(const nlohmann::json &Source, std::string Path,
               std::vector<std::string> &Mistakes);

  /// Reads a non-empty string. An absent field is a mistake if \p Required.
  void text(const char *Field, std::string &Value, bool Required = true);
  void boolean(const char *Field, bool &Value);
  void number(const char *Field, double &Value, double Min, double Max);
  void wholeNumber(const char *Field, uint32_t &Value, uint32_t Min,
                   uint32_t Max);
  /// Reads a duration that is given in whole milliseconds.
  void duration(const char *Field, Duration &Value, int64_t MinMs,
                int64_t MaxMs);
  /// Returns the array in the field. If it is absent or no array, adds a
  /// mistake and returns an empty array.
  const nlohmann::json &array(const char *Field);
  /// Returns the array in the field, or an empty array if the field is absent.
  const nlohmann::json &optionalArray(const char *Field);
  /// Returns the value of the field, or an empty object if the field is absent.
  /// The ObjectReader of the result reports a value that is no object.
  const nlohmann::json &object(const char *Field);
  /// Adds a mistake about \p Field.
  void addMistake(const char *Field, const std::string &Message);
  /// Adds a mistake for each field of the object that was never requested.
  void rejectUnknownFields();
  const std::string &path() const { return this->Path; }

private:
  const nlohmann::json *find(const char *Field, bool Required);

  const nlohmann::json &Source;
  std::string Path;
  std::vector<std::string> &Mistakes;
  std::set<std::string> RequestedFields;
};

} // namespace shallotlatch
