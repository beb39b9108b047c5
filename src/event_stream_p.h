/// \file
/// Finds the ends of events in a stream of them (text/event-stream).
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace shallotlatch {

/// Returns the number that \p Id is in decimal digits; nothing if it is none.
std::optional<uint64_t> eventNumber(std::string_view Id);

/// Scans the bytes of one answer, each of them once. Lines end with LF, CR or
/// both; an event ends with an empty line.
class EventStreamScanner {
public:
  /// Scans what was added to \p Text, the bytes after the last whole event,
  /// since the last call. Returns the length of the whole events in it, which
  /// the caller takes away from its front.
  size_t scan(std::string_view Text);
  /// Returns the number of events, of ids and of bytes that were scanned.
  uint64_t events() const { return this->Events; }
  uint32_t ids() const { return this->Ids; }
  uint64_t scannedBytes() const { return this->Scanned; }
  /// Returns the id of the first and the last whole event that have one.
  const std::string &firstId() const { return this->FirstId; }
  const std::string &lastId() const { return this->LastId; }
  /// Whether the last whole event with data has an id, so that another answer
  /// can go on after it.
  bool endsWithId() const { return this->EndsWithId; }

private:
  void endLine(std::string_view Line);

  size_t Next = 0;      ///< First byte that was not scanned.
  size_t LineStart = 0; ///< Of the line that is not whole.
  bool AfterCr = false; ///< An LF that comes next belongs to the last line.
  uint64_t Events = 0;
  uint32_t Ids = 0;
  uint64_t Scanned = 0;
  std::string FirstId;
  std::string LastId;
  bool EndsWithId = true;
  // The event that is not whole.
  std::optional<std::string> Id;
  bool HasData = false;
};

} // namespace shallotlatch
