#include "event_log_p.h"

#include "sockets_p.h"

#include <glog/logging.h>

#include <deque>
#include <fcntl.h>
#include <unistd.h>

namespace shallotlatch {

// Limit of the bytes that wait for the output.
static constexpr size_t MaxBufferBytes = 512 * 1024;
// Routine lines are dropped above this limit, so that room is left for
// important ones.
static constexpr size_t MaxRoutineBytes = 384 * 1024;
// Interval between writes. Lines are written together because each write is a
// system call.
static constexpr Duration WriteInterval = millis(100);

namespace {
class LogBuffer : public google::LogSink {
public:
  void append(const char *Name, const LogFields &Fields, LogPriority Priority) {
    size_t Limit =
        Priority == LogPriority::Routine ? MaxRoutineBytes : MaxBufferBytes;
    if (this->Pending.size() - this->Offset > Limit) {
      ++this->Stats.Dropped;
      ++this->UnreportedDrops;
      return;
    }
    if (this->UnreportedDrops > 0) {
      uint64_t DroppedLines = this->UnreportedDrops;
      this->UnreportedDrops = 0;
      this->appendLine("log-dropped", LogFields{{"lines", DroppedLines}});
    }
    this->appendLine(Name, Fields);
  }

  void start(event_base *Base, int OutputFd, const std::string &Name) {
    this->Fd = OutputFd;
    this->Host = Name;
    int Flags = fcntl(OutputFd, F_GETFL);
    fcntl(OutputFd, F_SETFL, Flags | O_NONBLOCK);
    google::AddLogSink(this);
    this->Timer = event_new(
        Base, -1, EV_PERSIST,
        [](evutil_socket_t, short, void *Arg) {
          static_cast<LogBuffer *>(Arg)->flush();
        },
        this);
    timeval Interval = toTimeval(WriteInterval);
    event_add(this->Timer, &Interval);
  }

  void stop() {
    this->flush();
    if (this->Timer != nullptr) {
      google::RemoveLogSink(this);
      event_free(this->Timer);
      this->Timer = nullptr;
    }
    this->Fd = -1;
    this->Pending.clear();
    this->Offset = 0;
  }

  void flush() {
    while (this->Fd >= 0 && this->Offset < this->Pending.size()) {
      ssize_t Written = write(this->Fd, this->Pending.data() + this->Offset,
                              this->Pending.size() - this->Offset);
      if (Written <= 0) {
        // The output is full or closed. The rest stays in the buffer, which
        // drops new lines once it is full.
        break;
      }
      this->Offset += static_cast<size_t>(Written);
    }
    if (this->Offset == this->Pending.size()) {
      this->Pending.clear();
      this->Offset = 0;
    } else if (this->Offset > MaxBufferBytes / 2) {
      this->Pending.erase(0, this->Offset);
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

  LogStats Stats;

private:
  void appendLine(const char *Name, const LogFields &Fields) {
    ++this->Stats.Written;
    LogFields Record;
    Record["t"] = toMillis(ProcessClock::now().time_since_epoch());
    Record["host"] = this->Host;
    Record["event"] = Name;
    Record.update(Fields);
    this->Pending +=
        Record.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    this->Pending += '\n';
  }

  int Fd = -1;
  std::string Host;
  event *Timer = nullptr;
  std::string Pending;
  size_t Offset = 0;
  uint64_t UnreportedDrops = 0;
};

LogBuffer &logBuffer() {
  static LogBuffer *Instance = new LogBuffer;
  return *Instance;
}
} // namespace

void logEvent(const char *Name, const LogFields &Fields, LogPriority Priority) {
  logBuffer().append(Name, Fields, Priority);
}

void logImportantEvent(const char *Name, const LogFields &Fields) {
  logBuffer().append(Name, Fields, LogPriority::Important);
}

LogStats logStats() { return logBuffer().Stats; }

void startLog(event_base *Base, int Fd, const std::string &Host) {
  logBuffer().start(Base, Fd, Host);
}

void stopLog() { logBuffer().stop(); }

void flushLog() { logBuffer().flush(); }

} // namespace shallotlatch
