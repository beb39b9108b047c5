/// \file
/// Fleets in virtual time whose hosts tell and ask each other which software
/// version began a stream, while hosts die, restart, freeze and are cut off.
#pragma once

#include "fleet_codec_p.h"
#include "fleet_exchange_p.h"
#include "stream_origins_p.h"

#include <deque>
#include <memory>
#include <random>

namespace shallotlatch {

inline const ServiceId Engines = serviceId("engines");

struct StreamHost {
  HostId Id;
  size_t Domain = 0;
  bool Alive = true;
  Time Since;       ///< Start of the process.
  Time FrozenUntil; ///< It neither sends nor reads before.
  Time CutUntil;    ///< It hears no other host before.
  std::unique_ptr<StreamOrigins> Origins;
  uint32_t HistoryAsks = 0;
  std::deque<std::pair<Time, StreamNews>> Inbox;
  uint64_t BytesSent = 0;
};

struct Stream {
  StreamId Id;
  SoftwareId Software;
  size_t Host = 0;
  uint64_t Run = 0;
  Time Ends;
};

struct PendingReturn {
  Stream Of;
  size_t Host = 0;
  Time Until;
  size_t Unanswered = 0;
};

/// What happens to the targets of a fleet.
enum class TargetCourse : uint8_t {
  TwoVersions, ///< Two versions serve at any time; now and then one follows.
  Release,     ///< One version replaces another as time limits are shortened.
  OneVersion,  ///< One version serves while hosts are restarted in turn.
  TwoVersionsInTurn, ///< Two versions serve meanwhile.
};

/// Counts of a run.
struct StreamCounts {
  int Returned = 0; ///< Streams taken up again at hosts in touch.
  int GoOn = 0;     ///< Those of which the version was known.
  int Wrong = 0;    ///< Streams that would go on at another version.
  double BytesPerHostAndSecond = 0;
};

class StreamFleet {
public:
  StreamFleet(size_t Domains, size_t HostsPerDomain, double StreamsPerHost,
              uint64_t Seed, TargetCourse Course = TargetCourse::TwoVersions)
      : Course(Course), HostsPerDomain(HostsPerDomain),
        StreamsPerHost(StreamsPerHost), Random(Seed), Now(seconds(1000)) {
    for (size_t I = 0; I < Domains * HostsPerDomain; ++I) {
      this->Hosts.emplace_back();
      this->Hosts.back().Id = HostId{hash64("h" + std::to_string(I))};
      this->Hosts.back().Domain = I / HostsPerDomain;
      this->start(I);
    }
  }

