/// \file
/// The record of a case: what was sent, answered and run.
#pragma once

#include "wire.h"

#include <cstdio>
#include <mutex>
#include <string>

namespace review {

class Record {
public:
  /// Writes to record.txt in \p Folder. Times count from now.
  explicit Record(const std::string &Folder);
  ~Record();
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;

  /// Adds a line; also prints it if \p Shown.
  void add(const std::string &Line, bool Shown = false);
  /// Milliseconds since the record began.
  int64_t now() const;

private:
  TimePoint Start = Clock::now();
  std::mutex Mutex;
  FILE *File;
};

} // namespace review
