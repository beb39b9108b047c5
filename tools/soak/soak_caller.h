/// \file
/// A caller of the soak. It sends one request after the other on a connection
/// to one host, and connects again when that connection is closed.
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

/// The next request of a caller. The caller itself sets the time, the host and
/// the process number when it sends the request.
struct RequestPlan {
  SentRequest Request;
  std::string Path;
  Duration Deadline = seconds(2);
  Duration Pause{0}; ///< Time to wait before the request is sent.
};

/// The host to which a caller connects. Port zero means that no host runs.
struct CallerHost {
  uint32_t Host = 0;
  uint32_t ProcessNumber = 0;
  Address At;
};

/// Joins the data of the complete events of a stream, so that an event that was
/// cut off is not compared.
std::string joinEventData(const std::string &Events);

/// Sends planned requests and reports requests and answers to the judge.
class SoakCaller : public HttpReaderEvents {
public:
  SoakCaller(event_base *Base, const RelayHeaders &Headers, SoakJudge &Judge,
             std::function<RequestPlan()> PlanRequest,
             std::function<CallerHost()> ChooseHost);
  ~SoakCaller() override;
  SoakCaller(const SoakCaller &) = delete;
  SoakCaller &operator=(const SoakCaller &) = delete;
  /// Sends no further request. A request that was sent still waits for its
  /// answer.
  void stopAfterCurrent() { this->Finishing = true; }
  bool busy() const { return this->Busy; }

  bool onHead(HttpHead &Head) override;
  void onBody(std::string_view Part) override;
  void onComplete() override {}

private:
  void scheduleNext();
  void sendRequest();
  void readAnswer();
  void finishRequest(bool Complete, bool ClosedByHost);
  /// Plans to go on with the stream that the current request has brought a part
  /// of. Returns false if there is none or it was tried often enough.
  bool planResumption(bool Complete);
  void closeConnection();

  event_base *Base;
  RelayHeaders Headers;
  SoakJudge &Judge;
  std::function<RequestPlan()> PlanRequest;
  std::function<CallerHost()> ChooseHost;
  HttpReader Reader;
  bufferevent *Socket = nullptr;
  event *Timer = nullptr; ///< Runs for the pause, then for the deadline.
  CallerHost CurrentHost;
  RequestPlan CurrentPlan;
  uint32_t Resumptions = 0; ///< Of the current stream.
  ReceivedAnswer Answer;
  bool KeepAlive = true;
  bool Busy = false;
  bool Finishing = false;
};

} // namespace shallotlatch::soak