  StreamCounts run(Duration Length, bool Disturb) {
    Time End = this->Now + Length;
    while (this->Now < End) {
      this->Now += millis(20);
      this->beginStreams();
      if (this->Course == TargetCourse::Release) {
        this->release();
      } else if (this->Course != TargetCourse::TwoVersions) {
        this->restartInTurn();
      }
      if (Disturb) {
        this->disturb();
      }
      this->exchange();
      this->settleReturns();
    }
    uint64_t Bytes = 0;
    for (const StreamHost &H : this->Hosts) {
      Bytes += H.BytesSent;
    }
    this->Counts.BytesPerHostAndSecond =
        static_cast<double>(Bytes) / static_cast<double>(this->Hosts.size()) /
        toSeconds(Length);
    return this->Counts;
  }

private:
  void start(size_t I) {
    StreamHost &H = this->Hosts[I];
    H.Alive = true;
    H.Since = this->Now;
    H.Inbox.clear();
    H.Origins = std::make_unique<StreamOrigins>(this->Now);
    H.Origins->setStreamLife(this->StreamLife, this->Now);
  }
  bool chance(double PerSecond) {
    return std::uniform_real_distribution<double>(0, 1)(this->Random) <
           PerSecond * 0.02;
  }
  size_t draw(size_t Count) {
    return std::uniform_int_distribution<size_t>(0, Count - 1)(this->Random);
  }
  bool runs(const StreamHost &H) const {
    return H.Alive && this->Now >= H.FrozenUntil;
  }
  Duration drawLength() {
    int64_t Limit = this->Course != TargetCourse::TwoVersions
                        ? toMillis(this->StreamLife) - 5000
                        : 8000;
    return millis(200 + static_cast<int64_t>(this->draw(200)) * Limit / 200);
  }
  /// All hosts but the last are stopped and started in turn, within 12 s, and
  /// then the last one is stopped.
  void restartInTurn() {
    Duration Passed = this->Now - this->Began - RestartsAt;
    size_t Others = this->Hosts.size() - 1;
    while (this->Restarted < Others &&
           Passed >= seconds(12) * static_cast<int64_t>(this->Restarted) /
                         static_cast<int64_t>(Others)) {
      this->Hosts[this->Restarted].Alive = false;
      this->breakStreams(this->Restarted++);
    }
    for (size_t I = 0; I < Others; ++I) {
      Duration Since = Passed - seconds(12) * static_cast<int64_t>(I) /
                                    static_cast<int64_t>(Others);
      if (!this->Hosts[I].Alive && Since >= millis(500)) {
        this->start(I);
      }
    }
    if (Passed >= seconds(18) && this->Hosts[Others].Alive) {
      this->Counts = StreamCounts();
      this->Hosts[Others].Alive = false;
      this->breakStreams(Others);
    }
  }
  /// Time limits are shortened, targets of the other version take over, and at
  /// last those of the first one end.
  void release() {
    Duration Passed = this->Now - this->Began;
    if (Passed >= ShorterAt && this->StreamLife > ShortLife) {
      this->StreamLife = ShortLife;
      for (StreamHost &H : this->Hosts) {
        if (H.Alive) {
          H.Origins->setStreamLife(ShortLife, this->Now);
        }
      }
    }
    if (Passed >= OldTargetsEnd && !this->OldEnded) {
      this->OldEnded = true;
      std::vector<Stream> Left;
      for (const Stream &S : this->Streams) {
        if (!(S.Software == softwareId("v1"))) {
          Left.push_back(S);
        } else if (this->Now < S.Ends) {
          this->returnStream(S);
        }
      }
      this->Streams.swap(Left);
    }
  }
  /// Two versions serve at any time; a third follows, and the first leaves.
  SoftwareId drawVersion() {
    if (this->Course == TargetCourse::Release) {
      bool Old = this->Now - this->Began < ReleaseAt;
      return softwareId(Old ? "v1" : "v2");
    }
    if (this->Course == TargetCourse::OneVersion) {
      return softwareId("v1");
    }
    if (this->Course == TargetCourse::TwoVersionsInTurn) {
      return softwareId("v" + std::to_string(this->draw(2)));
    }
    size_t Phase =
        static_cast<size_t>(toSeconds(this->Now - Time(seconds(1000))) / 25);
    return softwareId("v" + std::to_string(Phase + this->draw(2)));
  }

  void beginStreams() {
    for (size_t I = 0; I < this->Hosts.size(); ++I) {
      StreamHost &H = this->Hosts[I];
      if (!this->runs(H)) {
        continue;
      }
      SoftwareId Software = this->drawVersion();
      H.Origins->recordServing(Engines, Software, this->Now);
      if (!this->chance(this->StreamsPerHost)) {
        continue;
      }
      Stream S;
      S.Id = streamId("r" + std::to_string(++this->Number));
      S.Software = Software;
      S.Host = I;
      S.Run = static_cast<uint64_t>(H.Since.time_since_epoch().count());
      S.Ends = this->Now + this->drawLength();
      H.Origins->recordBegun(Engines, S.Id, S.Software, S.Ends, this->Now);
      this->Streams.push_back(S);
    }
  }

