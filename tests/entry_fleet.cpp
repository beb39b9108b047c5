#include "entry_fleet.h"

#include <algorithm>

namespace shallotlatch {

static constexpr Duration StepTime = millis(20);
static constexpr Duration StreamLife = seconds(20);
// Time in which one version serves, longer than the streams' life.
static constexpr Duration CalmTime = seconds(24);
static constexpr Duration TimeAfterKill = seconds(9);
static constexpr Duration NoticeTime = millis(1200);
static constexpr Duration RestartTime = seconds(1);
static constexpr Duration ReadWait = millis(400);
static constexpr Duration TryPause = millis(700);
static constexpr int MaxTries = 3;
static const ServiceId Service = serviceId("engines");
static const SoftwareId Old = softwareId("v1");
static const SoftwareId New = softwareId("v2");

EntryFleet::EntryFleet(const EntryPlan &Plan)
    : Plan(Plan), Random(Plan.Seed),
      Store(std::make_shared<FakeRecordStore>(Plan.Seed)),
      Hosts(Plan.Domains * Plan.HostsPerDomain) {
  for (size_t I = 0; I < this->Hosts.size(); ++I) {
    this->start(I);
  }
  this->setRoles();
  this->Versions.push_back({Old, Time()});
}

std::vector<SoftwareId> EntryFleet::seenBy(const Host &H) const {
  std::vector<SoftwareId> Seen;
  for (const ServingVersion &V : this->Versions) {
    if (this->Now >= V.From + H.Lag &&
        (V.Until == Time::max() || this->Now < V.Until + H.Lag)) {
      Seen.push_back(V.Software);
    }
  }
  return Seen;
}

bool EntryFleet::serves(SoftwareId Software) const {
  return std::any_of(this->Versions.begin(), this->Versions.end(),
                     [&](const ServingVersion &V) {
                       return V.Software == Software && this->Now >= V.From &&
                              this->Now < V.Until;
                     });
}

void EntryFleet::start(size_t Index) {
  Host &H = this->Hosts[Index];
  H.Process = std::make_unique<RecordHost>(this->Store,
                                           "h" + std::to_string(Index) + "-" +
                                               std::to_string(++H.Starts),
                                           this->Now);
  H.Process->Origins.setStreamLife(StreamLife, this->Now);
  H.Process->Services = {Service};
  H.Openings = std::make_unique<VersionOpenings>(this->Now);
  H.Lag = millis(static_cast<int64_t>(this->draw(300)));
  H.Era = this->Store->Era;
}

void EntryFleet::setRoles() {
  for (size_t First = 0; First < this->Hosts.size();
       First += this->Plan.HostsPerDomain) {
    bool HasWriter = false;
    for (size_t I = First; I < First + this->Plan.HostsPerDomain; ++I) {
      if (this->Hosts[I].Process) {
        this->Hosts[I].Process->Archive.setRole(
            {!HasWriter, false, static_cast<uint32_t>(this->Plan.Domains)});
        HasWriter = true;
      }
    }
  }
}

size_t EntryFleet::livingHost() {
  size_t Index = this->draw(this->Hosts.size());
  while (!this->Hosts[Index].Process) {
    Index = (Index + 1) % this->Hosts.size();
  }
  return Index;
}

void EntryFleet::kill(size_t Index, EntryCounts &Counts) {
  this->Hosts[Index].Process.reset();
  for (const Stream &S : this->Streams) {
    if (S.Host == Index && S.Ends > this->Now) {
      Return R;
      R.Taken = S;
      R.Age = static_cast<int>(toMillis(this->Now - S.Began) / 250);
      R.At = this->Now + this->Plan.ReturnAfter +
             millis(static_cast<int64_t>(this->draw(500)));
      this->Returns.push_back(R);
      ++Counts.Returned;
      ++Counts.ByAge[R.Age].first;
    }
  }
  this->LossNoticedAt = this->Now + NoticeTime;
}

bool EntryFleet::mayBegin(Host &H, SoftwareId Software) {
  StreamOrigins &Origins = H.Process->Origins;
  std::optional<SoftwareId> Base = Origins.base(Service, this->Now);
  return Origins.versions(Service) <= 1 ||
         (Base && (!Base->isValid() || *Base == Software)) ||
         H.Process->Archive.announcer().isAnnounced(Service, Software,
                                                    this->Now);
}

void EntryFleet::beginStream(Host &H, size_t Index, EntryCounts &Counts) {
  RecordHost &P = *H.Process;
  std::vector<SoftwareId> Seen = this->seenBy(H);
  for (SoftwareId Software : Seen) {
    P.Origins.recordServing(Service, Software, this->Now);
  }
  double Expected = this->Plan.StreamsPerHost * toSeconds(StepTime);
  if (std::uniform_real_distribution<double>(0, 1)(this->Random) >= Expected) {
    return;
  }
  std::vector<SoftwareId> Open;
  for (SoftwareId Software : Seen) {
    if (this->mayBegin(H, Software)) {
      Open.push_back(Software);
    }
  }
  if (Open.empty()) {
    return;
  }
  Stream S;
  S.Id = streamId("r" + std::to_string(++this->Number));
  S.Software = Open[this->draw(Open.size())];
  S.Host = Index;
  S.Began = this->Now;
  S.Ends = this->Now + millis(500 + static_cast<int64_t>(this->draw(12000)));
  P.Origins.recordBegun(Service, S.Id, S.Software, S.Ends + seconds(5),
                        this->Now);
  this->Streams.push_back(S);
  if (S.Software != Old) {
    ++Counts.BegunAtNew;
    this->FirstAtNew = std::min(this->FirstAtNew, this->Now);
  }
}

void EntryFleet::tell(size_t Index) {
  std::vector<StreamNote> Notes =
      this->Hosts[Index].Process->Origins.takeNotes(MaxStreamNotes, this->Now);
  size_t First = Index - Index % this->Plan.HostsPerDomain;
  for (size_t I = First; I < First + this->Plan.HostsPerDomain; ++I) {
    if (this->Hosts[I].Process) {
      this->Hosts[I].Process->Archive.add(Notes, this->Now + StreamLife);
      return;
    }
  }
}

void EntryFleet::announce(Host &H) {
  RecordHost &P = *H.Process;
  if (H.Era != this->Store->Era) {
    H.Era = this->Store->Era;
    P.Origins.forgetBases();
  }
  ServiceVersionsView View;
  View.SeenAt = P.Origins.versionsSeen(Service);
  View.Base = P.Origins.base(Service, this->Now);
  View.IsIndefinite = P.Origins.isBaseIndefinite(Service);
  View.OldestUntold = P.Origins.oldestUntold(Service);
  std::vector<SoftwareId> Seen = this->seenBy(H);
  View.Announced = P.Announced[Service];
  View.BaseServes =
      View.Base && std::count(Seen.begin(), Seen.end(), *View.Base) != 0;
  for (SoftwareId Software : H.Openings->takeDue(Service, View, this->Now)) {
    P.Archive.announcer().announce(Service, Software);
  }
  if (P.Origins.needsBases(P.Services, this->Now)) {
    P.Archive.requestBases();
  }
}

bool EntryFleet::tryReturn(Return &R, EntryCounts &Counts) {
  if (R.Reads && !this->Hosts[R.Host].Process) {
    R.Reads = false;
  }
  if (!R.Reads) {
    R.Host = this->livingHost();
    ++R.Tries;
  }
  RecordHost &P = *this->Hosts[R.Host].Process;
  std::optional<SoftwareId> Found = P.Origins.find(R.Taken.Id);
  // The store confirms the view before the only version counts.
  if (!Found && P.Origins.soleVersion(Service, this->Now)) {
    for (const ServingVersion &V : this->Versions) {
      if (V.From <= this->Now && this->Now < V.Until) {
        P.Origins.recordServing(Service, V.Software, this->Now);
      }
    }
    Found = P.Origins.soleVersion(Service, this->Now);
  }
  if (!Found && !R.Reads) {
    P.Archive.requestRead(R.Taken.Id, this->Now);
    R.Reads = true;
    R.AskedAt = this->Now;
    return false;
  }
  // A read that was under way began before the question.
  if (!Found && P.ReadAt >= R.AskedAt && P.Unrecorded.count(Service) != 0) {
    Found = P.Unrecorded[Service];
  }
  if (!Found && this->Now < R.AskedAt + ReadWait) {
    return false;
  }
  R.Reads = false;
  if (!Found || !this->serves(*Found)) {
    R.At = this->Now + TryPause;
    return R.Tries >= MaxTries;
  }
  ++Counts.GoOn;
  ++Counts.ByAge[R.Age].second;
  Counts.Wrong += *Found == R.Taken.Software ? 0 : 1;
  return true;
}

void EntryFleet::continueReturns(EntryCounts &Counts) {
  std::vector<Return> Open;
  for (Return &R : this->Returns) {
    if (this->Now < R.At || !this->tryReturn(R, Counts)) {
      Open.push_back(R);
    }
  }
  this->Returns.swap(Open);
}

void EntryFleet::step(EntryCounts &Counts) {
  this->Now += StepTime;
  this->Store->advance(this->Now);
  for (size_t I = 0; I < this->Hosts.size(); ++I) {
    Host &H = this->Hosts[I];
    if (!H.Process) {
      continue;
    }
    this->beginStream(H, I, Counts);
    if ((this->Steps + I) % 10 == 0) {
      this->tell(I);
    }
    if (this->Now >= this->LossNoticedAt) {
      H.Openings->recordHostsLost(this->Now);
    }
    this->announce(H);
    H.Process->tick(this->Now);
  }
  if (this->Now >= this->LossNoticedAt) {
    this->LossNoticedAt = Time::max();
  }
  this->continueReturns(Counts);
  ++this->Steps;
}

// At least one version serves at any time.
void EntryFleet::changeVersions() {
  std::vector<ServingVersion *> Serving;
  for (ServingVersion &V : this->Versions) {
    if (V.Until == Time::max()) {
      Serving.push_back(&V);
    }
  }
  if (Serving.size() > 1 && this->draw(2) == 0) {
    Serving[this->draw(Serving.size())]->Until = this->Now;
    return;
  }
  // One of three, which may have served before.
  SoftwareId Next = softwareId("v" + std::to_string(1 + this->draw(3)));
  if (!this->serves(Next)) {
    this->Versions.push_back({Next, this->Now});
  }
}

void EntryFleet::failStore() {
  switch (this->draw(4)) {
  case 0:
    this->Store->Now.Refuses = !this->Store->Now.Refuses;
    break;
  case 1:
    this->Store->Now.LosesWrites = this->Store->Now.LosesWrites > 0 ? 0 : 0.3;
    break;
  case 2:
    this->Store->copy();
    break;
  default:
    this->Store->restore();
  }
}

EntryCounts EntryFleet::runRandomly() {
  EntryCounts Counts;
  this->Store->copy();
  Time End = this->Now + this->Plan.RandomFor;
  Time NextChange = this->Now + seconds(22);
  Time NextFailure = NextChange;
  Time NextKill = NextChange;
  Time NextStart = NextChange;
  auto In = [this](int64_t Ms) {
    return this->Now +
           millis(static_cast<int64_t>(this->draw(static_cast<size_t>(Ms))));
  };
  while (this->Now < End) {
    size_t Living = static_cast<size_t>(
        std::count_if(this->Hosts.begin(), this->Hosts.end(),
                      [](const Host &H) { return H.Process != nullptr; }));
    if (this->Now >= NextChange) {
      NextChange = In(this->draw(3) == 0 ? 60000 : 6000);
      this->changeVersions();
    }
    if (this->Now >= NextFailure) {
      NextFailure = In(10000);
      this->failStore();
    }
    if (this->Now >= NextKill) {
      NextKill = In(6000);
      for (size_t I = this->draw(3); I > 0 && Living > 1; --I, --Living) {
        this->kill(this->livingHost(), Counts);
      }
      this->setRoles();
    }
    if (this->Now >= NextStart) {
      NextStart = In(4000);
      for (size_t I = 0; I < this->Hosts.size(); ++I) {
        if (!this->Hosts[I].Process) {
          this->start(I);
          break;
        }
      }
      this->setRoles();
    }
    this->step(Counts);
  }
  return Counts;
}

EntryCounts EntryFleet::run() {
  if (this->Plan.RandomFor.count() > 0) {
    return this->runRandomly();
  }
  EntryCounts Counts;
  Time KillAt = this->Now + CalmTime;
  this->EntersAt = KillAt + this->Plan.EntryAfter;
  this->Versions.push_back({New, this->EntersAt});
  bool Killed = false;
  bool KilledLater = this->Plan.KilledLater == 0;
  bool Restarted = !this->Plan.StartsAgain;
  uint64_t WritesBefore = 0;
  while (this->Now < KillAt + TimeAfterKill) {
    if (!Killed && this->Now >= KillAt) {
      Killed = true;
      for (size_t I = 0; I < this->Plan.Killed; ++I) {
        this->kill(I, Counts);
      }
      this->setRoles();
    }
    if (!Restarted && this->Now >= KillAt + RestartTime) {
      Restarted = true;
      for (size_t I = 0; I < this->Plan.Killed; ++I) {
        this->start(I);
      }
      this->setRoles();
    }
    if (!KilledLater && this->FirstAtNew != Time::max() &&
        this->Now >= this->FirstAtNew + this->Plan.KilledLaterAfter) {
      KilledLater = true;
      for (size_t I = 0; I < this->Plan.KilledLater; ++I) {
        this->kill(this->Hosts.size() - 1 - I, Counts);
      }
      this->setRoles();
    }
    if (this->Now < this->EntersAt) {
      WritesBefore = this->Store->Writes;
    } else if (this->Now < this->EntersAt + seconds(5)) {
      Counts.WritesAtEntry = this->Store->Writes - WritesBefore;
    }
    this->step(Counts);
  }
  if (this->FirstAtNew != Time::max()) {
    Counts.FirstAtNew = this->FirstAtNew - this->EntersAt;
  }
  Counts.MostWrites = this->Store->MostWrites;
  Counts.MostReads = this->Store->MostReads;
  return Counts;
}

} // namespace shallotlatch
