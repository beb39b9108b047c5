#include "load_probe.h"

#include "http_client_p.h"

#include <algorithm>
#include <functional>
#include <iomanip>
#include <sstream>
#include <vector>

namespace shallotlatch {

static HttpRequest makeCall(const ProbeInit &Init, bool Direct) {
  HttpRequest R;
  R.To = Direct ? Init.Direct : Init.HostAddress;
  R.Path = (Direct ? "/run/" : "/v1/services/") + Init.Kind;
  R.Body = "{}";
  R.ReuseConnection = true;
  R.Headers = {{"Authorization", "Bearer key-of-" + Init.Customer},
               {"Content-Type", "application/json"}};
  return R;
}

static std::string formatQuantiles(const char *Name, std::vector<double> Us) {
  std::sort(Us.begin(), Us.end());
  std::stringstream Out;
  Out << std::fixed << std::setprecision(0) << Name << ": median "
      << Us[Us.size() / 2] << " us, 95th " << Us[Us.size() * 95 / 100]
      << " us\n";
  return Out.str();
}

std::string probeLatency(const ProbeInit &Init) {
  event_base *Base = event_base_new();
  std::vector<double> Us[2];
  uint32_t Failed = 0;
  {
    HttpClient Client(Base);
    uint32_t Number = 0;
    std::function<void()> Next = [&]() {
      if (Number == 2 * Init.Count) {
        event_base_loopbreak(Base);
        return;
      }
      bool Direct = Number++ % 2 == 0;
      Time Start = ProcessClock::now();
      HttpEvents E;
      E.Done = [&, Direct, Start](const HttpResult &R) {
        Failed += R.Status == 200 ? 0 : 1;
        Duration Elapsed = ProcessClock::now() - Start;
        Us[Direct ? 0 : 1].push_back(static_cast<double>(Elapsed.count()));
        Next();
      };
      Client.start(makeCall(Init, Direct), E);
    };
    Next();
    event_base_dispatch(Base);
  }
  event_base_free(Base);
  return formatQuantiles("direct", Us[0]) + formatQuantiles("through", Us[1]) +
         "failed " + std::to_string(Failed) + " of " +
         std::to_string(2 * Init.Count) + "\n";
}

std::string probeFlood(const ProbeInit &Init) {
  event_base *Base = event_base_new();
  uint32_t Started = 0;
  uint32_t Ended = 0;
  uint32_t Failed = 0;
  Time Start = ProcessClock::now();
  {
    HttpClient Client(Base);
    std::function<void()> Next = [&]() {
      if (Started == Init.Count) {
        return;
      }
      ++Started;
      HttpEvents E;
      E.Done = [&](const HttpResult &R) {
        Failed += R.Status == 200 ? 0 : 1;
        if (++Ended == Init.Count) {
          event_base_loopbreak(Base);
          return;
        }
        Next();
      };
      Client.start(makeCall(Init, false), E);
    };
    for (uint32_t I = 0; I < Init.Connections; ++I) {
      Next();
    }
    event_base_dispatch(Base);
  }
  event_base_free(Base);
  double Seconds = toSeconds(ProcessClock::now() - Start);
  std::stringstream Out;
  Out << std::fixed << std::setprecision(0) << Init.Count / Seconds
      << " requests/s over " << std::setprecision(1) << Seconds << " s, failed "
      << Failed << "\n";
  return Out.str();
}

} // namespace shallotlatch