  /// The callers of a host that dies, freezes or loses its connections return
  /// to another host that runs, mostly of the same domain.
  void breakStreams(size_t Host) {
    std::vector<Stream> Left;
    for (const Stream &S : this->Streams) {
      if (S.Host != Host) {
        Left.push_back(S);
      } else if (this->Now < S.Ends) {
        this->returnStream(S);
      }
    }
    this->Streams.swap(Left);
  }
  void returnStream(const Stream &S) {
    size_t Domain = this->draw(5) == 0
                        ? this->draw(this->Hosts.size())
                        : this->Hosts[S.Host].Domain * this->HostsPerDomain;
    Domain = this->Hosts[Domain].Domain;
    for (int Try = 0; Try < 8; ++Try) {
      size_t I = Try < 5 ? Domain * this->HostsPerDomain +
                               this->draw(this->HostsPerDomain)
                         : this->draw(this->Hosts.size());
      if (this->runs(this->Hosts[I]) && I != S.Host) {
        PendingReturn P;
        P.Of = S;
        P.Host = I;
        P.Until = this->Now + millis(150);
        this->ask(P);
        return;
      }
    }
  }

  std::vector<StreamPeer> peersOf(size_t Self) const {
    std::vector<StreamPeer> Peers;
    bool Large = this->HostsPerDomain >= 4;
    for (size_t I = 0; I < this->Hosts.size(); ++I) {
      if (I == Self) {
        continue;
      }
      const StreamHost &H = this->Hosts[I];
      StreamPeer P;
      P.Id = H.Id;
      P.SameDomain = H.Domain == this->Hosts[Self].Domain;
      // A host that is silent is noticed after 1.2 s.
      P.Heard = H.Alive && this->Now - H.FrozenUntil > Duration(0);
      bool IsOwner = Large && this->ownerOf(H.Domain) == I;
      P.IsOwner = P.SameDomain && IsOwner;
      P.PlacesRequests = Large ? IsOwner : P.Heard;
      Peers.push_back(P);
    }
    return Peers;
  }
  size_t ownerOf(size_t Domain) const {
    for (size_t I = Domain * this->HostsPerDomain;
         I < (Domain + 1) * this->HostsPerDomain; ++I) {
      if (this->runs(this->Hosts[I])) {
        return I;
      }
    }
    return this->Hosts.size();
  }
  void send(size_t From, HostId To, const StreamNews &News) {
    StreamNews Sent = News;
    Sent.Host = this->Hosts[From].Id;
    Sent.LongestLife = this->Hosts[From].Origins->longestLife(this->Now);
    constexpr size_t DatagramHeader = 28;
    this->Hosts[From].BytesSent +=
        encodeStreamNews(Sent).size() + DatagramHeader;
    if (this->draw(50) == 0 || this->Now < this->Hosts[From].CutUntil) {
      return;
    }
    for (StreamHost &H : this->Hosts) {
      if (H.Id == To && H.Alive && this->Now >= H.CutUntil) {
        H.Inbox.push_back({this->Now + millis(20), Sent});
      }
    }
  }

  void ask(PendingReturn P) {
    StreamHost &H = this->Hosts[P.Host];
    if (!H.Origins->find(P.Of.Id)) {
      StreamNews News;
      News.Asks = {{P.Of.Id, Engines}};
      for (HostId To : streamHostsToAsk(this->peersOf(P.Host))) {
        this->send(P.Host, To, News);
        ++P.Unanswered;
      }
    } else {
      P.Until = this->Now;
    }
    this->Returns.push_back(P);
  }

  void disturb() {
    for (size_t I = 0; I < this->Hosts.size(); ++I) {
      StreamHost &H = this->Hosts[I];
      if (!H.Alive) {
        if (this->chance(1)) {
          this->start(I);
        }
      } else if (this->chance(0.01)) {
        H.Alive = false;
        this->breakStreams(I);
      } else if (this->chance(0.005)) {
        H.FrozenUntil =
            this->Now +
            millis(500 + 50 * static_cast<int64_t>(this->draw(100)));
        this->breakStreams(I);
      } else if (this->chance(0.005)) {
        H.CutUntil = this->Now +
                     millis(500 + 50 * static_cast<int64_t>(this->draw(100)));
        this->breakStreams(I);
      }
    }
    if (this->chance(0.05)) { // Many hosts die at once.
      std::vector<size_t> Dead;
      for (size_t I = 0; I < this->Hosts.size(); ++I) {
        if (this->draw(10) < 4) {
          this->Hosts[I].Alive = false;
          Dead.push_back(I);
        }
      }
      for (size_t I : Dead) {
        this->breakStreams(I);
      }
    }
  }

