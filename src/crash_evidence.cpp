// The memory of the crash evidence: crashes, deaths and survivals. What follows
// from them is in crash_verdicts.cpp.
#include "crash_evidence_p.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace shallotlatch {

// Time since the last crash for which crashes below the limit are remembered.
static constexpr Duration EvidenceRetention = seconds(600);
// Time for which a cleared print is remembered, so that late reports of its
// crashes find it cleared.
static constexpr Duration ClearedRetention = seconds(30);
// Length of the periods of which survivals are remembered, the present and the
// former one.
static constexpr Duration SurvivalPeriod = seconds(300);
static constexpr size_t MaxSurvivals = 4096;
// Survivals of any request that are remembered with their times; more than the
// largest number that a verdict asks for.
static constexpr size_t MaxRecentSurvivals = 64;
static constexpr size_t MaxEntries = 1024;
// Crashes kept of one print. The longest quarantine takes nine moments, so most
// of the room is for the targets of one burst.
static constexpr size_t MaxCrashes = 64;
// Targets of which the prints are remembered: the crashes of two seconds at
// 1,000 a second.
static constexpr size_t MaxDeaths = 2048;

void CrashEvidence::changed(Entry &E, Time Now) {
  E.Changed = Now;
  this->Stale = true;
  ++this->Version;
}

void CrashEvidence::setSurvived(Entry &E, Time At, Time Now) {
  bool WasCleared = E.cleared();
  E.SurvivedAt = std::max(E.SurvivedAt, At);
  if (!WasCleared) {
    this->changed(E, Now);
  }
}

// Refused prints have no new crashes, so by age alone they would give way to
// the contents of unrelated requests.
void CrashEvidence::evictEntry() {
  auto Oldest = std::min_element(
      this->Entries.begin(), this->Entries.end(),
      [](const auto &A, const auto &B) {
        return std::make_pair(A.second.Convicted, A.second.lastCrash()) <
               std::make_pair(B.second.Convicted, B.second.lastCrash());
      });
  this->Entries.erase(Oldest);
  this->Stale = true;
}

CrashEvidence::Entry &CrashEvidence::entry(Fingerprint Print, Time Now) {
  auto It = this->Entries.find(Print);
  if (It != this->Entries.end()) {
    return It->second;
  }
  if (this->Entries.size() >= MaxEntries) {
    this->evictEntry();
  }
  Entry &E = this->Entries[Print];
  for (const auto *Known : {&this->Survivals, &this->OlderSurvivals}) {
    auto Survival = Known->find(Print);
    if (Survival != Known->end()) {
      E.SurvivedAt = std::max(E.SurvivedAt, Survival->second);
    }
  }
  this->changed(E, Now);
  return E;
}

// Drops one crash: the second of the moment with most targets, or the oldest if
// each moment has only one. The first crash of a moment shows that moments are
// separate, and the last one tells how long a quarantine lasts.
void CrashEvidence::thin(std::vector<CrashRecord> &Crashes) {
  size_t Start = 0;
  size_t Densest = 0;
  size_t MostTargets = 1;
  for (size_t I = 1; I + 1 < Crashes.size(); ++I) {
    if (Crashes[I].SentAt >= Crashes[Start].BrokenAt) {
      Start = I;
    }
    if (I - Start + 1 > MostTargets) {
      MostTargets = I - Start + 1;
      Densest = Start + 1;
    }
  }
  Crashes.erase(Crashes.begin() + static_cast<std::ptrdiff_t>(Densest));
}

// Returns whether it was not known that the target ran the print.
bool CrashEvidence::recordDeath(Fingerprint Print, const CrashRecord &Crash) {
  auto It = this->Deaths.find(Crash.Target);
  if (It == this->Deaths.end()) {
    if (this->Deaths.size() >= MaxDeaths) {
      this->Deaths.erase(
          std::min_element(this->Deaths.begin(), this->Deaths.end(),
                           [](const auto &A, const auto &B) {
                             return A.second.BrokenAt < B.second.BrokenAt;
                           }));
    }
    It = this->Deaths.emplace(Crash.Target, Death{Crash.BrokenAt, {}}).first;
  }
  Death &D = It->second;
  D.BrokenAt = std::min(D.BrokenAt, Crash.BrokenAt);
  if (std::find(D.Prints.begin(), D.Prints.end(), Print) != D.Prints.end()) {
    return false;
  }
  D.Prints.push_back(Print);
  return true;
}

