#include "stream_search_p.h"

namespace shallotlatch {

void StreamSearch::recordAsked(size_t Hosts) { this->Asked = Hosts; }

// A late answer to an earlier question for the stream counts too: the stream
// had begun when its caller first returned.
void StreamSearch::recordGuess(HostId Peer, const StreamNote &Answer) {
  if (!this->Answered.insert(Peer).second || !Answer.IsGuess) {
    return;
  }
  if (Answer.Software.isValid()) {
    this->Guesses.insert(Answer.Software);
    ++this->Guessed;
  } else {
    this->VersionsDiffer = true;
  }
}

bool StreamSearch::peersDone(Time Now) const {
  return Now >= this->AnswerUntil ||
         (this->Asked > 0 && this->Answered.size() >= this->Asked);
}

void StreamSearch::awaitView(Time Now, Time Until) {
  this->ViewAskedAt = Now;
  this->ViewUntil = Until;
}

void StreamSearch::awaitRecords(Time Now, Time Until) {
  this->ViewAskedAt.reset();
  this->RecordsAskedAt = Now;
  this->RecordsUntil = Until;
  this->TriedRecords = true;
}

void StreamSearch::endRecords() { this->RecordsAskedAt.reset(); }

bool StreamSearch::isUndecidable(const VersionView &Own) const {
  return this->VersionsDiffer || this->Guesses.size() > 1 || Own.Versions > 1;
}

bool StreamSearch::agreesOn(SoftwareId Software) const {
  return this->Guesses.size() == this->Guesses.count(Software);
}

// Where the store is silent or this host knows too little of the time before
// its start, most of the peers have to have seen the same single version. Hosts
// that are cut off together are fewer, or do not know it.
std::optional<SoftwareId> StreamSearch::conclude(const VersionView &Own,
                                                 bool Confirmed) const {
  if (this->isUndecidable(Own)) {
    return std::nullopt;
  }
  std::optional<SoftwareId> Guess;
  if (!this->Guesses.empty()) {
    Guess = *this->Guesses.begin();
  }
  if (Confirmed && Own.Sole) {
    return !Guess || *Guess == *Own.Sole ? Own.Sole : std::nullopt;
  }
  bool MostAgree = this->Guessed * 2 > this->Asked;
  bool Differs = Guess && Own.OnlySeen && *Guess != *Own.OnlySeen;
  return MostAgree && !Differs ? Guess : std::nullopt;
}

} // namespace shallotlatch
