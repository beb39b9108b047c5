// Which prints are refused by the crash evidence, and what peers are told.
#include "crash_evidence_p.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

namespace shallotlatch {

// A print on which targets completed answers before is refused only after this
// many times the limit.
static constexpr uint32_t SurvivorFactor = 2;
// Crashes that no other refused print accounts for, from which on one is
// refused too: one may be the loss of a target.
static constexpr uint32_t MinOwnCrashes = 2;
// Or this many times the limit: if many parts crash all targets, each target
// has run several of them.
static constexpr uint32_t SharedFactor = 3;
// Factor by which a quarantine grows with each crash beyond the limit.
static constexpr int QuarantineGrowth = 4;
static constexpr Duration MaxQuarantine = seconds(3600);
// Share of a quarantine after which the first hosts end it.
static constexpr double MinQuarantineShare = 0.5;
// Hosts end a quarantine by the leading zero bits of a draw, so few do so
// early, however many there are; one in 1,024 draws more than this.
static constexpr double MaxDrawnBits = 10;
// Time after a break for which only the first target of a moment counts: the
// survivals that peers saw arrive within two exchanges, most within 0.5 s.
static constexpr Duration SettleTime = seconds(1);
// Age of survivals that show that others than a moment's targets lived.
static constexpr Duration ContrastAge = seconds(10);
// Survivals that this takes for each target that broke without the print, and
// the largest number asked for. If the print was on a share f of the targets by
// chance, no survival with it among 5 / f has a probability below e^-5.
static constexpr size_t SurvivalsPerBreak = 5;
static constexpr size_t MaxContrast = 20;
// Evidence of more targets is evaluated no more often than this.
static constexpr size_t ManyDeaths = 64;
static constexpr Duration ConvictInterval = millis(20);
// Time after which another request is let through if the outcome of the one
// before is not known. Discovery of a death takes no longer.
static constexpr Duration TrialTime = seconds(10);
// Time for which news are part of every report.
static constexpr Duration NewsTime = seconds(2);
// Crashes reported of one print.
static constexpr size_t MaxReportedCrashes = 8;
// Prints in one report: with news, by kind; refused ones in turns, others in
// turns.
static constexpr std::array<size_t, 4> NewsReports = {4, 4, 2, 2};
static constexpr size_t RefusedReports = 4;
static constexpr size_t RepeatedReports = 1;

bool CrashEvidence::explained(Fingerprint Print, uint32_t Target) const {
  auto It = this->Deaths.find(Target);
  return It != this->Deaths.end() &&
         std::any_of(It->second.Prints.begin(), It->second.Prints.end(),
                     [&](Fingerprint Other) {
                       return Other != Print &&
                              this->Convicted.count(Other) != 0;
                     });
}

// Requests that were under way together may have broken for one reason. One
// that was sent after a crash and broke as well is another event, however soon.
CrashEvidence::Tally CrashEvidence::tally(Fingerprint Print, const Entry &E,
                                          Time Now) const {
  Tally T;
  size_t Start = SIZE_MAX;
  T.MomentOfCrash.assign(E.Crashes.size(), SIZE_MAX);
  for (size_t I = 0; I < E.Crashes.size(); ++I) {
    const CrashRecord &C = E.Crashes[I];
    bool Explained = this->explained(Print, C.Target);
    if (C.BrokenAt <= E.SurvivedAt || (Explained && E.survived())) {
      continue;
    }
    T.Own += Explained ? 0 : 1;
    bool Separate = Start == SIZE_MAX || C.SentAt >= E.Crashes[Start].BrokenAt;
    ++T.Targets;
    T.Signature += hashPair(C.Target, 0);
    if (Separate) {
      ++T.Moments;
      Start = I;
    } else if (C.Contrasted && !E.survived()) {
      bool Settled = Now - C.BrokenAt >= SettleTime;
      T.Further += Settled ? 1 : 0;
      T.SettlesAt = Settled ? T.SettlesAt
                            : std::min(T.SettlesAt, C.BrokenAt + SettleTime);
    }
    T.MomentOfCrash[I] = Start;
  }
  return T;
}

// Whether requests without the print lived through a moment in which targets
// with it died. If more others died, and not under another suspect, a failure
// domain may be lost or this host cut off: then only answers after that count,
// and the more the smaller the print's part in it.
bool CrashEvidence::contrasted(Fingerprint Print, Time First, Time Last,
                               Time Now) const {
  size_t With = 0;
  size_t Without = 0;
  for (const auto &Item : this->Deaths) {
    const Death &D = Item.second;
    if (D.BrokenAt < First || D.BrokenAt > Last) {
      continue;
    }
    bool Holds =
        std::find(D.Prints.begin(), D.Prints.end(), Print) != D.Prints.end();
    ++(Holds ? With : Without);
  }
  size_t Needed =
      SurvivalsPerBreak * (With + Without) / std::max<size_t>(With, 1);
  Needed = std::min(Needed, MaxContrast);
  Time Since = Without <= With ? Now - ContrastAge : Last;
  size_t Lived = static_cast<size_t>(
      std::count_if(this->RecentSurvivals.begin(), this->RecentSurvivals.end(),
                    [Since](Time At) { return At > Since; }));
  return Lived >= Needed;
}

void CrashEvidence::markContrast(Fingerprint Print, Entry &E, Time Now) {
  Tally T = this->tally(Print, E, Now);
  if (E.survived() || T.Targets == T.Moments) {
    return;
  }
  for (size_t I = 0; I < E.Crashes.size();) {
    size_t Start = T.MomentOfCrash[I];
    size_t End = I + 1;
    bool Open = false;
    Time Last = E.Crashes[I].BrokenAt;
    for (; End < E.Crashes.size() &&
           (T.MomentOfCrash[End] == Start || T.MomentOfCrash[End] == SIZE_MAX);
         ++End) {
      Open = Open || !E.Crashes[End].Contrasted;
      Last = E.Crashes[End].BrokenAt;
    }
    if (Start != SIZE_MAX && Open &&
        this->contrasted(Print, E.Crashes[Start].BrokenAt, Last, Now)) {
      for (size_t K = I; K < End; ++K) {
        E.Crashes[K].Contrasted = true;
      }
    }
    I = End;
  }
}

uint32_t CrashEvidence::limitHalves(const Entry &E) const {
  return 2 * this->Init.Limit * (E.survived() ? SurvivorFactor : 1);
}

uint32_t CrashEvidence::crashCount(Fingerprint Print, Time Now) const {
  auto It = this->Entries.find(Print);
  return It == this->Entries.end()
             ? 0
             : this->tally(Print, It->second, Now).halves() / 2;
}

Time CrashEvidence::quarantineEnd(Fingerprint Print, const Entry &E,
                                  Time Now) const {
  Duration Length = this->Init.Quarantine;
  for (uint32_t Count = this->tally(Print, E, Now).halves() / 2;
       Count > this->Init.Limit && Length < MaxQuarantine; --Count) {
    Length *= QuarantineGrowth;
  }
  Length = std::min(Length, MaxQuarantine);
  double Draw = std::ldexp(
      static_cast<double>(hashPair(this->Init.Seed, Print.Value) >> 11) + 1,
      -53);
  double Bits = std::min(-std::log2(Draw), MaxDrawnBits);
  double Share = 1 - (1 - MinQuarantineShare) * Bits / MaxDrawnBits;
  return E.lastCrash() + Duration(static_cast<int64_t>(
                             static_cast<double>(Length.count()) * Share));
}

// Suspects are taken in the order of their evidence, those that no target
// survived first. One that some targets survived is left with the crashes that
// no print refused before it accounts for. Of the others a few such crashes are
// enough: parts that crash targets at the same time share some of them. So the
// work grows with the number of crashes, not with the square of the number of
// suspects.
void CrashEvidence::convict(Time Now) {
  this->Stale = false;
  this->ConvictedAt = Now;
  this->SettlesAt = Time::max();
  this->Convictions.clear();
  this->Convicted.clear();
  struct Suspect {
    bool Survived;
    uint32_t Targets;
    uint64_t Signature;
    Fingerprint Print;
  };
  std::vector<Suspect> Suspects;
  this->Suspected.clear();
  for (const auto &Item : this->Entries) {
    if (!Item.second.survived() &&
        Item.second.Crashes.size() >= this->Init.Limit) {
      this->Suspected.insert(Item.first);
    }
  }
  for (auto &Item : this->Entries) {
    Entry &E = Item.second;
    E.Convicted = false;
    E.Explained = false;
    if (E.Crashes.empty() || E.cleared()) {
      continue;
    }
    this->markContrast(Item.first, E, Now);
    Tally T = this->tally(Item.first, E, Now);
    this->SettlesAt = std::min(this->SettlesAt, T.SettlesAt);
    if (T.halves() >= this->limitHalves(E)) {
      Suspects.push_back({E.survived(), T.Targets, T.Signature, Item.first});
    }
  }
  std::sort(
      Suspects.begin(), Suspects.end(), [](const Suspect &A, const Suspect &B) {
        return std::make_tuple(A.Survived, ~A.Targets, A.Signature, A.Print) <
               std::make_tuple(B.Survived, ~B.Targets, B.Signature, B.Print);
      });
  for (size_t I = 0; I < Suspects.size();) {
    Conviction C;
    const Suspect &First = Suspects[I];
    for (; I < Suspects.size() && Suspects[I].Survived == First.Survived &&
           Suspects[I].Signature == First.Signature;
         ++I) {
      C.Prints.push_back(Suspects[I].Print);
    }
    Entry &E = this->Entries.at(C.Prints.front());
    Tally T = this->tally(C.Prints.front(), E, Now);
    uint32_t Needed = this->limitHalves(E);
    if (T.halves() < Needed ||
        (T.Own < MinOwnCrashes && T.halves() < SharedFactor * Needed)) {
      continue;
    }
    C.Until = this->quarantineEnd(C.Prints.front(), E, Now);
    for (Fingerprint Print : C.Prints) {
      this->Entries.at(Print).Convicted = true;
    }
    this->Convicted.insert(C.Prints.begin(), C.Prints.end());
    this->Convictions.push_back(std::move(C));
  }
  for (auto &Item : this->Entries) {
    Item.second.Explained =
        !this->Convicted.empty() && !Item.second.Convicted &&
        std::all_of(Item.second.Crashes.begin(), Item.second.Crashes.end(),
                    [&](const CrashRecord &R) {
                      return this->explained(Item.first, R.Target);
                    });
  }
}

void CrashEvidence::refresh(Time Now) {
  bool Due = this->Deaths.size() < ManyDeaths ||
             Now - this->ConvictedAt >= ConvictInterval;
  if ((this->Stale && Due) || Now >= this->SettlesAt) {
    this->convict(Now);
  }
}

// The same request asks several times on its way to a target.
bool CrashEvidence::isTrial(const Conviction &C, const CrashPrints &Prints,
                            Time Now) {
  uint64_t Request = 0;
  for (Fingerprint Print : Prints) {
    Request = hashPair(Request, Print.Value);
  }
  Trial &T = this->Trials[C.Prints.front()];
  if (T.At == Time() || Now - T.At > TrialTime) {
    T = {Request, Now};
  }
  return T.Request == Request;
}

bool CrashEvidence::isQuarantined(const CrashPrints &Prints, Time Now) {
  this->refresh(Now);
  return std::any_of(
      this->Convictions.begin(), this->Convictions.end(),
      [&](const Conviction &C) {
        bool HoldsAll = std::all_of(
            C.Prints.begin(), C.Prints.end(), [&](Fingerprint Print) {
              return std::find(Prints.begin(), Prints.end(), Print) !=
                     Prints.end();
            });
        return HoldsAll && (Now < C.Until || !this->isTrial(C, Prints, Now));
      });
}

size_t CrashEvidence::quarantineCount(Time Now) {
  this->refresh(Now);
  return static_cast<size_t>(
      std::count_if(this->Convictions.begin(), this->Convictions.end(),
                    [Now](const Conviction &C) { return Now < C.Until; }));
}

// The first crash of each moment, the newest one, and others of the moments as
// far as there is room: enough for the receiver to come to the same verdict.
CrashReport CrashEvidence::makeReport(Fingerprint Print, const Entry &E,
                                      Time Now) const {
  CrashReport R;
  R.Print = Print;
  Tally T = this->tally(Print, E, Now);
  std::vector<std::pair<int, size_t>> Order;
  for (size_t I = 0; I < E.Crashes.size(); ++I) {
    bool First = T.MomentOfCrash[I] == I;
    bool Newest = I + 1 == E.Crashes.size();
    bool Counted = T.MomentOfCrash[I] != SIZE_MAX;
    Order.emplace_back(Newest ? 0 : First ? 1 : Counted ? 2 : 3, I);
  }
  std::sort(Order.begin(), Order.end());
  Order.resize(std::min(Order.size(), MaxReportedCrashes));
  for (const auto &Item : Order) {
    const CrashRecord &C = E.Crashes[Item.second];
    R.Crashes.push_back(
        {C.Target, Now - C.SentAt, Now - C.BrokenAt, C.Contrasted});
  }
  R.Survived = E.survived();
  R.SinceSurvived = R.Survived ? Now - E.SurvivedAt : Duration(0);
  return R;
}

// News go first. Each kind has its share, so that none waits for another:
// prints whose crashes this host saw, which no other host can report; suspects;
// prints that targets survived; and the rest, mostly contents of single
// requests. In each kind the ones reported longest ago go first. Refused prints
// take turns, so that a host that starts learns all of them. The other prints
// do too, for a host that missed them.
std::vector<Fingerprint> CrashEvidence::chooseReported(Time Now) {
  using Turn = std::pair<uint64_t, Fingerprint>;
  std::array<std::vector<Turn>, NewsReports.size()> News;
  std::vector<Turn> Refused;
  for (const auto &Item : this->Entries) {
    const Entry &E = Item.second;
    if (Now - E.Changed < NewsTime && !E.Explained) {
      size_t Kind = Now - E.SeenHere < NewsTime ? 0
                    : E.Crashes.size() < 2      ? 3
                    : E.survived()              ? 2
                                                : 1;
      News[Kind].emplace_back(E.LastReport, Item.first);
    }
    if (E.Convicted) {
      Refused.emplace_back(E.LastReport, Item.first);
    }
  }
  std::vector<Fingerprint> Chosen;
  for (size_t Kind = 0; Kind < News.size(); ++Kind) {
    std::sort(News[Kind].begin(), News[Kind].end());
    News[Kind].resize(std::min(News[Kind].size(), NewsReports[Kind]));
    for (const Turn &Item : News[Kind]) {
      Chosen.push_back(Item.second);
    }
  }
  std::sort(Refused.begin(), Refused.end());
  // The number varies, since with a fixed one a receiver of every second report
  // might get the same half of the prints each time.
  size_t Room = RefusedReports + (hashPair(this->Reports, 0) & 1);
  Refused.resize(std::min(Refused.size(), Room));
  for (const Turn &Item : Refused) {
    Chosen.push_back(Item.second);
  }
  for (size_t I = 0; I < std::min(RepeatedReports, this->Entries.size()); ++I) {
    auto Next = this->Entries.upper_bound(this->NextRepeated);
    Next = Next == this->Entries.end() ? this->Entries.begin() : Next;
    this->NextRepeated = Next->first;
    Chosen.push_back(Next->first);
  }
  return Chosen;
}

std::vector<CrashReport> CrashEvidence::report(Time Now) {
  this->expire(Now);
  this->refresh(Now);
  ++this->Reports;
  std::vector<CrashReport> Reports;
  std::set<Fingerprint> Listed;
  for (Fingerprint Print : this->chooseReported(Now)) {
    Entry &E = this->Entries.at(Print);
    if (Listed.insert(Print).second) {
      E.LastReport = this->Reports;
      Reports.push_back(this->makeReport(Print, E, Now));
    }
  }
  return Reports;
}

} // namespace shallotlatch