// A crash that passes through several hosts seems later than it was by the time
// under way, so the earliest time reported is taken.
bool CrashEvidence::insertCrash(Fingerprint Print, const CrashRecord &Crash,
                                Time Now) {
  Entry &E = this->entry(Print, Now);
  bool IsNew = this->recordDeath(Print, Crash);
  CrashRecord Added = Crash;
  auto Known = std::find_if(
      E.Crashes.begin(), E.Crashes.end(),
      [&](const CrashRecord &C) { return C.Target == Crash.Target; });
  if (Known != E.Crashes.end()) {
    IsNew = false;
    if (Crash.Contrasted && !Known->Contrasted) {
      Known->Contrasted = true;
      this->Stale = true;
    }
    if (Crash.BrokenAt >= Known->BrokenAt) {
      return false;
    }
    Added.Contrasted = Known->Contrasted;
    E.Crashes.erase(Known);
  } else if (!IsNew) {
    return false; // It was left out for want of room.
  }
  auto Later = [](Time At, const CrashRecord &C) { return At < C.BrokenAt; };
  E.Crashes.insert(std::upper_bound(E.Crashes.begin(), E.Crashes.end(),
                                    Added.BrokenAt, Later),
                   Added);
  if (E.Crashes.size() > MaxCrashes) {
    thin(E.Crashes);
  }
  if (IsNew) {
    this->changed(E, Now);
  }
  this->Stale = true;
  return IsNew;
}

bool CrashEvidence::addCrash(Fingerprint Print, const CrashRecord &Crash,
                             Time Now) {
  this->entry(Print, Now).SeenHere = Now;
  return this->insertCrash(Print, Crash, Now);
}

void CrashEvidence::addSurvival(const CrashPrints &Prints, Time At, Time Now) {
  if (Now - this->SurvivalsSince > SurvivalPeriod ||
      this->Survivals.size() >= MaxSurvivals) {
    this->OlderSurvivals.swap(this->Survivals);
    this->Survivals.clear();
    this->SurvivalsSince = Now;
  }
  this->RecentSurvivals.push_back(At);
  if (this->RecentSurvivals.size() > MaxRecentSurvivals) {
    this->RecentSurvivals.pop_front();
  }
  for (Fingerprint Print : Prints) {
    Time &Last = this->Survivals[Print];
    Last = std::max(Last, At);
    auto It = this->Entries.find(Print);
    if (It != this->Entries.end()) {
      this->setSurvived(It->second, At, Now);
    }
  }
}

void CrashEvidence::merge(const CrashReport &Report, Time Now,
                          std::set<uint32_t> &NewTargets) {
  for (const ReportedCrash &C : Report.Crashes) {
    if (C.SinceBroken > EvidenceRetention) {
      continue;
    }
    if (this->insertCrash(Report.Print,
                          {C.Target, Now - std::max(C.SinceSent, C.SinceBroken),
                           Now - C.SinceBroken, C.Contrasted},
                          Now)) {
      NewTargets.insert(C.Target);
    }
  }
  auto It = this->Entries.find(Report.Print);
  if (It == this->Entries.end()) {
    return;
  }
  Entry &E = It->second;
  Time ReportedSurvival = Report.Survived ? Now - Report.SinceSurvived : Time();
  if (E.cleared() && ReportedSurvival < E.lastCrash()) {
    this->changed(E, Now); // The peer does not know that it is cleared.
  }
  if (Report.Survived) {
    this->setSurvived(E, ReportedSurvival, Now);
  }
}

// A print stays known for as long after the end of its quarantine as it takes
// to try it again.
void CrashEvidence::expire(Time Now) {
  for (auto It = this->Entries.begin(); It != this->Entries.end();) {
    const Entry &E = It->second;
    Time Until = E.cleared() ? E.SurvivedAt + ClearedRetention
                             : E.lastCrash() + EvidenceRetention;
    if (Now >= Until && E.Convicted && !E.cleared()) {
      Until = this->quarantineEnd(It->first, E, Now) + EvidenceRetention;
    }
    if (Now < Until) {
      ++It;
    } else {
      this->Trials.erase(It->first);
      It = this->Entries.erase(It);
      this->Stale = true;
    }
  }
  for (auto It = this->Deaths.begin(); It != this->Deaths.end();) {
    bool Old = Now - It->second.BrokenAt > EvidenceRetention;
    It = Old ? this->Deaths.erase(It) : std::next(It);
  }
}

} // namespace shallotlatch
