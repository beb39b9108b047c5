#include "gateway.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

static std::string readFile(const std::string &Path) {
  std::ifstream In(Path);
  std::stringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

/// Returns the text between the quotes that follow \p Key in the deploy file.
static std::string deployValue(const std::string &Text,
                               const std::string &Key) {
  size_t At = Text.find("\n" + Key + " = \"");
  if (At == std::string::npos) {
    return "";
  }
  size_t Begin = Text.find('"', At) + 1;
  return Text.substr(Begin, Text.find('"', Begin) - Begin);
}

Gateway::Gateway(std::string Root, std::string Folder,
                 std::map<std::string, std::string> Fields, Record &Log)
    : Root(std::move(Root)), Folder(std::move(Folder)),
      Fields(std::move(Fields)), Log(Log), Name(this->Fields["node-name"]) {}

Gateway::~Gateway() { this->kill(); }

bool Gateway::start() {
  std::string Deploy = readFile(this->Root + "/deploy/system.toml");
  std::string Program = deployValue(Deploy, "run");
  std::string Settings =
      readFile(this->Root + "/" + deployValue(Deploy, "template"));
  if (Program.empty() || Settings.empty()) {
    return false;
  }
  for (const auto &Item : this->Fields) {
    std::string Mark = "{{" + Item.first + "}}";
    for (size_t At = Settings.find(Mark); At != std::string::npos;
         At = Settings.find(Mark)) {
      Settings.replace(At, Mark.size(), Item.second);
    }
  }
  std::string SettingsPath = this->Folder + "/" + this->Name + ".json";
  std::ofstream(SettingsPath) << Settings;
  std::string OutputPath = this->Folder + "/" + this->Name + ".out";
  Program = this->Root + "/" + Program;
  pid_t Parent = getpid();
  this->Pid = fork();
  if (this->Pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != Parent || chdir(this->Root.c_str()) != 0) {
      _exit(1);
    }
    int Out = open(OutputPath.c_str(),
                   O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(Out, 1);
    dup2(Out, 2);
    setenv("SHALLOTLATCH_SETTINGS", SettingsPath.c_str(), 1);
    execl(Program.c_str(), Program.c_str(), nullptr);
    _exit(1);
  }
  this->StartedAt = Clock::now();
  this->Log.add("start of " + this->Name);
  return this->Pid > 0;
}

Endpoint Gateway::caller() const {
  const std::string &Text = this->Fields.at("listen-addresses.frontend");
  size_t Colon = Text.find(':');
  return {Text.substr(0, Colon),
          static_cast<uint16_t>(std::stoi(Text.substr(Colon + 1)))};
}

bool Gateway::ready() const {
  const std::string &Text = this->Fields.at("listen-addresses.ready");
  size_t Colon = Text.find(':');
  int Fd =
      connectTo({Text.substr(0, Colon),
                 static_cast<uint16_t>(std::stoi(Text.substr(Colon + 1)))});
  if (Fd < 0) {
    return false;
  }
  Link L(Fd);
  Message Answer;
  return L.write("GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n") &&
         L.readHead(Answer, Millis(1000)) && Answer.status() == 200;
}

bool Gateway::waitReady(Millis Limit) const {
  for (TimePoint Until = Clock::now() + Limit; Clock::now() < Until;
       std::this_thread::sleep_for(Millis(20))) {
    if (this->ready()) {
      return true;
    }
  }
  return false;
}

void Gateway::send(int Signal) {
  if (this->Pid > 0) {
    this->Log.add("signal " + std::to_string(Signal) + " to " + this->Name);
    ::kill(this->Pid, Signal);
  }
}

bool Gateway::running() {
  if (this->Pid > 0 && waitpid(this->Pid, nullptr, WNOHANG) == this->Pid) {
    this->Pid = 0;
  }
  return this->Pid > 0;
}

bool Gateway::waitEnd(Millis Limit) {
  for (TimePoint Until = Clock::now() + Limit; Clock::now() < Until;
       std::this_thread::sleep_for(Millis(10))) {
    if (!this->running()) {
      return true;
    }
  }
  return false;
}

void Gateway::kill() {
  if (this->Pid > 0) {
    this->send(SIGKILL);
    waitpid(this->Pid, nullptr, 0);
    this->Pid = 0;
  }
}

} // namespace review
