#include "event_log_p.h"

#include "sockets_p.h"

#include <glog/logging.h>

#include <deque>
#include <fcntl.h>
#include <unistd.h>

namespace shallotlatch {

// Bytes that may wait for standard output.
static constexpr size_t RingBytes = 512 * 1024;
// Routine lines are dropped above this, so that the rest always has room.
static constexpr size_t RoutineBytes = 384 * 1024;
// Lines are written together this often: each write is a system call.
static constexpr Duration WriteInterval = millis(100);

namespace {
class Ring : public google::LogSink {
public:
  void append(const char *Name, const LogFields &Fields, LogPriority Weight) {
    size_t Limit = Weight == LogPriority::Routine ? RoutineBytes : RingBytes;
    if (this->Waiting.size() - this->Offset > Limit) {
      ++this->Counts.Dropped;
      ++this->Unreported;
      return;
    }
    if (this->Unreported > 0) {
      uint64_t Lost = this->Unreported;
      this->Unreported = 0;
      this->line("log-dropped", LogFields{{"lines", Lost}});
    }
    this->line(Name, Fields);
  }

  void start(event_base *Base, int Out, const std::string &Name) {
    this->Fd = Out;
    this->Host = Name;
    int Flags = fcntl(Out, F_GETFL);
    fcntl(Out, F_SETFL, Flags | O_NONBLOCK);
    google::AddLogSink(this);
    this->Timer = event_new(
        Base, -1, EV_PERSIST,
        [](evutil_socket_t, short, void *Arg) {
          static_cast<Ring *>(Arg)->flush();
        },
        this);
    timeval Every = toTimeval(WriteInterval);
    event_add(this->Timer, &Every);
  }

  void stop() {
    this->flush();
    if (this->Timer != nullptr) {
      google::RemoveLogSink(this);
      event_free(this->Timer);
      this->Timer = nullptr;
    }
    this->Fd = -1;
    this->Waiting.clear();
    this->Offset = 0;
  }

  void flush() {
    while (this->Fd >= 0 && this->Offset < this->Waiting.size()) {
      ssize_t Written = write(this->Fd, this->Waiting.data() + this->Offset,
                              this->Waiting.size() - this->Offset);
      if (Written <= 0) {
        break; // Full or gone: the ring keeps or drops the rest.
      }
      this->Offset += static_cast<size_t>(Written);
    }
    if (this->Offset == this->Waiting.size()) {
      this->Waiting.clear();
      this->Offset = 0;
    } else if (this->Offset > RingBytes / 2) {
      this->Waiting.erase(0, this->Offset);
      this->Offset = 0;
    }
  }

  void send(google::LogSeverity Severity, const char *, const char *File,
            int Line, const google::LogMessageTime &, const char *Message,
            size_t Length) override {
    this->append(
        "glog",
        LogFields{{"severity", google::GetLogSeverityName(Severity)},
                  {"at", std::string(File) + ":" + std::to_string(Line)},
                  {"text", std::string(Message, Length)}},
        LogPriority::Important);
  }

  LogStats Counts;

private:
  void line(const char *Name, const LogFields &Fields) {
    ++this->Counts.Written;
    LogFields Whole;
    Whole["t"] = toMillis(ProcessClock::now().time_since_epoch());
    Whole["host"] = this->Host;
    Whole["event"] = Name;
    Whole.update(Fields);
    this->Waiting +=
        Whole.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    this->Waiting += '\n';
  }

  int Fd = -1;
  std::string Host;
  event *Timer = nullptr;
  std::string Waiting;
  size_t Offset = 0;
  uint64_t Unreported = 0;
};

Ring &ring() {
  static Ring *Only = new Ring;
  return *Only;
}
} // namespace

void logEvent(const char *Name, const LogFields &Fields, LogPriority Weight) {
  ring().append(Name, Fields, Weight);
}

void logImportantEvent(const char *Name, const LogFields &Fields) {
  ring().append(Name, Fields, LogPriority::Important);
}

LogStats logStats() { return ring().Counts; }

void startLog(event_base *Base, int Fd, const std::string &Host) {
  ring().start(Base, Fd, Host);
}

void stopLog() { ring().stop(); }

void flushLog() { ring().flush(); }

} // namespace shallotlatch
