#include <glog/logging.h>

#include <CppUTest/CommandLineTestRunner.h>

int main(int Argc, char **Argv) {
  google::InitGoogleLogging(Argv[0]);
  // Singletons of libraries live longer than a single test, so the leak check
  // would report them.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(Argc, Argv);
}
