#include "crash_counts_p.h"

#include <algorithm>

namespace shallotlatch {

// Number of random peers to which each change is sent.
static constexpr uint32_t GossipFanout = 3;
static constexpr size_t MaxEntries = 4096;
// A crash counts two halves, or one if it came after the first token.
static constexpr uint32_t HalvesPerCrash = 2;

CrashCounts::CrashCounts(NodeEnv &Env, Membership &Members)
    : Env(Env), Members(Members) {}

uint32_t CrashCounts::halves(const Entry &E) const {
  uint32_t Sum = 0;
  for (const auto &Item : E.Slots) {
    Sum += Item.second.Epoch == E.Epoch ? Item.second.Halves : 0;
  }
  return Sum;
}

void CrashCounts::gossip(const CrashCount &C) {
  for (HostId Peer : this->Members.randomPeers(GossipFanout)) {
    this->Env.outboxFor(Peer).CrashCounts.push_back(C);
  }
}

void CrashCounts::updateOwnSlot(Fingerprint Print, uint32_t Halves,
                                bool NewEpoch) {
  Entry &E = this->Entries[Print];
  E.Epoch += NewEpoch ? 1 : 0;
  E.Changed = this->Env.Now;
  CrashCount &Slot = E.Slots[this->Env.Self];
  Slot.Print = Print;
  Slot.Host = this->Env.Self;
  Slot.Halves = Slot.Epoch == E.Epoch ? Slot.Halves + Halves : Halves;
  Slot.Epoch = E.Epoch;
  this->gossip(Slot);
}

void CrashCounts::recordCrash(Fingerprint Print, bool AfterFirstToken) {
  this->updateOwnSlot(Print, AfterFirstToken ? 1 : HalvesPerCrash, false);
}

void CrashCounts::recordCompletion(Fingerprint Print) {
  auto It = this->Entries.find(Print);
  if (It != this->Entries.end() && this->halves(It->second) > 0) {
    this->updateOwnSlot(Print, 0, true);
  }
}

void CrashCounts::clear(Fingerprint Print) {
  this->updateOwnSlot(Print, 0, true);
}

bool CrashCounts::quarantined(Fingerprint Print) const {
  auto It = this->Entries.find(Print);
  if (It == this->Entries.end() || !this->Env.ActiveConfig) {
    return false;
  }
  return this->halves(It->second) >=
         HalvesPerCrash * this->Env.ActiveConfig->Policy.QuarantineCrashes;
}

void CrashCounts::onCount(const CrashCount &C) {
  if (this->Entries.size() >= MaxEntries && this->Entries.count(C.Print) == 0) {
    return;
  }
  Entry &E = this->Entries[C.Print];
  CrashCount &Slot = E.Slots[C.Host];
  bool Newer = !Slot.Print.isValid() || C.Epoch > Slot.Epoch ||
               (C.Epoch == Slot.Epoch && C.Halves > Slot.Halves);
  if (!Newer) {
    return;
  }
  Slot = C;
  E.Epoch = std::max(E.Epoch, C.Epoch);
  E.Changed = this->Env.Now;
  this->gossip(C);
}

// Each host removes old entries by itself. A removed entry may return from a
// peer and is then removed again, at most one quarantine time later.
void CrashCounts::tick() {
  if (!this->Env.ActiveConfig) {
    return;
  }
  Duration Keep = this->Env.ActiveConfig->Policy.QuarantineTime;
  for (auto It = this->Entries.begin(); It != this->Entries.end();) {
    bool Old = this->Env.Now - It->second.Changed > Keep;
    It = Old ? this->Entries.erase(It) : std::next(It);
  }
}

void CrashCounts::setTargetLeaving(TargetId Target, bool Leaving) {
  TargetStatusUpdate &N = this->Notes[Target];
  if (N.Version != 0 ? N.Leaving == Leaving : !Leaving) {
    return;
  }
  N.Target = Target;
  ++N.Version;
  N.Leaving = Leaving;
  ++this->NotesEpoch;
  for (HostId Peer : this->Members.randomPeers(GossipFanout)) {
    this->Env.outboxFor(Peer).TargetStatusUpdates.push_back(N);
  }
}

void CrashCounts::onNote(const TargetStatusUpdate &N) {
  TargetStatusUpdate &Known = this->Notes[N.Target];
  if (N.Version <= Known.Version) {
    return;
  }
  Known = N;
  ++this->NotesEpoch;
  for (HostId Peer : this->Members.randomPeers(GossipFanout)) {
    this->Env.outboxFor(Peer).TargetStatusUpdates.push_back(N);
  }
}

bool CrashCounts::leaving(TargetId Target) const {
  auto It = this->Notes.find(Target);
  return It != this->Notes.end() && It->second.Leaving;
}

uint64_t CrashCounts::digest() const {
  uint64_t Sum = 0;
  for (const auto &Item : this->Entries) {
    for (const auto &Slot : Item.second.Slots) {
      const CrashCount &C = Slot.second;
      Sum += hashPair(hashPair(C.Print.Value, C.Host.Value),
                      (uint64_t(C.Epoch) << 32) | C.Halves);
    }
  }
  for (const auto &Item : this->Notes) {
    Sum += hashPair(Item.first.Value, Item.second.Version);
  }
  return Sum;
}

void CrashCounts::sendAll(HostId To) {
  PeerBatch &Batch = this->Env.outboxFor(To);
  for (const auto &Item : this->Entries) {
    for (const auto &Slot : Item.second.Slots) {
      Batch.CrashCounts.push_back(Slot.second);
    }
  }
  for (const auto &Item : this->Notes) {
    Batch.TargetStatusUpdates.push_back(Item.second);
  }
}

std::vector<CrashStats> CrashCounts::stats() const {
  std::vector<CrashStats> All;
  for (const auto &Item : this->Entries) {
    All.push_back(CrashStats{Item.first, this->halves(Item.second),
                             this->quarantined(Item.first)});
  }
  return All;
}

} // namespace shallotlatch
