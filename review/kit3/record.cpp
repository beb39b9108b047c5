#include "record.h"

#include "net.h"

namespace review3 {

Record::Record(const std::string &Path) : Out(Path), Start(nowMs()) {}

void Record::line(const std::string &Text) {
  std::lock_guard<std::mutex> Guard(this->Lock);
  this->Out << nowMs() - this->Start << " " << Text << std::endl;
}

} // namespace review3
