#include "run_doubts_p.h"

#include <iterator>

namespace shallotlatch {

// Time within which the close of the other connections of an ended process
// arrives: a round trip between regions and the loop's delay.
static constexpr Duration CloseSettleTime = millis(100);
// Time for which peers repeat that a target is dead. A run that was confirmed
// meanwhile is not brought in doubt again by the same news.
static constexpr Duration PeerNewsTime = seconds(2);
// With fewer runs in doubt, separate ends of processes are likely.
static constexpr size_t MinGeneralRuns = 3;

bool RunDoubts::isGeneral(size_t Count) const {
  return Count >= MinGeneralRuns && Count > this->Connected;
}

bool RunDoubts::begin(uint32_t Run, Time Now) {
  Doubt &D = this->Doubts[Run];
  bool IsNew = D.Since == Time() || !D.open();
  this->Open += IsNew ? 1 : 0;
  D = Doubt{Now, Now, Time()};
  return IsNew;
}

bool RunDoubts::suspect(uint32_t Run, Time Now) {
  return this->begin(Run, Now);
}

// The news of a peer may be older than a doubt or than its end.
bool RunDoubts::hear(uint32_t Run, Time Now) {
  auto It = this->Doubts.find(Run);
  return It == this->Doubts.end() && this->begin(Run, Now);
}

void RunDoubts::forget(uint32_t Run) {
  auto It = this->Doubts.find(Run);
  if (It != this->Doubts.end()) {
    this->Open -= It->second.open() ? 1 : 0;
    this->Doubts.erase(It);
  }
}

bool RunDoubts::confirm(uint32_t Run, Time Connected, Time Now) {
  auto It = this->Doubts.find(Run);
  if (It == this->Doubts.end() || !It->second.open() ||
      Connected >= It->second.Since ||
      Now - It->second.Since < CloseSettleTime) {
    return false;
  }
  It->second.ConfirmedAt = Now;
  --this->Open;
  return true;
}

void RunDoubts::tick(Time Now, Duration ViewAge, bool StoreReachable) {
  for (auto It = this->Doubts.begin(); It != this->Doubts.end();) {
    Doubt &D = It->second;
    if (!StoreReachable) {
      D.CountedFrom = Now;
    }
    // Compared as durations: the age has no upper limit.
    bool Outlived = ViewAge < Now - D.CountedFrom &&
                    Now - D.CountedFrom - ViewAge >= this->EntryLife;
    bool Old = !D.open() && Now - D.ConfirmedAt >= PeerNewsTime;
    if (Outlived || Old) {
      this->Open -= D.open() ? 1 : 0;
      It = this->Doubts.erase(It);
    } else {
      ++It;
    }
  }
}

bool RunDoubts::inDoubt(uint32_t Run) const {
  return this->isOpen(Run) && !this->isGeneral(this->Open);
}

bool RunDoubts::isOpen(uint32_t Run) const {
  auto It = this->Doubts.find(Run);
  return It != this->Doubts.end() && It->second.open();
}

} // namespace shallotlatch
