/// \file
/// A caller of the soak: one connection to one host, one request after the
/// other, until the host closes it.
#pragma once

#include "http_message_p.h"
#include "relay_p.h"
#include "soak_judge.h"

#include <event2/event.h>

#include <functional>
#include <memory>
#include <string>

struct bufferevent;

namespace shallotlatch::soak {

/// What the next request is; the caller fills in time, host and process.
struct CallerPlan {
  Sent Request;
  std::string Path;
  Duration Deadline = seconds(2);
  Duration Pause{0}; ///< Before it is sent.
};

/// Where a new connection goes.
struct CallerHost {
  uint32_t Host = 0;
  uint32_t Process = 0;
  Address At;
};

class SoakCaller : public HttpReaderEvents {
public:
  SoakCaller(event_base *Base, const RelayHeaders &Headers, Judge &Told,
             std::function<CallerPlan()> Plan,
             std::function<CallerHost()> Choose);
  ~SoakCaller() override;
  SoakCaller(const SoakCaller &) = delete;
  SoakCaller &operator=(const SoakCaller &) = delete;
  /// No further request; the one under way is waited for.
  void finish() { this->Finishing = true; }
  bool busy() const { return this->Busy; }

  bool onHead(HttpHead &Head) override;
  void onBody(std::string_view Part) override;
  void onComplete() override {}

private:
  void plan();
  void send();
  void read();
  void done(bool Whole, bool ClosedByHost);
  void drop();

  event_base *Base;
  RelayHeaders Headers;
  Judge &Told;
  std::function<CallerPlan()> Plan;
  std::function<CallerHost()> Choose;
  HttpReader Reader;
  bufferevent *Socket = nullptr;
  event *Timer = nullptr; ///< Of the pause, then of the deadline.
  CallerHost Where;
  CallerPlan Current;
  Got Answer;
  bool KeepAlive = true;
  bool Busy = false;
  bool Finishing = false;
};

} // namespace shallotlatch::soak
