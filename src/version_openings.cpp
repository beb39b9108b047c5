#include "version_openings_p.h"

namespace shallotlatch {

// Shortest and longest time from a version's entry to its announcement. Callers
// of hosts that are lost as it enters return within the shortest.
static constexpr Duration MinOpeningDelay = millis(2500);
static constexpr Duration MaxOpeningDelay = seconds(6);
// Time after a loss of hosts within which most of their callers have returned.
static constexpr Duration ReturnTime = seconds(5);
// Time from the last note to peers until the store has what it tells.
static constexpr Duration RecordingTime = millis(700);
// Time for which a service has one version before its announcements run out.
// Other hosts may have seen the other version a little longer.
static constexpr Duration SingleTime = seconds(30);

bool VersionOpenings::isDue(const Opening &O, Time SeenAt, bool IsCrowded,
                            Time Now) const {
  if (Now < SeenAt + MinOpeningDelay) {
    return false;
  }
  bool Told = O.ToldAt && Now >= *O.ToldAt + RecordingTime;
  bool Returned = Now >= this->LastLoss + ReturnTime;
  return (Told && (Returned || IsCrowded)) || Now >= SeenAt + MaxOpeningDelay;
}

std::vector<SoftwareId>
VersionOpenings::takeDue(ServiceId Service, const ServiceVersionsView &View,
                         Time Now) {
  std::vector<SoftwareId> Due;
  std::map<SoftwareId, Opening> &All = this->Openings[Service];
  for (auto It = All.begin(); It != All.end();) {
    It = View.SeenAt.count(It->first) == 0 ? All.erase(It) : std::next(It);
  }
  bool HasBase = View.Base && View.Base->isValid();
  if (View.SeenAt.size() <= 1 || !(HasBase || View.IsIndefinite)) {
    return Due;
  }
  for (const auto &Item : View.SeenAt) {
    Opening &O = All[Item.first];
    if (!O.ToldAt && View.OldestUntold > Item.second) {
      O.ToldAt = Now;
    }
    bool IsBase = HasBase && Item.first == *View.Base;
    bool MayWait = View.BaseServes && View.Announced.count(Item.first) == 0;
    if (!IsBase && !O.Taken &&
        (!MayWait || this->isDue(O, Item.second, View.IsCrowded, Now))) {
      O.Taken = true;
      Due.push_back(Item.first);
    }
  }
  return Due;
}

bool VersionOpenings::isOver(ServiceId Service, const ServiceVersionsView &View,
                             Time Now) {
  if (View.SeenAt.size() > 1) {
    this->SingleSince.erase(Service);
    return false;
  }
  Time Since = this->SingleSince.try_emplace(Service, Now).first->second;
  return Now >= Since + SingleTime;
}

} // namespace shallotlatch
