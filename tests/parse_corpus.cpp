// Runs the parser fuzz target without libFuzzer, on every file of the corpus
// and on seeded mutations of each. Usage: shallot-parse-corpus FOLDER [changes]
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

// libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size);

static void runParser(const std::string &Text) {
  LLVMFuzzerTestOneInput(reinterpret_cast<const uint8_t *>(Text.data()),
                         Text.size());
}

static std::string mutate(std::string Text, std::mt19937_64 &Random) {
  uint32_t MutationCount = 1 + Random() % 8;
  for (uint32_t I = 0; I < MutationCount && Text.size() > 1; ++I) {
    size_t Offset = 1 + Random() % (Text.size() - 1);
    switch (Random() % 4) {
    case 0:
      Text[Offset] = static_cast<char>(Random());
      break;
    case 1:
      Text.erase(Offset, 1 + Random() % 16);
      break;
    case 2:
      Text.insert(Offset, Text.substr(Random() % Text.size(), Random() % 32));
      break;
    default:
      Text.resize(Offset);
    }
  }
  return Text;
}

int main(int Argc, char **Argv) {
  if (Argc < 2) {
    std::cerr << "usage: shallot-parse-corpus FOLDER [changes]\n";
    return 2;
  }
  uint32_t MutationsPerFile =
      Argc > 2 ? static_cast<uint32_t>(std::atoi(Argv[2])) : 500;
  std::mt19937_64 Random(20261204);
  uint32_t FileCount = 0;
  for (const auto &Item : std::filesystem::directory_iterator(Argv[1])) {
    std::ifstream In(Item.path(), std::ios::binary);
    std::string Text((std::istreambuf_iterator<char>(In)),
                     std::istreambuf_iterator<char>());
    ++FileCount;
    runParser(Text);
    for (uint32_t I = 0; I < MutationsPerFile; ++I) {
      runParser(mutate(Text, Random));
    }
  }
  std::cout << FileCount << " files, " << MutationsPerFile << " changes each\n";
  return FileCount > 0 ? 0 : 1;
}
