#include "prompt_parts_p.h"

#include <algorithm>
#include <cctype>
#include <string>

namespace shallotlatch {

static constexpr size_t MaxParts = 32;

static std::string_view trim(std::string_view Text) {
  auto IsSpace = [](char C) { return C == ' ' || C == '\t'; };
  while (!Text.empty() && IsSpace(Text.front())) {
    Text.remove_prefix(1);
  }
  while (!Text.empty() && IsSpace(Text.back())) {
    Text.remove_suffix(1);
  }
  return Text;
}

std::vector<Fingerprint> sharedPromptParts(std::string_view Field) {
  std::vector<Fingerprint> Parts;
  while (true) {
    size_t Comma = Field.find(',');
    std::string_view Entry = trim(Field.substr(0, Comma));
    size_t Colon = Entry.find(':');
    if (Colon == 0 || Colon == std::string_view::npos) {
      return {};
    }
    if (Comma == std::string_view::npos) {
      return Parts; // The last part is not shared.
    }
    std::string Id = "part ";
    for (char C : trim(Entry.substr(0, Colon))) {
      Id += static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
    }
    if (Parts.size() < MaxParts) {
      Parts.push_back(Fingerprint{hash64(Id)});
    }
    Field.remove_prefix(Comma + 1);
  }
}

} // namespace shallotlatch
