/// \file
/// What a case sent, got and ran, as lines of record.txt.
#pragma once

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review3 {

class Record {
public:
  explicit Record(const std::string &Path);
  /// Writes one line with the time since the start, in ms.
  void line(const std::string &Text);

private:
  std::mutex Lock;
  std::ofstream Out;
  int64_t Start;
};

} // namespace review3
