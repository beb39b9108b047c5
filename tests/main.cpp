#include <glog/logging.h>

#include <CppUTest/CommandLineTestRunner.h>

int main(int Argc, char **Argv) {
  google::InitGoogleLogging(Argv[0]);
  // Library singletons live longer than any one test.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(Argc, Argv);
}
