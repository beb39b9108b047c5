/// \file
/// Stand-in of a client.
#pragma once

#include "net.h"

#include <atomic>
#include <memory>

namespace review3 {

struct Event {
  uint64_t Number = 0;
  std::string Data;
};

/// What a client attempt came to.
struct Answer {
  bool Connected = false;
  int Status = 0; ///< 0: no head came.
  Head Received;
  std::string Body;
  bool Complete = false;
  bool ClosedByPeer = false;
  /// Whole events of the body.
  std::vector<Event> events() const;
  std::string text() const;
};

struct Attempt {
  std::string Method = "POST";
  std::string Path;
  std::string Id;
  std::string Key;
  int64_t DeadlineMs = 5000;
  Fields Extra;
  std::string Body;
};

/// Returns the bytes of the request.
std::string requestBytes(const Attempt &A);
/// Sends the request on a new connection and reads its answer until the
/// deadline. A stop that is set in between closes the connection.
Answer send(uint16_t Port, const Attempt &A,
            const std::atomic<bool> *Stop = nullptr);
/// Reads one answer from a connection.
void readAnswer(Wire &W, int64_t UntilMs, Answer &Out,
                const std::atomic<bool> *Stop = nullptr);

} // namespace review3
