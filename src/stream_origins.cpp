#include "stream_origins_p.h"

#include <algorithm>

namespace shallotlatch {

static constexpr Duration PruneInterval = seconds(1);
// Largest number of streams that are kept. Beyond it the new ones are dropped,
// and cannot go on while several versions serve.
static constexpr size_t MaxKnown = 100000;

// Life of streams while no configuration is known.
static constexpr Duration UnconfiguredLife = seconds(60);
// A peer's life that is longer by less than this is ignored: the time in
// transit makes each life that is passed on a little longer, without end.
static constexpr Duration LifeTolerance = millis(500);
// Shortest and longest interval between questions for histories. After many
// hosts have started at once none knows them, so the interval doubles.
static constexpr Duration MinHistoryAskInterval = millis(250);
static constexpr Duration MaxHistoryAskInterval = seconds(4);

StreamId streamId(std::string_view RequestId) {
  return StreamId{static_cast<uint32_t>(hash64(RequestId)) | 1U};
}

// `streamId` returns odd numbers only.
StreamId historyId(ServiceId Service) { return StreamId{Service.Value & ~1U}; }

static void extend(Time &Until, Time Next) { Until = std::max(Until, Next); }

// A stream keeps the time limit of the configuration that it began under.
void StreamOrigins::setStreamLife(Duration Next, Time Now) {
  if (this->Life) {
    this->EarlierLifeEnd = this->lifeEnd(Now);
  } else {
    this->UnseenLifeEnd = std::max(this->EarlierLifeEnd, this->Start + Next);
  }
  this->Life = Next;
}

Time StreamOrigins::lifeEnd(Time Now) const {
  return std::max(this->EarlierLifeEnd,
                  Now + this->Life.value_or(UnconfiguredLife));
}

Duration StreamOrigins::longestLife(Time Now) const {
  return this->Life ? this->lifeEnd(Now) - Now : Duration(0);
}

// A process that started after a configuration was replaced learns from its
// peers how long the streams of that configuration last.
void StreamOrigins::mergeLife(Duration PeerLife, Time Now) {
  if (PeerLife < this->longestLife(Now) + LifeTolerance) {
    return;
  }
  this->EarlierLifeEnd = Now + PeerLife;
  if (Now < this->UnseenLifeEnd) {
    extend(this->UnseenLifeEnd, this->EarlierLifeEnd);
  }
}

SoftwareId VersionSet::baseIn(uint64_t CurrentEra) const {
  if (this->Era != CurrentEra) {
    return SoftwareId();
  }
  return this->IsComplete && this->Versions.size() == 1
             ? *this->Versions.begin()
             : this->Base;
}

// A version that was the only one becomes the base version of the others.
void StreamOrigins::addVersion(ServiceId Service, SoftwareId Software,
                               Time Until, Time Now) {
  std::optional<SoftwareId> Sole = this->soleVersion(Service, Now);
  ServiceHistory &History = this->Histories[Service];
  if (Sole && *Sole != Software) {
    History.Base = Sole;
  } else if (History.Versions.size() == 1 &&
             History.Versions.count(Software) == 0) {
    History.Base.reset();
    History.BaseWasRead = false;
  }
  extend(History.Versions[Software], Until);
  History.SeenAt.try_emplace(Software, Now);
}

void StreamOrigins::recordServing(ServiceId Service, SoftwareId Software,
                                  Time Now) {
  this->addVersion(Service, Software, this->lifeEnd(Now), Now);
}

void StreamOrigins::recordBegun(ServiceId Service, StreamId Stream,
                                SoftwareId Software, Time Until, Time Now) {
  extend(this->EarlierLifeEnd, Until);
  this->addVersion(Service, Software, Until, Now);
  if (this->Known.size() >= MaxKnown) {
    return;
  }
  Entry &E = this->Known[Stream];
  E.Software = Software;
  E.Service = Service;
  E.Began = Now;
  extend(E.Until, std::max(Until, Now + this->Life.value_or(UnconfiguredLife)));
  this->Unsent.push_back(Stream);
}

// The version does not enter the history of the service, which would keep
// streams from going on that are known to have begun at its only version.
void StreamOrigins::recordUndecided(StreamId Stream, Time Until, Time Now) {
  extend(this->EarlierLifeEnd, Until);
  if (this->Known.size() < MaxKnown) {
    Entry &E = this->Known[Stream];
    E.Software = UndecidedSoftware;
    extend(E.Until, std::max(Until, this->lifeEnd(Now)));
    this->Unsent.push_back(Stream);
  }
}

void StreamOrigins::merge(const std::vector<StreamNote> &Notes, Time Now) {
  for (const StreamNote &Note : Notes) {
    bool IsStream = (Note.Stream.Value & 1U) != 0;
    if (!IsStream || Note.IsGuess || !Note.Software.isValid() ||
        this->Known.size() >= MaxKnown) {
      continue;
    }
    Entry &E = this->Known[Note.Stream];
    if (!E.Software.isValid()) {
      E.Software = Note.Software;
      E.Until = this->lifeEnd(Now);
    }
  }
}

// A peer that knows of one version only vouches for the time before its answer.
// The own record, which begins before the question, continues it, so that this
// host can vouch in its turn.
size_t StreamOrigins::mergeHistory(const std::vector<StreamNote> &Answers,
                                   Time Now) {
  size_t Learned = 0;
  for (const StreamNote &Answer : Answers) {
    if (!Answer.Software.isValid()) {
      continue;
    }
    for (auto &Item : this->Histories) {
      if (historyId(Item.first) == Answer.Stream) {
        Learned += Item.second.Vouched ? 0 : 1;
        Item.second.Vouched = true;
        this->addVersion(Item.first, Answer.Software, this->lifeEnd(Now), Now);
      }
    }
  }
  return Learned;
}

std::vector<StreamAsk>
StreamOrigins::takeHistoryAsks(const std::set<ServiceId> &Services, Time Now) {
  std::vector<StreamAsk> Asks;
  if (Now < this->NextHistoryAsk || Now >= this->UnseenLifeEnd) {
    return Asks;
  }
  for (const auto &Item : this->Histories) {
    if (!Item.second.Vouched && Services.count(Item.first) != 0 &&
        Asks.size() < MaxStreamNotes) {
      Asks.push_back({historyId(Item.first), Item.first});
    }
  }
  if (!Asks.empty()) {
    this->HistoryAskInterval =
        std::clamp(this->HistoryAskInterval * 2, MinHistoryAskInterval,
                   MaxHistoryAskInterval);
    this->NextHistoryAsk = Now + this->HistoryAskInterval;
  }
  return Asks;
}

KnownVersions StreamOrigins::knownVersions(const std::set<ServiceId> &Services,
                                           Time Now) const {
  KnownVersions Known;
  Known.CoversAllServices = Now >= this->UnseenLifeEnd;
  for (ServiceId Service : Services) {
    auto It = this->Histories.find(Service);
    if (It == this->Histories.end()) {
      continue;
    }
    VersionSet &Set = Known.Services[Service];
    for (const auto &Item : It->second.Versions) {
      Set.Versions.insert(Item.first);
    }
    Set.IsComplete = Known.CoversAllServices || It->second.Vouched;
  }
  return Known;
}

// Versions that this host has not seen may have begun streams until just now,
// as far as it knows.
void StreamOrigins::mergeVersions(const ServiceVersions &Recorded,
                                  bool IsTrusted, Time Now) {
  for (const auto &Item : Recorded) {
    ServiceHistory &History = this->Histories[Item.first];
    for (SoftwareId Software : Item.second.Versions) {
      if (History.Versions.count(Software) == 0) {
        this->addVersion(Item.first, Software, this->lifeEnd(Now), Now);
      }
    }
    History.Vouched |= IsTrusted && Item.second.IsComplete;
  }
}

void StreamOrigins::recordGap(Time Now) {
  this->UnseenLifeEnd = this->lifeEnd(Now);
  for (auto &Item : this->Histories) {
    Item.second.Vouched = false;
  }
  this->NextHistoryAsk = Now;
  this->HistoryAskInterval = Duration(0);
}

void StreamOrigins::setBases(const std::map<ServiceId, SoftwareId> &Bases) {
  for (auto &Item : this->Histories) {
    auto It = Bases.find(Item.first);
    Item.second.BaseWasRead = true;
    if (It != Bases.end()) {
      Item.second.Base = It->second;
    }
  }
}

bool StreamOrigins::isBaseIndefinite(ServiceId Service) const {
  auto It = this->Histories.find(Service);
  return It != this->Histories.end() && !It->second.Base &&
         It->second.BaseWasRead;
}

void StreamOrigins::forgetBases() {
  for (auto &Item : this->Histories) {
    Item.second.Base.reset();
    Item.second.BaseWasRead = false;
  }
}

std::optional<SoftwareId> StreamOrigins::base(ServiceId Service,
                                              Time Now) const {
  std::optional<SoftwareId> Sole = this->soleVersion(Service, Now);
  auto It = this->Histories.find(Service);
  return Sole || It == this->Histories.end() ? Sole : It->second.Base;
}

bool StreamOrigins::needsBases(const std::set<ServiceId> &Services,
                               Time Now) const {
  return std::any_of(
      Services.begin(), Services.end(), [this, Now](ServiceId Service) {
        return this->versions(Service) > 0 && !this->base(Service, Now) &&
               !this->isBaseIndefinite(Service);
      });
}

const std::map<SoftwareId, Time> &
StreamOrigins::versionsSeen(ServiceId Service) const {
  static const std::map<SoftwareId, Time> None;
  auto It = this->Histories.find(Service);
  return It == this->Histories.end() ? None : It->second.SeenAt;
}

Time StreamOrigins::oldestUntold(ServiceId Service) const {
  for (StreamId Stream : this->Unsent) {
    auto It = this->Known.find(Stream);
    if (It != this->Known.end() && It->second.Service == Service) {
      return It->second.Began;
    }
  }
  return Time::max();
}

std::optional<SoftwareId> StreamOrigins::find(StreamId Stream) const {
  auto It = this->Known.find(Stream);
  return It == this->Known.end() ? std::nullopt
                                 : std::optional(It->second.Software);
}

std::optional<SoftwareId> StreamOrigins::soleVersion(ServiceId Service,
                                                     Time Now) const {
  auto It = this->Histories.find(Service);
  bool Known = Now >= this->UnseenLifeEnd ||
               (It != this->Histories.end() && It->second.Vouched);
  return Known ? this->onlyVersionSeen(Service) : std::nullopt;
}

std::optional<SoftwareId>
StreamOrigins::onlyVersionSeen(ServiceId Service) const {
  auto It = this->Histories.find(Service);
  if (It == this->Histories.end() || It->second.Versions.size() != 1) {
    return std::nullopt;
  }
  return It->second.Versions.begin()->first;
}

size_t StreamOrigins::versions(ServiceId Service) const {
  auto It = this->Histories.find(Service);
  return It == this->Histories.end() ? 0 : It->second.Versions.size();
}

StreamNote StreamOrigins::answer(const StreamAsk &Ask, bool ViewIsFresh,
                                 Time Now) const {
  StreamNote Note{Ask.Stream, SoftwareId()};
  std::optional<SoftwareId> Known = this->find(Ask.Stream);
  if (Known) {
    Note.Software = *Known;
    return Note;
  }
  std::optional<SoftwareId> Sole =
      ViewIsFresh ? this->soleVersion(Ask.Service, Now) : std::nullopt;
  bool IsStream = (Ask.Stream.Value & 1U) != 0;
  Note.IsGuess = IsStream && (Sole || this->versions(Ask.Service) > 1);
  Note.Software = Sole.value_or(SoftwareId());
  return Note;
}

// Streams that are not needed now stay until they end: another version may
// begin to serve meanwhile.
std::vector<StreamNote> StreamOrigins::takeNotes(size_t Limit, Time Now) {
  std::vector<StreamNote> Notes;
  std::vector<StreamId> Rest;
  for (StreamId Stream : this->Unsent) {
    auto It = this->Known.find(Stream);
    if (It == this->Known.end()) {
      continue;
    }
    if (Notes.size() < Limit &&
        !this->soleVersion(It->second.Service, Now).has_value()) {
      Notes.push_back({Stream, It->second.Software});
    } else {
      Rest.push_back(Stream);
    }
  }
  this->Unsent.swap(Rest);
  return Notes;
}

void StreamOrigins::tick(Time Now) {
  if (Now < this->NextPrune) {
    return;
  }
  this->NextPrune = Now + PruneInterval;
  for (auto It = this->Known.begin(); It != this->Known.end();) {
    It = Now > It->second.Until ? this->Known.erase(It) : std::next(It);
  }
  for (auto &Item : this->Histories) {
    std::map<SoftwareId, Time> &Versions = Item.second.Versions;
    if (Versions.empty()) {
      continue;
    }
    Time Newest = std::max_element(Versions.begin(), Versions.end(),
                                   [](const auto &A, const auto &B) {
                                     return A.second < B.second;
                                   })
                      ->second;
    for (auto It = Versions.begin(); It != Versions.end();) {
      // The newest stays, so that a service without targets keeps its version.
      bool Old = Now > It->second && It->second < Newest;
      if (Old) {
        Item.second.SeenAt.erase(It->first);
      }
      It = Old ? Versions.erase(It) : std::next(It);
    }
    // A base version without streams tells nothing of those that are unknown.
    std::optional<SoftwareId> &Base = Item.second.Base;
    if (Base && Base->isValid() && Versions.count(*Base) == 0) {
      Base = SoftwareId();
    }
  }
}

} // namespace shallotlatch
