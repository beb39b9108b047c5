#include "event_stream_p.h"

#include <algorithm>
#include <charconv>

namespace shallotlatch {

std::optional<uint64_t> eventNumber(std::string_view Id) {
  uint64_t Number = 0;
  std::from_chars_result Read =
      std::from_chars(Id.data(), Id.data() + Id.size(), Number);
  if (Read.ec != std::errc() || Read.ptr != Id.data() + Id.size()) {
    return std::nullopt;
  }
  return Number;
}

void EventStreamScanner::endLine(std::string_view Line) {
  if (!Line.empty()) {
    std::string_view Name = Line.substr(0, Line.find(':'));
    this->HasData = this->HasData || Name == "data";
    if (Name == "id") {
      Line.remove_prefix(std::min<size_t>(Line.size(), 3));
      Line.remove_prefix(Line.substr(0, 1) == " " ? 1 : 0);
      this->Id = std::string(Line);
    }
    return;
  }
  ++this->Events;
  if (this->Id) {
    ++this->Ids;
    this->LastId = *this->Id;
    if (this->Ids == 1) {
      this->FirstId = this->LastId;
    }
  }
  if (this->HasData || this->Id) {
    this->EndsWithId = this->Id && !this->Id->empty();
  }
  this->Id.reset();
  this->HasData = false;
}

size_t EventStreamScanner::scan(std::string_view Text) {
  size_t End = 0;
  for (; this->Next < Text.size(); ++this->Next, ++this->Scanned) {
    char Current = Text[this->Next];
    bool EndsLine = Current == '\r' || (Current == '\n' && !this->AfterCr);
    if (Current == '\n' && this->AfterCr) {
      // The second half of a line's end; it ends the event too if that did.
      End = End == this->Next ? this->Next + 1 : End;
      this->LineStart = this->Next + 1;
    }
    this->AfterCr = Current == '\r';
    if (EndsLine) {
      bool EndsEvent = this->LineStart == this->Next;
      this->endLine(Text.substr(this->LineStart, this->Next - this->LineStart));
      this->LineStart = this->Next + 1;
      End = EndsEvent ? this->Next + 1 : End;
    }
  }
  this->Next -= End;
  this->LineStart -= End;
  return End;
}

} // namespace shallotlatch
