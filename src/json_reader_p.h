/// \file
/// Reads a JSON object field by field and collects every mistake with its path.
#pragma once

#include "shallotlatch/types.h"

#include <nlohmann/json.hpp>

#include <set>
#include <string>
#include <vector>

namespace shallotlatch {

/// Reader of one JSON object. Fields that nobody asked for are mistakes.
class ObjectReader {
public:
  ObjectReader(const nlohmann::json &Source, std::string Path,
               std::vector<std::string> &Mistakes);

  /// Required, or kept as it is when \p Required is false and it is absent.
  void text(const char *Field, std::string &Value, bool Required = true);
  void boolean(const char *Field, bool &Value);
  void number(const char *Field, double &Value, double Min, double Max);
  void wholeNumber(const char *Field, uint32_t &Value, uint32_t Min,
                   uint32_t Max);
  /// Field in whole milliseconds.
  void duration(const char *Field, Duration &Value, int64_t MinMs,
                int64_t MaxMs);
  /// Child array; an empty one, with a mistake noted, where it is missing.
  const nlohmann::json &array(const char *Field);
  /// Child array, or an empty one when absent.
  const nlohmann::json &optionalArray(const char *Field);
  /// Child object, or an empty one when absent.
  const nlohmann::json &object(const char *Field);
  /// Notes a mistake about \p Field.
  void addMistake(const char *Field, const std::string &Expected);
  /// Notes the fields that were never asked for.
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
