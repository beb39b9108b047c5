#include "rollout_codec_p.h"

#include <algorithm>

namespace shallotlatch {

// Limits in one datagram. Services are rolled out one or two at a time; a
// service has some ten routes.
static constexpr size_t MaxRollouts = 8;
static constexpr size_t MaxRoutes = 48;

static uint32_t wireNumber(uint64_t Count) {
  return static_cast<uint32_t>(std::min<uint64_t>(Count, UINT32_MAX));
}

static uint32_t wireTime(Duration D) {
  return static_cast<uint32_t>(std::clamp<int64_t>(toMillis(D), 0, UINT32_MAX));
}

unsigned wireRollouts(const std::vector<RolloutNews> &News) {
  return static_cast<unsigned>(std::min(News.size(), MaxRollouts));
}

static void writeReport(fleetwire::RolloutNews::Builder B,
                        const RolloutReport &Report) {
  B.setHasReport(true);
  B.setDomain(Report.Domain);
  B.setHost(Report.Host.Value);
  B.setRun(Report.Run);
  auto Routes = B.initRoutes(
      static_cast<unsigned>(std::min(Report.Routes.size(), MaxRoutes)));
  auto Item = Report.Routes.begin();
  for (unsigned I = 0; I < Routes.size(); ++I, ++Item) {
    const RolloutCounts &Old =
        Item->second[static_cast<size_t>(RolloutSide::Old)];
    const RolloutCounts &New =
        Item->second[static_cast<size_t>(RolloutSide::New)];
    Routes[I].setRoute(Item->first.Value);
    Routes[I].setOldSent(wireNumber(Old.Sent));
    Routes[I].setOldGood(wireNumber(Old.Good));
    Routes[I].setOldFailed(wireNumber(Old.Failed));
    Routes[I].setOldSlow(wireNumber(Old.Slow));
    Routes[I].setNewSent(wireNumber(New.Sent));
    Routes[I].setNewGood(wireNumber(New.Good));
    Routes[I].setNewFailed(wireNumber(New.Failed));
    Routes[I].setNewSlow(wireNumber(New.Slow));
  }
}

void writeRollouts(capnp::List<fleetwire::RolloutNews>::Builder List,
                   const std::vector<RolloutNews> &News) {
  for (unsigned I = 0; I < List.size(); ++I) {
    const RolloutNews &N = News[I];
    fleetwire::RolloutNews::Builder B = List[I];
    B.setService(N.Service.Value);
    B.setTo(N.To.Value);
    B.setLengthMs(wireTime(N.Length));
    B.setAgeMs(wireTime(N.Age));
    B.setRevision(N.Revision);
    B.setVerdict(static_cast<uint8_t>(N.Verdict));
    B.setWritten(N.Written ? static_cast<uint8_t>(*N.Written) + 1 : 0);
    B.setInTouch(N.InTouch);
    if (N.Report) {
      writeReport(B, *N.Report);
    }
  }
}

std::vector<RolloutNews>
readRollouts(capnp::List<fleetwire::RolloutNews>::Reader List) {
  std::vector<RolloutNews> All;
  for (fleetwire::RolloutNews::Reader B : List) {
    RolloutNews N;
    N.Service.Value = B.getService();
    N.To.Value = B.getTo();
    N.Length = millis(B.getLengthMs());
    N.Age = millis(B.getAgeMs());
    N.Revision = B.getRevision();
    if (B.getVerdict() <= static_cast<uint8_t>(RolloutVerdict::Bad)) {
      N.Verdict = static_cast<RolloutVerdict>(B.getVerdict());
    }
    if (B.getWritten() > 0 &&
        B.getWritten() <= static_cast<uint8_t>(RolloutState::RolledBack) + 1) {
      N.Written = static_cast<RolloutState>(B.getWritten() - 1);
    }
    N.InTouch = B.getInTouch();
    if (B.getHasReport()) {
      RolloutReport Report{B.getDomain(), HostId{B.getHost()}, B.getRun(), {}};
      for (fleetwire::RouteEvidence::Reader R : B.getRoutes()) {
        RolloutPair &P = Report.Routes[RouteId{R.getRoute()}];
        P[static_cast<size_t>(RolloutSide::Old)] = {
            R.getOldSent(), R.getOldGood(), R.getOldFailed(), R.getOldSlow()};
        P[static_cast<size_t>(RolloutSide::New)] = {
            R.getNewSent(), R.getNewGood(), R.getNewFailed(), R.getNewSlow()};
      }
      N.Report = std::move(Report);
    }
    All.push_back(std::move(N));
  }
  return All;
}

} // namespace shallotlatch