  void exchange() {
    ++this->Steps;
    for (size_t I = 0; I < this->Hosts.size(); ++I) {
      StreamHost &H = this->Hosts[I];
      if (!this->runs(H)) {
        continue;
      }
      while (!H.Inbox.empty() && H.Inbox.front().first <= this->Now) {
        StreamNews News = H.Inbox.front().second;
        H.Inbox.pop_front();
        this->read(I, News);
      }
      H.Origins->tick(this->Now);
      StreamNews History;
      History.Asks = H.Origins->takeHistoryAsks({Engines}, this->Now);
      if (!History.Asks.empty()) {
        for (HostId To : historyHostsToAsk(this->peersOf(I), H.HistoryAsks++)) {
          this->send(I, To, History);
        }
      }
      if (this->Steps % 10 == 0) {
        StreamNews News;
        News.Notes = H.Origins->takeNotes(MaxStreamNotes, this->Now);
        if (!News.Notes.empty()) {
          for (HostId To : streamKeepers(this->peersOf(I))) {
            this->send(I, To, News);
          }
        }
      }
    }
  }
  void read(size_t I, const StreamNews &News) {
    StreamHost &H = this->Hosts[I];
    H.Origins->mergeLife(News.LongestLife, this->Now);
    H.Origins->merge(News.Notes, this->Now);
    H.Origins->merge(News.Answers, this->Now);
    H.Origins->mergeHistory(News.Answers, this->Now);
    for (const StreamNote &Answer : News.Answers) {
      for (PendingReturn &P : this->Returns) {
        if (P.Host == I && P.Of.Id == Answer.Stream && P.Unanswered > 0) {
          --P.Unanswered;
        }
      }
    }
    StreamNews Reply;
    for (const StreamAsk &Ask : News.Asks) {
      Reply.Answers.push_back(H.Origins->answer(Ask, true, this->Now));
    }
    if (!Reply.Answers.empty()) {
      this->send(I, News.Host, Reply);
    }
  }

  void settleReturns() {
    std::vector<PendingReturn> Left;
    for (const PendingReturn &P : this->Returns) {
      StreamHost &H = this->Hosts[P.Host];
      std::optional<SoftwareId> Found =
          H.Alive ? H.Origins->find(P.Of.Id) : std::nullopt;
      if (!Found && P.Unanswered > 0 && this->Now < P.Until && H.Alive) {
        Left.push_back(P);
        continue;
      }
      if (!Found && H.Alive) {
        Found = H.Origins->soleVersion(Engines, this->Now);
      }
      this->Counts.Wrong += Found && !(*Found == P.Of.Software) ? 1 : 0;
      bool InTouch = this->runs(H) && this->Now - H.Since > seconds(4) &&
                     this->Now - H.FrozenUntil > seconds(4) &&
                     this->Now - H.CutUntil > seconds(4);
      if (InTouch) {
        ++this->Counts.Returned;
        this->Counts.GoOn += Found ? 1 : 0;
      }
    }
    this->Returns.swap(Left);
  }

  static constexpr Duration LongLife = seconds(20);
  static constexpr Duration ShortLife = seconds(8);
  static constexpr Duration ShorterAt = seconds(25);
  static constexpr Duration ReleaseAt = seconds(27);
  static constexpr Duration OldTargetsEnd = millis(36500);
  TargetCourse Course;
  Duration StreamLife = LongLife;
  static constexpr Duration RestartsAt = seconds(25);
  bool OldEnded = false;
  size_t Restarted = 0; ///< Hosts that were stopped.
  size_t HostsPerDomain;
  double StreamsPerHost;
  std::mt19937_64 Random;
  std::vector<StreamHost> Hosts;
  std::vector<Stream> Streams;
  std::vector<PendingReturn> Returns;
  Time Began = Time(seconds(1000));
  Time Now;
  uint64_t Number = 0;
  uint64_t Steps = 0;
  StreamCounts Counts;
};

} // namespace shallotlatch
