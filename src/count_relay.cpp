#include "count_relay_p.h"

#include <algorithm>

namespace shallotlatch {

// Messages that contain a change. Two in a row are seldom lost.
static constexpr uint8_t SendsOfChange = 2;
// Number of messages in which every host is sent whole once, so that a receiver
// that missed a change, or is new, catches up.
static constexpr uint32_t MessagesPerRound = 12;
// Largest number of customers' counts in one message, so that it fits into a
// datagram. What finds no room follows in the next messages.
static constexpr size_t MaxCounts = 1200;

void CountRelay::record(HostId Host, uint64_t Run,
                        const std::vector<CustomerUse> &Customers, Time Now) {
  ReportedHost &R = this->Hosts[Host];
  if (R.Run != Run) {
    R = ReportedHost();
    R.Run = Run;
    R.WholeSendsLeft = SendsOfChange;
  }
  R.LastReport = Now;
  for (const CustomerUse &Use : Customers) {
    Count &C = R.Customers[Use.Customer];
    if (Use.Admitted > C.Admitted) {
      C.Admitted = Use.Admitted;
      C.SendsLeft = SendsOfChange;
    }
  }
}

HostCounts CountRelay::take(HostId Host, ReportedHost &Reported, size_t &Room) {
  HostCounts Entry;
  Entry.Host = Host;
  Entry.Run = Reported.Run;
  Entry.Whole =
      Reported.WholeSendsLeft > 0 && Reported.Customers.size() <= Room;
  Reported.WholeSendsLeft -= Entry.Whole ? 1 : 0;
  for (auto &Item : Reported.Customers) {
    Count &C = Item.second;
    if (Room == 0 || (!Entry.Whole && C.SendsLeft == 0)) {
      continue;
    }
    --Room;
    C.SendsLeft -= C.SendsLeft > 0 ? 1 : 0;
    Entry.Customers.push_back({Item.first, C.Admitted});
  }
  return Entry;
}

std::vector<HostCounts> CountRelay::collect(Time Now, Duration Timeout) {
  std::vector<HostCounts> Entries;
  size_t Room = MaxCounts;
  uint32_t Index = 0;
  ++this->Messages;
  for (auto It = this->Hosts.begin(); It != this->Hosts.end();) {
    if (Now - It->second.LastReport >= Timeout) {
      It = this->Hosts.erase(It);
      continue;
    }
    ++Index;
    if ((Index + this->Messages) % MessagesPerRound == 0) {
      It->second.WholeSendsLeft =
          std::max<uint8_t>(It->second.WholeSendsLeft, 1);
    }
    Entries.push_back(CountRelay::take(It->first, It->second, Room));
    ++It;
  }
  return Entries;
}

void CountRelay::restart() {
  for (auto &Item : this->Hosts) {
    Item.second.WholeSendsLeft = SendsOfChange;
  }
}

bool RelayedHosts::accept(const HostCounts &Counts, Time Now) {
  RelayedHost &R = this->Hosts[Counts.Host];
  if (Counts.Whole) {
    R.WholeRun = Counts.Run;
  }
  if (R.WholeRun != Counts.Run) {
    return false;
  }
  R.LastHeard = Now;
  return true;
}

Time RelayedHosts::lastHeard(HostId Host) const {
  auto It = this->Hosts.find(Host);
  return It == this->Hosts.end() ? Time() : It->second.LastHeard;
}

} // namespace shallotlatch
