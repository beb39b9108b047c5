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
struct RequestPlan {
  SentRequest Request;
  std::string Path;
  Duration Deadline = seconds(2);
  Duration Pause{0}; ///< Before it is sent.
};

/// Where a new connection goes.
struct CallerHost {
  uint32_t Host = 0;
  uint32_t ProcessNumber = 0;
  Address At;
};

class SoakCaller : public HttpReaderEvents {
public:
  SoakCaller(event_base *Base, const RelayHeaders &Headers, SoakJudge &Judge,
             std::function<RequestPlan()> Plan,
             std::function<CallerHost()> ChooseHost);
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
  void scheduleNext();
  void sendRequest();
  void readAnswer();
  void finishRequest(bool Complete, bool ClosedByHost);
  void closeConnection();

  event_base *Base;
  RelayHeaders Headers;
  SoakJudge &Judge;
  std::function<RequestPlan()> Plan;
  std::function<CallerHost()> ChooseHost;
  HttpReader Reader;
  bufferevent *Socket = nullptr;
  event *Timer = nullptr; ///< Of the pause, then of the deadline.
  CallerHost CurrentHost;
  RequestPlan CurrentPlan;
  ReceivedAnswer Answer;
  bool KeepAlive = true;
  bool Busy = false;
  bool Finishing = false;
};

} // namespace shallotlatch::soak
