/// \file
/// The search for the version that began a stream which a host does not know.
#pragma once

#include "stream_origins_p.h"

namespace shallotlatch {

/// What a host knows by itself of the versions of one service.
struct VersionView {
  /// See `StreamOrigins::soleVersion` and `StreamOrigins::onlyVersionSeen`.
  std::optional<SoftwareId> Sole;
  std::optional<SoftwareId> OnlySeen;
  size_t Versions = 0; ///< See `StreamOrigins::versions`.
};

/// Collects what peers say of one stream, and concludes at which version it may
/// go on. A host may be behind the fleet, and so may its peers: without the
/// store's word that it has seen all versions, the silence of peers and its own
/// view are worth nothing. Its load is a few steps for each stream that is
/// taken up at another host. Times are passed in.
class StreamSearch {
public:
  /// \p AnswerUntil: time until which peers may answer.
  StreamSearch(StreamId Stream, Time AnswerUntil)
      : Stream(Stream), AnswerUntil(AnswerUntil) {}

  StreamId stream() const { return this->Stream; }
  /// Records that \p Hosts peers were sent the question.
  void recordAsked(size_t Hosts);
  /// Records the answer of a peer that does not know the stream. Later answers
  /// of the same peer are ignored.
  void recordGuess(HostId Peer, const StreamNote &Answer);
  /// Returns whether no further answer is awaited.
  bool peersDone(Time Now) const;
  /// Awaits the store's word on the host's view. It has to be asked for after
  /// \p Now, when the stream had begun.
  void awaitView(Time Now, Time Until);
  bool awaitsView() const { return this->ViewAskedAt.has_value(); }
  /// Returns whether a view that the store confirmed as of \p ReadAt shows all
  /// versions at which the stream may have begun.
  bool isCoveredBy(Time ReadAt) const {
    return this->ViewAskedAt && ReadAt >= *this->ViewAskedAt;
  }
  /// Returns whether the store did not answer in time.
  bool viewOverdue(Time Now) const {
    return this->ViewAskedAt && Now >= this->ViewUntil;
  }
  /// Awaits what the store's records say. They have to be read after \p Now.
  void awaitRecords(Time Now, Time Until);
  bool awaitsRecords() const { return this->RecordsAskedAt.has_value(); }
  /// Returns whether records that were read at \p ReadAt hold all that was
  /// written before the search.
  bool recordsCoveredBy(Time ReadAt) const {
    return this->RecordsAskedAt && ReadAt >= *this->RecordsAskedAt;
  }
  bool recordsOverdue(Time Now) const {
    return this->RecordsAskedAt && Now >= this->RecordsUntil;
  }
  /// The records were read, or cannot be.
  void endRecords();
  /// Returns whether the records were asked for already.
  bool triedRecords() const { return this->TriedRecords; }
  /// Returns whether several versions may have begun the stream, whatever the
  /// store says.
  bool isUndecidable(const VersionView &Own) const;
  /// Returns whether no peer guesses another version than \p Software.
  bool agreesOn(SoftwareId Software) const;
  /// Returns the version that began the stream, or nothing if it may be one of
  /// several. \p Confirmed: the store confirmed the view since `awaitView`.
  std::optional<SoftwareId> conclude(const VersionView &Own,
                                     bool Confirmed) const;
  size_t asked() const { return this->Asked; }
  size_t answered() const { return this->Answered.size(); }

private:
  StreamId Stream;
  Time AnswerUntil;
  std::optional<Time> ViewAskedAt;
  Time ViewUntil;
  std::optional<Time> RecordsAskedAt;
  Time RecordsUntil;
  bool TriedRecords = false;
  size_t Asked = 0; ///< Peers that were sent the question.
  std::set<HostId> Answered;
  size_t Guessed = 0;           ///< Peers that guess one of `Guesses`.
  std::set<SoftwareId> Guesses; ///< Versions that peers guess.
  bool VersionsDiffer = false;  ///< A peer has seen several versions.
};

} // namespace shallotlatch
