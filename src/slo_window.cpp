#include "slo_window_p.h"

namespace shallotlatch {

static constexpr Duration BucketWidth = seconds(10);

static int64_t bucketNumber(Time Now) {
  return Now.time_since_epoch().count() / BucketWidth.count();
}

const std::vector<Duration> &SloWindow::windows() {
  static const std::vector<Duration> Windows = {seconds(300), seconds(3600)};
  return Windows;
}

void SloWindow::add(const std::string &Name, bool Good, Time Now) {
  int64_t Number = bucketNumber(Now);
  Bucket &B = this->Series[Name][static_cast<size_t>(Number) % BucketCount];
  if (B.Number != Number) {
    B = Bucket{Number, SloCounts()};
  }
  ++B.Counts.Total;
  B.Counts.Good += Good ? 1 : 0;
}

SloBurnRate SloWindow::burnRate(const std::string &Name, double Objective,
                                Duration Window, Time Now) const {
  SloBurnRate Result;
  Result.Series = Name;
  Result.Window = Window;
  Result.Objective = Objective;
  auto It = this->Series.find(Name);
  if (It == this->Series.end()) {
    return Result;
  }
  int64_t Newest = bucketNumber(Now);
  int64_t Oldest = Newest - Window / BucketWidth;
  for (const Bucket &B : It->second) {
    if (B.Number > Oldest && B.Number <= Newest) {
      Result.Counts.Good += B.Counts.Good;
      Result.Counts.Total += B.Counts.Total;
    }
  }
  if (Result.Counts.Total > 0) {
    double Bad = 1 - static_cast<double>(Result.Counts.Good) /
                         static_cast<double>(Result.Counts.Total);
    Result.BurnRate = Bad / (1 - Objective);
  }
  return Result;
}

} // namespace shallotlatch
