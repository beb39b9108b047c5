/// \file
/// The system's own program, as the deploy file starts it.
#pragma once

#include "record.h"
#include "wire.h"

#include <map>
#include <string>
#include <sys/types.h>

namespace review {

/// A machine that runs the program.
class Gateway {
public:
  /// \p Root: root of the repository. \p Folder: folder for the settings file
  /// and the output. \p Fields: settings of the machine by the names of the
  /// platform's pages.
  Gateway(std::string Root, std::string Folder,
          std::map<std::string, std::string> Fields, Record &Log);
  ~Gateway();
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;

  /// Starts the program. Returns false if that is not possible.
  bool start();
  /// Waits until it says that it is ready.
  bool waitReady(Millis Limit) const;
  bool ready() const;
  void send(int Signal);
  /// Kills it and waits for its end.
  void kill();
  /// Waits for its end; returns whether it came in time.
  bool waitEnd(Millis Limit);
  /// Whether the process runs.
  bool running();
  const std::string &name() const { return this->Name; }
  Endpoint caller() const;
  TimePoint startedAt() const { return this->StartedAt; }

private:
  std::string Root;
  std::string Folder;
  std::map<std::string, std::string> Fields;
  Record &Log;
  std::string Name;
  pid_t Pid = 0;
  TimePoint StartedAt;
};

} // namespace review
