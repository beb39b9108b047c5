// Requests that go on with a stream: they wait until the version of the
// software that began it is known, and go only to targets of that version.
#include "relay_p.h"

#include "event_log_p.h"
#include "sockets_p.h"

#include <algorithm>

namespace shallotlatch {

// Time within which peers answer for the version that began a stream.
static constexpr Duration OriginWait = millis(150);
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
  std::vector<PlacementId> Expired;
  for (const auto &Item : this->OriginWaits) {
    if (Now >= Item.second.Until) {
      Expired.push_back(Item.first);
    }
  }
  for (PlacementId Id : Expired) {
    this->endOriginWait(Id);
  }
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
// for certain. Peers are asked even where this host knows of one version only,
// since its view of the targets may be a moment old.
void RequestRelay::placeOnceOriginIsKnown(RelayedRequest &R) {
  if (R.Resumes.empty()) {
    // The caller does not name its stream, so nobody can tell where it began.
    this->placeWithOrigin(R, this->Origins.onlyVersionSeen(R.Service), "only");
    return;
  }
  StreamId Stream = streamOf(R);
  std::optional<SoftwareId> Known = this->Origins.find(Stream);
  if (Known) {
    this->placeWithOrigin(R, Known, "known");
    return;
  }
  if (this->Hosts <= 1) {
    this->placeByGuess(R, OriginWaitState());
    return;
  }
  OriginWaitState &Wait = this->OriginWaits[R.Id];
  Wait.Stream = Stream;
  Wait.Until = ProcessClock::now() + OriginWait;
  this->UnsentAsks.push_back({Stream, R.Service});
}

// A host's view of the targets may be behind, so that it misses a version. The
// guesses count only if none of them, this host's own included, differs.
void RequestRelay::placeByGuess(RelayedRequest &R,
                                const OriginWaitState &Told) {
  std::set<SoftwareId> Guesses = Told.Guesses;
  std::optional<SoftwareId> Own;
  if (this->StoreView.reachable()) {
    Own = this->Origins.soleVersion(R.Service, ProcessClock::now());
  }
  if (Own) {
    Guesses.insert(*Own);
  }
  bool Differ = Told.VersionsDiffer || Guesses.size() > 1 ||
                this->Origins.versions(R.Service) > 1;
  this->placeWithOrigin(R,
                        Differ || Guesses.empty()
                            ? std::nullopt
                            : std::optional(*Guesses.begin()),
                        Own ? "sole" : "guessed");
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
                       Duration(0));
    return;
  }
  R.Software = *Software;
  this->place(R);
}

void RequestRelay::endOriginWait(PlacementId Id) {
  auto Wait = this->OriginWaits.find(Id);
  if (Wait == this->OriginWaits.end()) {
    return;
  }
  OriginWaitState Told = std::move(Wait->second);
  StreamId Stream = Told.Stream;
  this->OriginWaits.erase(Wait);
  RelayedRequest *R = this->find(Id);
  if (R == nullptr) {
    return;
  }
  std::optional<SoftwareId> Known = this->Origins.find(Stream);
  if (Known) {
    this->placeWithOrigin(*R, Known, "peer");
  } else {
    this->placeByGuess(*R, Told);
  }
}

std::vector<StreamAsk> RequestRelay::takeStreamAsks(uint32_t HostsToAsk) {
  std::vector<StreamAsk> Asks;
  Asks.swap(this->UnsentAsks);
  for (auto &Item : this->OriginWaits) {
    for (const StreamAsk &Ask : Asks) {
      if (Ask.Stream == Item.second.Stream) {
        Item.second.Unanswered = HostsToAsk;
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
    for (auto &Item : this->OriginWaits) {
      OriginWaitState &Wait = Item.second;
      if (Wait.Stream == Answer.Stream) {
        Wait.Unanswered -= Wait.Unanswered > 0 ? 1 : 0;
        const RelayedRequest *R = this->find(Item.first);
        logEvent("stream-answer", {{"id", R == nullptr ? "" : R->RequestId},
                                   {"peer", toHex(News.Host.Value)},
                                   {"guess", Answer.IsGuess},
                                   {"software", Answer.Software.Value}});
        if (Answer.IsGuess && Answer.Software.isValid()) {
          Wait.Guesses.insert(Answer.Software);
        } else if (Answer.IsGuess) {
          Wait.VersionsDiffer = true;
        }
        bool Known = Answer.Software.isValid() && !Answer.IsGuess;
        if (Known || Wait.Unanswered == 0) {
          Answered.push_back(Item.first);
        }
      }
    }
  }
  for (PlacementId Id : Answered) {
    this->endOriginWait(Id);
  }
  std::vector<StreamNote> Answers;
  for (const StreamAsk &Ask : News.Asks) {
    Answers.push_back(
        this->Origins.answer(Ask, this->StoreView.reachable(), Now));
  }
  return Answers;
}

} // namespace shallotlatch
