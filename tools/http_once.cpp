#include "http_once.h"

#include <memory>

namespace shallotlatch {

HttpResult sendBlocking(const HttpRequest &Request) {
  struct Free {
    void operator()(event_base *Base) const { event_base_free(Base); }
  };
  std::unique_ptr<event_base, Free> Base(event_base_new());
  HttpResult Result;
  HttpClient Client(Base.get());
  HttpEvents Events;
  event_base *Loop = Base.get();
  Events.Done = [&Result, Loop](const HttpResult &R) {
    Result = R;
    event_base_loopbreak(Loop);
  };
  Client.start(Request, Events);
  event_base_dispatch(Loop);
  return Result;
}

} // namespace shallotlatch
