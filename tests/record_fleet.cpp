#include "record_fleet.h"

#include <algorithm>

namespace shallotlatch {

static constexpr Duration StepTime = millis(20);
static constexpr Duration LongStepTime = millis(200);
static constexpr Duration ReplyTime = millis(4);
static constexpr Duration LateBy = seconds(2);
static constexpr Duration StreamLife = seconds(20);
static constexpr size_t PageSize = 500;
static const ServiceId Service = serviceId("engines");

void FakeRecordStore::advance(Time To) {
  this->Clock = To;
  if (To - this->SecondBegan >= seconds(1)) {
    this->SecondBegan = To;
    this->WritesInSecond = 0;
    this->ReadsInSecond = 0;
  }
  std::deque<Due> Waiting;
  Waiting.swap(this->Pending);
  for (Due &D : Waiting) {
    if (D.At <= To) {
      D.Action();
    } else {
      this->Pending.push_back(std::move(D));
    }
  }
}

RecordReply FakeRecordStore::list(const std::string &After) const {
  RecordReply Reply;
  Reply.Result = RecordReply::Status::Ok;
  for (auto It = this->Records.upper_bound(After); It != this->Records.end();
       ++It) {
    if (Reply.Records.size() == PageSize) {
      Reply.HasMore = true;
      break;
    }
    Reply.Records.push_back(It->second);
  }
  return Reply;
}

RecordReply FakeRecordStore::write(const StoredRecord &Record) {
  auto It = this->Records.find(Record.Name);
  uint64_t Held = It == this->Records.end() ? 0 : It->second.Revision;
  RecordReply Reply;
  if (Held != Record.Revision) {
    Reply.Result = RecordReply::Status::Conflict;
    return Reply;
  }
  StoredRecord &R = this->Records[Record.Name];
  // A write that changes nothing leaves the revision as it is.
  bool Changes = Held == 0 || R.Content != Record.Content;
  R = Record;
  R.Revision = Changes ? ++this->Revision : Held;
  this->BytesWritten += Record.Content.size();
  this->LargestRecord = std::max(this->LargestRecord, Record.Content.size());
  Reply.Result = RecordReply::Status::Ok;
  Reply.Records = {R};
  return Reply;
}

RecordReply FakeRecordStore::remove(const std::string &Name,
                                    uint64_t RemovedRevision) {
  RecordReply Reply;
  auto It = this->Records.find(Name);
  bool Matches =
      It != this->Records.end() && It->second.Revision == RemovedRevision;
  Reply.Result =
      Matches ? RecordReply::Status::Ok : RecordReply::Status::Conflict;
  if (Matches) {
    this->Records.erase(It);
  }
  return Reply;
}

void FakeRecordStore::call(bool IsWrite,
                           const std::function<RecordReply()> &Call,
                           const RecordStore::OnReply &Done) {
  uint64_t &InSecond = IsWrite ? this->WritesInSecond : this->ReadsInSecond;
  uint64_t &Most = IsWrite ? this->MostWrites : this->MostReads;
  ++(IsWrite ? this->Writes : this->Reads);
  Most = std::max(Most, ++InSecond);
  std::uniform_real_distribution<double> Share(0, 1);
  if (IsWrite && Share(this->Random) < this->Now.LosesWrites) {
    if (Share(this->Random) < 0.5) {
      this->Pending.push_back({this->Clock + LateBy, [Call] { Call(); }});
    }
    this->Pending.push_back(
        {this->Clock + LateBy, [Done] { Done(RecordReply()); }});
    return;
  }
  this->Pending.push_back({this->Clock + ReplyTime, [this, Call, Done] {
                             RecordReply Reply;
                             Reply.Result = RecordReply::Status::Refused;
                             Done(this->Now.Refuses ? std::move(Reply)
                                                    : Call());
                           }});
}

// The hosts' roles are those of a fleet in which all are heard.
void RecordFleet::startAll() {
  ++this->Starts;
  this->Hosts.clear();
  this->Writes.clear();
  bool HasOwners = this->HostsPerDomain >= 4;
  std::vector<HostId> Ids;
  for (size_t I = 0; I < this->Domains * this->HostsPerDomain; ++I) {
    std::string Name = "h" + std::to_string(I);
    this->Hosts.push_back(std::make_unique<RecordHost>(
        this->Store, Name + "-" + std::to_string(this->Starts), this->Now));
    this->Hosts.back()->Origins.setStreamLife(StreamLife, this->Now);
    this->Hosts.back()->Services = {Service};
    Ids.push_back(hostId(Name));
  }
  for (size_t I = 0; I < this->Hosts.size(); ++I) {
    std::vector<StreamPeer> Peers;
    auto IsOwner = [&](size_t J) {
      return HasOwners && J % this->HostsPerDomain == 0;
    };
    for (size_t J = 0; J < this->Hosts.size(); ++J) {
      bool SameDomain = J / this->HostsPerDomain == I / this->HostsPerDomain;
      if (J != I) {
        Peers.push_back({Ids[J], SameDomain, SameDomain && IsOwner(J), true,
                         !HasOwners || IsOwner(J)});
      }
    }
    ArchiveRole Role = archiveRole(Ids[I], IsOwner(I), Peers);
    this->Writes[I] = Role.Writes;
    this->Hosts[I]->Archive.setRole(Role);
  }
}

void RecordFleet::beginStreams(size_t Host) {
  RecordHost &H = *this->Hosts[Host];
  for (size_t V = 0; V < this->Versions; ++V) {
    H.Origins.recordServing(Service, softwareId("v" + std::to_string(V)),
                            this->Now);
  }
  double Expected = this->StreamsPerHost * toSeconds(StepTime);
  if (std::uniform_real_distribution<double>(0, 1)(this->Random) >= Expected) {
    return;
  }
  BegunStream S;
  S.Id = streamId("r" + std::to_string(++this->Number));
  S.Software = softwareId("v" + std::to_string(this->draw(this->Versions)));
  S.Began = this->Now;
  S.Ends = this->Now + millis(500 + static_cast<int64_t>(this->draw(10000)));
  H.Origins.recordBegun(Service, S.Id, S.Software, S.Ends + seconds(5),
                        this->Now);
  this->Streams.push_back(S);
}

void RecordFleet::step(bool BeginsStreams) {
  this->Now += BeginsStreams || !this->IsOver ? StepTime : LongStepTime;
  this->Store->advance(this->Now);
  for (size_t I = 0; I < this->Hosts.size(); ++I) {
    if (BeginsStreams) {
      this->beginStreams(I);
    }
    // Peers are told every 200 ms.
    if ((this->Steps + I) % 10 == 0) {
      std::vector<StreamNote> Notes =
          this->Hosts[I]->Origins.takeNotes(MaxStreamNotes, this->Now);
      size_t First = I - I % this->HostsPerDomain;
      size_t Writer = First;
      for (size_t J = First; J < First + this->HostsPerDomain; ++J) {
        Writer = this->Writes[J] ? J : Writer;
      }
      this->Hosts[Writer]->Archive.add(Notes, this->Now + StreamLife);
    }
    this->Hosts[I]->tick(this->Now);
  }
  ++this->Steps;
}

void RecordFleet::takeUp(LossCounts &Counts, Time LostAt) {
  std::vector<std::pair<size_t, BegunStream>> Wanted;
  for (const BegunStream &S : this->Streams) {
    if (S.Began < LostAt && S.Ends > LostAt) {
      Wanted.emplace_back(this->draw(this->Hosts.size()), S);
    }
  }
  for (const auto &Item : Wanted) {
    RecordHost &H = *this->Hosts[Item.first];
    bool Known = H.Origins.find(Item.second.Id) ||
                 H.Origins.soleVersion(Service, this->Now);
    if (!Known) {
      H.Archive.requestRead(Item.second.Id, this->Now);
    }
  }
  for (int I = 0; I < 25; ++I) {
    this->step(false);
  }
  for (const auto &Item : Wanted) {
    RecordHost &H = *this->Hosts[Item.first];
    std::optional<SoftwareId> Found = H.Origins.find(Item.second.Id);
    if (!Found) {
      Found = H.Origins.soleVersion(Service, this->Now);
    }
    if (Found == UndecidedSoftware) {
      Found.reset();
    }
    int Age = static_cast<int>(toMillis(LostAt - Item.second.Began) / 250);
    ++Counts.Returned;
    ++Counts.ByAge[Age].first;
    Counts.GoOn += Found ? 1 : 0;
    Counts.ByAge[Age].second += Found ? 1 : 0;
    Counts.Wrong += Found && !(*Found == Item.second.Software) ? 1 : 0;
  }
}

LossCounts RecordFleet::run(Duration Before) {
  LossCounts Counts;
  this->startAll();
  Time End = this->Now + Before;
  while (this->Now < End) {
    this->step(true);
  }
  Time LostAt = this->Now;
  Counts.WritesPerSecond =
      static_cast<double>(this->Store->Writes) / toSeconds(Before);
  Counts.BytesPerHostAndSecond =
      static_cast<double>(this->Store->BytesWritten) / toSeconds(Before) /
      static_cast<double>(this->Hosts.size());
  this->Hosts.clear();
  for (int I = 0; I < 50; ++I) {
    this->step(false);
  }
  this->Store->MostReads = 0;
  this->Store->MostWrites = 0;
  this->startAll();
  this->Streams.erase(
      std::remove_if(this->Streams.begin(), this->Streams.end(),
                     [&](const BegunStream &S) { return S.Ends <= LostAt; }),
      this->Streams.end());
  for (int I = 0; I < 225; ++I) {
    this->step(true);
  }
  this->takeUp(Counts, LostAt);
  Counts.MostReads = this->Store->MostReads;
  Counts.MostWrites = this->Store->MostWrites;
  Counts.LargestRecord = this->Store->LargestRecord;
  this->IsOver = true;
  for (int I = 0; I < 600; ++I) {
    this->step(false);
  }
  Counts.RecordsLeft = this->Store->Records.size();
  return Counts;
}

} // namespace shallotlatch
