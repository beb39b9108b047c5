#include "gateway_process.h"

#include "sockets_p.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <random>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace shallotlatch::soak {

static constexpr uint16_t FirstPort = 16000;
static constexpr uint16_t LastPort = 32000;
// A new process closes the inherited descriptors below this number.
static constexpr int MaxInheritedFds = 1024;

// All are held until the last is found, so that they differ.
std::vector<Address> freeAddresses(size_t Count) {
  std::vector<int> Fds;
  std::vector<Address> Out;
  std::random_device Seed;
  std::uniform_int_distribution<uint16_t> Ports(FirstPort, LastPort);
  while (Out.size() < Count) {
    int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in At = toSockaddr(Address{"127.0.0.1", Ports(Seed)});
    if (bind(Fd, reinterpret_cast<sockaddr *>(&At), sizeof(At)) == 0) {
      Out.push_back(boundAddress(Fd));
    }
    Fds.push_back(Fd);
  }
  for (int Fd : Fds) {
    close(Fd);
  }
  return Out;
}

GatewayProcess::~GatewayProcess() { this->kill(); }

void GatewayProcess::start(const std::string &Program,
                           const std::string &Folder,
                           const nlohmann::json &Settings) {
  std::string Name = Folder + "/" + Settings.at("host").get<std::string>();
  std::string File = Name + ".json";
  std::string Log = Name + ".log";
  std::ofstream(File) << Settings.dump(1);
  this->Pid = fork();
  if (this->Pid < 0) {
    this->Pid = 0;
    throw std::runtime_error("cannot start " + Program);
  }
  if (this->Pid == 0) {
    int Out = open(Log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
    dup2(Out, 1);
    dup2(Out, 2);
    for (int Fd = 3; Fd < MaxInheritedFds; ++Fd) {
      close(Fd);
    }
    ::signal(SIGPIPE, SIG_DFL);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    execl(Program.c_str(), Program.c_str(), "--config", File.c_str(),
          static_cast<char *>(nullptr));
    _exit(127);
  }
}

void GatewayProcess::signal(int Number) const {
  if (this->Pid > 0) {
    ::kill(this->Pid, Number);
  }
}

void GatewayProcess::kill() {
  if (this->Pid > 0) {
    this->signal(SIGKILL);
    waitpid(this->Pid, nullptr, 0);
    this->Pid = 0;
  }
}

} // namespace shallotlatch::soak
