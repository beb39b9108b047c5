#include "key_home_p.h"

#include <algorithm>

namespace shallotlatch {

// Time for which claims are gathered before they are written together.
static constexpr Duration ClaimBatchDelay = millis(5);
// Longest time for which a settle waits for a claim to share its write.
static constexpr Duration SettleBatchDelay = millis(500);
// Age at which a claim without a reply is dropped.
static constexpr Duration PendingClaimTimeout = seconds(120);
// Time without use after which an object is dropped from memory.
static constexpr Duration ObjectIdleTime = seconds(60);
static constexpr size_t MaxUndatedClaims = 4096;
static constexpr size_t MaxPendingClaims = 8192;
// Lower tokens belong to the watches of the replicated documents.
static constexpr uint32_t FirstToken = 1000;
// Number of slots by which a key's date may be ahead of this host's clock.
static constexpr int64_t MaxSlotsAhead = 1;

ClaimWriter::ClaimWriter(NodeEnv &Env, StoreQueue &Queue)
    : Env(Env), Queue(Queue), NextToken(FirstToken) {}

ClaimWriter::Object &ClaimWriter::bucketObject(const ClaimLocation &Location) {
  Object &O = this->Objects[Location.ObjectName];
  if (O.Token == 0) {
    O.Name = Location.ObjectName;
    O.Token = this->NextToken++;
    this->NameByToken[O.Token] = O.Name;
  }
  O.LastUsed = this->Env.Now;
  return O;
}

void ClaimWriter::onClaim(HostId From, const Claim &C) {
  if (!this->Env.ActiveConfig) {
    return;
  }
  ClaimLocation Location = claimLocation(C.Key, this->Env.ActiveConfig->Policy);
  Object &O = this->bucketObject(Location);
  for (const PendingClaim &P : O.Claims) {
    if (P.Wanted.Owner == C.Owner) {
      return;
    }
  }
  if (O.Claims.size() >= MaxPendingClaims) {
    return;
  }
  ++this->Counts.Claims;
  if (O.Claims.empty()) {
    O.FlushAt = this->Env.Now + ClaimBatchDelay;
  }
  O.Claims.push_back(PendingClaim{From, C, this->Env.Now});
}

void ClaimWriter::onSettle(const ClaimCompletion &S) {
  if (!this->Env.ActiveConfig) {
    return;
  }
  Object &O =
      this->bucketObject(claimLocation(S.Key, this->Env.ActiveConfig->Policy));
  if (O.Claims.empty() && O.Settles.empty()) {
    O.FlushAt = this->Env.Now + SettleBatchDelay;
  }
  O.Settles.push_back(S);
}

int64_t ClaimWriter::currentSlot() const {
  return this->Env.WallTime.Value /
         toMillis(this->Env.ActiveConfig->Policy.KeySlotWidth);
}

bool ClaimWriter::tooNew(int64_t Slot) const {
  return Slot > this->currentSlot() + MaxSlotsAhead;
}

// What the objects held in the former era is read again.
void ClaimWriter::recordEra(uint64_t Era) {
  if (this->Lost.recordEra(Era)) {
    for (auto &Item : this->Objects) {
      Item.second.Loaded = false;
    }
  }
}

void ClaimWriter::reply(HostId From, const Claim &C, ClaimResult Result,
                        const StoredClaim *Stored) {
  ClaimReply R;
  R.Submission = C.Owner.Submission;
  R.Run = C.Owner.Run;
  R.Result = Result;
  if (Stored != nullptr) {
    R.Holder = Stored->Owner;
    R.Ended = Stored->Ended;
    R.EndedAs = Stored->Result;
  }
  this->Counts.Granted += Result == ClaimResult::Granted ? 1 : 0;
  this->Env.outboxFor(From).ClaimReplies.push_back(R);
}

// Drops one ended claim to make room in a full object of undated keys. These
// keys have no watermark, so a request that repeats the dropped key could run
// again. docs/OPERATIONS.md names this risk beside the setting.
static void dropEnded(KeyBucket &B) {
  for (auto It = B.Claims.begin(); It != B.Claims.end(); ++It) {
    if (It->second.Ended) {
      B.Claims.erase(It);
      return;
    }
  }
}

// Handles a claim on a key that already has one. The existing claim is reported
// to other claimants only if it stands in the store: a claim that this write
// has yet to store may lose against another host's write.
bool ClaimWriter::stageExistingClaim(Object &O, const PendingClaim &P,
                                     const KeyBucket &Next,
                                     const StoredClaim &Stored) {
  const Claim &C = P.Wanted;
  bool Durable =
      O.Content.Slot == Next.Slot && O.Content.Claims.count(C.Key) != 0;
  bool Own = Stored.Owner == C.Owner;
  if (!Durable) {
    if (!Own) {
      O.Deferred.push_back(P);
    }
    return Own;
  }
  ClaimResult Result = ClaimResult::Granted;
  if (!Own) {
    Result = Stored.BodyHash == C.BodyHash ? ClaimResult::Taken
                                           : ClaimResult::Conflict;
  }
  this->reply(P.From, C, Result, Own ? nullptr : &Stored);
  return false;
}

// Checks one claim against the known content of the object. Returns true if the
// claim was added to Next, so that its grant depends on the write.
bool ClaimWriter::stageClaim(Object &O, const PendingClaim &P,
                             KeyBucket &Next) {
  const Claim &C = P.Wanted;
  int64_t Slot = claimLocation(C.Key, this->Env.ActiveConfig->Policy).Slot;
  if (Slot != 0 && this->tooNew(Slot)) {
    this->reply(P.From, C, ClaimResult::TooNew, nullptr);
    return false;
  }
  bool Unknown = Slot != Next.Slot || Next.Claims.count(C.Key) == 0;
  if (Slot < Next.Slot ||
      (Unknown && this->Lost.mayHaveBeenClaimed(Slot, this->currentSlot()))) {
    this->reply(P.From, C, ClaimResult::Expired, nullptr);
    return false;
  }
  if (Slot > Next.Slot) {
    // The slots reuse their objects in turn, so all claims of a lower slot are
    // older than the retention.
    Next.Slot = Slot;
    Next.Claims.clear();
  }
  auto It = Next.Claims.find(C.Key);
  if (It != Next.Claims.end()) {
    return this->stageExistingClaim(O, P, Next, It->second);
  }
  if (Slot == 0 && Next.Claims.size() >= MaxUndatedClaims) {
    dropEnded(Next);
  }
  StoredClaim Stored;
  Stored.BodyHash = C.BodyHash;
  Stored.Owner = C.Owner;
  Next.Claims[C.Key] = Stored;
  return true;
}

void ClaimWriter::stageSettles(const Object &O, KeyBucket &Next) const {
  for (const ClaimCompletion &S : O.Settles) {
    auto It = Next.Claims.find(S.Key);
    if (It == Next.Claims.end() || !(It->second.Owner == S.Owner)) {
      continue;
    }
    if (S.Result == Outcome::NotRun) {
      Next.Claims.erase(It);
    } else {
      It->second.Ended = true;
      It->second.Result = S.Result;
    }
  }
}

void ClaimWriter::load(Object &O) {
  O.CallInFlight = true;
  StoreRequest R;
  R.Kind = StoreRequest::Op::Read;
  R.Token = O.Token;
  R.Name = O.Name;
  this->Queue.push(std::move(R));
}

void ClaimWriter::flush(Object &O) {
  if (!O.Loaded) {
    this->load(O);
    return;
  }
  O.Next = O.Content;
  for (const PendingClaim &P : O.Claims) {
    if (this->stageClaim(O, P, O.Next)) {
      O.ClaimsInWrite.push_back(P);
    }
  }
  // Settles are staged after the claims, because a settle may arrive before the
  // claim that it ends.
  this->stageSettles(O, O.Next);
  O.SettlesInWrite = O.Settles.size();
  O.Claims = std::move(O.Deferred);
  O.Deferred.clear();
  std::string Body = printKeyBucket(O.Next);
  bool Unchanged = O.ClaimsInWrite.empty() && Body == printKeyBucket(O.Content);
  if (Unchanged || Body.size() > SHALLOTLATCH_CONFIG_MAX_OBJECT_BYTES) {
    // The new claims of an object that would exceed the size limit get no
    // reply; their requests end as not run at their deadlines.
    O.ClaimsInWrite.clear();
    O.Settles.clear();
    return;
  }
  O.CallInFlight = true;
  O.Writing = true;
  StoreRequest R;
  R.Kind = StoreRequest::Op::Write;
  R.Token = O.Token;
  R.Name = O.Name;
  R.Expected = O.Number;
  R.Body = std::move(Body);
  this->Queue.push(std::move(R));
}

bool ClaimWriter::onStoreReply(const StoreReply &Reply) {
  if (Reply.Token == LostClaims::ReadToken ||
      Reply.Token == LostClaims::WriteToken) {
    this->Lost.onReply(Reply);
    return true;
  }
  auto It = this->NameByToken.find(Reply.Token);
  if (It == this->NameByToken.end()) {
    return false;
  }
  Object &O = this->Objects[It->second];
  O.CallInFlight = false;
  bool OfFormerEra = Reply.Era < this->Lost.era();
  if (O.Writing) {
    O.Writing = false;
    StoreReply Written = Reply;
    if (OfFormerEra) {
      // The write took effect in a history that is lost.
      Written.Result = StoreReply::Status::Unknown;
    }
    this->onWritten(O, Written);
  } else if (!OfFormerEra) {
    this->onLoaded(O, Reply);
  }
  return true;
}

void ClaimWriter::onLoaded(Object &O, const StoreReply &Reply) {
  bool Found = Reply.Result == StoreReply::Status::Ok;
  if (!Found && Reply.Result != StoreReply::Status::NotFound) {
    return; // The next tick reads the object again.
  }
  try {
    O.Content = Found ? parseKeyBucket(Reply.Body) : KeyBucket();
  } catch (const std::runtime_error &) {
    return; // An object that cannot be parsed is never overwritten.
  }
  O.Number = Found ? Reply.Number : Version();
  O.Loaded = true;
  O.FlushAt = this->Env.Now;
}

// After any other result than Ok the object is read again. A claim that took
// effect all the same is then recognized by its owner and granted.
void ClaimWriter::onWritten(Object &O, const StoreReply &Reply) {
  if (Reply.Result == StoreReply::Status::Ok) {
    ++this->Counts.Commits;
    O.Number = Reply.Number;
    O.Content = std::move(O.Next);
    for (const PendingClaim &P : O.ClaimsInWrite) {
      this->reply(P.From, P.Wanted, ClaimResult::Granted, nullptr);
    }
    O.Settles.erase(O.Settles.begin(),
                    O.Settles.begin() +
                        static_cast<ptrdiff_t>(O.SettlesInWrite));
  } else {
    this->Counts.Conflicts +=
        Reply.Result == StoreReply::Status::Conflict ? 1 : 0;
    O.Loaded = false;
    O.Claims.insert(O.Claims.begin(), O.ClaimsInWrite.begin(),
                    O.ClaimsInWrite.end());
  }
  O.ClaimsInWrite.clear();
  O.SettlesInWrite = 0;
  O.FlushAt = this->Env.Now;
}

void ClaimWriter::tick() {
  if (this->Env.ActiveConfig && !this->Lost.known()) {
    std::optional<StoreRequest> Call =
        this->Lost.nextCall(this->currentSlot() + MaxSlotsAhead);
    if (Call) {
      this->Queue.push(std::move(*Call));
    }
  }
  for (auto It = this->Objects.begin(); It != this->Objects.end();) {
    Object &O = It->second;
    O.Claims.erase(std::remove_if(O.Claims.begin(), O.Claims.end(),
                                  [&](const PendingClaim &P) {
                                    return this->Env.Now - P.ReceivedAt >
                                           PendingClaimTimeout;
                                  }),
                   O.Claims.end());
    bool HasWork = !O.Claims.empty() || !O.Settles.empty();
    if (HasWork && !O.CallInFlight && this->Lost.known() &&
        this->Env.Now >= O.FlushAt) {
      this->flush(O);
    }
    bool Idle = !HasWork && !O.CallInFlight &&
                this->Env.Now - O.LastUsed > ObjectIdleTime;
    if (Idle) {
      this->NameByToken.erase(O.Token);
    }
    It = Idle ? this->Objects.erase(It) : std::next(It);
  }
}

ClaimWriterStats ClaimWriter::stats() const {
  ClaimWriterStats S = this->Counts;
  for (const auto &Item : this->Objects) {
    S.Pending += static_cast<uint32_t>(Item.second.Claims.size());
  }
  return S;
}

} // namespace shallotlatch
