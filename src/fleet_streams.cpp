// Which peers are told of streams and asked for them.
#include "fleet_exchange_p.h"

#include "event_log_p.h"

#include <algorithm>

namespace shallotlatch {

// Interval at which peers are told of new streams.
static constexpr Duration StreamNoteInterval = millis(200);
// Numbers of hosts that are told: in the own failure domain beside the owner,
// and in other domains, so that a domain's loss leaves some.
static constexpr size_t DomainKeepers = 2;
static constexpr size_t RemoteKeepers = 2;
// Number of hosts of the own domain that are asked. It exceeds the number of
// keepers, since hosts may differ in whom they hear.
static constexpr size_t DomainAsked = 5;
// Number of hosts that are asked for histories at a time.
static constexpr size_t HistoryAsked = 3;

std::vector<HostId> streamKeepers(const std::vector<StreamPeer> &Peers) {
  std::vector<StreamPeer> Ranked = Peers;
  std::sort(Ranked.begin(), Ranked.end(),
            [](const StreamPeer &A, const StreamPeer &B) {
              return hashPair(A.Id.Value, 0) < hashPair(B.Id.Value, 0);
            });
  std::vector<HostId> Keepers;
  size_t InDomain = 0;
  size_t Remote = 0;
  for (const StreamPeer &P : Ranked) {
    bool Kept = P.IsOwner;
    if (P.SameDomain && P.Heard && !P.IsOwner) {
      Kept = ++InDomain <= DomainKeepers;
    } else if (!P.SameDomain && P.PlacesRequests) {
      Kept = ++Remote <= RemoteKeepers;
    }
    if (Kept) {
      Keepers.push_back(P.Id);
    }
  }
  return Keepers;
}

std::vector<HostId> streamHostsToAsk(const std::vector<StreamPeer> &Peers) {
  std::vector<StreamPeer> Ranked = Peers;
  std::sort(Ranked.begin(), Ranked.end(),
            [](const StreamPeer &A, const StreamPeer &B) {
              return hashPair(A.Id.Value, 0) < hashPair(B.Id.Value, 0);
            });
  std::vector<HostId> Asked;
  size_t InDomain = 0;
  for (const StreamPeer &P : Ranked) {
    bool IsAsked = P.IsOwner || (!P.SameDomain && P.PlacesRequests);
    if (P.SameDomain && P.Heard && !P.IsOwner) {
      IsAsked = ++InDomain <= DomainAsked;
    }
    if (IsAsked) {
      Asked.push_back(P.Id);
    }
  }
  return Asked;
}

std::vector<HostId> historyHostsToAsk(const std::vector<StreamPeer> &Peers,
                                      uint32_t Turn) {
  std::vector<HostId> All = streamHostsToAsk(Peers);
  std::vector<HostId> Asked;
  for (size_t I = 0; I < std::min(HistoryAsked, All.size()); ++I) {
    Asked.push_back(All[(Turn * HistoryAsked + I) % All.size()]);
  }
  return Asked;
}

static uint64_t rankOf(HostId Host) { return hashPair(Host.Value, 0); }

// Hosts that see each other late may both write, which does no harm: what they
// write is the same.
ArchiveRole archiveRole(HostId Self, bool OwnsDomain,
                        const std::vector<StreamPeer> &Peers) {
  ArchiveRole Role;
  Role.Writes = true;
  Role.Cleans = true;
  for (const StreamPeer &P : Peers) {
    bool IsBefore = P.Heard && rankOf(P.Id) < rankOf(Self);
    if (P.SameDomain && !OwnsDomain) {
      Role.Writes &= !P.IsOwner && !IsBefore;
    }
    if (!P.SameDomain) {
      Role.Writers += P.PlacesRequests ? 1 : 0;
      Role.Cleans &= !P.PlacesRequests || !IsBefore;
    }
  }
  Role.Cleans &= Role.Writes;
  return Role;
}

std::vector<StreamPeer> FleetExchange::streamPeers(Time Now) const {
  std::vector<StreamPeer> Peers;
  for (const auto &Item : this->Link.peers()) {
    const FleetPeer &P = Item.second;
    StreamPeer Peer;
    Peer.Id = P.Id;
    Peer.SameDomain = P.SameDomain;
    Peer.IsOwner = P.Id == this->Owner;
    Peer.Heard = Now - P.LastHeard < MinPeerTimeout;
    Peer.PlacesRequests = P.PlacesRequests;
    Peers.push_back(Peer);
  }
  return Peers;
}

void FleetExchange::askStreams(const std::vector<StreamAsk> &Asks,
                               const std::vector<HostId> &Hosts) {
  for (size_t First = 0; First < Asks.size(); First += MaxStreamNotes) {
    StreamNews News;
    News.LongestLife = this->Relay.longestStreamLife();
    size_t Last = std::min(Asks.size(), First + MaxStreamNotes);
    News.Asks.assign(Asks.begin() + static_cast<ptrdiff_t>(First),
                     Asks.begin() + static_cast<ptrdiff_t>(Last));
    for (HostId Host : Hosts) {
      this->Link.post(Host, News);
    }
  }
}

void FleetExchange::exchangeStreams(Time Now) {
  if (this->Relay.hasStreamAsks()) {
    std::vector<HostId> Asked = streamHostsToAsk(this->streamPeers(Now));
    this->askStreams(
        this->Relay.takeStreamAsks(static_cast<uint32_t>(Asked.size())), Asked);
  }
  for (auto &Item : this->Relay.takeHistoryAnswers()) {
    StreamNews Answers;
    Answers.Answers = std::move(Item.second);
    Answers.LongestLife = this->Relay.longestStreamLife();
    this->Link.post(Item.first, Answers);
  }
  std::vector<StreamAsk> HistoryAsks = this->Relay.takeHistoryAsks();
  if (!HistoryAsks.empty()) {
    this->askStreams(HistoryAsks, historyHostsToAsk(this->streamPeers(Now),
                                                    this->HistoryAsks++));
  }
  if (Now < this->NextStreamNotes) {
    return;
  }
  this->NextStreamNotes = Now + StreamNoteInterval;
  StreamNews News;
  News.LongestLife = this->Relay.longestStreamLife();
  News.Notes = this->Relay.takeStreamNotes();
  if (News.Notes.empty()) {
    return;
  }
  this->Relay.archiveStreams(News.Notes);
  std::string Told;
  for (HostId Host : streamKeepers(this->streamPeers(Now))) {
    this->Link.post(Host, News);
    Told += (Told.empty() ? "" : " ") + toHex(Host.Value);
  }
  logEvent("streams-told", {{"streams", News.Notes.size()}, {"to", Told}});
}

void FleetExchange::onStreamNews(const StreamNews &News) {
  StreamNews Reply;
  Reply.Answers = this->Relay.receive(News);
  auto Peer = this->Link.peers().find(News.Host);
  if (Peer != this->Link.peers().end() && Peer->second.SameDomain) {
    this->Relay.archiveStreams(News.Notes);
  }
  Reply.LongestLife = this->Relay.longestStreamLife();
  if (!Reply.Answers.empty()) {
    this->Link.post(News.Host, Reply);
  }
}

} // namespace shallotlatch
