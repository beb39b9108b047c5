// Requests that go on with a stream: they wait until the version of the
// software that began it is known, and go only to targets of that version.
#include "relay_p.h"

#include "event_log_p.h"
#include "sockets_p.h"

#include <algorithm>

namespace shallotlatch {

// Time within which peers answer for the version that began a stream.
static constexpr Duration OriginWait = millis(150);
// Time within which the store confirms this host's view of the targets.
static constexpr Duration ViewWait = seconds(1);
// Interval at which the versions of all targets are recorded.
static constexpr Duration ServingRecordInterval = seconds(1);
// Margin beyond the longest time limit of a route, after which no caller goes
// on with a stream.
static constexpr Duration StreamLifeMargin = seconds(5);

void RequestRelay::applyStreamLife() {
  Duration Longest{0};
  this->StreamServices.clear();
  for (const Route &R : this->Config->Routes) {
    if (R.Kind == RouteKind::Stream) {
      Longest = std::max(Longest, R.Timeout);
      for (const RouteShare &Share : R.Shares) {
        this->StreamServices.insert(Share.Service);
      }
    }
  }
  this->Origins.setStreamLife(Longest + StreamLifeMargin, ProcessClock::now());
}

void RequestRelay::tickStreams(Time Now) {
  this->Origins.tick(Now);
  if (Now >= this->NextServingRecord) {
    this->NextServingRecord = Now + ServingRecordInterval;
    for (const auto &Item : this->Targets) {
      this->Origins.recordServing(Item.second.Service,
                                  softwareId(Item.second.Software), Now);
    }
  }
  std::vector<PlacementId> Open;
  for (const auto &Item : this->Searches) {
    Open.push_back(Item.first);
  }
  for (PlacementId Id : Open) {
    this->continueSearch(Id);
  }
  this->tickOpenings(Now);
  this->tickArchive();
  this->retryAwaitingOpening(Now);
}

StreamId RequestRelay::streamOf(const RelayedRequest &R) {
  return streamId(R.Resumes.empty() ? R.RequestId : R.Resumes);
}

void RequestRelay::recordStream(RelayedRequest &R, Time Now) {
  if (!R.MatchedRoute->Resumable) {
    return;
  }
  if (!R.Software.isValid() && R.RunInDoubt) {
    R.Software = UndecidedSoftware;
    this->Origins.recordUndecided(streamOf(R), R.Deadline + StreamLifeMargin,
                                  Now);
    return;
  }
  if (!R.Software.isValid()) {
    R.Software = softwareId(R.Target.Software);
  }
  this->Origins.recordBegun(R.Service, streamOf(R), R.Software,
                            R.Deadline + StreamLifeMargin, Now);
}

bool RequestRelay::goesOn(const RelayedRequest &R) {
  return R.MatchedRoute->Kind == RouteKind::Stream && !R.LastEventId.empty();
}

// Only a host that passed the stream on, or one that it told, knows its version
// for certain.
void RequestRelay::placeOnceOriginIsKnown(RelayedRequest &R) {
  PlacementId Id = R.Id;
  StreamId Stream = streamOf(R);
  Time Now = ProcessClock::now();
  bool IsNamed = !R.Resumes.empty();
  std::optional<SoftwareId> Known =
      IsNamed ? this->Origins.find(Stream) : std::nullopt;
  if (Known) {
    this->placeWithOrigin(R, Known, "known");
    return;
  }
  // Where the caller does not name its stream, nobody can tell where it began.
  bool AsksPeers = IsNamed && this->Hosts > 1;
  Time AnswerUntil = AsksPeers ? Now + OriginWait : Now;
  this->Searches.emplace(Id, StreamSearch(Stream, AnswerUntil));
  if (AsksPeers) {
    this->UnsentAsks.push_back({Stream, R.Service});
  } else {
    this->continueSearch(Id);
  }
}

VersionView RequestRelay::versionView(ServiceId Service) const {
  VersionView View;
  View.Sole = this->Origins.soleVersion(Service, ProcessClock::now());
  View.OnlySeen = this->Origins.onlyVersionSeen(Service);
  View.Versions = this->Origins.versions(Service);
  return View;
}

void RequestRelay::continueSearch(PlacementId Id) {
  auto It = this->Searches.find(Id);
  RelayedRequest *R = this->find(Id);
  if (It == this->Searches.end() || R == nullptr) {
    this->Searches.erase(Id);
    return;
  }
  StreamSearch &Search = It->second;
  std::optional<SoftwareId> Known = this->Origins.find(Search.stream());
  if (Known && !R->Resumes.empty()) {
    bool WasRead = It->second.triedRecords();
    this->Searches.erase(It);
    this->placeWithOrigin(*R, Known, WasRead ? "record" : "peer");
    return;
  }
  Time Now = bootTime();
  if (Search.awaitsRecords()) {
    if (Search.recordsOverdue(Now)) {
      Search.endRecords();
      this->concludeSearch(Id, false);
    }
    return;
  }
  if (Search.awaitsView()) {
    if (Search.viewOverdue(Now)) {
      this->concludeSearch(Id, false);
    }
    return;
  }
  if (Search.peersDone(ProcessClock::now())) {
    this->searchView(Id);
  }
}

void RequestRelay::searchView(PlacementId Id) {
  auto It = this->Searches.find(Id);
  RelayedRequest *R = this->find(Id);
  if (It == this->Searches.end() || R == nullptr) {
    return;
  }
  if (!this->StoreView.reachable() ||
      It->second.isUndecidable(this->versionView(R->Service))) {
    this->concludeSearch(Id, false);
    return;
  }
  Time Now = bootTime();
  It->second.awaitView(Now, Now + ViewWait);
  this->StoreView.confirmTargets(Now);
}

void RequestRelay::concludeSearch(PlacementId Id, bool Confirmed) {
  auto It = this->Searches.find(Id);
  if (It == this->Searches.end()) {
    return;
  }
  RelayedRequest *R = this->find(Id);
  if (R == nullptr) {
    this->Searches.erase(It);
    return;
  }
  VersionView Own = this->versionView(R->Service);
  // A caller that does not name its stream cannot be served otherwise while
  // this host knows nothing of the time before its start.
  if (R->Resumes.empty()) {
    Own.Sole = Own.OnlySeen;
  }
  std::optional<SoftwareId> Found = It->second.conclude(Own, Confirmed);
  if (!Found && this->searchRecords(*R, It->second)) {
    return;
  }
  StreamSearch Search = std::move(It->second);
  this->Searches.erase(It);
  logEvent("stream-search",
           {{"id", R->RequestId},
            {"asked", Search.asked()},
            {"answered", Search.answered()},
            {"confirmed", Confirmed},
            {"reachable", this->StoreView.reachable()},
            {"records", Search.triedRecords()},
            {"targets-age-ms", toMillis(this->StoreView.age(
                                   DirectoryKind::Targets, bootTime()))}});
  this->placeWithOrigin(*R, Found, Confirmed ? "confirmed" : "agreed");
}

void RequestRelay::onVersionsConfirmed(Time ReadAt) {
  std::vector<PlacementId> Covered;
  for (const auto &Item : this->Searches) {
    if (Item.second.isCoveredBy(ReadAt)) {
      Covered.push_back(Item.first);
    }
  }
  for (PlacementId Id : Covered) {
    this->concludeSearch(Id, true);
  }
  std::vector<HistoryAsk> Waiting;
  for (const HistoryAsk &H : this->HistoryAsks) {
    if (H.At <= ReadAt) {
      this->HistoryAnswers[H.Peer].push_back(
          this->Origins.answer(H.Ask, true, ProcessClock::now()));
    } else {
      Waiting.push_back(H);
    }
  }
  this->HistoryAsks.swap(Waiting);
}

// Peers that asked for histories ask others.
void RequestRelay::onVersionsUnconfirmed() {
  this->HistoryAsks.clear();
  std::vector<PlacementId> Waiting;
  for (const auto &Item : this->Searches) {
    if (Item.second.awaitsView()) {
      Waiting.push_back(Item.first);
    }
  }
  for (PlacementId Id : Waiting) {
    this->concludeSearch(Id, false);
  }
}

void RequestRelay::onVersionsMissed() {
  this->Origins.recordGap(ProcessClock::now());
}

void RequestRelay::recordTargetSeen(const TargetEntry &Target) {
  this->Origins.recordServing(Target.Service, softwareId(Target.Software),
                              ProcessClock::now());
}

std::map<HostId, std::vector<StreamNote>> RequestRelay::takeHistoryAnswers() {
  std::map<HostId, std::vector<StreamNote>> Answers;
  Answers.swap(this->HistoryAnswers);
  return Answers;
}

void RequestRelay::placeWithOrigin(RelayedRequest &R,
                                   std::optional<SoftwareId> Software,
                                   const char *How) {
  logEvent("stream-origin", {{"id", R.RequestId},
                             {"resumes", R.Resumes},
                             {"how", Software ? How : "unknown"},
                             {"software", Software ? Software->Value : 0},
                             {"versions", this->Origins.versions(R.Service)},
                             {"life-ms", toMillis(this->longestStreamLife())}});
  this->Metrics.recordResumption(Software ? How : "unknown");
  if (!Software) {
    this->refuseOrFail(R, "the version that began the stream is not known",
                       this->untilOriginKnown(R.Service));
    return;
  }
  R.Software = *Software;
  this->place(R);
}

std::vector<StreamAsk> RequestRelay::takeStreamAsks(uint32_t HostsToAsk) {
  std::vector<StreamAsk> Asks;
  Asks.swap(this->UnsentAsks);
  for (auto &Item : this->Searches) {
    for (const StreamAsk &Ask : Asks) {
      if (Ask.Stream == Item.second.stream()) {
        Item.second.recordAsked(HostsToAsk);
      }
    }
  }
  return Asks;
}

std::vector<StreamAsk> RequestRelay::takeHistoryAsks() {
  // The own record continues a peer's only if it holds all targets.
  if (this->Hosts <= 1 || !this->StoreView.synced(DirectoryKind::Targets)) {
    return {};
  }
  return this->Origins.takeHistoryAsks(this->StreamServices,
                                       ProcessClock::now());
}

Duration RequestRelay::longestStreamLife() const {
  return this->Origins.longestLife(ProcessClock::now());
}

std::vector<StreamNote> RequestRelay::takeStreamNotes() {
  return this->Origins.takeNotes(MaxStreamNotes, ProcessClock::now());
}

std::vector<StreamNote> RequestRelay::receive(const StreamNews &News) {
  Time Now = ProcessClock::now();
  this->Origins.mergeLife(News.LongestLife, Now);
  this->Origins.merge(News.Notes, Now);
  this->Origins.merge(News.Answers, Now);
  size_t Histories = this->Origins.mergeHistory(News.Answers, Now);
  if (Histories > 0) {
    logEvent("stream-history",
             {{"peer", toHex(News.Host.Value)}, {"services", Histories}});
  }
  std::vector<PlacementId> Answered;
  for (const StreamNote &Answer : News.Answers) {
    for (auto &Item : this->Searches) {
      if (Item.second.stream() == Answer.Stream) {
        Item.second.recordGuess(News.Host, Answer);
        const RelayedRequest *R = this->find(Item.first);
        logEvent("stream-answer", {{"id", R == nullptr ? "" : R->RequestId},
                                   {"peer", toHex(News.Host.Value)},
                                   {"guess", Answer.IsGuess},
                                   {"software", Answer.Software.Value}});
        Answered.push_back(Item.first);
      }
    }
  }
  for (PlacementId Id : Answered) {
    this->continueSearch(Id);
  }
  std::vector<StreamNote> Answers;
  for (const StreamAsk &Ask : News.Asks) {
    bool Vouches = Ask.Stream == historyId(Ask.Service) &&
                   this->Origins.soleVersion(Ask.Service, Now);
    bool IsAsked =
        std::any_of(this->HistoryAsks.begin(), this->HistoryAsks.end(),
                    [&](const HistoryAsk &H) {
                      return H.Peer == News.Host && H.Ask.Stream == Ask.Stream;
                    });
    if (Vouches && this->StoreView.reachable() && !IsAsked) {
      this->HistoryAsks.push_back({News.Host, Ask, bootTime()});
    } else if (!Vouches) {
      Answers.push_back(
          this->Origins.answer(Ask, this->StoreView.reachable(), Now));
    }
  }
  if (!this->HistoryAsks.empty()) {
    this->StoreView.confirmTargets(bootTime());
  }
  return Answers;
}

} // namespace shallotlatch
