#include "record.h"

namespace review {

Record::Record(const std::string &Folder)
    : File(fopen((Folder + "/record.txt").c_str(), "w")) {}

Record::~Record() {
  if (this->File != nullptr) {
    fclose(this->File);
  }
}

int64_t Record::now() const {
  return std::chrono::duration_cast<Millis>(Clock::now() - this->Start).count();
}

void Record::add(const std::string &Line, bool Shown) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->File != nullptr) {
    fprintf(this->File, "%8.3f %s\n", static_cast<double>(this->now()) / 1000,
            Line.c_str());
    fflush(this->File);
  }
  if (Shown) {
    printf("%s\n", Line.c_str());
    fflush(stdout);
  }
}

} // namespace review
